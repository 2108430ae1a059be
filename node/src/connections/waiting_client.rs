//! Watches a client whose request waits for an answer, in case it leaves or sends more than its first line. A
//! client that can still read always gets an answer.

use super::connection::{Connection, Stage};
use super::peer_socket::{PeerSocket, SendResult};
use super::protocol::ERROR_LINE;
use super::rejection::RejectReason;
use super::Connections;
use crate::context::{Context, CLIENT};
use crate::operators::counters::CloseReason;
use reedferry::{AttemptOutcome, Event, Nanos};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::PollToken;

/// How a client has given up its request.
enum ClientDeparture {
    /// Its connection is closed.
    Gone,
    /// It has sent more than its first line.
    SentMore,
    /// It has ended its sending but may still read. Holds the part of its answer that is not sent yet.
    HalfClosed(&'static [u8]),
}

impl Connections {
    /// Checks whether a waiting client has left or sent more than its first line, and ends its request if so.
    pub(super) fn check_client(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut().filter(|client| client.readable) else {
            return;
        };
        // Reads into a separate buffer. The one of the first line may be full, and then the client's end
        // would never be seen.
        let departure = match client.socket.receive(&mut [0; 64]) {
            Err(error) if classify_io(error) == IoFailure::WouldBlock => {
                client.readable = false;
                return;
            }
            // Whether the client has gone is unknown until the read can be retried.
            Err(error) if classify_io(error) == IoFailure::LocalResources => {
                context.record_transient_failure("receive");
                return self.retry_soon(context, slot);
            }
            Ok(1..) => ClientDeparture::SentMore,
            // The client may only have half-closed its connection, and then it still reads its answer.
            Ok(0) => match client.send_once(ERROR_LINE) {
                SendResult::Partial(count) => ClientDeparture::HalfClosed(&ERROR_LINE[count..]),
                SendResult::Whole | SendResult::Disconnected => ClientDeparture::Gone,
            },
            Err(_) => ClientDeparture::Gone,
        };
        let accepted_at = connection.accepted_at;
        if let Some(client) = self.abandon_request(context, slot) {
            self.answer_departed(context, client, accepted_at, departure);
        }
    }

    /// Separates the client from its request and returns its socket. An attempt whose request line is written
    /// goes on until the decision module cancels it or it ends by itself.
    fn abandon_request(&mut self, context: &mut Context, slot: usize) -> Option<PeerSocket> {
        let connection = &mut self.slab[slot];
        let client = connection.client.take();
        connection.request_line = None;
        let pending = connection.stage == Stage::Pending;
        if pending {
            context.events.push(Event::ClientLeft {
                id: connection.incoming.id,
            });
        }
        let attempt = connection.host_connection.as_ref().filter(|_| pending);
        match attempt.map(|attempt| attempt.request_written) {
            None => self.remove(context, slot, CloseReason::ClientEnded),
            // Ends an attempt whose request line is not written. Without this, the line would be written for
            // a client that left during the connect if the settings do not allow attempts to be cancelled.
            Some(false) => self.end_attempt(context, slot, AttemptOutcome::NeverSent),
            Some(true) => {}
        }
        client
    }

    /// Answers a client that has given up its request but may still read. The client gets a connection record
    /// of its own, as it may send hundreds of lines at once and its answer may have to be sent in parts.
    fn answer_departed(
        &mut self,
        context: &mut Context,
        client: PeerSocket,
        accepted_at: Nanos,
        departure: ClientDeparture,
    ) {
        match departure {
            ClientDeparture::Gone => {}
            ClientDeparture::SentMore => {
                let slot = self.detach_client(context, client, accepted_at);
                self.reject_client(context, slot, RejectReason::MoreThanOneLine);
            }
            ClientDeparture::HalfClosed(rest) => {
                let slot = self.detach_client(context, client, accepted_at);
                self.send_final_answer(context, slot, rest);
            }
        }
    }

    /// Creates a separate connection record for a client that has given up its request, and returns its slot.
    fn detach_client(
        &mut self,
        context: &mut Context,
        mut client: PeerSocket,
        accepted_at: Nanos,
    ) -> usize {
        let slot = self.slab.vacant_key();
        let token = PollToken {
            component: CLIENT,
            slot: slot as u32,
            generation: context.next_generation(),
        };
        self.retry_queue.register(context, &client.socket, token);
        client.generation = token.generation;
        self.slab.insert(Connection {
            accepted_at,
            ..Connection::new(client, slot, context.now)
        })
    }

    /// Returns whether the client still waits, by reading its socket now rather than relying on the poller.
    /// Without this, an attempt would begin for a client whose end has arrived but is not processed yet,
    /// because many other events come first or the process was stalled.
    pub(super) fn client_still_waits(&mut self, context: &mut Context, slot: usize) -> bool {
        let id = self.slab[slot].incoming.id;
        self.slab[slot].assume_client_readable();
        self.check_client(context, slot);
        self.slab
            .get(slot)
            .is_some_and(|connection| connection.incoming.id == id && connection.client.is_some())
    }
}
