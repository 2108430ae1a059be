//! Open connections: proxies lines in both directions until one side ends. This module tracks which client
//! lines wait for an answer and detects a host that no longer answers. It never reads more than it can
//! forward.

use super::connection::{Connection, Stage};
use super::host_connection::{HostConnection, MessageRecorder};
use super::relay::RelayStatus;
use super::Connections;
use crate::context::{Context, MAX_MIGRATION_WAIT};
use crate::operators::counters::CloseReason;
use reedferry::{AttemptOutcome, Event, Nanos, MILLI, SECOND};
use slog::{info, warn};

/// How long a client's line may stay unanswered before its host counts as silent. Together with
/// [`MAX_MIGRATION_WAIT`], for which a migration waits for the end of a line, it must stay under seven
/// seconds: within that time, the client of a silent host has to be migrated.
const HOST_SILENCE_TIMEOUT: Nanos = 4500 * MILLI;
/// How long a client that has half-closed its connection still receives what its host sends.
const HALF_CLOSED_TIMEOUT: Nanos = 2 * SECOND;

/// The results of a transfer in both directions of a connection.
struct TransferStatus {
    to_client: RelayStatus,
    to_host: RelayStatus,
}

impl Connection {
    /// Returns the outcome to report if the host has closed the connection in order.
    fn host_close_outcome(&self) -> AttemptOutcome {
        let reports = self.host_connection.as_ref().map(|host| &host.reports);
        let bye = reports.is_some_and(|reports| reports.bye);
        let migrating = reports.is_some_and(|reports| reports.migrating);
        match (bye, migrating, self.client_finished_at) {
            (true, ..) => AttemptOutcome::Completed,
            (_, false, None) => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Cancelled,
        }
    }

    /// Returns the outcome to report if the host connection broke.
    fn host_break_outcome(&self) -> AttemptOutcome {
        let host = self.host_connection.as_ref();
        if host.is_some_and(|host| host.reports.bye) {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::ConnectionLost
        }
    }

    /// Copies bytes from the client to its host as far as the sockets allow. Returns `None` if either is
    /// gone.
    pub(super) fn transfer_to_host(&mut self, context: &Context) -> Option<RelayStatus> {
        let client = self.client.as_mut()?;
        let host = self.host_connection.as_mut()?;
        if self.client_finished_at.is_some() {
            return Some(RelayStatus::Idle);
        }
        let unanswered_lines = &mut self.unanswered_lines;
        let receipt = &mut self.receipt;
        let record_line = |_| {
            unanswered_lines.push(context.now);
            // A client sends its second line after it has read the answer to the first one.
            receipt.receive();
        };
        let relay = &mut self.to_host;
        Some(relay.transfer(&context.pool, client, &mut host.peer, record_line))
    }

    /// Copies bytes in both directions as far as the sockets allow. Returns `None` if either side is gone.
    fn transfer_lines(&mut self, context: &mut Context) -> Option<TransferStatus> {
        let to_host = self.transfer_to_host(context)?;
        let client = self.client.as_mut()?;
        let host = self.host_connection.as_mut()?;
        let unanswered_lines = &mut self.unanswered_lines;
        let mut recorder = MessageRecorder {
            id: self.incoming.id,
            host: host.host,
            now: context.now,
            reports: &mut host.reports,
            unanswered_lines,
            events: &mut context.events,
            hosts: &mut context.hosts,
        };
        let to_client = self
            .to_client
            .transfer(&context.pool, &mut host.peer, client, |message| {
                recorder.record(message);
            });
        Some(TransferStatus { to_client, to_host })
    }

    /// Records that the client has half-closed its connection, and half-closes that of the host likewise.
    fn propagate_half_close(&mut self, now: Nanos) {
        if let Some(host) = &self.host_connection {
            host.peer.socket.shutdown_write();
        }
        self.on_client_finished();
        self.client_finished_at = Some(now);
    }
}

