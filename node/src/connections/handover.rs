//! Hands connections over to the successor in a hot restart, and adopts those of the predecessor. The two
//! processes never use a connection at the same time: the predecessor stops using it before it sends it, and
//! the successor confirms the adoption before it reads or writes a byte.

use super::connection::{Connection, Stage};
use super::handover_snapshot::{ConnectionHandover, OpenSnapshot};
use super::host_connection::{HostConnection, HostReports};
use super::peer_socket::PeerSocket;
use super::Connections;
use crate::context::{Context, CLIENT, HOST};
use crate::operators::counters::CloseReason;
use reedferry::{AttemptOutcome, Event, RequestId};
use reedferry_runtime::{PollToken, Socket};
use reedferry_settings::reload;
use std::os::fd::{AsFd, BorrowedFd};
use std::rc::Rc;

/// The most unanswered lines of a connection that is handed over. One with more is migrated instead, as a
/// message to the successor has no space for them.
const MAX_UNANSWERED_LINES: u64 = 1024;

impl Connection {
    /// Returns whether the successor can adopt the connection: it is open or waits for a complete first line,
    /// and the successor has not refused it before.
    fn can_be_handed_over(&self) -> bool {
        if self.client.is_none() || self.handover_rejected {
            return false;
        }
        match self.stage {
            Stage::Open => {
                self.host_connection.is_some()
                    && self.unanswered_lines.count() <= MAX_UNANSWERED_LINES
            }
            Stage::AwaitingRequest => true,
            _ => false,
        }
    }

    /// Restores the state of a connection that was open in the predecessor. Returns `None` if the host's
    /// socket is missing or no buffers are free.
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
        let reports = HostReports {
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
            reports,
        ));
        self.to_host = to_host;
        self.to_client = to_client;
        self.unanswered_lines = open.unanswered_lines.into_iter().collect();
        self.migrate_by = open.migrate_by;
        self.client_finished_at = open.client_finished_at;
        self.migration_outcome = if open.host_faulty {
            AttemptOutcome::ConnectionLost
        } else {
            AttemptOutcome::Cancelled
        };
        self.line_begun = true;
        self.stage = Stage::HandingOver(true);
        Some(())
    }
}

/// Wraps a socket that the predecessor has sent. It is not registered with the poller yet.
fn adopted_peer(context: &mut Context, socket: Socket) -> PeerSocket {
    PeerSocket {
        socket,
        generation: context.next_generation(),
        readable: false,
        writable: true,
    }
}

impl Connections {
    /// Returns the slots of the connections that the successor can adopt.
    pub fn handover_candidates(&self) -> Vec<usize> {
        self.slab
            .iter()
            .filter(|(_, connection)| connection.can_be_handed_over())
            .map(|(slot, _)| slot)
            .collect()
    }

    /// Stops using a candidate, reports its attempt as handed over, and returns its snapshot for the
    /// successor together with its request id.
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

    /// Returns the descriptors of a connection, the client's first and then the host's.
    pub fn descriptors(&self, slot: usize) -> Vec<BorrowedFd<'_>> {
        let peers = self.slab[slot].peers();
        peers.map(|peer| peer.socket.as_fd()).collect()
    }

    /// Returns the slot of a request whose connection is in handover, or `None` if there is none.
    fn slot_in_handover(&self, id: RequestId) -> Option<usize> {
        self.slot_of(id)
            .filter(|&slot| matches!(self.slab[slot].stage, Stage::HandingOver(_)))
    }

    /// Removes a connection that the successor has adopted.
    pub fn complete_handover(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_in_handover(id) {
            self.remove(context, slot, CloseReason::HandedOver);
        }
    }

    /// Resumes a connection in handover in this process. Either the successor never got it, or this process
    /// has adopted it and has told the predecessor so.
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
            let (incoming, load) = (connection.incoming, host_connection.reports.last_load);
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

    /// Resumes a connection that the successor has refused, and starts its migration. Without the migration,
    /// the connection would be offered and refused repeatedly until this process ends.
    pub fn resume_after_rejection(&mut self, context: &mut Context, id: RequestId) {
        self.resume_connection(context, id);
        if let Some(slot) = self.slot_of(id) {
            self.slab[slot].handover_rejected = true;
            self.migrate(context, id);
        }
    }

    /// Drops an adopted connection without sending anything on it, as the predecessor keeps it after all.
    pub fn abandon_adopted(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_in_handover(id) {
            self.remove(context, slot, CloseReason::HandedOver);
        }
    }

    /// Adopts a connection that the predecessor has stopped using. Returns its new request id, or `None` if
    /// the request class is no longer served, sockets are missing or no buffers are free.
    ///
    /// Nothing is read or written before [`Connections::resume_connection`]. The predecessor takes the
    /// connection back if the adoption is not confirmed in time, and bytes that this process had read by then
    /// would be lost.
    pub fn adopt(
        &mut self,
        context: &mut Context,
        handover: ConnectionHandover,
        sockets: Vec<Socket>,
    ) -> Option<RequestId> {
        let handover = handover.with_clock_offset(context.clock.offset());
        // Finds the class by name and settings. Without this, a class that is no longer served could be taken
        // for another one with the same index.
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
