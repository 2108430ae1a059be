//! What coordinators and replicas send each other. The order of variants and fields is the wire format: an older and a
//! newer process hold records for each other.

use reedferry_membership::{LeaseHolder, Nanos};
use serde::{Deserialize, Serialize};

/// The longest history that a replica accepts, in bytes.
pub const MAX_HISTORY_BYTES: usize = 256;

/// Under which a member owns a request; of two ballots the higher one counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Chosen by the holder, above every number that it has seen.
    pub number: u64,
    /// Who owns the request by it.
    pub holder: LeaseHolder,
}

/// What is known of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Its attempts, encoded by the caller.
    pub history: Vec<u8>,
    /// Whether it has had its final answer.
    pub finished: bool,
}

/// A record as a replica holds it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedRecord {
    /// The ballot under which it was accepted.
    pub ballot: Ballot,
    /// The record itself.
    pub record: RequestRecord,
    /// How long ago the replica accepted it, by the replica's clock.
    pub age: Nanos,
}

/// From a coordinator to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Asks for the promise to accept nothing under a lower ballot, and for the record accepted last.
    Prepare {
        /// The request's key.
        key: u64,
        /// The ballot to promise.
        ballot: Ballot,
    },
    /// Asks to accept a record.
    Accept {
        /// The request's key.
        key: u64,
        /// The ballot that was prepared.
        ballot: Ballot,
        /// Sent back with the response.
        sequence: u32,
        /// What to accept.
        record: RequestRecord,
    },
}

/// From a replica to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaResponse {
    /// The ballot is promised.
    Promised {
        /// The request's key.
        key: u64,
        /// The promised ballot.
        ballot: Ballot,
        /// What this replica accepted last.
        accepted: Option<AcceptedRecord>,
    },
    /// The record is accepted.
    Accepted {
        /// The request's key.
        key: u64,
        /// The ballot of the accepted record.
        ballot: Ballot,
        /// The sequence number of the request.
        sequence: u32,
    },
    /// Neither promised nor accepted.
    Rejected {
        /// The request's key.
        key: u64,
        /// The ballot that was rejected.
        ballot: Ballot,
        /// The higher ballot that counts. None where the replica has no capacity or may not vote yet.
        promised: Option<Ballot>,
    },
}

impl ReplicaRequest {
    pub(crate) fn key_and_ballot(&self) -> (u64, Ballot) {
        match self {
            Self::Prepare { key, ballot } | Self::Accept { key, ballot, .. } => (*key, *ballot),
        }
    }
}

impl ReplicaResponse {
    pub(crate) fn key_and_ballot(&self) -> (u64, Ballot) {
        match self {
            Self::Promised { key, ballot, .. }
            | Self::Accepted { key, ballot, .. }
            | Self::Rejected { key, ballot, .. } => (*key, *ballot),
        }
    }
}
