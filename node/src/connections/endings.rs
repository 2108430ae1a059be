//! Endings: the final answer where no host gave one, and the end of a client's connection. It owns what is
//! thrown away of those that go on sending. It must never answer twice, nor lose an answer in the reset
//! that closing over unread input brings.

use super::{Connections, Stage};
use crate::connections::lane::{Flow, Lane};
use crate::context::Context;
use crate::operators::counts::Close;
use crate::operators::tally::Outcome;
use reedferry::{AttemptOutcome, Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, IoFailure};

/// How long the other side of an ended connection is waited for, and one that still sends, since it came.
pub(super) const LINGER: Nanos = 900 * MILLI;
const LONGEST_LINGER: Nanos = 5500 * MILLI;
/// What is thrown away of it between two sweeps: of one connection, and of all.
const WASTE: usize = 2 << 20;
pub(super) const MOST_WASTE: usize = 8 << 20;

impl Connections {
    /// The module's final answer, where no host gave one.
    pub fn dismiss(&mut self, context: &mut Context, id: RequestId, wait: Nanos) {
        let Some(slot) = self.find(id) else { return };
        if wait >= MILLI {
            self.answer(
                context,
                slot,
                format!("BUSY {}\r\n", wait / MILLI).as_bytes(),
            );
        } else {
            self.answer(context, slot, b"BUSY\r\n");
        }
    }

    pub fn give_up(&mut self, context: &mut Context, id: RequestId) {
        if let Some(slot) = self.find(id) {
            self.answer(context, slot, b"ERR\r\n");
        }
    }

    pub fn call_off(&mut self, context: &mut Context, id: RequestId, attempt: u32) {
        let Some(slot) = self.find(id) else { return };
        let connection = &self.slab[slot];
        if connection.stage == Stage::Held
            && connection
                .landing
                .as_ref()
                .is_some_and(|l| l.number == attempt)
        {
            self.fell_through(context, slot, AttemptOutcome::Cancelled);
        }
    }

    /// Writes a last line to the client and ends its connection.
    pub(super) fn answer(&mut self, context: &mut Context, slot: usize, line: &[u8]) {
        self.audit_answer(context, slot, line.starts_with(b"BUSY"));
        let connection = &mut self.slab[slot];
        if connection.owed() && connection.client.is_some() {
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
        connection.letter = None;
        connection.landing = None;
        if connection.client.is_none() {
            return self.remove(context, slot, Close::ClientEnded);
        }
        // Guards: an answer to a ping, of which a part is with the client, cut in the middle of its line.
        let unsent = connection
            .down
            .buffer
            .take()
            .filter(|_| connection.stage == Stage::Unasked);
        let mut buffer = unsent.unwrap_or_else(|| context.pool.take_beyond_limit());
        buffer.append(line);
        connection.down = Lane {
            buffer: Some(buffer),
            ..Lane::default()
        };
        self.close(context, slot);
    }

    /// Ends the client's connection in order, once all that waits is through.
    pub(super) fn close(&mut self, context: &mut Context, slot: usize) {
        self.free_name(slot);
        let connection = &mut self.slab[slot];
        (connection.stage, connection.since) = (Stage::Closing(context.now + LINGER), context.now);
        connection.up = Lane::default();
        connection.down.ended = false;
        if let Some(client) = &connection.client {
            self.listener.idle.push_back((slot, client.stamp));
        }
        self.see_off(context, slot);
    }

    pub(super) fn see_off(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(client) = connection.client.as_mut() else {
            return self.remove(context, slot, Close::ClientEnded);
        };
        if !connection.down.ended {
            match connection.down.flush(client) {
                Flow::Ended => client.socket.shutdown_write(),
                Flow::Idle => return,
                Flow::Starved => {
                    context.machine_trouble("send");
                    return self.retry_soon(context, slot);
                }
                _ => return self.remove(context, slot, Close::ClientBroke),
            }
            connection.down.ended = true;
        }
        // Guards: an answer lost in the reset that closing over unread input brings, and a loop or a share of
        // the processor taken up by who sends without end: so much between two sweeps, and so long.
        let Some(mut space) = context.pool.take() else {
            return;
        };
        while client.readable && connection.wasted < WASTE && self.waste > 0 {
            match client.socket.discard(space.free_space()) {
                Ok(0) => return self.remove(context, slot, Close::Answered),
                Ok(count) => {
                    connection.wasted += count;
                    self.waste = self.waste.saturating_sub(count);
                    let by = (context.now + LINGER).min(connection.came + LONGEST_LINGER);
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
        self.audit_close(context, slot, why);
        self.free_name(slot);
        let connection = self.slab.remove(slot);
        if let Some(client) = connection.client.filter(|_| why.resets()) {
            client.socket.reset();
        }
    }
}
