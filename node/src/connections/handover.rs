//! Handover: a connection goes on in the next process of a hot restart. Two processes must never read or
//! write on it at once: the one that gives lets go first, and the one that adopts says so before its first
//! byte.

use super::connection::{Connection, Stage};
use super::handover_snapshot::{ConnectionHandover, OpenSnapshot};
use super::host_connection::{HostConnection, HostStatements};
use super::peer_socket::PeerSocket;
use super::Connections;
use crate::context::{Context, CLIENT, HOST};
use crate::operators::counters::CloseReason;
use reedferry::{AttemptOutcome, Event, RequestId};
use reedferry_runtime::{PollToken, Socket};
use reedferry_settings::reload;
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

/// A connection with more unanswered lines is migrated instead: a message has no space for them.
const MAX_UNANSWERED_LINES: usize = 1024;

impl Connection {
    /// Whether another process can go on with it: it is open, or still without a complete first line.
    fn can_be_handed_over(&self) -> bool {
        if self.client.is_none() || self.handover_rejected {
            return false;
        }
        match self.stage {
            Stage::Open => {
                self.host_connection.is_some()
                    && self.unanswered_lines.len() <= MAX_UNANSWERED_LINES
            }
            Stage::AwaitingRequest => true,
            _ => false,
        }
    }

    /// Takes up what was open in the process before this one. None where buffers or the host's socket are
    /// missing.
    fn restore_open(
        &mut self,
        context: &mut Context,
        open: OpenSnapshot,
        host_socket: Option<Socket>,
    ) -> Option<()> {
        let host_socket = host_socket?;
        let to_host = open.to_host.restore(&context.pool)?;
        let to_client = open.to_client.restore(&context.pool)?;
        let peer = adopted_peer(context, host_socket);
        let index = context.hosts.index_or_insert(context.now, &open.host);
        let record_lease = context.hosts.record(index).lease.clone();
        let statements = HostStatements {
            bye: open.bye,
            migrating: open.migrating,
            last_load: open.load,
        };
        let opened_at = self.started_at;
        self.host_connection = Some(HostConnection::adopted(
            peer,
            index,
            record_lease,
            opened_at,
            statements,
        ));
        self.to_host = to_host;
        self.to_client = to_client;
        self.unanswered_lines = open.unanswered_lines.into();
        self.migrate_by = open.migrate_by;
        self.client_finished_at = open.client_finished_at;
        self.migration_outcome = if open.host_faulty {
            AttemptOutcome::ConnectionLost
        } else {
            AttemptOutcome::Cancelled
        };
        self.stage = Stage::HandingOver(true);
        Some(())
    }
}

/// A socket that the process before this one has sent.
fn adopted_peer(context: &mut Context, socket: Socket) -> PeerSocket {
    PeerSocket {
        socket,
        generation: context.next_generation(),
        readable: false,
        writable: true,
    }
}

impl Connections {
    /// The slots of the connections that another process can go on with.
    pub fn handover_candidates(&self) -> Vec<usize> {
        self.slab
            .iter()
            .filter(|(_, connection)| connection.can_be_handed_over())
            .map(|(slot, _)| slot)
            .collect()
    }

    /// Lets go of a candidate, and tells what the next process must know of it.
    pub fn begin_handover(
        &mut self,
        context: &mut Context,
        slot: usize,
    ) -> (ConnectionHandover, RequestId) {
        let connection = &mut self.slab[slot];
        let open = connection.stage == Stage::Open;
        connection.stage = Stage::HandingOver(open);
        for peer in connection.peers() {
            _ = context.poller.deregister(&peer.socket);
        }
        let id = connection.incoming.id;
        let handover = ConnectionHandover::capture(connection, open, context);
        if let Some(host_connection) = &connection.host_connection {
            context.events.push(Event::AttemptEnded {
                id,
                attempt: host_connection.attempt,
                host: context.hosts.record(host_connection.host).id,
                request_over: true,
                ending: AttemptOutcome::HandedOver,
                load_metrics: Vec::new(),
            });
        }
        (handover, id)
    }

