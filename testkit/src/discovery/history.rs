//! What happened at a discovery stand-in: each call with its caller, and when the service was down. A checker reads by
//! it from when a caller counts as notified.

use std::time::{Duration, Instant};

/// A call, and what became of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The caller, as [`Discovery::listen_for`](super::Discovery::listen_for) numbers them; 0 where nobody asked for an address.
    pub caller: u64,
    /// When it came.
    pub called_at: Instant,
    /// How long it might wait for a change.
    pub max_wait: Duration,
    /// When its answer, a list, was about to be written.
    pub answered_at: Option<Instant>,
    /// When it fell silent.
    pub silenced_at: Option<Instant>,
    /// When the caller ended its connection, for a call that is silent.
    pub closed_at: Option<Instant>,
    /// Whether it waits now.
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

/// A time for which the service was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    /// When it began.
    pub from: Instant,
    /// When the service was back, unless it is still down.
    pub to: Option<Instant>,
}

/// All that happened at a service.
#[derive(Clone, Debug, Default)]
pub struct DiscoveryHistory {
    /// By when they came.
    pub calls: Vec<CallRecord>,
    /// By when they began; no two overlap.
    pub outages: Vec<Outage>,
}

impl DiscoveryHistory {
    /// The first moment, from `at` on, in which the service could be reached.
    pub fn reachable_from(&self, at: Instant) -> Option<Instant> {
        let during = |outage: &&Outage| outage.from <= at && outage.to.is_none_or(|to| at < to);
        match self.outages.iter().find(during) {
            None => Some(at),
            Some(outage) => outage.to,
        }
    }
}
