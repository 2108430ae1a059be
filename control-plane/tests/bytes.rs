//! The exact bytes of every frame between forwarders and planners: an older and a newer process work together.

use reedferry_control_plane::frames::{
    ForwarderMessage, Hello, PlacementRequest, PlannerMessage, PriorAttempts, Welcome,
    WireHostState, WireOutcome, Writer,
};
use reedferry_control_plane::HostEntry;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn greeting(greeting: &impl serde::Serialize) -> String {
    let mut writer = Writer::default();
    writer.greet(greeting);
    hex(writer.waiting())
}

/// A note alone in the first piece of session 5 with beat 6, without the four bytes of length and the head.
fn note(note: &impl serde::Serialize) -> String {
    let mut writer = Writer::default();
    writer.put(5, 6, note);
    writer.seal();
    let frame = writer.waiting();
    assert_eq!(
        u32::from_le_bytes(frame[..4].try_into().unwrap()) as usize,
        frame.len() - 4
    );
    assert_eq!(frame[4..7], [5, 1, 6]);
    hex(&frame[7..])
}

fn asked() -> PlacementRequest {
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
fn notes_of_forwarders_keep_their_bytes() {
    let past = PriorAttempts {
        attempts: 2,
        ran: Some((3, 4)),
        tried: vec![3, 500],
    };
    assert_eq!(note(&ForwarderMessage::Follow { standing: 2 }), "0002");
    assert_eq!(note(&ForwarderMessage::StateSyncComplete), "01");
    assert_eq!(note(&ForwarderMessage::Unfollow), "02");
    assert_eq!(
        note(&ForwarderMessage::OpenConnection {
            id: 1,
            asked: asked(),
            host: 8
        }),
        "0301ac0201070001000000000000e03f80a8d6b90708"
    );
    assert_eq!(
        note(&ForwarderMessage::RequestPlacement {
            id: 1,
            step: 3,
            asked: asked(),
            past
        }),
        "040103ac0201070001000000000000e03f80a8d6b907020103040203f403"
    );
    assert_eq!(
        note(&ForwarderMessage::ConnectionEstablished { id: 1, took: 9 }),
        "050109"
    );
    assert_eq!(
        note(&ForwarderMessage::LoadMeasured { id: 1, load: 0.25 }),
        "0701000000000000d03f"
    );
    assert_eq!(
        note(&ForwarderMessage::MessageLatency { host: 8, time: 300 }),
        "0808ac02"
    );
    assert_eq!(note(&ForwarderMessage::ClientLeft { id: 1 }), "0901");
    assert_eq!(note(&ForwarderMessage::RequestClosed { id: 1 }), "0a01");
}

#[test]
fn how_an_attempt_ended_keeps_its_bytes() {
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
        .map(|&came| {
            note(&ForwarderMessage::AttemptEnded {
                id: 1,
                step: 2,
                came,
                over: true,
            })
        })
        .collect();
    assert_eq!(
        written.join(" "),
        "0601020001 0601020101 0601020201 0601020301 0601020401 0601020501 0601020601 0601020701 0601020801"
    );
}

#[test]
fn notes_of_planners_keep_their_bytes() {
    let line = |stands| HostEntry {
        id: 8,
        name: "s-1".into(),
        address: Some("10.1.0.18:5000".parse().unwrap()),
        stands,
        as_of: 41,
    };
    assert_eq!(
        note(&PlannerMessage::StartAttempt {
            id: 1,
            step: 2,
            host: 8,
            within: 300
        }),
        "00010208ac02"
    );
    assert_eq!(
        note(&PlannerMessage::Reject {
            id: 1,
            step: 2,
            wait: 300
        }),
        "010102ac02"
    );
    assert_eq!(note(&PlannerMessage::Fail { id: 1, step: 2 }), "020102");
    assert_eq!(note(&PlannerMessage::Migrate { id: 1 }), "0301");
    assert_eq!(
        note(&PlannerMessage::Host(line(WireHostState::Ready))),
        "040803732d3101000a01001288270029"
    );
    assert_eq!(
        note(&PlannerMessage::Host(line(WireHostState::Draining))),
        "040803732d3101000a01001288270129"
    );
    assert_eq!(
        note(&PlannerMessage::Host(line(WireHostState::Gone))),
        "040803732d3101000a01001288270229"
    );
    assert_eq!(note(&PlannerMessage::HostsComplete { as_of: 41 }), "0529");
    assert_eq!(
        note(&PlannerMessage::Plan {
            hosts: vec![(8, 300), (9, 1)],
            allowance: 70_000
        }),
        "060208ac020901f0a204"
    );
    assert_eq!(note(&PlannerMessage::ShuttingDown), "07");
}

/// Names stand for places in lists: two ends that hash the same lists otherwise would part.
#[test]
fn the_fingerprint_of_names_stays_the_same() {
    assert_eq!(
        reedferry_control_plane::fingerprint(["offerings", "chat", "tenants", "zones", "a"]),
        17709142714992988890
    );
}
