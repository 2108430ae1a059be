//! Client connections and their host connections, from the first line until both are closed. This module owns
//! the sockets and the bytes in transit between them. It reports events to the decision module, which is the
//! balancer of a node or the core of a forwarder, and performs the actions that come back.
//!
//! A client is accepted ([`listener`], [`idle`]), sends its first line ([`first_line`]) and waits for the
//! answer ([`waiting_client`]) while attempts are made ([`attempts`], [`attempt_progress`], [`reconnect`]).
//! Its connection is then open ([`proxying`], [`migration`]) until it closes ([`closing`]) or is handed over
//! to another process ([`handover`]).
//!
//! Invariants: the module chooses neither hosts nor answers, it answers every request exactly once, and it
//! forwards valid requests only. Anything else that a client sends, or fails to send in time, is rejected
//! here.

mod answer_receipts;
mod attempt_progress;
mod attempted_ids;
mod attempts;
mod closing;
mod connection;
mod first_line;
mod handover;
mod handover_snapshot;
mod host_connection;
mod id_notices;
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
mod slot_queue;
mod sweep;
mod unanswered_lines;
mod waiting_client;

use crate::context::{Context, CLIENT};
pub use answer_receipts::AnswerReceipt;
use answer_receipts::AnswerReceipts;
use attempted_ids::AttemptedIds;
#[cfg(test)]
pub use attempted_ids::IdHash;
pub use attempted_ids::IdNotice;
use connection::{Connection, Stage};
pub use handover_snapshot::ConnectionHandover;
use id_notices::IdNotices;
use listener::Listener;
use reedferry::{Action, RequestClass, RequestId};
use reedferry_runtime::{Readiness, Socket};
use resource_retry::RetryQueue;
pub use resource_retry::LOCAL_RETRY_DELAY;
use slab::Slab;
use slot_queue::SlotQueue;

/// All connections of a node or forwarder.
#[derive(Default)]
pub struct Connections {
    slab: Slab<Connection>,
    listener: Listener,
    /// The number of bytes that may still be discarded, over all connections, before the next sweep.
    discard_allowance: usize,
    /// The slots of connections to advance in the next turn without waiting for their sockets.
    runnable: SlotQueue,
    retry_queue: RetryQueue,
    attempted_ids: AttemptedIds,
    id_notices: IdNotices,
    answer_receipts: AnswerReceipts,
}

impl Connections {
    /// Returns the number of connections in any state.
    pub fn count(&self) -> usize {
        self.slab.len()
    }

    /// Returns whether a pending or open request is of the class at index `class`.
    pub fn uses_class(&self, class: usize) -> bool {
        self.slab
            .iter()
            .any(|(_, connection)| !connection.is_idle() && connection.incoming.class == class)
    }

    /// Returns the names and settings of the classes that pending or open requests are of.
    pub fn classes_in_use(&self, context: &Context) -> Vec<(String, RequestClass)> {
        let names = context.settings.classes.iter();
        names
            .zip(&context.classes)
            .enumerate()
            .filter(|(index, _)| self.uses_class(*index))
            .map(|(_, (name, class))| (name.clone(), class.clone()))
            .collect()
    }

    /// Returns the number of connected clients whose request waits for its answer or is open.
    pub fn in_flight(&self) -> usize {
        self.slab
            .iter()
            .filter(|(_, connection)| {
                (connection.awaits_answer() || connection.stage == Stage::Open)
                    && connection.client.is_some()
            })
            .count()
    }

    /// Returns whether the next turn has work to do even if no socket is ready.
    pub fn has_runnable(&self) -> bool {
        !self.runnable.is_empty() || self.listener.may_have_pending
    }

    /// Returns the slot of a request, or `None` if no connection has it.
    fn slot_of(&self, id: RequestId) -> Option<usize> {
        let slot = id.0 as u32 as usize;
        self.slab
            .get(slot)
            .filter(|connection| connection.incoming.id == id)
            .map(|_| slot)
    }

    /// Records that a client or host socket is ready and advances its connection. Ignores the event if the
    /// socket is no longer the one that the token was made for.
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

    /// Continues accepting clients and advances the runnable connections.
    pub fn resume_runnable(&mut self, context: &mut Context, listener: Option<&Socket>) {
        if self.listener.may_have_pending {
            self.accept(context, listener);
        }
        for slot in self.runnable.take() {
            self.advance(context, slot);
        }
    }

    /// Advances a connection as far as its sockets allow without blocking.
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

    /// Performs an action that concerns a request. Returns any other action to the caller.
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
