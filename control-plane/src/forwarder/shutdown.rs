//! A forwarder's graceful shutdown, during which its clients are asked to reconnect elsewhere, evenly spread over the
//! available time.

use super::{Forwarder, ForwarderAction, PendingRequest};
use reedferry::{Action, Nanos, RequestId, MILLI};

/// The interval at which a share of the clients is asked to reconnect.
const MIGRATION_INTERVAL: Nanos = 50 * MILLI;

/// The schedule of a shutdown that has begun.
pub struct Shutdown {
    next_migration_at: Nanos,
    finish_by: Nanos,
}

impl Shutdown {
    /// Creates the schedule of a shutdown that migrates clients from the time `from` until the time `finish_by`.
    pub fn new(from: Nanos, finish_by: Nanos) -> Self {
        Shutdown {
            next_migration_at: from,
            finish_by,
        }
    }

    /// Returns the time at which the next clients are migrated.
    pub fn next_migration_at(&self) -> Nanos {
        self.next_migration_at
    }
}

impl Forwarder {
    /// Migrates this interval's share of the clients. Without the spreading, all clients would reconnect at once and
    /// overload hosts and planners.
    pub(super) fn migrate_share(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        let Some(shutdown) = self
            .shutdown
            .as_mut()
            .filter(|shutdown| now >= shutdown.next_migration_at)
        else {
            return;
        };
        shutdown.next_migration_at = now + MIGRATION_INTERVAL;
        let intervals = shutdown.finish_by.saturating_sub(now) / MIGRATION_INTERVAL + 1;
        let to_migrate = |request: &PendingRequest| request.is_open() && !request.migrated;
        let count = self
            .requests
            .iter_mut()
            .filter(|(_, request)| to_migrate(request))
            .count();
        let share = count.div_ceil(intervals as usize);
        for (id, request) in self
            .requests
            .iter_mut()
            .filter(|(_, request)| to_migrate(request))
            .take(share)
        {
            request.migrated = true;
            let id = RequestId(id);
            out.push(ForwarderAction::Perform(Action::Migrate { id }));
        }
    }
}
