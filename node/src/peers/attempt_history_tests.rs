//! What a history remembers of attempts that may have run.

use super::*;
use reedferry::SECOND;

/// Prevents a request with an idempotency key that may have run at a host from being sent outside its idempotency
/// group, as a second attempt there was rejected.
#[test]
fn what_may_have_run_is_not_forgotten_by_a_later_attempt_that_did_not() {
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
