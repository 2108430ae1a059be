//! Idle clients, whose connections carry no request. They are rejected when their time is over or when their
//! descriptor is needed, so that an idle client does not keep a descriptor that another connection needs.

use super::connection::{Connection, Stage};
use super::peer_socket::SendResult;
use super::protocol::{BUSY_LINE, ERROR_LINE};
use super::rejection::RejectReason;
use super::Connections;
use crate::context::Context;
use crate::operators::counters::CloseReason;
use reedferry::{Nanos, MILLI, SECOND};

/// How long a connection may stay without a complete first line. Together with
/// [`LINGER_TIMEOUT`](super::closing::LINGER_TIMEOUT) it must stay under three seconds, within which every
/// client must have an answer.
pub(super) const FIRST_LINE_TIMEOUT: Nanos = 2 * SECOND;
/// How long a connection must have been idle before a client that connects may evict it.
pub(super) const MIN_IDLE_AGE: Nanos = 50 * MILLI;
/// The most reads of input that arrives while an idle connection is evicted.
const MAX_EVICTION_READS: usize = 16;
const DISCARD_BUFFER_BYTES: usize = 512;

/// How much of the answer to an evicted client has been sent.
enum IdleRejection {
    /// The client has been answered in full, or its connection is already closing or broken.
    Sent,
    /// A part of the answer is sent. The connection closes after the rest.
    Partial,
    /// Nothing can be sent now.
    Blocked,
}

impl Connections {
    /// Evicts idle connections until `descriptors` more descriptors may be opened or no connection can be
    /// evicted.
    pub fn free_descriptors(&mut self, context: &mut Context, descriptors: usize) {
        while !context.budget.has_capacity(descriptors) && self.evict_idle(context, 0) {}
    }

    /// Evicts the connection that has been idle longest, and returns whether that freed a descriptor. Spares
    /// connections that have been idle for less than `min_age` and those whose request has arrived meanwhile.
    pub(super) fn evict_idle(&mut self, context: &mut Context, min_age: Nanos) -> bool {
        while let Some(&(slot, generation)) = self.listener.idle.front() {
            let same_client = |c: &&Connection| c.is_idle() && c.has_client(generation);
            let Some(connection) = self.slab.get(slot).filter(same_client) else {
                self.listener.idle.pop_front();
                continue;
            };
            if context.now < connection.started_at + min_age {
                return false;
            }
            // Reads the socket first. Without this, a request that lies unread there would be lost: closing
            // with unread input resets the connection.
            if connection.stage == Stage::AwaitingRequest {
                self.read_pending_input(context, slot);
                let Some(connection) = self.slab.get(slot).filter(same_client) else {
                    let client_gone = |c: &Connection| {
                        c.client_generation()
                            .is_none_or(|current| current != generation)
                    };
                    if self.slab.get(slot).is_none_or(client_gone) {
                        return true;
                    }
                    // The request has arrived, so the connection is no longer idle.
                    continue;
                };
                if connection.stage != Stage::AwaitingRequest {
                    // The client has been rejected because of its input, and lingers as long as others do.
                    self.listener.idle.pop_front();
                    continue;
                }
            }
            match self.reject_idle(context, slot) {
                IdleRejection::Sent => self.remove(context, slot, CloseReason::Evicted),
                IdleRejection::Partial => return !self.slab.contains(slot),
                IdleRejection::Blocked => {
                    // Moves the connection to the back of the queue. The next client may be able to take its
                    // answer.
                    self.listener.idle.rotate_left(1);
                    return false;
                }
            }
            return true;
        }
        false
    }

    /// Tells an idle client to retry, and discards input that arrives meanwhile. Without the discarding,
    /// closing with unread input would reset the connection and the client could lose the answer.
    fn reject_idle(&mut self, context: &mut Context, slot: usize) -> IdleRejection {
        let connection = &mut self.slab[slot];
        let (Stage::AwaitingRequest, Some(client)) = (connection.stage, &connection.client) else {
            return IdleRejection::Sent;
        };
        if connection.to_client.buffer.is_some() {
            // The answer to a ping is not sent in full yet.
            return IdleRejection::Blocked;
        }
        match client.send_once(BUSY_LINE) {
            SendResult::Whole | SendResult::Disconnected => client.socket.shutdown_write(),
            SendResult::Partial(0) => return IdleRejection::Blocked,
            SendResult::Partial(count) => {
                self.listener.rejections.count(RejectReason::Evicted);
                self.send_final_answer(context, slot, &BUSY_LINE[count..]);
                return IdleRejection::Partial;
            }
        }
        let mut scratch = [0; DISCARD_BUFFER_BYTES];
        for _ in 0..MAX_EVICTION_READS {
            if !matches!(client.socket.discard(&mut scratch), Ok(1..)) {
                break;
            }
        }
        self.listener.rejections.count(RejectReason::Evicted);
        IdleRejection::Sent
    }

    /// Reads and processes what an idle client has sent, even if the poller has not reported it.
    fn read_pending_input(&mut self, context: &mut Context, slot: usize) {
        self.slab[slot].assume_client_readable();
        self.read_request(context, slot);
    }

    /// Closes a connection on which no complete first line has arrived in time. Reads the socket once more
    /// before, as a request may lie unread in it. A client that has sent nothing is told that it may retry,
    /// as its request may be on the way.
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

    /// Tells an idle client to retry, and closes its connection.
    pub(super) fn send_busy(&mut self, context: &mut Context, slot: usize) {
        self.send_final_answer(context, slot, BUSY_LINE);
    }

    /// Rejects a client with an error and closes its connection. A client whose request may be repeated later is told
    /// so.
    pub(super) fn reject_client(
        &mut self,
        context: &mut Context,
        slot: usize,
        reason: RejectReason,
    ) {
        self.listener.rejections.count(reason);
        let answer = if reason == RejectReason::TooManyIds {
            BUSY_LINE
        } else {
            ERROR_LINE
        };
        self.send_final_answer(context, slot, answer);
    }
}
