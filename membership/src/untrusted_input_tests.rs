//! What strangers, noise and other versions can do to a member: nothing but have it drop a message.

use crate::message::{MemberClaim, MessageBody, MessageWriter};
use crate::simulation::*;
use crate::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MAX_MEMBERS: usize = 4;
/// The node that is a member, and whose messages are valid.
const FRIEND: usize = 1;

fn receiver() -> Membership {
    let config = MembershipConfig {
        period: PERIOD,
        seeds: Vec::new(),
        max_members: MAX_MEMBERS,
        fleet_id: 7,
    };
    Membership::new(info(0), config, 0, START_UNIX_MS, 1)
}

/// One that has heard of its friend.
fn receiver_with_friend() -> Membership {
    let mut me = receiver();
    assert_eq!(dropped(&mut me, FRIEND, &valid_message()), 0);
    me
}

fn friend() -> Membership {
    new_member(FRIEND, 0, &[])
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
    message(&friend(), ping, &[])
}

/// How much is dropped of a datagram.
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

/// Prevents members declared dead, or taken in, by noise.
#[test]
fn noise_and_messages_that_are_cut_short_garbled_or_of_another_version_are_dropped() {
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
            dropped(&mut me, FRIEND, &valid[..length]),
            1,
            "cut short at {length}"
        );
    }
    assert_eq!(dropped(&mut me, 2, &valid), 1, "from another address");
    for bit in 0..valid.len() * 8 {
        let mut garbled = valid.clone();
        garbled[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(dropped(&mut me, FRIEND, &garbled), 1, "bit {bit} flipped");
    }
    let mut newer = valid.clone();
    newer[0] += 1;
    assert_eq!(dropped(&mut me, FRIEND, &newer), 1, "another version");
    assert_eq!(me.table.alive_count(), 1);
    assert_eq!(dropped(&mut me, FRIEND, &valid), 0);
}

/// Prevents a version that no member can exceed: another incarnation does, and one of the far future is not believed.
#[test]
fn the_highest_version_is_exceeded_and_the_far_future_is_not_believed() {
    let mut me = receiver_with_friend();
    let mut leap = me.table.me.clone();
    leap.version.sequence = u32::MAX;
    leap.state = MemberState::Dead;
    let mut future = claim_of(2);
    future.version.incarnation += 7 * 24 * 3600 * 1000;
    let bytes = gossip(&friend(), &[leap.clone(), future]);
    assert_eq!(dropped(&mut me, FRIEND, &bytes), 1);
    assert!(me.table.me.version > leap.version && me.table.me.state == MemberState::Active);
}

/// Prevents memory that strangers fill.
#[test]
fn beyond_the_bound_nobody_is_kept_but_in_place_of_a_dead_member() {
    let mut me = receiver_with_friend();
    for node in 10..20 {
        dropped(&mut me, FRIEND, &gossip(&friend(), &[claim_of(node)]));
    }
    assert_eq!(me.table.members.len(), MAX_MEMBERS);
    let mut dead = claim_of(11);
    dead.state = MemberState::Dead;
    let bytes = gossip(&friend(), &[dead, claim_of(30)]);
    dropped(&mut me, FRIEND, &bytes);
    assert_eq!(me.table.members.len(), MAX_MEMBERS);
    assert!(me.others().any(|member| member.info.name == "n30"));
}

/// Prevents a message that comes an hour late from changing what is known now.
#[test]
fn what_was_said_of_an_earlier_version_changes_nothing() {
    let mut me = receiver_with_friend();
    let mut later = friend();
    later.table.announce(1, |_| {});
    dropped(&mut me, FRIEND, &gossip(&later, &[]));
    let mut suspected = friend().table.me.clone();
    suspected.state = MemberState::Suspect;
    let before = me.digest();
    dropped(&mut me, FRIEND, &gossip(&friend(), &[suspected]));
    assert_eq!(me.digest(), before);
}
