//! Retries operations that failed because this machine was short of a resource, such as memory or buffers.
//! The poller does not report when such an operation may succeed, so it is retried after a fixed delay.

use super::slot_queue::SlotQueue;
use super::Connections;
use crate::context::{self, Context};
use reedferry::{Nanos, MILLI};
use reedferry_runtime::{PollToken, Socket};

/// The delay after which an operation that failed for lack of local resources is retried.
pub const LOCAL_RETRY_DELAY: Nanos = 10 * MILLI;

/// The connections and sockets that wait for the next retry.
#[derive(Default)]
pub(super) struct RetryQueue {
    /// The slots of the connections to advance at the next retry.
    slots: SlotQueue,
    /// The tokens of sockets that could not be registered with the poller.
    unregistered: Vec<PollToken>,
    /// Whether the timer of the next retry is set.
    scheduled: bool,
}

impl RetryQueue {
    /// Sets the timer of the next retry unless it is set already.
    fn schedule(&mut self, context: &mut Context) {
        if !std::mem::replace(&mut self.scheduled, true) {
            let due = context.now + LOCAL_RETRY_DELAY;
            let token = context::token(context::CONNECTION_RETRY);
            context.poller.set_timer(due, token, 0);
        }
    }

    /// Registers a socket with the poller. If that fails, it is repeated at the next retry.
    pub(super) fn register(&mut self, context: &mut Context, socket: &Socket, token: PollToken) {
        if context.poller.register_or_update(socket, token).is_err() {
            context.record_transient_failure("epoll_ctl");
            self.unregistered.push(token);
            self.schedule(context);
        }
    }
}

impl Connections {
    /// Schedules a connection to be advanced at the next retry.
    pub(super) fn retry_soon(&mut self, context: &mut Context, slot: usize) {
        self.retry_queue.slots.push(slot);
        self.retry_queue.schedule(context);
    }

    /// Registers the sockets that could not be registered before, and marks the waiting connections as
    /// runnable.
    pub fn retry(&mut self, context: &mut Context) {
        self.retry_queue.scheduled = false;
        for slot in self.retry_queue.slots.take() {
            self.runnable.push(slot);
        }
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
            // Tries the socket even if the registration failed again, as the poller may have missed its
            // readiness.
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
