//! Attempts, from the connect to a host until the host answers or the attempt fails or times out. This module
//! owns the timers of an attempt and reports its end. It never reports more than one end of an attempt.

use super::connection::{Connection, Stage};
use super::host_connection::{HostConnection, HostReports};
use super::peer_socket::PeerSocket;
use super::protocol::ERROR_LINE;
use super::relay::Relay;
use super::Connections;
use crate::context::{Context, HOST};
use crate::operators::counters::{CloseReason, Counter};
use reedferry::{AttemptOutcome, Event, HostId, Nanos, RequestId, MILLI};
use reedferry_runtime::errors::{classify_connect, ConnectFailure};
use reedferry_runtime::{PollToken, Socket};
use slog::{info, warn};
use std::net::SocketAddr;

/// The number of buffers that new attempts leave free for the answers to clients that are already accepted.
const RESERVED_BUFFERS: usize = 16;

/// The timer that expires when the host connection must be established.
const CONNECT_TIMER: u64 = 0;
/// The timer that expires when the host must have answered.
const ATTEMPT_TIMER: u64 = 1;

impl Connections {
    /// Starts an attempt at `host`. Its request line must be written by `write_by`, and its answer is awaited
    /// until `until`. If the attempt cannot start, reports its end at once.
    pub fn start_attempt(
        &mut self,
        context: &mut Context,
        id: RequestId,
        host: HostId,
        until: Nanos,
        write_by: Nanos,
    ) {
        let awaits_attempt = |c: &Connection| {
            c.stage == Stage::Pending && c.host_connection.is_none() && c.client.is_some()
        };
        let slot = self
            .slot_of(id)
            .filter(|&slot| awaits_attempt(&self.slab[slot]));
        let Some(slot) = slot.filter(|&slot| self.client_still_waits(context, slot)) else {
            // Reports that the request is over. Without this, the decision module would keep the record of a
            // client that left while the host was being chosen.
            return context.events.push(Event::AttemptEnded {
                id,
                attempt: 0,
                host,
                request_over: true,
                ending: AttemptOutcome::NeverSent,
                load_metrics: Vec::new(),
            });
        };
        self.announce_first_attempt(context, slot);
        let connection = &mut self.slab[slot];
        let attempt = connection.attempts;
        connection.attempts += 1;
        let started = match context.hosts.index(host) {
            // The endpoint list may be stale, so the host may be draining without this node knowing it.
            Some(_) if context.stale_window.contains(&context.now) => {
                Err(AttemptOutcome::NeverSent)
            }
            Some(index) => self.connect_to_host(context, slot, index, until, write_by),
            None => Err(AttemptOutcome::ConnectFailed),
        };
        if let Err(ending) = started {
            context.events.push(Event::AttemptEnded {
                id,
                attempt,
                host,
                request_over: false,
                ending,
                load_metrics: Vec::new(),
            });
        }
    }

    /// Starts to connect to a host and sets the timers of the attempt.
    ///
    /// # Errors
    /// Returns the outcome of an attempt that could not be started.
    pub(super) fn connect_to_host(
        &mut self,
        context: &mut Context,
        slot: usize,
        host: usize,
        until: Nanos,
        write_by: Nanos,
    ) -> Result<(), AttemptOutcome> {
        let address = context.hosts.record(host).address;
        let address = address.ok_or(AttemptOutcome::ConnectFailed)?;
        // A client with a request has priority over idle ones, which are closed if descriptors are short.
        self.free_descriptors(context, 1);
        let (socket, connected) = open_socket(context, &address)?;
        let token = context.register(&socket, HOST, slot).map_err(|_| {
            context.record_transient_failure("epoll_ctl");
            AttemptOutcome::NeverSent
        })?;
        let connection = &mut self.slab[slot];
        connection.host_connection = Some(HostConnection {
            peer: PeerSocket {
                socket,
                generation: token.generation,
                readable: false,
                writable: connected,
            },
            host,
            _record_lease: context.hosts.record(host).lease.clone(),
            attempt: connection.attempts.saturating_sub(1),
            started_at: context.now,
            write_by,
            connected,
            request_written: false,
            request_written_at: 0,
            reports: HostReports::default(),
        });
        connection.to_client = Relay::default();
        connection.to_host = Relay::default();
        connection.attempt_timeout = until.saturating_sub(context.now);
        let connect_by = write_by.min(context.now + context.settings.connect_timeout);
        if connect_by < until {
            context.poller.set_timer(connect_by, token, CONNECT_TIMER);
        }
        context.poller.set_timer(until, token, ATTEMPT_TIMER);
        if connected {
            self.runnable.push(slot);
        }
        Ok(())
    }

    /// Cancels an attempt unless the host has answered it.
    pub fn cancel_attempt(&mut self, context: &mut Context, id: RequestId, attempt: u32) {
        let Some(slot) = self.slot_of(id) else { return };
        let connection = &self.slab[slot];
        let in_flight = connection.host_connection.as_ref();
        if connection.stage == Stage::Pending && in_flight.is_some_and(|a| a.attempt == attempt) {
            self.end_attempt(context, slot, AttemptOutcome::Cancelled);
        }
    }

