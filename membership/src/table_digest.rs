//! Digests that tell two member tables apart, one for each partition and one for all. Their values are the wire format:
//! members of two builds compare them.

use crate::member::{MemberState, MemberVersion};
use crate::message::TABLE_PARTITIONS;
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// A sum of hashes for each partition, so that entries can be taken out again.
#[derive(Clone, Default, Hash)]
pub(crate) struct TableDigest {
    partitions: [u32; TABLE_PARTITIONS],
}

fn entry_hash(member: u64, version: MemberVersion, state: MemberState) -> u32 {
    let mut hasher = Xxh3::new();
    (member, version, state).hash(&mut hasher);
    hasher.finish() as u32
}

/// The partition of a member's id.
pub(crate) fn partition_of(member: u64) -> usize {
    member as usize % TABLE_PARTITIONS
}

impl TableDigest {
    /// Dead members are left out, as each member forgets them by itself.
    pub fn add(&mut self, member: u64, version: MemberVersion, state: MemberState) {
        if state != MemberState::Dead {
            let partition = &mut self.partitions[partition_of(member)];
            *partition = partition.wrapping_add(entry_hash(member, version, state));
        }
    }

    /// Takes out what was added with the same values.
    pub fn remove(&mut self, member: u64, version: MemberVersion, state: MemberState) {
        if state != MemberState::Dead {
            let partition = &mut self.partitions[partition_of(member)];
            *partition = partition.wrapping_sub(entry_hash(member, version, state));
        }
    }

    pub fn partitions(&self) -> &[u32; TABLE_PARTITIONS] {
        &self.partitions
    }

    /// The digest of all partitions.
    pub fn whole(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.partitions.hash(&mut hasher);
        hasher.finish()
    }
}

#[cfg(test)]
#[path = "table_digest_tests.rs"]
mod tests;
