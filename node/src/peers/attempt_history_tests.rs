//! Tests of how a history records attempts that may have run.

use super::*;
use reedferry::SECOND;

/// Guards against a possible run that is forgotten because a later attempt at the same host was rejected: a request with an
/// idempotency key would then be sent outside its idempotency group.
#[test]
fn a_later_attempt_that_never_ran_does_not_clear_a_possible_run() {
    let mut tracker = AttemptTracker::new(0);
    tracker.on_attempt_started(SECOND, 5);
    tracker.on_attempt_never_ran(5);
    assert_eq!(tracker.history.may_have_run, None);
    tracker.on_attempt_started(2 * SECOND, 6);
    tracker.on_attempt_started(5 * SECOND, 6);
    tracker.on_attempt_never_ran(6);
    let run = PossibleRun {
        host: 6,
        age: 3 * SECOND,
    };
    assert_eq!(
        (tracker.history.may_have_run, tracker.history.attempts),
        (Some(run), 3)
    );
}
