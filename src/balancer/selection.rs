//! Selects a host for one request: decides which hosts may and can take it. Scores are computed in
//! `scoring.rs`.

use super::fleet_estimate::FleetEstimate;
use super::Balancer;
use crate::hashing::hash_to_unit_interval;
use crate::host::{uses_client_slots, Host, HIGH_LOAD};
use crate::intervals::{LOOK_AHEAD_STEP, LOOK_AHEAD_STEPS, TICK_INTERVAL};
use crate::permission::may_repeat_at;
use crate::request_table::Request;
use crate::time::Nanos;

/// The average number of hosts of its zone that a node without connections uses.
const INITIAL_SUBSET_SIZE: f64 = 3.0;
/// The ratio of own load to mean load above which a host counts as busy.
pub(super) const BUSY_FACTOR: f64 = 1.2;

/// What a request requires of a host.
pub(super) struct Demand<'a> {
    pub request: &'a Request,
    /// The load of the request, and its part within the look-ahead steps.
    pub load: f64,
    pub look_ahead_load: f64,
    /// How long the connection is expected to last, in nanoseconds; `None` if unknown.
    pub duration: Option<f64>,
    /// The value that determines its preferred host: the key in passthrough, otherwise the group,
    /// if groups are enabled.
    pub affinity: Option<u64>,
}

/// The hosts among which one is selected.
#[derive(Clone, Copy, PartialEq)]
enum Candidates {
    /// The few hosts that this node uses.
    Subset,
    /// All ready hosts that the request has not tried.
    Untried,
    /// All ready hosts, including those already tried. Ejected hosts are included only if all are
    /// ejected.
    Any {
        /// Whether all ready hosts are ejected.
        all_ejected: bool,
    },
}

/// A host that can take the request, and its score.
struct ScoredHost {
    index: usize,
    /// The lowest score is best.
    score: f64,
    tie_breaker: f64,
}

impl ScoredHost {
    fn is_better(&self, other: &ScoredHost) -> bool {
        self.score < other.score
            || (self.score == other.score && self.tie_breaker < other.tie_breaker)
    }
}

impl Balancer {
    /// Returns the host with the lowest score among those that may and can take the request, or
    /// `None` if there is none. Ties are broken at random.
    pub(super) fn select_host(
        &self,
        now: Nanos,
        request: &Request,
        vector: usize,
        random: u64,
    ) -> Option<usize> {
        let demand = self.demand(now, request);
        let fleet = self.estimate_fleet(now);
        let all_ejected = || {
            self.hosts
                .iter()
                .all(|host| !host.is_ready() || host.ejection.is_active(now))
        };
        let best = |candidates| self.best_host(now, &demand, &fleet, candidates, vector, random);
        best(Candidates::Subset)
            .or_else(|| best(Candidates::Untried))
            .or_else(|| {
                best(Candidates::Any {
                    all_ejected: all_ejected(),
                })
            })
    }

