//! Hot restart: a new process replaces a running one without losing connections. This module owns the listener for
//! clients, which the platform may hold open for both processes, decides which of them accepts clients, and owns the
//! channel over which the old process transfers its state and its connections to the new one. It validates everything
//! that it receives, and every wait for the other process is bounded: without a predecessor a node starts with no
//! inherited state, and without a successor it migrates its clients when it stops.

mod messages;
mod outgoing;
mod predecessor;
mod successor;

pub use messages::TransferredState;

use crate::connections::{Connections, LOCAL_RETRY_DELAY};
use crate::context::{self, Context, PREDECESSOR, SUCCESSOR, SUCCESSOR_LISTENER};
use crate::error::FatalError;
use crate::operators::node_config::NodeConfig;
use predecessor::Predecessor;
use reedferry::{Event, Nanos, MILLI};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Clock, Errno, Readiness, Socket};
use slog::{info, warn};
use std::path::PathBuf;
use successor::Successor;

/// The file name of the Unix socket on which a process listens for its successor.
const SOCKET_NAME: &str = "reedferry.next";
/// The interval between two attempts to listen for a successor.
const LISTEN_RETRY_INTERVAL: Nanos = 1000 * MILLI;

/// Why a message could not be sent or received.
#[derive(Debug)]
enum ChannelError {
    /// The channel is full or empty, or the machine temporarily lacks a resource such as memory or descriptors.
    Transient {
        error: Errno,
        system_call: &'static str,
    },
    /// The other process has closed the channel.
    Closed,
    /// The other process sent a message that the protocol does not allow.
    InvalidMessage,
}

impl ChannelError {
    /// Classifies the error that a system call on the channel returned.
    fn of(error: Errno, system_call: &'static str) -> Self {
        if classify_io(error) == IoFailure::Disconnected {
            ChannelError::Closed
        } else {
            ChannelError::Transient { error, system_call }
        }
    }
}

/// The state of this process's hot restarts, both as the successor of one process and as the predecessor of another.
#[derive(Default)]
pub struct HotRestart {
    /// The listener for clients; `None` once this process has stopped accepting them.
    listener: Option<Socket>,
    /// Whether the platform holds the listener, so that other processes accept clients at it too.
    listener_is_shared: bool,
    /// The socket to which a successor connects; `None` if this process does not listen for one.
    successor_listener: Option<Socket>,
    /// The path of that socket.
    successor_path: PathBuf,
    successor: Option<Successor>,
    predecessor: Option<Predecessor>,
    /// The time of the next attempt to listen for a successor after a failed one.
    next_listen_attempt: Nanos,
    /// Whether the timer is set that retries operations on the channels after a temporary shortage.
    retry_scheduled: bool,
}

impl HotRestart {
    /// Inherits the listener that the platform names in `GW_ACCEPT_FD`. If that variable is not set, opens a listener on the
    /// configured address.
    pub fn open(context: &mut Context, node_config: &NodeConfig) -> Result<HotRestart, FatalError> {
        let Ok(value) = std::env::var("GW_ACCEPT_FD") else {
            let listener = context.listen(&node_config.listen, context::LISTENER)?;
            return Ok(HotRestart {
                listener: Some(listener),
                ..HotRestart::default()
            });
        };
        let descriptor = value
            .parse()
            .map_err(|_| FatalError::InvalidDescriptor(value))?;
        Ok(HotRestart {
            listener: Some(context.inherit_listener(descriptor)?),
            listener_is_shared: true,
            ..HotRestart::default()
        })
    }

    /// Returns the listener for clients, or `None` once this process has stopped accepting them.
    pub fn listener(&self) -> Option<&Socket> {
        self.listener.as_ref()
    }

    /// Requests the state of the predecessor, if there is one, and starts to listen for a successor. Does nothing if the
    /// listener is not shared or `TMPDIR` names no folder. Returns `None` if there is no predecessor or its state did not
    /// arrive in time.
    pub fn take_over(&mut self, context: &mut Context, clock: &Clock) -> Option<TransferredState> {
        let folder = std::env::var_os("TMPDIR").filter(|_| self.listener_is_shared)?;
        self.successor_path = PathBuf::from(folder).join(SOCKET_NAME);
        let handshake = match context.budget.connect_unix(&self.successor_path) {
            Ok(channel) => Predecessor::handshake(context, clock, channel),
            Err(_) => None,
        };
        let (predecessor, state) = handshake.unzip();
        self.predecessor = predecessor;
        let state = state.flatten();
        if let Some(state) = &state {
            // Aligns this clock with the predecessor's, because the transferred state contains times. Otherwise those times
            // would be wrong if the wall clock was stepped between the two starts.
            clock.set_offset(state.clock_offset);
            (context.now, context.start) = (clock.read(), clock.read());
        }
        self.listen_for_successor(context);
        state
    }

