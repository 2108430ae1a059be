//! An attachment that goes on in another process: what that one must know of it, and how it is given and taken.
//! It owns the form of a [`Passenger`]. It must never read or write on a connection that is being passed, nor
//! have two processes do so: who gives lets go first, and who takes says so before its first byte.

use super::landing::{Landing, Said};
use super::{Connection, Connections, Stage};
use crate::connections::lane::{Lane, Side};
use crate::connections::lines::Scanner;
use crate::context::{Context, CLIENT, HOST};
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
    fn lane(&self, context: &Context) -> Option<Lane> {
        let mut buffer = None;
        if !self.waiting.is_empty() {
            let mut fresh = context.pool.take()?;
            fresh.put(&self.waiting).then_some(())?;
            buffer = Some(fresh);
        }
        Some(Lane { buffer, scanner: self.scanner, ended: self.ended })
    }
}

impl Connections {
    /// Those that another process can go on with: open, or still without a whole first line.
    pub fn passable(&self) -> Vec<usize> {
        let fits = |connection: &Connection| match connection.stage {
            Stage::Open => connection.landing.is_some() && connection.asked.len() <= MOST_ASKED,
            Stage::Unasked => true,
            _ => false,
        };
        let fits = |connection: &Connection| {
            connection.client.is_some() && !connection.turned_down && fits(connection)
        };
        let all = self.slab.iter().filter(|(_, connection)| fits(connection));
        all.map(|(slot, _)| slot).collect()
    }

    /// Lets go of one that is passable, and says what the next process must know of it.
    pub fn let_go(&mut self, context: &mut Context, slot: usize) -> (Passenger, AttachmentId) {
        let connection = &mut self.slab[slot];
        let open = connection.stage == Stage::Open;
        connection.stage = Stage::Passing(open);
        let arrival = connection.arrival;
        let sides = connection.client.iter().chain(connection.landing.as_ref().map(|l| &l.side));
        sides.for_each(|side| _ = context.poller.unwatch(&side.socket));
        let landing = connection.landing.as_ref().filter(|_| open);
        let open = landing.map(|landing| Open {
            host: context.hosts.record(landing.host).name.clone(),
            load: landing.said.load,
            up: Flowing::of(&connection.up),
            down: Flowing::of(&connection.down),
            asked: connection.asked.iter().copied().collect(),
            moving: connection.moving,
            broken: connection.ending == Ending::Broken,
            client_ended: connection.client_ended,
            bye: landing.said.bye,
            moved: landing.said.moved,
        });
        let offering = open.as_ref().and_then(|_| {
            let (name, means) =
                (context.terms.offerings.get(arrival.offering), context.offerings.get(arrival.offering));
            Some((name?.clone(), means?.clone()))
        });
        let passenger = Passenger {
            came: connection.came,
            since: connection.since,
            pings: connection.pings,
            letter: connection.letter.as_ref().map_or(Vec::new(), |l| l.waiting().to_vec()),
            name: connection.name.as_deref().map(str::to_string),
            offering,
            key: arrival.key,
            group: arrival.group,
            usual_load: arrival.usual_load,
            open,
        };
        if let Some(landing) = &connection.landing {
            context.events.push(Event::Ended {
                id: arrival.id,
                hand_off: landing.number,
                host: context.hosts.record(landing.host).id,
                over: true,
                ending: Ending::PassedOn,
                gauges: Vec::new(),
            });
        }
        (passenger, arrival.id)
    }

