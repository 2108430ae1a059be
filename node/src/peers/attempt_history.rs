//! The attempts of one request: what of them is replicated, and what this node alone knows of them.

use reedferry::Nanos;
use serde::{Deserialize, Serialize};

/// Hosts tried that a history names.
const MAX_TRIED_HOSTS: usize = 16;

/// The attempts of a request as its replicas hold them. The order of the fields is the wire format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AttemptHistory {
    /// How many attempts were started.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub may_have_run: Option<PossibleRun>,
    /// The hosts tried, the first few.
    pub tried_hosts: Vec<u64>,
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PossibleRun {
    /// The host it went to.
    pub host: u64,
    /// How long ago that was when the history was written.
    pub age: Nanos,
}

/// A history with what this node knows of it.
#[derive(Default)]
pub struct AttemptTracker {
    /// What is replicated.
    pub history: AttemptHistory,
    /// When the first attempt that may have run was started, by this node's clock.
    pub possible_run_at: Nanos,
    /// Which attempt that is; 0 for one of another node.
    possible_run_attempt: u32,
}

impl AttemptTracker {
    /// A tracker without any attempts.
    pub fn new(now: Nanos) -> AttemptTracker {
        AttemptTracker {
            possible_run_at: now,
            ..AttemptTracker::default()
        }
    }

    /// An attempt is started at a host.
    pub fn on_attempt_started(&mut self, now: Nanos, host: u64) {
        let history = &mut self.history;
        history.attempts += 1;
        if history.may_have_run.is_none() {
            self.possible_run_at = now;
            self.possible_run_attempt = history.attempts;
        }
        history.may_have_run = Some(PossibleRun {
            host: history.may_have_run.map_or(host, |first| first.host),
            age: now.saturating_sub(self.possible_run_at),
        });
        if history.tried_hosts.len() < MAX_TRIED_HOSTS {
            history.tried_hosts.push(host);
        }
    }

    /// The last attempt ended and never ran. An earlier attempt at the same host may have run: without the comparison
    /// of attempts it would be forgotten as a later one did not.
    pub fn on_attempt_never_ran(&mut self, host: u64) {
        let history = &mut self.history;
        let at_this_host = history.may_have_run.is_some_and(|run| run.host == host);
        if history.attempts == self.possible_run_attempt && at_this_host {
            history.may_have_run = None;
        }
    }
}

#[cfg(test)]
#[path = "attempt_history_tests.rs"]
mod tests;
