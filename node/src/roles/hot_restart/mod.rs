//! Hot restart: one process replaces another without loss of connections. This module owns the listener that the platform
//! holds open for both, who of them accepts new clients, and the channel over which the old process transfers its state
//! and its connections to the new one. It must never trust what it receives, nor wait long for it: without a
//! predecessor a node starts as usual, and without a successor it migrates its clients as usual.

mod messages;
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

/// The name of the local socket at which a process listens for its successor.
const SOCKET_NAME: &str = "reedferry.next";
/// The pause between two attempts to listen for a successor.
const LISTEN_RETRY_INTERVAL: Nanos = 1000 * MILLI;

/// Why a message could not be sent or received.
#[derive(Debug)]
enum ChannelError {
    /// The channel is full or empty, or the machine is short of something for a moment.
    Transient {
        error: Errno,
        system_call: &'static str,
    },
    /// The other process is gone.
    Closed,
    /// The other process sent what the protocol does not allow.
    InvalidMessage,
}

impl ChannelError {
    /// What an error of a system call on the channel means.
    fn of(error: Errno, system_call: &'static str) -> Self {
        if classify_io(error) == IoFailure::Disconnected {
            ChannelError::Closed
        } else {
            ChannelError::Transient { error, system_call }
        }
    }
}

/// This process's part in a hot restart, as the successor of one process and the predecessor of another.
#[derive(Default)]
pub struct HotRestart {
    listener: Option<Socket>,
    /// Other processes accept clients at the listener too.
    listener_is_shared: bool,
    /// Where a successor connects, and at which path.
    successor_listener: Option<Socket>,
    successor_path: PathBuf,
    successor: Option<Successor>,
    predecessor: Option<Predecessor>,
    /// When to try again to listen for a successor, where that failed.
    next_listen_attempt: Nanos,
    /// A timer is set for the retry of what failed for a moment.
    retry_scheduled: bool,
}

impl HotRestart {
    /// Takes the listener that the platform holds, where it names one, and otherwise opens one of the node's own.
    pub fn open(context: &mut Context, node_config: &NodeConfig) -> Result<HotRestart, FatalError> {
        let Ok(named) = std::env::var("GW_ACCEPT_FD") else {
            let listener = context.listen(&node_config.listen, context::LISTENER)?;
            return Ok(HotRestart {
                listener: Some(listener),
                ..HotRestart::default()
            });
        };
        let descriptor = named
            .parse()
            .map_err(|_| FatalError::InvalidDescriptor(named))?;
        Ok(HotRestart {
            listener: Some(context.inherit_listener(descriptor)?),
            listener_is_shared: true,
            ..HotRestart::default()
        })
    }

    /// The listener, while this process accepts clients.
    pub fn listener(&self) -> Option<&Socket> {
        self.listener.as_ref()
    }

    /// Asks the predecessor for its state, if there is one, and listens for a successor.
    pub fn take_over(&mut self, context: &mut Context, clock: &Clock) -> Option<TransferredState> {
        let folder = std::env::var_os("TMPDIR").filter(|_| self.listener_is_shared)?;
        self.successor_path = PathBuf::from(folder).join(SOCKET_NAME);
        let greeted = match context.budget.connect_unix(&self.successor_path) {
            Ok(channel) => Predecessor::greet(context, clock, channel),
            Err(_) => None,
        };
        let (predecessor, state) = greeted.unzip();
        self.predecessor = predecessor;
        let state = state.flatten();
        if let Some(state) = &state {
            // Times pass between both processes. Without this they would be wrong where the wall clock was stepped in between.
            clock.set_offset(state.clock_ahead);
            (context.now, context.start) = (clock.read(), clock.read());
        }
        self.listen_for_successor(context);
        state
    }

