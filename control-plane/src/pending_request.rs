//! A request that a forwarder must answer, with the history of its attempts, which survives the failure of any
//! planner. This module also applies the two rules that hold for every decision: when another attempt is allowed, and
//! when a rejection is safe.
//!
//! Invariant: an attempt that may have been executed is never forgotten.

use crate::messages::{ExecutedAttempt, PlacementRequest, PriorAttempts};
use reedferry::{
    permission, AttemptOutcome, BalancerSettings, HostId, IncomingRequest, Nanos, RequestClass,
};

/// The maximum number of tried hosts that are remembered; those of later attempts are not. It must not exceed
/// [`MAX_TRIED_HOSTS`](crate::messages::MAX_TRIED_HOSTS), above which a planner closes the session.
const MAX_REMEMBERED_HOSTS: usize = 16;

/// The progress of a request towards an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No attempt is in flight, and a decision is needed.
    AwaitingDecision,
    /// An attempt at the host is in flight.
    Attempting(HostId),
    /// The connection to the host is open.
    Open(HostId),
}

/// A request of a client, from its arrival to the end of its connection.
pub struct PendingRequest {
    /// The request as it arrived.
    pub incoming: IncomingRequest,
    /// The time at which the client stops waiting.
    pub deadline: Nanos,
    /// The progress of the request.
    pub phase: Phase,
    /// The number of the current decision. A planner's answer to an earlier number is ignored.
    pub decision_sequence: u32,
    /// The number of attempts so far.
    pub attempts: u32,
    /// Whether the planner that is followed has a record of the request.
    pub known_to_planner: bool,
    /// Whether the planner was asked for the current decision and has not answered yet.
    pub awaits_answer: bool,
    /// Whether the client left while an attempt was in flight.
    pub client_left: bool,
    /// Whether the client was asked to reconnect because this forwarder shuts down.
    pub migrated: bool,
    last_sent: Nanos,
    /// The host and the sending time of the first attempt that may have been executed.
    may_have_run: Option<(HostId, Nanos)>,
    tried_hosts: Vec<HostId>,
}

impl PendingRequest {
    /// Creates a request that arrives now.
    pub fn new(incoming: IncomingRequest, now: Nanos) -> Self {
        PendingRequest {
            incoming,
            deadline: now.saturating_add(incoming.time_left),
            phase: Phase::AwaitingDecision,
            decision_sequence: 0,
            attempts: 0,
            known_to_planner: false,
            awaits_answer: false,
            client_left: false,
            migrated: false,
            last_sent: 0,
            may_have_run: None,
            tried_hosts: Vec::new(),
        }
    }

    /// Creates a request whose connection to `host` is already open.
    pub fn open(incoming: IncomingRequest, host: HostId, now: Nanos) -> Self {
        PendingRequest {
            phase: Phase::Open(host),
            ..PendingRequest::new(incoming, now)
        }
    }

    /// Returns whether the connection is open.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open(_))
    }

    /// Returns whether the request awaits a planner's answer to this decision sequence.
    pub fn awaits_answer_to(&self, decision_sequence: u32) -> bool {
        self.phase == Phase::AwaitingDecision
            && self.decision_sequence == decision_sequence
            && self.awaits_answer
    }

    /// Records the start of an attempt at `host`.
    pub fn attempt_started(&mut self, host: HostId, now: Nanos) {
        self.phase = Phase::Attempting(host);
        self.last_sent = now;
        self.attempts += 1;
    }

    /// Records the failure of the attempt in flight, after which another decision is needed. Does nothing if no
    /// attempt is in flight.
    pub fn attempt_failed(&mut self, outcome: AttemptOutcome) {
        let Phase::Attempting(host) = self.phase else {
            return;
        };
        self.phase = Phase::AwaitingDecision;
        self.decision_sequence += 1;
        if self.tried_hosts.len() < MAX_REMEMBERED_HOSTS {
            self.tried_hosts.push(host);
        }
        if !outcome.never_ran() && self.may_have_run.is_none() {
            self.may_have_run = Some((host, self.last_sent));
        }
    }

    /// Returns whether the number of attempts and the idempotency of the request's class allow another attempt at some
    /// host.
    pub fn may_attempt(&self, class: &RequestClass, max_attempts: u32, now: Nanos) -> bool {
        let first_sent = self.may_have_run.map(|(_, sent)| sent);
        self.attempts < max_attempts && permission::may_repeat(class, first_sent, now).is_ok()
    }

    /// Returns the time by which the client must have its final answer if no attempt succeeds.
    pub fn answer_by(&self, settings: &BalancerSettings) -> Nanos {
        permission::answer_by(
            self.deadline,
            self.incoming.time_left,
            settings.min_call_interval,
        )
    }

    /// Returns whether the request may be rejected, that is, whether a retry by the client is safe.
    pub fn may_reject(&self, class: &RequestClass) -> bool {
        permission::may_reject(class, self.may_have_run.is_some())
    }

    /// Returns the request in the form in which it is sent to a planner.
    pub fn placement_request(&self, now: Nanos) -> PlacementRequest {
        PlacementRequest::from_incoming(&self.incoming, self.deadline.saturating_sub(now))
    }

    /// Returns the history of the request for a planner that does not know it.
    pub fn prior_attempts(&self, now: Nanos) -> PriorAttempts {
        let executed_attempt = |(host, sent): (HostId, Nanos)| ExecutedAttempt {
            host: host.0,
            sent_ago: now.saturating_sub(sent),
        };
        PriorAttempts {
            attempts: self.attempts,
            may_have_run: self.may_have_run.map(executed_attempt),
            tried_hosts: self.tried_hosts.iter().map(|host| host.0).collect(),
        }
    }
}

#[cfg(test)]
#[path = "pending_request_tests.rs"]
mod tests;
