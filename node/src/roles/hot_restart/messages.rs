//! The messages between a process and its successor. This module owns their encoding, which must never change without a new
//! [`VERSION`].

use crate::connections::ConnectionHandover;
use crate::discovery::list::Member;
use reedferry::{InheritedState, Nanos, RequestClass};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version of the protocol. Both processes must speak the same one, or the successor starts without inherited state.
pub(super) const VERSION: u16 = 3;

/// A message from the successor to its predecessor.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum FromSuccessor {
    /// The successor is connected and speaks this version.
    Hello(u16),
    /// Whether the successor adopted the oldest connection in transit.
    Adopted(bool),
}

/// A message from a predecessor to its successor.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum FromPredecessor {
    /// The next part of the encoded [`TransferredState`], and whether it is the last.
    StateChunk(Vec<u8>, bool),
    /// A connection, whose sockets travel with the message.
    Connection(Box<ConnectionHandover>),
}

/// The state that a process transfers to its successor.
#[derive(Serialize, Deserialize)]
pub struct TransferredState {
    /// The discovery service whose endpoint list the predecessor watched.
    pub discovery: SocketAddr,
    /// How far the predecessor's clock is ahead of the machine's monotonic clock.
    pub clock_ahead: Nanos,
    /// The revision of the endpoint list.
    pub revision: Option<u64>,
    /// The hosts of the endpoint list.
    pub members: Vec<Member>,
    /// The names of the request classes, in the order of the indices that the rest uses.
    pub classes: Vec<String>,
    /// The request classes that connections refer to, by name.
    pub referenced_classes: Vec<(String, RequestClass)>,
    /// The state of the decision core.
    pub inherited: InheritedState,
}

impl TransferredState {
    /// The same state with its class indices mapped to this order of classes.
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

/// The bytes of a message.
pub(super) fn encode(message: &impl Serialize) -> Vec<u8> {
    postcard::to_allocvec(message).unwrap_or_default()
}

#[cfg(test)]
#[path = "messages_bytes_tests.rs"]
mod bytes_tests;
