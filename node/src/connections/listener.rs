//! The listener: a client before it has its answer. It owns which connections hold no attachment yet or any
//! more, which ids are open, and who was turned away for what. It must never let an attachment in that
//! hosts could not tell from another, nor leave a client that says nothing a descriptor others need.

use super::attempts::RECONNECT_TIMEOUT;
use super::{Connection, Connections, Stage};
use crate::connections::protocol::{self, ClientMessage, OpenRequest};
use crate::connections::relay::{PeerSocket, RelayStatus};
use crate::context::{Context, CLIENT};
use crate::operators::counts::Close;
use reedferry::{AttemptOutcome, Event, HostId, IncomingRequest, Nanos, RequestId, MILLI, SECOND};
use reedferry_runtime::errors::{classify_accept, classify_io, AcceptFailure, IoFailure};
use reedferry_runtime::{PollToken, Socket};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

/// How long a connection may stay without a first line; with what it may linger behind its answer, under
/// the three seconds within which every client is to have one.
pub(super) const FIRST_LINE_TIMEOUT: Nanos = 2 * SECOND;
/// How long after it came a connection that holds no attachment is safe from being ended for another.
const MIN_IDLE_AGE: Nanos = 50 * MILLI;
/// How many pings a connection may send.
const MAX_PINGS: u32 = 16;
/// Waits over the longest expiry from which one is wild.
const MAX_TIMEOUT_FACTOR: u64 = 10;
/// How many ids are remembered that hosts would not have, and how many hosts have to say so.
const MAX_REJECTED_IDS: usize = 1024;
const HOST_ERRORS_TO_REJECT_ID: u32 = 2;
const MAX_ACCEPTS_PER_TURN: usize = 256;
/// Reads of what crosses the end of a connection that is closed for another.
const MAX_CROSSING_READS: usize = 16;

/// Why a client that rests is sent away before its time.
const REASON_NO_DESCRIPTORS: &str = "no descriptors for the silent";
/// The final answers of this node's own.
const BUSY_LINE: &[u8] = b"BUSY\r\n";
const ERROR_LINE: &[u8] = b"ERR\r\n";

/// What one call has sent of a line.
enum SendResult {
    Whole,
    /// So many bytes: the rest has to wait.
    Partial(usize),
    /// Nothing more can be sent.
    Disconnected,
}

fn send_once(client: &PeerSocket, line: &[u8]) -> SendResult {
    match client.socket.send(line) {
        Ok(count) if count >= line.len() => SendResult::Whole,
        Ok(count) => SendResult::Partial(count),
        Err(e) if classify_io(e) == IoFailure::Disconnected => SendResult::Disconnected,
        Err(_) => SendResult::Partial(0),
    }
}

/// How far a resting client has been told that it may come again.
enum IdleRejection {
    Sent,
    /// A part of it is sent; its record ends behind the rest.
    Partial,
    Blocked,
}

/// How a client has left its attachment.
enum ClientDeparture {
    Gone,
    /// It sends more than its first line.
    SentMore,
    /// It has ended its sending, and still hears the rest of its answer.
    HalfClosed(&'static [u8]),
}

#[derive(Default)]
pub(super) struct Listener {
    /// Those that hold no attachment, by slot and stamp, in the order in which they came to that.
    pub idle: VecDeque<(usize, u32)>,
    /// The ids that are open, and those that hosts would not have, the oldest first.
    pub open_ids: HashSet<Rc<str>>,
    rejected_ids: VecDeque<Rc<str>>,
    /// How many were turned away for what since that was last logged.
    pub rejections: BTreeMap<&'static str, u32>,
    pub rejections_logged_at: Nanos,
    /// Whether more may wait outside.
    pub may_have_pending: bool,
}

impl Connections {
    /// Takes in the clients that wait at the listener.
    pub fn accept(&mut self, context: &mut Context, listener: Option<&Socket>) {
        self.listener.may_have_pending = false;
        let Some(listener) = listener else { return };
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            // Guards: usual clients kept out by hundreds that connect and say nothing. Where all have just
            // come, those behind them wait at the listener until the next sweep.
            if !context.budget.has_capacity(1)
                && !self.evict_idle(context, MIN_IDLE_AGE)
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
            self.register(context, &socket, mark);
            let client = PeerSocket {
                socket,
                generation: mark.generation,
                readable: false,
                writable: true,
            };
            self.listener.idle.push_back((slot, mark.generation));
            self.slab.insert(Connection::new(client, slot, context.now));
        }
        self.listener.may_have_pending = true;
    }

