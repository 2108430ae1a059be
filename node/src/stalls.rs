//! Stalls: spans in which this process could not see what came, as it stood still, was held up in a system call, or took long over
//! a turn. A plain value. This module owns how much of a span of time was stalled. It must never change a deadline: those
//! are spans of real time; only what is measured of peers is corrected by this process's own delay.

use reedferry::{Nanos, MILLI, SECOND};
use std::collections::VecDeque;

/// The longest wait for the poller that is not a stall.
const MAX_POLL_WAIT: Nanos = 100 * MILLI;
/// The shortest wait for the poller that is a stall.
const MIN_STALLED_WAIT: Nanos = 2 * MAX_POLL_WAIT;
/// The shortest turn that is a stall.
const MIN_STALLED_TURN: Nanos = 50 * MILLI;
/// How long a stall is kept: longer than any line or attempt waits.
const RETENTION: Nanos = 60 * SECOND;
const MAX_STALLS: usize = 512;

/// A span in which this process was stalled.
#[derive(Clone, Debug)]
struct Stall {
    from: Nanos,
    to: Nanos,
}

/// The last stalls, the oldest first, none of which overlap.
#[derive(Clone, Debug, Default)]
pub struct Stalls(VecDeque<Stall>);

impl Stalls {
    /// A turn begins at `now`. The process had served all that was ready up to `caught_up`, worked until `waited`, and has waited
    /// since.
    pub fn record_turn(&mut self, caught_up: Nanos, waited: Nanos, now: Nanos) {
        let is_old = |stall: &Stall| stall.to.saturating_add(RETENTION) < now;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        if waited.saturating_sub(caught_up) > MIN_STALLED_TURN {
            self.add(caught_up, waited);
        }
        if now.saturating_sub(waited) > MIN_STALLED_WAIT {
            self.add(waited + MAX_POLL_WAIT, now);
        }
    }

    /// Adds a stall; one that begins where the last did replaces it.
    fn add(&mut self, from: Nanos, to: Nanos) {
        if let Some(last) = self.0.back_mut().filter(|last| last.from == from) {
            last.to = to;
            return;
        }
        if self.0.len() >= MAX_STALLS {
            self.0.pop_front();
        }
        self.0.push_back(Stall { from, to });
    }

    /// How much of a span this process was stalled.
    pub fn within(&self, from: Nanos, to: Nanos) -> Nanos {
        let overlap = |stall: &Stall| stall.to.min(to).saturating_sub(stall.from.max(from));
        self.0
            .iter()
            .rev()
            .take_while(|stall| stall.to > from)
            .map(overlap)
            .sum()
    }

    /// When a span up to `to` has to begin to be as long as what this process could see of the span from `from`.
    pub fn adjusted_start(&self, from: Nanos, to: Nanos) -> Nanos {
        from.saturating_add(self.within(from, to)).min(to)
    }
}

#[cfg(test)]
#[path = "stalls_tests.rs"]
mod tests;
