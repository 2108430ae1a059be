//! Handling of complete responses: applies the list, and schedules the next watch.

use super::{DiscoveryClient, IMMEDIATE_ANSWER_TIME, SILENT_WATCH, WATCH};
use crate::context::Context;
use crate::discovery::call::{CallError, DiscoveryCall};
use crate::discovery::hosts::ListSource;
use crate::discovery::list::EndpointList;
use crate::discovery::start_times::ClaimSource;
use crate::discovery::versions::Freshness;
use reedferry::{EndpointUpdate, Event, Nanos};
use slog::{info, warn};

impl DiscoveryClient {
    /// Handles a complete response.
    pub(super) fn on_answer(&mut self, context: &mut Context, slot: usize) {
        let call = &mut self.calls[slot];
        if call.response.closes_connection {
            call.connection = None;
        }
        if call.response.status != 200 {
            let status = call.response.status;
            return self.on_rejected(context, slot, status);
        }
        call.in_flight = false;
        let list = match std::mem::take(&mut call.reader).finish() {
            Ok(list) => list,
            Err(error) => return self.on_failed(context, slot, CallError::List(error)),
        };
        let (started_at, max_wait) = (call.started_at, call.max_wait);
        let has_news = !list.members.is_empty();
        if !self.apply_list(context, slot, list) {
            return self.on_failed(context, slot, CallError::RevisionRegressed);
        }
        self.staleness
            .record_latency(context.now, started_at, max_wait);
        if slot != WATCH {
            self.staleness.record_late_answer(started_at);
            return self.extend_watch_deadline(context);
        }
        if !self.watching {
            info!(context.log, "watch begun"; "at" => %self.address, "revision" => self.revision());
        }
        self.watching = true;
        self.calls[SILENT_WATCH] = DiscoveryCall::default();
        self.staleness.record_answer(context.now);
        context.stale_window = self.staleness.stale_window();
        let next = self
            .staleness
            .next_watch_at(context.now, started_at, max_wait, has_news);
        if next > context.now {
            self.next_watch_at = Some(next);
            return;
        }
        self.send_call(context, WATCH, self.staleness.watch_wait());
    }

    /// Applies what the answer to another call has shown of the service to the deadline of the watch and to the
    /// stale window.
    fn extend_watch_deadline(&mut self, context: &mut Context) {
        let watch = &mut self.calls[WATCH];
        if watch.in_flight && !watch.response_begun {
            let deadline = self
                .staleness
                .silence_deadline(watch.started_at, watch.max_wait);
            watch.deadline = watch.deadline.max(deadline);
        }
        context.stale_window = self.staleness.stale_window();
    }

    /// Returns how the plausibility of start times is judged in the answer to a call that has just arrived.
    fn claim_source(&self, slot: usize, now: Nanos) -> ClaimSource {
        let call = &self.calls[slot];
        let waited =
            call.max_wait > IMMEDIATE_ANSWER_TIME && now > call.started_at + IMMEDIATE_ANSWER_TIME;
        match self.last_list_at {
            None => ClaimSource::FullList,
            // The service answers a waiting call as soon as there is a change.
            Some(_) if waited => ClaimSource::Update { known_until: now },
            Some(known_until) => ClaimSource::Update { known_until },
        }
    }

    /// Applies a list if it is accepted. Returns `false` if it is rejected; a stale list is accepted as one without
    /// changes.
    fn apply_list(&mut self, context: &mut Context, slot: usize, mut list: EndpointList) -> bool {
        let freshness = self
            .versions
            .assess(slot == WATCH, list.revision, list.complete);
        match freshness {
            // Changes with an older revision would make a draining host count as ready again.
            Freshness::Regressed => return false,
            Freshness::Stale => {
                context.events.push(Event::EndpointsUpdated {
                    kind: EndpointUpdate::Delta,
                    endpoints: Vec::new(),
                });
                return true;
            }
            // A service that comes back with an older list doesn't know the latest drains, and without them the
            // draining hosts would get new work. Later changes from the service do count for these hosts.
            Freshness::Older => {
                let kept = context.hosts.keep_drains(&mut list);
                let hosts = list.members.len();
                warn!(context.log, "received an older list"; "revision" => list.revision, "hosts" => hosts, "drains kept" => kept);
            }
            Freshness::Current => {}
        }
        let now = context.now;
        let source = ListSource::Service {
            claims: self.claim_source(slot, now),
            effective_from: self.staleness.effective_from(now),
        };
        self.last_list_at = Some(now);
        let event = context.hosts.apply_list(now, list, source, &context.log);
        context.events.push(event);
        true
    }
}
