//! The listener: a client before it has its answer. It owns which connections hold no attachment yet or any
//! more, which ids are open, and who was turned away for what. It must never let an attachment in that
//! hosts could not tell from another, nor leave a client that says nothing a descriptor others need.

use super::landing::STANDING_WITHIN;
use super::{Connection, Connections, Stage};
use crate::connections::lane::{Flow, Side};
use crate::connections::lines::{self, Opening, Request};
use crate::context::{Context, CLIENT};
use crate::operators::counts::Close;
use reedferry::{AttemptOutcome, Event, HostId, IncomingRequest, Nanos, RequestId, MILLI, SECOND};
use reedferry_runtime::errors::{classify_accept, classify_io, AcceptFailure, IoFailure};
use reedferry_runtime::{PollToken, Socket};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

/// How long a connection may stay without a first line; with what it may linger behind its answer, under
/// the three seconds within which every client is to have one.
pub(super) const SILENT_CLIENT: Nanos = 2 * SECOND;
/// How long after it came a connection that holds no attachment is safe from being ended for another.
const FLEETING: Nanos = 50 * MILLI;
/// How many pings a connection may send.
const MOST_PINGS: u32 = 16;
/// Waits over the longest expiry from which one is wild.
const WILD: u64 = 10;
/// How many ids are remembered that hosts would not have, and how many hosts have to say so.
const STRUCK: usize = 1024;
const STRIKES: u32 = 2;
const ACCEPTS: usize = 256;
/// Reads of what crosses the end of a connection that is closed for another.
const MOST_CROSSING: usize = 16;

/// Why a client that rests is sent away before its time.
const NO_DESCRIPTORS: &str = "no descriptors for the silent";
/// The final answers of this node's own.
const COME_AGAIN: &[u8] = b"BUSY\r\n";
const FAILED: &[u8] = b"ERR\r\n";

/// What one call has sent of a line.
enum Sent {
    Whole,
    /// So many bytes: the rest has to wait.
    Part(usize),
    /// Nothing more can be sent.
    Broke,
}

fn send_once(client: &Side, line: &[u8]) -> Sent {
    match client.socket.send(line) {
        Ok(count) if count >= line.len() => Sent::Whole,
        Ok(count) => Sent::Part(count),
        Err(e) if classify_io(e) == IoFailure::Disconnected => Sent::Broke,
        Err(_) => Sent::Part(0),
    }
}

/// How far a resting client has been told that it may come again.
enum Farewell {
    Said,
    /// A part of it is sent; its record ends behind the rest.
    UnderWay,
    NotNow,
}

/// How a client has left its attachment.
enum Left {
    Gone,
    /// It sends more than its first line.
    Talking,
    /// It has ended its sending, and still hears the rest of its answer.
    Hears(&'static [u8]),
}

#[derive(Default)]
pub(super) struct Listener {
    /// Those that hold no attachment, by slot and stamp, in the order in which they came to that.
    pub idle: VecDeque<(usize, u32)>,
    /// The ids that are open, and those that hosts would not have, the oldest first.
    pub names: HashSet<Rc<str>>,
    struck: VecDeque<Rc<str>>,
    /// How many were turned away for what since that was last logged.
    pub turned: BTreeMap<&'static str, u32>,
    pub told: Nanos,
    /// Whether more may wait outside.
    pub open: bool,
}

impl Connections {
    /// Takes in the clients that wait at the listener.
    pub fn accept(&mut self, context: &mut Context, listener: Option<&Socket>) {
        self.listener.open = false;
        let Some(listener) = listener else { return };
        for _ in 0..ACCEPTS {
            // Guards: usual clients kept out by hundreds that connect and say nothing. Where all have just
            // come, those behind them wait at the listener until the next sweep.
            if !context.budget.has_capacity(1)
                && !self.make_room(context, FLEETING)
                && context.budget.nearly_exhausted()
            {
                return;
            }
            let socket = match context.budget.accept(listener) {
                Ok(socket) => socket,
                Err(e) => match classify_accept(e) {
                    AcceptFailure::NoneWaiting => return,
                    // What failed before it was taken is no client any more.
                    AcceptFailure::AbortedConnection => continue,
                    // The next sweep asks again.
                    AcceptFailure::LocalResources => return context.machine_trouble("accept"),
                },
            };
            let slot = self.slab.vacant_key();
            let mark = PollToken {
                component: CLIENT,
                slot: slot as u32,
                generation: context.stamp(),
            };
            self.watch(context, &socket, mark);
            let client = Side {
                socket,
                stamp: mark.generation,
                readable: false,
                writable: true,
            };
            self.listener.idle.push_back((slot, mark.generation));
            self.slab.insert(Connection::new(client, slot, context.now));
        }
        self.listener.open = true;
    }

