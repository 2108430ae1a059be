//! What comes of a call that failed: whether it is repeated at once, and when the watch is sent again.

use super::{DiscoveryClient, IDLE_CLOSE_WINDOW, POLL, SILENT_WATCH, WATCH};
use crate::context::{Context, DISCOVERY};
use crate::discovery::call::CallError;
use crate::discovery::staleness::CallFailure;
use reedferry::{EndpointUpdate, Event, Nanos, MILLI};
use reedferry_runtime::PollToken;
use slog::warn;

impl DiscoveryClient {
    /// The connection broke. Where it had served before and nothing has come of a response to a call that has
    /// just gone out, the other side closed it between two calls: the call goes out once more. One that
    /// broke while it waited has failed, as it may have ended for all nodes.
    pub(super) fn on_connection_lost(
        &mut self,
        context: &mut Context,
        which: usize,
        error: CallError,
    ) {
        let call = &mut self.calls[which];
        call.connection = None;
        if !call.in_flight {
            return;
        }
        let just_sent = context.now < call.started_at + IDLE_CLOSE_WINDOW;
        if call.reused && !call.response.has_begun() && just_sent {
            // Without a wait: whoever closed it may have restarted, and would wait for a version long passed
            // here.
            return self.send_call(context, which, MILLI);
        }
        self.on_failed(context, which, error);
    }

    /// The service answered, but not with a list. It is the same one as before where it says that it is busy.
    pub(super) fn on_rejected(&mut self, context: &mut Context, which: usize, status: u16) {
        if !matches!(status, 429 | 503) {
            self.versions.record_failure();
        }
        let error = CallError::Status(status);
        self.end_call(context, which, error.failure(), error);
    }

    /// A call failed in a way that tells something of the service.
    pub(super) fn on_failed(&mut self, context: &mut Context, which: usize, error: CallError) {
        if which == WATCH {
            self.versions.record_failure();
        }
        self.end_call(context, which, error.failure(), error);
    }

    /// Ends a call that has failed so, and tells when the next one goes out.
    pub(super) fn end_call(
        &mut self,
        context: &mut Context,
        which: usize,
        failure: CallFailure,
        error: CallError,
    ) {
        let call = &mut self.calls[which];
        call.connection = None;
        call.in_flight = false;
        let sent_ms_ago = context.now.saturating_sub(call.started_at) / MILLI;
        let wait_ms = call.max_wait / MILLI;
        warn!(context.log, "discovery call failed"; "watch" => which == WATCH, "why" => error.to_string(),
            "sent_ms_ago" => sent_ms_ago, "wait_ms" => wait_ms);
        if which == WATCH {
            self.watching = false;
            let next = self.staleness.record_failure(context.now, failure);
            self.next_watch_at = Some(next);
            context.stale_window = self.staleness.stale_window();
            if next <= context.now {
                self.watch(context);
            }
        }
        // Nothing else tells the decision module when to poll again.
        if which == POLL {
            context.events.push(Event::EndpointsUpdated {
                kind: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            });
        }
    }

    /// The watch has been silent beyond its wait: it is kept until the call in its place is answered.
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
