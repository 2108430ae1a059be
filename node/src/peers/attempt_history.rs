//! The attempts of one request: the history that is replicated, and what only this node knows about them.

use reedferry::Nanos;
use serde::{Deserialize, Serialize};

/// The maximum number of tried hosts in a history.
const MAX_TRIED_HOSTS: usize = 16;

/// The attempts of a request, as stored at its replicas. The order of the fields is the wire format.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AttemptHistory {
    /// The number of attempts started.
    pub attempts: u32,
    /// The first attempt that may have run, or `None` if no attempt can have run.
    pub may_have_run: Option<PossibleRun>,
    /// The ids of the first hosts tried, at most [`MAX_TRIED_HOSTS`].
    pub tried_hosts: Vec<u64>,
}

/// An attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct PossibleRun {
    /// The id of the host to which it was sent.
    pub host: u64,
    /// The time from the start of the attempt until the history was written, in nanoseconds.
    pub age: Nanos,
}

/// A history, together with what only this node knows about it.
#[derive(Default)]
pub struct AttemptTracker {
    /// The history that is replicated.
    pub history: AttemptHistory,
    /// The start time of the first attempt that may have run, by this node's clock.
    pub possible_run_at: Nanos,
    /// The number of that attempt, counted from 1, or 0 if it was started before this node acquired the request. Only
    /// meaningful while `may_have_run` is set.
    possible_run_attempt: u32,
}

impl AttemptTracker {
    /// Creates a tracker without attempts.
    pub fn new(now: Nanos) -> AttemptTracker {
        AttemptTracker {
            possible_run_at: now,
            ..AttemptTracker::default()
        }
    }

    /// Records that an attempt is started at a host.
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

    /// Records that the last attempt, at this host, ended without having run. Clears `may_have_run` only if it stands for
    /// this attempt: an earlier attempt at the same host may have run and must not be forgotten.
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
