//! Who may use a thing that is one member's at a time: leases under a majority of a fixed roster. It owns what this
//! member has promised to others and what others have promised to it, each by its own steady clock. It must never
//! know what the parts of the thing are, nor who is alive.

use crate::types::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Clocks of two machines drift apart by less than one in so many.
const DRIFT: Nanos = 16;

/// A member by its place, and in which life.
type Holder = (u32, u64);

#[derive(Clone, Hash)]
pub struct Leases {
    me: Holder,
    roster: u32,
    length: Nanos,
    /// Since when this member keeps its promises: what it promised before its start it does not know.
    born: Nanos,
    /// To whom each part is promised, and until when.
    promised: BTreeMap<u32, (Holder, Nanos)>,
    /// Which parts are wanted, and until when each place has promised them.
    wanted: BTreeMap<u32, BTreeMap<u32, Nanos>>,
    /// When which question went.
    asked: BTreeMap<u32, Nanos>,
    seq: u32,
    next: Nanos,
    /// Planted breaks, for tests that look for them.
    #[cfg(test)]
    pub forgets: bool,
    #[cfg(test)]
    pub counts_from_the_answer: bool,
}

impl Leases {
    pub fn new(place: u32, life: u64, roster: u32, length: Nanos, now: Nanos) -> Leases {
        Leases {
            me: (place, life),
            roster,
            length,
            born: now,
            promised: BTreeMap::new(),
            wanted: BTreeMap::new(),
            asked: BTreeMap::new(),
            seq: 0,
            next: now,
            #[cfg(test)]
            forgets: false,
            #[cfg(test)]
            counts_from_the_answer: false,
        }
    }

    /// Wants these parts from here on, and lets go of others.
    pub fn want(&mut self, parts: &BTreeSet<u32>) {
        self.wanted.retain(|part, _| parts.contains(part));
        parts
            .iter()
            .for_each(|part| _ = self.wanted.entry(*part).or_default());
    }

    /// The question to all places that is due now, if one is: its number, and for which parts.
    pub fn due(&mut self, now: Nanos) -> Option<(u32, Vec<u32>)> {
        if self.wanted.is_empty() || now < self.next {
            return None;
        }
        self.next = now + self.length / 3;
        self.seq = self.seq.wrapping_add(1);
        self.asked.insert(self.seq, now);
        self.asked
            .retain(|_, sent| now < sent.saturating_add(self.length));
        let parts: Vec<u32> = self.wanted.keys().copied().collect();
        // Its own voice counts like any other.
        let granted = self.ask(now, self.me.0, self.me.1, &parts);
        self.granted(now, self.me.0, self.seq, &granted);
        Some((self.seq, parts))
    }

    pub fn next(&self) -> Option<Nanos> {
        (!self.wanted.is_empty()).then_some(self.next)
    }

    /// Another place asks for these parts; gives those that are promised to it.
    pub fn ask(&mut self, now: Nanos, place: u32, life: u64, parts: &[u32]) -> Vec<u32> {
        #[cfg(test)]
        let fresh = now < self.born.saturating_add(self.length) && !self.forgets;
        #[cfg(not(test))]
        let fresh = now < self.born.saturating_add(self.length);
        // Guards: a part promised twice, as this member has forgotten that it promised it.
        if fresh || place >= self.roster {
            return Vec::new();
        }
        let mut granted = Vec::new();
        for part in parts.iter().filter(|part| **part < self.roster) {
            let held = self.promised.get(part).filter(|(_, until)| now < *until);
            if held.is_none_or(|(holder, _)| *holder == (place, life)) {
                self.promised
                    .insert(*part, ((place, life), now + self.length));
                granted.push(*part);
            }
        }
        granted
    }

    /// A place has promised these parts.
    pub fn granted(&mut self, now: Nanos, place: u32, seq: u32, parts: &[u32]) {
        let Some(&sent) = self.asked.get(&seq) else {
            return;
        };
        #[cfg(test)]
        let sent = if self.counts_from_the_answer {
            now
        } else {
            sent
        };
        #[cfg(not(test))]
        let _ = now;
        // Counted from the question, which went before the promise began. Guards: a late answer that is used when
        // the promise is over.
        let until = sent + self.length - self.length / DRIFT;
        for part in parts.iter().filter(|_| place < self.roster) {
            if let Some(promises) = self.wanted.get_mut(part) {
                let promise = promises.entry(place).or_insert(until);
                *promise = until.max(*promise);
            }
        }
    }

    /// Which parts are this member's now.
    pub fn held(&self, now: Nanos) -> impl Iterator<Item = u32> + '_ {
        let counts =
            move |all: &BTreeMap<u32, Nanos>| all.values().filter(|until| now < **until).count();
        let held = move |all: &BTreeMap<u32, Nanos>| 2 * counts(all) > self.roster as usize;
        self.wanted
            .iter()
            .filter(move |(_, all)| held(all))
            .map(|(part, _)| *part)
    }

    /// Whether the part is this member's now.
    #[cfg(test)]
    pub fn holds(&self, now: Nanos, part: u32) -> bool {
        self.held(now).any(|held| held == part)
    }
}
