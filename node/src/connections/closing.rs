//! Closing: the final answer where no host gave one, and the end of a client's connection. Owns what is
//! discarded of clients that go on sending. Must never answer twice, nor lose an answer in the reset that
//! closing over unread input brings.

use super::connection::Stage;
use super::protocol::{BUSY_LINE, ERROR_LINE};
use super::relay::{Relay, RelayStatus};
use super::Connections;
use crate::context::Context;
use crate::operators::counters::CloseReason;
use crate::operators::metrics::RequestOutcome;
use reedferry::{Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, IoFailure};

/// For how long the client's end is waited for, after its connection began to close or it last sent.
pub(super) const LINGER_TIMEOUT: Nanos = 900 * MILLI;
/// For how long a client that goes on sending is waited for, since it connected.
const MAX_LINGER: Nanos = 5500 * MILLI;
/// What is discarded of one connection between two sweeps.
const MAX_DISCARDED_PER_CONNECTION: usize = 2 << 20;
/// What is discarded of all connections between two sweeps.
pub(super) const MAX_DISCARDED_TOTAL: usize = 8 << 20;

impl Connections {
    /// Rejects a request, with the time after which it may be retried.
    pub fn reject(&mut self, context: &mut Context, id: RequestId, retry_after: Nanos) {
        let Some(slot) = self.slot_of(id) else { return };
        if retry_after >= MILLI {
            let line = format!("BUSY {}\r\n", retry_after / MILLI);
            self.send_final_answer(context, slot, line.as_bytes());
        } else {
            self.send_final_answer(context, slot, BUSY_LINE);
        }
    }

    /// Answers that a request failed.
    pub fn fail(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_of(id) {
            self.send_final_answer(context, slot, ERROR_LINE);
        }
    }

    /// Writes a last line to the client and closes its connection.
    pub(super) fn send_final_answer(&mut self, context: &mut Context, slot: usize, line: &[u8]) {
        let rejected = line.starts_with(b"BUSY");
        self.check_answer(context, slot, rejected);
        let connection = &mut self.slab[slot];
        if connection.awaits_answer() && connection.client.is_some() {
            let outcome = if rejected {
                RequestOutcome::Refused
            } else {
                RequestOutcome::Failed
            };
            let class = &context.settings.classes[connection.incoming.class];
            context.metrics.record_outcome(class, outcome);
            if rejected && connection.attempts == 0 {
                context.metrics.record_shed(class);
            }
        }
        connection.request_line = None;
        connection.host_connection = None;
        if connection.client.is_none() {
            return self.remove(context, slot, CloseReason::ClientEnded);
        }
        // Without this, an answer to a ping that the client has a part of would be cut within its line.
        let unsent = connection
            .to_client
            .buffer
            .take()
            .filter(|_| connection.stage == Stage::AwaitingRequest);
        let mut buffer = unsent.unwrap_or_else(|| context.pool.take_beyond_limit());
        buffer.append(line);
        connection.to_client = Relay {
            buffer: Some(buffer),
            ..Relay::default()
        };
        self.begin_close(context, slot);
    }

    /// Closes the client's connection in order, once all that waits is sent.
    pub(super) fn begin_close(&mut self, context: &mut Context, slot: usize) {
        self.release_id(slot);
        let connection = &mut self.slab[slot];
        connection.stage = Stage::Closing(context.now + LINGER_TIMEOUT);
        connection.started_at = context.now;
        connection.to_host = Relay::default();
        connection.to_client.finished = false;
        if let Some(client) = &connection.client {
            self.listener.idle.push_back((slot, client.generation));
        }
        self.linger(context, slot);
    }

    /// Sends what waits for the client, and then discards what it sends until it ends. Without the
    /// discarding, its answer would be lost in the reset that closing over unread input brings; the limits
    /// keep a client that sends without end from taking up the loop.
    pub(super) fn linger(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut() else {
            return self.remove(context, slot, CloseReason::ClientEnded);
        };
        if !connection.to_client.finished {
            match connection.to_client.write_to(client) {
                RelayStatus::Finished => client.socket.shutdown_write(),
                RelayStatus::Idle => return,
                RelayStatus::LocalResources => {
                    context.record_transient_failure("send");
                    return self.retry_soon(context, slot);
                }
                _ => return self.remove(context, slot, CloseReason::ClientBroke),
            }
            connection.to_client.finished = true;
        }
        let Some(mut buffer) = context.pool.take() else {
            return;
        };
        while client.readable
            && connection.discarded < MAX_DISCARDED_PER_CONNECTION
            && self.discard_allowance > 0
        {
            match client.socket.discard(buffer.free_space()) {
                Ok(0) => return self.remove(context, slot, CloseReason::Answered),
                Ok(count) => {
                    connection.discarded += count;
                    self.discard_allowance = self.discard_allowance.saturating_sub(count);
                    let longest = connection.accepted_at + MAX_LINGER;
                    connection.stage = Stage::Closing((context.now + LINGER_TIMEOUT).min(longest));
                }
                Err(error) => match classify_io(error) {
                    IoFailure::WouldBlock => client.readable = false,
                    IoFailure::LocalResources => return self.retry_soon(context, slot),
                    IoFailure::Disconnected => {
                        return self.remove(context, slot, CloseReason::Answered)
                    }
                },
            }
        }
        if context.budget.nearly_exhausted() {
            self.remove(context, slot, CloseReason::Answered);
        }
    }

    /// The one place where a connection's sockets and buffers are given back.
    pub(super) fn remove(&mut self, context: &mut Context, slot: usize, reason: CloseReason) {
        self.check_close(context, slot, reason);
        self.release_id(slot);
        let connection = self.slab.remove(slot);
        if let Some(client) = connection.client.filter(|_| reason.resets()) {
            client.socket.reset();
        }
    }
}
