//! The client of the list service, which owns the connections to it. It keeps a watch on the endpoint list, and polls
//! the full list on request. Which lists are accepted is decided in [`versions`](crate::discovery::versions). The
//! balancer requests the first call; if changes are pushed, the client renews the watch by itself. After a watch has
//! failed, [`WatchStaleness`] decides when the next one is sent. The failure of one call doesn't affect the others.

mod answers;
mod failures;

use crate::context::{Context, DISCOVERY};
use crate::discovery::call::{CallConnection, CallError, DiscoveryCall, ReadOutcome};
use crate::discovery::staleness::{CallFailure, WatchStaleness};
use crate::discovery::versions::ListVersions;
use reedferry::permission::usable_grace;
use reedferry::{BalancerSettings, Nanos, MILLI, SECOND};
use reedferry_runtime::errors::{classify_connect, ConnectFailure};
use reedferry_runtime::{DescriptorBudget, PollToken, Readiness};
use slog::warn;
use std::net::SocketAddr;

/// The time within which a call over a reused connection has to break for the connection to count as closed by the
/// service while it was idle.
const IDLE_CLOSE_WINDOW: Nanos = SECOND / 4;
/// The time within which an answer counts as immediate. A later one has waited for a change.
const IMMEDIATE_ANSWER_TIME: Nanos = SECOND / 5;

/// The maximum number of buffers that are read of one call in a turn, which is the list of some eight hundred hosts.
const MAX_READS_PER_TURN: usize = 16;

/// The slot of the call that waits for changes.
const WATCH: usize = 0;
/// The slot of the call for the full list.
const POLL: usize = 1;
/// The slot of a watch that has been silent beyond its wait, which is kept until its replacement has been answered.
/// A change in a late answer to it counts as delivered when the service has written it, or earlier once the connection
/// is closed.
const SILENT_WATCH: usize = 2;
const ALL_CALLS: [usize; 3] = [WATCH, POLL, SILENT_WATCH];

/// The client of one list service.
pub struct DiscoveryClient {
    address: SocketAddr,
    /// Descriptors that are reserved for these connections. Otherwise a process that starts among many idle clients
    /// could run out of descriptors and learn of no drain.
    budget: DescriptorBudget,
    versions: ListVersions,
    calls: [DiscoveryCall; 3],
    /// Whether the last watch was answered.
    watching: bool,
    /// When the last list of this service arrived; `None` before the first.
    last_list_at: Option<Nanos>,
    staleness: WatchStaleness,
    /// When the watch is sent without a request from the balancer; `None` if it is not scheduled.
    next_watch_at: Option<Nanos>,
    /// Whether the list was last logged as possibly stale.
    reported_stale: bool,
}

impl DiscoveryClient {
    /// Creates a client that knows the list up to this revision, or no list if it is `None`.
    pub fn new(
        address: SocketAddr,
        revision: Option<u64>,
        balancer_settings: &BalancerSettings,
        drain_grace: Nanos,
        context: &Context,
    ) -> Self {
        let grace = usable_grace(drain_grace);
        let now = context.now;
        DiscoveryClient {
            address,
            budget: context.budget.split_off(ALL_CALLS.len()),
            versions: ListVersions::new(revision),
            calls: Default::default(),
            watching: false,
            last_list_at: None,
            staleness: WatchStaleness::new(balancer_settings, grace, now),
            next_watch_at: Some(0).filter(|_| !balancer_settings.endpoints_are_polled),
            reported_stale: false,
        }
    }

    /// Switches at once to the service at another address and requests its full list, as each service counts
    /// revisions on its own. Otherwise a node would follow a service that has been replaced, or wait for the new one to
    /// pass a revision of the old one.
    pub fn switch_service(&mut self, context: &mut Context, address: SocketAddr) {
        let polled = self.calls[POLL].in_flight;
        self.calls = Default::default();
        self.address = address;
        self.watching = false;
        self.next_watch_at = None;
        self.last_list_at = None;
        self.versions = ListVersions::default();
        self.staleness.record_service_switch(context.now);
        self.send_call(context, WATCH, 0);
        if polled {
            self.send_call(context, POLL, 0);
        }
    }

