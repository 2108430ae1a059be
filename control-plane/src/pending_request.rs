//! A request that a forwarder must answer, with the history that no planner's death may lose. This module
//! owns what is known of each attempt so far, and the two rules that a forwarder applies whoever decides:
//! when there may be another attempt, and when a rejection is safe. It must never forget an attempt that
//! may have been executed.

use crate::messages::{ExecutedAttempt, PlacementRequest, PriorAttempts};
use reedferry::{
    permission, AttemptOutcome, BalancerSettings, HostId, IncomingRequest, Nanos, RequestClass,
};

/// Hosts of past attempts that are remembered: more than any settings allow attempts.
const MAX_REMEMBERED_HOSTS: usize = 16;

/// Where a request is on its way to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No attempt is in flight; a decision is needed.
    AwaitingDecision,
    /// An attempt at this host is in flight.
    Attempting(HostId),
    /// The connection to this host is open.
    Open(HostId),
}

/// A request of a client, from its arrival to the end of its connection.
pub struct PendingRequest {
    /// What the client asked for.
    pub incoming: IncomingRequest,
    /// When the client stops waiting.
    pub deadline: Nanos,
    /// Where it is on its way.
    pub phase: Phase,
    /// Counts the reports of it that a planner may answer.
    pub decision_sequence: u32,
    /// Attempts so far.
    pub attempts: u32,
    /// The planner that is followed knows of it.
    pub known_to_planner: bool,
    /// An answer to its decision sequence is awaited.
    pub awaits_answer: bool,
    /// Its client left while an attempt was in flight.
    pub client_left: bool,
    /// Its client was asked to reconnect because this forwarder shuts down.
    pub migrated: bool,
    last_sent: Nanos,
    /// The first attempt that may have been executed, and when it was sent.
    may_have_run: Option<(HostId, Nanos)>,
    tried_hosts: Vec<HostId>,
}

impl PendingRequest {
    /// A request that has just arrived.
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

    /// A request whose connection is already open.
    pub fn open(incoming: IncomingRequest, host: HostId, now: Nanos) -> Self {
        PendingRequest {
            phase: Phase::Open(host),
            ..PendingRequest::new(incoming, now)
        }
    }

    /// Whether its connection is open.
    pub fn is_open(&self) -> bool {
        matches!(self.phase, Phase::Open(_))
    }

    /// Whether it awaits the answer to this decision sequence.
    pub fn awaits_answer_to(&self, decision_sequence: u32) -> bool {
        self.phase == Phase::AwaitingDecision
            && self.decision_sequence == decision_sequence
            && self.awaits_answer
    }

    /// An attempt at this host starts.
    pub fn attempt_started(&mut self, host: HostId, now: Nanos) {
        self.phase = Phase::Attempting(host);
        self.last_sent = now;
        self.attempts += 1;
    }

    /// The attempt in flight failed: another decision is needed.
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

    /// Whether there may be another attempt, as far as the request's class allows it at any host.
    pub fn may_attempt(&self, class: &RequestClass, max_attempts: u32, now: Nanos) -> bool {
        let first_sent = self.may_have_run.map(|(_, sent)| sent);
        self.attempts < max_attempts && permission::may_repeat(class, first_sent, now).is_ok()
    }

    /// When the final answer is due, if nothing succeeds before.
    pub fn answer_by(&self, settings: &BalancerSettings) -> Nanos {
        permission::answer_by(
            self.deadline,
            self.incoming.time_left,
            settings.min_call_interval,
        )
    }

    /// Whether it may be rejected: a retry by the client does no harm.
    pub fn may_reject(&self, class: &RequestClass) -> bool {
        permission::may_reject(class, self.may_have_run.is_some())
    }

    /// What a planner is asked for.
    pub fn placement_request(&self, now: Nanos) -> PlacementRequest {
        PlacementRequest::from_incoming(&self.incoming, self.deadline.saturating_sub(now))
    }

    /// Its history, for a planner that has not seen it.
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
