//! The load that a host reports: how long a report counts, when this node probes for one, and when
//! it gossips one.

use crate::endpoint::HostId;
use crate::hashing::hash_to_unit_interval;
use crate::settings::BalancerSettings;
use crate::time::{Nanos, SECOND};

/// How often some node probes each host.
const PROBE_INTERVAL: Nanos = 2 * SECOND;
/// How long a report counts.
const MAX_AGE: Nanos = 40 * SECOND;
/// The interval after which an unchanged load is gossiped again.
const GOSSIP_INTERVAL: Nanos = 15 * SECOND;
/// By how much a load must have changed to be gossiped; half as much where the host is crowded.
const GOSSIP_THRESHOLD: f64 = 0.2;
/// The reported load from which a host is crowded.
pub(crate) const HIGH_LOAD: f64 = 0.7;
/// The reported load at which a host is full.
pub(crate) const FULL_LOAD: f64 = 0.9;

/// The last load report of a host.
#[derive(Default)]
pub(crate) struct LoadReport {
    pub load: f64,
    pub reported_at: Nanos,
    /// The load that this node has sent there since.
    pub sent_since: f64,
    /// What was last gossiped to all nodes, and when.
    gossiped_load: f64,
    gossiped_at: Nanos,
}

impl LoadReport {
    /// The reported load, unless the report is too old.
    pub fn load(&self, now: Nanos) -> Option<f64> {
        (self.reported_at > 0 && now < self.reported_at + MAX_AGE).then_some(self.load)
    }

    pub fn reported(&mut self, now: Nanos, load: f64) {
        self.load = load;
        self.reported_at = now;
        self.sent_since /= 2.0;
    }

    /// Whether this load differs enough from the last gossip.
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

/// When this node probes a host.
#[derive(Default)]
pub(crate) struct ProbeSchedule {
    /// The round in which this node last probed it.
    last_round: u64,
    /// Whether this node is to probe it, where that was assigned.
    assigned: Option<bool>,
}

impl ProbeSchedule {
    /// Whether it is this node's turn: as assigned, or by number, in another order for each host.
    pub fn is_due(&self, now: Nanos, id: HostId, settings: &BalancerSettings) -> bool {
        let round = now / PROBE_INTERVAL;
        let turn = round.wrapping_add((hash_to_unit_interval(id.0, 1) * 1e6) as u64);
        let nodes = u64::from(settings.node_count.max(1));
        let by_number = turn % nodes == u64::from(settings.node_index) % nodes;
        round != self.last_round && self.assigned.unwrap_or(by_number)
    }

    pub fn assign(&mut self, now: Nanos, assigned: bool) {
        // Without this, a host would be probed by two nodes in one round, and by its new one at
        // once again in the next.
        if assigned && self.assigned == Some(false) {
            self.last_round = now / PROBE_INTERVAL;
        }
        self.assigned = Some(assigned);
    }

    pub fn probed(&mut self, now: Nanos) {
        self.last_round = now / PROBE_INTERVAL;
    }
}
