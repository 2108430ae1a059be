//! Pins the digest values, as members of different builds compare them.

use super::*;

const VERSION: MemberVersion = MemberVersion {
    incarnation: 1_700_000_000_000,
    sequence: 5,
};

#[test]
fn digests_keep_their_values() {
    let mut digest = TableDigest::default();
    assert_eq!(digest.whole(), 0x49d7b1af16211130);
    digest.add(99, VERSION, MemberState::Active);
    assert_eq!(digest.partitions()[3], 0xd426e5f3);
    digest.add(35, VERSION, MemberState::Suspect);
    assert_eq!(digest.partitions()[3], 0xf8950b52);
    assert_eq!(digest.whole(), 0x2a7b6cce450683cf);
}

#[test]
fn removal_undoes_addition_and_dead_members_do_not_count() {
    let mut digest = TableDigest::default();
    let empty = digest.whole();
    digest.add(1, VERSION, MemberState::Dead);
    assert_eq!(digest.whole(), empty);
    digest.add(1, VERSION, MemberState::Leaving);
    assert_ne!(digest.whole(), empty);
    digest.remove(1, VERSION, MemberState::Leaving);
    assert_eq!(digest.whole(), empty);
}