    /// Applies new settings from the next call on.
    pub fn update_settings(&mut self, balancer_settings: &BalancerSettings, drain_grace: Nanos) {
        self.staleness
            .update_settings(balancer_settings, usable_grace(drain_grace));
        if self.staleness.is_pushed() && !self.calls[WATCH].in_flight {
            self.next_watch_at.get_or_insert(0);
        }
    }

    /// Returns the known revision, or `None` until the service has sent its full list.
    pub fn revision(&self) -> Option<u64> {
        self.versions.known()
    }

    /// Returns the revision of the last list that this service has sent, or `None` before the first.
    pub fn confirmed_revision(&self) -> Option<u64> {
        self.last_list_at.and(self.versions.known())
    }

    /// Reads everything that has arrived, whether or not the poller has reported it yet.
    pub fn read_all(&mut self, context: &mut Context) {
        for slot in ALL_CALLS {
            self.read(context, slot);
        }
    }

    /// Requests the full list once, unless such a call is in flight.
    pub fn poll(&mut self, context: &mut Context) {
        if !self.calls[POLL].in_flight {
            self.send_call(context, POLL, 0);
        }
    }

    /// Sends the watch, unless it is in flight or scheduled for later.
    pub fn watch(&mut self, context: &mut Context) {
        if self.calls[WATCH].in_flight || self.next_watch_at.is_some_and(|at| context.now < at) {
            return;
        }
        self.watching = false;
        // A call with a known revision gets missed changes at once, and otherwise waits for new ones. If the node
        // may have missed something, the call must not wait, as only an answer shows that the connection works.
        let waits = self.versions.may_long_poll() && !self.staleness.may_have_missed();
        let max_wait = if waits {
            self.staleness.watch_wait()
        } else {
            MILLI
        };
        self.send_call(context, WATCH, max_wait);
    }

