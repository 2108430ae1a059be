//! When a process that is asked to stop, or to stand by, must have moved its clients.

use super::Context;
use reedferry::{Event, Nanos, MILLI, SECOND};
use slog::{info, warn};

/// How long after the signal to stop new clients are still sent here.
const NEW_CLIENTS_EXPECTED: Nanos = 400 * MILLI;
/// The longest that a request's deadline lengthens the shutdown.
const MAX_REQUEST_GRACE: Nanos = 3 * SECOND;
/// What the last migrations need.
const LAST_MIGRATIONS: Nanos = 300 * MILLI;
/// How long before this process may be killed it must hold no client any more: two sweeps.
const KILL_MARGIN: Nanos = 200 * MILLI;
/// How long a node that is to stand by may take to be empty.
const STANDBY_TIMEOUT: Nanos = 4 * SECOND;
/// How long the end of a line is waited for before a client is migrated, where its host stands between two lines.
pub const MAX_MIGRATION_WAIT: Nanos = 800 * MILLI;

impl Context {
    /// Begins the shutdown of this process, and returns the event for the balancer. It may take the longest deadline of a request
    /// and `beyond`.
    pub fn begin_shutdown(&mut self, beyond: Nanos, connections: usize) -> Event {
        let request_grace = self.settings.max_request_timeout.min(MAX_REQUEST_GRACE);
        let duration = request_grace + beyond;
        self.may_end_at = Some(self.now + duration);
        // Without this, clients whose host stopped within a line, or whose migration began so late that it took too long, would be
        // held when the process is killed.
        self.shutdown_deadline = Some(self.now + duration.saturating_sub(KILL_MARGIN));
        warn!(self.log, "asked to stop"; "connections" => connections, "descriptors" => self.budget.in_use());
        // Migrations begin late: a client is served here as well as anywhere until it has to go. Without this, clients would be
        // moved while the node that stopped before this one is not back yet, and find nobody.
        let migration_span = duration.saturating_sub(LAST_MIGRATIONS);
        let from = self.now + NEW_CLIENTS_EXPECTED.max(migration_span / 3);
        Event::ShutdownStarted {
            from,
            by: from.max(self.now + migration_span),
        }
    }

    /// Enters standby, as operators want this node empty, and returns the event for the balancer. Clients that were sent here
    /// before the change of status was seen still come.
    pub fn enter_standby(&mut self, connections: usize) -> Event {
        let by = self.now + STANDBY_TIMEOUT - LAST_MIGRATIONS;
        self.standby_deadline = Some(by);
        warn!(self.log, "standing by"; "connections" => connections);
        Event::ShutdownStarted {
            from: self.now + NEW_CLIENTS_EXPECTED,
            by: by - MAX_MIGRATION_WAIT,
        }
    }

    /// Leaves standby, and returns the event for the balancer.
    pub fn leave_standby(&mut self) -> Event {
        self.standby_deadline = None;
        info!(self.log, "back to work");
        Event::ShutdownCancelled
    }

    /// When this node must hold no client any more, whatever the reason.
    pub fn empty_deadline(&self) -> Nanos {
        self.standby_deadline
            .into_iter()
            .chain(self.shutdown_deadline)
            .min()
            .unwrap_or(Nanos::MAX)
    }
}
