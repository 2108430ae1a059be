//! Tests for the log rate limit.

use super::*;

#[test]
fn rate_limit_allows_its_lines_per_second_and_counts_the_rest() {
    let mut limit = LogRateLimit::new(2);
    let count_allowed = |limit: &mut LogRateLimit, now| (0..5).filter(|_| limit.allow(now)).count();
    assert_eq!(
        (
            count_allowed(&mut limit, SECOND),
            limit.take_suppressed(SECOND)
        ),
        (2, None)
    );
    assert_eq!(
        (
            count_allowed(&mut limit, 2 * SECOND - 1),
            limit.take_suppressed(2 * SECOND)
        ),
        (0, Some(8))
    );
    assert_eq!(
        (
            count_allowed(&mut limit, 2 * SECOND),
            limit.take_suppressed(3 * SECOND)
        ),
        (2, Some(3))
    );
    assert_eq!(limit.take_suppressed(9 * SECOND), None);
}
