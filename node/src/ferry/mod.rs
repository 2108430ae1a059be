//! The ferry: an attachment's two connections, from the client's first line to the end of both. It owns
//! the sockets of clients and hosts and what is on its way between them, in parts by what they own: the
//! client's side before its answer (`door`), a hand-off (`landing`), the open connection (`passage`), and
//! endings. It tells events and carries actions out, whoever decides. It must never choose a host or an
//! answer, nor answer an attachment twice or let it go without an answer, nor pass on what is no proper
//! attachment: that is turned away here, whatever it sends or leaves unsent.

mod door;
mod endings;
mod landing;
pub mod lane;
pub mod lines;
mod passage;
mod passing;
pub mod probe;
pub mod wire;

use crate::deck::{Deck, CLIENT};
use crate::ferry::lane::{Lane, Side};
use door::{Door, SILENT_CLIENT};
use endings::MOST_WASTE;
use landing::Landing;
pub use passing::Passenger;
use reedferry::{Action, Arrival, AttachmentId, Ending, HostId, Nanos, Offering, SECOND};
use reedferry_quay::{Buffer, Readiness, Socket};
use slab::Slab;
use slog::info;
use std::collections::VecDeque;
use std::rc::Rc;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The first line has not come yet.
    Knocking,
    /// The module has it and owes an answer.
    Held,
    /// It stood at a host before the run and goes back there; when it is tried next.
    Returning(Nanos),
    /// Lines pass both ways.
    Open,
    /// Another process is to go on with it, which was open or had not asked yet.
    Passing(bool),
    /// The answer is given or its host is gone: the client's end is waited for.
    Closing(Nanos),
}

struct Ferry {
    client: Option<Side>,
    landing: Option<Landing>,
    stage: Stage,
    /// When the client came, and when its attachment did.
    came: Nanos,
    since: Nanos,
    arrival: Arrival,
    /// Its id on the wire, while it is open.
    name: Option<Rc<str>>,
    pings: u32,
    errors: u32,
    /// What has been thrown away of it since the last sweep.
    wasted: usize,
    /// The client's first line and how long it is, kept until a host has taken it.
    letter: Option<Buffer>,
    letter_length: usize,
    /// Where it stood before the run.
    home: Option<HostId>,
    /// How long the client waits, and how long the hand-off that is out is given.
    waits: Nanos,
    given: Nanos,
    up: Lane,
    down: Lane,
    hand_offs: u32,
    /// When the lines went that are not answered yet.
    asked: VecDeque<Nanos>,
    moving: Option<Nanos>,
    ending: Ending,
    client_ended: Option<Nanos>,
    /// The next process would not have it.
    turned_down: bool,
}

impl Ferry {
    fn new(client: Side, slot: usize, now: Nanos) -> Self {
        let id = AttachmentId(u64::from(client.stamp) << 32 | slot as u64);
        Ferry {
            client: Some(client),
            landing: None,
            stage: Stage::Knocking,
            came: now,
            since: now,
            arrival: Arrival { id, ..Arrival::default() },
            name: None,
            pings: 0,
            errors: 0,
            wasted: 0,
            letter: None,
            letter_length: 0,
            home: None,
            waits: 0,
            given: 0,
            up: Lane::default(),
            down: Lane::default(),
            hand_offs: 0,
            asked: VecDeque::new(),
            moving: None,
            ending: Ending::CalledOff,
            client_ended: None,
            turned_down: false,
        }
    }

    /// Whether its attachment waits for its answer.
    fn owed(&self) -> bool {
        matches!(self.stage, Stage::Held | Stage::Returning(_))
    }

    /// Whether it holds no attachment: it has not asked yet, or has its answer.
    fn idles(&self) -> bool {
        matches!(self.stage, Stage::Knocking | Stage::Closing(_))
    }
}

#[derive(Default)]
pub struct Ferries {
    slab: Slab<Ferry>,
    door: Door,
    /// What may still be thrown away before the next sweep.
    waste: usize,
    /// Those with more to do than a turn allows.
    more: Vec<usize>,
    /// Those that wait for a buffer, until the next sweep.
    starved: Vec<usize>,
}

impl Ferries {
    pub fn count(&self) -> usize {
        self.slab.len()
    }

    /// Whether any attachment goes by this place of an offering.
    pub fn holds(&self, offering: usize) -> bool {
        self.slab.iter().any(|(_, ferry)| !ferry.idles() && ferry.arrival.offering == offering)
    }

    /// The offerings that any attachment goes by, by their names, and what they mean.
    pub fn held(&self, deck: &Deck) -> Vec<(String, Offering)> {
        let all = deck.terms.offerings.iter().zip(&deck.offerings).enumerate();
        let held = all.filter(|(n, _)| self.holds(*n));
        held.map(|(_, (name, offering))| (name.clone(), offering.clone())).collect()
    }

