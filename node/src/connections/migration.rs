//! Migration: a client of an open connection is told to connect elsewhere. Must never cut into a line that
//! the client is being sent.

use super::closing::LINGER_TIMEOUT;
use super::connection::{Connection, Stage};
use super::protocol::MOVE_LINE;
use super::relay::RelayStatus;
use super::Connections;
use crate::context::{Context, MAX_MIGRATION_WAIT};
use crate::operators::counters::CloseReason;
use reedferry::{AttemptOutcome, Nanos, RequestId};
use reedferry_runtime::Buffer;

impl Connection {
    /// Passes on to the host what has come from the client, reported by the poller or not. Returns whether the
    /// host has all of it, as far as its connection goes on.
    fn pass_on_arrived(&mut self, context: &mut Context) -> bool {
        self.assume_client_readable();
        let status = self.transfer_to_host(context).unwrap_or(RelayStatus::Idle);
        match status {
            RelayStatus::Idle => self.to_host.buffer.as_ref().is_none_or(Buffer::is_empty),
            RelayStatus::MoreToDo | RelayStatus::LocalResources => false,
            RelayStatus::Finished
            | RelayStatus::SenderBroken
            | RelayStatus::ReceiverBroken
            | RelayStatus::Malformed => true,
        }
    }
}

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

    /// Tells a client that is to be migrated so, once its connection stands between two lines and its host has
    /// all that it sent. A line that the client has begun is waited for until the migration is due.
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
        // Without this, a line that the client sent before it is told to go would reach no host.
        let all_passed_on = connection.pass_on_arrived(context);
        let to_client = &connection.to_client;
        let all_sent = to_client.buffer.as_ref().is_none_or(Buffer::is_empty);
        if !all_sent || !to_client.scanner.between_lines() {
            return;
        }
        let is_complete = all_passed_on && connection.to_host.scanner.between_lines();
        if !is_complete && context.now < migrate_by {
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