    /// Whether the connection that has held a descriptor longest without an attachment gave it up; one that
    /// has just come is not asked to, nor one whose attachment has come meanwhile.
    pub(super) fn make_room(&mut self, context: &mut Context, safe: Nanos) -> bool {
        while let Some(&(slot, stamp)) = self.listener.idle.front() {
            let same =
                |f: &&Connection| f.idles() && f.client.as_ref().is_some_and(|c| c.stamp == stamp);
            let Some(connection) = self.slab.get(slot).filter(same) else {
                self.listener.idle.pop_front();
                continue;
            };
            if context.now < connection.since + safe {
                return false;
            }
            // Guards: a request that lies unread in its socket, lost in the reset that closing over it brings.
            if connection.stage == Stage::Unasked {
                self.read_again(context, slot);
                let Some(connection) = self.slab.get(slot).filter(same) else {
                    // Its attachment has come, or it was gone.
                    if self
                        .slab
                        .get(slot)
                        .is_none_or(|f| f.client.as_ref().is_none_or(|c| c.stamp != stamp))
                    {
                        return true;
                    }
                    continue;
                };
                if connection.stage != Stage::Unasked {
                    // It is turned away, and heard out as long as others are.
                    self.listener.idle.pop_front();
                    continue;
                }
            }
            match self.ends_at_once(context, slot) {
                Farewell::Said => self.remove(context, slot, Close::MadeRoom),
                Farewell::UnderWay => return !self.slab.contains(slot),
                Farewell::NotNow => {
                    // Whoever came after it may be told.
                    self.listener.idle.rotate_left(1);
                    return false;
                }
            }
            return true;
        }
        false
    }

    /// Tells one that has not asked that it may come again, and reads what crosses that. Guards: its answer lost in the
    /// reset that closing over unread bytes brings.
    fn ends_at_once(&mut self, context: &mut Context, slot: usize) -> Farewell {
        let connection = &mut self.slab[slot];
        let (Stage::Unasked, Some(client)) = (connection.stage, &connection.client) else {
            return Farewell::Said;
        };
        if connection.down.buffer.is_some() {
            // It has a part of an answer to a ping.
            return Farewell::NotNow;
        }
        match send_once(client, COME_AGAIN) {
            Sent::Whole | Sent::Broke => client.socket.shutdown_write(),
            Sent::Part(0) => return Farewell::NotNow,
            Sent::Part(count) => {
                *self.listener.turned.entry(NO_DESCRIPTORS).or_default() += 1;
                self.answer(context, slot, &COME_AGAIN[count..]);
                return Farewell::UnderWay;
            }
        }
        let mut space = [0; 512];
        for _ in 0..MOST_CROSSING {
            if !matches!(client.socket.discard(&mut space), Ok(1..)) {
                break;
            }
        }
        *self.listener.turned.entry(NO_DESCRIPTORS).or_default() += 1;
        Farewell::Said
    }

    /// Reads what one that has not asked has sent by now, whatever the poller has said so far.
    fn read_again(&mut self, context: &mut Context, slot: usize) {
        self.slab[slot]
            .client
            .iter_mut()
            .for_each(|client| client.readable = true);
        self.read_opening(context, slot);
    }

    /// Ends a connection on which no whole line has come in time. Guards: a request that lies unread in the socket of one
    /// that rested, refused unread; and one that crosses its end, told that it failed where it may come again.
    pub(super) fn rests(&mut self, context: &mut Context, slot: usize) {
        let stamp = |f: &Connection| f.client.as_ref().map(|client| client.stamp);
        let before = stamp(&self.slab[slot]);
        self.read_again(context, slot);
        let still = |f: &&Connection| f.stage == Stage::Unasked && stamp(f) == before;
        let Some(connection) = self.slab.get(slot).filter(still) else {
            return;
        };
        if connection
            .letter
            .as_ref()
            .is_some_and(|letter| !letter.is_empty())
        {
            return self.turn_away(context, slot, "no whole line in time");
        }
        *self.listener.turned.entry("nothing in time").or_default() += 1;
        self.send_away(context, slot);
    }

    /// Sends a client away that has not asked.
    pub(super) fn send_away(&mut self, context: &mut Context, slot: usize) {
        self.answer(context, slot, COME_AGAIN);
    }

