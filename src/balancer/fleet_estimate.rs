//! An estimate of the fleet's state from what this node knows of the ready hosts: one node of many
//! sees but a sample of the load at each.

use super::Balancer;
use crate::host::{Host, SlowStartInputs, CLIENT_SLOT_TIME, WARM_CAPACITY_FACTOR};
use crate::time::Nanos;

/// What a connection to another zone costs, in mean own loads.
const CROSS_ZONE_PENALTY: f64 = 18.0;
/// The upper bound, in mean loads, of the unseen load of a host.
const MAX_UNSEEN_LOADS: f64 = 50.0;
/// The least mean reported load that others are compared with.
const MIN_REPORTED_LOAD: f64 = 0.05;

/// What a node estimates of the ready hosts.
pub(super) struct FleetEstimate {
    /// Mean own load of the hosts that are not ejected, newcomers as they count.
    pub mean_load: f64,
    /// How far a newcomer's load is replaced by the others' mean, from 0 to 1.
    pub newcomer_blend: f64,
    /// What own loads are blurred by, as what a node of many holds is but a sample. Without this,
    /// hosts would be judged by a connection or two.
    pub unseen_load: f64,
    /// The share of the hosts that are not ejected and whose messages are in time.
    pub healthy_share: f64,
    /// How many hosts stand in the own zone, at least 1, and their size.
    pub local_hosts: f64,
    pub local_size: f64,
    /// The load that a host without a load limit can sustain, for each unit of size: where most
    /// hosts have a limit, the mean of these. Without this, all nodes would fill the one host that
    /// has none.
    pub typical_limit: f64,
    /// The price of another zone, lower where own hosts are under pressure. Without the latter, one
    /// zone would be filled and filled.
    pub cross_zone_penalty: f64,
    /// Mean reported load, and the mean load of a connection.
    pub mean_reported_load: f64,
    pub connection_load: f64,
    /// How many hosts are ready.
    pub ready_hosts: f64,
    /// The inputs of slow start. A warm host can sustain [`WARM_CAPACITY_FACTOR`] times the mean,
    /// or less the more hosts have a load limit. Without the latter, new hosts of a growing fleet
    /// would stay idle.
    pub slow_start: SlowStartInputs,
}

impl FleetEstimate {
    /// How much of the hosts' load this node does not see, from 0 to 1.
    pub fn unseen_share(&self) -> f64 {
        self.unseen_load / (self.mean_load + self.unseen_load)
    }
}

/// Sums over the ready hosts; hosts are counted in `f64` as they enter ratios only.
#[derive(Default)]
struct Sums {
    ready: f64,
    healthy: f64,
    size: f64,
    limited: f64,
    /// Load limits for each unit of size.
    limits: f64,
    reporting: f64,
    reported_load: f64,
    /// Hosts that are not ejected, and their own load.
    settled: f64,
    settled_load: f64,
    newcomers: f64,
    newcomer_load: f64,
    /// Hosts of the own zone: all, ejected or limited, and those of which this node has a sign at
    /// all.
    local: f64,
    local_size: f64,
    local_under_pressure: f64,
    local_observed: f64,
    warm: f64,
    warm_size: f64,
    warm_limited: f64,
    warm_connections: f64,
}

fn one_if(condition: bool) -> f64 {
    f64::from(u8::from(condition))
}

impl Sums {
    fn add(&mut self, host: &Host, now: Nanos, is_local: bool, is_warm: bool) {
        let (ejected, limited) = (host.ejection.is_active(now), host.load_limit.is_set());
        let size = host.endpoint.size;
        self.ready += 1.0;
        self.healthy += one_if(!ejected && !host.latency.is_late(now));
        self.size += size;
        if let Some(limit) = host.load_limit.limit {
            self.limited += 1.0;
            self.limits += limit / size;
        }
        if let Some(load) = host.report.load(now) {
            self.reporting += 1.0;
            self.reported_load += load;
        }
        if !ejected && host.newcomer {
            self.newcomers += 1.0;
            self.newcomer_load += host.relative_load();
        } else if !ejected {
            self.settled += 1.0;
            self.settled_load += host.relative_load();
        }
        if is_local {
            self.local += 1.0;
            self.local_size += size;
            self.local_under_pressure += one_if(ejected || limited);
            self.local_observed += one_if(ejected || limited || !host.connections.is_empty());
        }
        if is_warm {
            self.warm += 1.0;
            self.warm_size += size;
            self.warm_limited += one_if(limited);
            self.warm_connections += host.connections.len() as f64;
        }
    }

