//! The score of a host for one request, the lower the better: the design's two parts, load balance
//! and the gap between ends, and the preferences for the own zone and for a group's host.

use super::fleet_estimate::FleetEstimate;
use super::selection::{Demand, BUSY_FACTOR};
use super::Balancer;
use crate::hashing::hash_to_unit_interval;
use crate::host::{uses_client_slots, Host, HIGH_LOAD};
use crate::intervals::LOOK_AHEAD_NANOS;
use crate::time::Nanos;

/// How many times steeper the balance counts at a busy or crowded host.
const EXCESS_LOAD_FACTOR: f64 = 5.0;
/// What reported loads are blurred by, as a report is old and noisy.
const REPORT_SMOOTHING: f64 = 1.0;
/// The cost of a host far from the one that a group prefers.
const AFFINITY_COST: f64 = 4.0;
/// The cost of each host further from it, where loads are reported.
const AFFINITY_STEP_COST: f64 = 0.15;
/// In mid-stream, the preferred host outweighs all else, as every node has to select the same one.
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
        // What others can have placed at a host that started lately is little.
        let recently_started =
            uses_client_slots(&self.settings) && host.is_warming_up(now, &self.settings);
        let filled_share = if recently_started {
            host.filled_share(now, &self.settings)
        } else {
            1.0
        };
        // A load report replaces what this node can see itself.
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

    /// The own load at the host; a newcomer's is blended with the mean.
    fn counted_load(
        &self,
        host: &Host,
        fleet: &FleetEstimate,
        recently_started: bool,
        tie_breaker: f64,
    ) -> f64 {
        // Without this share, a newcomer would stay empty where one node decides for all, as of
        // hosts in balance some are always just under the mean: it counts as it is for twice its
        // share of requests.
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

    /// The host's load with the request over the mean, by what this node sees itself.
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
        // Without the filled share, new hosts would be taken for as full as the rest, where each
        // node sees next to nothing of any.
        let unseen_load = fleet.unseen_load * filled_share;
        let fleet_load = fleet.mean_load + fleet.unseen_load;
        let balance = (load + unseen_load) * (1.0 + host.latency.ratio(now)) / fleet_load;
        // Without this, hosts that groups and the own zone prefer would be filled past what they
        // bear, where nothing reports that until they shed load. The less a node sees of the hosts,
        // the less that counts.
        let seen_share = fleet.mean_load / fleet_load;
        let excess = (balance - BUSY_FACTOR).max(0.0);
        balance + EXCESS_LOAD_FACTOR * seen_share * seen_share * excess
    }

    /// The host's load with the request over the mean, by the last report.
    fn reported_balance(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
        reported: f64,
    ) -> f64 {
        // What one unit of own load adds to a reported load.
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

    /// What it costs to place a request at a host that its group does not prefer and is not at.
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
