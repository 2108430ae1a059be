//! The reasons for which a session between a forwarder and a planner ends. Operators read the texts after `why=` in
//! log lines.

use crate::codec::PROTOCOL_VERSION;

/// The reason for which the connection to a peer is closed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// A frame's body is longer than [`MAX_BODY_BYTES`](crate::codec::MAX_BODY_BYTES).
    #[error("frame too long")]
    FrameTooLong,
    /// The bytes of a frame do not decode.
    #[error("malformed frame")]
    Malformed,
    /// The peer speaks another version of the protocol.
    #[error("unsupported protocol version {0}, expected {PROTOCOL_VERSION}")]
    Version(u16),
    /// The peer violated the protocol.
    #[error(transparent)]
    Violation(#[from] ProtocolViolation),
    /// This planner rejects the forwarder's session.
    #[error(transparent)]
    Rejected(#[from] SessionRejection),
    /// The peer rejected the session and gave this reason.
    #[error("rejected by the peer: {0:?}")]
    RejectedByPeer(String),
}

/// A way in which a peer violated the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolViolation {
    /// The first frame is not a greeting.
    #[error("first frame is not a greeting")]
    NoGreeting,
    /// Bytes arrived on a connection that is not open.
    #[error("bytes received on a connection that is not open")]
    UnsolicitedBytes,
    /// A frame carries the number of another session.
    #[error("frame of another session")]
    OtherSession,
    /// A frame was repeated, or a frame is missing.
    #[error("frame out of sequence")]
    OutOfSequence,
    /// A forwarder's heartbeat number is lower than the previous one.
    #[error("heartbeat number lower than the previous one")]
    HeartbeatBackwards,
    /// A planner answered a heartbeat that the forwarder never sent.
    #[error("answer to a heartbeat that was never sent")]
    UnknownHeartbeat,
    /// A request lists more than [`MAX_TRIED_HOSTS`](crate::messages::MAX_TRIED_HOSTS) tried hosts.
    #[error("request with too many tried hosts")]
    TooManyTriedHosts,
    /// A forwarder that does not follow the planner reported or sent a request.
    #[error("request of a forwarder that does not follow this planner")]
    NotFollowing,
    /// A forwarder reused the id of a request that is still on record.
    #[error("request id already in use")]
    DuplicateRequest,
    /// A request names a class that does not exist.
    #[error("unknown request class")]
    UnknownClass,
    /// A load is not finite, is negative or is implausibly large.
    #[error("load outside the allowed range")]
    InvalidLoad,
    /// A host's name is empty or longer than [`MAX_NAME_BYTES`](crate::messages::MAX_NAME_BYTES).
    #[error("host name empty or too long")]
    InvalidHostName,
    /// A planner sent more hosts than a forwarder keeps.
    #[error("too many hosts")]
    TooManyHosts,
    /// A planner reported more hosts as draining or gone than a forwarder keeps.
    #[error("too many hosts that drain or are gone")]
    TooManyDrainReports,
}

/// The reason for which a planner rejects a forwarder's session. The texts are sent to the forwarder and are part of
/// the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SessionRejection {
    /// The forwarder's name is empty or longer than [`MAX_NAME_BYTES`](crate::messages::MAX_NAME_BYTES).
    #[error("no proper name")]
    InvalidName,
    /// The forwarder's greeting names another planner.
    #[error("another planner is meant")]
    OtherPlanner,
    /// The forwarder's lists of names differ from the planner's.
    #[error("other settings")]
    OtherSettings,
    /// The forwarder's zone does not exist.
    #[error("an unknown zone")]
    UnknownZone,
    /// A forwarder of the same name with a higher epoch, which was started later, already has a session.
    #[error("a forwarder of this name is here")]
    OlderEpoch,
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
