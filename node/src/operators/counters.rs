//! Counters by kind: why attempts were not started and how they ended, why connections were closed, which invariants were
//! violated, and which system calls failed as this machine was short of something. This module owns the kinds and their names in
//! metrics and log lines. It must never count what its caller has not seen happen.

use reedferry::permission::Refusal;
use reedferry::AttemptOutcome;
use std::collections::BTreeMap;
use std::fmt::Write;

/// An invariant that was violated. Each is a fault of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A connection was closed though its request was not answered yet.
    Unanswered,
    /// A final answer went out after the request's deadline.
    AnsweredLate,
    /// An attempt was written after the request's deadline.
    AttemptedLate,
    /// A retry was written after the window in which the host would drop a duplicate.
    RetriedLate,
    /// A request that is not idempotent was retried though it may have run.
    RanTwice,
    /// A request that is not idempotent was rejected though it may have run.
    RejectedAfterRun,
    /// An attempt was written to a draining host after its drain grace.
    SentToDrainingHost,
}

impl Violation {
    /// All of them.
    pub const ALL: [Violation; 7] = [
        Violation::Unanswered,
        Violation::AnsweredLate,
        Violation::AttemptedLate,
        Violation::RetriedLate,
        Violation::RanTwice,
        Violation::RejectedAfterRun,
        Violation::SentToDrainingHost,
    ];

    /// The name in metrics and log lines.
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

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// The client has its last line, and has ended or lingered long enough.
    Answered,
    /// The client ended it before its request, or while it waited.
    ClientEnded,
    /// The client's connection broke.
    ClientBroke,
    /// Its host ended or broke the open connection.
    HostBroke,
    /// Its host stopped in the middle of a line, and the client had to be migrated.
    HostStalled,
    /// The client sent a line that is too long.
    Malformed,
    /// It had no request, and another connection needed its descriptor.
    Evicted,
    /// It was handed over to another process.
    HandedOver,
}

impl CloseReason {
    /// The name in metrics and log lines.
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

    /// Whether the client's connection is ended by a reset, as its other end was.
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

/// A counter.
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
    /// A system call failed as this machine was short of something, and is retried.
    TransientFailure(&'static str),
}

impl Counter {
    /// Its group and its name in that group.
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
    /// Violations have their lines from the start, so that an alert on them need not wait for the first.
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
    pub fn add(&mut self, count: Counter) {
        *self.0.entry(count.key()).or_default() += 1;
    }

    /// A line for each, in the form of the metrics.
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
