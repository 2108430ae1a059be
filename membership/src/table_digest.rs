//! Digests by which members detect that their tables differ: one for each partition and one for the whole table. Their
//! values are part of the wire format, as members of different builds compare them.

use crate::member::{MemberState, MemberVersion};
use crate::message::TABLE_PARTITIONS;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// A sum of entry hashes for each partition. A sum allows entries to be removed again.
#[derive(Clone, Default, Hash)]
pub(crate) struct TableDigest {
    partitions: [u32; TABLE_PARTITIONS],
}

fn entry_hash(member: u64, version: MemberVersion, state: MemberState) -> u32 {
    let mut hasher = Xxh3::new();
    (member, version, state).hash(&mut hasher);
    hasher.finish() as u32
}

/// Returns the partition that a member's id belongs to.
pub(crate) fn partition_of(member: u64) -> usize {
    member as usize % TABLE_PARTITIONS
}

impl TableDigest {
    /// Adds an entry. Dead members are excluded, as each member forgets them at a different time.
    pub fn add(&mut self, member: u64, version: MemberVersion, state: MemberState) {
        if state != MemberState::Dead {
            let partition = &mut self.partitions[partition_of(member)];
            *partition = partition.wrapping_add(entry_hash(member, version, state));
        }
    }

    /// Removes an entry that was added with the same values.
    pub fn remove(&mut self, member: u64, version: MemberVersion, state: MemberState) {
        if state != MemberState::Dead {
            let partition = &mut self.partitions[partition_of(member)];
            *partition = partition.wrapping_sub(entry_hash(member, version, state));
        }
    }

    pub fn partitions(&self) -> &[u32; TABLE_PARTITIONS] {
        &self.partitions
    }

    /// Returns the digest of the whole table.
    pub fn whole(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.partitions.hash(&mut hasher);
        hasher.finish()
    }
}

#[cfg(test)]
#[path = "table_digest_tests.rs"]
mod tests;
