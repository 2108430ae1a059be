//! Estimates the state of the fleet from what this node knows of the ready hosts. In a large fleet,
//! one node sees only a sample of the load at each host.

use super::Balancer;
use crate::host::{Host, SlowStartInputs, CLIENT_SLOT_TIME, WARM_CAPACITY_FACTOR};
use crate::time::Nanos;

/// The penalty in a host's score for another zone, at a cross-zone cost of 1. In the score, a host
/// of mean load has a load balance of about 1.
const CROSS_ZONE_PENALTY: f64 = 18.0;
/// The upper bound of a host's unseen load, in mean connection loads.
const MAX_UNSEEN_LOADS: f64 = 50.0;
/// The lower bound of the mean reported load, to which the loads of single hosts are compared.
const MIN_REPORTED_LOAD: f64 = 0.05;

/// A node's estimate of the state of the ready hosts.
pub(super) struct FleetEstimate {
    /// The mean load per unit of size that this node has placed at the hosts that are not ejected
    /// (its own load). Newcomers count with their blended load.
    pub mean_load: f64,
    /// The share of a newcomer's load that is replaced by the mean of the other hosts, from 0 to 1.
    pub newcomer_blend: f64,
    /// The load added to each host's own load before loads are compared, because own connections
    /// are only a sample of a host's load. Without it, one or two connections would decide the
    /// comparison.
    pub unseen_load: f64,
    /// The share of the ready hosts that are not ejected and deliver messages in time.
    pub healthy_share: f64,
    /// The number of ready hosts in this node's zone, at least 1, and their total size.
    pub local_hosts: f64,
    pub local_size: f64,
    /// The load per unit of size that a host without a load limit can sustain: the mean of the
    /// limits if most hosts have one, otherwise infinite. Without it, all nodes would fill the one
    /// host that has no limit.
    pub typical_limit: f64,
    /// The cost of placing a connection in another zone. It decreases while hosts of this node's
    /// zone are ejected or limited; otherwise that zone would be filled far beyond its capacity.
    pub cross_zone_penalty: f64,
    /// The mean reported load of the hosts that report one, and the mean load of a connection.
    pub mean_reported_load: f64,
    pub connection_load: f64,
    /// The number of ready hosts.
    pub ready_hosts: f64,
    /// The inputs of slow start. A warm host is assumed to sustain [`WARM_CAPACITY_FACTOR`] times
    /// the mean, and less, down to the mean, the more warm hosts have a load limit. The more it is
    /// assumed to sustain, the larger is the budget of a warming host; too small a budget would
    /// leave the new hosts of a growing fleet idle.
    pub slow_start: SlowStartInputs,
}

impl FleetEstimate {
    /// Returns the share of the hosts' load that this node does not see, from 0 to 1.
    pub fn unseen_share(&self) -> f64 {
        self.unseen_load / (self.mean_load + self.unseen_load)
    }
}

/// Sums over the ready hosts. Counts are `f64` because they are used only in ratios.
#[derive(Default)]
struct Sums {
    ready: f64,
    healthy: f64,
    size: f64,
    limited: f64,
    /// The sum of the load limits per unit of size.
    limits: f64,
    reporting: f64,
    reported_load: f64,
    /// The number of hosts that are neither ejected nor newcomers, and their own load.
    settled: f64,
    settled_load: f64,
    newcomers: f64,
    newcomer_load: f64,
    /// Hosts in this node's zone: their number, their size, the number that are ejected or limited,
    /// and the number that are ejected, limited or have a connection of this node.
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

    /// Returns the mean load limit per unit of size if most hosts have a limit, otherwise infinity.
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
        // Newcomers count with the mean of the other hosts, so that they do not change it. The more
        // load a node sees, the more newcomers count with their own load. Without that, in a fleet
        // of two nodes that see all load, the other hosts would be filled beside nearly empty new
        // ones.
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
        // The smaller the share of the load that a node sees, the more each ejected or limited host
        // of its zone weighs.
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

    /// Returns how long a client's slot lasts: [`CLIENT_SLOT_TIME`], shortened if more requests
    /// arrive in that time than are open. Otherwise, at a high arrival rate, the slots of two
    /// seconds would be used up in one second and a warming host would be overloaded.
    fn client_slot_time(&self, now: Nanos) -> Nanos {
        let longest = CLIENT_SLOT_TIME as f64;
        let arrivals = self.arrival_rate.within(now, CLIENT_SLOT_TIME);
        let open = self.requests.len() as f64;
        (longest * (open / arrivals.max(f64::MIN_POSITIVE)).min(1.0)) as Nanos
    }
}
