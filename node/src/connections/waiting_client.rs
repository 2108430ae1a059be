//! The client while its request waits for an answer: notices that it leaves, or goes on sending. Must never
//! leave such a client without an answer that it can still read.

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

/// How a client has left its request.
enum ClientDeparture {
    Gone,
    /// It has sent more than its first line.
    SentMore,
    /// It has ended its sending, and still reads the rest of its answer.
    HalfClosed(&'static [u8]),
}

impl Connections {
    /// Notices a client that leaves while it waits, or that goes on sending.
    pub(super) fn check_client(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut().filter(|client| client.readable) else {
            return;
        };
        // Read into a buffer of its own: the end would never be seen behind a first line that fills its buffer.
        let departure = match client.socket.receive(&mut [0; 64]) {
            Err(error) if classify_io(error) == IoFailure::WouldBlock => {
                client.readable = false;
                return;
            }
            // Whether it has gone can't be told now.
            Err(error) if classify_io(error) == IoFailure::LocalResources => {
                context.record_transient_failure("receive");
                return self.retry_soon(context, slot);
            }
            Ok(1..) => ClientDeparture::SentMore,
            // It may have ended its sending alone: then it still reads its answer.
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

    /// Takes the client off its request. An attempt in flight ends when the decision module cancels it or it
    /// ends by itself.
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
            // Without this, a line would begin for a client that left while its host's connection came up,
            // where the settings allow no attempt to be cancelled: it has not begun, and never does.
            Some(false) => self.end_attempt(context, slot, AttemptOutcome::NeverSent),
            Some(true) => {}
        }
        client
    }

    /// Answers a client that has left its request but may still read. It gets a record of its own, as it may
    /// send hundreds of lines at once, and its answer may go out in parts.
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

    /// A record of its own for a client that has left its request.
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

    /// Whether the client still waits, as its socket has it now, whatever the poller has reported so far.
    /// Without this, an attempt would begin for a client that has gone, and whose end waits behind many
    /// events or a process that was stalled.
    pub(super) fn client_still_waits(&mut self, context: &mut Context, slot: usize) -> bool {
        let id = self.slab[slot].incoming.id;
        self.slab[slot].assume_client_readable();
        self.check_client(context, slot);
        self.slab
            .get(slot)
            .is_some_and(|connection| connection.incoming.id == id && connection.client.is_some())
    }
}
