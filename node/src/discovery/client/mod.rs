//! The client of the list service: the watch on the endpoint list, and the whole list where that is asked
//! for. Owns the connections to the service. Must never decide which list is believed ([`versions`](crate::discovery::versions)),
//! nor when to call: the decision module asks first, or where changes are pushed the watch is kept up by
//! itself, and once a watch has failed [`WatchStaleness`] tells when. A call that fails ends alone.

mod answers;
mod failures;

use crate::context::{Context, DISCOVERY};
use crate::discovery::call::{CallConnection, CallError, DiscoveryCall, ReadOutcome};
use crate::discovery::staleness::{CallFailure, WatchStaleness};
use crate::discovery::versions::ListVersions;
use reedferry::permission::usable_grace;
use reedferry::{BalancerSettings, Nanos, MILLI, SECOND};
use reedferry_runtime::errors::{classify_connect, ConnectFailure};
use reedferry_runtime::{DescriptorBudget, Readiness};
use slog::warn;
use std::net::SocketAddr;

/// How soon a call over a connection that has served before may break for the other side to have closed it
/// in between.
const IDLE_CLOSE_WINDOW: Nanos = SECOND / 4;
/// How soon a response comes that waits for nothing.
const IMMEDIATE_ANSWER_TIME: Nanos = SECOND / 5;

/// The call that waits for changes.
const WATCH: usize = 0;
/// The call for the whole list.
const POLL: usize = 1;
/// A watch that has been silent beyond its wait, until the call in its place has been answered. What it was
/// about to tell counts as told when it is written, or earlier once it is given up.
const SILENT_WATCH: usize = 2;
const ALL: [usize; 3] = [WATCH, POLL, SILENT_WATCH];

/// The client of one list service.
pub struct DiscoveryClient {
    address: SocketAddr,
    /// Descriptors that clients can't use up. Without this, a process that starts in a crowd of idle clients
    /// would hear of no drain.
    budget: DescriptorBudget,
    versions: ListVersions,
    calls: [DiscoveryCall; 3],
    /// Whether the last watch was answered.
    watching: bool,
    /// When this service's last list came.
    last_list_at: Option<Nanos>,
    staleness: WatchStaleness,
    /// When the watch goes out without being asked for.
    next_watch_at: Option<Nanos>,
    /// Whether it was logged that the list may be stale.
    reported_stale: bool,
}

