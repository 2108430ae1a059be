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
#[path = "stalls_tests.rs"]
mod tests;
