//! Why a session between a forwarder and a planner ends. The texts are what operators read after `why=`.

use crate::codec::PROTOCOL_VERSION;

/// Why a peer's connection is closed.
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
    /// The peer sent what the protocol does not allow.
    #[error(transparent)]
    Violation(#[from] ProtocolViolation),
    /// This planner rejects the forwarder's session.
    #[error(transparent)]
    Rejected(#[from] SessionRejection),
    /// The peer rejected the session, with its reason.
    #[error("turned away there: {0:?}")]
    RejectedByPeer(String),
}

/// What a peer sent that the protocol does not allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// The first frame is no greeting.
    #[error("no greeting of the link")]
    NoGreeting,
    /// Bytes on a connection that is not open.
    #[error("bytes that nobody asked for")]
    UnsolicitedBytes,
    /// A frame bears another session's number.
    #[error("a piece of another session")]
    OtherSession,
    /// A frame was repeated, or one is missing.
    #[error("a piece out of its turn")]
    OutOfSequence,
    /// A forwarder's heartbeat is lower than the one before.
    #[error("a beat that runs backwards")]
    HeartbeatBackwards,
    /// A planner answers a heartbeat that was never sent.
    #[error("a beat that was never sent")]
    UnknownHeartbeat,
    /// A request lists more tried hosts than allowed.
    #[error("a history without end")]
    TooManyTriedHosts,
    /// A request of a forwarder that does not follow the planner.
    #[error("an attachment of one that does not follow")]
    NotFollowing,
    /// A request whose id is in use.
    #[error("an attachment told twice")]
    DuplicateRequest,
    /// A request of a class that does not exist.
    #[error("an unknown offering")]
    UnknownClass,
    /// A load that is no finite, reasonable number.
    #[error("a load that is no figure")]
    InvalidLoad,
    /// A host's name is empty or too long.
    #[error("a host without a proper name")]
    InvalidHostName,
    /// More hosts than a forwarder keeps.
    #[error("more hosts than there may be")]
    TooManyHosts,
    /// More hosts that drain or are gone than a forwarder keeps.
    #[error("more hosts that are gone than there may be")]
    TooManyDrainReports,
}

/// Why a planner rejects a forwarder's session. The texts go to the forwarder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionRejection {
    /// The forwarder's name is empty or too long.
    #[error("no proper name")]
    InvalidName,
    /// The forwarder means another planner.
    #[error("another planner is meant")]
    OtherPlanner,
    /// The forwarder's lists of names are not the planner's.
    #[error("other settings")]
    OtherSettings,
    /// The forwarder's zone does not exist.
    #[error("an unknown zone")]
    UnknownZone,
    /// A later start of a forwarder of this name has a session.
    #[error("a forwarder of this name is here")]
    OlderEpoch,
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
