//! The exact bytes of every frame between forwarders and planners: an older and a newer process work together.

use reedferry_control_plane::frames::{
    Asked, Came, Down, Hello, PriorAttempts, Stands, Up, Welcome, Writer,
};
use reedferry_control_plane::HostLine;

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

fn asked() -> Asked {
    Asked {
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
    assert_eq!(note(&Up::Follow { standing: 2 }), "0002");
    assert_eq!(note(&Up::Told), "01");
    assert_eq!(note(&Up::Unfollow), "02");
    assert_eq!(
        note(&Up::Stands {
            id: 1,
            asked: asked(),
            host: 8
        }),
        "0301ac0201070001000000000000e03f80a8d6b90708"
    );
    assert_eq!(
        note(&Up::Ask {
            id: 1,
            step: 3,
            asked: asked(),
            past
        }),
        "040103ac0201070001000000000000e03f80a8d6b907020103040203f403"
    );
    assert_eq!(note(&Up::Begun { id: 1, took: 9 }), "050109");
    assert_eq!(
        note(&Up::LoadNow { id: 1, load: 0.25 }),
        "0701000000000000d03f"
    );
    assert_eq!(note(&Up::MessageTime { host: 8, time: 300 }), "0808ac02");
    assert_eq!(note(&Up::Left { id: 1 }), "0901");
    assert_eq!(note(&Up::Gone { id: 1 }), "0a01");
}

#[test]
fn how_an_attempt_ended_keeps_its_bytes() {
    let all = [
        Came::Done,
        Came::Error,
        Came::Refused,
        Came::TimedOut,
        Came::Unconnected,
        Came::Broken,
        Came::CalledOff,
        Came::NeverSent,
        Came::PassedOn,
    ];
    let written: Vec<_> = all
        .iter()
        .map(|&came| {
            note(&Up::Ended {
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
    let line = |stands| HostLine {
        id: 8,
        name: "s-1".into(),
        address: Some("10.1.0.18:5000".parse().unwrap()),
        stands,
        as_of: 41,
    };
    assert_eq!(
        note(&Down::HandOff {
            id: 1,
            step: 2,
            host: 8,
            within: 300
        }),
        "00010208ac02"
    );
    assert_eq!(
        note(&Down::Dismiss {
            id: 1,
            step: 2,
            wait: 300
        }),
        "010102ac02"
    );
    assert_eq!(note(&Down::GiveUp { id: 1, step: 2 }), "020102");
    assert_eq!(note(&Down::Move { id: 1 }), "0301");
    assert_eq!(
        note(&Down::Host(line(Stands::Ready))),
        "040803732d3101000a01001288270029"
    );
    assert_eq!(
        note(&Down::Host(line(Stands::Draining))),
        "040803732d3101000a01001288270129"
    );
    assert_eq!(
        note(&Down::Host(line(Stands::Gone))),
        "040803732d3101000a01001288270229"
    );
    assert_eq!(note(&Down::Listed { as_of: 41 }), "0529");
    assert_eq!(
        note(&Down::Plan {
            hosts: vec![(8, 300), (9, 1)],
            allowance: 70_000
        }),
        "060208ac020901f0a204"
    );
    assert_eq!(note(&Down::Going), "07");
}

/// Names stand for places in lists: two ends that hash the same lists otherwise would part.
#[test]
fn the_fingerprint_of_names_stays_the_same() {
    assert_eq!(
        reedferry_control_plane::fingerprint(["offerings", "chat", "tenants", "zones", "a"]),
        17709142714992988890
    );
}
