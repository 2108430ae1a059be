//! How shards are dealt out to members.

use super::*;

/// Prevents shards that move between members that stay, and members that own far more than others.
#[test]
fn a_death_moves_its_own_shards_alone_and_they_are_dealt_out_evenly() {
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
