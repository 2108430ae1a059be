//! A forwarder's line to one planner: whether it is up, what it has said in this session, and until when
//! its word holds. It owns the session, the beats and the lease. It must never let the word of a planner
//! hold longer than the lease from a beat that the planner had read: so long after the beat, the planner
//! may have learned of a drain that it could not tell.

use crate::frames::{Head, Reader, Tally, Writer};
use reedferry::{HostId, Nanos};
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;

/// A planner as the operator names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannerAddress {
    pub name: String,
    pub address: SocketAddr,
}

/// Planners in the order in which this forwarder follows them: each pair of names draws a number, the
/// highest first (highest random weight, Thaler and Ravishankar 1998). Forwarders spread evenly over the
/// planners, and when one comes or goes only those move whose first it is or was.
pub fn order(forwarder: &str, planners: &mut [PlannerAddress]) {
    let draw = |planner: &PlannerAddress| crate::fingerprint([forwarder, &planner.name]);
    planners.sort_by(|a, b| draw(b).cmp(&draw(a)).then_with(|| a.name.cmp(&b.name)));
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Not connected; when it is called next.
    PlannerMessage(Nanos),
    /// Called; by when it must stand and have greeted.
    Calling(Nanos),
    /// In a session of this number.
    ForwarderMessage(u64),
}

pub struct Line {
    /// What the shell knows this line by.
    pub token: u32,
    pub at: PlannerAddress,
    pub state: State,
    pub reader: Reader,
    pub writer: Writer,
    pub tally: Tally,
    /// The beats sent and when, the oldest first.
    beats: VecDeque<(u64, Nanos)>,
    beat: u64,
    next_beat: Nanos,
    /// Until when its last word holds.
    pub granted: Nanos,
    /// Since when its word has held without a break.
    pub well_since: Nanos,
    pub up_since: Nanos,
    pub going: bool,
    pub tries: u32,
    /// Why it was last turned away, so that it is logged once.
    pub why: String,
    /// The hosts it named since its session began, until it has named all.
    pub named: Option<HashSet<HostId>>,
}

/// Beats in the time of a lease, and how many are remembered: more than a lease has.
const BEATS: u64 = 8;
const MOST_BEATS: usize = 64;

impl Line {
    pub fn new(token: u32, at: PlannerAddress, now: Nanos) -> Self {
        Line {
            token,
            at,
            state: State::PlannerMessage(now),
            reader: Reader::default(),
            writer: Writer::default(),
            tally: Tally::default(),
            beats: VecDeque::new(),
            beat: 0,
            next_beat: 0,
            granted: 0,
            well_since: 0,
            up_since: 0,
            going: false,
            tries: 0,
            why: String::new(),
            named: None,
        }
    }

    /// Whether its word holds now.
    pub fn holds(&self, now: Nanos) -> bool {
        matches!(self.state, State::ForwarderMessage(_)) && now < self.granted
    }

    pub fn session(&self) -> Option<u64> {
        match self.state {
            State::ForwarderMessage(session) => Some(session),
            _ => None,
        }
    }

    /// All that a connection had is void.
    pub fn reset(&mut self, state: State) {
        let (token, at, tries) = (self.token, self.at.clone(), self.tries);
        let why = std::mem::take(&mut self.why);
        *self = Line {
            state,
            tries,
            why,
            ..Line::new(token, at, 0)
        };
    }

    pub fn begin(&mut self, session: u64, now: Nanos) {
        (self.state, self.up_since, self.next_beat) = (State::ForwarderMessage(session), now, now);
        (self.tries, self.named, self.why) = (0, Some(HashSet::new()), String::new());
    }

    /// Sends a beat when one is due.
    pub fn beat(&mut self, now: Nanos, lease: Nanos) {
        let Some(session) = self.session().filter(|_| now >= self.next_beat) else {
            return;
        };
        // Guards: a beat from before a pause of this process that goes out after it under a fresh number.
        self.writer.seal();
        self.beat += 1;
        self.beats.push_back((self.beat, now));
        if self.beats.len() > MOST_BEATS {
            self.beats.pop_front();
        }
        self.next_beat = now + lease / BEATS;
        self.writer.mark(session, self.beat);
    }

    pub fn next_beat(&self) -> Option<Nanos> {
        self.session().map(|_| self.next_beat)
    }

    pub fn last_beat(&self) -> u64 {
        self.beat
    }

    /// Takes in the beat that a piece answers, and tells until when what the piece says holds; none where
    /// no such beat was sent. One so old that it is forgotten grants nothing.
    pub fn grants(&mut self, head: &Head, now: Nanos, lease: Nanos) -> Option<Nanos> {
        if head.beat > self.beat {
            return None;
        }
        while self
            .beats
            .front()
            .is_some_and(|(beat, _)| *beat < head.beat)
        {
            self.beats.pop_front();
        }
        let sent = self
            .beats
            .front()
            .filter(|(beat, _)| *beat == head.beat)
            .map(|(_, sent)| *sent);
        let until = sent.map_or(0, |sent| sent + lease);
        if until > self.granted {
            if now >= self.granted && now < until {
                self.well_since = now;
            }
            self.granted = until;
        }
        Some(until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::collections::HashMap;

    fn planners(count: usize) -> Vec<PlannerAddress> {
        let at = |n| PlannerAddress {
            name: format!("p{n}"),
            address: ([127, 0, 0, 1], 9000 + n as u16).into(),
        };
        (0..count).map(at).collect()
    }

    fn firsts(planners: &[PlannerAddress]) -> Vec<String> {
        let first = |n: usize| {
            let mut mine = planners.to_vec();
            order(&format!("f{n}"), &mut mine);
            mine[0].name.clone()
        };
        (0..1000).map(first).collect()
    }

    #[test]
    fn forwarders_spread_evenly_and_only_those_of_a_planner_that_goes_move() {
        let all = planners(5);
        let before = firsts(&all);
        let mut counts: HashMap<&str, usize> = HashMap::new();
        before
            .iter()
            .for_each(|name| *counts.entry(name).or_default() += 1);
        assert!(
            counts.len() == 5 && counts.values().all(|c| (150..=250).contains(c)),
            "{counts:?}"
        );
        let after = firsts(&all[1..]);
        assert!(before.iter().zip(&after).all(|(b, a)| b == "p0" || a == b));
        assert!(!after.iter().any(|name| name == "p0"));
    }

    #[test]
    fn a_word_holds_a_lease_from_the_beat_that_it_answers_however_late_it_comes() {
        let mut line = Line::new(0, planners(1)[0].clone(), 0);
        line.begin(7, 1000);
        let head = |beat| Head {
            session: 7,
            number: 1,
            beat,
        };
        line.beat(1000, 800);
        line.beat(1050, 800);
        line.beat(1100, 800);
        assert_eq!(line.last_beat(), 2);
        assert_eq!(line.grants(&head(1), 1500, 800), Some(1800));
        assert!(line.holds(1799) && !line.holds(1800));
        // A late piece grants nothing new, and none for a beat that was never sent.
        assert_eq!(line.grants(&head(0), 1500, 800), Some(0));
        assert_eq!(line.grants(&head(3), 1500, 800), None);
        assert_eq!(line.grants(&head(2), 2500, 800), Some(1900));
        assert!(!line.holds(2500));
        assert_eq!(
            line.grants(&head(1), 2500, 800),
            Some(0),
            "an older beat is forgotten"
        );
    }
}
