use super::*;
use reedferry::{Idempotency, IdempotencyGroup};

fn class(idempotency: Idempotency, idempotency_group: IdempotencyGroup) -> RequestClass {
    RequestClass {
        idempotency,
        idempotency_group,
        idempotency_window: 100,
        ..RequestClass::default()
    }
}

fn after_attempt(outcome: AttemptOutcome) -> PendingRequest {
    let mut request = PendingRequest::new(
        IncomingRequest {
            time_left: 1000,
            ..IncomingRequest::default()
        },
        10,
    );
    request.attempt_started(HostId(4), 20);
    request.attempt_failed(outcome);
    request
}

#[test]
fn an_attempt_that_may_have_run_limits_repeats_by_idempotency() {
    use Idempotency::*;
    for outcome in [
        AttemptOutcome::Error,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
    ] {
        let request = after_attempt(outcome);
        assert!(request.may_attempt(&class(Idempotent, IdempotencyGroup::All), 3, 30));
        assert!(!request.may_attempt(&class(NonIdempotent, IdempotencyGroup::All), 3, 30));
        assert!(request.may_attempt(&class(WithKey, IdempotencyGroup::Cell), 3, 119));
        assert!(
            !request.may_attempt(&class(WithKey, IdempotencyGroup::Cell), 3, 120),
            "after the idempotency window"
        );
        assert!(!request.may_reject(&class(NonIdempotent, IdempotencyGroup::All)));
        assert!(!request.may_reject(&class(WithKey, IdempotencyGroup::Zone)));
        assert!(request.may_reject(&class(WithKey, IdempotencyGroup::All)));
        assert_eq!(
            request.prior_attempts(50).may_have_run,
            Some(ExecutedAttempt {
                host: 4,
                sent_ago: 30
            })
        );
    }
    for outcome in [
        AttemptOutcome::Rejected,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::NeverSent,
    ] {
        let request = after_attempt(outcome);
        assert!(request.may_attempt(&class(NonIdempotent, IdempotencyGroup::All), 3, 30));
        assert!(
            !request.may_attempt(&class(NonIdempotent, IdempotencyGroup::All), 1, 30),
            "no attempt is left"
        );
        assert!(request.may_reject(&class(NonIdempotent, IdempotencyGroup::All)));
        assert_eq!(
            (
                request.prior_attempts(50).may_have_run,
                request.prior_attempts(50).tried_hosts
            ),
            (None, vec![4])
        );
    }
}

#[test]
fn the_first_attempt_that_may_have_run_is_remembered_after_later_attempts() {
    let mut request = after_attempt(AttemptOutcome::ConnectionLost);
    request.attempt_started(HostId(5), 40);
    request.attempt_failed(AttemptOutcome::TimedOut);
    request.attempt_started(HostId(6), 60);
    request.attempt_failed(AttemptOutcome::Rejected);
    assert_eq!(
        request.prior_attempts(70),
        PriorAttempts {
            attempts: 3,
            may_have_run: Some(ExecutedAttempt {
                host: 4,
                sent_ago: 50
            }),
            tried_hosts: vec![4, 5, 6]
        }
    );
    assert_eq!(request.decision_sequence, 3);
}
