//! The sweep, at a fixed interval: what has waited too long, and what is counted from one sweep to the next.

use super::closing::MAX_DISCARDED_TOTAL;
use super::connection::Stage;
use super::idle::FIRST_LINE_TIMEOUT;
use super::Connections;
use crate::context::Context;
use crate::operators::counters::CloseReason;
use reedferry::Nanos;

impl Connections {
    /// Looks over all connections.
    pub fn sweep(&mut self, context: &mut Context) {
        self.discard_allowance = MAX_DISCARDED_TOTAL;
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

    fn sweep_one(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        // Without this, clients that wait or are idle when the program is ended from outside would never
        // have an answer.
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
