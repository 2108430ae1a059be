//! Spans in which this process could not see what came: it stood still, was held up in a system call, or one of its turns took
//! long. A plain value. It owns how much of a span of time was like that. It must never change a deadline: those are spans
//! of real time; only what is measured of peers goes without its own delay.

use reedferry::{Nanos, MILLI, SECOND};
use std::collections::VecDeque;

/// A process that waits looks round again after this at the latest.
const USUAL_WAIT: Nanos = 100 * MILLI;
/// From how long a wait on it was held up there, and from how long a turn on with its work.
const LONG_WAIT: Nanos = 2 * USUAL_WAIT;
const LONG_TURN: Nanos = 50 * MILLI;
/// How long a span is remembered: longer than any line or attempt waits.
const REMEMBERED: Nanos = 60 * SECOND;
const MOST_REMEMBERED: usize = 512;

/// The spans, the oldest first, none of which overlap.
#[derive(Clone, Debug, Default)]
pub struct Stalls(VecDeque<(Nanos, Nanos)>);

impl Stalls {
    /// The process looks round now. It had seen to all that was ready up to `caught_up`, worked until `waited`, and has waited
    /// since.
    pub fn looked(&mut self, caught_up: Nanos, waited: Nanos, now: Nanos) {
        let old = |span: &(Nanos, Nanos)| span.1.saturating_add(REMEMBERED) < now;
        while self.0.front().is_some_and(old) {
            self.0.pop_front();
        }
        if waited.saturating_sub(caught_up) > LONG_TURN {
            self.note(caught_up, waited);
        }
        if now.saturating_sub(waited) > LONG_WAIT {
            self.note(waited + USUAL_WAIT, now);
        }
    }

    /// Notes a span; one that begins where the last did goes on.
    fn note(&mut self, from: Nanos, to: Nanos) {
        if let Some(goes_on) = self.0.back_mut().filter(|span| span.0 == from) {
            goes_on.1 = to;
            return;
        }
        if self.0.len() >= MOST_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back((from, to));
    }

    /// How much of this span the process was held up.
    pub fn within(&self, from: Nanos, to: Nanos) -> Nanos {
        let overlap = |span: &(Nanos, Nanos)| span.1.min(to).saturating_sub(span.0.max(from));
        self.0
            .iter()
            .rev()
            .take_while(|span| span.1 > from)
            .map(overlap)
            .sum()
    }

    /// How much later than `from` a span has to begin to be as long as this process could see of it up to `to`.
    pub fn moved_on(&self, from: Nanos, to: Nanos) -> Nanos {
        from.saturating_add(self.within(from, to)).min(to)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_overlaps_a_stall_is_left_out_and_the_rest_is_not() {
        let mut stalls = Stalls::default();
        stalls.looked(0, LONG_TURN, LONG_TURN + LONG_WAIT);
        assert_eq!(stalls.within(0, SECOND), 0, "as it should");
        // A long turn, and a long wait.
        stalls.looked(SECOND, 2 * SECOND, 2 * SECOND);
        stalls.looked(3 * SECOND, 3 * SECOND, 5 * SECOND);
        let (turn, wait) = (SECOND, 2 * SECOND - USUAL_WAIT);
        assert_eq!(stalls.within(0, 10 * SECOND), turn + wait);
        assert_eq!(
            stalls.within(SECOND + SECOND / 2, 4 * SECOND),
            SECOND / 2 + SECOND - USUAL_WAIT
        );
        assert_eq!(stalls.within(2 * SECOND, 3 * SECOND), 0);
        assert_eq!(stalls.moved_on(0, 10 * SECOND), turn + wait);
        assert_eq!(stalls.moved_on(4 * SECOND, 4 * SECOND), 4 * SECOND);
        // One turn after the other leaves something that was ready from the first on.
        stalls.looked(6 * SECOND, 7 * SECOND, 7 * SECOND);
        stalls.looked(6 * SECOND, 8 * SECOND, 8 * SECOND);
        assert_eq!(stalls.within(0, 10 * SECOND), turn + wait + 2 * SECOND);
    }

    /// Guards: a table that grows for as long as a process is held up.
    #[test]
    fn old_stalls_are_forgotten_and_their_number_is_bounded() {
        let mut stalls = Stalls::default();
        for turn in 0..2 * MOST_REMEMBERED as u64 {
            let (from, to) = (turn * SECOND / 16, (turn + 1) * SECOND / 16);
            stalls.looked(from, to, to);
        }
        assert!(stalls.0.len() <= MOST_REMEMBERED);
        let last = 1000 * SECOND;
        stalls.looked(last, last + SECOND, last + SECOND);
        assert_eq!(stalls.0.len(), 1);
    }
}
