//! Replicated request records: what is known of one request, by its key, survives the node that serves it.
//!
//! Three replicas, chosen from a cluster of fixed size by the key alone, hold each record in memory, each by its own
//! clock. A member owns a request under a ballot that a majority of the replicas promised, and a record is with a
//! majority before anything runs by it (Lamport, "Paxos Made Simple", 2001: [`ReplicaRequest::Prepare`] is the first
//! phase, [`ReplicaRequest::Accept`] the second). The replica's and the coordinator's side are state machines without
//! I/O: messages go in, messages and outcomes come out. This package must never look into a history, nor decide what
//! becomes of a request.

mod coordinator;
mod messages;
mod placement;
mod replica;

pub use coordinator::{Coordinator, Outcome};
pub use messages::{
    AcceptedRecord, Ballot, ReplicaRequest, ReplicaResponse, RequestRecord, MAX_HISTORY_BYTES,
};
pub use placement::replicas_of;
pub use reedferry_membership::LeaseHolder;
pub use replica::Replica;

#[cfg(test)]
mod model_tests;
