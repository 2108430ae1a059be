//! What this machine was short of something for is retried after a fixed time, as nothing else tells when
//! it may succeed.

use super::Connections;
use crate::context::{self, Context};
use reedferry::{Nanos, MILLI};
use reedferry_runtime::{PollToken, Socket};

/// After which time what failed for want of local resources is retried.
pub const LOCAL_RETRY_DELAY: Nanos = 10 * MILLI;

/// What waits for the next retry.
#[derive(Default)]
pub(super) struct RetryQueue {
    /// The connections that wait for local resources.
    slots: Vec<usize>,
    /// Sockets that could not be registered with the poller.
    unregistered: Vec<PollToken>,
    scheduled: bool,
}

impl RetryQueue {
    fn schedule(&mut self, context: &mut Context) {
        if !std::mem::replace(&mut self.scheduled, true) {
            let due = context.now + LOCAL_RETRY_DELAY;
            let token = context::token(context::CONNECTION_RETRY);
            context.poller.set_timer(due, token, 0);
        }
    }

    /// Registers a socket with the poller, now or at a retry.
    pub(super) fn register(&mut self, context: &mut Context, socket: &Socket, token: PollToken) {
        if context.poller.register_or_update(socket, token).is_err() {
            context.record_transient_failure("epoll_ctl");
            self.unregistered.push(token);
            self.schedule(context);
        }
    }
}

impl Connections {
    /// Goes on with this connection at the next retry.
    pub(super) fn retry_soon(&mut self, context: &mut Context, slot: usize) {
        self.retry_queue.slots.push(slot);
        self.retry_queue.schedule(context);
    }

    /// Retries what this machine was short of something for.
    pub fn retry(&mut self, context: &mut Context) {
        self.retry_queue.scheduled = false;
        self.runnable.append(&mut self.retry_queue.slots);
        for token in std::mem::take(&mut self.retry_queue.unregistered) {
            let slot = token.slot as usize;
            let Some(connection) = self.slab.get_mut(slot) else {
                continue;
            };
            let mut peers = connection.peers_mut();
            let Some(peer) = peers.find(|peer| peer.generation == token.generation) else {
                continue;
            };
            let registered = context.poller.register_or_update(&peer.socket, token);
            // Registered or not, the socket is tried.
            peer.readable = true;
            peer.writable = true;
            self.runnable.push(slot);
            if registered.is_err() {
                context.record_transient_failure("epoll_ctl");
                self.retry_queue.unregistered.push(token);
            }
        }
        if !self.retry_queue.unregistered.is_empty() {
            self.retry_queue.schedule(context);
        }
    }
}
