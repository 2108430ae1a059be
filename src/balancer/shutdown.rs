//! Graceful shutdown: the clients of a stopping node are migrated evenly over the time that it has.

use super::{Balancer, MIGRATION_TIMER};
use crate::action::Action;
use crate::messages::RequestMessage;
use crate::time::{Nanos, SECOND};

/// The shortest time between two rounds of migrations.
const MIGRATION_INTERVAL: Nanos = SECOND / 20;
/// The longest time between two rounds of migrations, as a multiple of the shortest.
const MAX_MIGRATION_INTERVALS: Nanos = 4;

/// The state of a shutdown.
#[derive(Default)]
pub(super) struct Shutdown {
    /// The time by which all clients are to be migrated; `None` if the node is not stopping.
    pub deadline: Option<Nanos>,
    /// The time of the next round of migrations.
    next_migration: Nanos,
    /// Whether a successor process has inherited this node's state.
    pub has_successor: bool,
}

impl Shutdown {
    pub fn is_in_progress(&self) -> bool {
        self.deadline.is_some()
    }
}

impl Balancer {
    pub(super) fn shutdown_started(&mut self, from: Nanos, by: Nanos, actions: &mut Vec<Action>) {
        self.shutdown.deadline = Some(by);
        self.shutdown.next_migration = from;
        log!(actions, "shutting down requests={}", self.requests.len());
        actions.push(Action::SetTimer {
            time: from,
            timer: MIGRATION_TIMER,
        });
    }

    pub(super) fn shutdown_cancelled(&mut self, actions: &mut Vec<Action>) {
        self.shutdown.deadline = None;
        log!(
            actions,
            "shutdown cancelled requests={}",
            self.requests.len()
        );
    }

    /// Migrates clients evenly over the time left, so that hosts and the session store are not
    /// overloaded and no client is cut off.
    pub(super) fn migration_timer_fired(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        // Ignores outdated timers. Without this, a timer of a cancelled shutdown would migrate
        // clients, and after a second shutdown two sequences of timers would run.
        let Some(deadline) = self.shutdown.deadline else {
            return;
        };
        if now < self.shutdown.next_migration {
            return;
        }
        let time_left = deadline.saturating_sub(now);
        let slots = self.requests.connected_slots();
        let count = slots.len();
        let rounds_left = (time_left / MIGRATION_INTERVAL + 1) as usize;
        for slot in slots.into_iter().take(count.div_ceil(rounds_left)) {
            self.send_request(RequestMessage::Migrate { slot });
        }
        // The interval grows if few clients are left. Otherwise they would all be migrated in the
        // first part of the time.
        let interval = (time_left / (count as u64 + 1)).clamp(
            MIGRATION_INTERVAL,
            MAX_MIGRATION_INTERVALS * MIGRATION_INTERVAL,
        );
        self.shutdown.next_migration = now + interval;
        actions.push(Action::SetTimer {
            time: self.shutdown.next_migration,
            timer: MIGRATION_TIMER,
        });
    }
}
