//! The score of a host for one request; the lowest score is best. It consists of the load balance,
//! the gap between connection ends, the cost of another zone, and the cost of leaving the preferred
//! host of a group.

use super::fleet_estimate::FleetEstimate;
use super::selection::{Demand, BUSY_FACTOR};
use super::Balancer;
use crate::hashing::hash_to_unit_interval;
use crate::host::{uses_client_slots, Host, HIGH_LOAD};
use crate::intervals::LOOK_AHEAD_NANOS;
use crate::time::Nanos;

/// How much each unit of load above [`BUSY_FACTOR`] or [`HIGH_LOAD`] adds to the balance, in
/// addition to the unit itself.
const EXCESS_LOAD_FACTOR: f64 = 5.0;
/// The load added to reported loads before they are compared, because reports are old and noisy.
const REPORT_SMOOTHING: f64 = 1.0;
/// The cost of a host at the largest hash distance from the one that a group prefers.
const AFFINITY_COST: f64 = 4.0;
/// The cost of each further host in the order of hash distance, used if the host reports its load.
const AFFINITY_STEP_COST: f64 = 0.15;
/// The cost in mid-stream. It outweighs all other costs, because every node has to select the same
/// host.
const MID_STREAM_AFFINITY_COST: f64 = 1e6;

impl Balancer {
    pub(super) fn score(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
        vector: usize,
        tie_breaker: f64,
    ) -> f64 {
        let weights = self.weight_optimizer.weights(vector);
        // Other nodes can have placed only little at a host that has started recently.
        let recently_started =
            uses_client_slots(&self.settings) && host.is_warming_up(now, &self.settings);
        let filled_share = if recently_started {
            host.filled_share(now, &self.settings)
        } else {
            1.0
        };
        // A load report replaces the load that this node sees itself.
        let balance = host.report.load(now).map_or_else(
            || {
                let own_load = self.counted_load(host, fleet, recently_started, tie_breaker);
                self.own_balance(now, host, demand, fleet, own_load, filled_share)
            },
            |reported| self.reported_balance(now, host, demand, fleet, reported),
        );
        let end_gap = demand.duration.map_or(0.0, |duration| {
            let gap = (host.longest_remaining(now) - duration).abs();
            (gap / LOOK_AHEAD_NANOS).min(1.0)
        });
        let cross_zone = if self.is_local(host) {
            0.0
        } else {
            fleet.cross_zone_penalty * filled_share
        };
        weights.balance * balance
            + weights.end_gap * end_gap
            + cross_zone
            + self.affinity_cost(now, host, demand, fleet)
    }

    /// Returns this node's own load at the host. The load of a newcomer is blended with the mean.
    fn counted_load(
        &self,
        host: &Host,
        fleet: &FleetEstimate,
        recently_started: bool,
        tie_breaker: f64,
    ) -> f64 {
        // If one node decides for the whole fleet, a newcomer counts with its own load for twice
        // its share of requests. Otherwise it would stay empty, because in a balanced fleet some
        // hosts are always just under the mean.
        let unblended_share =
            f64::from(u8::from(self.settings.centralized)) * 2.0 / fleet.local_hosts;
        let own_load = host.relative_load();
        let is_blended = host.newcomer && tie_breaker >= unblended_share && !recently_started;
        if is_blended {
            own_load + fleet.newcomer_blend * (fleet.mean_load - own_load).max(0.0)
        } else {
            own_load + 0.0
        }
    }

    /// Returns the host's load with the request, relative to the mean, as this node sees it.
    fn own_balance(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
        own_load: f64,
        filled_share: f64,
    ) -> f64 {
        let added = demand.look_ahead_load + self.new_group_cost(host, demand);
        let load = own_load + added / host.endpoint.size;
        // The unseen load is scaled by the filled share. Otherwise nodes that each see almost no
        // load would treat new hosts as being as full as the others.
        let unseen_load = fleet.unseen_load * filled_share;
        let fleet_load = fleet.mean_load + fleet.unseen_load;
        let balance = (load + unseen_load) * (1.0 + host.latency.ratio(now)) / fleet_load;
        // Load above `BUSY_FACTOR` weighs more, scaled by the share of the load that this node
        // sees. Without this, hosts that a group or the own zone prefers would be filled beyond
        // their capacity; if they report no load, the node would notice that only when they shed
        // load.
        let seen_share = fleet.mean_load / fleet_load;
        let excess = (balance - BUSY_FACTOR).max(0.0);
        balance + EXCESS_LOAD_FACTOR * seen_share * seen_share * excess
    }

    /// Returns the host's load with the request, relative to the mean, according to the last
    /// report.
    fn reported_balance(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
        reported: f64,
    ) -> f64 {
        // The increase of a host's reported load for one unit of this node's own load.
        let reported_per_own = fleet.mean_reported_load
            / (fleet.mean_load * f64::from(self.settings.node_count))
                .max(4.0 * fleet.connection_load);
        let added =
            host.report.sent_since + demand.look_ahead_load + self.new_group_cost(host, demand);
        let load = reported + added / host.endpoint.size * reported_per_own;
        let excess = (load - HIGH_LOAD).max(0.0);
        (load + REPORT_SMOOTHING + EXCESS_LOAD_FACTOR * excess) * (1.0 + host.latency.ratio(now))
            / (fleet.mean_reported_load + REPORT_SMOOTHING)
    }

    /// Returns the cost of placing the request at a host that its group does not prefer. It is 0
    /// for a request without affinity, and outside passthrough at a host that holds a connection of
    /// the group.
    fn affinity_cost(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
    ) -> f64 {
        let Some(affinity) = demand.affinity else {
            return 0.0;
        };
        if !self.settings.passthrough && host.groups.contains_key(&affinity) {
            return 0.0;
        }
        let cost = if demand.request.incoming.mid_stream {
            MID_STREAM_AFFINITY_COST
        } else if host.report.load(now).is_some() {
            AFFINITY_STEP_COST * fleet.ready_hosts
        } else {
            AFFINITY_COST
        };
        let distance = -hash_to_unit_interval(affinity, host.id.0).ln() / host.endpoint.size;
        cost * distance.min(1.0)
    }
}
