//! Tests of which lists are believed.

use super::*;

/// Guards against drains forgotten by an older list, whether it comes at once or after changes that
/// run backwards.
#[test]
fn an_older_full_list_is_known_as_such_and_older_changes_are_not_believed() {
    let mut versions = ListVersions::new(Some(9));
    assert_eq!(versions.assess(true, 4, true), Freshness::Older);
    assert_eq!(
        (versions.assess(true, 5, false), versions.known()),
        (Freshness::Current, Some(5))
    );
    assert_eq!(versions.assess(false, 4, true), Freshness::Stale);
    assert_eq!(
        (versions.assess(true, 2, false), versions.known()),
        (Freshness::Backwards, None)
    );
    assert!(!versions.may_long_poll(), "there is nothing to wait for");
    // A call beside the watch may come first.
    assert_eq!(versions.assess(false, 3, true), Freshness::Older);
    assert_eq!(versions.assess(true, 3, true), Freshness::Current);
}

/// Guards against a wait at a service that restarted, though a call beside the watch or a rejection
/// came in between.
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
