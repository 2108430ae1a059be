//! Prevents changes of the texts, which operators read and forwarders are sent.

use super::*;

fn assert_text(error: impl Into<LinkError>, text: &str) {
    assert_eq!(error.into().to_string(), text);
}

#[test]
fn link_errors_keep_their_texts() {
    assert_text(LinkError::FrameTooLong, "a frame that is too long");
    assert_text(LinkError::Malformed, "a frame that cannot be read");
    assert_text(LinkError::Version(0), "version 0 of the link, not 1");
    assert_text(
        LinkError::RejectedByPeer("no".into()),
        "turned away there: \"no\"",
    );
}

#[test]
fn protocol_violations_keep_their_texts() {
    assert_text(ProtocolViolation::NoGreeting, "no greeting of the link");
    assert_text(
        ProtocolViolation::UnsolicitedBytes,
        "bytes that nobody asked for",
    );
    assert_text(
        ProtocolViolation::OtherSession,
        "a piece of another session",
    );
    assert_text(ProtocolViolation::OutOfSequence, "a piece out of its turn");
    assert_text(
        ProtocolViolation::HeartbeatBackwards,
        "a beat that runs backwards",
    );
    assert_text(
        ProtocolViolation::UnknownHeartbeat,
        "a beat that was never sent",
    );
    assert_text(
        ProtocolViolation::TooManyTriedHosts,
        "a history without end",
    );
    assert_text(
        ProtocolViolation::NotFollowing,
        "an attachment of one that does not follow",
    );
    assert_text(
        ProtocolViolation::DuplicateRequest,
        "an attachment told twice",
    );
    assert_text(ProtocolViolation::UnknownClass, "an unknown offering");
    assert_text(ProtocolViolation::InvalidLoad, "a load that is no figure");
    assert_text(
        ProtocolViolation::InvalidHostName,
        "a host without a proper name",
    );
    assert_text(
        ProtocolViolation::TooManyHosts,
        "more hosts than there may be",
    );
    assert_text(
        ProtocolViolation::TooManyDrainReports,
        "more hosts that are gone than there may be",
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
