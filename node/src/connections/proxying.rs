//! An open connection: lines pass both ways until one side ends. It owns what is on its way and which
//! lines wait for an answer. It must never read more than it can pass on, nor send a client away within
//! a line.

use super::attempts::HostConnection;
use super::closing::LINGER_TIMEOUT;
use super::{Connections, Stage};
use crate::connections::relay::RelayStatus;
use crate::context::{Context, LONGEST_MOVE};
use crate::operators::counts::Close;
use reedferry::{AttemptOutcome, Event, Nanos, RequestId, MILLI, SECOND};
use reedferry_runtime::Buffer;
use slog::{info, warn};

/// How long a client's line may go unanswered before its host counts as silent. Under the seven seconds
/// that are allowed with what a move waits for the end of a line. Guards: a client left at a host that
/// stopped in the middle of one.
const HOST_SILENCE_TIMEOUT: Nanos = 4500 * MILLI;
/// How long a client that has ended its sending is still passed what its host has to say.
const HALF_CLOSED_TIMEOUT: Nanos = 2 * SECOND;

impl Connections {
    /// Passes lines both ways, and ends the one side as the other ended.
    pub(super) fn relay_lines(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let (Some(client), Some(landing)) = (
            connection.client.as_mut(),
            connection.host_connection.as_mut(),
        ) else {
            return;
        };
        let (now, host, id) = (context.now, landing.host, connection.incoming.id);

        let asked = &mut connection.unanswered_lines;
        let up = match connection.client_finished_at {
            Some(_) => RelayStatus::Idle,
            None => connection
                .to_host
                .transfer(&context.pool, client, &mut landing.peer, |_| {
                    asked.push_back(now);
                }),
        };
        let (events, hosts) = (&mut context.events, &mut context.hosts);
        let said = &mut landing.statements;
        let down =
            connection
                .to_client
                .transfer(&context.pool, &mut landing.peer, client, |word| {
                    said.record_message(
                        word,
                        (id, host),
                        now,
                        &mut connection.unanswered_lines,
                        (events, hosts),
                    );
                });

        let broke = if landing.statements.bye {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::ConnectionLost
        };
        let ended = match (
            landing.statements.bye,
            landing.statements.migrating,
            connection.client_finished_at,
        ) {
            (true, ..) => AttemptOutcome::Completed,
            (_, false, None) => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Cancelled,
        };
        match (down, up) {
            (RelayStatus::Finished, _) => {
                self.detach_host(context, slot, ended);
                return self.begin_close(context, slot);
            }
            (RelayStatus::SenderBroken, _) => {
                self.detach_host(context, slot, broke);
                return self.remove(context, slot, Close::HostBroke);
            }
            (RelayStatus::Malformed, _) => {
                info!(context.log, "cut off"; "why" => "a host's line that is too long");
                self.detach_host(context, slot, AttemptOutcome::ConnectionLost);
                return self.remove(context, slot, Close::Malformed);
            }
            (RelayStatus::ReceiverBroken, _) | (_, RelayStatus::SenderBroken) => {
                return self.reset_both(context, slot);
            }
            (_, RelayStatus::Malformed) => {
                info!(context.log, "cut off"; "why" => "a client's line that is too long");
                return self.reset_both(context, slot);
            }
            (_, RelayStatus::Finished) => {
                landing.peer.socket.shutdown_write();
                connection.client_finished_at = Some(now);
            }
            // The host takes no more: what it still says, or its end, comes down.
            (_, RelayStatus::ReceiverBroken) => connection.to_host.buffer = None,
            (RelayStatus::MoreToDo, _) | (_, RelayStatus::MoreToDo) => self.runnable.push(slot),
            (RelayStatus::LocalResources, _) | (_, RelayStatus::LocalResources) => {
                self.retry_soon(context, slot)
            }
            _ => {}
        }
        self.try_migrate(context, slot);
    }

    /// The client's connection broke: its host's is reset in turn.
    pub(super) fn reset_both(&mut self, context: &mut Context, slot: usize) {
        if let Some(landing) = self.detach_host(context, slot, AttemptOutcome::Cancelled) {
            landing.peer.socket.reset();
        }
        self.remove(context, slot, Close::ClientBroke);
    }

