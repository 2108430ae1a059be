//! Assigns shards to members by rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings to increase hit
//! rates", 1998): when a member joins or leaves, only the shards that it owns move. This module is independent of what
//! a shard is and of which members are alive.

use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// Returns the member that owns a shard, or `None` if there are no members.
pub fn owner(shard: u64, members: impl IntoIterator<Item = u64>) -> Option<u64> {
    let weight = |member: &u64| {
        let mut hasher = Xxh3::new();
        (*member, shard).hash(&mut hasher);
        (hasher.finish(), *member)
    };
    members.into_iter().max_by_key(weight)
}

#[cfg(test)]
#[path = "rendezvous_tests.rs"]
mod tests;