    /// Sends a call, which the service may hold for up to `max_wait`.
    fn send_call(&mut self, context: &mut Context, slot: usize, max_wait: Nanos) {
        // A call without a revision gets the full list, for which the service doesn't wait.
        let from = self.versions.known().filter(|_| slot == WATCH);
        let max_wait = if from.is_some() { max_wait } else { 0 };
        let path = match from {
            Some(from) => format!("/v1/servers?from={from}&hold_ms={}", max_wait / MILLI),
            None => "/v1/servers".to_string(),
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let call = &mut self.calls[slot];
        call.request = request.into_bytes();
        call.in_flight = true;
        call.started_at = context.now;
        call.max_wait = max_wait;
        call.deadline = self.staleness.silence_deadline(context.now, max_wait);
        call.reused = call.connection.is_some();
        if slot == WATCH {
            self.next_watch_at = None;
            self.staleness.record_watch_start(context.now, max_wait);
            context.stale_window = self.staleness.stale_window();
        }
        self.start(context, slot);
    }

    /// Sends the request from its first byte, over a new connection if none is open.
    fn start(&mut self, context: &mut Context, slot: usize) {
        let call = &mut self.calls[slot];
        call.restart();
        if call.connection.is_some() {
            return self.write(context, slot);
        }
        let opened = self.budget.connect(&self.address).and_then(|(socket, _)| {
            let token = context.register(&socket, DISCOVERY, slot)?;
            Ok(CallConnection::new(socket, token.generation))
        });
        match opened {
            Ok(connection) => call.connection = Some(connection),
            Err(error) if classify_connect(error) == ConnectFailure::Peer => {
                self.on_failed(context, slot, CallError::Connect(error));
            }
            // This machine lacks a resource, which says nothing about the service.
            Err(error) => {
                let error = CallError::Connect(error);
                self.end_call(context, slot, CallFailure::Rejected, error);
            }
        }
    }

    /// Handles readiness of the socket of a call.
    pub fn on_ready(&mut self, context: &mut Context, ready: Readiness) {
        let slot = ready.token.slot as usize;
        let generation = ready.token.generation;
        let is_current = |calls: &[DiscoveryCall; 3]| {
            calls
                .get(slot)
                .is_some_and(|call| call.has_connection(generation))
        };
        if ready.writable && is_current(&self.calls) {
            self.write(context, slot);
        }
        // A failed write may have closed the connection.
        if ready.readable && is_current(&self.calls) {
            self.read(context, slot);
        }
    }

    fn write(&mut self, context: &mut Context, slot: usize) {
        let written = self.calls[slot].write();
        self.report_connected(context, slot);
        if let Err(error) = written {
            self.on_connection_lost(context, slot, error);
        }
    }

    /// Reports a watch's new connection that has come up, which shows that the service is there.
    fn report_connected(&mut self, context: &mut Context, slot: usize) {
        if slot == WATCH && self.calls[slot].has_connected() {
            self.staleness.record_connected(context.now);
            context.stale_window = self.staleness.stale_window();
        }
    }

    /// Reads what has arrived for one call, up to [`MAX_READS_PER_TURN`] buffers. The rest follows in the next turn.
    /// Without the limit, a long answer would hold up all clients until its end.
    fn read(&mut self, context: &mut Context, slot: usize) {
        if self.calls[slot].connection.is_none() {
            return;
        }
        // If all buffers are in use, the next sweep reads once one is free.
        let Some(mut buffer) = context.pool.take() else {
            return;
        };
        for _ in 0..MAX_READS_PER_TURN {
            let body_deadline = self.staleness.body_deadline(context.now);
            let outcome = self.calls[slot].read(&mut buffer, body_deadline);
            self.report_connected(context, slot);
            match outcome {
                ReadOutcome::Blocked => return,
                ReadOutcome::More => {}
                // The next call may have been sent over the same connection, so the loop goes on reading.
                ReadOutcome::Complete => self.on_answer(context, slot),
                ReadOutcome::CompleteAtClose => return self.on_answer(context, slot),
                ReadOutcome::Rejected(status) => return self.on_rejected(context, slot, status),
                ReadOutcome::ConnectionLost(error) => {
                    return self.on_connection_lost(context, slot, error);
                }
                ReadOutcome::Malformed(error) => return self.on_failed(context, slot, error),
            }
        }
        self.report_again(context, slot);
    }

    /// Has the poller report the socket of a call once more, as it reports each arrival only once. If that fails, the next
    /// sweep reads on.
    fn report_again(&self, context: &Context, slot: usize) {
        if let Some(connection) = &self.calls[slot].connection {
            let token = PollToken {
                component: DISCOVERY,
                slot: slot as u32,
                generation: connection.generation,
            };
            _ = context
                .poller
                .update_registration(&connection.socket, token);
        }
    }

    /// Ends calls that have not been answered in time, and sends the watch if it is due.
    pub fn sweep(&mut self, context: &mut Context) {
        for slot in ALL_CALLS {
            // Resumes writes and reads that failed while this machine lacked buffers or memory.
            self.write(context, slot);
            self.read(context, slot);
            let call = &self.calls[slot];
            if !call.in_flight || context.now < call.deadline {
                continue;
            }
            if slot == WATCH && !call.response_begun {
                self.on_watch_silent(context);
            } else {
                self.on_failed(context, slot, CallError::Timeout);
            }
        }
        self.staleness.record_awake(context.now);
        let watch_due = self.next_watch_at.is_some_and(|at| context.now >= at);
        if watch_due && !self.calls[WATCH].in_flight {
            self.watch(context);
        }
        let stale = context.stale_window.contains(&context.now);
        if stale != std::mem::replace(&mut self.reported_stale, stale) {
            warn!(context.log, "endpoint list staleness changed"; "nothing new to hosts" => stale);
        }
    }
}
