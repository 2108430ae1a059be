//! Event counters with a label: the reasons why attempts were not started, the outcomes of attempts, the reasons why connections
//! were closed, violated invariants, and system calls that failed because this machine lacked a resource. This module defines the
//! labels and their names in metrics and log lines. It must never count an event that its caller has not observed.

use reedferry::permission::Refusal;
use reedferry::AttemptOutcome;
use std::collections::BTreeMap;
use std::fmt::Write;

/// An invariant that was violated. Every violation is a bug in the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A connection was closed before its request was answered.
    Unanswered,
    /// A final answer was sent after the request's deadline.
    AnsweredLate,
    /// An attempt was written after the request's deadline.
    AttemptedLate,
    /// A retry was written after the window in which hosts drop a duplicate of the request.
    RetriedLate,
    /// A request that is not idempotent was retried although an earlier attempt may have run.
    RanTwice,
    /// A request that is not idempotent was rejected although an attempt may have run.
    RejectedAfterRun,
    /// An attempt was written to a draining host after the drain grace.
    SentToDrainingHost,
}

impl Violation {
    /// All violations.
    pub const ALL: [Violation; 7] = [
        Violation::Unanswered,
        Violation::AnsweredLate,
        Violation::AttemptedLate,
        Violation::RetriedLate,
        Violation::RanTwice,
        Violation::RejectedAfterRun,
        Violation::SentToDrainingHost,
    ];

    /// Returns the name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Violation::Unanswered => "unanswered",
            Violation::AnsweredLate => "answered_late",
            Violation::AttemptedLate => "attempted_late",
            Violation::RetriedLate => "repeated_late",
            Violation::RanTwice => "ran_twice",
            Violation::RejectedAfterRun => "dismissed_after_run",
            Violation::SentToDrainingHost => "sent_to_leaving_host",
        }
    }
}

/// The reason why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client was sent its last line, and then closed the connection, exceeded a limit on lingering, or held a descriptor while
    /// these were nearly exhausted.
    Answered,
    /// The client closed the connection before it sent a request or while the request waited, or the host did not end the
    /// connection in time after the client's half-close.
    ClientEnded,
    /// The connection to the client broke, or the client sent a line that is too long on the open connection.
    ClientBroke,
    /// The host's side of the open connection broke. If the host closes it in order, the reason is [`CloseReason::Answered`].
    HostBroke,
    /// The host stopped sending in the middle of a line, and the client had to be migrated.
    HostStalled,
    /// The host sent a line that is too long.
    Malformed,
    /// The connection had no request, and another one needed its descriptor.
    Evicted,
    /// The connection was handed over to another process.
    HandedOver,
}

impl CloseReason {
    /// Returns the name in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Answered => "answered",
            CloseReason::ClientEnded => "client_ended",
            CloseReason::ClientBroke => "client_broke",
            CloseReason::HostBroke => "host_broke",
            CloseReason::HostStalled => "host_stalled",
            CloseReason::Malformed => "malformed",
            CloseReason::Evicted => "made_room",
            CloseReason::HandedOver => "passed_on",
        }
    }

    /// Returns whether the client's connection is closed with a TCP reset, to signal that it did not end in order.
    pub fn resets(self) -> bool {
        matches!(
            self,
            CloseReason::ClientBroke
                | CloseReason::HostBroke
                | CloseReason::HostStalled
                | CloseReason::Malformed
        )
    }
}

/// An event that is counted.
#[derive(Clone, Copy, Debug)]
pub enum Counter {
    /// An attempt was not started.
    NotStarted(Refusal),
    /// An attempt ended.
    AttemptEnded(AttemptOutcome),
    /// A client's connection was closed.
    Closed(CloseReason),
    /// An invariant was violated.
    Violated(Violation),
    /// The system call of this name failed because this machine lacked a resource; it is retried.
    TransientFailure(&'static str),
}

impl Counter {
    /// Returns the group of the counter in metrics, and its name in that group.
    fn key(self) -> (&'static str, &'static str) {
        match self {
            Counter::NotStarted(reason) => ("attempts_not_begun", reason.name()),
            Counter::AttemptEnded(outcome) => ("attempts_ended", outcome.as_str()),
            Counter::Closed(close) => ("closed", close.name()),
            Counter::Violated(violation) => ("violations", violation.name()),
            Counter::TransientFailure(call) => ("machine_trouble", call),
        }
    }
}

/// The values of all counters.
#[derive(Clone, Debug)]
pub struct Counters(BTreeMap<(&'static str, &'static str), u64>);

impl Default for Counters {
    /// Violations are listed with 0 from the start, so that an alert on them works before the first violation.
    fn default() -> Self {
        Counters(
            Violation::ALL
                .into_iter()
                .map(|v| (Counter::Violated(v).key(), 0))
                .collect(),
        )
    }
}

impl Counters {
    /// Adds one to a counter.
    pub fn add(&mut self, counter: Counter) {
        *self.0.entry(counter.key()).or_default() += 1;
    }

    /// Returns one metrics line for each counter.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for ((group, name), count) in &self.0 {
            _ = writeln!(text, "app.{group}.{}:{count}|c", name.replace('-', "_"));
        }
        text
    }
}

#[cfg(test)]
#[path = "counters_tests.rs"]
mod tests;

#[cfg(test)]
#[path = "counters_text_tests.rs"]
mod text_tests;