    /// Turns a client away that is not to be served.
    pub(super) fn turn_away(&mut self, context: &mut Context, slot: usize, why: &'static str) {
        *self.listener.turned.entry(why).or_default() += 1;
        self.answer(context, slot, FAILED);
    }

    /// Reads the client's first line.
    pub(super) fn read_opening(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut() else {
            return;
        };
        loop {
            if connection.letter.is_none() {
                connection.letter = context.pool.take();
            }
            let Some(letter) = connection.letter.as_mut() else {
                return self.retry_soon(context, slot);
            };
            let mut ended = false;
            while client.readable && !ended && !letter.free_space().is_empty() {
                match client.socket.receive(letter.free_space()) {
                    Ok(0) => ended = true,
                    Ok(count) => letter.commit(count),
                    Err(e) => match classify_io(e) {
                        IoFailure::WouldBlock => client.readable = false,
                        IoFailure::LocalResources => {
                            context.machine_trouble("receive");
                            return self.retry_soon(context, slot);
                        }
                        IoFailure::Disconnected => {
                            return self.remove(context, slot, Close::ClientBroke)
                        }
                    },
                }
            }
            // Guards: a flood of pings that holds up the loop, or that fills a connection nobody reads.
            while letter.unsent().starts_with(b"PING\r\n") && connection.pings < MOST_PINGS {
                letter.consume(6);
                connection.pings += 1;
                let pong = if context.standby.is_some() {
                    b"BUSY\r\n"
                } else {
                    b"PONG\r\n"
                };
                let out = &mut connection.down.buffer;
                out.get_or_insert_with(|| context.pool.take_beyond_limit())
                    .append(pong);
            }
            // What follows waits until the client has those.
            match connection.down.flush(client) {
                Flow::Ended => {}
                Flow::Idle => return,
                Flow::Starved => {
                    context.machine_trouble("send");
                    return self.retry_soon(context, slot);
                }
                _ => return self.remove(context, slot, Close::ClientBroke),
            }
            match lines::first(letter.unsent()) {
                Ok(None) if ended => return self.remove(context, slot, Close::ClientEnded),
                Ok(None) if client.readable => continue,
                Ok(None) => {}
                Ok(Some((_, length))) if ended || letter.unsent().len() > length => {
                    return self.turn_away(context, slot, "more than one line before its answer");
                }
                Ok(Some((line, length))) => {
                    let said = lines::opening(line).and_then(|said| match said {
                        Opening::Ping => Err("too many pings"),
                        Opening::Open(request) => {
                            let incoming =
                                Self::incoming(context, connection.incoming.id, &request)?;
                            let open = self.listener.names.contains(request.id);
                            // Guards: one that uses the id of another's open request, which hosts would
                            // tell from a good one only by an error; the same again and again.
                            if open || self.listener.struck.iter().any(|n| **n == *request.id) {
                                return Err("an id that is in use");
                            }
                            Ok((incoming, Rc::from(request.id), request.at.map(lines::hash)))
                        }
                    });
                    let (incoming, name, home): (IncomingRequest, Rc<str>, Option<u64>) = match said
                    {
                        Ok(good) => good,
                        Err(why) => return self.turn_away(context, slot, why),
                    };
                    (connection.since, connection.waits, connection.incoming) =
                        (context.now, incoming.time_left, incoming);
                    connection.letter_length = length - 2;
                    self.listener.names.insert(name.clone());
                    connection.name = Some(name);
                    if let Some(home) = home {
                        connection.home = Some(HostId(home));
                        connection.stage = Stage::Returning(context.now);
                        return self.go_back(context, slot);
                    }
                    connection.stage = Stage::Held;
                    context
                        .events
                        .push(Event::RequestArrived(connection.incoming));
                    return;
                }
                Err(why) => return self.turn_away(context, slot, why),
            }
            if letter.is_empty() {
                connection.letter = None;
            }
            return;
        }
    }

