//! The steps of an attempt: establish the host connection, write the request line, read the host's answer. No
//! part of a request line is written after its time limit, and its first byte only if
//! [`reedferry::permission`] allows it at that moment.

use super::connection::Stage;
use super::host_connection::MessageRecorder;
use super::protocol::{self, HostMessage};
use super::relay::RelayStatus;
use super::Connections;
use crate::context::Context;
use crate::operators::counters::Counter;
use crate::operators::metrics::RequestOutcome;
use reedferry::permission::{may_continue, may_start, AttemptStart, Refusal};
use reedferry::{AttemptOutcome, Event, Nanos};
use reedferry_runtime::Buffer;

impl Connections {
    /// Advances an attempt as far as its socket allows without blocking.
    pub(super) fn advance_attempt(&mut self, context: &mut Context, slot: usize) {
        if !self.check_connected(context, slot) {
            return;
        }
        match self.check_write_permission(context, slot) {
            Ok(()) if self.write_request(context, slot) => self.read_answer(context, slot),
            Ok(()) => {}
            Err(refusal) => self.abort_unwritten(context, slot, refusal),
        }
    }

    /// Returns whether the host connection is established. Ends the attempt if the connect has failed.
    fn check_connected(&mut self, context: &mut Context, slot: usize) -> bool {
        let Some(connection) = self.slab.get_mut(slot) else {
            return false;
        };
        let Some(attempt) = connection.host_connection.as_mut() else {
            return false;
        };
        if attempt.connected {
            return true;
        }
        if !attempt.peer.writable {
            return false;
        }
        if attempt.peer.socket.connect_result().is_err() {
            self.end_attempt(context, slot, AttemptOutcome::ConnectFailed);
            return false;
        }
        attempt.connected = true;
        true
    }

    /// Checks whether the request line may be begun or continued now. Reads the clock again, as the turn's
    /// reading may be old and the process may have stalled since the host connection was established.
    ///
    /// # Errors
    /// Returns why the request line must not be written.
    fn check_write_permission(
        &mut self,
        context: &mut Context,
        slot: usize,
    ) -> Result<(), Refusal> {
        let connection = &self.slab[slot];
        let Some(attempt) = connection.host_connection.as_ref() else {
            return Ok(());
        };
        if connection.stage != Stage::Pending || attempt.request_written {
            return Ok(());
        }
        let (not_after, host, started_at) = (attempt.write_by, attempt.host, attempt.started_at);
        if connection.to_host.buffer.is_some() {
            return may_continue(context.clock.read(), not_after);
        }
        let attempt_deadline = started_at + connection.attempt_timeout;
        let deadline = attempt_deadline.min(connection.answer_deadline());
        let repeats = connection.may_have_run_since.is_some();
        // Checks the client after reading the clock. The process may stall in between: the time limits leave
        // a margin for that, while an earlier check of the client would be out of date.
        let now = context.clock.read();
        let client_waits = self.client_still_waits(context, slot);
        let record = context.hosts.record(host);
        let changed_since = |at: Option<Nanos>| at.is_some_and(|at| at > started_at);
        may_start(&AttemptStart {
            now,
            deadline,
            not_after,
            client_waits,
            draining_since: record.drain_since,
            drain_grace: context.settings.drain_grace,
            endpoints_stale: context.stale_window.contains(&now),
            host_address_changed: changed_since(record.address_changed_at),
            group_changed: repeats && changed_since(record.group_changed_at),
        })
    }

    /// Ends an attempt whose request line must not be begun or completed, so that the host never runs it.
    fn abort_unwritten(&mut self, context: &mut Context, slot: usize, refusal: Refusal) {
        context.metrics.add(Counter::NotStarted(refusal));
        match refusal {
            // The check of the client has already ended the attempt.
            Refusal::ClientGone => {}
            // The host connection was established too late, or the host is draining.
            Refusal::HostDraining | Refusal::OutsideWindow => {
                self.end_attempt(context, slot, AttemptOutcome::ConnectFailed);
            }
            // The host must not be blamed.
            _ => self.end_attempt(context, slot, AttemptOutcome::NeverSent),
        }
    }