    /// Whether the connection that has held a descriptor longest without an attachment gave it up; one that
    /// has just come is not asked to, nor one whose attachment has come meanwhile.
    pub(super) fn evict_idle(&mut self, context: &mut Context, safe: Nanos) -> bool {
        while let Some(&(slot, stamp)) = self.listener.idle.front() {
            let same = |f: &&Connection| {
                f.is_idle() && f.client.as_ref().is_some_and(|c| c.generation == stamp)
            };
            let Some(connection) = self.slab.get(slot).filter(same) else {
                self.listener.idle.pop_front();
                continue;
            };
            if context.now < connection.started_at + safe {
                return false;
            }
            // Guards: a request that lies unread in its socket, lost in the reset that closing over it brings.
            if connection.stage == Stage::AwaitingRequest {
                self.read_pending_input(context, slot);
                let Some(connection) = self.slab.get(slot).filter(same) else {
                    // Its attachment has come, or it was gone.
                    if self
                        .slab
                        .get(slot)
                        .is_none_or(|f| f.client.as_ref().is_none_or(|c| c.generation != stamp))
                    {
                        return true;
                    }
                    continue;
                };
                if connection.stage != Stage::AwaitingRequest {
                    // It is turned away, and heard out as long as others are.
                    self.listener.idle.pop_front();
                    continue;
                }
            }
            match self.reject_idle(context, slot) {
                IdleRejection::Sent => self.remove(context, slot, Close::MadeRoom),
                IdleRejection::Partial => return !self.slab.contains(slot),
                IdleRejection::Blocked => {
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
    fn reject_idle(&mut self, context: &mut Context, slot: usize) -> IdleRejection {
        let connection = &mut self.slab[slot];
        let (Stage::AwaitingRequest, Some(client)) = (connection.stage, &connection.client) else {
            return IdleRejection::Sent;
        };
        if connection.to_client.buffer.is_some() {
            // It has a part of an answer to a ping.
            return IdleRejection::Blocked;
        }
        match send_once(client, BUSY_LINE) {
            SendResult::Whole | SendResult::Disconnected => client.socket.shutdown_write(),
            SendResult::Partial(0) => return IdleRejection::Blocked,
            SendResult::Partial(count) => {
                *self
                    .listener
                    .rejections
                    .entry(REASON_NO_DESCRIPTORS)
                    .or_default() += 1;
                self.send_final_answer(context, slot, &BUSY_LINE[count..]);
                return IdleRejection::Partial;
            }
        }
        let mut space = [0; 512];
        for _ in 0..MAX_CROSSING_READS {
            if !matches!(client.socket.discard(&mut space), Ok(1..)) {
                break;
            }
        }
        *self
            .listener
            .rejections
            .entry(REASON_NO_DESCRIPTORS)
            .or_default() += 1;
        IdleRejection::Sent
    }

    /// Reads what one that has not asked has sent by now, whatever the poller has said so far.
    fn read_pending_input(&mut self, context: &mut Context, slot: usize) {
        self.slab[slot]
            .client
            .iter_mut()
            .for_each(|client| client.readable = true);
        self.read_request(context, slot);
    }

    /// Ends a connection on which no whole line has come in time. Guards: a request that lies unread in the socket of one
    /// that rested, refused unread; and one that crosses its end, told that it failed where it may come again.
    pub(super) fn on_first_line_timeout(&mut self, context: &mut Context, slot: usize) {
        let stamp = |f: &Connection| f.client.as_ref().map(|client| client.generation);
        let before = stamp(&self.slab[slot]);
        self.read_pending_input(context, slot);
        let still = |f: &&Connection| f.stage == Stage::AwaitingRequest && stamp(f) == before;
        let Some(connection) = self.slab.get(slot).filter(still) else {
            return;
        };
        if connection
            .request_line
            .as_ref()
            .is_some_and(|letter| !letter.is_empty())
        {
            return self.reject_client(context, slot, "no whole line in time");
        }
        *self
            .listener
            .rejections
            .entry("nothing in time")
            .or_default() += 1;
        self.send_busy(context, slot);
    }

    /// Sends a client away that has not asked.
    pub(super) fn send_busy(&mut self, context: &mut Context, slot: usize) {
        self.send_final_answer(context, slot, BUSY_LINE);
    }

    /// Turns a client away that is not to be served.
    pub(super) fn reject_client(&mut self, context: &mut Context, slot: usize, why: &'static str) {
        *self.listener.rejections.entry(why).or_default() += 1;
        self.send_final_answer(context, slot, ERROR_LINE);
    }

    /// Reads the client's first line.
    pub(super) fn read_request(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut() else {
            return;
        };
        loop {
            if connection.request_line.is_none() {
                connection.request_line = context.pool.take();
            }
            let Some(letter) = connection.request_line.as_mut() else {
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
            while letter.unsent().starts_with(b"PING\r\n") && connection.pings < MAX_PINGS {
                letter.consume(6);
                connection.pings += 1;
                let pong = if context.standby.is_some() {
                    b"BUSY\r\n"
                } else {
                    b"PONG\r\n"
                };
                let out = &mut connection.to_client.buffer;
                out.get_or_insert_with(|| context.pool.take_beyond_limit())
                    .append(pong);
            }
            // What follows waits until the client has those.
            match connection.to_client.write_to(client) {
                RelayStatus::Finished => {}
                RelayStatus::Idle => return,
                RelayStatus::LocalResources => {
                    context.machine_trouble("send");
                    return self.retry_soon(context, slot);
                }
                _ => return self.remove(context, slot, Close::ClientBroke),
            }
            match protocol::first(letter.unsent()) {
                Ok(None) if ended => return self.remove(context, slot, Close::ClientEnded),
                Ok(None) if client.readable => continue,
                Ok(None) => {}
                Ok(Some((_, length))) if ended || letter.unsent().len() > length => {
                    return self.reject_client(
                        context,
                        slot,
                        "more than one line before its answer",
                    );
                }
                Ok(Some((line, length))) => {
                    let said = protocol::opening(line).and_then(|said| match said {
                        ClientMessage::Ping => Err("too many pings"),
                        ClientMessage::Request(request) => {
                            let incoming = Self::admit(context, connection.incoming.id, &request)?;
                            let open = self.listener.open_ids.contains(request.id);
                            // Guards: one that uses the id of another's open request, which hosts would
                            // tell from a good one only by an error; the same again and again.
                            if open
                                || self
                                    .listener
                                    .rejected_ids
                                    .iter()
                                    .any(|n| **n == *request.id)
                            {
                                return Err("an id that is in use");
                            }
                            Ok((
                                incoming,
                                Rc::from(request.id),
                                request.previous_host.map(protocol::fnv1a),
                            ))
                        }
                    });
                    let (incoming, name, home): (IncomingRequest, Rc<str>, Option<u64>) = match said
                    {
                        Ok(good) => good,
                        Err(why) => return self.reject_client(context, slot, why),
                    };
                    (
                        connection.started_at,
                        connection.timeout,
                        connection.incoming,
                    ) = (context.now, incoming.time_left, incoming);
                    connection.request_line_length = length - 2;
                    self.listener.open_ids.insert(name.clone());
                    connection.wire_id = Some(name);
                    if let Some(home) = home {
                        connection.previous_host = Some(HostId(home));
                        connection.stage = Stage::Reconnecting(context.now);
                        return self.reconnect(context, slot);
                    }
                    connection.stage = Stage::Pending;
                    context
                        .events
                        .push(Event::RequestArrived(connection.incoming));
                    return;
                }
                Err(why) => return self.reject_client(context, slot, why),
            }
            if letter.is_empty() {
                connection.request_line = None;
            }
            return;
        }
    }

    /// What the module is told of a request, or why it is none that this node serves.
    fn admit(
        context: &Context,
        id: RequestId,
        request: &OpenRequest,
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
        if request.previous_host.is_some() && context.now > context.start + 2 * RECONNECT_TIMEOUT {
            return Err("a standing connection long after the start");
        }
        let longest = if node_settings.max_request_timeout > 0 {
            node_settings.max_request_timeout
        } else {
            Nanos::MAX / MAX_TIMEOUT_FACTOR
        };
        if request.previous_host.is_none() && request.timeout > MAX_TIMEOUT_FACTOR * longest {
            return Err("a wild wait");
        }
        let time_left = if request.previous_host.is_some() {
            request.timeout
        } else {
            request.timeout.min(longest)
        };
        let OpenRequest {
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
    pub(super) fn check_client(&mut self, context: &mut Context, slot: usize) {
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
            Ok(1..) => ClientDeparture::SentMore,
            // It may have ended its sending alone: then it still hears its answer.
            Ok(0) => match send_once(client, ERROR_LINE) {
                SendResult::Partial(count) => ClientDeparture::HalfClosed(&ERROR_LINE[count..]),
                SendResult::Whole | SendResult::Disconnected => ClientDeparture::Gone,
            },
            Err(_) => ClientDeparture::Gone,
        };
        // The hand-off that is out ends when the module calls it off or it ends by itself.
        let (client, came) = (connection.client.take(), connection.accepted_at);
        connection.request_line = None;
        let held = connection.stage == Stage::Pending;
        if held {
            context.events.push(Event::ClientLeft {
                id: connection.incoming.id,
            });
        }
        if !held || connection.host_connection.is_none() {
            self.remove(context, slot, Close::ClientEnded);
        } else if connection
            .host_connection
            .as_ref()
            .is_some_and(|landing| !landing.request_written)
        {
            // Guards: a line that begins for a client which had gone while its host's connection came up, where the
            // settings allow none to be called off: this one has not begun, or never ends.
            self.end_attempt(context, slot, AttemptOutcome::NeverSent);
        }
        let Some(client) = client else { return };
        // Guards: a client that sends hundreds of lines at once, served by its first one, and an answer that comes in part: it
        // is parted from its attachment, and answered by itself.
        match left {
            ClientDeparture::Gone => {}
            ClientDeparture::SentMore => {
                let slot = self.detach_client(context, client, came);
                self.reject_client(context, slot, "more than one line before its answer");
            }
            ClientDeparture::HalfClosed(rest) => {
                let slot = self.detach_client(context, client, came);
                self.send_final_answer(context, slot, rest);
            }
        }
    }

    /// A record of its own for a client that has left its attachment.
    fn detach_client(
        &mut self,
        context: &mut Context,
        mut client: PeerSocket,
        came: Nanos,
    ) -> usize {
        let slot = self.slab.vacant_key();
        let mark = PollToken {
            component: CLIENT,
            slot: slot as u32,
            generation: context.stamp(),
        };
        self.register(context, &client.socket, mark);
        client.generation = mark.generation;
        self.slab.insert(Connection {
            accepted_at: came,
            ..Connection::new(client, slot, context.now)
        })
    }

    /// Whether the client still waits, as its socket has it now, whatever the poller has said so far. Guards: an attempt
    /// that begins for one which has gone, and whose end waits behind many events or a process that stood still.
    pub(super) fn client_still_waits(&mut self, context: &mut Context, slot: usize) -> bool {
        let id = self.slab[slot].incoming.id;
        self.slab[slot]
            .client
            .iter_mut()
            .for_each(|client| client.readable = true);
        self.check_client(context, slot);
        self.slab
            .get(slot)
            .is_some_and(|connection| connection.incoming.id == id && connection.client.is_some())
    }

    /// The id of what is answered or gone is no longer in use, unless hosts would not have it.
    pub(super) fn release_id(&mut self, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(name) = connection.wire_id.take() else {
            return;
        };
        self.listener.open_ids.remove(&name);
        if connection.host_errors >= HOST_ERRORS_TO_REJECT_ID && connection.stage == Stage::Pending
        {
            self.listener.rejected_ids.push_back(name);
            if self.listener.rejected_ids.len() > MAX_REJECTED_IDS {
                self.listener.rejected_ids.pop_front();
            }
        }
    }
}
