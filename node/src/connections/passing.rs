//! An attachment that goes on in another process: what that one must know of it, and how it is given and taken.
//! It owns the form of a [`HandedOver`]. It must never read or write on a connection that is being passed, nor
//! have two processes do so: who gives lets go first, and who takes says so before its first byte.

use super::landing::{Landing, Said};
use super::{Connection, Connections, Stage};
use crate::connections::lane::{Lane, Side};
use crate::connections::lines::Scanner;
use crate::context::{Context, CLIENT, HOST};
use crate::operators::counts::Close;
use reedferry::{AttemptOutcome, Event, Nanos, RequestClass, RequestId};
use reedferry_runtime::{PollToken, Socket};
use reedferry_settings::renewal;
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
pub struct HandedOver {
    /// How far the clock of these times is ahead of the machine's steady one.
    clock_ahead: Nanos,
    came: Nanos,
    since: Nanos,
    pings: u32,
    letter: Vec<u8>,
    name: Option<String>,
    /// What it goes by, and what that means.
    class: Option<(String, RequestClass)>,
    key: Option<u64>,
    group: Option<u64>,
    usual_load: Option<f64>,
    open: Option<Open>,
}

impl HandedOver {
    /// The same, with its times as a clock has them that is so far ahead of the machine's steady one.
    fn timed_by(mut self, ahead: Nanos) -> HandedOver {
        let before = std::mem::replace(&mut self.clock_ahead, ahead);
        let timed = |time: Nanos| time.saturating_sub(before).saturating_add(ahead);
        (self.came, self.since) = (timed(self.came), timed(self.since));
        if let Some(open) = &mut self.open {
            open.asked.iter_mut().for_each(|time| *time = timed(*time));
            open.moving = open.moving.map(timed);
            open.client_ended = open.client_ended.map(timed);
        }
        self
    }
}

impl Flowing {
    fn of(lane: &Lane) -> Self {
        let waiting = lane
            .buffer
            .as_ref()
            .map_or(Vec::new(), |b| b.unsent().to_vec());
        Flowing {
            waiting,
            scanner: lane.scanner,
            ended: lane.ended,
        }
    }

    /// None where it holds more than there are buffers for.
    fn lane(&self, context: &Context) -> Option<Lane> {
        let mut buffer = None;
        if !self.waiting.is_empty() {
            let mut fresh = context.pool.take()?;
            fresh.append(&self.waiting).then_some(())?;
            buffer = Some(fresh);
        }
        Some(Lane {
            buffer,
            scanner: self.scanner,
            ended: self.ended,
        })
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
    pub fn release(&mut self, context: &mut Context, slot: usize) -> (HandedOver, RequestId) {
        let connection = &mut self.slab[slot];
        let open = connection.stage == Stage::Open;
        connection.stage = Stage::Passing(open);
        let incoming = connection.incoming;
        let sides = connection
            .client
            .iter()
            .chain(connection.landing.as_ref().map(|l| &l.side));
        sides.for_each(|side| _ = context.poller.deregister(&side.socket));
        let landing = connection.landing.as_ref().filter(|_| open);
        let open = landing.map(|landing| Open {
            host: context.hosts.record(landing.host).name.clone(),
            load: landing.said.load,
            up: Flowing::of(&connection.up),
            down: Flowing::of(&connection.down),
            asked: connection.asked.iter().copied().collect(),
            moving: connection.moving,
            broken: connection.ending == AttemptOutcome::ConnectionLost,
            client_ended: connection.client_ended,
            bye: landing.said.bye,
            moved: landing.said.moved,
        });
        let class = open.as_ref().and_then(|_| {
            let (name, means) = (
                context.node_settings.classes.get(incoming.class),
                context.classes.get(incoming.class),
            );
            Some((name?.clone(), means?.clone()))
        });
        let handed_over = HandedOver {
            clock_ahead: context.clock.offset(),
            came: connection.came,
            since: connection.since,
            pings: connection.pings,
            letter: connection
                .letter
                .as_ref()
                .map_or(Vec::new(), |l| l.unsent().to_vec()),
            name: connection.name.as_deref().map(str::to_string),
            class,
            key: incoming.key,
            group: incoming.group,
            usual_load: incoming.usual_load,
            open,
        };
        if let Some(landing) = &connection.landing {
            context.events.push(Event::AttemptEnded {
                id: incoming.id,
                attempt: landing.number,
                host: context.hosts.record(landing.host).id,
                request_over: true,
                ending: AttemptOutcome::HandedOver,
                load_metrics: Vec::new(),
            });
        }
        (handed_over, incoming.id)
    }

    /// The descriptors that go with it: its client's, and its host's.
    pub fn descriptors(&self, slot: usize) -> Vec<BorrowedFd<'_>> {
        let connection = &self.slab[slot];
        let sides = connection
            .client
            .iter()
            .chain(connection.landing.as_ref().map(|l| &l.side));
        sides.map(|side| side.socket.as_fd()).collect()
    }

    fn passing(&self, id: RequestId) -> Option<usize> {
        self.find(id)
            .filter(|&slot| matches!(self.slab[slot].stage, Stage::Passing(_)))
    }

    /// The next process has it.
    pub fn passed(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.passing(id) {
            self.remove(context, slot, Close::PassedOn);
        }
    }

