//! By when a node has to have heard of what the list service has to tell: a plain value with the caller's clock. It
//! owns how long a watch waits, when it counts as silent, when a call is made again without being asked for, and
//! from when on nothing new may go out. It must never know a connection, nor what a list says.

use reedferry::{Charter, Nanos, MILLI, SECOND};
use std::ops::Range;

/// The longest that a watch may wait for news, as each call costs the service work.
const HOLD: Nanos = 20 * SECOND;
/// By the protocol, what a service has to tell counts as told so long after it fell silent, and for a call that
/// may wait so long after that wait is over, if that is later; whether or not it came.
const TOLD: Nanos = 6 * SECOND;
const TOLD_AFTER_WAIT: Nanos = 2 * SECOND;
/// The same where lists are pushed, after a node was led to another service.
const TOLD_AFTER_MOVE: Nanos = 4 * SECOND;
/// When an answer is taken not to come: of a call that has waited, so early that three quarters of that time are left
/// to call again; of one that does not wait, so late that it keeps its turn at a busy service.
const SILENT_AFTER_WAIT: Nanos = TOLD_AFTER_WAIT / 4;
const SILENT: Nanos = TOLD / 3;
/// What a try waits after one that came to nothing, where nobody asks and time is not short.
const AGAIN: Nanos = SECOND / 4;
const LONGEST_AGAIN: Nanos = SECOND;

/// Where watches are answered with nothing long before their wait is over, the least that lies between two.
const IDLE: Nanos = SECOND / 5;

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// No answer in time, or one that stopped in the middle.
    Silent,
    /// What came is no list.
    Unread,
    /// The service said that it can't answer now.
    Refused,
    /// Nobody is there, or the connection ended.
    Broken,
}

pub struct Hearing {
    /// The node's place among all, from 0 to 1, and how far the moments of all are spread: over the time within which
    /// the service has to be able to take a call of each, by the settings.
    place: f64,
    spread: Nanos,
    ask_within: Nanos,
    grace: Nanos,
    /// The watch is kept up without being asked for.
    unasked: bool,
    /// By when what the watch now out may miss counts as told.
    lease: Option<Nanos>,
    /// From when on the node is held to what a silent watch missed, and until when it presses to hear of it.
    held: Option<Nanos>,
    press: Nanos,
    /// Tries since it pressed, and failures in all, both since it heard.
    tries: u32,
    failures: u32,
    /// Watches in a row that ended at once with nothing.
    idle: u32,
}

impl Hearing {
    pub fn new(charter: &Charter, grace: Nanos) -> Self {
        let (lease, held, press, tries, failures, idle) = (None, None, 0, 0, 0, 0);
        let (place, spread, ask_within, unasked) = (0.0, 0, 0, false);
        let mut hearing =
            Hearing { place, spread, ask_within, grace, unasked, lease, held, press, tries, failures, idle };
        hearing.retune(charter, grace);
        hearing
    }

    /// Goes by other settings from here on; what presses goes on pressing.
    pub fn retune(&mut self, charter: &Charter, grace: Nanos) {
        let place = (f64::from(charter.node) + 0.5) / f64::from(charter.nodes.max(1));
        (self.place, self.spread) = (place.min(1.0), charter.ask_within.min(HOLD / 2));
        (self.ask_within, self.grace, self.unasked) = (charter.ask_within, grace, !charter.roll_on_request);
    }

    pub fn unasked(&self) -> bool {
        self.unasked
    }

    /// How long a watch waits: less by the node's place, so that watches which began together and fall silent
    /// together are taken up in turn. Guards: hundreds that call a service in the same second, when time is short.
    pub fn hold(&self) -> Nanos {
        HOLD - (self.place * self.spread as f64) as Nanos
    }

    /// A watch goes out that waits so long.
    pub fn out(&mut self, now: Nanos, hold: Nanos) {
        self.lease = Some(now + TOLD.max(hold + TOLD_AFTER_WAIT));
    }

    /// When a call that began at `since` and may wait so long counts as silent.
    pub fn silent_at(&self, since: Nanos, hold: Nanos) -> Nanos {
        since + hold + if hold > SILENT { SILENT_AFTER_WAIT } else { SILENT }
    }

    /// When one whose answer began to come now does.
    pub fn stopped_at(&self, now: Nanos) -> Nanos {
        now + SILENT
    }

    /// An answer has come, and could be read.
    pub fn heard(&mut self) {
        (self.lease, self.held, self.press, self.tries, self.failures) = (None, None, 0, 0, 0);
    }

    /// When the next watch goes out after one that began at `since`, might wait so long and has been answered: at once,
    /// as one that comes late is a new one. Guards: a service that ends every watch at once with nothing, called as
    /// fast as it answers.
    pub fn next(&mut self, now: Nanos, since: Nanos, hold: Nanos, news: bool) -> Nanos {
        self.idle = if news || hold < IDLE || now > since + IDLE { 0 } else { self.idle + 1 };
        now + if self.idle > 1 { IDLE << (self.idle - 2).min(3) } else { 0 }
    }

