//! A duty: what a forwarder owes for one attachment, with the history that no planner's death may lose.
//! It owns what is known of every hand-off so far, and the two rules that a forwarder holds to whoever
//! decides: when there may be another hand-off, and when a dismissal is the truth. It must never forget a
//! hand-off that may have run.

use crate::frames::{Asked, Past};
use reedferry::{permission, Arrival, Charter, Ending, HostId, Nanos, Offering};

/// Hosts of past hand-offs that are remembered: more than any charter allows hand-offs.
const MOST_TRIED: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No hand-off is out; somebody has to decide.
    Waiting,
    /// A hand-off is out to this host.
    Out(HostId),
    /// It stands open at this host.
    Open(HostId),
}

pub struct Duty {
    pub arrival: Arrival,
    pub expiry: Nanos,
    pub phase: Phase,
    /// Counts what was told of it that a planner may answer.
    pub step: u32,
    pub hand_offs: u32,
    /// The planner that is followed knows it.
    pub known: bool,
    /// An answer to its step is awaited.
    pub asked: bool,
    /// Its client left while a hand-off was out.
    pub left: bool,
    /// Its client was sent away by a forwarder that stops.
    pub moved: bool,
    sent: Nanos,
    ran: Option<(HostId, Nanos)>,
    tried: Vec<HostId>,
}

impl Duty {
    pub fn new(arrival: Arrival, now: Nanos) -> Self {
        Duty {
            arrival,
            expiry: now.saturating_add(arrival.time_left),
            phase: Phase::Waiting,
            step: 0,
            hand_offs: 0,
            known: false,
            asked: false,
            left: false,
            moved: false,
            sent: 0,
            ran: None,
            tried: Vec::new(),
        }
    }

    pub fn standing(arrival: Arrival, host: HostId, now: Nanos) -> Self {
        Duty {
            phase: Phase::Open(host),
            ..Duty::new(arrival, now)
        }
    }

    pub fn sent(&mut self, host: HostId, now: Nanos) {
        (self.phase, self.sent, self.hand_offs) = (Phase::Out(host), now, self.hand_offs + 1);
    }

    /// A hand-off came to nothing: it is waiting again, a step further.
    pub fn came_back(&mut self, ending: Ending) {
        let Phase::Out(host) = self.phase else { return };
        (self.phase, self.step) = (Phase::Waiting, self.step + 1);
        if self.tried.len() < MOST_TRIED {
            self.tried.push(host);
        }
        if !ending.never_ran() && self.ran.is_none() {
            self.ran = Some((host, self.sent));
        }
    }

    /// Whether there may be another hand-off, of at most `most`, as far as the offering allows it anywhere.
    pub fn may_go(&self, offering: &Offering, most: u32, now: Nanos) -> bool {
        let first_sent = self.ran.map(|(_, sent)| sent);
        self.hand_offs < most && permission::may_repeat(offering, first_sent, now).is_ok()
    }

    /// When it gets its final answer at the latest, where nothing succeeds.
    pub fn answer_by(&self, charter: &Charter) -> Nanos {
        permission::answer_by(self.expiry, self.arrival.time_left, charter.round)
    }

    /// Whether it may be dismissed: a retry does no harm.
    pub fn harmless(&self, offering: &Offering) -> bool {
        permission::may_dismiss(offering, self.ran.is_some())
    }

    pub fn asked(&self, now: Nanos) -> Asked {
        Asked::of(&self.arrival, self.expiry.saturating_sub(now))
    }

    /// Its history, as a planner that has not seen it is told.
    pub fn past(&self, now: Nanos) -> Past {
        Past {
            hand_offs: self.hand_offs,
            ran: self
                .ran
                .map(|(host, sent)| (host.0, now.saturating_sub(sent))),
            tried: self.tried.iter().map(|h| h.0).collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedferry::{Circle, Effect};

    fn offering(effect: Effect, circle: Circle) -> Offering {
        Offering {
            effect,
            circle,
            window: 100,
            ..Offering::default()
        }
    }

    fn after(ending: Ending) -> Duty {
        let mut duty = Duty::new(
            Arrival {
                time_left: 1000,
                ..Arrival::default()
            },
            10,
        );
        duty.sent(HostId(4), 20);
        duty.came_back(ending);
        duty
    }

    #[test]
    fn what_may_have_run_binds_each_effect_in_its_own_way() {
        use Effect::*;
        for ending in [
            Ending::Error,
            Ending::TimedOut,
            Ending::Broken,
            Ending::CalledOff,
        ] {
            let duty = after(ending);
            assert!(duty.may_go(&offering(Redoable, Circle::All), 3, 30));
            assert!(!duty.may_go(&offering(Irreversible, Circle::All), 3, 30));
            assert!(duty.may_go(&offering(Labelled, Circle::Cell), 3, 119));
            assert!(
                !duty.may_go(&offering(Labelled, Circle::Cell), 3, 120),
                "out of its window"
            );
            assert!(!duty.harmless(&offering(Irreversible, Circle::All)));
            assert!(!duty.harmless(&offering(Labelled, Circle::Zone)));
            assert!(duty.harmless(&offering(Labelled, Circle::All)));
            assert_eq!(duty.past(50).ran, Some((4, 30)));
        }
        for ending in [Ending::Refused, Ending::Unconnected, Ending::NeverSent] {
            let duty = after(ending);
            assert!(duty.may_go(&offering(Irreversible, Circle::All), 3, 30));
            assert!(
                !duty.may_go(&offering(Irreversible, Circle::All), 1, 30),
                "no hand-off is left"
            );
            assert!(duty.harmless(&offering(Irreversible, Circle::All)));
            assert_eq!((duty.past(50).ran, duty.past(50).tried), (None, vec![4]));
        }
    }

    #[test]
    fn the_first_that_may_have_run_is_kept_whatever_follows() {
        let mut duty = after(Ending::Broken);
        duty.sent(HostId(5), 40);
        duty.came_back(Ending::TimedOut);
        duty.sent(HostId(6), 60);
        duty.came_back(Ending::Refused);
        assert_eq!(
            duty.past(70),
            Past {
                hand_offs: 3,
                ran: Some((4, 50)),
                tried: vec![4, 5, 6]
            }
        );
        assert_eq!(duty.step, 3);
    }
}
