//! The channel to the predecessor, in the process that replaces it. It validates every message, and resumes an adopted
//! connection only after the acknowledgement to the predecessor was sent, so that only one process serves a connection.

use super::messages::{
    decode_id_notices, encode, FromPredecessor, FromSuccessor, TransferredState, VERSION,
};
use super::outgoing::OutgoingMessages;
use super::ChannelError;
use crate::connections::{Connections, IdNotice};
use crate::context::{Context, PREDECESSOR};
use reedferry::{Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_io, retry_for, IoFailure};
use reedferry_runtime::{channel, Clock, PollToken, Socket};
use slog::{info, warn};
use std::time::Duration;

/// The maximum time for sending the first message, [`FromSuccessor::Hello`].
const HELLO_TIMEOUT: Duration = Duration::from_millis(200);
/// The maximum time to wait for the complete state.
const STATE_TIMEOUT: Nanos = 1500 * MILLI;
/// The maximum length of the encoded state, in bytes.
const MAX_STATE_BYTES: usize = 4 << 20;
/// The maximum number of messages read in one turn. Each hands over one connection, except for late chunks of the state.
const MAX_MESSAGES_PER_TURN: usize = 64;
/// The maximum number of descriptors of a connection: the client's socket and the host's.
const MAX_DESCRIPTORS_PER_CONNECTION: usize = 2;

/// How the wait for the state ended.
enum StateTransfer {
    /// The state, and the notices about ids that followed it; `None` if the predecessor is an older one.
    Complete(Box<TransferredState>, Option<Vec<IdNotice>>),
    TimedOut,
    /// The predecessor closed the channel or sent an invalid message or too long a state; it may speak another protocol
    /// version.
    Failed,
}

/// The outcome of the last connection received, which was not sent to the predecessor yet.
#[derive(Clone, Copy)]
struct PendingReply {
    /// The connection's id in this process, or `None` if it was not adopted.
    adopted: Option<RequestId>,
}

/// The process that this one replaces.
pub(super) struct Predecessor {
    channel: Socket,
    /// The generation of the channel's poller token, which tells it from earlier channels.
    generation: u32,
    /// `None` if every connection received was replied to.
    pending_reply: Option<PendingReply>,
    /// Whether the predecessor has sent notices about ids, and so takes those of this process.
    takes_id_notices: bool,
    /// The notices that came with the state, until they are applied.
    inherited_notices: Option<Vec<IdNotice>>,
    /// The encoded notices that are not sent yet.
    outgoing: OutgoingMessages,
}

impl Predecessor {
    /// Requests the state of the process at the other end and waits for it for at most [`STATE_TIMEOUT`]. Returns `None` if
    /// the channel can't be used. The state is `None` if it did not arrive in time; connections can be adopted without it.
    pub fn handshake(
        context: &mut Context,
        clock: &Clock,
        channel: Socket,
    ) -> Option<(Predecessor, Option<TransferredState>)> {
        retry_for(HELLO_TIMEOUT, || {
            channel.send_with_descriptors(&encode(&FromSuccessor::Hello(VERSION)), &[])
        })
        .ok()?;
        let (state, inherited_notices) = match receive_state(context, clock, &channel) {
            StateTransfer::Complete(state, notices) => (Some(*state), notices),
            StateTransfer::TimedOut => {
                warn!(context.log, "no state from the predecessor in time");
                (None, None)
            }
            StateTransfer::Failed => return None,
        };
        let predecessor = Predecessor {
            channel,
            generation: context.next_generation(),
            pending_reply: None,
            takes_id_notices: false,
            inherited_notices,
            outgoing: OutgoingMessages::default(),
        };
        let watched = context
            .poller
            .register(&predecessor.channel, predecessor.token());
        if watched.is_err() {
            // The sweep serves the channel without the poller's reports.
            context.record_transient_failure("epoll_ctl");
        }
        info!(context.log, "predecessor connected"; "state" => state.is_some());
        Some((predecessor, state))
    }

    fn token(&self) -> PollToken {
        PollToken {
            component: PREDECESSOR,
            slot: 0,
            generation: self.generation,
        }
    }

    /// Returns whether a poller token belongs to this channel.
    pub fn matches_token(&self, token: PollToken) -> bool {
        self.generation == token.generation
    }

