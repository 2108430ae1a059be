//! The exact bytes of what members send each other, of every kind: an older and a newer process share a fleet.

use super::*;

fn claim(state: State, role: Role) -> Claim {
    let who = Who {
        name: "n7".into(),
        address: "127.0.0.1:7400".parse().unwrap(),
        role,
        zone: "a".into(),
        build: "0.1.0".into(),
        place: 3,
        roster: 300,
    };
    Claim {
        who,
        age: Age {
            life: 1_700_000_000_000,
            word: 5,
        },
        state,
        by: 77,
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(body: Body, claims: &[Claim]) -> Vec<u8> {
    let head = Head {
        fleet: 9,
        me: claim(State::Working, Role::Node),
        digest: 0x1122_3344_5566_7788,
        body,
    };
    let mut sheet = Sheet::new(&head);
    assert!(claims.iter().all(|claim| sheet.add(claim)));
    sheet.end()
}

#[test]
fn a_letter_with_claims_keeps_its_bytes() {
    let claims = [
        claim(State::Standby, Role::Forwarder),
        claim(State::Leaving, Role::Planner),
        claim(State::Suspect, Role::Node),
        claim(State::Gone, Role::Node),
    ];
    let written = bytes(Body::Ping { seq: 8, to: 99 }, &claims);
    assert_eq!(hex(&written), "011486d6ca09026e37007f000001e83900016105302e312e3003ac0280d095ffbc3105004d88ef99abc5e88c9111000863026e37007f000001e83901016105302e312e3003ac0280d095ffbc3105014d026e37007f000001e83902016105302e312e3003ac0280d095ffbc3105024d026e37007f000001e83900016105302e312e3003ac0280d095ffbc3105034d026e37007f000001e83900016105302e312e3003ac0280d095ffbc3105044d");
    let (head, read) = read(&written).unwrap();
    assert!(read == claims && head.body == Body::Ping { seq: 8, to: 99 });
}

/// What is behind the claim of the sender is all that differs.
#[test]
fn each_kind_of_body_keeps_its_bytes() {
    let tail = |body: Body| {
        let front = postcard::to_allocvec(&(
            9u32,
            claim(State::Working, Role::Node),
            0x1122_3344_5566_7788u64,
        ));
        let written = bytes(body, &[]);
        hex(written[FRONT..]
            .strip_prefix(front.unwrap().as_slice())
            .unwrap())
    };
    assert_eq!(tail(Body::Ping { seq: 8, to: 99 }), "000863");
    assert_eq!(tail(Body::Ack { seq: 8 }), "0108");
    assert_eq!(tail(Body::Ask { seq: 8, to: 99 }), "020863");
    assert_eq!(
        tail(Body::Vouch {
            seq: 8,
            answered: true
        }),
        "030801"
    );
    assert_eq!(tail(Body::Gossip), "04");
    assert_eq!(
        tail(Body::Compare {
            parts: vec![1, 2, 300]
        }),
        "05030102ac02"
    );
    assert_eq!(
        tail(Body::Lend {
            seq: 8,
            parts: vec![4]
        }),
        "06080104"
    );
    assert_eq!(
        tail(Body::Lent {
            seq: 8,
            parts: vec![4, 5]
        }),
        "0708020405"
    );
    assert_eq!(
        tail(Body::Page {
            wanted: 0xffff_0000
        }),
        "088080fcff0f"
    );
}
