//! By when a node has to have heard of what the list service has to tell: a plain value with the caller's clock. It
//! owns how long a watch waits, when it counts as silent, and when a call is made again while a node may be held to
//! what it has not heard. It must never know a connection, nor what a list says.

use reedferry::{Charter, Nanos, MILLI, SECOND};

/// The longest that a watch may wait for news, as each call costs the service work.
const HOLD: Nanos = 20 * SECOND;
/// By the protocol, what a service has to tell counts as told so long after it fell silent, and for a call that
/// may wait so long after that wait is over, if that is later; whether or not it came.
const TOLD: Nanos = 6 * SECOND;
const TOLD_AFTER_WAIT: Nanos = 2 * SECOND;
/// When an answer is taken not to come: of a call that has waited, so early that three quarters of that time are left
/// to call again; of one that does not wait, so late that it keeps its turn at a busy service.
const SILENT_AFTER_WAIT: Nanos = TOLD_AFTER_WAIT / 4;
const SILENT: Nanos = TOLD / 3;

pub struct Hearing {
    /// The node's place among all, from 0 to 1, and how far the moments of all are spread: over the time within which
    /// the service has to be able to take a call of each, by the settings.
    place: f64,
    spread: Nanos,
    /// From when on it is held to what it has not heard, and how often it has called since it noticed.
    by: Option<Nanos>,
    tries: u32,
}

impl Hearing {
    pub fn new(charter: &Charter) -> Self {
        let mut hearing = Hearing { place: 0.0, spread: 0, by: None, tries: 0 };
        hearing.retune(charter);
        hearing
    }

    /// Goes by other settings from here on; what presses goes on pressing.
    pub fn retune(&mut self, charter: &Charter) {
        let place = (f64::from(charter.node) + 0.5) / f64::from(charter.nodes.max(1));
        (self.place, self.spread) = (place.min(1.0), charter.ask_within.min(HOLD / 2));
    }

    /// How long a watch waits: less by the node's place, so that watches which began together and fall silent
    /// together are taken up in turn. Guards: hundreds that call a service in the same second, when time is short.
    pub fn hold(&self) -> Nanos {
        HOLD - (self.place * self.spread as f64) as Nanos
    }

    /// When a call that began at `since` and may wait so long counts as silent.
    pub fn silent_at(&self, since: Nanos, hold: Nanos) -> Nanos {
        since + hold + if hold > SILENT { SILENT_AFTER_WAIT } else { SILENT }
    }

    /// It did: the node is held to what it missed from some time on. Guards: a watch given up at the very moment from
    /// which the node is held to it, and taken up again seconds after.
    pub fn silent(&mut self, now: Nanos, since: Nanos, hold: Nanos) {
        if self.by.is_none_or(|by| now >= by) {
            (self.by, self.tries) = (Some((since + TOLD).max(since + hold + TOLD_AFTER_WAIT)), 0);
        }
    }

    /// An answer has come, and could be read.
    pub fn heard(&mut self) {
        self.by = None;
    }

    /// When to call again after a call that failed, where time is short: at once, then in ever shorter steps until
    /// the time is up. From there on, and where nothing presses, others say when.
    pub fn again(&mut self, now: Nanos) -> Option<Nanos> {
        let left = self.by?.checked_sub(now).filter(|&left| left > 0)?;
        self.tries += 1;
        // Steps that differ between nodes, and between one node's tries.
        let step = 0.5 + (self.place * 7.0 + f64::from(self.tries) * 0.618).fract();
        Some(if self.tries == 1 { now } else { now + ((left / 4) as f64 * step) as Nanos + MILLI })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;
    use std::cmp::Reverse;
    use std::collections::BinaryHeap;

    const LOOK: Nanos = 100 * MILLI;

    /// So many nodes whose watches begin at one moment, as after a change, and fall silent at drawn ones, beside a
    /// service that does `rate` calls a second in turn and turns away beyond a queue of one second. Gives the
    /// latest that one heard beyond the moment from which it was held to what it missed, and the calls.
    fn silence(seed: u64, nodes: u32, rate: f64) -> (i64, usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut free, mut latest, mut calls) = (0, i64::MIN, 0);
        let mut next = BinaryHeap::new();
        let mut all = Vec::new();
        for node in 0..nodes {
            let hearing = Hearing::new(&Charter { node, nodes, ..Charter::default() });
            let since = rng.random_range(0..200 * MILLI);
            let (hold, fell) = (hearing.hold(), since + rng.random_range(0..2 * SECOND));
            let noticed = hearing.silent_at(since, hold) + rng.random_range(0..LOOK);
            next.push(Reverse((noticed, node as usize, 0)));
            all.push((hearing, since, (fell + TOLD).max(since + hold + TOLD_AFTER_WAIT)));
        }
        while let Some(Reverse((now, node, what))) = next.pop() {
            let (hearing, since, told) = &mut all[node];
            if what == 1 {
                latest = latest.max(now as i64 - *told as i64);
                continue;
            }
            if what == 0 {
                hearing.silent(now, *since, hearing.hold());
                let at = hearing.again(now).expect("noticed too late");
                next.push(Reverse((at, node, 2)));
                continue;
            }
            calls += 1;
            free = now.max(free);
            if free > now + SECOND {
                // Whoever finds no time left calls on as if there were.
                let at = hearing.again(now + MILLI).map_or(now + LOOK, |at| at + rng.random_range(0..LOOK));
                next.push(Reverse((at, node, 2)));
            } else {
                free += (SECOND as f64 / rate) as Nanos;
                next.push(Reverse((free, node, 1)));
            }
        }
        (latest / MILLI as i64, calls)
    }

    /// Guards: watches given up at the very moment from which a node is held to what they missed, and all at once.
    #[test]
    fn watches_that_fall_silent_together_are_taken_up_before_what_they_missed_counts_as_told() {
        for seed in 0..20 {
            for nodes in [1, 6, 40, 350, 1100] {
                // Little more than the terms ask of a service: a call of each within ten seconds, and two a second.
                let (latest, calls) = silence(seed, nodes, f64::from(nodes.max(20)) / 10.0);
                assert!(latest < 0, "seed {seed}, {nodes} nodes: {latest} ms too late");
                assert!(
                    calls as f64 <= 1.2 * f64::from(nodes) + 1.0,
                    "seed {seed}, {nodes} nodes: {calls} calls"
                );
            }
        }
    }

    #[test]
    fn what_presses_is_tried_until_its_time_is_up_and_ends_when_it_is_heard() {
        let mut hearing = Hearing::new(&Charter::default());
        assert_eq!(hearing.again(SECOND), None, "nothing presses");
        let (hold, begun) = (hearing.hold(), 10 * SECOND);
        let noticed = hearing.silent_at(begun, hold);
        hearing.silent(noticed, begun, hold);
        assert_eq!(hearing.again(noticed), Some(noticed));
        let (mut now, mut tries) = (noticed, 0);
        while let Some(at) = hearing.again(now) {
            assert!(at > now && at < begun + hold + TOLD_AFTER_WAIT);
            (now, tries) = (at + MILLI, tries + 1);
        }
        assert!((3..40).contains(&tries) && now + 20 * MILLI > begun + hold + TOLD_AFTER_WAIT, "{tries}");
        hearing.silent(now + SECOND, now, MILLI);
        hearing.heard();
        assert_eq!(hearing.again(now + SECOND), None);
    }
}