    fn demand<'a>(&self, now: Nanos, request: &'a Request) -> Demand<'a> {
        let incoming = &request.incoming;
        let duration = self.history.expected_duration(incoming.key, now);
        let known_load = incoming
            .usual_load
            .or(self.history.last_load(incoming.key, now));
        let load = self.history.load(incoming.class, known_load);
        let look_ahead_share = duration.map_or(1.0, |duration| {
            let steps = (duration / LOOK_AHEAD_STEP as f64).ceil();
            steps.clamp(1.0, LOOK_AHEAD_STEPS as f64) / LOOK_AHEAD_STEPS as f64
        });
        let affinity = if self.settings.passthrough {
            incoming.key
        } else {
            incoming.group.filter(|_| self.settings.groups_enabled)
        };
        Demand {
            request,
            load,
            look_ahead_load: load * look_ahead_share,
            duration,
            affinity,
        }
    }

    fn best_host(
        &self,
        now: Nanos,
        demand: &Demand,
        fleet: &FleetEstimate,
        candidates: Candidates,
        vector: usize,
        random: u64,
    ) -> Option<usize> {
        let mut best: Option<ScoredHost> = None;
        for (index, host) in self.hosts.iter().enumerate() {
            let tried = demand.request.tried_hosts.contains(&index);
            let is_candidate = host.is_ready()
                && match candidates {
                    Candidates::Subset => !tried && self.is_in_subset(now, host, demand, fleet),
                    Candidates::Untried => !tried,
                    Candidates::Any { .. } => true,
                };
            if !is_candidate || !self.can_take(now, host, demand, fleet, candidates) {
                continue;
            }
            let tie_breaker = hash_to_unit_interval(random, index as u64);
            let candidate = ScoredHost {
                index,
                score: self.score(now, host, demand, fleet, vector, tie_breaker),
                tie_breaker,
            };
            if best.as_ref().is_none_or(|best| candidate.is_better(best)) {
                best = Some(candidate);
            }
        }
        best.map(|best| best.index)
    }

    /// Returns whether the host is in the subset that this node uses and is not busy. The subset
    /// consists of the hosts of its zone where it has a connection, newcomers, and a few chosen by
    /// a hash of node and host; for a request with an affinity, of those that hold its group. If
    /// all of these are busy, one more host is used.
    fn is_in_subset(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
    ) -> bool {
        // Warming hosts of all zones are included. Without this, a zone that has most of the
        // clients would be overloaded while the hosts of another zone are all new and empty.
        let warming = host.is_warming_up(now, &self.settings) && uses_client_slots(&self.settings);
        let local = self.is_local(host);
        self.is_used(host, demand, fleet, warming)
            && !self.is_busy(now, host, fleet)
            && (warming || local)
    }

    fn is_used(&self, host: &Host, demand: &Demand, fleet: &FleetEstimate, warming: bool) -> bool {
        // Any node uses a warming host. Otherwise clients migrated to a new host would be placed
        // elsewhere by nodes that have just started.
        if warming {
            return true;
        }
        if let Some(affinity) = demand.affinity {
            return !self.settings.passthrough && host.groups.contains_key(&affinity);
        }
        if !host.connections.is_empty() || host.newcomer || self.settings.centralized {
            return true;
        }
        let node = u64::from(self.settings.node_index);
        hash_to_unit_interval(node, host.id.0) < INITIAL_SUBSET_SIZE / fleet.local_hosts
    }

    fn is_busy(&self, now: Nanos, host: &Host, fleet: &FleetEstimate) -> bool {
        let busy_load = BUSY_FACTOR * (fleet.mean_load + fleet.unseen_load);
        let is_overloaded = host.report.load(now).map_or(
            host.relative_load() + fleet.unseen_load > busy_load,
            |reported| reported > HIGH_LOAD,
        );
        is_overloaded
            || host.load_limit.is_set()
            || host.ejection.is_active(now)
            || host.latency.is_late(now)
    }

    /// Returns the cost, in addition to its load, of a request at a host that holds no connection
    /// of its group.
    pub(super) fn new_group_cost(&self, host: &Host, demand: &Demand) -> f64 {
        let is_new = demand
            .affinity
            .is_some_and(|group| !self.settings.passthrough && !host.groups.contains_key(&group));
        f64::from(u8::from(is_new)) * self.history.group_cost()
    }

    /// Returns whether a ready host may and can take the request.
    fn can_take(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
        candidates: Candidates,
    ) -> bool {
        let has_no_recent_attempt = host.has_no_recent_attempt(now, TICK_INTERVAL / 2);
        let all_ejected = candidates == Candidates::Any { all_ejected: true };
        if host.ejection.is_active(now) && !(all_ejected && has_no_recent_attempt) {
            return false;
        }
        let left_to_successor =
            self.shutdown.has_successor && host.is_warming_up(now, &self.settings);
        let load = demand.load + self.new_group_cost(host, demand);
        !left_to_successor
            && host.has_load_capacity(now, load, fleet.typical_limit)
            && (self.slow_start_allows(now, host, demand, fleet)
                // Only a start time in the endpoint list counts here. Otherwise a node whose own
                // network was down would treat all hosts as just started.
                || matches!(candidates, Candidates::Any { .. })
                    && has_no_recent_attempt
                    && host.is_listed_as_warm(now, &self.settings))
            && self.is_in_idempotency_group(host, demand.request)
    }

    fn slow_start_allows(
        &self,
        now: Nanos,
        host: &Host,
        demand: &Demand,
        fleet: &FleetEstimate,
    ) -> bool {
        let key = demand.request.incoming.key;
        host.has_slow_start_capacity(now, key, &fleet.slow_start, &self.settings)
    }

    /// Returns whether the host may get a repeat of the request. If an earlier attempt of a request
    /// with an idempotency key may have run, the host has to be in the group in which that attempt
    /// ran and in which its host is listed now. Otherwise a repeat could leave its group if that
    /// host came back under its id in another group, or if new settings give a zone number another
    /// meaning.
    fn is_in_idempotency_group(&self, host: &Host, request: &Request) -> bool {
        let class = &self.settings.classes[request.incoming.class];
        let Some(first_run) = &request.first_run else {
            return true;
        };
        [&first_run.endpoint, &self.hosts[first_run.host].endpoint]
            .into_iter()
            .all(|first| may_repeat_at(class, Some(first), &host.endpoint).is_ok())
    }
}
