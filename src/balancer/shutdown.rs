//! Graceful shutdown: the clients of a node that stops are migrated evenly over the time it has.

use super::{Balancer, MIGRATION_TIMER};
use crate::action::Action;
use crate::messages::RequestMessage;
use crate::time::{Nanos, SECOND};

/// The least time between two migrations, and the most as a multiple of that.
const MIGRATION_INTERVAL: Nanos = SECOND / 20;
const MAX_MIGRATION_INTERVALS: Nanos = 4;

/// Whether this node stops.
#[derive(Default)]
pub(super) struct Shutdown {
    /// By when its clients are to be gone, if it stops.
    pub deadline: Option<Nanos>,
    /// When clients are next migrated.
    next_migration: Nanos,
    /// Another process has this one's state.
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

    /// Migrates clients evenly over the time left. Prevents hosts and the session store from being
    /// overloaded, and clients from being cut off.
    pub(super) fn migration_timer_fired(&mut self, now: Nanos, actions: &mut Vec<Action>) {
        // Without this, an old timer would migrate clients of a node whose shutdown was cancelled,
        // or from two sequences of timers.
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
        // Without this, a few clients would all be migrated in the first part of the time.
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