    /// The descriptors that go with a connection: its client's, and its host's.
    pub fn descriptors(&self, slot: usize) -> Vec<BorrowedFd<'_>> {
        let peers = self.slab[slot].peers();
        peers.map(|peer| peer.socket.as_fd()).collect()
    }

    fn slot_in_handover(&self, id: RequestId) -> Option<usize> {
        self.slot_of(id)
            .filter(|&slot| matches!(self.slab[slot].stage, Stage::HandingOver(_)))
    }

    /// The next process has adopted it.
    pub fn complete_handover(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_in_handover(id) {
            self.remove(context, slot, CloseReason::HandedOver);
        }
    }

    /// This process goes on with a connection in handover: the next one never got it, or it has come from
    /// the one before, which was told so.
    pub fn resume_connection(&mut self, context: &mut Context, id: RequestId) {
        let Some(slot) = self.slot_in_handover(id) else {
            return;
        };
        let connection = &mut self.slab[slot];
        connection.stage = if connection.stage == Stage::HandingOver(true) {
            Stage::Open
        } else {
            Stage::AwaitingRequest
        };
        let host_connection = connection.host_connection.as_mut();
        let peers = [
            (CLIENT, connection.client.as_mut()),
            (HOST, host_connection.map(|host| &mut host.peer)),
        ];
        for (component, peer) in peers {
            let Some(peer) = peer else { continue };
            peer.generation = context.next_generation();
            let token = PollToken {
                component,
                slot: slot as u32,
                generation: peer.generation,
            };
            self.retry_queue.register(context, &peer.socket, token);
        }
        if let Some(host_connection) = &connection.host_connection {
            let (incoming, load) = (connection.incoming, host_connection.statements.last_load);
            context.events.push(Event::ConnectionHandedOver(
                incoming,
                context.hosts.record(host_connection.host).id,
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
    }

    /// The next process has refused a connection: this one goes on with it, and has it migrated. Without
    /// that, it would be offered and refused again and again until the program is ended.
    pub fn resume_after_rejection(&mut self, context: &mut Context, id: RequestId) {
        self.resume_connection(context, id);
        if let Some(slot) = self.slot_of(id) {
            self.slab[slot].handover_rejected = true;
            self.migrate(context, id);
        }
    }

    /// Drops an adopted connection with nothing sent on it: the process before goes on with it after all.
    pub fn abandon_adopted(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_in_handover(id) {
            self.remove(context, slot, CloseReason::HandedOver);
        }
    }

    /// Adopts a connection that the process before this one has let go of, under this id; none where that
    /// cannot be. Nothing is read or written on it before [`Connections::resume_connection`]: the process before takes
    /// it back where it is not told in time, and bytes would be lost between the two.
    pub fn adopt(
        &mut self,
        context: &mut Context,
        handover: ConnectionHandover,
        sockets: Vec<Socket>,
    ) -> Option<RequestId> {
        let handover = handover.with_clock_offset(context.clock.offset());
        // A class that is no longer served must not stand for another one.
        let class = handover.class.as_ref().and_then(|(name, class)| {
            let served = context.settings.classes.as_slice();
            reload::find_class(&context.classes, served, name, class)
        });
        if handover.open.is_some() && class.is_none() {
            return None;
        }
        let slot = self.slab.vacant_key();
        let mut sockets = sockets.into_iter();
        let client = adopted_peer(context, sockets.next()?);
        let mut connection = Connection::new(client, slot, handover.accepted_at);
        connection.started_at = handover.started_at;
        connection.pings = handover.pings;
        if let Some(open) = handover.open {
            connection.restore_open(context, open, sockets.next())?;
            connection.incoming.class = class.unwrap_or_default();
            connection.incoming.key = handover.key;
            connection.incoming.group = handover.group;
            connection.incoming.usual_load = handover.usual_load;
            if let Some(id) = handover.wire_id {
                let id = Rc::from(id);
                self.listener.open_ids.insert(Rc::clone(&id));
                connection.wire_id = Some(id);
            }
        } else {
            connection.stage = Stage::HandingOver(false);
            if !handover.request_line.is_empty() {
                let mut request_line = context.pool.take()?;
                request_line.append(&handover.request_line);
                connection.request_line = Some(request_line);
            }
        }
        let id = connection.incoming.id;
        self.slab.insert(connection);
        Some(id)
    }
}
