//! What the poller has told is ready, in bounded turns. It owns what a turn had no time left for, which goes first in the next.
//! It must never know whose a mark is.

use reedferry::{Nanos, MILLI};
use reedferry_runtime::{merged, Clock, Readiness};
use std::collections::VecDeque;

/// How long one turn goes on with what is ready. Guards: an answer that is due, and waits for hundreds of writes each of which
/// the system may hold up.
const LONGEST_TURN: Nanos = 50 * MILLI;

/// Sockets that are ready and not yet seen to, the first told of first.
#[derive(Debug, Default)]
pub struct Ready(VecDeque<Readiness>);

impl Ready {
    /// Whether the turn before had no time left for some.
    pub fn is_behind(&self) -> bool {
        !self.0.is_empty()
    }

    /// Puts what is ready now behind what was left.
    pub fn add(&mut self, now: Vec<Readiness>) {
        let left = std::mem::take(&mut self.0);
        self.0 = merged(left.into(), now).into();
    }

    /// Those of a lower rank go first.
    pub fn order_by(&mut self, rank: impl Fn(&Readiness) -> u8) {
        self.0.make_contiguous().sort_by_key(rank);
    }

    /// The next to see to, unless the turn that began then has gone on for long enough.
    pub fn next(&mut self, began: Nanos, clock: &Clock) -> Option<Readiness> {
        if clock.read() > began + LONGEST_TURN {
            return None;
        }
        self.0.pop_front()
    }
}

#[cfg(test)]
#[path = "ready_tests.rs"]
mod tests;
