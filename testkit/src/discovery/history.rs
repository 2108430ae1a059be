//! The history of a stand-in for the discovery service: each call with its caller, and when the service was down. A
//! checker derives from it when a caller counts as notified of a change.

use std::time::{Duration, Instant};

/// A call and its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The caller's number as given to [`Discovery::listen_for`](super::Discovery::listen_for); 0 for calls to
    /// [`Discovery::address`](super::Discovery::address).
    pub caller: u64,
    /// When the call came.
    pub called_at: Instant,
    /// How long the call might wait for a change; zero for a poll.
    pub max_wait: Duration,
    /// When a list was about to be written in answer; `None` if none was.
    pub answered_at: Option<Instant>,
    /// When the call fell silent, so that it is never answered; `None` if it did not.
    pub silenced_at: Option<Instant>,
    /// When the caller closed the connection of a silent call; `None` for other calls and while it is open.
    pub closed_at: Option<Instant>,
    /// Whether the call is waiting for a change now.
    pub(super) waiting: bool,
}

impl CallRecord {
    pub(crate) fn new(caller: u64, called_at: Instant, max_wait: Duration) -> CallRecord {
        CallRecord {
            caller,
            called_at,
            max_wait,
            answered_at: None,
            silenced_at: None,
            closed_at: None,
            waiting: false,
        }
    }
}

/// A time during which the service was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When the outage began.
    pub from: Instant,
    /// When the service was up again; `None` if it is still down.
    pub to: Option<Instant>,
}

/// All calls to a service and all its outages.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryHistory {
    /// The calls in the order in which they came.
    pub calls: Vec<CallRecord>,
    /// The outages in the order in which they began. No two overlap.
    pub outages: Vec<Outage>,
}

impl DiscoveryHistory {
    /// Returns the first moment at or after `at` at which the service could be reached, or `None` if it is still
    /// down.
    pub fn reachable_from(&self, at: Instant) -> Option<Instant> {
        let during = |outage: &&Outage| outage.from <= at && outage.to.is_none_or(|to| at < to);
        match self.outages.iter().find(during) {
            None => Some(at),
            Some(outage) => outage.to,
        }
    }
}
