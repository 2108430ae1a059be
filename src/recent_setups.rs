//! How long the last connection set-ups took, whatever the host: where they all took longer than a
//! request has left, what set-ups share, such as a session store, is too slow for it.

use crate::endpoint::HostId;
use crate::time::{Nanos, SECOND};
use std::collections::VecDeque;

/// How many set-ups have to agree.
const SAMPLES: usize = 2;
/// How long a set-up counts.
const MAX_AGE: Nanos = 8 * SECOND;

/// By what part of its time-out a set-up is taken to last longer at the least.
const BEYOND_TIMEOUT_PART: Nanos = 4;

/// One set-up that succeeded, or timed out.
struct Setup {
    host: HostId,
    /// How long it took, or would have taken at the least.
    took: Nanos,
    ended_at: Nanos,
}

/// The last set-ups, the oldest first.
#[derive(Default)]
pub(crate) struct RecentSetups(VecDeque<Setup>);

impl RecentSetups {
    /// A set-up at this host took so long, or timed out after that time.
    pub fn setup_ended(&mut self, host: HostId, took: Nanos, timed_out: bool, now: Nanos) {
        if self.0.len() >= SAMPLES {
            self.0.pop_front();
        }
        // Without this, a request that has a moment more than the last one would seem to have
        // enough.
        let beyond_timeout = if timed_out {
            took / BEYOND_TIMEOUT_PART
        } else {
            0
        };
        self.0.push_back(Setup {
            host,
            took: took + beyond_timeout,
            ended_at: now,
        });
    }

    /// The least that a set-up takes at any host now, where several hosts have shown it lately:
    /// one that hangs shows nothing of the others.
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
