//! An attachment that goes on in another process: what that one must know of it, and how it is given and taken.
//! It owns the form of a [`Passenger`]. It must never read or write on a connection that is being passed, nor
//! have two processes do so: who gives lets go first, and who takes says so before its first byte.

use super::landing::{Landing, Said};
use super::{Ferries, Ferry, Stage};
use crate::deck::{Deck, CLIENT, HOST};
use crate::ferry::lane::{Lane, Side};
use crate::ferry::lines::Scanner;
use reedferry::{AttachmentId, Ending, Event, HostId, Nanos, Offering};
use reedferry_quay::Socket;
use reedferry_terms::renewal;
use serde::{Deserialize, Serialize};
use std::os::fd::{AsFd, BorrowedFd};

/// Lines without an answer from which a connection is not passed on but moved: there is no room for more.
const MOST_ASKED: usize = 1024;

/// What flows one way, as it was left.
#[derive(Debug, Serialize, Deserialize)]
struct Flowing {
    waiting: Vec<u8>,
    scanner: Scanner,
    ended: bool,
}

/// A connection between its client and its host.
#[derive(Debug, Serialize, Deserialize)]
struct Open {
    host: String,
    load: Option<f64>,
    up: Flowing,
    down: Flowing,
    asked: Vec<Nanos>,
    moving: Option<Nanos>,
    broken: bool,
    client_ended: Option<Nanos>,
    bye: bool,
    moved: bool,
}

/// A client with its attachment, or before it has sent one.
#[derive(Debug, Serialize, Deserialize)]
pub struct Passenger {
    came: Nanos,
    since: Nanos,
    pings: u32,
    letter: Vec<u8>,
    name: Option<String>,
    /// What it goes by, and what that means.
    offering: Option<(String, Offering)>,
    key: Option<u64>,
    group: Option<u64>,
    usual_load: Option<f64>,
    open: Option<Open>,
}

impl Flowing {
    fn of(lane: &Lane) -> Self {
        let waiting = lane.buffer.as_ref().map_or(Vec::new(), |b| b.waiting().to_vec());
        Flowing { waiting, scanner: lane.scanner, ended: lane.ended }
    }

    /// None where it holds more than there are buffers for.
    fn lane(&self, deck: &Deck) -> Option<Lane> {
        let mut buffer = None;
        if !self.waiting.is_empty() {
            let mut fresh = deck.pool.take()?;
            fresh.put(&self.waiting).then_some(())?;
            buffer = Some(fresh);
        }
        Some(Lane { buffer, scanner: self.scanner, ended: self.ended })
    }
}

impl Ferries {
    /// Those that another process can go on with: open, or still without a whole first line.
    pub fn passable(&self) -> Vec<usize> {
        let fits = |ferry: &Ferry| match ferry.stage {
            Stage::Open => ferry.landing.is_some() && ferry.asked.len() <= MOST_ASKED,
            Stage::Knocking => true,
            _ => false,
        };
        let fits = |ferry: &Ferry| ferry.client.is_some() && !ferry.turned_down && fits(ferry);
        let all = self.slab.iter().filter(|(_, ferry)| fits(ferry));
        all.map(|(slot, _)| slot).collect()
    }

    /// Lets go of one that is passable, and says what the next process must know of it.
    pub fn let_go(&mut self, deck: &mut Deck, slot: usize) -> (Passenger, AttachmentId) {
        let ferry = &mut self.slab[slot];
        let open = ferry.stage == Stage::Open;
        ferry.stage = Stage::Passing(open);
        let arrival = ferry.arrival;
        let sides = ferry.client.iter().chain(ferry.landing.as_ref().map(|l| &l.side));
        sides.for_each(|side| _ = deck.poller.unwatch(&side.socket));
        let landing = ferry.landing.as_ref().filter(|_| open);
        let open = landing.map(|landing| Open {
            host: deck.hosts.berth(landing.host).name.clone(),
            load: landing.said.load,
            up: Flowing::of(&ferry.up),
            down: Flowing::of(&ferry.down),
            asked: ferry.asked.iter().copied().collect(),
            moving: ferry.moving,
            broken: ferry.ending == Ending::Broken,
            client_ended: ferry.client_ended,
            bye: landing.said.bye,
            moved: landing.said.moved,
        });
        let offering = open.as_ref().and_then(|_| {
            let (name, means) =
                (deck.terms.offerings.get(arrival.offering), deck.offerings.get(arrival.offering));
            Some((name?.clone(), means?.clone()))
        });
        let passenger = Passenger {
            came: ferry.came,
            since: ferry.since,
            pings: ferry.pings,
            letter: ferry.letter.as_ref().map_or(Vec::new(), |l| l.waiting().to_vec()),
            name: ferry.name.as_deref().map(str::to_string),
            offering,
            key: arrival.key,
            group: arrival.group,
            usual_load: arrival.usual_load,
            open,
        };
        if let Some(landing) = &ferry.landing {
            deck.events.push(Event::Ended {
                id: arrival.id,
                hand_off: landing.number,
                host: deck.hosts.berth(landing.host).id,
                over: true,
                ending: Ending::PassedOn,
                gauges: Vec::new(),
            });
        }
        (passenger, arrival.id)
    }

