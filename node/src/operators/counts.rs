//! Counters by kind: why attempts did not begin and how they ended, why connections were closed, which rules were
//! broken, and which system calls failed for a trouble of this machine. It owns the kinds and their names in figures
//! and log lines. It must never count what its caller has not seen happen.

use reedferry::permission::Refusal;
use reedferry::AttemptOutcome;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A rule that was broken in spite of all that is to keep it: each is a fault of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A connection was closed though its request was owed an answer.
    Unanswered,
    /// A final answer went out after the request's expiry.
    AnsweredLate,
    /// An attempt was written after the request's expiry.
    AttemptedLate,
    /// A repeat was written after the window in which it would be dropped.
    RepeatedLate,
    /// An irreversible request was attempted again though it may have run.
    RanTwice,
    /// An irreversible request was dismissed though it may have run.
    DismissedAfterRun,
    /// An attempt was written to a host beyond the grace after its drain.
    SentToLeavingHost,
}

impl Violation {
    pub const ALL: [Violation; 7] = [
        Violation::Unanswered,
        Violation::AnsweredLate,
        Violation::AttemptedLate,
        Violation::RepeatedLate,
        Violation::RanTwice,
        Violation::DismissedAfterRun,
        Violation::SentToLeavingHost,
    ];

    pub fn name(self) -> &'static str {
        match self {
            Violation::Unanswered => "unanswered",
            Violation::AnsweredLate => "answered_late",
            Violation::AttemptedLate => "attempted_late",
            Violation::RepeatedLate => "repeated_late",
            Violation::RanTwice => "ran_twice",
            Violation::DismissedAfterRun => "dismissed_after_run",
            Violation::SentToLeavingHost => "sent_to_leaving_host",
        }
    }
}

/// Why a client's connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Close {
    /// It has its last line, and has ended or lingered long enough.
    Answered,
    /// The client ended it before it asked, or while it waited.
    ClientEnded,
    /// The client's connection broke.
    ClientBroke,
    /// Its host ended or broke the open connection.
    HostBroke,
    /// Its host stopped in the middle of a line, and the client has to go.
    HostStalled,
    /// It sent a line that is too long.
    Malformed,
    /// It held no request, and another needed its descriptor.
    MadeRoom,
    /// Another process goes on with it.
    PassedOn,
}

impl Close {
    pub fn name(self) -> &'static str {
        match self {
            Close::Answered => "answered",
            Close::ClientEnded => "client_ended",
            Close::ClientBroke => "client_broke",
            Close::HostBroke => "host_broke",
            Close::HostStalled => "host_stalled",
            Close::Malformed => "malformed",
            Close::MadeRoom => "made_room",
            Close::PassedOn => "passed_on",
        }
    }

    /// Whether the client's connection is ended by a reset, as its other end was.
    pub fn resets(self) -> bool {
        matches!(
            self,
            Close::ClientBroke | Close::HostBroke | Close::HostStalled | Close::Malformed
        )
    }
}

/// One thing that is counted.
#[derive(Clone, Copy, Debug)]
pub enum Count {
    NotBegun(Refusal),
    AttemptEnded(AttemptOutcome),
    Closed(Close),
    Violated(Violation),
    /// A system call failed for a moment's trouble of this machine, and is made again.
    MachineTrouble(&'static str),
}

impl Count {
    fn key(self) -> (&'static str, &'static str) {
        match self {
            Count::NotBegun(refusal) => ("attempts_not_begun", refusal.name()),
            Count::AttemptEnded(ending) => ("attempts_ended", ending.as_str()),
            Count::Closed(close) => ("closed", close.name()),
            Count::Violated(violation) => ("violations", violation.name()),
            Count::MachineTrouble(call) => ("machine_trouble", call),
        }
    }
}

/// How often each was counted.
#[derive(Clone, Debug)]
pub struct Counts(BTreeMap<(&'static str, &'static str), u64>);

impl Default for Counts {
    /// Violations have their lines from the start, so that whoever watches them need not wait for the first.
    fn default() -> Self {
        Counts(
            Violation::ALL
                .into_iter()
                .map(|v| (Count::Violated(v).key(), 0))
                .collect(),
        )
    }
}

impl Counts {
    pub fn add(&mut self, count: Count) {
        *self.0.entry(count.key()).or_default() += 1;
    }

    /// A line for each, in the form of the operators' figures.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for ((group, name), count) in &self.0 {
            _ = writeln!(text, "app.{group}.{}:{count}|c", name.replace('-', "_"));
        }
        text
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn violations_have_lines_from_the_start_and_the_rest_once_counted() {
        let mut counts = Counts::default();
        assert_eq!(counts.text().lines().count(), Violation::ALL.len());
        assert!(counts.text().contains("app.violations.unanswered:0|c\n"));
        for _ in 0..2 {
            counts.add(Count::Violated(Violation::Unanswered));
        }
        counts.add(Count::AttemptEnded(AttemptOutcome::NeverSent));
        counts.add(Count::NotBegun(Refusal::ListNotHeard));
        let text = counts.text();
        for line in [
            "app.violations.unanswered:2|c",
            "app.attempts_ended.never_sent:1|c",
            "app.attempts_not_begun.list_not_heard:1|c",
        ] {
            assert!(text.lines().any(|l| l == line), "{line} in {text}");
        }
    }

    #[test]
    fn each_kind_has_a_name_of_its_own() {
        let names: std::collections::BTreeSet<_> =
            Violation::ALL.iter().map(|v| v.name()).collect();
        assert_eq!(names.len(), Violation::ALL.len());
    }
}

#[cfg(test)]
#[path = "counts_text_tests.rs"]
mod text_tests;
