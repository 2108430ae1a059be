//! The order in which news is sent, and how often.

use super::*;

fn order(queue: &GossipQueue) -> Vec<u64> {
    queue.iter().collect()
}

#[test]
fn what_was_sent_least_often_goes_first_and_leaves_after_its_last_time() {
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

/// Prevents later news of a member that is sent less often, as earlier news of it was sent.
#[test]
fn later_news_of_a_member_starts_anew() {
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