    /// Load limits for each unit of size, where most hosts have one.
    fn typical_limit(&self) -> f64 {
        if 2.0 * self.limited > self.ready {
            self.limits / self.limited
        } else {
            f64::INFINITY
        }
    }

    fn connections_per_size(&self) -> f64 {
        let warm = f64::max(self.warm, 1.0);
        self.warm_connections / f64::max(self.warm_size, f64::MIN_POSITIVE)
            * (WARM_CAPACITY_FACTOR - (WARM_CAPACITY_FACTOR - 1.0) * self.warm_limited / warm)
    }
}

impl Balancer {
    pub(super) fn estimate_fleet(&self, now: Nanos) -> FleetEstimate {
        let mut sums = Sums::default();
        for host in self.hosts.iter().filter(|host| host.is_ready()) {
            let is_warm = !host.is_warming_up(now, &self.settings);
            sums.add(host, now, self.is_local(host), is_warm);
        }
        let connection_load = self.history.mean_load();
        let unseen_at = |mean: f64| {
            let unseen = connection_load * connection_load / mean.max(f64::MIN_POSITIVE);
            unseen.min(MAX_UNSEEN_LOADS * connection_load)
        };
        // Newcomers count at the others' mean, and that stays as it is; the more a node sees, the
        // more they count as they are. Without the latter, hosts would be filled and filled beside
        // new ones where two nodes see it all.
        let settled_mean = sums.settled_load / f64::max(sums.settled, 1.0);
        let newcomer_blend = if self.settings.centralized {
            1.0
        } else {
            unseen_at(settled_mean) / (settled_mean + unseen_at(settled_mean))
        };
        let newcomer_load = newcomer_blend * settled_mean * sums.newcomers
            + (1.0 - newcomer_blend) * sums.newcomer_load;
        let mean_load =
            (sums.settled_load + newcomer_load) / f64::max(sums.settled + sums.newcomers, 1.0);
        let unseen_load = unseen_at(mean_load);
        // The less a node sees, the more a sign of its own zone weighs.
        let pressure = (1.0 + unseen_load / (mean_load + unseen_load)) * sums.local_under_pressure
            / (1.0 + sums.local_observed);
        let zone_penalty_factor = (1.0 - pressure).max(0.0);
        FleetEstimate {
            mean_load,
            newcomer_blend,
            unseen_load,
            healthy_share: sums.healthy / f64::max(sums.ready, 1.0),
            local_hosts: f64::max(sums.local, 1.0),
            local_size: f64::max(sums.local_size, f64::MIN_POSITIVE),
            typical_limit: sums.typical_limit(),
            cross_zone_penalty: CROSS_ZONE_PENALTY
                * self.settings.cross_zone_cost
                * zone_penalty_factor,
            mean_reported_load: f64::max(
                sums.reported_load / f64::max(sums.reporting, 1.0),
                MIN_REPORTED_LOAD,
            ),
            connection_load,
            ready_hosts: sums.ready,
            slow_start: SlowStartInputs {
                total_size: sums.size,
                connections_per_size: sums.connections_per_size(),
                client_slot_time: self.client_slot_time(now),
            },
        }
    }

    /// How long a client's slot lasts: [`CLIENT_SLOT_TIME`] where in that time no more requests
    /// arrive than are open. Without this, a warming host would be overloaded as requests arrive so
    /// fast that the slots of two seconds are used up in one.
    fn client_slot_time(&self, now: Nanos) -> Nanos {
        let longest = CLIENT_SLOT_TIME as f64;
        let arrivals = self.arrival_rate.within(now, CLIENT_SLOT_TIME);
        let open = self.requests.len() as f64;
        (longest * (open / arrivals.max(f64::MIN_POSITIVE)).min(1.0)) as Nanos
    }
}