impl Connections {
    /// Proxies lines in both directions. If one side has ended or broken, ends the other in the same way.
    pub(super) fn relay_lines(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let Some(status) = connection.transfer_lines(context) else {
            return;
        };
        match (status.to_client, status.to_host) {
            (RelayStatus::Finished, _) => {
                let outcome = connection.host_close_outcome();
                self.detach_host(context, slot, outcome);
                return self.begin_close(context, slot);
            }
            (RelayStatus::SenderBroken, _) => {
                let outcome = connection.host_break_outcome();
                self.detach_host(context, slot, outcome);
                return self.remove(context, slot, CloseReason::HostBroke);
            }
            (RelayStatus::Malformed, _) => {
                info!(context.log, "connection aborted"; "why" => "host line longer than 4096 bytes");
                self.detach_host(context, slot, AttemptOutcome::ConnectionLost);
                return self.remove(context, slot, CloseReason::Malformed);
            }
            (RelayStatus::ReceiverBroken, _) | (_, RelayStatus::SenderBroken) => {
                return self.reset_both(context, slot);
            }
            (_, RelayStatus::Malformed) => {
                info!(context.log, "connection aborted"; "why" => "client line longer than 4096 bytes");
                return self.reset_both(context, slot);
            }
            (_, RelayStatus::Finished) => connection.propagate_half_close(context.now),
            // The host no longer reads. The client still receives what the host sends, until the host closes.
            (_, RelayStatus::ReceiverBroken) => connection.to_host.buffer = None,
            (RelayStatus::MoreToDo, _) | (_, RelayStatus::MoreToDo) => self.runnable.push(slot),
            (RelayStatus::LocalResources, _) | (_, RelayStatus::LocalResources) => {
                self.retry_soon(context, slot);
            }
            _ => {}
        }
        self.report_received_answer(slot);
        self.try_migrate(context, slot);
    }

    /// Resets both sides after the client's connection broke or the client sent a line that is too long.
    fn reset_both(&mut self, context: &mut Context, slot: usize) {
        if let Some(host) = self.detach_host(context, slot, AttemptOutcome::Cancelled) {
            host.peer.socket.reset();
        }
        self.remove(context, slot, CloseReason::ClientBroke);
    }

    /// Reports the outcome of an open connection, and removes and returns its host connection. Returns `None`
    /// if it has been removed before.
    pub(super) fn detach_host(
        &mut self,
        context: &mut Context,
        slot: usize,
        outcome: AttemptOutcome,
    ) -> Option<HostConnection> {
        let connection = &mut self.slab[slot];
        let host_connection = connection.host_connection.take()?;
        context.events.push(Event::AttemptEnded {
            id: connection.incoming.id,
            attempt: host_connection.attempt,
            host: context.hosts.record(host_connection.host).id,
            request_over: true,
            ending: outcome,
            load_metrics: Vec::new(),
        });
        Some(host_connection)
    }

    /// Checks the time limits of an open connection: of a silent host, a half-closed client and a pending
    /// migration.
    pub(super) fn check_open_connection(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let connection = &mut self.slab[slot];
        let oldest_line = connection.unanswered_lines.oldest();
        let silent = oldest_line.is_some_and(|at| now >= at + HOST_SILENCE_TIMEOUT);
        if silent && connection.migrate_by.is_none() {
            // Reads the host's socket once more, as its answer may have arrived after the poller last
            // reported. Without this, a host would be taken for silent while its answer lies unread.
            connection.assume_host_readable();
            self.relay_lines(context, slot);
        }
        let Some(connection) = self.slab.get_mut(slot).filter(|c| c.stage == Stage::Open) else {
            return;
        };
        if connection.host_connection.is_none() {
            return;
        }
        let finished_at = connection.client_finished_at;
        if finished_at.is_some_and(|at| now >= at + HALF_CLOSED_TIMEOUT) {
            self.detach_host(context, slot, AttemptOutcome::Cancelled);
            return self.remove(context, slot, CloseReason::ClientEnded);
        }
        self.check_host_silence(context, slot);
        self.check_migration(context, slot);
    }

    /// Starts the migration of the client if its host has been silent for too long.
    fn check_host_silence(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let connection = &mut self.slab[slot];
        let (Some(sent_at), Some(host_connection)) = (
            connection.unanswered_lines.oldest(),
            connection.host_connection.as_ref(),
        ) else {
            return;
        };
        let host = host_connection.host;
        context.hosts.record_unanswered(host, sent_at, now);
        if now < sent_at + HOST_SILENCE_TIMEOUT || connection.migrate_by.is_some() {
            return;
        }
        warn!(context.log, "host silent"; "host" => &context.hosts.record(host).name);
        connection.migrate_by = Some(now + MAX_MIGRATION_WAIT);
        // Blames the host only if it has answered no later line on any connection. Without this, a host that
        // answers all other clients would be ejected for one connection.
        connection.migration_outcome = if context.hosts.has_answered_since(host, sent_at) {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::ConnectionLost
        };
    }
}
