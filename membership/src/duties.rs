//! Who of several does what only one of them is to do: rendezvous hashing (Thaler, Ravishankar, "Using name-based mappings
//! to increase hit rates", 1998), so that a change of one member moves only what is its own. It must never know
//! what a duty is, nor who is alive.

use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// Which of the members has the duty.
pub fn owner(duty: u64, members: impl IntoIterator<Item = u64>) -> Option<u64> {
    let weight = |member: &u64| {
        let mut hash = Xxh3::new();
        (*member, duty).hash(&mut hash);
        (hash.finish(), *member)
    };
    members.into_iter().max_by_key(weight)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards: duties that move between members that stay, and members that have far more than others.
    #[test]
    fn a_death_moves_its_own_duties_alone_and_they_are_dealt_out_evenly() {
        let members: Vec<u64> = (1..=20).map(|n| n * 0x9e37_79b9).collect();
        let of = |all: &[u64]| -> Vec<u64> {
            (0..4000)
                .map(|duty| owner(duty, all.to_vec()).unwrap())
                .collect()
        };
        let (all, less) = (of(&members), of(&members[1..]));
        for (before, after) in all.iter().zip(&less) {
            assert!(before == after || *before == members[0]);
        }
        for member in &members {
            let has = all.iter().filter(|m| *m == member).count();
            assert!((120..=290).contains(&has), "{has} of 4000 duties");
        }
        assert_eq!(owner(1, []), None);
    }
}
