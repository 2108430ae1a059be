//! Tests of the exact bytes of the hot restart messages, except for `FromPredecessor::Connection`.

use super::*;
use crate::connections::IdHash;
use reedferry::{ClientStatistics, HostId, HostSnapshot, HostState, Idempotency, IdempotencyGroup};

fn hex(value: &impl Serialize) -> String {
    postcard::to_allocvec(value)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn host_snapshot() -> HostSnapshot {
    HostSnapshot {
        id: HostId(0x0a01_0012_1388),
        newcomer: true,
        draining_since: 1,
        connect_failed_at: Some(2),
        ejected_until: 3,
        ejections: 4,
        latency_ratio: 0.5,
        latency_measured_at: 5,
        load_limit: Some(1.5),
        sustained_load: 2.5,
        limit_decreased_at: 6,
        latency_ratio_at_decrease: 0.25,
        reported_load: 0.75,
        reported_at: 7,
    }
}

fn inherited_state() -> InheritedState {
    InheritedState {
        clients: vec![(
            11,
            ClientStatistics {
                mean_duration: Some(3.0),
                last_load: None,
                last_seen: 12,
            },
        )],
        mean_duration: Some(1.25),
        open_time: 2.0,
        ended_connections: 3.0,
        class_loads: vec![None, Some(0.125)],
        mean_load: Some(0.0625),
        load_samples: 13,
        mean_setup_time: 14.0,
        hosts: vec![host_snapshot()],
        setup_failure_rate: 0.375,
        late_message_rate: 0.875,
    }
}

fn class(idempotency: Idempotency, idempotency_group: IdempotencyGroup) -> RequestClass {
    RequestClass {
        idempotency,
        idempotency_group,
        idempotency_window: 20,
        priority_weight: 1.5,
        latency_objective: 30,
        message_latency_objective: 40,
        active: false,
    }
}

fn member() -> Member {
    Member {
        name: "s-1".into(),
        address: Some("10.1.0.18:5000".parse().unwrap()),
        zone: "a".into(),
        cell: 3,
        state: HostState::Draining,
        size: 1.5,
        started: Some(15),
        accepted_start: Some(None),
    }
}

#[test]
fn hello_adopted_and_state_chunk_messages_keep_their_bytes() {
    assert_eq!(hex(&FromSuccessor::Hello(VERSION)), "0003");
    assert_eq!(hex(&FromSuccessor::Adopted(true)), "0101");
    assert_eq!(
        hex(&FromPredecessor::StateChunk(vec![1, 2, 3], true)),
        "000301020301"
    );
}

#[test]
fn transferred_state_keeps_its_bytes() {
    let referenced_classes = vec![
        (
            "chat".to_string(),
            class(Idempotency::Idempotent, IdempotencyGroup::All),
        ),
        (
            "pay".to_string(),
            class(Idempotency::WithKey, IdempotencyGroup::Zone),
        ),
        (
            "once".to_string(),
            class(Idempotency::NonIdempotent, IdempotencyGroup::Cell),
        ),
    ];
    let state = TransferredState {
        discovery: "127.0.0.1:8500".parse().unwrap(),
        clock_offset: 8,
        revision: Some(41),
        members: vec![member()],
        classes: vec!["chat".into(), "pay".into()],
        referenced_classes,
        inherited: inherited_state(),
    };
    assert_eq!(hex(&state), "007f000001b4420801290103732d3101000a010012882701610301000000000000f83f010f010002046368617403706179030463686174000014000000000000f83f1e280003706179010114000000000000f83f1e2800046f6e6365020214000000000000f83f1e2800010b010000000000000840000c01000000000000f43f00000000000000400000000000000840020001000000000000c03f01000000000000b03f0d0000000000002c400188a7c88090c002010101020304000000000000e03f0501000000000000f83f000000000000044006000000000000d03f000000000000e83f07000000000000d83f000000000000ec3f");
}

/// Guards against notices about ids that a process of another build does not understand, and against a late part of the
/// state that is taken for notices.
#[test]
fn id_notices_are_encoded_as_before_and_told_from_parts_of_the_state() {
    let id = IdHash::of("c1");
    assert_eq!(hex(&IdNotice::NotRun(id)), format!("01{}", hex(&id)));
    let notice = FromSuccessor::IdNotice(IdNotice::Attempted(id));
    assert_eq!(hex(&notice), format!("0200{}", hex(&id)));
    let notices = [IdNotice::Attempted(id), IdNotice::NotRun(id)];
    let chunk = encode_id_notices(&notices);
    assert!(chunk.starts_with(b"id notices\x02\x00"));
    assert_eq!(decode_id_notices(&chunk), Some(notices.to_vec()));
    assert_eq!(decode_id_notices(&encode_id_notices(&[])), Some(Vec::new()));
    assert_eq!(decode_id_notices(&chunk[1..]), None);
    assert_eq!(decode_id_notices(&chunk[..chunk.len() - 1]), None);
}
