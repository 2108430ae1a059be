//! The sweep over all connections at a fixed interval: enforces their time limits and renews the limits that
//! apply between two sweeps.

use super::closing::MAX_DISCARDED_BYTES_TOTAL;
use super::connection::Stage;
use super::idle::FIRST_LINE_TIMEOUT;
use super::Connections;
use crate::context::Context;
use crate::operators::counters::CloseReason;
use reedferry::Nanos;

impl Connections {
    /// Checks all connections, and logs what has been counted since the last sweep.
    pub fn sweep(&mut self, context: &mut Context) {
        self.discard_allowance = MAX_DISCARDED_BYTES_TOTAL;
        let slots: Vec<usize> = self.slab.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            self.sweep_one(context, slot);
        }
        context.log_suppressed_lines();
        let slab = &self.slab;
        self.listener.idle.retain(|&(slot, generation)| {
            slab.get(slot)
                .is_some_and(|c| c.is_idle() && c.has_client(generation))
        });
        self.listener.rejections.log(context.now, &context.log);
    }

    /// Checks one connection.
    fn sweep_one(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        // Once the shutdown deadline has passed, answers idle clients and times out attempts in flight.
        // Without this, clients that wait or are idle would get no answer before the process is killed.
        let stopping = now >= context.shutdown_deadline.unwrap_or(Nanos::MAX);
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let has_attempt = connection.host_connection.is_some();
        match connection.stage {
            Stage::AwaitingRequest if stopping => self.send_busy(context, slot),
            Stage::Pending if stopping && has_attempt => self.on_attempt_timeout(context, slot),
            Stage::AwaitingRequest if now >= connection.accepted_at + FIRST_LINE_TIMEOUT => {
                self.on_first_line_timeout(context, slot);
            }
            Stage::Reconnecting(next_attempt) if !has_attempt && now >= next_attempt => {
                self.reconnect(context, slot);
            }
            Stage::Closing(until) if now >= until => {
                self.remove(context, slot, CloseReason::Answered);
            }
            Stage::Closing(_) => {
                connection.discarded = 0;
                self.linger(context, slot);
            }
            Stage::Open => self.check_open_connection(context, slot),
            _ => {}
        }
    }
}
