//! Tests of untrusted input: noise, and messages of strangers or of other versions, may only lead to dropped messages.

use crate::message::{MemberClaim, MessageBody, MessageWriter};
use crate::simulation::*;
use crate::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MAX_MEMBERS: usize = 4;
/// The node that is a member and sends valid messages.
const PEER: usize = 1;

fn receiver() -> Membership {
    let config = MembershipConfig {
        period: PERIOD,
        seeds: Vec::new(),
        max_members: MAX_MEMBERS,
        fleet_id: 7,
    };
    Membership::new(info(0), config, 0, START_UNIX_MS, 1)
}

/// Returns a receiver that already knows the peer.
fn receiver_with_peer() -> Membership {
    let mut me = receiver();
    assert_eq!(dropped(&mut me, PEER, &valid_message()), 0);
    me
}

fn peer() -> Membership {
    new_member(PEER, 0, &[])
}

fn claim_of(node: usize) -> MemberClaim {
    new_member(node, 0, &[]).table.me.clone()
}

fn message(sender: &Membership, body: MessageBody, claims: &[MemberClaim]) -> Vec<u8> {
    let mut writer = MessageWriter::new(&sender.header(body));
    for claim in claims {
        assert!(writer.push(claim));
    }
    writer.finish()
}

fn gossip(sender: &Membership, claims: &[MemberClaim]) -> Vec<u8> {
    message(sender, MessageBody::Gossip, claims)
}

fn valid_message() -> Vec<u8> {
    let ping = MessageBody::Ping {
        sequence: 1,
        target: 0,
    };
    message(&peer(), ping, &[])
}

/// Passes a datagram to the member and returns how many messages and claims were dropped.
fn dropped(me: &mut Membership, from: usize, bytes: &[u8]) -> usize {
    let mut out = Vec::new();
    let event = Event::MessageReceived {
        from: address(from),
        bytes,
    };
    me.handle(1, event, &mut out);
    out.iter()
        .filter(|action| matches!(action, Action::MessageDropped { .. }))
        .count()
}

/// Guards against corrupt or foreign input that adds members or declares them dead.
#[test]
fn noise_and_truncated_corrupt_or_other_version_messages_are_dropped() {
    let mut random = ChaCha8Rng::seed_from_u64(14);
    let mut me = receiver();
    for _ in 0..500 {
        let noise: Vec<u8> = (0..random.random_range(0..1300))
            .map(|_| random.random())
            .collect();
        assert_eq!(dropped(&mut me, 9, &noise), 1);
    }
    let valid = valid_message();
    for length in 0..valid.len() {
        assert_eq!(
            dropped(&mut me, PEER, &valid[..length]),
            1,
            "truncated to {length}"
        );
    }
    assert_eq!(dropped(&mut me, 2, &valid), 1, "from another address");
    for bit in 0..valid.len() * 8 {
        let mut corrupt = valid.clone();
        corrupt[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(dropped(&mut me, PEER, &corrupt), 1, "bit {bit} flipped");
    }
    let mut newer = valid.clone();
    newer[0] += 1;
    assert_eq!(dropped(&mut me, PEER, &newer), 1, "another version");
    assert_eq!(me.table.alive_count(), 1);
    assert_eq!(dropped(&mut me, PEER, &valid), 0);
}

/// Guards against a version that its member cannot exceed. The member moves on to the next incarnation, and an
/// incarnation in the far future is rejected.
#[test]
fn the_highest_version_is_exceeded_and_a_far_future_one_is_rejected() {
    let mut me = receiver_with_peer();
    let mut highest = me.table.me.clone();
    highest.version.sequence = u32::MAX;
    highest.state = MemberState::Dead;
    let mut future = claim_of(2);
    future.version.incarnation += 7 * 24 * 3600 * 1000;
    let bytes = gossip(&peer(), &[highest.clone(), future]);
    assert_eq!(dropped(&mut me, PEER, &bytes), 1);
    assert!(me.table.me.version > highest.version && me.table.me.state == MemberState::Active);
}

/// Guards against memory use that strangers can increase without bound.
#[test]
fn a_full_table_accepts_a_member_only_in_place_of_a_dead_one() {
    let mut me = receiver_with_peer();
    for node in 10..20 {
        dropped(&mut me, PEER, &gossip(&peer(), &[claim_of(node)]));
    }
    assert_eq!(me.table.members.len(), MAX_MEMBERS);
    let mut dead = claim_of(11);
    dead.state = MemberState::Dead;
    let bytes = gossip(&peer(), &[dead, claim_of(30)]);
    dropped(&mut me, PEER, &bytes);
    assert_eq!(me.table.members.len(), MAX_MEMBERS);
    assert!(me.others().any(|member| member.info.name == "n30"));
}

/// Guards against changes by a message that arrives an hour late.
#[test]
fn a_claim_under_an_earlier_version_changes_nothing() {
    let mut me = receiver_with_peer();
    let mut later = peer();
    later.table.announce(1, |_| {});
    dropped(&mut me, PEER, &gossip(&later, &[]));
    let mut suspected = peer().table.me.clone();
    suspected.state = MemberState::Suspect;
    let before = me.digest();
    dropped(&mut me, PEER, &gossip(&peer(), &[suspected]));
    assert_eq!(me.digest(), before);
}
