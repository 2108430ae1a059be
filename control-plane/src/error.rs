//! Why a session between a forwarder and a planner ends.

use crate::codec::PROTOCOL_VERSION;

/// Why a peer's connection is closed. The texts are what operators read after `why=`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// A frame is longer than the protocol allows.
    #[error("a frame that is too long")]
    FrameTooLong,
    /// Bytes that do not decode.
    #[error("a frame that cannot be read")]
    Malformed,
    /// The peer speaks another version of the protocol.
    #[error("version {0} of the link, not {PROTOCOL_VERSION}")]
    Version(u16),
    /// A message that the protocol does not allow at this point.
    #[error("{0}")]
    Unexpected(&'static str),
    /// The peer rejected the session, with its reason.
    #[error("turned away there: {0:?}")]
    Refused(String),
}
