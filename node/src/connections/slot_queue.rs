//! A queue of connections to advance, each of which is in it once at most. With repeats, a connection that has more to
//! do each time, and is reported ready besides, would take up more of each turn than of the one before.

use std::collections::HashSet;

/// The slots of connections, in the order in which they were queued first.
#[derive(Debug, Default)]
pub(super) struct SlotQueue {
    slots: Vec<usize>,
    queued: HashSet<usize>,
}

impl SlotQueue {
    /// Queues a slot unless it is queued already.
    pub(super) fn push(&mut self, slot: usize) {
        if self.queued.insert(slot) {
            self.slots.push(slot);
        }
    }

    /// Returns whether no slot is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Removes and returns all slots.
    pub(super) fn take(&mut self) -> Vec<usize> {
        self.queued.clear();
        std::mem::take(&mut self.slots)
    }
}

#[cfg(test)]
#[path = "slot_queue_tests.rs"]
mod tests;