    /// The node was led to another service. Guards: a call there that is turned away, and made again too late.
    pub fn moved(&mut self, now: Nanos) {
        if self.unasked {
            (self.press, self.tries) = (self.press.max(now + TOLD_AFTER_MOVE), 1);
        }
    }

    /// From when to when nothing new may go out, as the node may be held to a drain that it has not heard of: from the
    /// end of the grace on, and until it can as well be that the service is down, of which nothing is told. Guards:
    /// new work for hosts that drain, by a node that stood still, or whose renewed call a busy service turned away.
    pub fn deaf(&self) -> Range<Nanos> {
        let from = self.held.or(self.lease).map_or(Nanos::MAX, |told| told.saturating_add(self.grace));
        from..from.saturating_add(self.ask_within)
    }

    /// The watch failed. Says when to call again, unless others say that.
    pub fn failed(&mut self, now: Nanos, how: Failure) -> Option<Nanos> {
        let lease = self.lease.take();
        self.failures += 1;
        match how {
            // Guards: a watch given up at the very moment from which the node is held to what it missed, and
            // taken up again seconds after.
            Failure::Silent if self.tries == 0 => {
                self.held = lease;
                self.press = lease.map_or(0, |_| self.deaf().end);
            }
            // What was to be told counts as told when it was written.
            Failure::Unread if self.tries == 0 => self.press = now + self.grace,
            // Who does not answer a new call either is down, and tells nothing; it may not be for long.
            Failure::Silent | Failure::Broken => {
                let told = self.held.take().filter(|_| !self.unasked);
                self.press = told.unwrap_or(if self.unasked { 0 } else { self.press });
            }
            _ => {}
        }
        // Steps that differ between nodes, and between one node's tries.
        let chance = 0.5 + (self.place * 7.0 + f64::from(self.tries) * 0.618).fract();
        let step = |span: Nanos| now + (span as f64 * chance) as Nanos + MILLI;
        if now < self.press {
            self.tries += 1;
            // Ever shorter ones while there is time, then even ones.
            let left = self.held.unwrap_or(self.press).checked_sub(now).filter(|&left| left > 0);
            return Some(if self.tries == 1 { now } else { step(left.map_or(LONGEST_AGAIN / 2, |l| l / 4)) });
        }
        self.held = None;
        // Where lists are pushed, what the service has counts whether or not it is watched. Guards: a node that
        // notices seconds late that the service is back.
        let soon = AGAIN.min(self.grace / 2);
        self.unasked.then(|| match how {
            Failure::Silent => now,
            _ if self.failures == 1 => now,
            Failure::Broken => step(soon),
            _ => step((soon << self.failures.min(8)).min(LONGEST_AGAIN)),
        })
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
    const GRACE: Nanos = 50 * MILLI;

    fn one(node: u32, nodes: u32, pushed: bool) -> Hearing {
        Hearing::new(&Charter { node, nodes, roll_on_request: !pushed, ..Charter::default() }, GRACE)
    }

    /// So many nodes whose watches begin at one moment, as after a change, and fall silent at drawn ones, beside a
    /// service that does `rate` calls a second in turn and turns away beyond a queue of one second. Gives the
    /// latest that one heard beyond the moment from which it was held to what it missed, in milliseconds, and the calls.
    fn silence(seed: u64, nodes: u32, rate: f64, pushed: bool) -> (i64, usize) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut free, mut latest, mut calls) = (0, i64::MIN, 0);
        let mut next = BinaryHeap::new();
        let mut all = Vec::new();
        for node in 0..nodes {
            let mut hearing = one(node, nodes, pushed);
            let since = rng.random_range(0..200 * MILLI);
            let (hold, fell) = (hearing.hold(), since + rng.random_range(0..2 * SECOND));
            hearing.out(since, hold);
            let noticed = hearing.silent_at(since, hold) + rng.random_range(0..LOOK);
            next.push(Reverse((noticed, node as usize, 0)));
            all.push((hearing, (fell + TOLD).max(since + hold + TOLD_AFTER_WAIT)));
        }
        while let Some(Reverse((now, node, what))) = next.pop() {
            let (hearing, told) = &mut all[node];
            if what == 1 {
                latest = latest.max(now as i64 - *told as i64);
                assert!(hearing.deaf().start == *told + GRACE);
                hearing.heard();
                continue;
            }
            let mut how = Failure::Silent;
            if what == 2 {
                calls += 1;
                free = now.max(free);
                if free <= now + SECOND {
                    free += (SECOND as f64 / rate) as Nanos;
                    next.push(Reverse((free, node, 1)));
                    continue;
                }
                how = Failure::Refused;
            }
            let at = hearing.failed(now, how).expect("time is short");
            let late = if at > now { rng.random_range(0..LOOK) } else { 0 };
            next.push(Reverse((at + late, node, 2)));
        }
        (latest / MILLI as i64, calls)
    }

    /// Guards: watches given up at the very moment from which a node is held to what they missed, and all at once.
    #[test]
    fn watches_that_fall_silent_together_are_taken_up_before_what_they_missed_counts_as_told() {
        for (seed, pushed) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
            for nodes in [1, 6, 40, 350, 1100] {
                // Little more than the terms ask of a service: a call of each within ten seconds, and two a second.
                let (latest, calls) = silence(seed, nodes, f64::from(nodes.max(20)) / 10.0, pushed);
                assert!(latest < 0, "seed {seed}, {nodes} nodes: {latest} ms too late");
                assert!(
                    calls as f64 <= 1.2 * f64::from(nodes) + 1.0,
                    "seed {seed}, {nodes} nodes: {calls} calls"
                );
            }
        }
    }

    /// One whose watch fell silent and was noticed; gives when that was.
    fn noticed(hearing: &mut Hearing) -> Nanos {
        hearing.out(10 * SECOND, hearing.hold());
        let at = hearing.silent_at(10 * SECOND, hearing.hold());
        assert_eq!(hearing.failed(at, Failure::Silent), Some(at), "at once");
        at
    }

    #[test]
    fn what_presses_is_tried_until_its_time_is_up_and_ends_when_it_is_heard() {
        let mut hearing = one(0, 1, false);
        assert_eq!(hearing.failed(SECOND, Failure::Refused), None, "nothing presses");
        hearing.heard();
        let first = noticed(&mut hearing);
        let held = first - SILENT_AFTER_WAIT + TOLD_AFTER_WAIT;
        assert_eq!(hearing.deaf(), held + GRACE..held + GRACE + 10 * SECOND);
        let (mut now, mut before, mut after) = (first, 0, 0);
        while let Some(at) = hearing.failed(now, Failure::Refused) {
            assert!(at > now && at <= now + SECOND);
            (before, after) = (before + u32::from(at < held), after + u32::from(at >= held));
            now = at;
        }
        assert!((3..40).contains(&before) && (8..30).contains(&after), "{before} and {after} tries");
        assert_eq!(hearing.deaf().start, Nanos::MAX, "shut for ever");
        hearing.heard();
        noticed(&mut hearing);
        hearing.heard();
        assert_eq!(hearing.deaf().start, Nanos::MAX);
        assert_eq!(hearing.failed(40 * SECOND, Failure::Refused), None);
    }

    /// Guards: a node that dismisses all while the list service is down, of which nothing is told.
    #[test]
    fn a_service_that_is_gone_or_says_nothing_to_a_new_call_either_shuts_nothing() {
        for (how, pushed) in
            [Failure::Broken, Failure::Silent].into_iter().flat_map(|h| [(h, false), (h, true)])
        {
            let mut hearing = one(0, 1, pushed);
            let mut now = noticed(&mut hearing);
            for _ in 0..5 {
                hearing.out(now, MILLI);
                now = hearing.failed(now + SECOND / 4, how).unwrap_or(now + SECOND);
                assert_eq!(hearing.deaf().start, Nanos::MAX, "{how:?}");
            }
            let at = hearing.failed(now, how);
            assert_eq!(at.is_some_and(|at| at <= now + GRACE), pushed, "{how:?}");
        }
    }

    /// Guards: an answer that came garbled, and the drain in it heard of seconds after it counts as told.
    #[test]
    fn what_cannot_be_read_is_asked_for_again_at_once_but_not_for_ever() {
        let mut hearing = one(3, 4, false);
        assert_eq!(hearing.failed(SECOND, Failure::Unread), Some(SECOND));
        let again = hearing.failed(SECOND + MILLI, Failure::Unread).unwrap();
        assert!(again > SECOND + MILLI && again < SECOND + GRACE);
        assert_eq!(
            hearing.failed(SECOND + GRACE, Failure::Unread),
            None,
            "a service that gives nothing else"
        );
    }

    /// Guards: a node that hears seconds late that a service is back, whose lists are pushed.
    #[test]
    fn a_pushed_service_that_is_gone_is_looked_for_within_the_grace_and_a_busy_one_less_often() {
        for (how, most) in [(Failure::Broken, GRACE), (Failure::Refused, 2 * SECOND), (Failure::Silent, 0)] {
            let mut hearing = one(5, 9, true);
            assert_eq!(hearing.failed(0, how), Some(0));
            let mut now = 0;
            for _ in 0..30 {
                let at = hearing.failed(now, how).unwrap();
                assert!(at <= now + most && (at > now || how == Failure::Silent), "{how:?}");
                now = at;
            }
            assert!(how != Failure::Refused || now > 10 * SECOND, "a storm at a busy service");
        }
        let mut hearing = one(5, 9, true);
        hearing.moved(0);
        let (mut now, mut tries) = (MILLI, 0);
        while now < TOLD_AFTER_MOVE {
            now = hearing.failed(now, Failure::Refused).unwrap();
            tries += 1;
        }
        assert!((4..30).contains(&tries), "{tries}");
    }
}
