//! A forwarder's graceful shutdown: its clients are asked to reconnect elsewhere, evenly over the time there is.

use super::{Forwarder, ForwarderAction, PendingRequest};
use reedferry::{Action, Nanos, RequestId, MILLI};

/// How often clients are asked to reconnect.
const MIGRATION_INTERVAL: Nanos = 50 * MILLI;

/// A shutdown that has begun.
pub struct Shutdown {
    next_migration_at: Nanos,
    finish_by: Nanos,
}

impl Shutdown {
    /// A shutdown that migrates clients between these times.
    pub fn new(from: Nanos, finish_by: Nanos) -> Self {
        Shutdown {
            next_migration_at: from,
            finish_by,
        }
    }

    /// When the next clients are migrated.
    pub fn next_migration_at(&self) -> Nanos {
        self.next_migration_at
    }
}

impl Forwarder {
    /// Migrates the share of clients that falls to this interval. Without the spreading, hosts and planners would be
    /// stormed by all at once.
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