    /// Handles an expired timer of an attempt: times the attempt out unless it has progressed meanwhile.
    pub fn on_timer(&mut self, context: &mut Context, token: PollToken, timer: u64) {
        let slot = token.slot as usize;
        let Some(attempt) = self.attempt_in_flight(slot, token.generation) else {
            return;
        };
        // Checks the socket itself. Without this, a host would be taken for unreachable if its connection was
        // established while this process was stalled or busy.
        if !attempt.connected && attempt.peer.socket.is_connected() {
            attempt.peer.writable = true;
            self.advance_attempt(context, slot);
        }
        let attempt = self
            .slab
            .get(slot)
            .and_then(|connection| connection.host_connection.as_ref())
            .filter(|attempt| attempt.peer.generation == token.generation);
        if attempt.is_some_and(|attempt| timer != CONNECT_TIMER || !attempt.connected) {
            self.on_attempt_timeout(context, slot);
        }
    }

    /// Returns the attempt in a slot, or `None` if its socket is of another generation or its request no
    /// longer waits for an answer.
    fn attempt_in_flight(&mut self, slot: usize, generation: u32) -> Option<&mut HostConnection> {
        let connection = self.slab.get_mut(slot).filter(|c| c.awaits_answer())?;
        let attempt = connection.host_connection.as_mut()?;
        (attempt.peer.generation == generation).then_some(attempt)
    }

    /// Ends the attempt in flight because its time or that of its request is over, unless its answer has
    /// arrived.
    pub(super) fn on_attempt_timeout(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        let Some(attempt) = connection.host_connection.as_ref() else {
            return;
        };
        let generation = attempt.peer.generation;
        if attempt.request_written && context.now <= connection.answer_deadline() {
            // Reads the socket once more, as the answer may have arrived after the poller last reported.
            // Without this, the attempt would fail while its answer lies unread in the socket.
            self.slab[slot].assume_host_readable();
            self.advance_attempt(context, slot);
        }
        if let Some(attempt) = self.attempt_in_flight(slot, generation) {
            let outcome = attempt.timeout_outcome();
            self.end_attempt(context, slot, outcome);
        }
    }

    /// Ends an attempt that has not become an open connection, and reports its outcome.
    pub(super) fn end_attempt(
        &mut self,
        context: &mut Context,
        slot: usize,
        outcome: AttemptOutcome,
    ) {
        let connection = &mut self.slab[slot];
        let Some(attempt) = connection.host_connection.take() else {
            return;
        };
        let record = context.hosts.record(attempt.host);
        let readdressed = record
            .address_changed_at
            .is_some_and(|at| at > attempt.started_at);
        // Does not blame the host for a failed connect to an address that it has left since. Without this, it
        // would be avoided at its new address because nobody answers at the old one.
        let outcome = if readdressed && outcome == AttemptOutcome::ConnectFailed {
            AttemptOutcome::NeverSent
        } else {
            outcome
        };
        connection.to_host = Relay::default();
        connection.to_client = Relay::default();
        connection.host_errors += u32::from(outcome == AttemptOutcome::Error);
        connection.last_failure = Some(outcome);
        connection.line_begun = false;
        if attempt.request_written && !outcome.never_ran() {
            connection
                .may_have_run_since
                .get_or_insert(attempt.request_written_at);
        }
        context.metrics.add(Counter::AttemptEnded(outcome));
        if context.request_lines.allow(context.now) {
            let took = context.now.saturating_sub(attempt.started_at) / MILLI;
            let class = &context.settings.classes[connection.incoming.class];
            info!(context.log, "attempt ended"; "id" => connection.log_id(), "attempt" => attempt.attempt,
                "host" => &record.name, "why" => outcome.as_str(), "ms" => took, "class" => class);
        }
        if connection.stage == Stage::Pending {
            let client_gone = connection.client.is_none();
            context.events.push(Event::AttemptEnded {
                id: connection.incoming.id,
                attempt: attempt.attempt,
                host: record.id,
                request_over: client_gone,
                ending: outcome,
                load_metrics: Vec::new(),
            });
            if client_gone {
                self.remove(context, slot, CloseReason::ClientEnded);
            }
        } else if !outcome.never_ran() {
            self.send_final_answer(context, slot, ERROR_LINE);
        }
    }
}

/// Opens a socket and starts to connect it to a host. Returns the socket and whether it is connected already.
/// Leaves enough descriptors and buffers free to answer the clients that are accepted.
///
/// # Errors
/// Returns the outcome of an attempt that could not be started.
fn open_socket(
    context: &mut Context,
    address: &SocketAddr,
) -> Result<(Socket, bool), AttemptOutcome> {
    let buffers = context.pool.available();
    if !context.budget.has_capacity(1) || buffers < RESERVED_BUFFERS {
        if !context.resource_shortage {
            context.resource_shortage = true;
            let taken = context.budget.in_use();
            warn!(context.log, "out of descriptors or buffers"; "taken" => taken, "buffers" => buffers);
        }
        return Err(AttemptOutcome::NeverSent);
    }
    context
        .budget
        .connect(address)
        .map_err(|error| match classify_connect(error) {
            ConnectFailure::LocalResources => {
                context.record_transient_failure("connect");
                AttemptOutcome::NeverSent
            }
            ConnectFailure::Route => AttemptOutcome::NoRoute,
            ConnectFailure::Peer => AttemptOutcome::ConnectFailed,
        })
}
