//! Which members are the replicas of a request.

use reedferry_membership::owner;

/// Replicas of a request, where the cluster has as many members.
const REPLICATION_FACTOR: usize = 3;

/// The member indexes of a request's replicas. They follow from the key and the cluster's size alone, so that all
/// members choose the same.
pub fn replicas_of(key: u64, cluster_size: u32) -> Vec<u32> {
    let mut candidates: Vec<u64> = (0..u64::from(cluster_size)).collect();
    let mut replicas = Vec::new();
    while replicas.len() < REPLICATION_FACTOR {
        let Some(next) = owner(key, candidates.iter().copied()) else {
            break;
        };
        candidates.retain(|candidate| *candidate != next);
        replicas.push(next as u32);
    }
    replicas
}

#[cfg(test)]
#[path = "placement_tests.rs"]
mod tests;
