//! The deadlines by which a process that stops or enters standby must have migrated its clients.

use super::Context;
use reedferry::{Event, Nanos, MILLI, SECOND};
use slog::{info, warn};

/// How long after the signal to stop, or the start of standby, new clients still arrive.
const NEW_CLIENT_WINDOW: Nanos = 400 * MILLI;
/// The maximum time by which the deadlines of requests extend the shutdown.
const MAX_REQUEST_GRACE: Nanos = 3 * SECOND;
/// The time reserved for the last migrations.
const FINAL_MIGRATION_TIME: Nanos = 300 * MILLI;
/// How long before it may be killed a process must have migrated its last client. Two sweep intervals.
const KILL_MARGIN: Nanos = 200 * MILLI;
/// How long after entering standby a node may still hold clients.
const STANDBY_TIMEOUT: Nanos = 4 * SECOND;
/// How long a migration waits for its client to complete the current line, while the host is between two lines.
pub const MAX_MIGRATION_WAIT: Nanos = 800 * MILLI;

impl Context {
    /// Begins the shutdown of this process, and returns the event for the balancer. The shutdown may take as long as the longest
    /// timeout of a request, up to [`MAX_REQUEST_GRACE`], plus `margin`.
    pub fn begin_shutdown(&mut self, margin: Nanos, connections: usize) -> Event {
        let request_grace = self.settings.max_request_timeout.min(MAX_REQUEST_GRACE);
        let duration = request_grace + margin;
        self.may_end_at = Some(self.now + duration);
        // The deadline forces the migration of clients whose host stopped within a line, or whose migration began too late.
        // Otherwise these clients would still be connected when the process is killed.
        self.shutdown_deadline = Some(self.now + duration.saturating_sub(KILL_MARGIN));
        warn!(self.log, "asked to stop"; "connections" => connections, "descriptors" => self.budget.in_use());
        // Migrations begin late, as this node can serve its clients until then. In a rolling restart, clients that migrate early
        // would find no node if the one that was stopped before is not back yet.
        let migration_span = duration.saturating_sub(FINAL_MIGRATION_TIME);
        let from = self.now + NEW_CLIENT_WINDOW.max(migration_span / 3);
        Event::ShutdownStarted {
            from,
            by: from.max(self.now + migration_span),
        }
    }

    /// Enters standby, in which operators want the node to hold no clients, and returns the event for the balancer. Clients may still
    /// arrive until the change of status has been noticed.
    pub fn enter_standby(&mut self, connections: usize) -> Event {
        let by = self.now + STANDBY_TIMEOUT - FINAL_MIGRATION_TIME;
        self.standby_deadline = Some(by);
        warn!(self.log, "standing by"; "connections" => connections);
        Event::ShutdownStarted {
            from: self.now + NEW_CLIENT_WINDOW,
            by: by - MAX_MIGRATION_WAIT,
        }
    }

    /// Leaves standby, and returns the event for the balancer.
    pub fn leave_standby(&mut self) -> Event {
        self.standby_deadline = None;
        info!(self.log, "left standby");
        Event::ShutdownCancelled
    }

    /// Returns the earlier of the deadlines by which this node must have migrated its last client, or [`Nanos::MAX`] if there is
    /// none.
    pub fn empty_deadline(&self) -> Nanos {
        self.standby_deadline
            .into_iter()
            .chain(self.shutdown_deadline)
            .min()
            .unwrap_or(Nanos::MAX)
    }
}
