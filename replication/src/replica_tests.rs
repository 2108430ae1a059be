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

/// Injected bugs: promises that are not kept, and the sequence of records that is not known.
impl Replica {
    pub(crate) fn forget_promises(&mut self) {
        for entry in self.entries.values_mut() {
            entry.promised = ballot(0);
        }
    }

    pub(crate) fn forget_sequences(&mut self) {
        for stored in self.entries.values_mut().flat_map(|e| &mut e.accepted) {
            stored.sequence = 0;
        }
    }
}

fn prepare(key: u64, number: u64) -> ReplicaRequest {
    ReplicaRequest::Prepare {
        key,
        ballot: ballot(number),
        time_left: 0,
    }
}

fn accept(key: u64, sequence: u64, record: &RequestRecord) -> ReplicaRequest {
    ReplicaRequest::Accept {
        key,
        ballot: ballot(1),
        sequence,
        record: record.clone(),
        time_left: 0,
    }
}

fn rejected(response: &ReplicaResponse) -> bool {
    matches!(
        response,
        ReplicaResponse::Rejected {
            reason: RejectReason::Unavailable,
            ..
        }
    )
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
        sequence: 4,
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
            reason: RejectReason::HigherBallot(ballot(2))
        }
    );
    replica.sweep(now + RETENTION);
    assert_eq!(replica.count(), 0);
}

/// Guards against a record that is delayed on its way and replaces a later one of the same ballot.
#[test]
fn an_earlier_record_of_a_ballot_does_not_replace_a_later_one() {
    let mut replica = Replica::new(0, RETENTION, 2);
    let now = RETENTION;
    let record = |attempts| RequestRecord {
        history: vec![attempts],
        finished: false,
    };
    replica.handle(now, &prepare(1, 1));
    replica.handle(now, &accept(1, 2, &record(2)));
    assert_eq!(
        replica.handle(now, &accept(1, 1, &record(1))),
        ReplicaResponse::Rejected {
            key: 1,
            ballot: ballot(1),
            reason: RejectReason::LaterRecord(2)
        }
    );
    // The same record may arrive twice.
    assert!(matches!(
        replica.handle(now, &accept(1, 2, &record(2))),
        ReplicaResponse::Accepted { sequence: 2, .. }
    ));
    let ReplicaResponse::Promised { accepted, .. } = replica.handle(now, &prepare(1, 2)) else {
        panic!("not promised");
    };
    assert_eq!(accepted.unwrap().record, record(2));
}

/// Guards against a record that expires while its attempt is still in flight, or before its client can come again.
#[test]
fn a_record_is_kept_until_its_client_can_no_longer_come_again() {
    const TIME_LEFT: Nanos = 700;
    let mut replica = Replica::new(0, RETENTION, 2);
    let now = RETENTION;
    let longest = ReplicaRequest::Accept {
        key: 1,
        ballot: ballot(1),
        sequence: 1,
        record: RequestRecord::default(),
        time_left: TIME_LEFT,
    };
    replica.handle(now, &longest);
    // A later message with less time left does not shorten the record's life.
    replica.handle(now + 1, &prepare(1, 2));
    replica.sweep(now + TIME_LEFT + RETENTION - 1);
    assert_eq!(replica.count(), 1);
    replica.sweep(now + TIME_LEFT + RETENTION);
    assert_eq!(replica.count(), 0);
    // No message has a record kept without end.
    let endless = ReplicaRequest::Prepare {
        key: 1,
        ballot: ballot(1),
        time_left: Nanos::MAX,
    };
    replica.handle(now, &endless);
    replica.sweep(now + MAX_TIME_LEFT + RETENTION);
    assert_eq!(replica.count(), 0);
}

/// Guards against a sweep that holds up clients while it drops very many records.
#[test]
fn a_sweep_drops_a_bounded_number_of_records() {
    let count = MAX_DROPPED_PER_SWEEP + 1;
    let mut replica = Replica::new(0, RETENTION, count);
    for key in 0..count as u64 {
        replica.handle(RETENTION, &prepare(key, 1));
    }
    replica.sweep(2 * RETENTION);
    assert_eq!(replica.count(), 1);
    replica.sweep(2 * RETENTION);
    assert_eq!(replica.count(), 0);
}