    /// Listens for a successor at the path, and replaces any process that listened there before.
    fn listen_for_successor(&mut self, context: &Context) {
        match context.budget.listen_unix(&self.successor_path) {
            Ok(listener)
                if context
                    .poller
                    .register(&listener, context::token(SUCCESSOR_LISTENER))
                    .is_ok() =>
            {
                self.successor_listener = Some(listener);
            }
            other => {
                self.next_listen_attempt = context.now + LISTEN_RETRY_INTERVAL;
                let why = other
                    .err()
                    .map_or("cannot register the listener with the poller".into(), |e| {
                        e.to_string()
                    });
                warn!(context.log, "cannot listen for a successor"; "why" => why);
            }
        }
    }

    /// Serves the channels regardless of what the poller has reported, and retries to listen for a successor if that failed.
    /// Without the retry, one failure to create the socket file would leave this process without a successor, and clients that
    /// could have been handed over would be migrated.
    pub fn sweep(&mut self, context: &mut Context, connections: &mut Connections) {
        self.serve_channels(context, connections);
        if self.listener_is_shared
            && self.successor_listener.is_none()
            && context.may_end_at.is_none()
            && context.now >= self.next_listen_attempt
        {
            self.listen_for_successor(context);
        }
    }

    /// Serves the channels again after a temporary shortage of resources.
    pub fn retry(&mut self, context: &mut Context, connections: &mut Connections) {
        self.retry_scheduled = false;
        self.serve_channels(context, connections);
    }

    /// Serves all channels. The poller reports each readiness only once, so without this call messages that could not be sent
    /// or received because of a temporary shortage would never be processed.
    fn serve_channels(&mut self, context: &mut Context, connections: &mut Connections) {
        self.accept_successors(context, connections);
        self.adopt_connections(context, connections);
        self.flush_predecessor(context);
        self.serve_successor(context, connections);
    }

    /// Sets the timer for a retry if the error is a shortage of resources on this machine.
    fn schedule_retry(&mut self, context: &mut Context, error: Errno, system_call: &'static str) {
        if classify_io(error) != IoFailure::LocalResources {
            return;
        }
        context.record_transient_failure(system_call);
        if !std::mem::replace(&mut self.retry_scheduled, true) {
            context.poller.set_timer(
                context.now + LOCAL_RETRY_DELAY,
                context::token(context::CHANNEL_RETRY),
                0,
            );
        }
    }

    /// Handles a readiness report for one of the channels or for the listener for successors.
    pub fn on_ready(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
        ready: Readiness,
    ) {
        let token = ready.token;
        match token.component {
            SUCCESSOR_LISTENER => self.accept_successors(context, connections),
            SUCCESSOR
                if self
                    .successor
                    .as_ref()
                    .is_some_and(|s| s.matches_token(token)) =>
            {
                self.serve_successor(context, connections);
            }
            PREDECESSOR
                if self
                    .predecessor
                    .as_ref()
                    .is_some_and(|p| p.matches_token(token)) =>
            {
                self.adopt_connections(context, connections);
            }
            _ => {}
        }
    }

    /// Adopts the connections that the predecessor has handed over.
    fn adopt_connections(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(predecessor) = &mut self.predecessor else {
            return;
        };
        match predecessor.adopt_connections(context, connections) {
            Ok(()) => {}
            Err(ChannelError::Transient { error, system_call }) => {
                self.schedule_retry(context, error, system_call);
            }
            Err(ChannelError::Closed | ChannelError::InvalidMessage) => self.predecessor = None,
        }
    }

    /// Accepts the processes that connect; the last one accepted becomes the successor. A process is rejected while messages
    /// of the previous successor are still unread.
    fn accept_successors(&mut self, context: &mut Context, connections: &mut Connections) {
        while let Some(Ok(channel)) = self
            .successor_listener
            .as_ref()
            .map(|listener| context.budget.accept_unix(listener))
        {
            self.abandon_successor(context, connections);
            if self.successor.is_some() {
                warn!(
                    context.log,
                    "successor rejected: messages of the previous successor are still unread"
                );
                continue;
            }
            self.successor = Some(Successor::new(context, channel));
        }
    }

