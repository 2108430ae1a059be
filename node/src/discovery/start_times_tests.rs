//! Tests of which start times are believed.

use super::*;

const NOW: Nanos = 1_000_000 * SECOND;
const HOUR: Nanos = 3600 * SECOND;

#[test]
fn a_claim_that_can_be_true_is_believed() {
    let news = ClaimSource::Update {
        known_until: NOW - SECOND,
    };
    for learned in [ClaimSource::FullList, news] {
        assert_eq!(plausible_start(None, learned, NOW), None);
        for age in [0, SECOND, 6 * SECOND] {
            assert_eq!(
                plausible_start(Some(NOW - age), learned, NOW),
                Some(NOW - age)
            );
        }
    }
    assert_eq!(
        plausible_start(Some(NOW - HOUR), ClaimSource::FullList, NOW),
        Some(NOW - HOUR)
    );
}

/// Guards: a cold host taken for warm, and a warm one taken for cold for as long as clocks differ.
#[test]
fn one_that_can_not_counts_from_when_it_was_learned() {
    let news = ClaimSource::Update { known_until: NOW };
    assert_eq!(plausible_start(Some(NOW + HOUR), news, NOW), Some(NOW));
    assert_eq!(
        plausible_start(Some(NOW + 5 * SECOND), ClaimSource::FullList, NOW),
        Some(NOW)
    );
    assert_eq!(plausible_start(Some(NOW - HOUR), news, NOW), Some(NOW));
    assert_eq!(
        plausible_start(Some(NOW - 7 * SECOND), news, NOW),
        Some(NOW)
    );
}