    /// What the module is told of a request, or why it is none that this node serves.
    fn incoming(
        context: &Context,
        id: RequestId,
        request: &Request,
    ) -> Result<IncomingRequest, &'static str> {
        let node_settings = &context.node_settings;
        let class = node_settings
            .class(request.class)
            .ok_or("an unknown offering")?;
        if !node_settings.tenants.is_empty()
            && !node_settings.tenants.iter().any(|t| t == request.tenant)
        {
            return Err("an unknown tenant");
        }
        // Guards: a client that says it stood somewhere, and would be kept for as long as it likes.
        if request.at.is_some() && context.now > context.start + 2 * STANDING_WITHIN {
            return Err("a standing connection long after the start");
        }
        let longest = if node_settings.max_request_timeout > 0 {
            node_settings.max_request_timeout
        } else {
            Nanos::MAX / WILD
        };
        if request.at.is_none() && request.wait > WILD * longest {
            return Err("a wild wait");
        }
        let time_left = if request.at.is_some() {
            request.wait
        } else {
            request.wait.min(longest)
        };
        let Request {
            key,
            group,
            usual_load,
            ..
        } = *request;
        Ok(IncomingRequest {
            id,
            class,
            key,
            group,
            time_left,
            usual_load,
            mid_stream: false,
        })
    }

    /// Notices a client that leaves while it waits, or that goes on talking.
    pub(super) fn listen(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut().filter(|client| client.readable) else {
            return;
        };
        // Guards: an end that is never seen behind a first line which fills its buffer.
        let left = match client.socket.receive(&mut [0; 64]) {
            Err(e) if classify_io(e) == IoFailure::WouldBlock => {
                client.readable = false;
                return;
            }
            // Whether it has gone can't be told now.
            Err(e) if classify_io(e) == IoFailure::LocalResources => {
                context.machine_trouble("receive");
                return self.retry_soon(context, slot);
            }
            Ok(1..) => Left::Talking,
            // It may have ended its sending alone: then it still hears its answer.
            Ok(0) => match send_once(client, FAILED) {
                Sent::Part(count) => Left::Hears(&FAILED[count..]),
                Sent::Whole | Sent::Broke => Left::Gone,
            },
            Err(_) => Left::Gone,
        };
        // The hand-off that is out ends when the module calls it off or it ends by itself.
        let (client, came) = (connection.client.take(), connection.came);
        connection.letter = None;
        let held = connection.stage == Stage::Held;
        if held {
            context.events.push(Event::ClientLeft {
                id: connection.incoming.id,
            });
        }
        if !held || connection.landing.is_none() {
            self.remove(context, slot, Close::ClientEnded);
        } else if connection
            .landing
            .as_ref()
            .is_some_and(|landing| !landing.written)
        {
            // Guards: a line that begins for a client which had gone while its host's connection came up, where the
            // settings allow none to be called off: this one has not begun, or never ends.
            self.fell_through(context, slot, AttemptOutcome::NeverSent);
        }
        let Some(client) = client else { return };
        // Guards: a client that sends hundreds of lines at once, served by its first one, and an answer that comes in part: it
        // is parted from its attachment, and answered by itself.
        match left {
            Left::Gone => {}
            Left::Talking => {
                let slot = self.parted(context, client, came);
                self.turn_away(context, slot, "more than one line before its answer");
            }
            Left::Hears(rest) => {
                let slot = self.parted(context, client, came);
                self.answer(context, slot, rest);
            }
        }
    }

    /// A record of its own for a client that has left its attachment.
    fn parted(&mut self, context: &mut Context, mut client: Side, came: Nanos) -> usize {
        let slot = self.slab.vacant_key();
        let mark = PollToken {
            component: CLIENT,
            slot: slot as u32,
            generation: context.stamp(),
        };
        self.watch(context, &client.socket, mark);
        client.stamp = mark.generation;
        self.slab.insert(Connection {
            came,
            ..Connection::new(client, slot, context.now)
        })
    }

    /// Whether the client still waits, as its socket has it now, whatever the poller has said so far. Guards: an attempt
    /// that begins for one which has gone, and whose end waits behind many events or a process that stood still.
    pub(super) fn waits(&mut self, context: &mut Context, slot: usize) -> bool {
        let id = self.slab[slot].incoming.id;
        self.slab[slot]
            .client
            .iter_mut()
            .for_each(|client| client.readable = true);
        self.listen(context, slot);
        self.slab
            .get(slot)
            .is_some_and(|connection| connection.incoming.id == id && connection.client.is_some())
    }

    /// The id of what is answered or gone is no longer in use, unless hosts would not have it.
    pub(super) fn free_name(&mut self, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(name) = connection.name.take() else {
            return;
        };
        self.listener.names.remove(&name);
        if connection.errors >= STRIKES && connection.stage == Stage::Held {
            self.listener.struck.push_back(name);
            if self.listener.struck.len() > STRUCK {
                self.listener.struck.pop_front();
            }
        }
    }
}
