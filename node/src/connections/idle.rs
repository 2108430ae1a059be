//! Clients that hold a connection without a request: they are rejected when their time is over, or when
//! their descriptor is needed. A client that says nothing must never keep a descriptor that others need.

use super::connection::{Connection, Stage};
use super::peer_socket::SendResult;
use super::protocol::{BUSY_LINE, ERROR_LINE};
use super::rejection::RejectReason;
use super::Connections;
use crate::context::Context;
use crate::operators::counters::CloseReason;
use reedferry::{Nanos, MILLI, SECOND};

/// How long a connection may stay without a first line. With [`LINGER_TIMEOUT`](super::closing::LINGER_TIMEOUT)
/// it has to stay under the three seconds within which every client is to have an answer.
pub(super) const FIRST_LINE_TIMEOUT: Nanos = 2 * SECOND;
/// For how long a connection without a request is safe from being closed in favour of another.
pub(super) const MIN_IDLE_AGE: Nanos = 50 * MILLI;
/// Reads of what crosses the end of a connection that is closed in favour of another.
const MAX_CROSSING_READS: usize = 16;
const DISCARD_BYTES: usize = 512;

/// How far an idle client has been told to retry.
enum IdleRejection {
    Sent,
    /// A part of the answer is sent; the connection closes after the rest.
    Partial,
    /// Nothing can be sent now.
    Blocked,
}

impl Connections {
    /// Closes idle connections until so many descriptors may be opened, as far as there are any.
    pub fn free_descriptors(&mut self, context: &mut Context, descriptors: usize) {
        while !context.budget.has_capacity(descriptors) && self.evict_idle(context, 0) {}
    }

    /// Closes the connection that has been without a request longest, and tells whether that freed a
    /// descriptor. One younger than `min_age` is not closed, nor one whose request has arrived meanwhile.
    pub(super) fn evict_idle(&mut self, context: &mut Context, min_age: Nanos) -> bool {
        while let Some(&(slot, generation)) = self.listener.idle.front() {
            let same = |c: &&Connection| c.is_idle() && c.has_client(generation);
            let Some(connection) = self.slab.get(slot).filter(same) else {
                self.listener.idle.pop_front();
                continue;
            };
            if context.now < connection.started_at + min_age {
                return false;
            }
            // Without this, a request that lies unread in its socket would be lost in the reset that
            // closing over unread input brings.
            if connection.stage == Stage::AwaitingRequest {
                self.read_pending_input(context, slot);
                let Some(connection) = self.slab.get(slot).filter(same) else {
                    let client_gone = |c: &Connection| {
                        c.client_generation()
                            .is_none_or(|current| current != generation)
                    };
                    if self.slab.get(slot).is_none_or(client_gone) {
                        return true;
                    }
                    // Its request has arrived.
                    continue;
                };
                if connection.stage != Stage::AwaitingRequest {
                    // It has been rejected, and lingers as long as others do.
                    self.listener.idle.pop_front();
                    continue;
                }
            }
            match self.reject_idle(context, slot) {
                IdleRejection::Sent => self.remove(context, slot, CloseReason::Evicted),
                IdleRejection::Partial => return !self.slab.contains(slot),
                IdleRejection::Blocked => {
                    // The next one may take its answer.
                    self.listener.idle.rotate_left(1);
                    return false;
                }
            }
            return true;
        }
        false
    }

    /// Tells a client without a request to retry, and reads what crosses that. Without the reading, the
    /// answer would be lost in the reset that closing over unread input brings.
    fn reject_idle(&mut self, context: &mut Context, slot: usize) -> IdleRejection {
        let connection = &mut self.slab[slot];
        let (Stage::AwaitingRequest, Some(client)) = (connection.stage, &connection.client) else {
            return IdleRejection::Sent;
        };
        if connection.to_client.buffer.is_some() {
            // A part of an answer to a ping is on its way.
            return IdleRejection::Blocked;
        }
        match client.send_once(BUSY_LINE) {
            SendResult::Whole | SendResult::Disconnected => client.socket.shutdown_write(),
            SendResult::Partial(0) => return IdleRejection::Blocked,
            SendResult::Partial(count) => {
                self.listener.rejections.count(RejectReason::NoDescriptors);
                self.send_final_answer(context, slot, &BUSY_LINE[count..]);
                return IdleRejection::Partial;
            }
        }
        let mut space = [0; DISCARD_BYTES];
        for _ in 0..MAX_CROSSING_READS {
            if !matches!(client.socket.discard(&mut space), Ok(1..)) {
                break;
            }
        }
        self.listener.rejections.count(RejectReason::NoDescriptors);
        IdleRejection::Sent
    }

    /// Reads what a client without a request has sent by now, whatever the poller has reported so far.
    fn read_pending_input(&mut self, context: &mut Context, slot: usize) {
        self.slab[slot].assume_client_readable();
        self.read_request(context, slot);
    }

    /// Closes a connection on which no complete line has come in time. Reads once more before: a request
    /// may lie unread in the socket, and one that crosses the end is to be told that it may retry.
    pub(super) fn on_first_line_timeout(&mut self, context: &mut Context, slot: usize) {
        let generation = self.slab[slot].client_generation();
        self.read_pending_input(context, slot);
        let still_waits = |c: &&Connection| {
            c.stage == Stage::AwaitingRequest && c.client_generation() == generation
        };
        let Some(connection) = self.slab.get(slot).filter(still_waits) else {
            return;
        };
        let line = connection.request_line.as_ref();
        if line.is_some_and(|line| !line.is_empty()) {
            return self.reject_client(context, slot, RejectReason::IncompleteLine);
        }
        self.listener.rejections.count(RejectReason::NoLine);
        self.send_busy(context, slot);
    }

    /// Tells a client that has sent no request to retry.
    pub(super) fn send_busy(&mut self, context: &mut Context, slot: usize) {
        self.send_final_answer(context, slot, BUSY_LINE);
    }

    /// Rejects a client that is not to be served.
    pub(super) fn reject_client(
        &mut self,
        context: &mut Context,
        slot: usize,
        reason: RejectReason,
    ) {
        self.listener.rejections.count(reason);
        self.send_final_answer(context, slot, ERROR_LINE);
    }
}
