//! Slow start: limits what a host that has just started may be sent, so that all nodes together do
//! not overload it. It computes the budget of a warming host and this node's part of it. The nodes
//! take turns in slots; in a large fleet without load reports, each client has a slot instead. It
//! never chooses a host.

use super::Host;
use crate::hashing::hash_to_unit_interval;
use crate::settings::BalancerSettings;
use crate::time::{Nanos, MILLI, SECOND};

/// The length of a client's slot at a warming host; it is shorter if requests arrive too fast for
/// it.
pub(crate) const CLIENT_SLOT_TIME: Nanos = 2 * SECOND;
/// The load that a warm host can sustain, as a multiple of the mean.
pub(crate) const WARM_CAPACITY_FACTOR: f64 = 4.0;
/// The maximum number of a node's turns for which credit accrues at once.
const MAX_ACCRUED_TURNS: u64 = 8;

/// Returns whether the fleet has more nodes than a warm-up has slots.
pub(crate) fn is_large_fleet(settings: &BalancerSettings) -> bool {
    u64::from(settings.node_count).saturating_mul(settings.overload_window) > settings.warm_up
}

/// Returns whether clients have their own slots at warming hosts: in a large fleet without load
/// reports.
pub(crate) fn uses_client_slots(settings: &BalancerSettings) -> bool {
    is_large_fleet(settings) && !settings.load_from_probes
}

/// Returns the number of the current slot.
fn current_slot(now: Nanos, settings: &BalancerSettings) -> u64 {
    now / settings.overload_window.max(MILLI)
}

/// What a node needs to know of the fleet to compute the budget of a warming host.
pub(crate) struct SlowStartInputs {
    /// The total size of all ready hosts.
    pub total_size: f64,
    /// The number of this node's connections that a warm host can sustain per unit of size.
    pub connections_per_size: f64,
    /// The length of a client's slot.
    pub client_slot_time: Nanos,
}

/// The load that this node may still send to a warming host.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartCredit {
    /// The load, in mean loads.
    credit: f64,
    /// The number of the slot in which that was computed.
    slot: u64,
}

impl SlowStartCredit {
    /// Removes all credit. The next turn accrues credit as if it were the first.
    pub fn clear(&mut self) {
        *self = SlowStartCredit::default();
    }
}

impl Host {
    pub(crate) fn is_warming_up(&self, now: Nanos, settings: &BalancerSettings) -> bool {
        self.age(now) < settings.warm_up
    }

    /// Returns how much other nodes may have placed at the host since its start, as a share of what
    /// they hold at a warm host.
    pub(crate) fn filled_share(&self, now: Nanos, settings: &BalancerSettings) -> f64 {
        (self.age(now) as f64 / settings.warm_up.max(1) as f64).min(1.0)
    }

    /// Returns the share of its capacity that a host has reached since its start.
    fn warmed_share(&self, now: Nanos, settings: &BalancerSettings) -> f64 {
        settings.warm_up_initial_share
            + (1.0 - settings.warm_up_initial_share) * self.filled_share(now, settings)
    }

    /// Returns whether the host can take one more connection from this node: it is warm, or its
    /// slow-start budget allows it. Client slots keep new hosts from staying idle when the node
    /// whose turn it is has no request in its slot.
    pub(crate) fn has_slow_start_capacity(
        &self,
        now: Nanos,
        key: Option<u64>,
        inputs: &SlowStartInputs,
        settings: &BalancerSettings,
    ) -> bool {
        if !self.is_warming_up(now, settings) {
            return true;
        }
        if uses_client_slots(settings) {
            return self.client_slot_started(now, key, inputs.client_slot_time, inputs, settings);
        }
        self.accrued_credit(now, inputs.connections_per_size, settings)
            .credit
            >= 1.0
    }

