//! An attachment that goes on in another process: what that one must know of it, and how it is given and taken.
//! It owns the form of a [`ConnectionHandover`]. It must never read or write on a connection that is being passed, nor
//! have two processes do so: who gives lets go first, and who takes says so before its first byte.

use super::attempts::{HostConnection, HostStatements};
use super::{Connection, Connections, Stage};
use crate::connections::protocol::LineScanner;
use crate::connections::relay::{PeerSocket, Relay};
use crate::context::{Context, CLIENT, HOST};
use crate::operators::counts::Close;
use reedferry::{AttemptOutcome, Event, Nanos, RequestClass, RequestId};
use reedferry_runtime::{PollToken, Socket};
use reedferry_settings::renewal;
use serde::{Deserialize, Serialize};
use std::os::fd::{AsFd, BorrowedFd};

/// Lines without an answer from which a connection is not passed on but moved: there is no room for more.
const MAX_UNANSWERED_LINES: usize = 1024;

/// What flows one way, as it was left.
#[derive(Debug, Serialize, Deserialize)]
struct RelaySnapshot {
    unsent: Vec<u8>,
    scanner: LineScanner,
    finished: bool,
}

/// A connection between its client and its host.
#[derive(Debug, Serialize, Deserialize)]
struct OpenSnapshot {
    host: String,
    load: Option<f64>,
    to_host: RelaySnapshot,
    to_client: RelaySnapshot,
    unanswered_lines: Vec<Nanos>,
    migrate_by: Option<Nanos>,
    host_faulty: bool,
    client_finished_at: Option<Nanos>,
    bye: bool,
    migrating: bool,
}

/// A client with its attachment, or before it has sent one.
#[derive(Debug, Serialize, Deserialize)]
pub struct ConnectionHandover {
    /// How far the clock of these times is ahead of the machine's steady one.
    clock_offset: Nanos,
    accepted_at: Nanos,
    started_at: Nanos,
    pings: u32,
    request_line: Vec<u8>,
    wire_id: Option<String>,
    /// What it goes by, and what that means.
    class: Option<(String, RequestClass)>,
    key: Option<u64>,
    group: Option<u64>,
    usual_load: Option<f64>,
    open: Option<OpenSnapshot>,
}

impl ConnectionHandover {
    /// The same, with its times as a clock has them that is so far ahead of the machine's steady one.
    fn with_clock_offset(mut self, ahead: Nanos) -> ConnectionHandover {
        let before = std::mem::replace(&mut self.clock_offset, ahead);
        let timed = |time: Nanos| time.saturating_sub(before).saturating_add(ahead);
        (self.accepted_at, self.started_at) = (timed(self.accepted_at), timed(self.started_at));
        if let Some(open) = &mut self.open {
            open.unanswered_lines
                .iter_mut()
                .for_each(|time| *time = timed(*time));
            open.migrate_by = open.migrate_by.map(timed);
            open.client_finished_at = open.client_finished_at.map(timed);
        }
        self
    }
}

impl RelaySnapshot {
    fn capture(lane: &Relay) -> Self {
        let waiting = lane
            .buffer
            .as_ref()
            .map_or(Vec::new(), |b| b.unsent().to_vec());
        RelaySnapshot {
            unsent: waiting,
            scanner: lane.scanner,
            finished: lane.finished,
        }
    }

    /// None where it holds more than there are buffers for.
    fn restore(&self, context: &Context) -> Option<Relay> {
        let mut buffer = None;
        if !self.unsent.is_empty() {
            let mut fresh = context.pool.take()?;
            fresh.append(&self.unsent).then_some(())?;
            buffer = Some(fresh);
        }
        Some(Relay {
            buffer,
            scanner: self.scanner,
            finished: self.finished,
        })
    }
}

impl Connections {
    /// Those that another process can go on with: open, or still without a whole first line.
    pub fn handover_candidates(&self) -> Vec<usize> {
        let fits = |connection: &Connection| match connection.stage {
            Stage::Open => {
                connection.host_connection.is_some()
                    && connection.unanswered_lines.len() <= MAX_UNANSWERED_LINES
            }
            Stage::AwaitingRequest => true,
            _ => false,
        };
        let fits = |connection: &Connection| {
            connection.client.is_some() && !connection.handover_rejected && fits(connection)
        };
        let all = self.slab.iter().filter(|(_, connection)| fits(connection));
        all.map(|(slot, _)| slot).collect()
    }

