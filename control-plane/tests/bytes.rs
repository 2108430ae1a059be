//! Guards the exact bytes of the frames between forwarders and planners, because processes of an older and a newer
//! version work together.

use reedferry_control_plane::codec::FrameWriter;
use reedferry_control_plane::messages::{
    ExecutedAttempt, ForwarderMessage, Hello, HostWeight, PlacementRequest, PlannerMessage,
    PriorAttempts, Welcome, WireHostState, WireOutcome,
};
use reedferry_control_plane::HostEntry;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn greeting(greeting: &impl serde::Serialize) -> String {
    let mut writer = FrameWriter::default();
    writer.append_greeting(greeting);
    hex(writer.sendable())
}

/// Returns the bytes of a message that is alone in the first frame of session 5 with heartbeat 6, without the length
/// prefix of four bytes and the header.
fn encoded(message: &impl serde::Serialize) -> String {
    let mut writer = FrameWriter::default();
    writer.append(5, 6, message);
    writer.finish_frame();
    let frame = writer.sendable();
    assert_eq!(
        u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize,
        frame.len() - 4
    );
    assert_eq!(frame[4..7], [5, 1, 6]);
    hex(&frame[7..])
}

fn request() -> PlacementRequest {
    PlacementRequest {
        class: 300,
        key: Some(7),
        group: None,
        usual_load: Some(0.5),
        time_left: 2_000_000_000,
    }
}

#[test]
fn greetings_keep_their_bytes() {
    let hello = Hello {
        name: "f0".into(),
        planner: "p0".into(),
        zone: 2,
        epoch: 300,
        fingerprint: 77,
    };
    assert_eq!(greeting(&hello), "1000000072664c4b010002663002703002ac024d");
    assert_eq!(greeting(&Welcome::Session(3)), "0800000072664c4b01000003");
    assert_eq!(
        greeting(&Welcome::Refused("no".into())),
        "0a00000072664c4b010001026e6f"
    );
}

#[test]
fn messages_of_forwarders_keep_their_bytes() {
    let prior_attempts = PriorAttempts {
        attempts: 2,
        may_have_run: Some(ExecutedAttempt {
            host: 3,
            sent_ago: 4,
        }),
        tried_hosts: vec![3, 500],
    };
    assert_eq!(
        encoded(&ForwarderMessage::Follow {
            open_connections: 2
        }),
        "0002"
    );
    assert_eq!(encoded(&ForwarderMessage::StateSyncComplete), "01");
    assert_eq!(encoded(&ForwarderMessage::Unfollow), "02");
    assert_eq!(
        encoded(&ForwarderMessage::OpenConnection {
            id: 1,
            request: request(),
            host: 8
        }),
        "0301ac0201070001000000000000e03f80a8d6b90708"
    );
    assert_eq!(
        encoded(&ForwarderMessage::RequestPlacement {
            id: 1,
            decision_sequence: 3,
            request: request(),
            prior_attempts
        }),
        "040103ac0201070001000000000000e03f80a8d6b907020103040203f403"
    );
    assert_eq!(
        encoded(&ForwarderMessage::ConnectionEstablished { id: 1, took: 9 }),
        "050109"
    );
    assert_eq!(
        encoded(&ForwarderMessage::LoadMeasured { id: 1, load: 0.25 }),
        "0701000000000000d03f"
    );
    assert_eq!(
        encoded(&ForwarderMessage::MessageLatency {
            host: 8,
            latency: 300
        }),
        "0808ac02"
    );
    assert_eq!(encoded(&ForwarderMessage::ClientLeft { id: 1 }), "0901");
    assert_eq!(encoded(&ForwarderMessage::RequestClosed { id: 1 }), "0a01");
}

#[test]
fn attempt_outcomes_keep_their_bytes() {
    let all = [
        WireOutcome::Completed,
        WireOutcome::Error,
        WireOutcome::Rejected,
        WireOutcome::TimedOut,
        WireOutcome::ConnectFailed,
        WireOutcome::ConnectionLost,
        WireOutcome::Cancelled,
        WireOutcome::NeverSent,
        WireOutcome::HandedOver,
    ];
    let written: Vec<_> = all
        .iter()
        .map(|&outcome| {
            encoded(&ForwarderMessage::AttemptEnded {
                id: 1,
                decision_sequence: 2,
                outcome,
                request_over: true,
            })
        })
        .collect();
    assert_eq!(
        written.join(" "),
        "0601020001 0601020101 0601020201 0601020301 0601020401 0601020501 0601020601 0601020701 0601020801"
    );
}

#[test]
fn messages_of_planners_keep_their_bytes() {
    assert_eq!(
        encoded(&PlannerMessage::StartAttempt {
            id: 1,
            decision_sequence: 2,
            host: 8,
            time_limit: 300
        }),
        "00010208ac02"
    );
    assert_eq!(
        encoded(&PlannerMessage::Reject {
            id: 1,
            decision_sequence: 2,
            retry_after: 300
        }),
        "010102ac02"
    );
    assert_eq!(
        encoded(&PlannerMessage::Fail {
            id: 1,
            decision_sequence: 2
        }),
        "020102"
    );
    assert_eq!(encoded(&PlannerMessage::Migrate { id: 1 }), "0301");
    assert_eq!(
        encoded(&PlannerMessage::HostsComplete { list_version: 41 }),
        "0529"
    );
    assert_eq!(
        encoded(&PlannerMessage::Plan {
            hosts: vec![
                HostWeight {
                    host: 8,
                    weight: 300
                },
                HostWeight { host: 9, weight: 1 }
            ],
            allowance: 70_000
        }),
        "060208ac020901f0a204"
    );
    assert_eq!(encoded(&PlannerMessage::ShuttingDown), "07");
}

#[test]
fn hosts_keep_their_bytes() {
    let entry = |state| HostEntry {
        id: 8,
        name: "s-1".into(),
        address: Some("10.1.0.18:5000".parse().unwrap()),
        state,
        list_version: 41,
    };
    assert_eq!(
        encoded(&PlannerMessage::Host(entry(WireHostState::Ready))),
        "040803732d3101000a01001288270029"
    );
    assert_eq!(
        encoded(&PlannerMessage::Host(entry(WireHostState::Draining))),
        "040803732d3101000a01001288270129"
    );
    assert_eq!(
        encoded(&PlannerMessage::Host(entry(WireHostState::Gone))),
        "040803732d3101000a01001288270229"
    );
}

/// Messages refer to names by their index in a list. If two versions hashed the same lists differently, the planner
/// would reject the forwarder.
#[test]
fn the_fingerprint_of_names_stays_the_same() {
    assert_eq!(
        reedferry_control_plane::fingerprint(["offerings", "chat", "tenants", "zones", "a"]),
        17709142714992988890
    );
}
