use super::*;

#[test]
fn lines_are_answered_in_their_order_with_their_times() {
    let mut lines: UnansweredLines = [1, 2, 2, 5].into_iter().collect();
    assert_eq!((lines.count(), lines.oldest()), (4, Some(1)));
    assert_eq!(lines.times().collect::<Vec<_>>(), [1, 2, 2, 5]);
    let answered: Vec<_> = std::iter::from_fn(|| lines.pop()).collect();
    assert_eq!(answered, [1, 2, 2, 5]);
    assert_eq!((lines.count(), lines.oldest()), (0, None));
}

/// Guards against memory that grows with each line that a host does not answer.
#[test]
fn a_million_unanswered_lines_take_no_more_room_than_the_groups_and_are_all_counted() {
    const LINES: u64 = 1_000_000;
    let mut lines: UnansweredLines = (1..=LINES).collect();
    assert!(lines.groups.len() == MAX_GROUPS && lines.groups.capacity() <= 2 * MAX_GROUPS);
    assert_eq!((lines.count(), lines.oldest()), (LINES, Some(1)));
    let mut previous = 0;
    for answered in 1..=LINES {
        let sent_at = lines.pop().unwrap();
        assert!(sent_at >= answered && sent_at >= previous && sent_at <= LINES);
        previous = sent_at;
    }
    assert_eq!(lines.pop(), None);
}
