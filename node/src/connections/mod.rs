//! The connections of clients, each with that to its host, from the first line to the end of both. Owns
//! their sockets and what is on its way between them; reports events and performs actions, whoever decides.
//!
//! A connection is accepted ([`listener`], [`idle`]), sends its first line ([`first_line`]), waits for its
//! answer ([`waiting_client`]) while attempts are made ([`attempts`], [`attempt_progress`], [`reconnect`]),
//! is open ([`proxying`], [`migration`]) and closes ([`closing`]), or goes on in another process
//! ([`handover`]).
//!
//! Must never choose a host or an answer, answer a request twice or not at all, or pass on what is no proper
//! request: that is rejected here, whatever the client sends or leaves unsent.

mod attempt_progress;
mod attempts;
mod closing;
mod connection;
mod first_line;
mod handover;
mod handover_snapshot;
mod host_connection;
mod idle;
mod invariants;
pub mod link;
mod listener;
mod migration;
mod peer_socket;
pub mod probe;
pub mod protocol;
mod proxying;
mod reconnect;
mod rejection;
mod relay;
mod resource_retry;
mod sweep;
mod waiting_client;

use crate::context::{Context, CLIENT};
use connection::{Connection, Stage};
pub use handover_snapshot::ConnectionHandover;
use listener::Listener;
use reedferry::{Action, RequestClass, RequestId};
use reedferry_runtime::{Readiness, Socket};
use resource_retry::RetryQueue;
pub use resource_retry::LOCAL_RETRY_DELAY;
use slab::Slab;

/// All connections of a node or forwarder.
#[derive(Default)]
pub struct Connections {
    slab: Slab<Connection>,
    listener: Listener,
    /// How many bytes may still be discarded before the next sweep.
    discard_allowance: usize,
    /// Those with more to do than a turn allows.
    runnable: Vec<usize>,
    retry_queue: RetryQueue,
}

impl Connections {
    /// How many there are, in any state.
    pub fn count(&self) -> usize {
        self.slab.len()
    }

    /// Whether any request is of the class at this index.
    pub fn uses_class(&self, class: usize) -> bool {
        self.slab
            .iter()
            .any(|(_, connection)| !connection.is_idle() && connection.incoming.class == class)
    }

    /// The classes that any request is of, with their names.
    pub fn classes_in_use(&self, context: &Context) -> Vec<(String, RequestClass)> {
        let names = context.settings.classes.iter();
        names
            .zip(&context.classes)
            .enumerate()
            .filter(|(index, _)| self.uses_class(*index))
            .map(|(_, (name, class))| (name.clone(), class.clone()))
            .collect()
    }

    /// The clients whose request waits for an answer or is open.
    pub fn in_flight(&self) -> usize {
        self.slab
            .iter()
            .filter(|(_, connection)| {
                (connection.awaits_answer() || connection.stage == Stage::Open)
                    && connection.client.is_some()
            })
            .count()
    }

    /// Whether something is left to do without waiting.
    pub fn has_runnable(&self) -> bool {
        !self.runnable.is_empty() || self.listener.may_have_pending
    }

    /// The slot of a request that is known here.
    fn slot_of(&self, id: RequestId) -> Option<usize> {
        let slot = id.0 as u32 as usize;
        self.slab
            .get(slot)
            .filter(|connection| connection.incoming.id == id)
            .map(|_| slot)
    }

    /// A socket of a client or host is ready.
    pub fn on_ready(&mut self, context: &mut Context, ready: Readiness) {
        let slot = ready.token.slot as usize;
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let peer = match ready.token.component {
            CLIENT => connection.client.as_mut(),
            _ => connection
                .host_connection
                .as_mut()
                .map(|host| &mut host.peer),
        };
        let Some(peer) = peer.filter(|peer| peer.generation == ready.token.generation) else {
            return;
        };
        peer.readable |= ready.readable;
        peer.writable |= ready.writable;
        self.advance(context, slot);
    }

    /// Goes on with those that had more to do.
    pub fn resume_runnable(&mut self, context: &mut Context, listener: Option<&Socket>) {
        if self.listener.may_have_pending {
            self.accept(context, listener);
        }
        for slot in std::mem::take(&mut self.runnable) {
            self.advance(context, slot);
        }
    }

    /// Brings a connection as far as its sockets allow.
    fn advance(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        match connection.stage {
            Stage::AwaitingRequest => self.read_request(context, slot),
            Stage::Pending | Stage::Reconnecting(_) => {
                self.check_client(context, slot);
                self.advance_attempt(context, slot);
            }
            Stage::Open => self.relay_lines(context, slot),
            Stage::HandingOver(_) => {}
            Stage::Closing(_) => self.linger(context, slot),
        }
    }

    /// Performs an action on a request, whoever decided it, and gives back any other action.
    pub fn perform(&mut self, context: &mut Context, action: Action) -> Option<Action> {
        match action {
            Action::StartAttempt {
                id,
                host,
                until,
                by,
            } => self.start_attempt(context, id, host, until, by),
            Action::Reject { id, retry_after } => self.reject(context, id, retry_after),
            Action::Fail { id } => self.fail(context, id),
            Action::Migrate { id } => self.migrate(context, id),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(context, id, attempt),
            other => return Some(other),
        }
        None
    }
}
