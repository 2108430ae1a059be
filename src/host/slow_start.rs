//! Slow start: what a host that has just started may be sent, so that all nodes together do not
//! overload it. It owns the budget of a warming host and this node's part of it: slots in which the
//! nodes take turns, or in a large fleet slots of the clients. It must never choose a host.

use super::Host;
use crate::hashing::hash_to_unit_interval;
use crate::settings::BalancerSettings;
use crate::time::{Nanos, MILLI, SECOND};

/// How long a client's slot at a warming host lasts, where requests do not arrive too fast for
/// that.
pub(crate) const CLIENT_SLOT_TIME: Nanos = 2 * SECOND;
/// The load that a warm host can sustain, over the mean.
pub(crate) const WARM_CAPACITY_FACTOR: f64 = 4.0;
/// How many slots that a node has missed are made up for.
const MAX_MISSED_SLOTS: u64 = 8;

/// Whether the fleet has more nodes than the warm-up of a host has slots.
pub(crate) fn is_large_fleet(settings: &BalancerSettings) -> bool {
    u64::from(settings.node_count).saturating_mul(settings.overload_window) > settings.warm_up
}

/// Whether clients have their own slots at warming hosts: in a large fleet without load reports.
pub(crate) fn uses_client_slots(settings: &BalancerSettings) -> bool {
    is_large_fleet(settings) && !settings.load_from_probes
}

/// The number of the slot that is now.
fn current_slot(now: Nanos, settings: &BalancerSettings) -> u64 {
    now / settings.overload_window.max(MILLI)
}

/// What a node knows of the fleet when it computes the part of a warming host that is due.
pub(crate) struct SlowStartInputs {
    /// The size of all ready hosts.
    pub total_size: f64,
    /// Own connections that a warm host can sustain for each unit of size.
    pub connections_per_size: f64,
    /// How long a client's slot lasts.
    pub client_slot_time: Nanos,
}

/// What this node may still send a warming host.
#[derive(Clone, Copy, Default)]
pub(crate) struct SlowStartCredit {
    /// In mean loads.
    credit: f64,
    /// The slot up to which that was counted.
    slot: u64,
}

impl SlowStartCredit {
    /// Nothing, as of a slot long ago.
    pub fn clear(&mut self) {
        *self = SlowStartCredit::default();
    }
}

impl Host {
    pub(crate) fn is_warming_up(&self, now: Nanos, settings: &BalancerSettings) -> bool {
        self.age(now) < settings.warm_up
    }

    /// The share that other nodes may have placed at it since its start, of what they hold at a
    /// warm one.
    pub(crate) fn filled_share(&self, now: Nanos, settings: &BalancerSettings) -> f64 {
        (self.age(now) as f64 / settings.warm_up.max(1) as f64).min(1.0)
    }

    /// The share of its size that a host can be counted on to have reached since its start.
    fn warmed_share(&self, now: Nanos, settings: &BalancerSettings) -> f64 {
        settings.warm_up_initial_share
            + (1.0 - settings.warm_up_initial_share) * self.filled_share(now, settings)
    }

    /// Whether a host that is warm, or the budget of a warming one, has room for one more from this
    /// node. Client slots prevent new hosts from staying idle, as the one node of many whose slot
    /// it is has no request in it.
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

    /// Whether a client's slot at this warming host came within the last `span`. Each client has
    /// one while the host warms up, by a hash that all nodes compute alike, at the pace of half the
    /// budget; one without a key has its node's.
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
        // The same for clients of all zones. Without this, a host is overloaded where one zone has
        // most of the clients.
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

    /// Half the budget of one slot, in mean loads: two slots may meet in one overload window.
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

    /// What this node may send a warming host in the slot that is now. Nodes take turns by number,
    /// in another order for each host, as many at once as the budget has mean loads for. Each has
    /// half the budget: this prevents a host from being overloaded at the seam of two slots, and
    /// from staying idle where a round of hundreds outlasts the warm-up.
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
        let own = settings.slow_start_slots.is_empty() && is_turn_of(settings.node_index);
        let share = if own { 1.0 } else { assigned.sum() };
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
            ((slot - last.slot) / cycle).clamp(1, MAX_MISSED_SLOTS)
        };
        let credit = last.credit.min(1.0) + budget_per_node * share * accrued_turns as f64;
        SlowStartCredit {
            credit: credit.min(budget_per_node.max(1.0)),
            slot,
        }
    }

    /// This node has sent a warming host so much, in mean loads.
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

    /// Sends a warming host nothing in the slot that is now.
    pub(super) fn skip_current_slot(&mut self, now: Nanos, settings: &BalancerSettings) {
        self.slow_start = SlowStartCredit {
            credit: 0.0,
            slot: current_slot(now, settings),
        };
    }
}
