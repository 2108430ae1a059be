//! The queue of updates to gossip: which members have a pending update, and how often each was sent. The update sent
//! least often goes first.

use std::collections::{BTreeMap, BTreeSet};

/// The updates that still have to be sent, by the id of the member that they are about.
#[derive(Clone, Default, Hash)]
pub(crate) struct GossipQueue {
    times_sent: BTreeMap<u64, u32>,
    /// The same entries in sending order. Without this index, the cost of writing a message would grow with the number
    /// of all pending updates, of which it holds only a few.
    by_times_sent: BTreeSet<(u32, u64)>,
}

impl GossipQueue {
    /// Queues an update about a member, replacing a pending one.
    pub fn push(&mut self, member: u64) {
        self.remove(member);
        self.insert(member, 0);
    }

    pub fn remove(&mut self, member: u64) {
        if let Some(times_sent) = self.times_sent.remove(&member) {
            self.by_times_sent.remove(&(times_sent, member));
        }
    }

    /// Records that the update about a member was sent. It leaves the queue when it was sent `max_times_sent` times.
    pub fn mark_sent(&mut self, member: u64, max_times_sent: u32) {
        let Some(times_sent) = self.times_sent.get(&member).copied() else {
            return;
        };
        self.remove(member);
        if times_sent + 1 < max_times_sent {
            self.insert(member, times_sent + 1);
        }
    }

    /// Iterates over the members in sending order.
    pub fn iter(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_times_sent.iter().map(|(_, member)| *member)
    }

    pub fn is_empty(&self) -> bool {
        self.by_times_sent.is_empty()
    }

    fn insert(&mut self, member: u64, times_sent: u32) {
        self.times_sent.insert(member, times_sent);
        self.by_times_sent.insert((times_sent, member));
    }
}

#[cfg(test)]
#[path = "gossip_queue_tests.rs"]
mod tests;
