//! What comes of a complete response: which list is believed, and when the next watch goes out.

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
    /// A response is complete.
    pub(super) fn on_answer(&mut self, context: &mut Context, which: usize) {
        let call = &mut self.calls[which];
        if call.response.closes_connection {
            call.connection = None;
        }
        if call.response.status != 200 {
            let status = call.response.status;
            return self.on_rejected(context, which, status);
        }
        call.in_flight = false;
        let list = match std::mem::take(&mut call.reader).finish() {
            Ok(list) => list,
            Err(error) => return self.on_failed(context, which, CallError::List(error)),
        };
        let (started_at, max_wait) = (call.started_at, call.max_wait);
        let has_news = !list.members.is_empty();
        if !self.apply_list(context, which, list) {
            return self.on_failed(context, which, CallError::RevisionRegressed);
        }
        self.staleness
            .record_latency(context.now, started_at, max_wait);
        if which != WATCH {
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

    /// Goes by what the answer to another call has just shown of the service: how long the watch is waited
    /// for, and from when on the list may be stale.
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

    /// What the answer to a call that has just come shows of the time its news is from.
    fn claim_source(&self, which: usize, now: Nanos) -> ClaimSource {
        let call = &self.calls[which];
        let waited =
            call.max_wait > IMMEDIATE_ANSWER_TIME && now > call.started_at + IMMEDIATE_ANSWER_TIME;
        match self.last_list_at {
            None => ClaimSource::FullList,
            // News comes at once to a call that waits for it.
            Some(_) if waited => ClaimSource::Update { known_until: now },
            Some(known_until) => ClaimSource::Update { known_until },
        }
    }

    /// Whether the list counts, if only as no news.
    fn apply_list(&mut self, context: &mut Context, which: usize, mut list: EndpointList) -> bool {
        let freshness = self
            .versions
            .assess(which == WATCH, list.revision, list.complete);
        match freshness {
            // Without this, a draining host would count as ready again by changes from before.
            Freshness::Regressed => return false,
            Freshness::Stale => {
                context.events.push(Event::EndpointsUpdated {
                    kind: EndpointUpdate::Delta,
                    endpoints: Vec::new(),
                });
                return true;
            }
            // Without this, hosts that drain would get new work by a service that came back with an older
            // list. What it says of them as a change from there on is news.
            Freshness::Older => {
                let kept = context.hosts.keep_drains(&mut list);
                let hosts = list.members.len();
                warn!(context.log, "an older list"; "revision" => list.revision, "hosts" => hosts, "drains kept" => kept);
            }
            Freshness::Current => {}
        }
        let now = context.now;
        let source = ListSource::Service {
            claims: self.claim_source(which, now),
            effective_from: self.staleness.effective_from(now),
        };
        self.last_list_at = Some(now);
        let event = context.hosts.apply_list(now, list, source, &context.log);
        context.events.push(event);
        true
    }
}
