//! A duty: what a forwarder owes for one attachment, with the history that no planner's death may lose.
//! It owns what is known of every hand-off so far, and the two rules that a forwarder holds to whoever
//! decides: when there may be another hand-off, and when a dismissal is the truth. It must never forget a
//! hand-off that may have run.

use crate::frames::{PlacementRequest, PriorAttempts};
use reedferry::{
    permission, AttemptOutcome, BalancerSettings, HostId, IncomingRequest, Nanos, RequestClass,
};

/// Hosts of past hand-offs that are remembered: more than any charter allows hand-offs.
const MOST_TRIED: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No hand-off is out; somebody has to decide.
    Waiting,
    /// A hand-off is out to this host.
    Out(HostId),
    /// It stands open at this host.
    Open(HostId),
}

pub struct Duty {
    pub incoming: IncomingRequest,
    pub deadline: Nanos,
    pub phase: Phase,
    /// Counts what was told of it that a planner may answer.
    pub step: u32,
    pub attempts: u32,
    /// The planner that is followed knows it.
    pub known: bool,
    /// An answer to its step is awaited.
    pub asked: bool,
    /// Its client left while a hand-off was out.
    pub left: bool,
    /// Its client was sent away by a forwarder that stops.
    pub moved: bool,
    sent: Nanos,
    ran: Option<(HostId, Nanos)>,
    tried: Vec<HostId>,
}

impl Duty {
    pub fn new(incoming: IncomingRequest, now: Nanos) -> Self {
        Duty {
            incoming,
            deadline: now.saturating_add(incoming.time_left),
            phase: Phase::Waiting,
            step: 0,
            attempts: 0,
            known: false,
            asked: false,
            left: false,
            moved: false,
            sent: 0,
            ran: None,
            tried: Vec::new(),
        }
    }

    pub fn standing(incoming: IncomingRequest, host: HostId, now: Nanos) -> Self {
        Duty {
            phase: Phase::Open(host),
            ..Duty::new(incoming, now)
        }
    }

    pub fn sent(&mut self, host: HostId, now: Nanos) {
        (self.phase, self.sent, self.attempts) = (Phase::Out(host), now, self.attempts + 1);
    }

    /// A hand-off came to nothing: it is waiting again, a step further.
    pub fn came_back(&mut self, ending: AttemptOutcome) {
        let Phase::Out(host) = self.phase else { return };
        (self.phase, self.step) = (Phase::Waiting, self.step + 1);
        if self.tried.len() < MOST_TRIED {
            self.tried.push(host);
        }
        if !ending.never_ran() && self.ran.is_none() {
            self.ran = Some((host, self.sent));
        }
    }

    /// Whether there may be another hand-off, of at most `most`, as far as the offering allows it anywhere.
    pub fn may_go(&self, class: &RequestClass, most: u32, now: Nanos) -> bool {
        let first_sent = self.ran.map(|(_, sent)| sent);
        self.attempts < most && permission::may_repeat(class, first_sent, now).is_ok()
    }

    /// When it gets its final answer at the latest, where nothing succeeds.
    pub fn answer_by(&self, balancer_settings: &BalancerSettings) -> Nanos {
        permission::answer_by(
            self.deadline,
            self.incoming.time_left,
            balancer_settings.min_call_interval,
        )
    }

    /// Whether it may be dismissed: a retry does no harm.
    pub fn harmless(&self, class: &RequestClass) -> bool {
        permission::may_dismiss(class, self.ran.is_some())
    }

    pub fn asked(&self, now: Nanos) -> PlacementRequest {
        PlacementRequest::of(&self.incoming, self.deadline.saturating_sub(now))
    }

    /// Its history, as a planner that has not seen it is told.
    pub fn past(&self, now: Nanos) -> PriorAttempts {
        PriorAttempts {
            attempts: self.attempts,
            ran: self
                .ran
                .map(|(host, sent)| (host.0, now.saturating_sub(sent))),
            tried: self.tried.iter().map(|h| h.0).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
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

    fn after(ending: AttemptOutcome) -> Duty {
        let mut duty = Duty::new(
            IncomingRequest {
                time_left: 1000,
                ..IncomingRequest::default()
            },
            10,
        );
        duty.sent(HostId(4), 20);
        duty.came_back(ending);
        duty
    }

    #[test]
    fn what_may_have_run_binds_each_effect_in_its_own_way() {
        use Idempotency::*;
        for ending in [
            AttemptOutcome::Error,
            AttemptOutcome::TimedOut,
            AttemptOutcome::ConnectionLost,
            AttemptOutcome::Cancelled,
        ] {
            let duty = after(ending);
            assert!(duty.may_go(&class(Idempotent, IdempotencyGroup::All), 3, 30));
            assert!(!duty.may_go(&class(NonIdempotent, IdempotencyGroup::All), 3, 30));
            assert!(duty.may_go(&class(WithKey, IdempotencyGroup::Cell), 3, 119));
            assert!(
                !duty.may_go(&class(WithKey, IdempotencyGroup::Cell), 3, 120),
                "out of its window"
            );
            assert!(!duty.harmless(&class(NonIdempotent, IdempotencyGroup::All)));
            assert!(!duty.harmless(&class(WithKey, IdempotencyGroup::Zone)));
            assert!(duty.harmless(&class(WithKey, IdempotencyGroup::All)));
            assert_eq!(duty.past(50).ran, Some((4, 30)));
        }
        for ending in [
            AttemptOutcome::Rejected,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::NeverSent,
        ] {
            let duty = after(ending);
            assert!(duty.may_go(&class(NonIdempotent, IdempotencyGroup::All), 3, 30));
            assert!(
                !duty.may_go(&class(NonIdempotent, IdempotencyGroup::All), 1, 30),
                "no hand-off is left"
            );
            assert!(duty.harmless(&class(NonIdempotent, IdempotencyGroup::All)));
            assert_eq!((duty.past(50).ran, duty.past(50).tried), (None, vec![4]));
        }
    }

    #[test]
    fn the_first_that_may_have_run_is_kept_whatever_follows() {
        let mut duty = after(AttemptOutcome::ConnectionLost);
        duty.sent(HostId(5), 40);
        duty.came_back(AttemptOutcome::TimedOut);
        duty.sent(HostId(6), 60);
        duty.came_back(AttemptOutcome::Rejected);
        assert_eq!(
            duty.past(70),
            PriorAttempts {
                attempts: 3,
                ran: Some((4, 50)),
                tried: vec![4, 5, 6]
            }
        );
        assert_eq!(duty.step, 3);
    }
}
