//! How requests are dealt out to replicas.

use super::*;

/// Prevents records that all lie with a few members, or with other replicas for each member that asks.
#[test]
fn every_key_has_three_replicas_and_all_members_hold_their_part() {
    let mut held = [0; 20];
    for key in 0..4000u64 {
        let three = replicas_of(key, 20);
        assert!(
            three.len() == 3
                && three[0] != three[1]
                && three[1] != three[2]
                && three[0] != three[2]
        );
        for member_index in three {
            held[member_index as usize] += 1;
        }
    }
    assert!(
        held.iter().all(|count| (450..=750).contains(count)),
        "{held:?}"
    );
    assert_eq!((replicas_of(1, 2).len(), replicas_of(1, 1)), (2, vec![0]));
}
