//! Turns of the event loop: how late a turn began, and how long it has taken so far. Log lines on delays contain these times, so
//! that delays caused by this process can be told from those caused by the machine. Nothing is decided by them.

use reedferry::{Nanos, MILLI};
use reedferry_runtime::clock::processor_time;
use slog::{Record, Serializer, KV};

/// The timing of the current turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    /// When the turn began.
    began: Nanos,
    /// How long the first due timer had waited for the previous turn to end.
    behind: Nanos,
    /// How long that timer waited in addition because this process was woken late.
    overslept: Nanos,
    /// The processor time of this thread when the turn began.
    processor_time: Nanos,
    /// The processor time of this thread when the previous turn began.
    processor_time_before: Nanos,
}

impl Turn {
    /// Begins a turn at `now`, after a wait that began at `wait_started`. `first_due` is the deadline of the first timer, or `None`
    /// if no timer is set.
    pub fn begin(&mut self, first_due: Option<Nanos>, wait_started: Nanos, now: Nanos) {
        let due = first_due.unwrap_or(now);
        *self = Turn {
            began: now,
            behind: wait_started.saturating_sub(due),
            overslept: now.saturating_sub(due.max(wait_started)),
            processor_time: processor_time(),
            processor_time_before: self.processor_time,
        };
    }

    /// Returns how late the turn began.
    pub fn lateness(&self) -> Nanos {
        self.behind + self.overslept
    }

    /// Returns the time breakdown for a log line that is written at `now`.
    pub fn time_breakdown(&self, now: Nanos) -> TimeBreakdown {
        TimeBreakdown {
            behind: self.behind,
            overslept: self.overslept,
            turn: now.saturating_sub(self.began),
            processor: processor_time().saturating_sub(self.processor_time_before),
        }
    }
}

/// How the time before a log line was spent: waiting for the previous turn, in a late wake-up, in the current turn, and as processor
/// time of this thread in both turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBreakdown {
    behind: Nanos,
    overslept: Nanos,
    turn: Nanos,
    processor: Nanos,
}

impl KV for TimeBreakdown {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        // The log writes these pairs in reverse order.
        serializer.emit_u64("processor_ms", self.processor / MILLI)?;
        serializer.emit_u64("turn_ms", self.turn / MILLI)?;
        serializer.emit_u64("overslept_ms", self.overslept / MILLI)?;
        serializer.emit_u64("behind_ms", self.behind / MILLI)
    }
}

#[cfg(test)]
#[path = "turn_tests.rs"]
mod tests;