    /// Sends the messages queued for the successor and handles those that it has sent.
    fn serve_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        self.flush_successor(context, connections);
        self.read_successor(context, connections);
    }

    fn flush_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        match successor.flush() {
            Ok(()) => {}
            Err(ChannelError::Transient { error, system_call }) => {
                self.schedule_retry(context, error, system_call);
            }
            Err(ChannelError::Closed | ChannelError::InvalidMessage) => {
                self.abandon_successor(context, connections);
            }
        }
    }

    fn read_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        match successor.receive(context, connections) {
            ChannelError::Transient { error, system_call } => {
                self.schedule_retry(context, error, system_call);
            }
            ChannelError::Closed => self.lose_successor(context, connections),
            ChannelError::InvalidMessage => self.abandon_successor(context, connections),
        }
    }

    /// Ends the handover and handles the messages that the successor has sent so far. If they were ignored, both processes would
    /// serve a connection whose acknowledgement is still unread or arrives at this moment.
    fn abandon_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        if self.successor.as_mut().is_some_and(Successor::abandon) {
            self.read_successor(context, connections);
        }
    }

    /// Removes the successor, if there is one, and resumes the connections that it has not acknowledged.
    fn lose_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = self.successor.take() else {
            return;
        };
        warn!(context.log, "successor disconnected"; "kept" => successor.in_transit());
        successor.take_back(context, connections);
        context.events.push(Event::SuccessorChanged(false));
        // The lost successor may already have replaced this process's socket file with its own, so that the next successor
        // could not connect.
        if context.may_end_at.is_none() {
            self.listen_for_successor(context);
        }
    }

    /// Stops accepting clients if the listener is shared, because the successor accepts them. Called when this process is asked
    /// to stop.
    pub fn stop_accepting(&mut self, context: &Context) {
        if self.listener_is_shared {
            if let Some(listener) = self.listener.take() {
                _ = context.poller.deregister(&listener);
            }
        }
    }

    /// Returns whether a successor is connected, to which this process can hand over its connections.
    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// Returns whether this process can receive no more clients, neither from a shared listener nor from a predecessor.
    pub fn receives_no_more_clients(&self) -> bool {
        self.listener_is_shared && self.listener.is_none() && self.predecessor.is_none()
    }

    /// Returns whether the successor has requested this process's state since the last call.
    pub fn take_state_request(&mut self) -> bool {
        self.successor
            .as_mut()
            .is_some_and(Successor::take_state_request)
    }

    /// Queues the state for the successor and starts to send it.
    pub fn send_state(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
        state: &TransferredState,
    ) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        let bytes = successor.queue_state(state, &connections.all_id_notices(context));
        connections.enable_id_notices(true);
        context.events.push(Event::SuccessorChanged(true));
        info!(context.log, "successor connected"; "state_bytes" => bytes);
        self.flush_successor(context, connections);
    }

    /// Sends the notices about ids to the other process, if there is one. To be called once a turn, after attempts were
    /// started and before their hosts are written to.
    pub fn exchange_id_notices(&mut self, context: &mut Context, connections: &mut Connections) {
        if let Some(predecessor) = &mut self.predecessor {
            predecessor.apply_inherited_notices(context, connections);
        }
        let notices = connections.take_id_notices();
        let successor = self.successor.as_mut().filter(|s| s.takes_id_notices());
        let predecessor = self.predecessor.as_mut().filter(|p| p.takes_id_notices());
        connections.enable_id_notices(successor.is_some() || predecessor.is_some());
        if notices.is_empty() {
            return;
        }
        if let Some(successor) = successor {
            successor.queue_id_notices(&notices);
        }
        if let Some(predecessor) = predecessor {
            predecessor.queue_id_notices(&notices);
        }
        self.flush_successor(context, connections);
        self.flush_predecessor(context);
    }

    fn flush_predecessor(&mut self, context: &mut Context) {
        let Some(predecessor) = &mut self.predecessor else {
            return;
        };
        match predecessor.flush() {
            Ok(()) => {}
            Err(ChannelError::Transient { error, system_call }) => {
                self.schedule_retry(context, error, system_call);
            }
            // The read that follows finds the end of the channel.
            Err(ChannelError::Closed | ChannelError::InvalidMessage) => {}
        }
    }

    /// Hands over connections to the successor, as many as the limit of connections in transit and the channel allow. Ends the
    /// handover if the successor is overdue.
    pub fn hand_over(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        // Otherwise this process would end while a stalled successor still holds clients that could have been migrated.
        if successor.is_overdue(context) {
            return self.abandon_successor(context, connections);
        }
        // Other errors need no handling: the poller reports when a full channel is writable again, and a closed one at once.
        if let Err(ChannelError::Transient { error, system_call }) =
            successor.hand_over(context, connections)
        {
            self.schedule_retry(context, error, system_call);
        }
    }
}
