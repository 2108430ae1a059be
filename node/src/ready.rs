//! What the poller has told is ready, in bounded turns. It owns what a turn had no time left for, which goes first in the next.
//! It must never know whose a mark is.

use reedferry::{Nanos, MILLI};
use reedferry_runtime::{merge_readiness, Clock, Readiness};
use std::collections::VecDeque;

/// How long one turn goes on with what is ready. Guards: an answer that is due, and waits for hundreds of writes each of which
/// the system may hold up.
const LONGEST_TURN: Nanos = 50 * MILLI;

/// Sockets that are ready and not yet seen to, the first told of first.
#[derive(Debug, Default)]
pub struct Ready(VecDeque<Readiness>);

impl Ready {
    /// Whether the turn before had no time left for some.
    pub fn is_behind(&self) -> bool {
        !self.0.is_empty()
    }

    /// Puts what is ready now behind what was left.
    pub fn add(&mut self, now: Vec<Readiness>) {
        let left = std::mem::take(&mut self.0);
        self.0 = merge_readiness(left.into(), now).into();
    }

    /// Those of a lower rank go first.
    pub fn order_by(&mut self, rank: impl Fn(&Readiness) -> u8) {
        self.0.make_contiguous().sort_by_key(rank);
    }

    /// The next to see to, unless the turn that began then has gone on for long enough.
    pub fn next(&mut self, began: Nanos, clock: &Clock) -> Option<Readiness> {
        if clock.read() > began + LONGEST_TURN {
            return None;
        }
        self.0.pop_front()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedferry_runtime::PollToken;

    #[test]
    fn what_a_turn_had_no_time_for_goes_first_in_the_next() {
        let one = |slot| Readiness {
            token: PollToken {
                component: 4,
                slot,
                generation: 1,
            },
            readable: true,
            writable: false,
        };
        let clock = Clock::start();
        let mut ready = Ready::default();
        ready.add(vec![one(1), one(2), one(3)]);
        assert_eq!(
            ready.next(clock.read(), &clock).map(|r| r.token.slot),
            Some(1)
        );
        // A turn that began long ago.
        assert!(ready
            .next(clock.read() - 2 * LONGEST_TURN, &clock)
            .is_none());
        assert!(ready.is_behind());
        ready.add(vec![one(4), one(2)]);
        ready.order_by(|one| u8::from(one.token.slot != 4));
        let now = clock.read();
        let rest: Vec<u32> = std::iter::from_fn(|| ready.next(now, &clock))
            .map(|r| r.token.slot)
            .collect();
        assert_eq!(rest, [4, 2, 3]);
        assert!(!ready.is_behind());
    }
}
