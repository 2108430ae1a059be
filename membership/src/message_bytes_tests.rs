//! Pins the encoding of every kind of membership message, as older and newer processes share a fleet.

use super::*;
use crate::member::Role;

fn claim(state: MemberState, role: Role) -> MemberClaim {
    let info = MemberInfo {
        name: "n7".into(),
        address: "127.0.0.1:7400".parse().unwrap(),
        role,
        zone: "a".into(),
        build: "0.1.0".into(),
        member_index: 3,
        cluster_size: 300,
    };
    MemberClaim {
        info,
        version: MemberVersion {
            incarnation: 1_700_000_000_000,
            sequence: 5,
        },
        state,
        accuser: 77,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(body: MessageBody, claims: &[MemberClaim]) -> Vec<u8> {
    let header = MessageHeader {
        fleet_id: 9,
        sender: claim(MemberState::Active, Role::Node),
        digest: 0x1122_3344_5566_7788,
        body,
    };
    let mut writer = MessageWriter::new(&header);
    assert!(claims.iter().all(|claim| writer.push(claim)));
    writer.finish()
}

#[test]
fn a_message_with_claims_keeps_its_encoding() {
    let claims = [
        claim(MemberState::Standby, Role::Forwarder),
        claim(MemberState::Leaving, Role::Planner),
        claim(MemberState::Suspect, Role::Node),
        claim(MemberState::Dead, Role::Node),
    ];
    let written = bytes(
        MessageBody::Ping {
            sequence: 8,
            target: 99,
        },
        &claims,
    );
    assert_eq!(hex(&written), "011486d6ca09026e37007f000001e83900016105302e312e3003ac0280d095ffbc3105004d88ef99abc5e88c9111000863026e37007f000001e83901016105302e312e3003ac0280d095ffbc3105014d026e37007f000001e83902016105302e312e3003ac0280d095ffbc3105024d026e37007f000001e83900016105302e312e3003ac0280d095ffbc3105034d026e37007f000001e83900016105302e312e3003ac0280d095ffbc3105044d");
    let (header, read) = read(&written).unwrap();
    assert!(
        read == claims
            && header.body
                == MessageBody::Ping {
                    sequence: 8,
                    target: 99
                }
    );
}

/// Compares only what follows the sender's claim and the digest; the rest is the same for all kinds.
#[test]
fn each_kind_of_body_keeps_its_encoding() {
    let tail = |body: MessageBody| {
        let prefix = postcard::to_allocvec(&(
            9u32,
            claim(MemberState::Active, Role::Node),
            0x1122_3344_5566_7788u64,
        ));
        let written = bytes(body, &[]);
        hex(written[PREFIX_BYTES..]
            .strip_prefix(prefix.unwrap().as_slice())
            .unwrap())
    };
    assert_eq!(
        tail(MessageBody::Ping {
            sequence: 8,
            target: 99
        }),
        "000863"
    );
    assert_eq!(tail(MessageBody::Ack { sequence: 8 }), "0108");
    assert_eq!(
        tail(MessageBody::PingRequest {
            sequence: 8,
            target: 99
        }),
        "020863"
    );
    assert_eq!(
        tail(MessageBody::PingResult {
            sequence: 8,
            answered: true
        }),
        "030801"
    );
    assert_eq!(tail(MessageBody::Gossip), "04");
    assert_eq!(
        tail(MessageBody::Digests {
            partitions: vec![1, 2, 300]
        }),
        "05030102ac02"
    );
    assert_eq!(
        tail(MessageBody::LeaseRequest {
            sequence: 8,
            shares: vec![4]
        }),
        "06080104"
    );
    assert_eq!(
        tail(MessageBody::LeaseGrant {
            sequence: 8,
            shares: vec![4, 5]
        }),
        "0708020405"
    );
    assert_eq!(
        tail(MessageBody::TablePage {
            requested: 0xffff_0000
        }),
        "088080fcff0f"
    );
}