impl DiscoveryClient {
    /// A client that knows the list up to this revision.
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
            budget: context.budget.split_off(ALL.len()),
            versions: ListVersions::new(revision),
            calls: Default::default(),
            watching: false,
            last_list_at: None,
            staleness: WatchStaleness::new(balancer_settings, grace, now),
            next_watch_at: Some(0).filter(|_| !balancer_settings.endpoints_are_polled),
            reported_stale: false,
        }
    }

    /// Switches to the service at another address, at once and from its whole list on: versions are each
    /// service's own. Without that, a node would follow a service which has been replaced, or wait for the
    /// new one to pass a version of the old.
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

    /// Goes by other settings from the next call on.
    pub fn update_settings(&mut self, balancer_settings: &BalancerSettings, drain_grace: Nanos) {
        self.staleness
            .update_settings(balancer_settings, usable_grace(drain_grace));
        if self.staleness.is_pushed() && !self.calls[WATCH].in_flight {
            self.next_watch_at.get_or_insert(0);
        }
    }

    /// The version reached.
    pub fn revision(&self) -> Option<u64> {
        self.versions.known()
    }

    /// Reads what has arrived, whether or not the poller has reported it yet.
    pub fn read_all(&mut self, context: &mut Context) {
        for which in ALL {
            self.read(context, which);
        }
    }

    /// The decision module wants the whole list once.
    pub fn poll(&mut self, context: &mut Context) {
        if !self.calls[POLL].in_flight {
            self.send_call(context, POLL, 0);
        }
    }

    /// The decision module wants to be told of changes from now on.
    pub fn watch(&mut self, context: &mut Context) {
        if self.calls[WATCH].in_flight || self.next_watch_at.is_some_and(|at| context.now < at) {
            return;
        }
        self.watching = false;
        // What was missed since a version that is known comes at once, by the call that then waits on, unless
        // the node may have missed something: a call that waits does not show that the node hears.
        let waits = self.versions.may_long_poll() && !self.staleness.may_have_missed();
        let max_wait = if waits {
            self.staleness.watch_wait()
        } else {
            MILLI
        };
        self.send_call(context, WATCH, max_wait);
    }

    /// Sends a call, which the service may hold back for `max_wait`.
    fn send_call(&mut self, context: &mut Context, which: usize, max_wait: Nanos) {
        // Without a version the whole list comes, which nothing waits for.
        let from = self.versions.known().filter(|_| which == WATCH);
        let max_wait = if from.is_some() { max_wait } else { 0 };
        let path = match from {
            Some(from) => format!("/v1/servers?from={from}&hold_ms={}", max_wait / MILLI),
            None => "/v1/servers".to_string(),
        };
        let request = format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address);
        let call = &mut self.calls[which];
        call.request = request.into_bytes();
        call.in_flight = true;
        call.started_at = context.now;
        call.max_wait = max_wait;
        call.deadline = self.staleness.silence_deadline(context.now, max_wait);
        call.reused = call.connection.is_some();
        if which == WATCH {
            self.next_watch_at = None;
            self.staleness.record_watch_start(context.now, max_wait);
            context.stale_window = self.staleness.stale_window();
        }
        self.start(context, which);
    }

    /// Sends the request from its first byte, over a new connection where none is open.
    fn start(&mut self, context: &mut Context, which: usize) {
        let call = &mut self.calls[which];
        call.restart();
        if call.connection.is_some() {
            return self.write(context, which);
        }
        let opened = self.budget.connect(&self.address).and_then(|(socket, _)| {
            let token = context.register(&socket, DISCOVERY, which)?;
            Ok(CallConnection {
                socket,
                generation: token.generation,
            })
        });
        match opened {
            Ok(connection) => call.connection = Some(connection),
            Err(error) if classify_connect(error) == ConnectFailure::Peer => {
                self.on_failed(context, which, CallError::Connect(error));
            }
            // What this machine is short of says nothing of the service.
            Err(error) => {
                let error = CallError::Connect(error);
                self.end_call(context, which, CallFailure::Rejected, error);
            }
        }
    }

    /// The socket of a call is ready.
    pub fn on_ready(&mut self, context: &mut Context, ready: Readiness) {
        let which = ready.token.slot as usize;
        let generation = ready.token.generation;
        let is_current = |calls: &[DiscoveryCall; 3]| {
            calls
                .get(which)
                .is_some_and(|call| call.has_connection(generation))
        };
        if ready.writable && is_current(&self.calls) {
            self.write(context, which);
        }
        // Writing may have failed and closed it.
        if ready.readable && is_current(&self.calls) {
            self.read(context, which);
        }
    }

    fn write(&mut self, context: &mut Context, which: usize) {
        if let Err(error) = self.calls[which].write() {
            self.on_connection_lost(context, which, error);
        }
    }

    /// Reads all that has arrived.
    fn read(&mut self, context: &mut Context, which: usize) {
        if self.calls[which].connection.is_none() {
            return;
        }
        // Where clients hold all buffers, the list is read when one is free.
        let Some(mut buffer) = context.pool.take() else {
            return;
        };
        loop {
            let body_deadline = self.staleness.body_deadline(context.now);
            match self.calls[which].read(&mut buffer, body_deadline) {
                ReadOutcome::Blocked => return,
                ReadOutcome::More => {}
                // A call that began at once over the same connection reads on when there is more.
                ReadOutcome::Complete => self.on_answer(context, which),
                ReadOutcome::CompleteAtClose => return self.on_answer(context, which),
                ReadOutcome::Rejected(status) => return self.on_rejected(context, which, status),
                ReadOutcome::ConnectionLost(error) => {
                    return self.on_connection_lost(context, which, error);
                }
                ReadOutcome::Malformed(error) => return self.on_failed(context, which, error),
            }
        }
    }

    /// Ends calls that nothing answers, and sends the watch where that is due.
    pub fn sweep(&mut self, context: &mut Context) {
        for which in ALL {
            // What arrived, or was to go, while this machine was short of a buffer or of memory.
            self.write(context, which);
            self.read(context, which);
            let call = &self.calls[which];
            if !call.in_flight || context.now < call.deadline {
                continue;
            }
            if which == WATCH && !call.response_begun {
                self.on_watch_silent(context);
            } else {
                self.on_failed(context, which, CallError::Timeout);
            }
        }
        self.staleness.record_awake(context.now);
        let watch_due = self.next_watch_at.is_some_and(|at| context.now >= at);
        if watch_due && !self.calls[WATCH].in_flight {
            self.watch(context);
        }
        let stale = context.stale_window.contains(&context.now);
        if stale != std::mem::replace(&mut self.reported_stale, stale) {
            warn!(context.log, "list not heard in time"; "nothing new to hosts" => stale);
        }
    }
}
