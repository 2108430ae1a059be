//! Slow start: what a host that has just started may be sent, so that all nodes together do not push it over. It owns the
//! budget of a cold host and this node's part of it, by turns or by lot. It must never choose a host.

use crate::records::{draw, Host, Survey};
use crate::{BalancerSettings, Nanos, MILLI, SECOND};

/// How long a client's lot at a cold host holds.
pub(crate) const LOT: Nanos = 2 * SECOND;
/// What a warm host bears, over the mean.
pub(crate) const BEARS: f64 = 4.0;

/// Whether the fleet has more nodes than a host's warm-up has turns.
pub(crate) fn many(settings: &BalancerSettings) -> bool {
    u64::from(settings.node_count).saturating_mul(settings.overload_window) > settings.warm_up
}

/// Whether cold hosts take by lot: many nodes, and no report tells who is new.
pub(crate) fn by_lot(settings: &BalancerSettings) -> bool {
    many(settings) && !settings.load_from_probes
}

impl Host {
    pub(crate) fn cold(&self, now: Nanos, settings: &BalancerSettings) -> bool {
        self.age(now) < settings.warm_up
    }

    /// Whether the budget of a cold host has room for one more from this node: by turns, or where these are
    /// fewer than the nodes, by lot. Guards: new hosts left idle, as the one node of many whose second it
    /// is has nobody to place in it.
    pub(crate) fn cold_room(
        &self,
        now: Nanos,
        key: Option<u64>,
        view: &Survey,
        settings: &BalancerSettings,
    ) -> bool {
        !self.cold(now, settings)
            || match by_lot(settings) {
                true => self.drawn(now, key, view.lot, view, settings),
                false => self.credit_at(now, view.count, settings).0 >= 1.0,
            }
    }

    /// Whether a client's turn at this cold host came within the last `span`. Each has one while it warms up,
    /// by a draw that all nodes make alike, at the pace of half the budget; one without a name its node's.
    pub(crate) fn drawn(
        &self,
        now: Nanos,
        key: Option<u64>,
        span: Nanos,
        view: &Survey,
        settings: &BalancerSettings,
    ) -> bool {
        let nodes = f64::from(settings.node_count.max(1));
        let place = key.map_or((f64::from(settings.node_index) + 0.5) / nodes, |key| {
            draw(key, self.id.0)
        });
        // Alike for clients of all zones. Guards: a host pushed over where one zone has most of the clients.
        let share = BEARS * self.listing.size / view.size.max(self.listing.size);
        let come = |age: Nanos| {
            let age = age as f64 / settings.warm_up.max(1) as f64;
            let warmed = settings.warm_up_initial_share * age
                + (1.0 - settings.warm_up_initial_share) * age * age / 2.0;
            settings.overload_factor * share * warmed / 2.0
        };
        let turn = place < come(self.age(now)) && place >= come(self.age(now).saturating_sub(span));
        turn && (key.is_some() || now >= self.sent + LOT)
    }

    /// Half the budget of a turn of `overload_window`, in usual loads: two turns may meet in one window.
    pub(crate) fn half(&self, now: Nanos, count: f64, settings: &BalancerSettings) -> f64 {
        let nodes = f64::from(settings.node_count.max(1));
        let fill = (count * nodes + 1.0) * self.listing.size / settings.warm_up.max(1) as f64;
        settings.overload_factor
            * self.warmth(now, settings)
            * fill
            * settings.overload_window as f64
            / 2.0
    }

    /// What a cold host may be sent by this node in this turn of `overload_window`: by number, in another order for
    /// each host, as many together as the budget has usual loads for; half the budget each (guards: a host
    /// pushed over at the seam of two turns; one left idle where a round of hundreds outlasts the warm-up).
    pub(crate) fn credit_at(
        &self,
        now: Nanos,
        count: f64,
        settings: &BalancerSettings,
    ) -> (f64, u64) {
        let nodes = u64::from(settings.node_count.max(1));
        let half = self.half(now, count, settings);
        let together = (half as u64).min(nodes / 4).max(1);
        let (cycle, part) = (nodes.div_ceil(together), half / together as f64);
        let turn = now / settings.overload_window.max(MILLI);
        let place = turn.wrapping_add((draw(self.id.0, 0) * 1e6) as u64);
        let in_turn = |of: u32| place % cycle == u64::from(of) % cycle;
        let turns = settings
            .slow_start_slots
            .iter()
            .filter(|(of, _)| in_turn(*of))
            .map(|(_, share)| share);
        let own = settings.slow_start_slots.is_empty() && in_turn(settings.node_index);
        let share = if own { 1.0 } else { turns.sum() };
        if share <= 0.0 || turn == self.turn {
            return (if turn == self.turn { self.credit } else { 0.0 }, self.turn);
        }
        let missed = if self.turn == 0 {
            1
        } else {
            ((turn - self.turn) / cycle).clamp(1, 8)
        };
        (
            (self.credit.min(1.0) + part * share * missed as f64).min(part.max(1.0)),
            turn,
        )
    }

    /// Gives a cold host nothing in the turn that is now.
    pub(crate) fn sit_out(&mut self, now: Nanos, settings: &BalancerSettings) {
        (self.credit, self.turn) = (0.0, now / settings.overload_window.max(MILLI));
    }
}
