//! Replicated request records: what is known of a request, identified by its key, survives the node that serves it.
//!
//! Three replicas, chosen from a cluster of fixed size by the key alone, hold each record in memory and expire it, each
//! by its own clock. A member owns a request under a ballot that a majority of the replicas has promised, and a record
//! must be accepted by a majority before any attempt that it describes is sent (Lamport, "Paxos Made Simple", 2001:
//! [`ReplicaRequest::Prepare`] is the first phase, [`ReplicaRequest::Accept`] the second). Replica and coordinator are
//! state machines without I/O: messages go in, messages and outcomes come out. This crate treats the history in a
//! record as opaque; what happens to a request is decided by the caller.

mod coordinator;
mod messages;
mod placement;
mod replica;

pub use coordinator::{Coordinator, Outcome};
pub use messages::{
    AcceptedRecord, Ballot, RejectReason, ReplicaRequest, ReplicaResponse, RequestRecord,
    MAX_HISTORY_BYTES,
};
pub use placement::replicas_of;
pub use reedferry_membership::LeaseHolder;
pub use replica::Replica;

#[cfg(test)]
mod model_tests;
