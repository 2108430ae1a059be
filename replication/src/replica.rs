//! The replica (the acceptor of Paxos): what one member has promised and accepted for others, kept in memory only.

use crate::messages::{
    AcceptedRecord, Ballot, ReplicaRequest, ReplicaResponse, RequestRecord, MAX_HISTORY_BYTES,
};
use reedferry_membership::Nanos;
use std::collections::BTreeMap;

#[derive(Clone, Hash)]
struct Entry {
    promised: Ballot,
    accepted: Option<(Ballot, RequestRecord)>,
    accepted_at: Nanos,
    expires_at: Nanos,
}

/// The records that one member holds for others.
#[derive(Clone, Hash)]
pub struct Replica {
    started_at: Nanos,
    /// How long a record is kept after the last message about it, in nanoseconds.
    retention: Nanos,
    max_records: usize,
    entries: BTreeMap<u64, Entry>,
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
        }
    }

    /// Returns the number of records held.
    pub fn count(&self) -> usize {
        self.entries.len()
    }

    /// Drops the records that have expired.
    pub fn sweep(&mut self, now: Nanos) {
        self.entries.retain(|_, entry| now < entry.expires_at);
    }

    /// Whether records that are still relevant may be missing, because an earlier process of this member gave promises
    /// that were lost with its memory.
    fn may_have_forgotten(&self, now: Nanos) -> bool {
        now < self.started_at.saturating_add(self.retention)
    }

    /// Handles a coordinator's message and returns the response.
    pub fn handle(&mut self, now: Nanos, request: &ReplicaRequest) -> ReplicaResponse {
        let (key, ballot) = request.key_and_ballot();
        let reject = |promised| ReplicaResponse::Rejected {
            key,
            ballot,
            promised,
        };
        let known = self.entries.get(&key);
        let is_full = known.is_none() && self.entries.len() >= self.max_records;
        // Without this check, a non-idempotent request could run twice after a replica has lost the record of its first
        // attempt.
        if self.may_have_forgotten(now) || is_full {
            return reject(None);
        }
        if let Some(entry) = known.filter(|entry| entry.promised > ballot) {
            return reject(Some(entry.promised));
        }
        let expires_at = now.saturating_add(self.retention);
        let entry = self.entries.entry(key).or_insert(Entry {
            promised: ballot,
            accepted: None,
            accepted_at: now,
            expires_at,
        });
        entry.promised = entry.promised.max(ballot);
        entry.expires_at = expires_at;
        match request {
            ReplicaRequest::Prepare { .. } => ReplicaResponse::Promised {
                key,
                ballot,
                accepted: entry.accepted_record(now),
            },
            ReplicaRequest::Accept { record, .. } if record.history.len() > MAX_HISTORY_BYTES => {
                reject(None)
            }
            ReplicaRequest::Accept {
                sequence, record, ..
            } => {
                entry.accepted = Some((ballot, record.clone()));
                entry.accepted_at = now;
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
    fn accepted_record(&self, now: Nanos) -> Option<AcceptedRecord> {
        let (ballot, record) = self.accepted.clone()?;
        Some(AcceptedRecord {
            ballot,
            record,
            age: now.saturating_sub(self.accepted_at),
        })
    }
}

#[cfg(test)]
#[path = "replica_tests.rs"]
mod tests;
