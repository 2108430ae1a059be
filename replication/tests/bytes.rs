//! Pins the encoding of requests to replicas and their responses, as older and newer processes hold records for each
//! other.

use reedferry_replication::{
    replicas_of, AcceptedRecord, Ballot, LeaseHolder, RejectReason, ReplicaRequest,
    ReplicaResponse, RequestRecord,
};

const KEY: u64 = 0x0123_4567_89ab_cdef;

fn ballot(number: u64, member_index: u32) -> Ballot {
    Ballot {
        number,
        holder: LeaseHolder {
            member_index,
            incarnation: 1_700_000_000_000,
        },
    }
}

fn hex(value: &impl serde::Serialize) -> String {
    postcard::to_allocvec(value)
        .unwrap()
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

#[test]
fn requests_keep_their_encoding() {
    let record = RequestRecord {
        history: vec![1, 2, 255],
        finished: true,
    };
    assert_eq!(
        hex(&ReplicaRequest::Prepare {
            key: KEY,
            ballot: ballot(3, 2),
            time_left: 300
        }),
        "00ef9bafcdf8acd19101030280d095ffbc31ac02"
    );
    assert_eq!(
        hex(&ReplicaRequest::Accept {
            key: KEY,
            ballot: ballot(300, 0),
            sequence: 9,
            record,
            time_left: 0
        }),
        "01ef9bafcdf8acd19101ac020080d095ffbc3109030102ff0100"
    );
}

#[test]
fn responses_keep_their_encoding() {
    let record = RequestRecord {
        history: vec![7; 3],
        finished: false,
    };
    let promised = ReplicaResponse::Promised {
        key: KEY,
        ballot: ballot(3, 2),
        accepted: Some(AcceptedRecord {
            ballot: ballot(2, 1),
            record,
            age: 1_000_000_007,
            sequence: 300,
        }),
    };
    assert_eq!(
        hex(&promised),
        "00ef9bafcdf8acd19101030280d095ffbc3101020180d095ffbc3103070707008794ebdc03ac02"
    );
    assert_eq!(
        hex(&ReplicaResponse::Promised {
            key: KEY,
            ballot: ballot(3, 2),
            accepted: None
        }),
        "00ef9bafcdf8acd19101030280d095ffbc3100"
    );
    assert_eq!(
        hex(&ReplicaResponse::Accepted {
            key: KEY,
            ballot: ballot(3, 2),
            sequence: 70_000
        }),
        "01ef9bafcdf8acd19101030280d095ffbc31f0a204"
    );
    assert_eq!(
        hex(&ReplicaResponse::Rejected {
            key: KEY,
            ballot: ballot(3, 2),
            reason: RejectReason::HigherBallot(ballot(4, 1))
        }),
        "02ef9bafcdf8acd19101030280d095ffbc3101040180d095ffbc31"
    );
    assert_eq!(
        hex(&ReplicaResponse::Rejected {
            key: KEY,
            ballot: ballot(3, 2),
            reason: RejectReason::Unavailable
        }),
        "02ef9bafcdf8acd19101030280d095ffbc3100"
    );
    assert_eq!(
        hex(&ReplicaResponse::Rejected {
            key: KEY,
            ballot: ballot(3, 2),
            reason: RejectReason::LaterRecord(300)
        }),
        "02ef9bafcdf8acd19101030280d095ffbc3102ac02"
    );
}

/// The replicas of a record must follow from its key alone: two builds that choose differently would not share a
/// majority.
#[test]
fn the_replicas_of_a_record_stay_the_same() {
    let replicas = |key, cluster_size| replicas_of(key, cluster_size);
    assert_eq!(replicas(KEY, 0), [0; 0]);
    assert_eq!(replicas(KEY, 2), [1, 0]);
    assert_eq!(replicas(KEY, 5), [3, 2, 4]);
    assert_eq!(replicas(1, 300), [167, 141, 274]);
}