    /// This process goes on with one that was being passed: the next one never had it, or it has come from the one before,
    /// which was told so.
    pub fn keep(&mut self, context: &mut Context, id: RequestId) {
        let Some(slot) = self.passing(id) else { return };
        let connection = &mut self.slab[slot];
        connection.stage = if connection.stage == Stage::Passing(true) {
            Stage::Open
        } else {
            Stage::Unasked
        };
        let sides = [
            (CLIENT, connection.client.as_mut()),
            (HOST, connection.landing.as_mut().map(|l| &mut l.side)),
        ];
        for (part, side) in sides {
            let Some(side) = side else { continue };
            let mark = PollToken {
                component: part,
                slot: slot as u32,
                generation: context.stamp(),
            };
            side.stamp = mark.generation;
            if context
                .poller
                .register_or_update(&side.socket, mark)
                .is_err()
            {
                context.machine_trouble("epoll_ctl");
                self.unwatched.push(mark);
            }
        }
        if let Some(landing) = &connection.landing {
            let host = context.hosts.record(landing.host).id;
            let (incoming, load) = (connection.incoming, landing.said.load);
            context.events.push(Event::ConnectionHandedOver(
                incoming,
                host,
                connection.since,
            ));
            context.events.extend(load.map(|load| Event::LoadMeasured {
                id: incoming.id,
                load,
            }));
        } else if let Some(client) = &connection.client {
            self.listener.idle.push_back((slot, client.stamp));
        }
        self.more.push(slot);
        if !self.unwatched.is_empty() {
            self.time_retry(context);
        }
    }

    /// The next process would not have it: this one goes on with it, and has it moved. Guards: one that is given and turned down
    /// again and again until the program is ended.
    pub fn turned_down(&mut self, context: &mut Context, id: RequestId) {
        self.keep(context, id);
        if let Some(slot) = self.find(id) {
            self.slab[slot].turned_down = true;
            self.move_on(context, id);
        }
    }

    /// Lets one be that was adopted, with nothing said on it: the process before goes on with it after all.
    pub fn abandon(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.passing(id) {
            self.remove(context, slot, Close::PassedOn);
        }
    }

    /// Takes in one that the process before this one has let go of, under this id; none where that cannot be. Nothing is read
    /// or written on it before [`Connections::keep`]. Guards: bytes that are lost between two processes, as the one before
    /// takes it back where it is not told in time.
    pub fn adopt(
        &mut self,
        context: &mut Context,
        handed_over: HandedOver,
        sockets: Vec<Socket>,
    ) -> Option<RequestId> {
        let handed_over = handed_over.timed_by(context.clock.offset());
        // Guards: one customer's connection that goes by another's terms, as its own are offered no more.
        let goes_by = handed_over.class.as_ref().and_then(|(name, means)| {
            renewal::place(
                (&context.classes, &context.node_settings.classes),
                name,
                means,
            )
        });
        if handed_over.open.is_some() && goes_by.is_none() {
            return None;
        }
        let slot = self.slab.vacant_key();
        let mut sockets = sockets.into_iter();
        let client = sockets.next()?;
        let client = Side {
            socket: client,
            stamp: context.stamp(),
            readable: false,
            writable: true,
        };
        let mut connection = Connection::new(client, slot, handed_over.came);
        (connection.since, connection.pings) = (handed_over.since, handed_over.pings);
        match handed_over.open {
            Some(open) => {
                let host = sockets.next()?;
                let (Some(up), Some(down)) = (open.up.lane(context), open.down.lane(context))
                else {
                    return None;
                };
                let side = Side {
                    socket: host,
                    stamp: context.stamp(),
                    readable: false,
                    writable: true,
                };
                let index = context.hosts.adopt(context.now, &open.host);
                let record = context.hosts.record(index);
                let said = Said {
                    bye: open.bye,
                    moved: open.moved,
                    load: open.load,
                };
                connection.landing = Some(Landing::stood(
                    side,
                    index,
                    record.lease.clone(),
                    handed_over.since,
                    said,
                ));
                (connection.up, connection.down) = (up, down);
                (connection.asked, connection.moving, connection.client_ended) =
                    (open.asked.into(), open.moving, open.client_ended);
                connection.ending = if open.broken {
                    AttemptOutcome::ConnectionLost
                } else {
                    AttemptOutcome::Cancelled
                };
                connection.stage = Stage::Passing(true);
                connection.incoming.class = goes_by.unwrap_or_default();
                (connection.incoming.key, connection.incoming.group) =
                    (handed_over.key, handed_over.group);
                connection.incoming.usual_load = handed_over.usual_load;
                if let Some(name) = handed_over.name {
                    let name = std::rc::Rc::from(name);
                    self.listener.names.insert(std::rc::Rc::clone(&name));
                    connection.name = Some(name);
                }
            }
            None => {
                connection.stage = Stage::Passing(false);
                if !handed_over.letter.is_empty() {
                    let mut letter = context.pool.take()?;
                    letter.append(&handed_over.letter);
                    connection.letter = Some(letter);
                }
            }
        }
        let id = connection.incoming.id;
        self.slab.insert(connection);
        Some(id)
    }
}

#[cfg(test)]
#[path = "passing_bytes_tests.rs"]
mod bytes_tests;
