//! The load that a host reports: how long a report is valid, when this node probes the host, and
//! when it gossips the load.

use crate::endpoint::HostId;
use crate::hashing::hash_to_unit_interval;
use crate::settings::BalancerSettings;
use crate::time::{Nanos, SECOND};

/// The interval at which each host is probed by one of the nodes.
const PROBE_INTERVAL: Nanos = 2 * SECOND;
/// How long a report is valid.
const MAX_AGE: Nanos = 40 * SECOND;
/// The interval after which an unchanged load is gossiped again.
const GOSSIP_INTERVAL: Nanos = 15 * SECOND;
/// The change of a load above which it is gossiped; half of it if the old or new load is above
/// [`HIGH_LOAD`].
const GOSSIP_THRESHOLD: f64 = 0.2;
/// The reported load above which a host counts as highly loaded.
pub(crate) const HIGH_LOAD: f64 = 0.7;
/// The reported load from which a host is full.
pub(crate) const FULL_LOAD: f64 = 0.9;

/// The last load report of a host.
#[derive(Default)]
pub(crate) struct LoadReport {
    pub load: f64,
    pub reported_at: Nanos,
    /// The load that this node has sent there, halved with each report.
    pub sent_since: f64,
    /// The load that was last gossiped to all nodes, and when.
    gossiped_load: f64,
    gossiped_at: Nanos,
}

impl LoadReport {
    /// Returns the reported load, or `None` if there is no report or it is too old.
    pub fn load(&self, now: Nanos) -> Option<f64> {
        (self.reported_at > 0 && now < self.reported_at + MAX_AGE).then_some(self.load)
    }

    pub fn reported(&mut self, now: Nanos, load: f64) {
        self.load = load;
        self.reported_at = now;
        self.sent_since /= 2.0;
    }

    /// Returns whether this load differs enough from the last gossiped one, or that is long ago.
    pub fn should_gossip(&self, now: Nanos, load: f64) -> bool {
        let threshold = if load.max(self.gossiped_load) > HIGH_LOAD {
            GOSSIP_THRESHOLD / 2.0
        } else {
            GOSSIP_THRESHOLD
        };
        (load - self.gossiped_load).abs() > threshold || now > self.gossiped_at + GOSSIP_INTERVAL
    }

    pub fn gossiped(&mut self, now: Nanos, load: f64) {
        self.gossiped_load = load;
        self.gossiped_at = now;
    }
}

/// The schedule on which this node probes a host.
#[derive(Default)]
pub(crate) struct ProbeSchedule {
    /// The number of the interval in which this node last probed it.
    last_round: u64,
    /// Whether this node was assigned to probe it; `None` if nothing was assigned.
    assigned: Option<bool>,
}

impl ProbeSchedule {
    /// Returns whether it is this node's turn to probe the host: as assigned, or else by node
    /// number, in a different order for each host.
    pub fn is_due(&self, now: Nanos, id: HostId, settings: &BalancerSettings) -> bool {
        let round = now / PROBE_INTERVAL;
        let turn = round.wrapping_add((hash_to_unit_interval(id.0, 1) * 1e6) as u64);
        let nodes = u64::from(settings.node_count.max(1));
        let by_number = turn % nodes == u64::from(settings.node_index) % nodes;
        round != self.last_round && self.assigned.unwrap_or(by_number)
    }

    pub fn assign(&mut self, now: Nanos, assigned: bool) {
        // A newly assigned host is not probed in the current interval. Without this, two nodes
        // would probe it in one interval, and the new one again at the start of the next.
        if assigned && self.assigned == Some(false) {
            self.last_round = now / PROBE_INTERVAL;
        }
        self.assigned = Some(assigned);
    }

    pub fn probed(&mut self, now: Nanos) {
        self.last_round = now / PROBE_INTERVAL;
    }
}
