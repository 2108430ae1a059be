//! Runs the adapter as a child process with many hosts and nodes, as a simulator does.

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

const NODE: u32 = 7;
const RECORD_BYTES: usize = 24;

/// Encodes the offset and length of a part of the tail.
fn tail_reference(offset: usize, length: usize) -> Vec<u8> {
    [(offset as u32).to_be_bytes(), (length as u32).to_be_bytes()].concat()
}

/// Returns the settings of the last of `HOSTS` nodes.
fn settings() -> String {
    format!(
        r#"{{"balancers":{HOSTS},"index":{},"zone":0,"zones":["a"],"registry_mode":"on_request","round":4.0,
        "offerings":[{{"name":"c","contract_time":500.0,"expiry":2000.0,"effect":"free","group":"all","payoff":1.0,
        "streaming":true}}],"contract":{{"ask_within":10000.0,"cold":1000.0,"cold_from":0.5,"drain_grace":300.0,
        "tip_after":1000.0,"tip_multiple":3.0}},"policy_limits":{{"connect_timeout":250.0,"most_hand_offs":3}},
        "extra":{{"message_aim":[50.0],"mode":"proxy"}}}}"#,
        HOSTS - 1
    )
}

/// Encodes an entry of the endpoint list. All hosts except the last are draining.
fn endpoint(host: u32) -> Vec<u8> {
    let state = if host + 1 == HOSTS { 1u8 } else { 2 };
    let mut entry = [
        &host.to_be_bytes()[..],
        &9000u16.to_be_bytes(),
        &[0; 5],
        &[state],
    ]
    .concat();
    entry.extend(1f32.to_be_bytes());
    entry.extend(0f64.to_be_bytes());
    assert_eq!(entry.len(), 24);
    entry
}

/// Encodes the arrival of a request.
fn request(id: u32) -> Vec<u8> {
    record(&[
        &[2],
        &NODE.to_be_bytes(),
        &id.to_be_bytes(),
        &[0, 0, 0],
        &u64::from(id).to_be_bytes(),
        &2000f64.to_be_bytes(),
    ])
}

/// Returns the adapter's replies to `input`.
fn replies(input: &[u8]) -> Vec<u8> {
    let mut adapter = Command::new(env!("CARGO_BIN_EXE_reedferry-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    adapter.stdin.take().unwrap().write_all(input).unwrap();
    let mut replies = Vec::new();
    let mut output = adapter.stdout.take().unwrap();
    output.read_to_end(&mut replies).unwrap();
    assert!(adapter.wait().unwrap().success());
    replies
}

/// Guards against a fixed limit on the number of hosts or nodes. Such a limit would truncate endpoint
/// lists, and a node whose index is beyond it would be mistaken for another node.
#[test]
fn eleven_hundred_hosts_and_nodes_are_all_known() {
    let settings = settings();
    let endpoints: Vec<u8> = (0..HOSTS).flat_map(endpoint).collect();
    let start = record(&[
        &[0],
        &NODE.to_be_bytes(),
        &3u64.to_be_bytes(),
        &tail_reference(0, settings.len()),
    ]);
    let list = record(&[
        &[1],
        &NODE.to_be_bytes(),
        &[3],
        &1u32.to_be_bytes(),
        &tail_reference(settings.len(), HOSTS as usize),
    ]);
    let tail = [settings.as_bytes(), &endpoints].concat();
    let mut input = batch(0, 1000.0, &[start, list], &tail);
    let requests: Vec<Vec<u8>> = (0..50).map(request).collect();
    input.extend(batch(1, 1004.0, &requests, &[]));

    let replies = replies(&input);
    let read_u32 = |offset: usize| {
        u32::from_be_bytes(replies[offset..offset + 4].try_into().unwrap()) as usize
    };
    let second_reply = 12 + read_u32(8);
    assert_eq!(read_u32(second_reply), 1);
    let actions = replies[second_reply + 12..]
        .chunks(RECORD_BYTES)
        .take(read_u32(second_reply + 4));
    let hosts: Vec<u32> = actions
        .filter(|action| action[0] == 5)
        .map(|action| u32::from_be_bytes(action[9..13].try_into().unwrap()))
        .collect();
    assert_eq!(hosts, [HOSTS - 1; 50]);
}
