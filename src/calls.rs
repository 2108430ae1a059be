//! When a node calls the list service: a plain value, driven by the module with the caller's clock. It owns the
//! moments of its calls, their spread over the fleet and their growth after failures. It must never know what the
//! list says, nor how a call is made.

use crate::*;

/// Within how long a node that knows nothing has its first turn, and how long it waits after a call that failed, at the
/// most, whatever the settings leave it: nine in ten are to serve within 10 s of their start.
const FIRST_TURN: Nanos = 5 * SECOND;
const FIRST_AGAIN: Nanos = 5 * SECOND / 2;

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
    pub max_poll_interval: Nanos,
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
            let turns = (pace.max_poll_interval / 2).min(FIRST_TURN);
            self.next = now + (place.clamp(0.0, 1.0) * turns as f64) as Nanos;
        }
        self.turned = true;
        let waiting = self
            .called
            .is_some_and(|t| now < t.saturating_add(pace.max_poll_interval));
        if self.following || waiting || now < self.next {
            return None;
        }
        self.called = Some(now);
        Some(if pace.place.is_some() && !knows && !self.heard {
            Call::Ask
        } else {
            Call::Follow
        })
    }

    /// A list has come, of the node's own call or by itself; gives the failures that this ends, if any.
    pub fn told(&mut self, now: Nanos, knew: bool, pace: Pace) -> u32 {
        let asked = self.called.take();
        let ended = if asked.is_some() {
            std::mem::take(&mut self.failures)
        } else {
            0
        };
        self.failures = 0;
        let first = !std::mem::replace(&mut self.heard, true);
        match asked.filter(|_| first && !knew && pace.place.is_some()) {
            // The first list, got in its turn. What follows it is called for as late as the settings allow. Guards:
            // those who have a list and take up the service's time while others have none.
            Some(called) => self.next = now.max(called + pace.max_poll_interval / 8 * 7),
            None => self.following = true,
        }
        ended
    }

    /// A call has failed, or what it followed has ended; gives how often that was so since the last list.
    pub fn failed(&mut self, now: Nanos, chance: f64, knows: bool, pace: Pace) -> u32 {
        (self.following, self.called, self.failures) = (false, None, self.failures + 1);
        // Spread and growing, so that the nodes do not storm the one list service. Many are as far apart at once, and
        // call in turn where what they follow has ended, as it then has for all. Guards: watches that end together.
        let grown = if pace.place.is_some() {
            4
        } else {
            self.failures.min(4)
        };
        let wait = ((SECOND / 2) << grown).min(pace.max_poll_interval / 4);
        // Guards: a node that knows nothing, and by settings which leave it a minute is of no use for as long.
        let wait = if knows { wait } else { wait.min(FIRST_AGAIN) };
        let turn = pace.place.filter(|_| knows && self.failures == 1);
        self.next = now + (wait as f64 * turn.unwrap_or(0.5 + chance)) as Nanos;
        self.failures
    }
}

#[cfg(test)]
#[path = "calls_tests.rs"]
mod tests;
