//! The duration of the last connection set-ups, over all hosts. Where they all took longer than a
//! request has left, a resource that all set-ups share, such as a session store, is too slow for
//! that request.

use crate::endpoint::HostId;
use crate::time::{Nanos, SECOND};
use std::collections::VecDeque;

/// The number of set-ups that are kept and needed for an estimate.
const SAMPLES: usize = 2;
/// The age beyond which the oldest set-up makes the estimate void.
const MAX_AGE: Nanos = 8 * SECOND;

/// A set-up that timed out counts as taking its timeout plus that timeout divided by this number.
const BEYOND_TIMEOUT_DIVISOR: Nanos = 4;

/// A set-up that succeeded or timed out.
struct Setup {
    host: HostId,
    /// How long the set-up took; for one that timed out, the least that it would have taken.
    took: Nanos,
    ended_at: Nanos,
}

/// The last [`SAMPLES`] set-ups, the oldest first.
#[derive(Default)]
pub(crate) struct RecentSetups(VecDeque<Setup>);

impl RecentSetups {
    /// Records a set-up at this host that succeeded or timed out after this time.
    pub fn setup_ended(&mut self, host: HostId, took: Nanos, timed_out: bool, now: Nanos) {
        if self.0.len() >= SAMPLES {
            self.0.pop_front();
        }
        // Without this surcharge, a request with slightly more time left than the timeout would
        // seem to have enough.
        let beyond_timeout = if timed_out {
            took / BEYOND_TIMEOUT_DIVISOR
        } else {
            0
        };
        self.0.push_back(Setup {
            host,
            took: took + beyond_timeout,
            ended_at: now,
        });
    }

    /// Returns the least time that a set-up takes at any host now. `None` unless the recent set-ups
    /// are from several hosts, because a single hanging host says nothing about the others.
    pub fn shortest(&self, now: Nanos) -> Option<Nanos> {
        let oldest = self.0.front().filter(|_| self.0.len() >= SAMPLES)?;
        let is_recent = now < oldest.ended_at + MAX_AGE;
        let has_several_hosts = self.0.iter().any(|setup| setup.host != oldest.host);
        self.0
            .iter()
            .map(|setup| setup.took)
            .min()
            .filter(|_| is_recent && has_several_hosts)
    }
}