    /// Tells the module how an open connection ended, and takes its host's side off.
    pub(super) fn detach_host(
        &mut self,
        context: &mut Context,
        slot: usize,
        ending: AttemptOutcome,
    ) -> Option<HostConnection> {
        let connection = &mut self.slab[slot];
        let landing = connection.host_connection.take()?;
        context.events.push(Event::AttemptEnded {
            id: connection.incoming.id,
            attempt: landing.attempt,
            host: context.hosts.record(landing.host).id,
            request_over: true,
            ending,
            load_metrics: Vec::new(),
        });
        Some(landing)
    }

    /// The module wants the client to come again.
    pub fn migrate(&mut self, context: &mut Context, id: RequestId) {
        let Some(slot) = self.slot_of(id) else { return };
        let connection = &mut self.slab[slot];
        if connection.stage == Stage::Open && connection.migrate_by.is_none() {
            connection.migrate_by = Some(context.now + LONGEST_MOVE);
            connection.migration_outcome = AttemptOutcome::Cancelled;
            self.try_migrate(context, slot);
        }
    }

    /// Sends the client away once it stands between two lines.
    pub(super) fn try_migrate(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let Some(by) = connection
            .migrate_by
            .filter(|_| connection.stage == Stage::Open)
        else {
            return;
        };
        let between = connection
            .to_client
            .buffer
            .as_ref()
            .is_none_or(Buffer::is_empty)
            && connection.to_client.scanner.between_lines();
        if !between || (!connection.to_host.scanner.between_lines() && context.now < by) {
            return;
        }
        let ending = connection.migration_outcome;
        self.detach_host(context, slot, ending);
        self.send_final_answer(context, slot, b"MOVE\r\n");
    }

    pub(super) fn check_open_connection(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let connection = &mut self.slab[slot];
        let late = connection
            .unanswered_lines
            .front()
            .is_some_and(|&then| now >= then + HOST_SILENCE_TIMEOUT);
        if late && connection.migrate_by.is_none() {
            // Guards: a host taken for silent whose answer lies unread, as one turn takes in no more than what is before it.
            connection
                .host_connection
                .iter_mut()
                .for_each(|landing| landing.peer.readable = true);
            self.relay_lines(context, slot);
        }
        let Some(connection) = self.slab.get_mut(slot).filter(|c| c.stage == Stage::Open) else {
            return;
        };
        let Some(landing) = connection.host_connection.as_ref() else {
            return;
        };
        if connection
            .client_finished_at
            .is_some_and(|t| now >= t + HALF_CLOSED_TIMEOUT)
        {
            self.detach_host(context, slot, AttemptOutcome::Cancelled);
            return self.remove(context, slot, Close::ClientEnded);
        }
        if let Some(&then) = connection.unanswered_lines.front() {
            context.hosts.unanswered(landing.host, then, now);
            if now >= then + HOST_SILENCE_TIMEOUT && connection.migrate_by.is_none() {
                warn!(context.log, "silent"; "host" => &context.hosts.record(landing.host).name);
                connection.migrate_by = Some(now + LONGEST_MOVE);
                // Guards: a host that answers all others, masked and cut for one connection.
                let alone = context.hosts.answers_since(landing.host, then);
                connection.migration_outcome = if alone {
                    AttemptOutcome::Cancelled
                } else {
                    AttemptOutcome::ConnectionLost
                };
            }
        }
        let empty = context.empty_by();
        if now >= empty {
            // Between two lines, or within one of the client's, it can still be sent away.
            let moving = connection.migrate_by.get_or_insert(now);
            *moving = now.min(*moving);
            self.try_migrate(context, slot);
            if self
                .slab
                .get(slot)
                .is_none_or(|connection| connection.stage != Stage::Open)
            {
                return;
            }
        }
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        if connection
            .migrate_by
            .is_some_and(|by| now >= (by + LINGER_TIMEOUT).min(empty))
        {
            // The host has stopped in the middle of a line, and the client takes no other there.
            self.detach_host(context, slot, AttemptOutcome::ConnectionLost);
            return self.remove(context, slot, Close::HostStalled);
        }
        self.try_migrate(context, slot);
    }
}