    /// The descriptors that go with it: its client's, and its host's.
    pub fn descriptors(&self, slot: usize) -> Vec<BorrowedFd<'_>> {
        let connection = &self.slab[slot];
        let sides = connection.client.iter().chain(connection.landing.as_ref().map(|l| &l.side));
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
    pub fn keep(&mut self, context: &mut Context, id: AttachmentId) {
        let Some(slot) = self.passing(id) else { return };
        let connection = &mut self.slab[slot];
        connection.stage =
            if connection.stage == Stage::Passing(true) { Stage::Open } else { Stage::Unasked };
        let mut watched = true;
        for (part, side) in
            [(CLIENT, connection.client.as_mut()), (HOST, connection.landing.as_mut().map(|l| &mut l.side))]
        {
            let Some(side) = side else { continue };
            match context.watch(&side.socket, part, slot) {
                Ok(mark) => side.stamp = mark.stamp,
                Err(_) => watched = false,
            }
        }
        if !watched {
            return self.remove(slot, true);
        }
        if let Some(landing) = &connection.landing {
            let host = context.hosts.record(landing.host).id;
            context.events.push(Event::PassedOn(connection.arrival, host, connection.since));
        } else if let Some(client) = &connection.client {
            self.listener.idle.push_back((slot, client.stamp));
        }
        self.more.push(slot);
    }

    /// The next process would not have it: this one goes on with it, and has it moved. Guards: one that is given and turned down
    /// again and again until the program is ended.
    pub fn turned_down(&mut self, context: &mut Context, id: AttachmentId) {
        self.keep(context, id);
        if let Some(slot) = self.find(id) {
            self.slab[slot].turned_down = true;
            self.move_on(context, id);
        }
    }

    /// Goes on with one that the process before this one has let go of; false where that cannot be.
    pub fn adopt(&mut self, context: &mut Context, passenger: Passenger, sockets: Vec<Socket>) -> bool {
        // Guards: one customer's connection that goes by another's terms, as its own are offered no more.
        let goes_by = passenger.offering.as_ref().and_then(|(name, means)| {
            renewal::place((&context.offerings, &context.terms.offerings), name, means)
        });
        if passenger.open.is_some() && goes_by.is_none() {
            return false;
        }
        let slot = self.slab.vacant_key();
        let mut sockets = sockets.into_iter();
        let Some(client) = sockets.next() else { return false };
        let Ok(mark) = context.watch(&client, CLIENT, slot) else { return false };
        let client = Side { socket: client, stamp: mark.stamp, readable: false, writable: true };
        let mut connection = Connection::new(client, slot, passenger.came);
        (connection.since, connection.pings) = (passenger.since, passenger.pings);
        match passenger.open {
            Some(open) => {
                let Some(host) = sockets.next() else { return false };
                let (Some(up), Some(down)) = (open.up.lane(context), open.down.lane(context)) else {
                    return false;
                };
                let Ok(mark) = context.watch(&host, HOST, slot) else { return false };
                let side = Side { socket: host, stamp: mark.stamp, readable: false, writable: true };
                let index = context.hosts.adopt(context.now, &open.host);
                let record = context.hosts.record(index);
                let said = Said { bye: open.bye, moved: open.moved, load: open.load };
                connection.landing =
                    Some(Landing::stood(side, index, record.lease.clone(), passenger.since, said));
                (connection.up, connection.down) = (up, down);
                (connection.asked, connection.moving, connection.client_ended) =
                    (open.asked.into(), open.moving, open.client_ended);
                connection.ending = if open.broken { Ending::Broken } else { Ending::CalledOff };
                connection.stage = Stage::Open;
                connection.arrival.offering = goes_by.unwrap_or_default();
                (connection.arrival.key, connection.arrival.group) = (passenger.key, passenger.group);
                connection.arrival.usual_load = passenger.usual_load;
                if let Some(name) = passenger.name {
                    let name = std::rc::Rc::from(name);
                    self.listener.names.insert(std::rc::Rc::clone(&name));
                    connection.name = Some(name);
                }
                let (arrival, id): (_, HostId) = (connection.arrival, record.id);
                context.events.push(Event::PassedOn(arrival, id, passenger.since));
                context.events.extend(open.load.map(|load| Event::LoadNow { id: arrival.id, load }));
            }
            None => {
                if !passenger.letter.is_empty() {
                    let Some(mut letter) = context.pool.take() else { return false };
                    letter.put(&passenger.letter);
                    connection.letter = Some(letter);
                }
                self.listener.idle.push_back((slot, mark.stamp));
            }
        }
        self.slab.insert(connection);
        self.more.push(slot);
        true
    }
}