    /// Listens for a successor, in place of whichever process did.
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
                let why = other.err().map_or("cannot poll".into(), |e| e.to_string());
                warn!(context.log, "cannot listen for a successor"; "why" => why);
            }
        }
    }

    /// Serves the channels whatever the poller has reported, and listens for a successor where that failed before. Without the
    /// latter, clients would be migrated that could have been handed over, after a moment in which the folder took no file.
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

    /// Retries what failed for a moment.
    pub fn retry(&mut self, context: &mut Context, connections: &mut Connections) {
        self.retry_scheduled = false;
        self.serve_channels(context, connections);
    }

    /// Serves all channels. Without this, messages that could not be sent or received for a moment would stay where they are, as
    /// the poller reports them only once.
    fn serve_channels(&mut self, context: &mut Context, connections: &mut Connections) {
        self.accept_successors(context, connections);
        self.adopt_connections(context, connections);
        self.serve_successor(context, connections);
    }

    /// Sets the timer for a retry, where the machine was short of something.
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

    /// Handles what the poller reports of the channels and their listener.
    pub fn on_ready(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
        ready: Readiness,
    ) {
        let token = ready.token;
        match token.component {
            SUCCESSOR_LISTENER => self.accept_successors(context, connections),
            SUCCESSOR if self.successor.as_ref().is_some_and(|s| s.is_marked(token)) => {
                self.serve_successor(context, connections);
            }
            PREDECESSOR
                if self
                    .predecessor
                    .as_ref()
                    .is_some_and(|p| p.is_marked(token)) =>
            {
                self.adopt_connections(context, connections);
            }
            _ => {}
        }
    }

    /// Adopts the connections that the predecessor hands over.
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

    /// Accepts the processes that connect; the last one is the successor.
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
                    "successor rejected: another one's messages cannot be read now"
                );
                continue;
            }
            self.successor = Some(Successor::new(context, channel));
        }
    }

    /// Sends what is queued for the successor and handles what it has sent.
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

    /// Ends the handover and handles what the successor has sent until now. Without the latter, both processes would go on with a
    /// connection whose acknowledgement comes at this moment or lies unread.
    fn abandon_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        if self.successor.as_mut().is_some_and(Successor::abandon) {
            self.read_successor(context, connections);
        }
    }

    /// The successor is gone, if there was one: this process goes on with what it had not adopted.
    fn lose_successor(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = self.successor.take() else {
            return;
        };
        warn!(context.log, "successor disconnected"; "kept" => successor.in_transit());
        successor.take_back(context, connections);
        context.events.push(Event::SuccessorChanged(false));
        // The one that is gone may have listened at the path already, where the next one would connect in vain.
        if context.may_end_at.is_none() {
            self.listen_for_successor(context);
        }
    }

    /// Stops accepting clients at a shared listener, as this process is asked to stop: the successor accepts them.
    pub fn stop_accepting(&mut self, context: &Context) {
        if self.listener_is_shared {
            if let Some(listener) = self.listener.take() {
                _ = context.poller.deregister(&listener);
            }
        }
    }

    /// Whether another process goes on with what this one hands over.
    pub fn has_successor(&self) -> bool {
        self.successor.is_some()
    }

    /// Whether no client comes any more, neither from the listener nor from a predecessor.
    pub fn is_over(&self) -> bool {
        self.listener_is_shared && self.listener.is_none() && self.predecessor.is_none()
    }

    /// Whether the successor has asked for this process's state since this was called last.
    pub fn take_state_request(&mut self) -> bool {
        self.successor
            .as_mut()
            .is_some_and(Successor::take_state_request)
    }

    /// Sends the state to the successor.
    pub fn send_state(
        &mut self,
        context: &mut Context,
        connections: &mut Connections,
        state: &TransferredState,
    ) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        let bytes = successor.queue_state(state);
        context.events.push(Event::SuccessorChanged(true));
        info!(context.log, "successor connected"; "state_bytes" => bytes);
        self.flush_successor(context, connections);
    }

    /// Hands over the connections that can be, as many at a time as the successor takes.
    pub fn hand_over(&mut self, context: &mut Context, connections: &mut Connections) {
        let Some(successor) = &mut self.successor else {
            return;
        };
        // Without this, the clients of a process that ends would be left with a successor that stands still.
        if successor.is_overdue(context) {
            return self.abandon_successor(context, connections);
        }
        // A full channel is reported by the poller when it takes more, and a closed one at once.
        if let Err(ChannelError::Transient { error, system_call }) =
            successor.hand_over(context, connections)
        {
            self.schedule_retry(context, error, system_call);
        }
    }
}