    /// Lets go of one that is passable, and says what the next process must know of it.
    pub fn begin_handover(
        &mut self,
        context: &mut Context,
        slot: usize,
    ) -> (ConnectionHandover, RequestId) {
        let connection = &mut self.slab[slot];
        let open = connection.stage == Stage::Open;
        connection.stage = Stage::HandingOver(open);
        let incoming = connection.incoming;
        let sides = connection
            .client
            .iter()
            .chain(connection.host_connection.as_ref().map(|l| &l.peer));
        sides.for_each(|side| _ = context.poller.deregister(&side.socket));
        let landing = connection.host_connection.as_ref().filter(|_| open);
        let open = landing.map(|landing| OpenSnapshot {
            host: context.hosts.record(landing.host).name.clone(),
            load: landing.statements.last_load,
            to_host: RelaySnapshot::capture(&connection.to_host),
            to_client: RelaySnapshot::capture(&connection.to_client),
            unanswered_lines: connection.unanswered_lines.iter().copied().collect(),
            migrate_by: connection.migrate_by,
            host_faulty: connection.migration_outcome == AttemptOutcome::ConnectionLost,
            client_finished_at: connection.client_finished_at,
            bye: landing.statements.bye,
            migrating: landing.statements.migrating,
        });
        let class = open.as_ref().and_then(|_| {
            let (name, means) = (
                context.node_settings.classes.get(incoming.class),
                context.classes.get(incoming.class),
            );
            Some((name?.clone(), means?.clone()))
        });
        let handed_over = ConnectionHandover {
            clock_offset: context.clock.offset(),
            accepted_at: connection.accepted_at,
            started_at: connection.started_at,
            pings: connection.pings,
            request_line: connection
                .request_line
                .as_ref()
                .map_or(Vec::new(), |l| l.unsent().to_vec()),
            wire_id: connection.wire_id.as_deref().map(str::to_string),
            class,
            key: incoming.key,
            group: incoming.group,
            usual_load: incoming.usual_load,
            open,
        };
        if let Some(landing) = &connection.host_connection {
            context.events.push(Event::AttemptEnded {
                id: incoming.id,
                attempt: landing.attempt,
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
            .chain(connection.host_connection.as_ref().map(|l| &l.peer));
        sides.map(|side| side.socket.as_fd()).collect()
    }

    fn slot_in_handover(&self, id: RequestId) -> Option<usize> {
        self.slot_of(id)
            .filter(|&slot| matches!(self.slab[slot].stage, Stage::HandingOver(_)))
    }

    /// The next process has it.
    pub fn complete_handover(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_in_handover(id) {
            self.remove(context, slot, Close::PassedOn);
        }
    }

    /// This process goes on with one that was being passed: the next one never had it, or it has come from the one before,
    /// which was told so.
    pub fn resume(&mut self, context: &mut Context, id: RequestId) {
        let Some(slot) = self.slot_in_handover(id) else {
            return;
        };
        let connection = &mut self.slab[slot];
        connection.stage = if connection.stage == Stage::HandingOver(true) {
            Stage::Open
        } else {
            Stage::AwaitingRequest
        };
        let sides = [
            (CLIENT, connection.client.as_mut()),
            (
                HOST,
                connection.host_connection.as_mut().map(|l| &mut l.peer),
            ),
        ];
        for (part, side) in sides {
            let Some(side) = side else { continue };
            let mark = PollToken {
                component: part,
                slot: slot as u32,
                generation: context.stamp(),
            };
            side.generation = mark.generation;
            if context
                .poller
                .register_or_update(&side.socket, mark)
                .is_err()
            {
                context.machine_trouble("epoll_ctl");
                self.unregistered.push(mark);
            }
        }
        if let Some(landing) = &connection.host_connection {
            let host = context.hosts.record(landing.host).id;
            let (incoming, load) = (connection.incoming, landing.statements.last_load);
            context.events.push(Event::ConnectionHandedOver(
                incoming,
                host,
                connection.started_at,
            ));
            context.events.extend(load.map(|load| Event::LoadMeasured {
                id: incoming.id,
                load,
            }));
        } else if let Some(client) = &connection.client {
            self.listener.idle.push_back((slot, client.generation));
        }
        self.runnable.push(slot);
        if !self.unregistered.is_empty() {
            self.schedule_retry(context);
        }
    }

    /// The next process would not have it: this one goes on with it, and has it moved. Guards: one that is given and turned down
    /// again and again until the program is ended.
    pub fn resume_after_rejection(&mut self, context: &mut Context, id: RequestId) {
        self.resume(context, id);
        if let Some(slot) = self.slot_of(id) {
            self.slab[slot].handover_rejected = true;
            self.migrate(context, id);
        }
    }

    /// Lets one be that was adopted, with nothing said on it: the process before goes on with it after all.
    pub fn abandon_adopted(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_in_handover(id) {
            self.remove(context, slot, Close::PassedOn);
        }
    }

    /// Takes in one that the process before this one has let go of, under this id; none where that cannot be. Nothing is read
    /// or written on it before [`Connections::keep`]. Guards: bytes that are lost between two processes, as the one before
    /// takes it back where it is not told in time.
    pub fn adopt(
        &mut self,
        context: &mut Context,
        handed_over: ConnectionHandover,
        sockets: Vec<Socket>,
    ) -> Option<RequestId> {
        let handed_over = handed_over.with_clock_offset(context.clock.offset());
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
        let client = PeerSocket {
            socket: client,
            generation: context.stamp(),
            readable: false,
            writable: true,
        };
        let mut connection = Connection::new(client, slot, handed_over.accepted_at);
        (connection.started_at, connection.pings) = (handed_over.started_at, handed_over.pings);
        match handed_over.open {
            Some(open) => {
                let host = sockets.next()?;
                let (Some(up), Some(down)) = (
                    open.to_host.restore(context),
                    open.to_client.restore(context),
                ) else {
                    return None;
                };
                let side = PeerSocket {
                    socket: host,
                    generation: context.stamp(),
                    readable: false,
                    writable: true,
                };
                let index = context.hosts.adopt(context.now, &open.host);
                let record = context.hosts.record(index);
                let said = HostStatements {
                    bye: open.bye,
                    migrating: open.migrating,
                    last_load: open.load,
                };
                connection.host_connection = Some(HostConnection::resumed(
                    side,
                    index,
                    record.lease.clone(),
                    handed_over.started_at,
                    said,
                ));
                (connection.to_host, connection.to_client) = (up, down);
                (
                    connection.unanswered_lines,
                    connection.migrate_by,
                    connection.client_finished_at,
                ) = (
                    open.unanswered_lines.into(),
                    open.migrate_by,
                    open.client_finished_at,
                );
                connection.migration_outcome = if open.host_faulty {
                    AttemptOutcome::ConnectionLost
                } else {
                    AttemptOutcome::Cancelled
                };
                connection.stage = Stage::HandingOver(true);
                connection.incoming.class = goes_by.unwrap_or_default();
                (connection.incoming.key, connection.incoming.group) =
                    (handed_over.key, handed_over.group);
                connection.incoming.usual_load = handed_over.usual_load;
                if let Some(name) = handed_over.wire_id {
                    let name = std::rc::Rc::from(name);
                    self.listener.open_ids.insert(std::rc::Rc::clone(&name));
                    connection.wire_id = Some(name);
                }
            }
            None => {
                connection.stage = Stage::HandingOver(false);
                if !handed_over.request_line.is_empty() {
                    let mut letter = context.pool.take()?;
                    letter.append(&handed_over.request_line);
                    connection.request_line = Some(letter);
                }
            }
        }
        let id = connection.incoming.id;
        self.slab.insert(connection);
        Some(id)
    }
}

#[cfg(test)]
#[path = "handover_bytes_tests.rs"]
mod bytes_tests;
