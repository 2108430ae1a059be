//! The channel to the successor, in the process that is being replaced. It owns the connections in transit, of which it
//! must never lose one: each goes on either in the successor or here.

use super::messages::{encode, FromPredecessor, FromSuccessor, TransferredState, VERSION};
use super::ChannelError;
use crate::connections::Connections;
use crate::context::{Context, SUCCESSOR};
use reedferry::{Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{PollToken, Socket};
use std::collections::VecDeque;

/// How much of the encoded state goes into one message.
const STATE_CHUNK_BYTES: usize = 32 << 10;
/// The longest message of a successor.
const MAX_MESSAGE_BYTES: usize = 64;
/// Connections in transit at a time.
const MAX_IN_TRANSIT: usize = 32;
/// How long the successor may take to acknowledge a connection.
const ACKNOWLEDGE_TIMEOUT: Nanos = 1500 * MILLI;
/// How long before this process must hold no client any more the handover ends, so that the rest can be migrated.
const MIGRATION_RESERVE: Nanos = 400 * MILLI;

/// A connection that has been sent to the successor and is not acknowledged yet.
struct InTransit {
    id: RequestId,
    sent_at: Nanos,
}

/// The process that is to replace this one.
pub(super) struct Successor {
    channel: Socket,
    stamp: u32,
    /// Messages that the channel has not taken yet.
    outgoing: VecDeque<Vec<u8>>,
    /// In the order in which they were sent.
    in_transit: VecDeque<InTransit>,
    /// Nothing it sends from now on can reach this process; what it has sent before is still read.
    abandoned: bool,
    /// It has asked for the state and has not been sent it yet.
    state_requested: bool,
}

impl Successor {
    /// The process at the other end of a channel that has just been accepted.
    pub fn new(context: &mut Context, channel: Socket) -> Self {
        let token = PollToken {
            component: SUCCESSOR,
            slot: 0,
            generation: context.next_generation(),
        };
        if context.poller.register(&channel, token).is_err() {
            // The sweep reads from it.
            context.record_transient_failure("epoll_ctl");
        }
        Successor {
            channel,
            stamp: token.generation,
            outgoing: VecDeque::new(),
            in_transit: VecDeque::new(),
            abandoned: false,
            state_requested: false,
        }
    }

    /// Whether the poller's mark is for this channel, not for an earlier successor's.
    pub fn is_marked(&self, token: PollToken) -> bool {
        self.stamp == token.generation
    }

    /// Whether it has asked for the state since this was called last.
    pub fn take_state_request(&mut self) -> bool {
        std::mem::take(&mut self.state_requested)
    }

    /// Queues the state in chunks, and returns its length in bytes.
    pub fn queue_state(&mut self, state: &TransferredState) -> usize {
        let bytes = encode(state);
        let chunks = bytes.chunks(STATE_CHUNK_BYTES);
        let last = chunks.len().saturating_sub(1);
        for (index, chunk) in chunks.enumerate() {
            let message = FromPredecessor::StateChunk(chunk.to_vec(), index == last);
            self.outgoing.push_back(encode(&message));
        }
        bytes.len()
    }

    /// Sends what is queued.
    pub fn flush(&mut self) -> Result<(), ChannelError> {
        while let Some(message) = self.outgoing.front() {
            self.channel
                .send_with_descriptors(message, &[])
                .map_err(|error| ChannelError::of(error, "sendmsg"))?;
            self.outgoing.pop_front();
        }
        Ok(())
    }

    /// Handles all messages that have come, and returns what ended that.
    pub fn receive(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
    ) -> ChannelError {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        let mut error_seen = false;
        loop {
            let length = match context
                .budget
                .receive_with_descriptors(&self.channel, &mut buffer)
            {
                Ok((length @ 1.., _)) => length,
                Err(error) if classify_io(error) != IoFailure::Disconnected => {
                    return ChannelError::of(error, "recvmsg");
                }
                // Messages may lie behind the error that reports the other end's reset.
                Err(_) if !std::mem::replace(&mut error_seen, true) => continue,
                _ => return ChannelError::Closed,
            };
            match postcard::from_bytes(&buffer[..length]) {
                Ok(FromSuccessor::Hello(VERSION)) if !self.state_requested => {
                    self.state_requested = true;
                }
                Ok(FromSuccessor::Adopted(adopted)) => {
                    self.acknowledge(context, connections, adopted);
                }
                _ => return ChannelError::InvalidMessage,
            }
        }
    }

    /// The successor has adopted the oldest connection in transit, or could not.
    fn acknowledge(&mut self, context: &mut Context, connections: &mut Connections, adopted: bool) {
        let Some(InTransit { id, .. }) = self.in_transit.pop_front() else {
            return;
        };
        if adopted {
            connections.complete_handover(context, id);
        } else {
            connections.resume_after_rejection(context, id);
        }
    }

    /// Ends the handover: nothing more is sent, and what the successor has not said by now it can't say any more. Returns
    /// whether that is new.
    pub fn abandon(&mut self) -> bool {
        if self.abandoned {
            return false;
        }
        self.abandoned = true;
        self.outgoing.clear();
        self.channel.shutdown_read();
        true
    }

    /// Takes the connections in transit back.
    pub fn take_back(self, context: &mut Context, connections: &mut Connections) {
        for InTransit { id, .. } in self.in_transit {
            connections.resume_connection(context, id);
        }
    }

    /// How many connections are in transit.
    pub fn in_transit(&self) -> usize {
        self.in_transit.len()
    }

    /// Hands over as many connections as the window and the channel take.
    pub fn hand_over(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
    ) -> Result<(), ChannelError> {
        if !self.outgoing.is_empty() || self.abandoned {
            return Ok(());
        }
        for slot in connections.handover_candidates() {
            if self.in_transit.len() >= MAX_IN_TRANSIT {
                return Ok(());
            }
            let (handed_over, id) = connections.begin_handover(context, slot);
            let message = encode(&FromPredecessor::Connection(Box::new(handed_over)));
            let sent = self
                .channel
                .send_with_descriptors(&message, &connections.descriptors(slot));
            if let Err(error) = sent {
                connections.resume_connection(context, id);
                return Err(ChannelError::of(error, "sendmsg"));
            }
            self.in_transit.push_back(InTransit {
                id,
                sent_at: context.now,
            });
        }
        Ok(())
    }

    /// Whether it takes too long to acknowledge a connection, or the time for handing over has ended.
    pub fn is_overdue(&self, context: &Context) -> bool {
        let unacknowledged = self
            .in_transit
            .front()
            .is_some_and(|oldest| context.now >= oldest.sent_at + ACKNOWLEDGE_TIMEOUT);
        let must_migrate = context
            .shutdown_deadline
            .is_some_and(|deadline| context.now + MIGRATION_RESERVE >= deadline);
        unacknowledged || must_migrate
    }
}
