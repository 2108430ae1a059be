//! Handling of failed calls: repeats a call at once if its idle connection was closed, and schedules the next watch.

use super::{DiscoveryClient, IDLE_CLOSE_WINDOW, POLL, SILENT_WATCH, WATCH};
use crate::context::{Context, DISCOVERY};
use crate::discovery::call::CallError;
use crate::discovery::staleness::CallFailure;
use reedferry::{EndpointUpdate, Event, Nanos, MILLI};
use reedferry_runtime::PollToken;
use slog::warn;

impl DiscoveryClient {
    /// Handles a broken connection. If the connection was reused, the call has only just been sent and no byte of a
    /// response has arrived, the service closed the connection between two calls, and the call is sent again. A call
    /// whose connection broke while it waited has failed, as the service may have closed the connections of all nodes.
    pub(super) fn on_connection_lost(
        &mut self,
        context: &mut Context,
        slot: usize,
        error: CallError,
    ) {
        let call = &mut self.calls[slot];
        call.connection = None;
        if !call.in_flight {
            return;
        }
        let just_sent = context.now < call.started_at + IDLE_CLOSE_WINDOW;
        if call.reused && !call.response.has_begun() && just_sent {
            if slot == WATCH {
                self.staleness.record_watch_resent(context.now);
            }
            // The repeated call waits for only 1 ms. The service may have restarted, and a longer call would wait
            // for its revisions to pass the known one.
            return self.send_call(context, slot, MILLI);
        }
        self.on_failed(context, slot, error);
    }

    /// Handles an answer with an error status. The service counts as possibly restarted unless the status says that
    /// it is busy (429 or 503).
    pub(super) fn on_rejected(&mut self, context: &mut Context, slot: usize, status: u16) {
        if !matches!(status, 429 | 503) {
            self.versions.record_failure();
        }
        let error = CallError::Status(status);
        self.end_call(context, slot, error.failure(), error);
    }

    /// Handles the failure of a call that is due to the service and not to this machine.
    pub(super) fn on_failed(&mut self, context: &mut Context, slot: usize, error: CallError) {
        if slot == WATCH {
            self.versions.record_failure();
        }
        self.end_call(context, slot, error.failure(), error);
    }

    /// Ends a failed call. After a watch, schedules the next one; after a poll, informs the balancer.
    pub(super) fn end_call(
        &mut self,
        context: &mut Context,
        slot: usize,
        failure: CallFailure,
        error: CallError,
    ) {
        let call = &mut self.calls[slot];
        call.connection = None;
        call.in_flight = false;
        let sent_ms_ago = context.now.saturating_sub(call.started_at) / MILLI;
        let wait_ms = call.max_wait / MILLI;
        warn!(context.log, "discovery call failed"; "watch" => slot == WATCH, "why" => error.to_string(),
            "sent_ms_ago" => sent_ms_ago, "wait_ms" => wait_ms);
        if slot == WATCH {
            self.watching = false;
            let next = self.staleness.record_failure(context.now, failure);
            self.next_watch_at = Some(next);
            context.stale_window = self.staleness.stale_window();
            if next <= context.now {
                self.watch(context);
            }
        }
        // The balancer schedules the next poll on this event alone.
        if slot == POLL {
            context.events.push(Event::EndpointsUpdated {
                kind: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            });
        }
    }

    /// Handles a watch that has been silent beyond its wait. Its connection is kept until the replacement of the watch
    /// has been answered.
    pub(super) fn on_watch_silent(&mut self, context: &mut Context) {
        let mut watch = std::mem::take(&mut self.calls[WATCH]);
        self.calls[WATCH].started_at = watch.started_at;
        self.calls[WATCH].max_wait = watch.max_wait;
        if let Some(connection) = &mut watch.connection {
            let token = PollToken {
                component: DISCOVERY,
                slot: SILENT_WATCH as u32,
                generation: context.next_generation(),
            };
            let socket = &connection.socket;
            if context.poller.update_registration(socket, token).is_ok() {
                connection.generation = token.generation;
                watch.deadline = Nanos::MAX;
                self.calls[SILENT_WATCH] = watch;
            }
        }
        self.on_failed(context, WATCH, CallError::Timeout);
    }
}
