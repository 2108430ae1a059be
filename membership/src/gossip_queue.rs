//! Which members there is news of, and how often that news has been sent: what was sent least often goes first.

use std::collections::{BTreeMap, BTreeSet};

/// News that is still to be sent, by the member it is about.
#[derive(Clone, Default, Hash)]
pub(crate) struct GossipQueue {
    times_sent: BTreeMap<u64, u32>,
    /// The same in the order of sending. Without it, the cost of a message grows with all news, of which it holds a
    /// little.
    by_times_sent: BTreeSet<(u32, u64)>,
}

impl GossipQueue {
    /// There is something new of this member.
    pub fn push(&mut self, member: u64) {
        self.remove(member);
        self.insert(member, 0);
    }

    pub fn remove(&mut self, member: u64) {
        if let Some(times_sent) = self.times_sent.remove(&member) {
            self.by_times_sent.remove(&(times_sent, member));
        }
    }

    /// The news of this member went out in a message; it leaves the queue after `max_times_sent`.
    pub fn mark_sent(&mut self, member: u64, max_times_sent: u32) {
        let Some(times_sent) = self.times_sent.get(&member).copied() else {
            return;
        };
        self.remove(member);
        if times_sent + 1 < max_times_sent {
            self.insert(member, times_sent + 1);
        }
    }

    /// The members in the order of sending.
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
