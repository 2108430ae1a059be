//! Tests of the exact bytes of replication messages and of a replicated attempt history.

use super::*;
use crate::peers::attempt_history::PossibleRun;
use reedferry_replication::Ballot;

fn hex(value: &impl Serialize) -> String {
    postcard::to_allocvec(value)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[test]
fn replication_messages_keep_their_bytes() {
    let ballot = Ballot {
        number: 3,
        holder: LeaseHolder {
            member_index: 2,
            incarnation: 1_700_000_000_000,
        },
    };
    let request = ReplicationMessage::Request(ReplicaRequest::Prepare {
        key: 5,
        ballot,
        time_left: 1,
    });
    assert_eq!(hex(&request), "000005030280d095ffbc3101");
    let response = ReplicationMessage::Response(ReplicaResponse::Accepted {
        key: 5,
        ballot,
        sequence: 1,
    });
    assert_eq!(hex(&response), "010105030280d095ffbc3101");
}

/// Guards against nodes of an earlier version that get no votes during an upgrade.
#[test]
fn messages_of_an_earlier_version_are_read_with_a_last_number_of_zero() {
    let bytes = |text: &str| -> Vec<u8> {
        let digits: Vec<char> = text.chars().collect();
        digits
            .chunks(2)
            .map(|pair| u8::from_str_radix(&String::from_iter(pair), 16).unwrap())
            .collect()
    };
    let prepare = decode(&bytes("000005030280d095ffbc31")).unwrap();
    let ReplicationMessage::Request(ReplicaRequest::Prepare { key, time_left, .. }) = prepare
    else {
        panic!("not a prepare");
    };
    assert_eq!((key, time_left), (5, 0));
    let promised = decode(&bytes("010005030280d095ffbc3101030280d095ffbc3101070007"));
    let ReplicationMessage::Response(ReplicaResponse::Promised { accepted, .. }) =
        promised.unwrap()
    else {
        panic!("not a promise");
    };
    let accepted = accepted.unwrap();
    assert_eq!((accepted.age, accepted.sequence), (7, 0));
    assert!(decode(&bytes("0000")).is_err());
}

#[test]
fn attempt_history_keeps_its_bytes() {
    let history = AttemptHistory {
        attempts: 3,
        may_have_run: Some(PossibleRun {
            host: 0x0102_0304_0506_0708,
            age: 2 * SECOND,
        }),
        tried_hosts: vec![8, 9],
    };
    assert_eq!(hex(&history), "0301888e98a8c0e080810180a8d6b907020809");
    assert_eq!(hex(&AttemptHistory::default()), "000000");
}

/// Guards against keys that differ between builds or nodes: the records of one node would not be found by the others.
#[test]
fn the_key_of_a_record_stays_the_same() {
    assert_eq!(record_key(0x7f3a, "chat"), 0xa05f_0c86_deb7_e4d5);
    assert_ne!(record_key(0x7f3a, "chat"), record_key(0x7f3a, "pay"));
    assert_ne!(record_key(0x7f3a, "chat"), record_key(0x7f3b, "chat"));
}
