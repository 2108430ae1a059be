//! The messages between a process and its successor, and their encoding. Any change to the encoding requires a new
//! [`VERSION`].

use crate::connections::{ConnectionHandover, IdNotice};
use crate::discovery::list::Member;
use reedferry::{InheritedState, Nanos, RequestClass};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The protocol version. If the two processes speak different versions, the successor starts without inherited state.
pub(super) const VERSION: u16 = 3;

/// A message from the successor to its predecessor.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum FromSuccessor {
    /// The first message, which requests the state and holds the successor's protocol version.
    Hello(u16),
    /// Whether the successor adopted the connection that was sent first among those not acknowledged yet.
    Adopted(bool),
    /// A notice about a request's id. Sent only to a predecessor that has sent notices itself, as an older one does not
    /// know this message.
    IdNotice(IdNotice),
}

/// A message from the predecessor to its successor.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum FromPredecessor {
    /// The next part of the encoded [`TransferredState`], and whether it is the last part. After the last part, notices
    /// about ids in the form of [`encode_id_notices`], which an older successor ignores.
    StateChunk(Vec<u8>, bool),
    /// A connection, whose sockets are passed as descriptors of the same message.
    Connection(Box<ConnectionHandover>),
}

/// The state that a process transfers to its successor.
#[derive(Serialize, Deserialize)]
pub struct TransferredState {
    /// The address of the list service whose endpoint list the predecessor watched.
    pub discovery: SocketAddr,
    /// How far the predecessor's clock is ahead of the machine's monotonic clock, in nanoseconds.
    pub clock_offset: Nanos,
    /// The revision of the endpoint list, or `None` if the predecessor had none.
    pub revision: Option<u64>,
    /// The hosts of the endpoint list.
    pub members: Vec<Member>,
    /// The names of the request classes, in the order to which the class indices in `inherited` refer.
    pub classes: Vec<String>,
    /// The request classes of pending and open requests, with their names.
    pub referenced_classes: Vec<(String, RequestClass)>,
    /// The exported state of the decision core.
    pub inherited: InheritedState,
}

impl TransferredState {
    /// Returns the state with its class indices mapped to this order of classes. A class that the predecessor does not
    /// know has no load.
    pub fn with_classes(mut self, classes: &[String]) -> TransferredState {
        let load_of = |name: &String| {
            let index = self.classes.iter().position(|class| class == name)?;
            self.inherited.class_loads.get(index).copied().flatten()
        };
        self.inherited.class_loads = classes.iter().map(load_of).collect();
        self.classes = classes.to_vec();
        self
    }
}

/// The first bytes of notices about ids, which tell them from a part of the state that arrives late.
const ID_NOTICES_TAG: &[u8] = b"id notices";

/// Encodes notices about ids, which follow the state or are the content of a later [`FromPredecessor::StateChunk`].
pub(super) fn encode_id_notices(notices: &[IdNotice]) -> Vec<u8> {
    [ID_NOTICES_TAG, &encode(&notices)].concat()
}

/// Decodes what follows the state. Returns `None` if it holds no notices about ids.
pub(super) fn decode_id_notices(chunk: &[u8]) -> Option<Vec<IdNotice>> {
    postcard::from_bytes(chunk.strip_prefix(ID_NOTICES_TAG)?).ok()
}

/// Encodes a message.
pub(super) fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

#[cfg(test)]
#[path = "messages_bytes_tests.rs"]
mod bytes_tests;
