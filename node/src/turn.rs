//! Turns of the event loop: how late one began, and what it has taken so far. A plain value beside the clock. This module owns what
//! log lines say of that where something was late, so that the work of this process can be told from the machine's. It
//! must never decide anything.

use reedferry::{Nanos, MILLI};
use reedferry_runtime::clock::processor_time;
use slog::{Record, Serializer, KV};

/// How the current turn began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    /// When it began.
    began: Nanos,
    /// For how long the first timer that was due had waited for the turn before to end.
    behind: Nanos,
    /// For how long it waited beyond that as this process was woken late.
    overslept: Nanos,
    /// The processor time of this thread when this turn began.
    processor_time: Nanos,
    /// The same when the turn before began.
    processor_time_before: Nanos,
}

impl Turn {
    /// Begins a turn at `now`, after a wait that began at `waited`, where `first_due` was the first timer.
    pub fn begin(&mut self, first_due: Option<Nanos>, waited: Nanos, now: Nanos) {
        let due = first_due.unwrap_or(now);
        *self = Turn {
            began: now,
            behind: waited.saturating_sub(due),
            overslept: now.saturating_sub(due.max(waited)),
            processor_time: processor_time(),
            processor_time_before: self.processor_time,
        };
    }

    /// How late the turn began.
    pub fn lateness(&self) -> Nanos {
        self.behind + self.overslept
    }

    /// What a log line that is written at `now` says of the turn.
    pub fn time_breakdown(&self, now: Nanos) -> TimeBreakdown {
        TimeBreakdown {
            behind: self.behind,
            overslept: self.overslept,
            turn: now.saturating_sub(self.began),
            processor: processor_time().saturating_sub(self.processor_time_before),
        }
    }
}

/// Where the time before a log line went: to the turn before, to a late wake-up, to this turn, and to this thread's work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBreakdown {
    behind: Nanos,
    overslept: Nanos,
    turn: Nanos,
    processor: Nanos,
}

impl KV for TimeBreakdown {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        // The log writes the last first.
        serializer.emit_u64("processor_ms", self.processor / MILLI)?;
        serializer.emit_u64("turn_ms", self.turn / MILLI)?;
        serializer.emit_u64("overslept_ms", self.overslept / MILLI)?;
        serializer.emit_u64("behind_ms", self.behind / MILLI)
    }
}

#[cfg(test)]
#[path = "turn_tests.rs"]
mod tests;
