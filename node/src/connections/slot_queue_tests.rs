use super::*;

/// Guards against a turn that gets longer each time: a connection that has more to do queues itself again, and is
/// queued by each report of its sockets.
#[test]
fn a_slot_is_queued_once_until_the_queue_is_taken() {
    let mut queue = SlotQueue::default();
    for _ in 0..3 {
        [7, 3, 7].into_iter().for_each(|slot| queue.push(slot));
        assert_eq!(queue.take(), [7, 3]);
        assert!(queue.is_empty());
    }
}
