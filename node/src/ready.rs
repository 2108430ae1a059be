//! The queue of sockets that the poller has reported ready, which are served in turns of bounded length. Sockets that a turn had no
//! time for are served first in the next one. The queue doesn't interpret tokens.

use reedferry::{Nanos, MILLI};
use reedferry_runtime::{merge_readiness, Clock, Readiness};
use std::collections::VecDeque;

/// How long one turn serves ready sockets. Without a bound, an answer that is due would wait for hundreds of writes, each of which
/// may block in the kernel.
const MAX_TURN: Nanos = 50 * MILLI;

/// Sockets that are ready and have not been served yet, in the order in which they were reported.
#[derive(Debug, Default)]
pub struct Ready(VecDeque<Readiness>);

impl Ready {
    /// Returns whether the previous turn left ready sockets unserved.
    pub fn has_unserved(&self) -> bool {
        !self.0.is_empty()
    }

    /// Appends the sockets that are reported now, and merges reports of sockets that are still queued.
    pub fn add(&mut self, reported: Vec<Readiness>) {
        let left = std::mem::take(&mut self.0);
        self.0 = merge_readiness(left.into(), reported).into();
    }

    /// Sorts the queue by rank, the lowest first. Sockets of equal rank keep their order.
    pub fn order_by(&mut self, rank: impl Fn(&Readiness) -> u8) {
        self.0.make_contiguous().sort_by_key(rank);
    }

    /// Removes and returns the next socket to serve, or `None` if the queue is empty or the turn that began at `turn_began` has lasted
    /// longer than [`MAX_TURN`].
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
