//! Stalls of this process: spans in which it did not read input because it was suspended, blocked in a system call, or took long
//! over a turn. This module records them and computes how much of a time span was stalled. Only latencies measured of peers are
//! corrected by stalls. Deadlines are not, as they are spans of real time.

use reedferry::{Nanos, MILLI, SECOND};
use std::collections::VecDeque;

/// The expected maximum wait for the poller. The part of a stalled wait beyond it counts as the stall.
const MAX_POLL_WAIT: Nanos = 100 * MILLI;
/// A wait for the poller that is longer than this is a stall.
const MIN_STALLED_WAIT: Nanos = 2 * MAX_POLL_WAIT;
/// A turn, or a series of turns that never catch up, is a stall if it is longer than this.
const MIN_STALLED_TURN: Nanos = 50 * MILLI;
/// How long a stall is kept. Longer than any line or attempt waits.
const RETENTION: Nanos = 60 * SECOND;
const MAX_STALLS: usize = 512;

/// A span in which this process was stalled.
#[derive(Clone, Debug)]
struct Stall {
    from: Nanos,
    to: Nanos,
}

/// The most recent stalls, the oldest first, which do not overlap.
#[derive(Clone, Debug, Default)]
pub struct Stalls(VecDeque<Stall>);

impl Stalls {
    /// Records that a turn begins at `now`. The process had served everything that was ready at `caught_up`, worked until
    /// `wait_started`, and has waited for the poller since.
    pub fn record_turn(&mut self, caught_up: Nanos, wait_started: Nanos, now: Nanos) {
        let is_old = |stall: &Stall| stall.to.saturating_add(RETENTION) < now;
        while self.0.front().is_some_and(is_old) {
            self.0.pop_front();
        }
        if wait_started.saturating_sub(caught_up) > MIN_STALLED_TURN {
            self.add(caught_up, wait_started);
        }
        if now.saturating_sub(wait_started) > MIN_STALLED_WAIT {
            self.add(wait_started + MAX_POLL_WAIT, now);
        }
    }

    /// Adds a stall. If it begins when the last one did, it replaces that one.
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

    /// Returns for how much of a span this process was stalled.
    pub fn stalled_time(&self, from: Nanos, to: Nanos) -> Nanos {
        let overlap = |stall: &Stall| stall.to.min(to).saturating_sub(stall.from.max(from));
        self.0
            .iter()
            .rev()
            .take_while(|stall| stall.to > from)
            .map(overlap)
            .sum()
    }

    /// Returns `from`, moved later by the time for which this process was stalled between `from` and `to`, but not beyond `to`.
    pub fn adjusted_start(&self, from: Nanos, to: Nanos) -> Nanos {
        from.saturating_add(self.stalled_time(from, to)).min(to)
    }
}

#[cfg(test)]
#[path = "stalls_tests.rs"]
mod tests;
