//! The replica (the acceptor of Paxos): what one member has promised and accepted for others, kept in memory only.

use crate::messages::{
    AcceptedRecord, Ballot, RejectReason, ReplicaRequest, ReplicaResponse, RequestRecord,
    MAX_HISTORY_BYTES,
};
use reedferry_membership::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// The longest time for which a client may still wait, as far as a replica believes it, in nanoseconds. It keeps a
/// member with a wrong message from having records kept without end.
const MAX_TIME_LEFT: Nanos = 3600 * 1_000_000_000;

/// The most records that are dropped in one sweep, so that it does not hold up clients.
const MAX_DROPPED_PER_SWEEP: usize = 10_000;

/// The record that was accepted last.
#[derive(Clone, Hash)]
struct StoredRecord {
    ballot: Ballot,
    sequence: u64,
    record: RequestRecord,
    accepted_at: Nanos,
}

#[derive(Clone, Hash)]
struct Entry {
    promised: Ballot,
    accepted: Option<StoredRecord>,
    expires_at: Nanos,
}

/// The records that one member holds for others.
#[derive(Clone, Hash)]
pub struct Replica {
    started_at: Nanos,
    /// How long a record is kept after the end of its client's wait, in nanoseconds.
    retention: Nanos,
    max_records: usize,
    entries: BTreeMap<u64, Entry>,
    /// When each entry expires, with its key.
    expiries: BTreeSet<(Nanos, u64)>,
}

impl Replica {
    /// Creates a replica that starts at `now` without records. `retention` is in nanoseconds, and `max_records` is the
    /// maximum number of records (inclusive).
    pub fn new(now: Nanos, retention: Nanos, max_records: usize) -> Replica {
        Replica {
            started_at: now,
            retention,
            max_records,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Returns the number of records held.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Drops the records that have expired, up to [`MAX_DROPPED_PER_SWEEP`].
    pub fn sweep(&mut self, now: Nanos) {
        for _ in 0..MAX_DROPPED_PER_SWEEP {
            let Some(&(expires_at, key)) = self.expiries.first().filter(|(at, _)| *at <= now)
            else {
                return;
            };
            self.expiries.remove(&(expires_at, key));
            self.entries.remove(&key);
        }
    }

    /// Whether this replica votes. Until then, records that are still relevant may be missing, because an earlier process
    /// of this member gave promises that were lost with its memory.
    pub fn votes(&self, now: Nanos) -> bool {
        !self.may_have_forgotten(now)
    }

    fn may_have_forgotten(&self, now: Nanos) -> bool {
        now < self.started_at.saturating_add(self.retention)
    }

    /// Handles a coordinator's message and returns the response.
    pub fn handle(&mut self, now: Nanos, request: &ReplicaRequest) -> ReplicaResponse {
        let (key, ballot) = request.key_and_ballot();
        let reject = |reason| ReplicaResponse::Rejected {
            key,
            ballot,
            reason,
        };
        let known = self.entries.get(&key);
        let is_full = known.is_none() && self.entries.len() >= self.max_records;
        // Without this check, a non-idempotent request could run twice after a replica has lost the record of its first
        // attempt.
        if self.may_have_forgotten(now) || is_full {
            return reject(RejectReason::Unavailable);
        }
        if let Some(reason) = known.and_then(|entry| entry.reason_against(request)) {
            return reject(reason);
        }
        // The client may come again for as long as the retention, counted from when it stops waiting. Counted from the
        // last message, the record would be gone while an attempt that takes long is still in flight.
        let client_waits_until = now.saturating_add(request.time_left().min(MAX_TIME_LEFT));
        let expires_at = client_waits_until.saturating_add(self.retention);
        let entry = self.entries.entry(key).or_insert(Entry {
            promised: ballot,
            accepted: None,
            expires_at,
        });
        entry.promised = entry.promised.max(ballot);
        self.expiries.remove(&(entry.expires_at, key));
        entry.expires_at = entry.expires_at.max(expires_at);
        self.expiries.insert((entry.expires_at, key));
        match request {
            ReplicaRequest::Prepare { .. } => ReplicaResponse::Promised {
                key,
                ballot,
                accepted: entry.accepted_record(now),
            },
            ReplicaRequest::Accept { record, .. } if record.history.len() > MAX_HISTORY_BYTES => {
                reject(RejectReason::Unavailable)
            }
            ReplicaRequest::Accept {
                sequence, record, ..
            } => {
                entry.accepted = Some(StoredRecord {
                    ballot,
                    sequence: *sequence,
                    record: record.clone(),
                    accepted_at: now,
                });
                ReplicaResponse::Accepted {
                    key,
                    ballot,
                    sequence: *sequence,
                }
            }
        }
    }
}

impl Entry {
    /// Returns why the entry forbids a request, or `None` if it allows it. Without the check of the sequence, a record
    /// that was delayed on its way would replace a later one of its ballot, and the attempt that the later one describes
    /// would be forgotten.
    fn reason_against(&self, request: &ReplicaRequest) -> Option<RejectReason> {
        let (_, ballot) = request.key_and_ballot();
        if self.promised > ballot {
            return Some(RejectReason::HigherBallot(self.promised));
        }
        let ReplicaRequest::Accept { sequence, .. } = request else {
            return None;
        };
        let stored = self.accepted.as_ref()?;
        let is_earlier = stored.ballot == ballot && *sequence < stored.sequence;
        is_earlier.then_some(RejectReason::LaterRecord(stored.sequence))
    }

    fn accepted_record(&self, now: Nanos) -> Option<AcceptedRecord> {
        let stored = self.accepted.clone()?;
        Some(AcceptedRecord {
            ballot: stored.ballot,
            record: stored.record,
            age: now.saturating_sub(stored.accepted_at),
            sequence: stored.sequence,
        })
    }
}

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
