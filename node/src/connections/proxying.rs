//! Open connections: lines are proxied both ways until one side ends. Owns which lines wait for an answer,
//! and notices a host that no longer answers. Must never read more than it can pass on.

use super::connection::{Connection, Stage};
use super::host_connection::{HostConnection, MessageRecorder};
use super::relay::RelayStatus;
use super::Connections;
use crate::context::{Context, MAX_MIGRATION_WAIT};
use crate::operators::counters::CloseReason;
use reedferry::{AttemptOutcome, Event, Nanos, MILLI, SECOND};
use slog::{info, warn};

/// How long a client's line may go unanswered before its host counts as silent. With
/// [`MAX_MIGRATION_WAIT`], which a migration waits for the end of a line, it has to stay under the seven seconds
/// within which the client of such a host is migrated.
const HOST_SILENCE_TIMEOUT: Nanos = 4500 * MILLI;
/// For how long a client that has ended its sending still gets what its host sends.
const HALF_CLOSED_TIMEOUT: Nanos = 2 * SECOND;

/// How far the two directions of a connection have got.
struct TransferStatus {
    to_client: RelayStatus,
    to_host: RelayStatus,
}

impl Connection {
    /// What the end of the connection by its host is reported as.
    fn host_close_outcome(&self) -> AttemptOutcome {
        let statements = self.host_connection.as_ref().map(|host| &host.statements);
        let bye = statements.is_some_and(|said| said.bye);
        let migrating = statements.is_some_and(|said| said.migrating);
        match (bye, migrating, self.client_finished_at) {
            (true, ..) => AttemptOutcome::Completed,
            (_, false, None) => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Cancelled,
        }
    }

    /// What a break of the host's connection is reported as.
    fn host_break_outcome(&self) -> AttemptOutcome {
        let host = self.host_connection.as_ref();
        if host.is_some_and(|host| host.statements.bye) {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::ConnectionLost
        }
    }

    /// Moves the client's lines to its host, as far as the sockets allow.
    pub(super) fn transfer_to_host(&mut self, context: &Context) -> Option<RelayStatus> {
        let client = self.client.as_mut()?;
        let host = self.host_connection.as_mut()?;
        if self.client_finished_at.is_some() {
            return Some(RelayStatus::Idle);
        }
        let unanswered_lines = &mut self.unanswered_lines;
        let record_line = |_| unanswered_lines.push_back(context.now);
        let relay = &mut self.to_host;
        Some(relay.transfer(&context.pool, client, &mut host.peer, record_line))
    }

    /// Moves lines both ways, as far as the sockets allow.
    fn transfer_lines(&mut self, context: &mut Context) -> Option<TransferStatus> {
        let to_host = self.transfer_to_host(context)?;
        let client = self.client.as_mut()?;
        let host = self.host_connection.as_mut()?;
        let unanswered_lines = &mut self.unanswered_lines;
        let mut recorder = MessageRecorder {
            id: self.incoming.id,
            host: host.host,
            now: context.now,
            statements: &mut host.statements,
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

    /// The client has ended its sending, and its host is told so.
    fn finish_client(&mut self, now: Nanos) {
        if let Some(host) = &self.host_connection {
            host.peer.socket.shutdown_write();
        }
        self.client_finished_at = Some(now);
    }
}

impl Connections {
    /// Proxies lines both ways, and ends the one side as the other ended.
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
                info!(context.log, "connection aborted"; "why" => "a host's line that is too long");
                self.detach_host(context, slot, AttemptOutcome::ConnectionLost);
                return self.remove(context, slot, CloseReason::Malformed);
            }
            (RelayStatus::ReceiverBroken, _) | (_, RelayStatus::SenderBroken) => {
                return self.reset_both(context, slot);
            }
            (_, RelayStatus::Malformed) => {
                info!(context.log, "connection aborted"; "why" => "a client's line that is too long");
                return self.reset_both(context, slot);
            }
            (_, RelayStatus::Finished) => connection.finish_client(context.now),
            // The host reads no more: what it still sends, or its end, goes to the client.
            (_, RelayStatus::ReceiverBroken) => connection.to_host.buffer = None,
            (RelayStatus::MoreToDo, _) | (_, RelayStatus::MoreToDo) => self.runnable.push(slot),
            (RelayStatus::LocalResources, _) | (_, RelayStatus::LocalResources) => {
                self.retry_soon(context, slot);
            }
            _ => {}
        }
        self.try_migrate(context, slot);
    }

    /// The client's connection broke: its host's is reset in turn.
    fn reset_both(&mut self, context: &mut Context, slot: usize) {
        if let Some(host) = self.detach_host(context, slot, AttemptOutcome::Cancelled) {
            host.peer.socket.reset();
        }
        self.remove(context, slot, CloseReason::ClientBroke);
    }

    /// Reports how an open connection ended, and takes its host's side off.
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

    /// Looks after an open connection: its host may be silent, its client half closed, a migration due.
    pub(super) fn check_open_connection(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let connection = &mut self.slab[slot];
        let oldest_line = connection.unanswered_lines.front();
        let silent = oldest_line.is_some_and(|&at| now >= at + HOST_SILENCE_TIMEOUT);
        if silent && connection.migrate_by.is_none() {
            // One turn takes in no more than what is before it: without this, a host would be taken for
            // silent while its answer lies unread.
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

    /// Has the client migrated whose host leaves its line unanswered.
    fn check_host_silence(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let connection = &mut self.slab[slot];
        let (Some(&sent_at), Some(host_connection)) = (
            connection.unanswered_lines.front(),
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
        // Without this, a host that answers all others would be ejected for one connection.
        connection.migration_outcome = if context.hosts.has_answered_since(host, sent_at) {
            AttemptOutcome::Cancelled
        } else {
            AttemptOutcome::ConnectionLost
        };
    }
}
