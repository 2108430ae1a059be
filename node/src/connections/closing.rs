//! Endings: the final answer where no host gave one, and the end of a client's connection. It owns what is
//! thrown away of those that go on sending. It must never answer twice, nor lose an answer in the reset
//! that closing over unread input brings.

use super::{Connections, Stage};
use crate::connections::relay::{Relay, RelayStatus};
use crate::context::Context;
use crate::operators::counts::Close;
use crate::operators::tally::Outcome;
use reedferry::{AttemptOutcome, Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, IoFailure};

/// How long the other side of an ended connection is waited for, and one that still sends, since it came.
pub(super) const LINGER_TIMEOUT: Nanos = 900 * MILLI;
const MAX_LINGER: Nanos = 5500 * MILLI;
/// What is thrown away of it between two sweeps: of one connection, and of all.
const MAX_DISCARDED_PER_CONNECTION: usize = 2 << 20;
pub(super) const MAX_DISCARDED_TOTAL: usize = 8 << 20;

impl Connections {
    /// The module's final answer, where no host gave one.
    pub fn reject(&mut self, context: &mut Context, id: RequestId, wait: Nanos) {
        let Some(slot) = self.slot_of(id) else { return };
        if wait >= MILLI {
            self.send_final_answer(
                context,
                slot,
                format!("BUSY {}\r\n", wait / MILLI).as_bytes(),
            );
        } else {
            self.send_final_answer(context, slot, b"BUSY\r\n");
        }
    }

    pub fn fail(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.slot_of(id) {
            self.send_final_answer(context, slot, b"ERR\r\n");
        }
    }

    pub fn cancel_attempt(&mut self, context: &mut Context, id: RequestId, attempt: u32) {
        let Some(slot) = self.slot_of(id) else { return };
        let connection = &self.slab[slot];
        if connection.stage == Stage::Pending
            && connection
                .host_connection
                .as_ref()
                .is_some_and(|l| l.attempt == attempt)
        {
            self.end_attempt(context, slot, AttemptOutcome::Cancelled);
        }
    }

    /// Writes a last line to the client and ends its connection.
    pub(super) fn send_final_answer(&mut self, context: &mut Context, slot: usize, line: &[u8]) {
        self.check_answer(context, slot, line.starts_with(b"BUSY"));
        let connection = &mut self.slab[slot];
        if connection.awaits_answer() && connection.client.is_some() {
            let outcome = if line.starts_with(b"BUSY") {
                Outcome::Refused
            } else {
                Outcome::Failed
            };
            context.tally.came_to(
                &context.node_settings.classes[connection.incoming.class],
                outcome,
            );
        }
        connection.request_line = None;
        connection.host_connection = None;
        if connection.client.is_none() {
            return self.remove(context, slot, Close::ClientEnded);
        }
        // Guards: an answer to a ping, of which a part is with the client, cut in the middle of its line.
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

    /// Ends the client's connection in order, once all that waits is through.
    pub(super) fn begin_close(&mut self, context: &mut Context, slot: usize) {
        self.release_id(slot);
        let connection = &mut self.slab[slot];
        (connection.stage, connection.started_at) =
            (Stage::Closing(context.now + LINGER_TIMEOUT), context.now);
        connection.to_host = Relay::default();
        connection.to_client.finished = false;
        if let Some(client) = &connection.client {
            self.listener.idle.push_back((slot, client.generation));
        }
        self.linger(context, slot);
    }

    pub(super) fn linger(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut() else {
            return self.remove(context, slot, Close::ClientEnded);
        };
        if !connection.to_client.finished {
            match connection.to_client.write_to(client) {
                RelayStatus::Finished => client.socket.shutdown_write(),
                RelayStatus::Idle => return,
                RelayStatus::LocalResources => {
                    context.machine_trouble("send");
                    return self.retry_soon(context, slot);
                }
                _ => return self.remove(context, slot, Close::ClientBroke),
            }
            connection.to_client.finished = true;
        }
        // Guards: an answer lost in the reset that closing over unread input brings, and a loop or a share of
        // the processor taken up by who sends without end: so much between two sweeps, and so long.
        let Some(mut space) = context.pool.take() else {
            return;
        };
        while client.readable
            && connection.discarded < MAX_DISCARDED_PER_CONNECTION
            && self.discard_allowance > 0
        {
            match client.socket.discard(space.free_space()) {
                Ok(0) => return self.remove(context, slot, Close::Answered),
                Ok(count) => {
                    connection.discarded += count;
                    self.discard_allowance = self.discard_allowance.saturating_sub(count);
                    let by =
                        (context.now + LINGER_TIMEOUT).min(connection.accepted_at + MAX_LINGER);
                    connection.stage = Stage::Closing(by);
                }
                Err(e) => match classify_io(e) {
                    IoFailure::WouldBlock => client.readable = false,
                    IoFailure::LocalResources => return self.retry_soon(context, slot),
                    IoFailure::Disconnected => return self.remove(context, slot, Close::Answered),
                },
            }
        }
        if context.budget.nearly_exhausted() {
            self.remove(context, slot, Close::Answered);
        }
    }

    /// The one place where a connection's sockets and buffers are given back.
    pub(super) fn remove(&mut self, context: &mut Context, slot: usize, why: Close) {
        self.check_close(context, slot, why);
        self.release_id(slot);
        let connection = self.slab.remove(slot);
        if let Some(client) = connection.client.filter(|_| why.resets()) {
            client.socket.reset();
        }
    }
}
