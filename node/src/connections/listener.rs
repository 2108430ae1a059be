//! Accepts clients and tracks which request ids are in use. No two open requests may have the same id, as
//! hosts could not tell them apart.

use super::connection::{Connection, Stage};
use super::idle::MIN_IDLE_AGE;
use super::peer_socket::PeerSocket;
use super::rejection::Rejections;
use super::Connections;
use crate::context::{Context, CLIENT};
use reedferry::Idempotency;
use reedferry_runtime::errors::{classify_accept, AcceptFailure};
use reedferry_runtime::{PollToken, Socket};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// The most rejected ids that are remembered; the oldest is dropped first.
const MAX_REJECTED_IDS: usize = 1024;
/// The number of attempts at one request that hosts have to answer with an error before its id is rejected.
const HOST_ERRORS_TO_REJECT_ID: u32 = 2;
const MAX_ACCEPTS_PER_TURN: usize = 256;

/// State that concerns all clients rather than one connection.
#[derive(Default)]
pub(super) struct Listener {
    /// Slot and client generation of each connection without a request, in the order in which they became
    /// idle. Entries may be out of date and must be checked against the connection.
    pub(super) idle: VecDeque<(usize, u32)>,
    /// The ids of the open requests.
    pub(super) open_ids: HashSet<Rc<str>>,
    /// Ids whose requests hosts have answered with errors, the oldest first.
    rejected_ids: VecDeque<Rc<str>>,
    pub(super) rejections: Rejections,
    /// Whether the last call of `accept` reached its limit, so that more clients may wait.
    pub(super) may_have_pending: bool,
}

impl Listener {
    /// Returns whether a new request must not use this id: an open request has it, or hosts have answered it
    /// with errors. Without this, a request with the id of another open request would be sent to host after
    /// host, and each would answer it with an error.
    pub(super) fn is_id_taken(&self, id: &str) -> bool {
        self.open_ids.contains(id) || self.rejected_ids.iter().any(|rejected| **rejected == *id)
    }

    fn remember_rejected_id(&mut self, id: Rc<str>) {
        self.rejected_ids.push_back(id);
        if self.rejected_ids.len() > MAX_REJECTED_IDS {
            self.rejected_ids.pop_front();
        }
    }
}

/// Returns whether requests of the class at this index must not run twice.
pub(super) fn must_not_run_twice(context: &Context, class: usize) -> bool {
    context
        .classes
        .get(class)
        .is_some_and(|class| class.idempotency != Idempotency::Idempotent)
}

impl Connections {
    /// Accepts up to [`MAX_ACCEPTS_PER_TURN`] clients from the listening socket.
    pub fn accept(&mut self, context: &mut Context, listener: Option<&Socket>) {
        self.listener.may_have_pending = false;
        let Some(listener) = listener else { return };
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            // Evicts an idle connection when descriptors are short. Without this, hundreds of clients that
            // connect and send nothing would keep others out. If all idle connections are too young to be
            // evicted, new clients wait in the backlog of the listening socket until the next sweep.
            if !context.budget.has_capacity(1)
                && !self.evict_idle(context, MIN_IDLE_AGE)
                && context.budget.nearly_exhausted()
            {
                return;
            }
            let socket = match context.budget.accept(listener) {
                Ok(socket) => socket,
                Err(error) => match classify_accept(error) {
                    AcceptFailure::NoneWaiting => return,
                    AcceptFailure::AbortedConnection => continue,
                    // The next sweep accepts again.
                    AcceptFailure::LocalResources => {
                        return context.record_transient_failure("accept")
                    }
                },
            };
            self.add_client(context, socket);
        }
        self.listener.may_have_pending = true;
    }

    fn add_client(&mut self, context: &mut Context, socket: Socket) {
        let slot = self.slab.vacant_key();
        let token = PollToken {
            component: CLIENT,
            slot: slot as u32,
            generation: context.next_generation(),
        };
        self.retry_queue.register(context, &socket, token);
        let client = PeerSocket {
            socket,
            generation: token.generation,
            readable: false,
            writable: true,
        };
        self.listener.idle.push_back((slot, token.generation));
        self.slab.insert(Connection::new(client, slot, context.now));
    }

    /// Releases the id of a request that is answered or gone. Keeps rejecting the id if hosts have answered
    /// the request with errors, or if the request may have run and must not run twice.
    pub(super) fn release_id(&mut self, context: &Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(id) = connection.wire_id.take() else {
            return;
        };
        self.listener.open_ids.remove(&id);
        self.remember_ended_request(context, slot, &id);
        let connection = &self.slab[slot];
        if connection.host_errors >= HOST_ERRORS_TO_REJECT_ID && connection.stage == Stage::Pending
        {
            self.listener.remember_rejected_id(id);
        }
    }
}
