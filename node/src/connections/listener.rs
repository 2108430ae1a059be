//! The listener: accepts clients, and knows which of their ids are in use. Must never let the ids of two
//! open requests be the same, as hosts could not tell them apart.

use super::connection::{Connection, Stage};
use super::idle::MIN_IDLE_AGE;
use super::peer_socket::PeerSocket;
use super::rejection::Rejections;
use super::Connections;
use crate::context::{Context, CLIENT};
use reedferry_runtime::errors::{classify_accept, AcceptFailure};
use reedferry_runtime::{PollToken, Socket};
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;

/// How many ids are remembered that hosts have refused.
const MAX_REJECTED_IDS: usize = 1024;
/// How many hosts have to refuse an id.
const HOST_ERRORS_TO_REJECT_ID: u32 = 2;
const MAX_ACCEPTS_PER_TURN: usize = 256;

/// What is known of the clients as a whole.
#[derive(Default)]
pub(super) struct Listener {
    /// Connections without a request, by slot and generation, in the order in which they became so.
    pub(super) idle: VecDeque<(usize, u32)>,
    /// The ids of the open requests.
    pub(super) open_ids: HashSet<Rc<str>>,
    /// Ids that hosts have refused, the oldest first.
    rejected_ids: VecDeque<Rc<str>>,
    pub(super) rejections: Rejections,
    /// Whether more clients may wait to be accepted.
    pub(super) may_have_pending: bool,
}

impl Listener {
    /// Whether a new request can't have this id. Prevents one that uses the id of another's open request,
    /// which hosts would tell from a good one only by an error, and the same again and again.
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

impl Connections {
    /// Accepts the clients that wait at the listener.
    pub fn accept(&mut self, context: &mut Context, listener: Option<&Socket>) {
        self.listener.may_have_pending = false;
        let Some(listener) = listener else { return };
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            // Without this, hundreds that connect and say nothing would keep usual clients out. Where all
            // have just come, those behind them wait at the listener until the next sweep.
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

    /// The id of a request that is answered or gone is no longer in use, unless hosts have refused it.
    pub(super) fn release_id(&mut self, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(id) = connection.wire_id.take() else {
            return;
        };
        self.listener.open_ids.remove(&id);
        if connection.host_errors >= HOST_ERRORS_TO_REJECT_ID && connection.stage == Stage::Pending
        {
            self.listener.remember_rejected_id(id);
        }
    }
}
