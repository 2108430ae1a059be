//! Tests of the distribution of requests among replicas.

use super::*;

/// Guards against records that are concentrated on a few members, and against members that choose different replicas
/// for one key.
#[test]
fn every_key_has_three_replicas_spread_evenly_over_all_members() {
    let mut held = [0; 20];
    for key in 0..4000u64 {
        let replicas = replicas_of(key, 20);
        assert!(
            replicas.len() == 3
                && replicas[0] != replicas[1]
                && replicas[1] != replicas[2]
                && replicas[0] != replicas[2]
        );
        for member_index in replicas {
            held[member_index as usize] += 1;
        }
    }
    assert!(
        held.iter().all(|count| (450..=750).contains(count)),
        "{held:?}"
    );
    assert_eq!((replicas_of(1, 2).len(), replicas_of(1, 1)), (2, vec![0]));
}
