//! Tests of the distribution of shards among members.

use super::*;

/// Guards against shards that move between remaining members, and against members that own far more than others.
#[test]
fn a_death_moves_only_its_own_shards_and_shards_are_spread_evenly() {
    let members: Vec<u64> = (1..=20).map(|n| n * 0x9e37_79b9).collect();
    let owners = |members: &[u64]| -> Vec<u64> {
        (0..4000)
            .map(|shard| owner(shard, members.to_vec()).unwrap())
            .collect()
    };
    let (all, fewer) = (owners(&members), owners(&members[1..]));
    for (before, after) in all.iter().zip(&fewer) {
        assert!(before == after || *before == members[0]);
    }
    for member in &members {
        let owned = all.iter().filter(|m| *m == member).count();
        assert!((120..=290).contains(&owned), "{owned} of 4000 shards");
    }
    assert_eq!(owner(1, []), None);
}
