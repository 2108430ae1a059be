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
