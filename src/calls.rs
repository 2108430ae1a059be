//! When a node calls the list service: a plain value, driven by the module with the caller's clock. It owns the
//! moments of its calls, their spread over the fleet and their growth after failures. It must never know what the
//! list says, nor how a call is made.

use crate::types::*;

/// A call that is due.
#[derive(Debug, PartialEq)]
pub enum Call {
    /// The whole list once, at once.
    Ask,
    /// Changes from here on.
    Follow,
}

/// Under which terms a node calls.
#[derive(Clone, Copy)]
pub struct Pace {
    /// The longest that it may neither follow nor ask.
    pub ask_within: Nanos,
    /// Its place in the fleet, from 0 to 1, where that is of many nodes.
    pub place: Option<f64>,
}

#[derive(Default)]
pub struct Calls {
    following: bool,
    called: Option<Nanos>,
    failures: u32,
    next: Nanos,
    /// Its turn at a service that all nodes call with nothing known has been set, and it has had an answer.
    turned: bool,
    heard: bool,
}

impl Calls {
    /// The call that is due now, if any; `knows` says whether the node has hosts to hand anything to.
    pub fn due(&mut self, now: Nanos, knows: bool, pace: Pace) -> Option<Call> {
        if let Some(place) = pace.place.filter(|_| !knows && !self.turned) {
            // All that start together get their list in turn, within half of the time in which each has to ask by
            // the settings, so that as much is left to ask again. Guards: a service that hundreds call at once.
            self.next = now + (place.clamp(0.0, 1.0) * (pace.ask_within / 2) as f64) as Nanos;
        }
        self.turned = true;
        let waiting = self.called.is_some_and(|t| now < t.saturating_add(pace.ask_within));
        if self.following || waiting || now < self.next {
            return None;
        }
        self.called = Some(now);
        Some(if pace.place.is_some() && !knows && !self.heard { Call::Ask } else { Call::Follow })
    }

    /// A list has come, of the node's own call or by itself; gives the failures that this ends, if any.
    pub fn told(&mut self, now: Nanos, knew: bool, pace: Pace) -> u32 {
        let asked = self.called.take();
        let ended = if asked.is_some() { std::mem::take(&mut self.failures) } else { 0 };
        self.failures = 0;
        let first = !std::mem::replace(&mut self.heard, true);
        match asked.filter(|_| first && !knew && pace.place.is_some()) {
            // The first list, got in its turn. What follows it is called for as late as the settings allow. Guards:
            // those who have a list and take up the service's time while others have none.
            Some(called) => self.next = now.max(called + pace.ask_within / 8 * 7),
            None => self.following = true,
        }
        ended
    }

