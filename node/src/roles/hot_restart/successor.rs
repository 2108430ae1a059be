//! The channel to the successor, in the process that is being replaced. It owns the connections in transit and loses none of
//! them: each one is either adopted by the successor or resumed in this process.

use super::messages::{
    encode, encode_id_notices, FromPredecessor, FromSuccessor, TransferredState, VERSION,
};
use super::outgoing::OutgoingMessages;
use super::ChannelError;
use crate::connections::{Connections, IdNotice};
use crate::context::{Context, SUCCESSOR};
use reedferry::{Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{PollToken, Socket};
use std::collections::VecDeque;

/// The maximum number of bytes of the encoded state in one message.
const STATE_CHUNK_BYTES: usize = 32 << 10;
/// The maximum number of notices about ids in one message.
const ID_NOTICES_PER_MESSAGE: usize = 1024;
/// The maximum length of a message from the successor, in bytes.
const MAX_MESSAGE_BYTES: usize = 64;
/// The maximum number of connections in transit at the same time.
const MAX_IN_TRANSIT: usize = 32;
/// The maximum time that the successor may take to acknowledge a connection.
const ACKNOWLEDGE_TIMEOUT: Nanos = 1500 * MILLI;
/// How long before the shutdown deadline the handover ends, so that the remaining clients can still be migrated.
const MIGRATION_RESERVE: Nanos = 400 * MILLI;

/// A connection that was sent to the successor and is not acknowledged yet.
struct InTransit {
    id: RequestId,
    sent_at: Nanos,
}

/// The process that is to replace this one.
pub(super) struct Successor {
    channel: Socket,
    /// The generation of the channel's poller token, which tells it from earlier channels.
    generation: u32,
    /// The encoded messages that are not sent yet.
    outgoing: OutgoingMessages,
    /// The unacknowledged connections, in the order in which they were sent.
    in_transit: VecDeque<InTransit>,
    /// Whether the handover has ended: the channel is shut down for reading, but messages sent before are still read.
    abandoned: bool,
    /// Whether the successor has requested the state since [`Successor::take_state_request`] was last called.
    state_requested: bool,
    /// Whether the state has been queued, after which the successor is sent notices about ids.
    state_queued: bool,
}

impl Successor {
    /// Creates the successor at the other end of a newly accepted channel, and registers the channel with the poller.
    pub fn new(context: &mut Context, channel: Socket) -> Self {
        let token = PollToken {
            component: SUCCESSOR,
            slot: 0,
            generation: context.next_generation(),
        };
        if context.poller.register(&channel, token).is_err() {
            // The sweep serves the channel without the poller's reports.
            context.record_transient_failure("epoll_ctl");
        }
        Successor {
            channel,
            generation: token.generation,
            outgoing: OutgoingMessages::default(),
            in_transit: VecDeque::new(),
            abandoned: false,
            state_requested: false,
            state_queued: false,
        }
    }

    /// Returns whether a poller token belongs to this channel and not to that of an earlier successor.
    pub fn matches_token(&self, token: PollToken) -> bool {
        self.generation == token.generation
    }

    /// Returns whether the successor has requested the state since the last call.
    pub fn take_state_request(&mut self) -> bool {
        std::mem::take(&mut self.state_requested)
    }

    /// Queues the encoded state in chunks, and returns its total length in bytes. Notices about the ids that this process
    /// knows follow the state; an older successor ignores what follows it.
    pub fn queue_state(&mut self, state: &TransferredState, notices: &[IdNotice]) -> usize {
        let bytes = [encode(state), encode_id_notices(notices)].concat();
        let chunks = bytes.chunks(STATE_CHUNK_BYTES);
        let last = chunks.len().saturating_sub(1);
        for (index, chunk) in chunks.enumerate() {
            let message = FromPredecessor::StateChunk(chunk.to_vec(), index == last);
            self.outgoing.push(encode(&message));
        }
        self.state_queued = true;
        bytes.len()
    }

    /// Returns whether the successor is to be sent notices about ids.
    pub fn takes_id_notices(&self) -> bool {
        self.state_queued && !self.abandoned
    }

    /// Queues notices about ids.
    pub fn queue_id_notices(&mut self, notices: &[IdNotice]) {
        for notices in notices.chunks(ID_NOTICES_PER_MESSAGE) {
            let message = FromPredecessor::StateChunk(encode_id_notices(notices), false);
            self.outgoing.push(encode(&message));
        }
    }

    /// Sends the queued messages until the queue is empty or the channel returns an error.
    pub fn flush(&mut self) -> Result<(), ChannelError> {
        self.outgoing.flush(&self.channel)
    }

    /// Handles all messages that have arrived, and returns the error that ended the reading.
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
                // The first error may be the peer's reset, with unread messages queued behind it.
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
                Ok(FromSuccessor::IdNotice(notice)) => connections.apply_id_notice(context, notice),
                _ => return ChannelError::InvalidMessage,
            }
        }
    }

    /// Ends the transit of the oldest connection in transit: completes its handover if the successor adopted it, and
    /// otherwise resumes it here.
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

    /// Ends the handover: discards the queued messages and shuts the channel down for reading, so that the successor can
    /// acknowledge nothing more. Returns `false` if the handover had already ended.
    pub fn abandon(&mut self) -> bool {
        if self.abandoned {
            return false;
        }
        self.abandoned = true;
        self.outgoing.clear();
        self.channel.shutdown_read();
        true
    }

    /// Resumes all connections in transit in this process.
    pub fn take_back(self, context: &mut Context, connections: &mut Connections) {
        for InTransit { id, .. } in self.in_transit {
            connections.resume_connection(context, id);
        }
    }

    /// Returns the number of connections in transit.
    pub fn in_transit(&self) -> usize {
        self.in_transit.len()
    }

    /// Hands over as many connections as [`MAX_IN_TRANSIT`] and the channel allow. Hands over none while messages are queued
    /// or after the handover has ended.
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

    /// Returns whether the successor took too long to acknowledge a connection, or the remaining time before the shutdown deadline
    /// is reserved for migrations.
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
