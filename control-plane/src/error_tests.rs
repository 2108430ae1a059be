//! Guards against accidental changes of the error texts, which operators read and forwarders receive.

use super::*;

fn assert_text(error: impl Into<LinkError>, text: &str) {
    assert_eq!(error.into().to_string(), text);
}

#[test]
fn link_errors_keep_their_texts() {
    assert_text(LinkError::FrameTooLong, "frame too long");
    assert_text(LinkError::Malformed, "malformed frame");
    assert_text(
        LinkError::Version(0),
        "unsupported protocol version 0, expected 1",
    );
    assert_text(
        LinkError::RejectedByPeer("no".into()),
        "rejected by the peer: \"no\"",
    );
}

#[test]
fn protocol_violations_keep_their_texts() {
    assert_text(
        ProtocolViolation::NoGreeting,
        "first frame is not a greeting",
    );
    assert_text(
        ProtocolViolation::UnsolicitedBytes,
        "bytes received on a connection that is not open",
    );
    assert_text(ProtocolViolation::OtherSession, "frame of another session");
    assert_text(ProtocolViolation::OutOfSequence, "frame out of sequence");
    assert_text(
        ProtocolViolation::HeartbeatBackwards,
        "heartbeat number lower than the previous one",
    );
    assert_text(
        ProtocolViolation::UnknownHeartbeat,
        "answer to a heartbeat that was never sent",
    );
    assert_text(
        ProtocolViolation::TooManyTriedHosts,
        "request with too many tried hosts",
    );
    assert_text(
        ProtocolViolation::NotFollowing,
        "request of a forwarder that does not follow this planner",
    );
    assert_text(
        ProtocolViolation::DuplicateRequest,
        "request id already in use",
    );
    assert_text(ProtocolViolation::UnknownClass, "unknown request class");
    assert_text(
        ProtocolViolation::InvalidLoad,
        "load outside the allowed range",
    );
    assert_text(
        ProtocolViolation::InvalidHostName,
        "host name empty or too long",
    );
    assert_text(ProtocolViolation::TooManyHosts, "too many hosts");
    assert_text(
        ProtocolViolation::TooManyDrainReports,
        "too many hosts that drain or are gone",
    );
}

#[test]
fn session_rejections_keep_their_texts() {
    assert_text(SessionRejection::InvalidName, "no proper name");
    assert_text(SessionRejection::OtherPlanner, "another planner is meant");
    assert_text(SessionRejection::OtherSettings, "other settings");
    assert_text(SessionRejection::UnknownZone, "an unknown zone");
    assert_text(
        SessionRejection::OlderEpoch,
        "a forwarder of this name is here",
    );
}
