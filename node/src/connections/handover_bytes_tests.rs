//! Tests that compare the exact bytes of a connection that is sent to the successor. A change of the bytes
//! would break the hot restart between two versions.

use super::*;
use reedferry::{Idempotency, IdempotencyGroup};

fn hex(value: &impl Serialize) -> String {
    postcard::to_allocvec(value)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

fn relay_snapshot(unsent: &[u8], partial_line: &[u8]) -> RelaySnapshot {
    let mut scanner = LineScanner::default();
    scanner.step(partial_line).unwrap();
    RelaySnapshot {
        unsent: unsent.to_vec(),
        scanner,
        finished: true,
    }
}

fn class() -> RequestClass {
    RequestClass {
        idempotency: Idempotency::WithKey,
        idempotency_group: IdempotencyGroup::Cell,
        idempotency_window: 20,
        priority_weight: 1.5,
        latency_objective: 30,
        message_latency_objective: 40,
        active: true,
    }
}

#[test]
fn open_connection_serializes_to_fixed_bytes() {
    let open = OpenSnapshot {
        host: "s-1".into(),
        load: Some(0.5),
        to_host: relay_snapshot(b"he", b"he"),
        to_client: relay_snapshot(b"", b"LOAD 2"),
        unanswered_lines: vec![1, 2],
        migrate_by: Some(3),
        host_faulty: true,
        client_finished_at: Some(4),
        bye: true,
        migrating: false,
    };
    let handover = ConnectionHandover {
        clock_offset: 5,
        accepted_at: 6,
        started_at: 7,
        pings: 8,
        request_line: Vec::new(),
        wire_id: Some("9b1f".into()),
        class: Some(("chat".into(), class())),
        key: Some(9),
        group: Some(10),
        usual_load: Some(0.0125),
        open: Some(open),
    };
    assert_eq!(hex(&handover), "0506070800010439623166010463686174010214000000000000f83f1e28010109010a019a9999999999893f0103732d3101000000000000e03f02686568650000000000000000000000000000000000000000000000000000000000000201004c4f414420320000000000000000000000000000000000000000000000000000060102010201030101040100");
}

#[test]
fn client_without_complete_first_line_serializes_to_fixed_bytes() {
    let handover = ConnectionHandover {
        clock_offset: 5,
        accepted_at: 6,
        started_at: 7,
        pings: 0,
        request_line: b"OPEN 9b".to_vec(),
        wire_id: None,
        class: None,
        key: None,
        group: None,
        usual_load: None,
        open: None,
    };
    assert_eq!(hex(&handover), "05060700074f50454e203962000000000000");
}
