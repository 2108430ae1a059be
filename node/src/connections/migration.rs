//! Migrates clients: tells the client of an open connection to connect elsewhere. Never interrupts a line
//! that is being sent to the client.

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
    /// Forwards to the host what has arrived from the client, even if the poller has not reported it. Returns
    /// whether nothing is left to forward, either because the host has it all or because one side has ended
    /// or broken.
    fn forward_pending_input(&mut self, context: &mut Context) -> bool {
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
    /// Starts the migration of a client. It completes once the connection is between two lines.
    pub fn migrate(&mut self, context: &mut Context, id: RequestId) {
        let Some(slot) = self.slot_of(id) else { return };
        let connection = &mut self.slab[slot];
        if connection.stage == Stage::Open && connection.migrate_by.is_none() {
            connection.migrate_by = Some(context.now + MAX_MIGRATION_WAIT);
            connection.migration_outcome = AttemptOutcome::Cancelled;
            self.try_migrate(context, slot);
        }
    }

    /// Completes a pending migration once the connection is between two lines and the host has all that the
    /// client sent. Waits until `migrate_by` for the end of a line that the client has begun.
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
        // Forwards the client's input first. Without this, a line that the client sent before it is told to
        // connect elsewhere would reach no host.
        let all_forwarded = connection.forward_pending_input(context);
        let to_client = &connection.to_client;
        let all_sent = to_client.buffer.as_ref().is_none_or(Buffer::is_empty);
        if !all_sent || !to_client.scanner.between_lines() {
            return;
        }
        let is_complete = all_forwarded && connection.to_host.scanner.between_lines();
        if !is_complete && context.now < migrate_by {
            return;
        }
        let outcome = connection.migration_outcome;
        self.detach_host(context, slot, outcome);
        self.send_final_answer(context, slot, MOVE_LINE);
    }

    /// Continues a pending migration, and migrates any client once the node must be empty. Closes the
    /// connection if the migration is overdue because the host stopped in the middle of a line.
    pub(super) fn check_migration(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let empty_deadline = context.empty_deadline();
        if now >= empty_deadline {
            // Migrates without waiting for the end of the client's line. This works unless the host is in the
            // middle of a line.
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
        let overdue = |deadline: Nanos| now >= (deadline + LINGER_TIMEOUT).min(empty_deadline);
        if connection.migrate_by.is_some_and(overdue) {
            self.detach_host(context, slot, AttemptOutcome::ConnectionLost);
            return self.remove(context, slot, CloseReason::HostStalled);
        }
        self.try_migrate(context, slot);
    }
}
