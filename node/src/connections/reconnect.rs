//! Reconnects clients to the host that they were connected to before this node started, without asking the
//! decision module. Gives up after [`RECONNECT_TIMEOUT`].

use super::connection::Stage;
use super::protocol::ERROR_LINE;
use super::Connections;
use crate::context::Context;
use reedferry::{Nanos, SECOND};

/// How long attempts at the previous host are repeated.
pub(super) const RECONNECT_TIMEOUT: Nanos = 40 * SECOND;
const RECONNECT_INTERVAL: Nanos = SECOND / 4;

impl Connections {
    /// Makes the next attempt at the client's previous host. Gives up if the time for that is over or this
    /// process has been asked to stop.
    pub(super) fn reconnect(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let until = connection.started_at + connection.timeout.min(RECONNECT_TIMEOUT);
        if context.now >= until || context.may_end_at.is_some() {
            return self.send_final_answer(context, slot, ERROR_LINE);
        }
        connection.stage = Stage::Reconnecting(context.now + RECONNECT_INTERVAL);
        // An unknown host is looked up again at the next attempt, as it may have joined after the endpoint
        // list that this node was started with.
        let host = connection.previous_host;
        if let Some(host) = host.and_then(|host| context.hosts.index(host)) {
            _ = self.connect_to_host(context, slot, host, until, Nanos::MAX);
        }
    }
}
