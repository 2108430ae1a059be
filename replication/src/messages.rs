//! The messages between coordinators and replicas. The order of variants and fields is the wire format, as older and
//! newer processes hold records for each other.

use reedferry_membership::{LeaseHolder, Nanos};
use serde::{Deserialize, Serialize};

/// The maximum length of a history that a replica accepts, in bytes (inclusive).
pub const MAX_HISTORY_BYTES: usize = 256;

/// The ballot under which a member owns a request. Of two ballots, the higher one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// The ballot number, chosen by the holder above every number that it has seen.
    pub number: u64,
    /// The member that owns the request under this ballot.
    pub holder: LeaseHolder,
}

/// The replicated state of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request's attempts, encoded by the caller.
    pub history: Vec<u8>,
    /// Whether the request has received its final answer.
    pub finished: bool,
}

/// A record as held by a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AcceptedRecord {
    /// The ballot under which the record was accepted.
    pub ballot: Ballot,
    /// The record.
    pub record: RequestRecord,
    /// How long ago the replica accepted the record by its own clock, in nanoseconds.
    pub age: Nanos,
    /// The sequence number under which the record was accepted. Of two records of one ballot, the one with the higher
    /// sequence number is the later one.
    pub sequence: u64,
}

/// A message from a coordinator to a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaRequest {
    /// Asks the replica to promise to accept nothing under a lower ballot, and to return the record that it accepted
    /// last.
    Prepare {
        /// The request's key.
        key: u64,
        /// The ballot to promise.
        ballot: Ballot,
        /// How long the client still waits for its answer, in nanoseconds.
        time_left: Nanos,
    },
    /// Asks the replica to accept a record.
    Accept {
        /// The request's key.
        key: u64,
        /// The ballot that was prepared.
        ballot: Ballot,
        /// The sequence number of the record, which the response repeats. Each record of a coordinator has a higher
        /// one than those before.
        sequence: u64,
        /// The record to accept.
        record: RequestRecord,
        /// How long the client still waits for its answer, in nanoseconds.
        time_left: Nanos,
    },
}

/// A message from a replica to a coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ReplicaResponse {
    /// The replica has promised the ballot.
    Promised {
        /// The request's key.
        key: u64,
        /// The promised ballot.
        ballot: Ballot,
        /// The record that this replica accepted last, or `None` if there is none.
        accepted: Option<AcceptedRecord>,
    },
    /// The replica has accepted the record.
    Accepted {
        /// The request's key.
        key: u64,
        /// The ballot of the accepted record.
        ballot: Ballot,
        /// The sequence number of the accept request.
        sequence: u64,
    },
    /// The replica has neither promised nor accepted the ballot.
    Rejected {
        /// The request's key.
        key: u64,
        /// The rejected ballot.
        ballot: Ballot,
        /// Why.
        reason: RejectReason,
    },
}

/// Why a replica has neither promised nor accepted a ballot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RejectReason {
    /// The replica has no capacity, may not vote yet, or the history is too long.
    Unavailable,
    /// The replica has promised this higher ballot.
    HigherBallot(Ballot),
    /// The replica has accepted a later record under the same ballot, with this sequence number.
    LaterRecord(u64),
}

impl ReplicaRequest {
    pub(crate) fn key_and_ballot(&self) -> (u64, Ballot) {
        match self {
            Self::Prepare { key, ballot, .. } | Self::Accept { key, ballot, .. } => (*key, *ballot),
        }
    }
}

impl ReplicaRequest {
    pub(crate) fn time_left(&self) -> Nanos {
        match self {
            Self::Prepare { time_left, .. } | Self::Accept { time_left, .. } => *time_left,
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