    /// Adopts the connections that have arrived. Reads at most [`MAX_MESSAGES_PER_TURN`] messages per call.
    pub fn adopt_connections(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
    ) -> Result<(), ChannelError> {
        let mut buffer = vec![0; channel::MAX_MESSAGE_BYTES];
        for _ in 0..MAX_MESSAGES_PER_TURN {
            self.reply(context, connections)?;
            connections.free_descriptors(context, MAX_DESCRIPTORS_PER_CONNECTION);
            let (length, sockets) = match context
                .budget
                .receive_with_descriptors(&self.channel, &mut buffer)
            {
                Ok((length @ 1.., sockets)) => (length, sockets),
                Err(error) if classify_io(error) != IoFailure::Disconnected => {
                    return Err(ChannelError::of(error, "recvmsg"));
                }
                _ => {
                    info!(context.log, "predecessor disconnected"; "connections" => connections.count());
                    return Err(ChannelError::Closed);
                }
            };
            let adopted = match postcard::from_bytes(&buffer[..length]) {
                // A chunk without notices is of the state, for which the wait has timed out.
                Ok(FromPredecessor::StateChunk(chunk, _)) => {
                    self.apply_id_notices(context, connections, &chunk);
                    continue;
                }
                Ok(FromPredecessor::Connection(handed_over)) => {
                    connections.adopt(context, *handed_over, sockets)
                }
                Err(_) => None,
            };
            self.pending_reply = Some(PendingReply { adopted });
        }
        self.reply(context, connections)?;
        _ = context
            .poller
            .update_registration(&self.channel, self.token());
        Ok(())
    }

    fn apply_id_notices(&mut self, context: &Context, connections: &mut Connections, chunk: &[u8]) {
        if let Some(notices) = decode_id_notices(chunk) {
            self.apply_notices(context, connections, notices);
        }
    }

    /// Applies the notices that came with the state.
    pub fn apply_inherited_notices(&mut self, context: &Context, connections: &mut Connections) {
        if let Some(notices) = self.inherited_notices.take() {
            self.apply_notices(context, connections, notices);
        }
    }

    fn apply_notices(
        &mut self,
        context: &Context,
        connections: &mut Connections,
        notices: Vec<IdNotice>,
    ) {
        if !std::mem::replace(&mut self.takes_id_notices, true) {
            self.queue_id_notices(&connections.all_id_notices(context));
            connections.enable_id_notices(true);
        }
        for notice in notices {
            connections.apply_id_notice(context, notice);
        }
    }

    /// Returns whether the predecessor is to be sent notices about ids.
    pub fn takes_id_notices(&self) -> bool {
        self.takes_id_notices
    }

    /// Queues notices about ids.
    pub fn queue_id_notices(&mut self, notices: &[IdNotice]) {
        for notice in notices {
            self.outgoing
                .push(encode(&FromSuccessor::IdNotice(*notice)));
        }
    }

    /// Sends the queued notices until none is left or the channel returns an error.
    pub fn flush(&mut self) -> Result<(), ChannelError> {
        self.outgoing.flush(&self.channel)
    }

    /// Tells the predecessor whether the last connection was adopted, and resumes it once that message was sent.
    fn reply(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
    ) -> Result<(), ChannelError> {
        let Some(PendingReply { adopted }) = self.pending_reply else {
            return Ok(());
        };
        let message = encode(&FromSuccessor::Adopted(adopted.is_some()));
        let sent = self
            .channel
            .send_with_descriptors(&message, &[])
            .map_err(|error| ChannelError::of(error, "sendmsg"));
        match (&sent, adopted) {
            (Ok(()), Some(id)) => connections.resume_connection(context, id),
            // The predecessor resumes every connection that was not acknowledged. Drops this one here, because otherwise
            // both processes would serve it.
            (Err(ChannelError::Closed), Some(id)) => connections.abandon_adopted(context, id),
            _ => {}
        }
        if !matches!(sent, Err(ChannelError::Transient { .. })) {
            self.pending_reply = None;
        }
        sent
    }
}

/// Waits for all chunks of the state and decodes it.
fn receive_state(context: &mut Context, clock: &Clock, channel: &Socket) -> StateTransfer {
    let deadline = clock.read() + STATE_TIMEOUT;
    let mut buffer = vec![0; channel::MAX_MESSAGE_BYTES];
    let mut state = Vec::new();
    loop {
        let left = deadline.saturating_sub(clock.read());
        if left == 0 || !channel.wait_readable(left) {
            return StateTransfer::TimedOut;
        }
        let length = match context
            .budget
            .receive_with_descriptors(channel, &mut buffer)
        {
            Err(error) if classify_io(error) != IoFailure::Disconnected => continue,
            Ok((0, _)) | Err(_) => return StateTransfer::Failed,
            Ok((length, _)) => length,
        };
        let Ok(FromPredecessor::StateChunk(chunk, last)) = postcard::from_bytes(&buffer[..length])
        else {
            return StateTransfer::Failed;
        };
        state.extend(chunk);
        if state.len() > MAX_STATE_BYTES {
            return StateTransfer::Failed;
        }
        if last {
            return match postcard::take_from_bytes(&state) {
                Ok((state, rest)) => {
                    StateTransfer::Complete(Box::new(state), decode_id_notices(rest))
                }
                Err(_) => StateTransfer::Failed,
            };
        }
    }
}
