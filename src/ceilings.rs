//! Ceilings: how much of its own load a node leaves at a host whose messages come late. It owns the cuts, and how a ceiling
//! rises again while the host is well. It must never choose a host.

use crate::choice::{Room, CROWDED, FULL, LATE};
use crate::records::{draw, Conn, Host, Note, To, PULSE};
use crate::{Action, HostState, Nanos, SECOND};

/// How fast a ceiling rises, a second.
const RISE: f64 = 0.02;
/// What a cut leaves of the mean own load.
const FLOOR: f64 = 0.1;
/// How long a cut is given before the next.
const CUT_EVERY: Nanos = 3 * PULSE;
/// Seconds within which a cut is to let the work piled up at a host drain.
const DRAIN: f64 = 2.0;

impl Host {
    /// Whether `load` more fits under what the host has shown to bear.
    pub(crate) fn bears(&self, now: Nanos, load: f64, typical: f64) -> bool {
        // Guards: a host that bears its load well, kept from more by ceilings that the others earned.
        let ceiling = self
            .ceiling
            .unwrap_or((typical * self.listing.size).max(0.9 * self.good));
        let fits = self.borne() + load <= ceiling;
        let most = if self.ceiling.is_some() {
            CROWDED
        } else {
            FULL
        };
        let fits = self
            .reported(now)
            .map_or(fits, |load| load < most || self.ceiling.is_some() && fits);
        self.slow(now) < LATE && fits
    }

    /// Looks after what stands at the host: moves it off a drain, cuts it where messages come late, and lets the ceiling rise
    /// while they do not. Guards: a host with work piled up serves nobody.
    pub(crate) fn shift(&mut self, now: Nanos, mean: f64, refuge: f64, at: &mut Room) {
        if self.listed && self.listing.state == HostState::Draining {
            return self.move_off_drain(now, at);
        }
        // Guards: clients left at a host that sheds: it breaks many and keeps some; one that died has none.
        if 8 * std::mem::take(&mut self.broken) as usize > self.conns.len() {
            self.late(now, SECOND, at.settings);
        }
        if self.slow(now) < LATE {
            self.raise_ceiling(now, mean);
        } else if self.may_cut(now) {
            self.cut(now, mean, refuge, at);
        }
    }

    /// Guards: connections cut off when a host that drains goes away. Evenly over the longest that it can still owe an answer:
    /// a hundred nodes that each move one at once storm hosts and store.
    fn move_off_drain(&self, now: Nanos, at: &mut Room) {
        let gone = now.saturating_sub(self.draining) as f64
            / at.settings.max_request_timeout.max(1) as f64;
        let due = |c: &&Conn| c.begun && draw(self.id.0, c.key.unwrap_or(c.since)) < gone;
        let due = self.conns.iter().filter(due).map(|c| c.slot);
        at.post
            .extend(due.map(|slot| (To::Desk, Note::Shift { slot })));
    }

    /// The longer the host has been well, the faster.
    fn raise_ceiling(&mut self, now: Nanos, mean: f64) {
        let well = (now - self.cut.max(self.slow_told).min(now)) as f64 / SECOND as f64;
        let rise = RISE * well.min(10.0) * PULSE as f64 / SECOND as f64;
        let least = mean * self.listing.size / 2.0;
        // Guards: a host cut down in a short trouble of all that stays nearly empty long after it.
        self.good = (0.995 * self.good).max(self.borne());
        let risen = self.ceiling.map(|c| c + rise * c.max(least).max(self.good));
        self.ceiling = risen.filter(|&c| c < 4.0 * self.borne() + least);
    }

    /// Whether the last cut has had its time. Guards: a host cut down to what is left there once its clients have gone, by a
    /// message that it was cut for.
    fn may_cut(&self, now: Nanos) -> bool {
        self.slowness_at_cut <= 0.0 || now >= self.cut + CUT_EVERY && self.slow_told > self.cut
    }

    /// Takes the ceiling down, and sends away what is over it.
    fn cut(&mut self, now: Nanos, mean: f64, refuge: f64, at: &mut Room) {
        let slow = self.slow(now);
        let wanted = at.settings.shortest_message_latency_objective() as f64 / SECOND as f64;
        let part = (slow * wanted / DRAIN).clamp(0.05, if refuge > 0.7 { 1.0 } else { 0.5 });
        // Guards: cut to nothing by what other nodes placed there, and empty long after it is well.
        let floor = if part < 1.0 {
            FLOOR * mean * self.listing.size
        } else {
            0.0
        };
        let own = self.borne();
        let ceiling = (self.ceiling.unwrap_or(own).min(own) * (1.0 - part)).max(floor);
        // Guards: a host that has next to nothing when a message is late, held to that for long after it is well.
        if own <= floor {
            return;
        }
        self.ceiling = Some(ceiling);
        let conns = self.conns.len();
        log!(
            at.out,
            "cut host={:x} slow={slow:.1} load={own:.2} to={ceiling:.2} conns={conns}",
            self.id.0
        );
        (self.cut, self.slowness_at_cut) = (now, slow);
        self.send_away_down_to(ceiling, at);
    }

    /// Sends connections away, the least paid for their cost first, until the own load is at the ceiling.
    fn send_away_down_to(&mut self, ceiling: f64, at: &mut Room) {
        let luck = at.chance.to_bits();
        let (mut load, mut told) = (self.borne(), false);
        for n in self.by_pay(luck, at) {
            // Guards: many nodes that each cut one whole connection where a tenth of one was meant.
            let cost = self.cost(n, at.ledger);
            if load - ceiling < 0.5 * cost * draw(!luck, n as u64) {
                break;
            }
            load -= cost;
            // Those that stood before count too, where they are few: guards a day overrun from its start. One
            // a cut: guards new ones dismissed, all of them, since a single host hangs.
            let counts = self.conns[n].vector.take().is_some() || self.conns.len() == 1;
            if counts && !std::mem::replace(&mut told, true) {
                at.post.push_back((To::Desk, Note::Fared { late: true }));
            }
            at.post.push_back((
                To::Desk,
                Note::Shift {
                    slot: self.conns[n].slot,
                },
            ));
        }
    }

    /// The places of the connections that stand, by cost over pay and luck, the highest first.
    fn by_pay(&self, luck: u64, at: &Room) -> Vec<usize> {
        let priority_weight = |n: usize| {
            at.settings.classes[self.conns[n].class]
                .priority_weight
                .max(1e-6)
        };
        let mut order: Vec<(f64, usize)> = (0..self.conns.len())
            .filter(|&n| self.conns[n].begun)
            .map(|n| {
                (
                    self.cost(n, at.ledger) / priority_weight(n) * draw(luck, n as u64),
                    n,
                )
            })
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        order.into_iter().map(|(_, n)| n).collect()
    }
}