    /// The descriptors that go with it: its client's, and its host's.
    pub fn descriptors(&self, slot: usize) -> Vec<BorrowedFd<'_>> {
        let ferry = &self.slab[slot];
        let sides = ferry.client.iter().chain(ferry.landing.as_ref().map(|l| &l.side));
        sides.map(|side| side.socket.as_fd()).collect()
    }

    fn passing(&self, id: AttachmentId) -> Option<usize> {
        self.find(id).filter(|&slot| matches!(self.slab[slot].stage, Stage::Passing(_)))
    }

    /// The next process has it.
    pub fn passed(&mut self, id: AttachmentId) {
        if let Some(slot) = self.passing(id) {
            self.remove(slot, false);
        }
    }

    /// The next process is gone and never had it: this one goes on with it.
    pub fn keep(&mut self, deck: &mut Deck, id: AttachmentId) {
        let Some(slot) = self.passing(id) else { return };
        let ferry = &mut self.slab[slot];
        ferry.stage = if ferry.stage == Stage::Passing(true) { Stage::Open } else { Stage::Knocking };
        let mut watched = true;
        for (part, side) in
            [(CLIENT, ferry.client.as_mut()), (HOST, ferry.landing.as_mut().map(|l| &mut l.side))]
        {
            let Some(side) = side else { continue };
            match deck.watch(&side.socket, part, slot) {
                Ok(mark) => side.stamp = mark.stamp,
                Err(_) => watched = false,
            }
        }
        if !watched {
            return self.remove(slot, true);
        }
        if let Some(landing) = &ferry.landing {
            let host = deck.hosts.berth(landing.host).id;
            deck.events.push(Event::PassedOn(ferry.arrival, host, ferry.since));
        } else if let Some(client) = &ferry.client {
            self.door.idle.push_back((slot, client.stamp));
        }
        self.more.push(slot);
    }

    /// The next process would not have it: this one goes on with it, and has it moved. Guards: one that is given and turned down
    /// again and again until the program is ended.
    pub fn turned_down(&mut self, deck: &mut Deck, id: AttachmentId) {
        self.keep(deck, id);
        if let Some(slot) = self.find(id) {
            self.slab[slot].turned_down = true;
            self.move_on(deck, id);
        }
    }

    /// Goes on with one that the process before this one has let go of; false where that cannot be.
    pub fn adopt(&mut self, deck: &mut Deck, passenger: Passenger, sockets: Vec<Socket>) -> bool {
        // Guards: one customer's connection that goes by another's terms, as its own are offered no more.
        let goes_by = passenger
            .offering
            .as_ref()
            .and_then(|(name, means)| renewal::place((&deck.offerings, &deck.terms.offerings), name, means));
        if passenger.open.is_some() && goes_by.is_none() {
            return false;
        }
        let slot = self.slab.vacant_key();
        let mut sockets = sockets.into_iter();
        let Some(client) = sockets.next() else { return false };
        let Ok(mark) = deck.watch(&client, CLIENT, slot) else { return false };
        let client = Side { socket: client, stamp: mark.stamp, readable: false, writable: true };
        let mut ferry = Ferry::new(client, slot, passenger.came);
        (ferry.since, ferry.pings) = (passenger.since, passenger.pings);
        match passenger.open {
            Some(open) => {
                let Some(host) = sockets.next() else { return false };
                let (Some(up), Some(down)) = (open.up.lane(deck), open.down.lane(deck)) else { return false };
                let Ok(mark) = deck.watch(&host, HOST, slot) else { return false };
                let side = Side { socket: host, stamp: mark.stamp, readable: false, writable: true };
                let index = deck.hosts.adopt(deck.now, &open.host);
                let berth = deck.hosts.berth(index);
                let said = Said { bye: open.bye, moved: open.moved, load: open.load };
                ferry.landing = Some(Landing::stood(side, index, berth.lease.clone(), passenger.since, said));
                (ferry.up, ferry.down) = (up, down);
                (ferry.asked, ferry.moving, ferry.client_ended) =
                    (open.asked.into(), open.moving, open.client_ended);
                ferry.ending = if open.broken { Ending::Broken } else { Ending::CalledOff };
                ferry.stage = Stage::Open;
                ferry.arrival.offering = goes_by.unwrap_or_default();
                (ferry.arrival.key, ferry.arrival.group) = (passenger.key, passenger.group);
                ferry.arrival.usual_load = passenger.usual_load;
                if let Some(name) = passenger.name {
                    let name = std::rc::Rc::from(name);
                    self.door.names.insert(std::rc::Rc::clone(&name));
                    ferry.name = Some(name);
                }
                let (arrival, id): (_, HostId) = (ferry.arrival, berth.id);
                deck.events.push(Event::PassedOn(arrival, id, passenger.since));
                deck.events.extend(open.load.map(|load| Event::LoadNow { id: arrival.id, load }));
            }
            None => {
                if !passenger.letter.is_empty() {
                    let Some(mut letter) = deck.pool.take() else { return false };
                    letter.put(&passenger.letter);
                    ferry.letter = Some(letter);
                }
                self.door.idle.push_back((slot, mark.stamp));
            }
        }
        self.slab.insert(ferry);
        self.more.push(slot);
        true
    }
}
