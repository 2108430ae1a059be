//! The sockets that the poller has reported ready, served in bounded turns. This module owns what a turn had no time left for,
//! which goes first in the next. It must never know whose a token is.

use reedferry::{Nanos, MILLI};
use reedferry_runtime::{merge_readiness, Clock, Readiness};
use std::collections::VecDeque;

/// How long one turn goes on with what is ready. Without a bound, an answer that is due would wait for hundreds of writes each of
/// which the system may hold up.
const MAX_TURN: Nanos = 50 * MILLI;

/// Sockets that are ready and not served yet, in the order in which they were reported.
#[derive(Debug, Default)]
pub struct Ready(VecDeque<Readiness>);

impl Ready {
    /// Whether the turn before left some.
    pub fn is_behind(&self) -> bool {
        !self.0.is_empty()
    }

    /// Adds what is ready now behind what was left.
    pub fn add(&mut self, reported: Vec<Readiness>) {
        let left = std::mem::take(&mut self.0);
        self.0 = merge_readiness(left.into(), reported).into();
    }

    /// Puts those of a lower rank first.
    pub fn order_by(&mut self, rank: impl Fn(&Readiness) -> u8) {
        self.0.make_contiguous().sort_by_key(rank);
    }

    /// The next to serve, unless the turn that began at `turn_began` has gone on for long enough.
    pub fn next(&mut self, turn_began: Nanos, clock: &Clock) -> Option<Readiness> {
        if clock.read() > turn_began + MAX_TURN {
            return None;
        }
        self.0.pop_front()
    }
}

#[cfg(test)]
#[path = "ready_tests.rs"]
mod tests;
