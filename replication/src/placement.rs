//! The choice of the members that are the replicas of a request.

use reedferry_membership::owner;

/// The number of replicas of a request, if the cluster has at least that many members.
const REPLICATION_FACTOR: usize = 3;

/// Returns the member indexes of a request's replicas. They depend only on the key and the size of the cluster, so that
/// all members choose the same.
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
