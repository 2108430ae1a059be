//! Tests of the bounds of a replica's memory, and a bug that the model tests inject.

use super::*;
use reedferry_membership::LeaseHolder;

const RETENTION: Nanos = 1000;

fn ballot(number: u64) -> Ballot {
    let holder = LeaseHolder {
        member_index: 0,
        incarnation: 1,
    };
    Ballot { number, holder }
}

/// An injected bug: promises that are not kept.
impl Replica {
    pub(crate) fn forget_promises(&mut self) {
        for entry in self.entries.values_mut() {
            entry.promised = ballot(0);
        }
    }
}

fn prepare(key: u64, number: u64) -> ReplicaRequest {
    ReplicaRequest::Prepare {
        key,
        ballot: ballot(number),
    }
}

fn accept(key: u64, sequence: u32, record: &RequestRecord) -> ReplicaRequest {
    ReplicaRequest::Accept {
        key,
        ballot: ballot(1),
        sequence,
        record: record.clone(),
    }
}

fn rejected(response: &ReplicaResponse) -> bool {
    matches!(response, ReplicaResponse::Rejected { promised: None, .. })
}

/// Guards against a replica whose memory grows without bound, and against one that drops promises in favour of new
/// records.
#[test]
fn a_full_replica_rejects_new_records_and_keeps_old_ones_until_they_expire() {
    let mut replica = Replica::new(0, RETENTION, 2);
    assert!(
        rejected(&replica.handle(10, &prepare(1, 1))),
        "a replica that has just started must reject"
    );
    let now = RETENTION + 1;
    let record = RequestRecord {
        history: vec![7],
        finished: false,
    };
    assert!(matches!(
        replica.handle(now, &prepare(1, 1)),
        ReplicaResponse::Promised { .. }
    ));
    assert!(matches!(
        replica.handle(now, &accept(1, 4, &record)),
        ReplicaResponse::Accepted { sequence: 4, .. }
    ));
    assert!(matches!(
        replica.handle(now, &prepare(2, 1)),
        ReplicaResponse::Promised { .. }
    ));
    assert!(rejected(&replica.handle(now, &prepare(3, 1))));
    let too_long = RequestRecord {
        history: vec![0; MAX_HISTORY_BYTES + 1],
        finished: false,
    };
    assert!(matches!(
        replica.handle(now, &accept(2, 5, &too_long)),
        ReplicaResponse::Rejected { .. }
    ));
    let accepted = Some(AcceptedRecord {
        ballot: ballot(1),
        record: record.clone(),
        age: 30,
    });
    let now = now + 30;
    assert_eq!(
        replica.handle(now, &prepare(1, 2)),
        ReplicaResponse::Promised {
            key: 1,
            ballot: ballot(2),
            accepted
        }
    );
    assert_eq!(
        replica.handle(now, &accept(1, 4, &record)),
        ReplicaResponse::Rejected {
            key: 1,
            ballot: ballot(1),
            promised: Some(ballot(2))
        }
    );
    replica.sweep(now + RETENTION);
    assert_eq!(replica.count(), 0);
}
