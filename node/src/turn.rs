//! Turns of the loop: how late one began, and what it has taken so far. A plain value beside the clock. It owns what is said of
//! that where something was late, so that a log tells the work of this process from the machine's. It must never decide
//! anything.

use reedferry::{Nanos, MILLI};
use reedferry_runtime::clock::processor_time;
use slog::{Record, Serializer, KV};

/// How the current turn began.
#[derive(Clone, Copy, Debug, Default)]
pub struct Turn {
    began: Nanos,
    /// For how long the first timer that was due had waited for the turn before to end.
    behind: Nanos,
    /// For how long it waited beyond that because this process was woken late.
    overslept: Nanos,
    /// The processor time of this thread when this turn began, and when the one before did.
    processor: Nanos,
    processor_before: Nanos,
}

impl Turn {
    /// The turn that begins at `now`, after a wait that began at `waited`, where `due` was the first timer.
    pub fn begin(&mut self, due: Option<Nanos>, waited: Nanos, now: Nanos) {
        let due = due.unwrap_or(now);
        let processor = processor_time();
        *self = Turn {
            began: now,
            behind: waited.saturating_sub(due),
            overslept: now.saturating_sub(due.max(waited)),
            processor,
            processor_before: self.processor,
        };
    }

    /// How late it began.
    pub fn lateness(&self) -> Nanos {
        self.behind + self.overslept
    }

    /// What is said of it in a log line that is written at `now`.
    pub fn account(&self, now: Nanos) -> Account {
        Account {
            behind: self.behind,
            overslept: self.overslept,
            turn: now.saturating_sub(self.began),
            processor: processor_time().saturating_sub(self.processor_before),
        }
    }
}

/// Where the time before a log line went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Account {
    behind: Nanos,
    overslept: Nanos,
    turn: Nanos,
    processor: Nanos,
}

impl KV for Account {
    fn serialize(&self, _: &Record<'_>, to: &mut dyn Serializer) -> slog::Result {
        // The log writes the last first.
        to.emit_u64("processor_ms", self.processor / MILLI)?;
        to.emit_u64("turn_ms", self.turn / MILLI)?;
        to.emit_u64("overslept_ms", self.overslept / MILLI)?;
        to.emit_u64("behind_ms", self.behind / MILLI)
    }
}

#[cfg(test)]
#[path = "turn_tests.rs"]
mod tests;