    /// The clients whose attachment is held or open.
    pub fn in_flight(&self) -> usize {
        self.slab
            .iter()
            .filter(|(_, ferry)| (ferry.owed() || ferry.stage == Stage::Open) && ferry.client.is_some())
            .count()
    }

    /// Whether something is left to do without waiting.
    pub fn busy(&self) -> bool {
        !self.more.is_empty() || self.door.open
    }

    pub(super) fn find(&self, id: AttachmentId) -> Option<usize> {
        let slot = id.0 as u32 as usize;
        self.slab.get(slot).filter(|f| f.arrival.id == id).map(|_| slot)
    }

    pub fn ready(&mut self, deck: &mut Deck, ready: Readiness) {
        let (slot, stamp) = (ready.mark.slot as usize, ready.mark.stamp);
        let Some(ferry) = self.slab.get_mut(slot) else { return };
        let side = match ready.mark.part {
            CLIENT => ferry.client.as_mut(),
            _ => ferry.landing.as_mut().map(|l| &mut l.side),
        };
        let Some(side) = side.filter(|s| s.stamp == stamp) else { return };
        side.readable |= ready.read;
        side.writable |= ready.write;
        self.go(deck, slot);
    }

    /// Goes on with those that had more to do.
    pub fn resume(&mut self, deck: &mut Deck, door: Option<&Socket>) {
        if self.door.open {
            self.accept(deck, door);
        }
        for slot in std::mem::take(&mut self.more) {
            self.go(deck, slot);
        }
    }

    pub(super) fn go(&mut self, deck: &mut Deck, slot: usize) {
        let Some(ferry) = self.slab.get(slot) else { return };
        match ferry.stage {
            Stage::Knocking => self.knock(deck, slot),
            Stage::Held | Stage::Returning(_) => {
                self.listen(deck, slot);
                self.land_on(deck, slot);
            }
            Stage::Open => self.pass(deck, slot),
            Stage::Passing(_) => {}
            Stage::Closing(_) => self.see_off(deck, slot),
        }
    }

    /// Carries out what is for an attachment, whoever decided it, and gives back what is not.
    pub fn carry_out(&mut self, deck: &mut Deck, action: Action) -> Option<Action> {
        match action {
            Action::HandOff { id, host, until, by } => self.hand_off(deck, id, host, until, by),
            Action::Dismiss { id, wait } => self.dismiss(deck, id, wait),
            Action::GiveUp { id } => self.give_up(deck, id),
            Action::Move { id } => self.move_on(deck, id),
            Action::CallOff { id, hand_off } => self.call_off(deck, id, hand_off),
            other => return Some(other),
        }
        None
    }

    /// Looks over all: what has waited too long, and which lines go unanswered.
    pub fn sweep(&mut self, deck: &mut Deck) {
        let now = deck.now;
        let stopped = deck.stopped_by.unwrap_or(Nanos::MAX);
        self.more.append(&mut self.starved);
        self.waste = MOST_WASTE;
        let slots: Vec<usize> = self.slab.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(ferry) = self.slab.get_mut(slot) else { continue };
            match ferry.stage {
                // Guards: clients that wait or rest until the program is ended from outside, and never have an answer.
                Stage::Knocking if now >= stopped => self.send_away(deck, slot),
                Stage::Held if now >= stopped && ferry.landing.is_some() => self.out_of_time(deck, slot),
                Stage::Knocking if now >= ferry.came + SILENT_CLIENT => {
                    self.turn_away(deck, slot, "no whole line in time");
                }
                Stage::Returning(next) if ferry.landing.is_none() && now >= next => self.go_back(deck, slot),
                Stage::Closing(by) if now >= by => self.remove(slot, false),
                Stage::Closing(_) => {
                    ferry.wasted = 0;
                    self.see_off(deck, slot);
                }
                Stage::Open => self.look_after(deck, slot),
                _ => {}
            }
        }
        let slab = &self.slab;
        let same = |f: &Ferry, stamp| f.idles() && f.client.as_ref().is_some_and(|c| c.stamp == stamp);
        self.door.idle.retain(|&(slot, stamp)| slab.get(slot).is_some_and(|f| same(f, stamp)));
        // Once a second. Guards: a log that bad clients fill.
        if now >= self.door.told + SECOND {
            self.door.told = now;
            for (why, count) in std::mem::take(&mut self.door.turned) {
                info!(deck.log, "turned away"; "why" => why, "count" => count);
            }
        }
    }
}