    /// A call has failed, or what it followed has ended; gives how often that was so since the last list.
    pub fn failed(&mut self, now: Nanos, chance: f64, knows: bool, pace: Pace) -> u32 {
        (self.following, self.called, self.failures) = (false, None, self.failures + 1);
        // Spread and growing, so that the nodes do not storm the one list service. Many are as far apart at once, and
        // call in turn where what they follow has ended, as it then has for all. Guards: watches that end together.
        let grown = if pace.place.is_some() { 4 } else { self.failures.min(4) };
        let wait = ((SECOND / 2) << grown).min(pace.ask_within / 4);
        let turn = pace.place.filter(|_| knows && self.failures == 1);
        self.next = now + (wait as f64 * turn.unwrap_or(0.5 + chance)) as Nanos;
        self.failures
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::{Rng, SeedableRng};
    use rand_chacha::ChaCha8Rng;
    use std::collections::BinaryHeap;

    /// So many nodes that start at once beside a service that does `rate` calls a second in turn and turns away
    /// beyond a queue of one second: calls by second, those turned away, and when each node had its list.
    fn start(nodes: usize, rate: f64, down: Nanos) -> (Vec<usize>, usize, Vec<Nanos>) {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let pace = |n: usize| Pace { ask_within: 10 * SECOND, place: Some((n as f64 + 0.5) / nodes as f64) };
        let mut calls: Vec<Calls> = (0..nodes).map(|_| Calls::default()).collect();
        let mut list = vec![None; nodes];
        let (mut by_second, mut refused, mut free) = (vec![0; 120], 0, 0);
        // The next moment of each node, and what comes to it then: its look-around, or the answer to its call.
        let mut next = BinaryHeap::new();
        for node in 0..nodes {
            next.push((std::cmp::Reverse(rng.random_range(0..SECOND / 2)), node, 0));
        }
        while let Some((std::cmp::Reverse(now), node, what)) = next.pop() {
            if now >= 100 * SECOND {
                break;
            }
            let (one, knows) = (&mut calls[node], list[node].is_some());
            match what {
                0 => {
                    next.push((std::cmp::Reverse(now + SECOND / 2), node, 0));
                    let Some(call) = one.due(now, knows, pace(node)) else { continue };
                    assert_eq!(call == Call::Ask, !knows, "node {node}");
                    by_second[(now / SECOND) as usize] += 1;
                    free = now.max(free);
                    let answer = if now < down || free > now + SECOND {
                        refused += 1;
                        (std::cmp::Reverse(now + 1), node, 2)
                    } else {
                        free += (SECOND as f64 / rate) as Nanos;
                        (std::cmp::Reverse(free), node, 1)
                    };
                    next.push(answer);
                }
                1 => {
                    one.told(now, knows, pace(node));
                    list[node] = list[node].or(Some(now));
                }
                _ => _ = one.failed(now, rng.random(), knows, pace(node)),
            }
        }
        let mut had: Vec<Nanos> = list.into_iter().flatten().collect();
        had.sort_unstable();
        (by_second, refused, had)
    }

    /// Guards: thousands of nodes that call in the same second, and again and again while they are turned away.
    #[test]
    fn thousands_that_know_nothing_get_their_lists_in_turn() {
        for nodes in [200, 1000, 5000] {
            // What the terms ask of the service is a call of each node within ten seconds; this one does twice that.
            let (by_second, refused, had) = start(nodes, nodes as f64 / 5.0, 0);
            let calls: usize = by_second.iter().sum();
            assert_eq!(had.len(), nodes);
            assert!(*had.last().unwrap() <= 6 * SECOND + SECOND / 2, "{nodes}: last at {:?}", had.last());
            assert!(calls <= 22 * nodes / 10, "{nodes}: {calls} calls");
            assert!(20 * refused <= calls, "{nodes}: {refused} of {calls} turned away");
            let most = by_second.iter().max().unwrap();
            assert!(*most as f64 <= 1.2 * nodes as f64 / 5.0, "{nodes}: {most} calls in a second");
        }
    }

    /// Guards: those who were turned away coming too late, behind the second calls of those who were not.
    #[test]
    fn a_service_that_can_do_less_gives_all_their_lists_before_it_is_followed() {
        let (by_second, refused, had) = start(300, 40.0, 0);
        let calls: usize = by_second.iter().sum();
        assert!(had[296] <= 9_750 * MILLI, "99% had theirs after {:?}", had[296]);
        assert!(calls <= 690 && refused <= 90, "{calls} calls, {refused} turned away");
    }

    /// Guards: a service that is down for long and finds all nodes at its door at once when it is back.
    #[test]
    fn a_service_that_was_down_is_not_called_in_step() {
        let (by_second, _, had) = start(1000, 200.0, 20 * SECOND);
        assert_eq!(had.len(), 1000);
        assert!(*had.last().unwrap() <= 30 * SECOND, "{:?}", had.last());
        let most = by_second[6..].iter().max().unwrap();
        assert!(*most <= 600, "{most} calls in a second");
    }

    /// Guards: a service that starts anew and is called by all at once.
    #[test]
    fn watches_that_end_together_are_taken_up_in_turn() {
        let pace = |n: usize| Pace { ask_within: 10 * SECOND, place: Some((n as f64 + 0.5) / 1000.0) };
        let mut by_tenth = [0; 25];
        for node in 0..1000 {
            let mut calls = Calls::default();
            calls.due(0, true, pace(node));
            calls.told(0, true, pace(node));
            calls.failed(0, 0.5, true, pace(node));
            let at = (0..=250).find(|tick| calls.due(tick * SECOND / 100, true, pace(node)).is_some());
            by_tenth[(at.expect("it calls within a quarter of the time") as usize - 1) / 10] += 1;
        }
        assert!(by_tenth.iter().all(|count| (30..=50).contains(count)), "{by_tenth:?}");
    }
}
