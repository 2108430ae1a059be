//! Sends the final answer if no host gave one, and closes client connections. Input that arrives after the
//! final answer is read and discarded here, within limits: closing a socket with unread input resets the
//! connection, and the client could lose its answer. No client is answered twice.

use super::connection::Stage;
use super::protocol::{BUSY_LINE, ERROR_LINE};
use super::relay::{Relay, RelayStatus};
use super::Connections;
use crate::context::Context;
use crate::operators::counters::CloseReason;
use crate::operators::metrics::RequestOutcome;
use reedferry::{Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, IoFailure};

/// How long to wait for a client to close its connection, counted from when closing began or the client last
/// sent.
pub(super) const LINGER_TIMEOUT: Nanos = 900 * MILLI;
/// How long to wait for a client that keeps sending to close its connection, counted from when it connected.
const MAX_LINGER: Nanos = 5500 * MILLI;
/// The most bytes that are discarded of one connection between two sweeps.
const MAX_DISCARDED_BYTES_PER_CONNECTION: usize = 2 << 20;
/// The most bytes that are discarded of all connections between two sweeps.
pub(super) const MAX_DISCARDED_BYTES_TOTAL: usize = 8 << 20;

impl Connections {
    /// Rejects a request. The client is told to retry it after `retry_after`, or without a time if that is
    /// less than a millisecond.
    pub fn reject(&mut self, context: &mut Context, id: RequestId, retry_after: Nanos) {
        let Some(slot) = self.slot_of(id) else { return };
        if retry_after >= MILLI {
            let line = format!("BUSY {}\r\n", retry_after / MILLI);
            self.send_final_answer(context, slot, line.as_bytes());
        } else {
            self.send_final_answer(context, slot, BUSY_LINE);
        }
    }

    /// Tells the client that its request failed.
    pub fn fail(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_of(id) {
            self.send_final_answer(context, slot, ERROR_LINE);
        }
    }

    /// Queues `line` as the final answer to the client and begins to close its connection.
    pub(super) fn send_final_answer(&mut self, context: &mut Context, slot: usize, line: &[u8]) {
        let rejected = line.starts_with(b"BUSY");
        self.check_answer(context, slot, rejected);
        let connection = &mut self.slab[slot];
        if connection.awaits_answer() && connection.client.is_some() {
            let outcome = if rejected {
                RequestOutcome::Rejected
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
        // Sends the rest of an answer to a ping first. Without this, the client would get the final answer in
        // the middle of that line.
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

    /// Begins to close the client's connection in order, after all queued bytes are sent.
    pub(super) fn begin_close(&mut self, context: &mut Context, slot: usize) {
        self.release_id(context, slot);
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

    /// Sends the queued bytes to the client, then discards its input until it closes. Without the discarding,
    /// closing with unread input would reset the connection and the client could lose its answer. The limits
    /// keep a client that sends without end from blocking the event loop.
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
            && connection.discarded < MAX_DISCARDED_BYTES_PER_CONNECTION
            && self.discard_allowance > 0
        {
            match client.socket.discard(buffer.free_space()) {
                Ok(0) => {
                    connection.on_client_finished();
                    return self.remove(context, slot, CloseReason::Answered);
                }
                Ok(count) => {
                    connection.discarded += count;
                    self.discard_allowance = self.discard_allowance.saturating_sub(count);
                    let linger_deadline = connection.accepted_at + MAX_LINGER;
                    connection.stage =
                        Stage::Closing((context.now + LINGER_TIMEOUT).min(linger_deadline));
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

    /// Removes a connection and releases its sockets and buffers. No other function does so. Resets the
    /// client's socket if `reason` demands it.
    pub(super) fn remove(&mut self, context: &mut Context, slot: usize, reason: CloseReason) {
        self.check_close(context, slot, reason);
        self.release_id(context, slot);
        let connection = self.slab.remove(slot);
        self.answer_receipts.report_removed(&connection);
        if let Some(client) = connection.client.filter(|_| reason.resets()) {
            client.socket.reset();
        }
    }
}
