//! Tests for the encoding of replies, with the examples of the protocol description.

use super::*;
use crate::hex::{hex, padded};
use reedferry::HostId;

#[test]
fn encodes_the_example_reply() {
    let mut reply = Reply::new(12);
    let (id, host) = (RequestId(0x5d3a91c4), HostId(0x0a12_4a07_1f43));
    reply.push(
        3,
        &Action::StartAttempt {
            id,
            host,
            until: 8_492_250_000,
            by: u64::MAX,
        },
    );
    reply.push(
        3,
        &Action::SetTimer {
            time: 8_912_250_000,
            timer: 77,
        },
    );
    reply.push(5, &Action::Log("two servers known".into()));
    let mut expected = hex("0000000c 00000003 00000059");
    expected.extend(padded(
        "05 00000003 5d3a91c4 0a124a07 1f43 40c0962000000000",
        24,
    ));
    expected.extend(padded("06 00000003 40c1682000000000 000000000000004d", 24));
    expected.extend(padded("00 00000005 00000000 00000011", 24));
    expected.extend(hex("74776f2073657276657273206b6e6f776e"));
    assert_eq!(reply.finish(), expected);
}

#[test]
fn encodes_the_other_example_actions() {
    let (id, host) = (RequestId(0x0e6f2b19), HostId(0x0a90_11f2_1f6c));
    for (action, expected) in [
        (
            Action::Reject {
                id,
                retry_after: 250_000_000,
            },
            "01 00000003 0e6f2b19 406f400000000000",
        ),
        (Action::Fail { id }, "03 00000003 0e6f2b19"),
        (Action::Migrate { id }, "0b 00000003 0e6f2b19"),
        (
            Action::CancelAttempt { id, attempt: 1 },
            "08 00000003 0e6f2b19 01",
        ),
        (Action::PollEndpoints, "02 00000003"),
        (Action::WatchEndpoints, "0a 00000003 01"),
        (Action::Probe { host }, "04 00000003 0a9011f2 1f6c"),
    ] {
        let mut reply = Reply::new(1);
        reply.push(3, &action);
        assert_eq!(reply.finish()[12..], padded(expected, 24), "{action:?}");
    }
}
