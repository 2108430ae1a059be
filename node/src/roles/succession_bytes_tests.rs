//! The exact bytes of what passes between a process and the next one in its place, but for its connections.

use super::*;
use reedferry::{Circle, Client, Effect, HostId, Regard, Standing};

fn hex(value: &impl Serialize) -> String {
    postcard::to_allocvec(value)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn regard() -> Regard {
    Regard {
        id: HostId(0x0a01_0012_1388),
        newcomer: true,
        draining: 1,
        down: Some(2),
        masked_until: 3,
        strikes: 4,
        slowness: 0.5,
        slow_told: 5,
        ceiling: Some(1.5),
        good: 2.5,
        cut: 6,
        slowness_at_cut: 0.25,
        report: 0.75,
        reported: 7,
    }
}

fn legacy() -> Legacy {
    Legacy {
        clients: vec![(
            11,
            Client {
                length: Some(3.0),
                load: None,
                seen: 12,
            },
        )],
        mean: Some(1.25),
        lived: 2.0,
        ended: 3.0,
        usual: vec![None, Some(0.125)],
        unit: Some(0.0625),
        weighed: 13,
        set_up: 14.0,
        hosts: vec![regard()],
        trouble: 0.375,
        late: 0.875,
    }
}

fn offering(effect: Effect, circle: Circle) -> Offering {
    Offering {
        effect,
        circle,
        window: 20,
        payoff: 1.5,
        contract_time: 30,
        message_time: 40,
        offered: false,
    }
}

fn member() -> Member {
    Member {
        name: "s-1".into(),
        address: Some("10.1.0.18:5000".parse().unwrap()),
        zone: "a".into(),
        cell: 3,
        standing: Standing::Draining,
        size: 1.5,
        started: Some(15),
        believed: Some(None),
    }
}

#[test]
fn greetings_and_pieces_keep_their_bytes() {
    assert_eq!(hex(&FromSuccessor::Hello(VERSION)), "0003");
    assert_eq!(hex(&FromSuccessor::Has(true)), "0101");
    assert_eq!(
        hex(&FromPredecessor::Piece(vec![1, 2, 3], true)),
        "000301020301"
    );
}

#[test]
fn what_a_predecessor_knows_keeps_its_bytes() {
    let held = vec![
        ("chat".to_string(), offering(Effect::Redoable, Circle::All)),
        ("pay".to_string(), offering(Effect::Labelled, Circle::Zone)),
        (
            "once".to_string(),
            offering(Effect::Irreversible, Circle::Cell),
        ),
    ];
    let knowledge = Knowledge {
        discovery: "127.0.0.1:8500".parse().unwrap(),
        clock_ahead: 8,
        revision: Some(41),
        members: vec![member()],
        offerings: vec!["chat".into(), "pay".into()],
        held,
        legacy: legacy(),
    };
    assert_eq!(hex(&knowledge), "007f000001b4420801290103732d3101000a010012882701610301000000000000f83f010f010002046368617403706179030463686174000014000000000000f83f1e280003706179010114000000000000f83f1e2800046f6e6365020214000000000000f83f1e2800010b010000000000000840000c01000000000000f43f00000000000000400000000000000840020001000000000000c03f01000000000000b03f0d0000000000002c400188a7c88090c002010101020304000000000000e03f0501000000000000f83f000000000000044006000000000000d03f000000000000e83f07000000000000d83f000000000000ec3f");
}
