//! Decides how much load a host can sustain, and which of its connections are migrated: those of a
//! draining host, and those of a host with late messages until this node's load there is within its
//! limit. A host with queued work delays the messages of all its connections.

use super::context::HostContext;
use super::load_limit::Overload;
use super::load_report::{FULL_LOAD, HIGH_LOAD};
use super::Host;
use crate::hashing::hash_to_unit_interval;
use crate::messages::RequestMessage;
use crate::time::{Nanos, SECOND};

/// A host counts as late if it broke more than one in this many of its connections since the last
/// tick.
const BROKEN_CONNECTIONS_DIVISOR: usize = 8;
/// The lower bound of a priority weight in a division.
const MIN_PRIORITY_WEIGHT: f64 = 1e-6;

impl Host {
    /// Returns whether the host can sustain `load` in addition to this node's current load.
    /// `typical_limit` is per unit of size.
    pub(crate) fn has_load_capacity(&self, now: Nanos, load: f64, typical_limit: f64) -> bool {
        let limit = self
            .load_limit
            .effective(typical_limit * self.endpoint.size);
        let limited = self.load_limit.is_set();
        let fits = self.own_load() + load <= limit;
        let max_reported = if limited { HIGH_LOAD } else { FULL_LOAD };
        let fits = self
            .report
            .load(now)
            .map_or(fits, |reported| reported < max_reported || limited && fits);
        !self.latency.is_late(now) && fits
    }

    /// Migrates connections away from a draining host. At other hosts, decreases the limit while
    /// messages are late and raises it while they are not.
    pub(super) fn adjust_load(
        &mut self,
        now: Nanos,
        mean_load: f64,
        healthy_share: f64,
        context: &mut HostContext,
    ) {
        if self.is_draining() {
            return self.migrate_off_draining(now, context);
        }
        // A host that breaks many connections counts as late. It sheds load and keeps some
        // connections, while a dead host has none left. Without this, clients would stay at a host
        // that sheds load.
        let broken = std::mem::take(&mut self.broken_connections) as usize;
        if BROKEN_CONNECTIONS_DIVISOR * broken > self.connections.len() {
            self.latency_measured(now, SECOND, context);
        }
        let measured_at = self.latency.measured_at;
        if !self.latency.is_late(now) {
            let load = self.own_load();
            let min_limit = mean_load * self.endpoint.size / 2.0;
            self.load_limit.raise(now, load, measured_at, min_limit);
        } else if self.load_limit.may_decrease(now, measured_at) {
            self.decrease_limit(now, mean_load, healthy_share, context);
        }
    }

    /// Migrates the connections evenly over the longest time for which the host can still owe an
    /// answer, so that none is cut off when the host goes away. If a hundred nodes each migrated
    /// one connection at once, they would overload other hosts and the session store.
    fn migrate_off_draining(&self, now: Nanos, context: &mut HostContext) {
        let drained_share = now.saturating_sub(self.draining_since) as f64
            / context.settings.max_request_timeout.max(1) as f64;
        for connection in &self.connections {
            let identity = connection.key.unwrap_or(connection.since);
            let position = hash_to_unit_interval(self.id.0, identity);
            if connection.established && position < drained_share {
                context.migrate(connection.slot);
            }
        }
    }

    fn decrease_limit(
        &mut self,
        now: Nanos,
        mean_load: f64,
        healthy_share: f64,
        context: &mut HostContext,
    ) {
        let objective = context.settings.shortest_message_latency_objective();
        let overload = Overload {
            latency_ratio: self.latency.ratio(now),
            objective_seconds: objective as f64 / SECOND as f64,
            load: self.own_load(),
            mean_load,
            size: self.endpoint.size,
            healthy_share,
        };
        let Some(limit) = self.load_limit.decrease(now, &overload) else {
            return;
        };
        log!(
            context.actions,
            "load limit decreased host={:x} latency_ratio={:.1} load={:.2} limit={limit:.2} connections={}",
            self.id.0,
            overload.latency_ratio,
            overload.load,
            self.connections.len()
        );
        self.migrate_down_to(limit, context);
    }

    /// Migrates connections, preferably those of the highest cost per priority, until this node's
    /// load at the host is within the limit or nearly so.
    fn migrate_down_to(&mut self, limit: f64, context: &mut HostContext) {
        let random = context.random.to_bits();
        let mut load = self.own_load();
        let mut observed = false;
        for index in self.by_cost_per_priority(random, context) {
            // Stops once the load above the limit is less than a random part of half the
            // connection's cost. Without this, many nodes would each migrate a whole connection
            // where a tenth of one is above the limit.
            let cost = self.connection_cost(index, context.history);
            if load - limit < 0.5 * cost * hash_to_unit_interval(!random, index as u64) {
                break;
            }
            load -= cost;
            // An already evaluated connection counts too if it is the only one. Without this, an
            // overload that begins with the first connections would go unnoticed. Only one counts
            // for each decrease: otherwise a single hanging host would cause all new requests to be
            // rejected.
            let not_evaluated = self.connections[index].weight_vector.take().is_some();
            let is_counted = not_evaluated || self.connections.len() == 1;
            if is_counted && !std::mem::replace(&mut observed, true) {
                context.send_request(RequestMessage::LatencyObserved { late: true });
            }
            context.migrate(self.connections[index].slot);
        }
    }

    /// Returns the indices of the open connections, ordered by cost per priority multiplied by a
    /// random factor, the highest first.
    fn by_cost_per_priority(&self, random: u64, context: &HostContext) -> Vec<usize> {
        let rank = |index: usize| {
            let class = &context.settings.classes[self.connections[index].class];
            self.connection_cost(index, context.history)
                / class.priority_weight.max(MIN_PRIORITY_WEIGHT)
                * hash_to_unit_interval(random, index as u64)
        };
        let mut order: Vec<(f64, usize)> = (0..self.connections.len())
            .filter(|&index| self.connections[index].established)
            .map(|index| (rank(index), index))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        order.into_iter().map(|(_, index)| index).collect()
    }
}
