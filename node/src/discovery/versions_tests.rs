//! Tests of which lists are accepted.

use super::*;

/// Guards against drains that are forgotten because of an older full list, whether it arrives directly or after
/// changes with an older revision.
#[test]
fn an_older_full_list_is_recognized_and_older_changes_are_rejected() {
    let mut versions = ListVersions::new(Some(9));
    assert_eq!(versions.assess(true, 4, true), Freshness::Older);
    assert_eq!(
        (versions.assess(true, 5, false), versions.known()),
        (Freshness::Current, Some(5))
    );
    assert_eq!(versions.assess(false, 4, true), Freshness::Stale);
    assert_eq!(
        (versions.assess(true, 2, false), versions.known()),
        (Freshness::Regressed, None)
    );
    assert!(
        !versions.may_long_poll(),
        "no revision is known to wait for"
    );
    // The answer to a call beside the watch may arrive first.
    assert_eq!(versions.assess(false, 3, true), Freshness::Older);
    assert_eq!(versions.assess(true, 3, true), Freshness::Current);
}

/// Guards against a call that waits at a restarted service because a call beside the watch was answered in between.
#[test]
fn a_suspected_restart_lasts_until_the_watch_is_answered() {
    let mut versions = ListVersions::default();
    assert!(!versions.may_long_poll());
    versions.assess(false, 3, true);
    assert!(versions.may_long_poll());
    versions.record_failure();
    versions.assess(false, 3, true);
    assert!(!versions.may_long_poll());
    versions.assess(true, 3, false);
    assert!(versions.may_long_poll());
}
