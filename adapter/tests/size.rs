//! The adapter as the bench starts it, told of many hosts and nodes.

use std::io::{Read, Write};
use std::process::{Command, Stdio};

const HOSTS: u32 = 1100;

fn record(parts: &[&[u8]]) -> Vec<u8> {
    let mut record = parts.concat();
    assert!(record.len() <= 56);
    record.resize(56, 0);
    record
}

fn batch(number: u32, clock: f64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let body = [&records.concat(), tail].concat();
    let sizes = [
        (body.len() as u32).to_be_bytes(),
        (records.len() as u32).to_be_bytes(),
    ];
    [
        &number.to_be_bytes()[..],
        &clock.to_be_bytes(),
        &sizes.concat(),
        &body,
    ]
    .concat()
}

/// Guards: lists and fleets cut off at some bound, or a node that takes a place beyond one for another's.
#[test]
fn eleven_hundred_hosts_and_nodes_are_all_known() {
    let settings = format!(
        r#"{{"balancers":{HOSTS},"index":{},"zone":0,"zones":["a"],"registry_mode":"on_request","round":4.0,
        "offerings":[{{"name":"c","contract_time":500.0,"expiry":2000.0,"effect":"free","group":"all","payoff":1.0,
        "streaming":true}}],"contract":{{"ask_within":10000.0,"cold":1000.0,"cold_from":0.5,"drain_grace":300.0,
        "tip_after":1000.0,"tip_multiple":3.0}},"policy_limits":{{"connect_timeout":250.0,"most_hand_offs":3}},
        "extra":{{"message_aim":[50.0],"mode":"proxy"}}}}"#,
        HOSTS - 1
    );
    let node = 7u32.to_be_bytes();
    // All but the last are leaving.
    let row = |n: u32| {
        let stage = if n + 1 == HOSTS { 1u8 } else { 2 };
        let mut row = [
            &n.to_be_bytes()[..],
            &9000u16.to_be_bytes(),
            &[0; 5],
            &[stage],
        ]
        .concat();
        row.extend(1f32.to_be_bytes());
        row.extend(0f64.to_be_bytes());
        assert_eq!(row.len(), 24);
        row
    };
    let rows: Vec<u8> = (0..HOSTS).flat_map(row).collect();
    let at = |offset: usize, length: usize| {
        [(offset as u32).to_be_bytes(), (length as u32).to_be_bytes()].concat()
    };
    let hello = record(&[&[0], &node, &3u64.to_be_bytes(), &at(0, settings.len())]);
    let view = record(&[
        &[1],
        &node,
        &[3],
        &1u32.to_be_bytes(),
        &at(settings.len(), HOSTS as usize),
    ]);
    let knock = |id: u32| {
        let waits = 2000f64.to_be_bytes();
        record(&[
            &[2],
            &node,
            &id.to_be_bytes(),
            &[0, 0, 0],
            &u64::from(id).to_be_bytes(),
            &waits,
        ])
    };
    let tail = [settings.as_bytes(), &rows].concat();
    let mut sent = batch(0, 1000.0, &[hello, view], &tail);
    sent.extend(batch(
        1,
        1004.0,
        &(0..50).map(knock).collect::<Vec<_>>(),
        &[],
    ));
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_reedferry-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    adapter.stdin.take().unwrap().write_all(&sent).unwrap();
    let mut replies = Vec::new();
    adapter
        .stdout
        .take()
        .unwrap()
        .read_to_end(&mut replies)
        .unwrap();
    assert!(adapter.wait().unwrap().success());
    let figure = |at: usize| u32::from_be_bytes(replies[at..at + 4].try_into().unwrap()) as usize;
    let second = 12 + figure(8);
    assert_eq!(figure(second), 1);
    let actions = replies[second + 12..].chunks(24).take(figure(second + 4));
    let hosts: Vec<u32> = actions
        .filter(|a| a[0] == 5)
        .map(|a| u32::from_be_bytes(a[9..13].try_into().unwrap()))
        .collect();
    assert_eq!(hosts, [HOSTS - 1; 50]);
}
