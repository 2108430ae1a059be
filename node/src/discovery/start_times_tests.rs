//! Tests of which start times are accepted as plausible.

use super::*;

const NOW: Nanos = 1_000_000 * SECOND;
const HOUR: Nanos = 3600 * SECOND;

#[test]
fn a_plausible_claim_is_accepted() {
    let update = ClaimSource::Update {
        known_until: NOW - SECOND,
    };
    for source in [ClaimSource::FullList, update] {
        assert_eq!(plausible_start(None, source, NOW), None);
        for age in [0, SECOND, 6 * SECOND] {
            assert_eq!(
                plausible_start(Some(NOW - age), source, NOW),
                Some(NOW - age)
            );
        }
    }
    assert_eq!(
        plausible_start(Some(NOW - HOUR), ClaimSource::FullList, NOW),
        Some(NOW - HOUR)
    );
}

/// Guards against a cold host that counts as warmed up, and against a warm host that counts as cold for as long as
/// the clocks differ.
#[test]
fn an_implausible_claim_counts_from_when_it_was_learned() {
    let update = ClaimSource::Update { known_until: NOW };
    assert_eq!(plausible_start(Some(NOW + HOUR), update, NOW), Some(NOW));
    assert_eq!(
        plausible_start(Some(NOW + 5 * SECOND), ClaimSource::FullList, NOW),
        Some(NOW)
    );
    assert_eq!(plausible_start(Some(NOW - HOUR), update, NOW), Some(NOW));
    assert_eq!(
        plausible_start(Some(NOW - 7 * SECOND), update, NOW),
        Some(NOW)
    );
}