    /// Writes as much of the request line as the socket takes. Returns whether all of it is written.
    fn write_request(&mut self, context: &mut Context, slot: usize) -> bool {
        let Some(connection) = self.slab.get_mut(slot) else {
            return false;
        };
        let Some(attempt) = connection.host_connection.as_mut() else {
            return false;
        };
        if attempt.request_written {
            return true;
        }
        if connection.to_host.buffer.is_none() {
            let (Some(request_line), Some(mut buffer)) =
                (connection.request_line.as_ref(), context.pool.take())
            else {
                self.end_attempt(context, slot, AttemptOutcome::NeverSent);
                return false;
            };
            let deadline = attempt.started_at + connection.attempt_timeout;
            let time_left = deadline.saturating_sub(context.now);
            let mut digits = String::new();
            let line = &request_line.unsent()[..connection.request_line_length];
            for piece in protocol::forwarded_line(line, time_left, &mut digits) {
                buffer.append(piece);
            }
            connection.to_host.buffer = Some(buffer);
            connection.line_begun = true;
        }
        match connection.to_host.write_to(&mut attempt.peer) {
            RelayStatus::Finished => {}
            RelayStatus::Idle => return false,
            RelayStatus::LocalResources => {
                context.record_transient_failure("send");
                self.retry_soon(context, slot);
                return false;
            }
            _ => {
                self.end_attempt(context, slot, AttemptOutcome::ConnectFailed);
                return false;
            }
        }
        attempt.request_written = true;
        attempt.request_written_at = context.now;
        context.metrics.record_attempt();
        if let Some(reason) = connection.last_failure {
            let class = &context.settings.classes[connection.incoming.class];
            context.metrics.record_retry(class, reason);
        }
        self.check_attempt(context, slot);
        true
    }

    /// Reads the host's first line, which is its answer, and opens the connection or ends the attempt.
    fn read_answer(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let Some(attempt) = connection.host_connection.as_mut() else {
            return;
        };
        let to_client = &mut connection.to_client;
        let mut messages = Vec::new();
        while attempt.peer.readable && messages.is_empty() {
            let status = to_client.read_from(&context.pool, &mut attempt.peer, &mut |message| {
                messages.push(message);
            });
            match status {
                RelayStatus::Idle if to_client.finished && messages.is_empty() => {
                    return self.end_attempt(context, slot, AttemptOutcome::ConnectionLost);
                }
                RelayStatus::Idle => {}
                RelayStatus::LocalResources => return self.retry_soon(context, slot),
                RelayStatus::Malformed => {
                    return self.end_attempt(context, slot, AttemptOutcome::Error);
                }
                _ => return self.end_attempt(context, slot, AttemptOutcome::ConnectionLost),
            }
        }
        let Some((answer, rest)) = messages.split_first() else {
            if to_client.buffer.as_ref().is_some_and(Buffer::is_empty) {
                to_client.buffer = None;
            }
            return;
        };
        let outcome = match answer {
            HostMessage::Accepted => return self.open_connection(context, slot, rest),
            HostMessage::Busy => AttemptOutcome::Rejected,
            HostMessage::Migrate => AttemptOutcome::Cancelled,
            _ => AttemptOutcome::Error,
        };
        self.end_attempt(context, slot, outcome);
    }

    /// Opens the connection after the host has accepted the request, and starts to proxy lines in both
    /// directions. `messages` are the lines that came together with the answer. Without them, a load report
    /// sent right after the answer would be lost.
    fn open_connection(&mut self, context: &mut Context, slot: usize, messages: &[HostMessage]) {
        let connection = &mut self.slab[slot];
        let Some(host_connection) = connection.host_connection.as_mut() else {
            return;
        };
        if connection.client.is_none() {
            return self.end_attempt(context, slot, AttemptOutcome::Cancelled);
        }
        let id = connection.incoming.id;
        let host = context.hosts.record(host_connection.host).id;
        context.events.push(if connection.stage == Stage::Pending {
            let stalls = &context.hosts.stalls;
            let visible_since = stalls.adjusted_start(host_connection.started_at, context.now);
            Event::ConnectionEstablished {
                id,
                took: context.now - visible_since,
            }
        } else {
            Event::ConnectionFound(connection.incoming, host)
        });
        connection.stage = Stage::Open;
        context.metrics.record_outcome(
            &context.settings.classes[connection.incoming.class],
            RequestOutcome::Served,
        );
        let mut recorder = MessageRecorder {
            id,
            host: host_connection.host,
            now: context.now,
            reports: &mut host_connection.reports,
            unanswered_lines: &mut connection.unanswered_lines,
            events: &mut context.events,
            hosts: &mut context.hosts,
        };
        for message in messages {
            recorder.record(*message);
        }
        connection.request_line = None;
        self.relay_lines(context, slot);
    }
}
