//! Migration: a client of an open connection is told to connect elsewhere. Must never cut into a line that
//! the client is being sent.

use super::closing::LINGER_TIMEOUT;
use super::connection::Stage;
use super::protocol::MOVE_LINE;
use super::Connections;
use crate::context::{Context, MAX_MIGRATION_WAIT};
use crate::operators::counters::CloseReason;
use reedferry::{AttemptOutcome, Nanos, RequestId};
use reedferry_runtime::Buffer;

impl Connections {
    /// Has a client connect elsewhere, as soon as its connection stands between two lines.
    pub fn migrate(&mut self, context: &mut Context, id: RequestId) {
        let Some(slot) = self.slot_of(id) else { return };
        let connection = &mut self.slab[slot];
        if connection.stage == Stage::Open && connection.migrate_by.is_none() {
            connection.migrate_by = Some(context.now + MAX_MIGRATION_WAIT);
            connection.migration_outcome = AttemptOutcome::Cancelled;
            self.try_migrate(context, slot);
        }
    }

    /// Tells a client that is to be migrated so, once its connection stands between two lines. A line that
    /// the client has begun is waited for until the migration is due.
    pub(super) fn try_migrate(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        if connection.stage != Stage::Open {
            return;
        }
        let Some(migrate_by) = connection.migrate_by else {
            return;
        };
        let to_client = &connection.to_client;
        let all_sent = to_client.buffer.as_ref().is_none_or(Buffer::is_empty);
        if !all_sent || !to_client.scanner.between_lines() {
            return;
        }
        if !connection.to_host.scanner.between_lines() && context.now < migrate_by {
            return;
        }
        let outcome = connection.migration_outcome;
        self.detach_host(context, slot, outcome);
        self.send_final_answer(context, slot, MOVE_LINE);
    }

    /// Migrates a client that is due to be, also because the node has to be empty. Ends the connection where
    /// the host has stopped in the middle of a line.
    pub(super) fn check_migration(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let empty_deadline = context.empty_deadline();
        if now >= empty_deadline {
            // Between two lines, or within one of the client's, it can still be migrated.
            let migrate_by = self.slab[slot].migrate_by.get_or_insert(now);
            *migrate_by = now.min(*migrate_by);
            self.try_migrate(context, slot);
            let connection = self.slab.get(slot);
            if connection.is_none_or(|connection| connection.stage != Stage::Open) {
                return;
            }
        }
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let overdue = |by: Nanos| now >= (by + LINGER_TIMEOUT).min(empty_deadline);
        if connection.migrate_by.is_some_and(overdue) {
            self.detach_host(context, slot, AttemptOutcome::ConnectionLost);
            return self.remove(context, slot, CloseReason::HostStalled);
        }
        self.try_migrate(context, slot);
    }
}
