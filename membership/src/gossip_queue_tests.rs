//! Tests of the order in which updates are sent, and how often.

use super::*;

fn order(queue: &GossipQueue) -> Vec<u64> {
    queue.iter().collect()
}

#[test]
fn the_least_sent_update_goes_first_until_it_was_sent_often_enough() {
    let mut queue = GossipQueue::default();
    for member in [3, 1, 2] {
        queue.push(member);
    }
    assert_eq!(order(&queue), [1, 2, 3]);
    queue.mark_sent(1, 2);
    assert_eq!(order(&queue), [2, 3, 1]);
    queue.mark_sent(1, 2);
    assert_eq!(order(&queue), [2, 3]);
    queue.mark_sent(1, 2);
    assert_eq!(order(&queue), [2, 3]);
    queue.remove(2);
    queue.remove(3);
    assert!(queue.is_empty());
}

/// Guards against an update that is sent fewer times because an earlier one about the same member was sent.
#[test]
fn a_later_update_about_a_member_starts_over() {
    let mut queue = GossipQueue::default();
    queue.push(1);
    queue.push(2);
    queue.mark_sent(1, 3);
    queue.mark_sent(1, 3);
    queue.push(1);
    assert_eq!(order(&queue), [1, 2]);
    queue.mark_sent(1, 3);
    queue.mark_sent(1, 3);
    assert_eq!(order(&queue), [2, 1]);
}
