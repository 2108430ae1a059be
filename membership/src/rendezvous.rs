//! Which member owns a shard: rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings to increase hit
//! rates", 1998), so that a change of one member moves only the shards of that member. It must never know what a shard
//! is, nor who is alive.

use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// The member that owns a shard; none where there are no members.
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