    /// Returns whether a client's slot at this warming host started within the last `span`. Each
    /// client has one slot while the host warms up, given by a hash that all nodes compute alike.
    /// The slots start at the pace of half the budget. A client without a key uses the slot of its
    /// node.
    pub(crate) fn client_slot_started(
        &self,
        now: Nanos,
        key: Option<u64>,
        span: Nanos,
        inputs: &SlowStartInputs,
        settings: &BalancerSettings,
    ) -> bool {
        let nodes = f64::from(settings.node_count.max(1));
        let position = key.map_or((f64::from(settings.node_index) + 0.5) / nodes, |key| {
            hash_to_unit_interval(key, self.id.0)
        });
        // The share is the same for clients of all zones. Otherwise a host would be overloaded if
        // one zone has most of the clients.
        let capacity_share =
            WARM_CAPACITY_FACTOR * self.endpoint.size / inputs.total_size.max(self.endpoint.size);
        let last_started_position = |age: Nanos| {
            let age = age as f64 / settings.warm_up.max(1) as f64;
            let warmed = settings.warm_up_initial_share * age
                + (1.0 - settings.warm_up_initial_share) * age * age / 2.0;
            settings.overload_factor * capacity_share * warmed / 2.0
        };
        let age = self.age(now);
        let slot_started = position < last_started_position(age)
            && position >= last_started_position(age.saturating_sub(span));
        slot_started && (key.is_some() || now >= self.last_attempt_at + CLIENT_SLOT_TIME)
    }

    /// Returns half the budget of one slot, in mean loads, because one overload window may overlap
    /// two slots.
    fn half_budget(
        &self,
        now: Nanos,
        connections_per_size: f64,
        settings: &BalancerSettings,
    ) -> f64 {
        let nodes = f64::from(settings.node_count.max(1));
        let fill_rate = (connections_per_size * nodes + 1.0) * self.endpoint.size
            / settings.warm_up.max(1) as f64;
        settings.overload_factor
            * self.warmed_share(now, settings)
            * fill_rate
            * settings.overload_window as f64
            / 2.0
    }

    /// Returns what this node may send to a warming host in the current slot. Nodes take turns by
    /// number, in a different order for each host, and one slot is shared by as many nodes as half
    /// its budget has mean loads, up to a quarter of all. Only half the budget is used, so that two
    /// adjacent slots together do not overload the host. If hundreds of nodes did not share slots,
    /// a cycle of all turns would take longer than the warm-up, and the host would stay idle.
    fn accrued_credit(
        &self,
        now: Nanos,
        connections_per_size: f64,
        settings: &BalancerSettings,
    ) -> SlowStartCredit {
        let nodes = u64::from(settings.node_count.max(1));
        let half_budget = self.half_budget(now, connections_per_size, settings);
        let concurrent = (half_budget as u64).min(nodes / 4).max(1);
        let (cycle, budget_per_node) =
            (nodes.div_ceil(concurrent), half_budget / concurrent as f64);
        let slot = current_slot(now, settings);
        let turn = slot.wrapping_add((hash_to_unit_interval(self.id.0, 0) * 1e6) as u64);
        let is_turn_of = |node: u32| turn % cycle == u64::from(node) % cycle;
        let assigned = settings
            .slow_start_slots
            .iter()
            .filter(|(node, _)| is_turn_of(*node))
            .map(|(_, share)| share);
        let is_own_turn = settings.slow_start_slots.is_empty() && is_turn_of(settings.node_index);
        let share = if is_own_turn { 1.0 } else { assigned.sum() };
        let last = self.slow_start;
        if slot == last.slot {
            return last;
        }
        if share <= 0.0 {
            return SlowStartCredit {
                credit: 0.0,
                slot: last.slot,
            };
        }
        let accrued_turns = if last.slot == 0 {
            1
        } else {
            ((slot - last.slot) / cycle).clamp(1, MAX_ACCRUED_TURNS)
        };
        let credit = last.credit.min(1.0) + budget_per_node * share * accrued_turns as f64;
        SlowStartCredit {
            credit: credit.min(budget_per_node.max(1.0)),
            slot,
        }
    }

    /// Subtracts the load, in mean loads, that this node has sent to a warming host.
    pub(super) fn spend_slow_start_credit(
        &mut self,
        now: Nanos,
        loads: f64,
        connections_per_size: f64,
        settings: &BalancerSettings,
    ) {
        self.slow_start = self.accrued_credit(now, connections_per_size, settings);
        self.slow_start.credit -= loads;
    }

    /// Uses up the credit of the current slot.
    pub(super) fn skip_current_slot(&mut self, now: Nanos, settings: &BalancerSettings) {
        self.slow_start = SlowStartCredit {
            credit: 0.0,
            slot: current_slot(now, settings),
        };
    }
}
