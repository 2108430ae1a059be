//! Tests for the decoding of batches, with the examples of the protocol description.

use super::*;
use crate::hex::{hex, padded};
use crate::reply::Reply;
use reedferry::{Action, HostId};

/// Returns the instance and the event of the record with this index.
fn decode_event(body: &[u8], index: usize) -> (u32, Event) {
    let batch = Batch::new(1, body.len() / RECORD_BYTES, body).unwrap();
    match batch.command(index).unwrap() {
        (instance, Command::Event(event)) => (instance, event),
        other => panic!("{other:?}"),
    }
}

#[test]
fn decodes_the_example_batch() {
    let head = hex("0000000c 40c06e2000000000 000000a8 00000003")
        .try_into()
        .unwrap();
    assert_eq!(
        Header::decode(&head).unwrap(),
        Header {
            batch: 12,
            now: 8_412_250_000,
            body_bytes: 168,
            records: 3
        }
    );
    let mut body = padded(
        "02 00000003 5d3a91c4 00 0000 91f03b7c55d20a64 406e000000000000 4028000000000000
            2b8e6401d9f37c10 0001",
        RECORD_BYTES,
    );
    body.extend(padded("06 00000003 000000000000004d", RECORD_BYTES));
    body.extend(padded("05 00000005 0e6f2b19", RECORD_BYTES));
    let (instance, Event::RequestArrived(incoming)) = decode_event(&body, 0) else {
        panic!()
    };
    assert_eq!(
        (instance, incoming.id, incoming.time_left),
        (3, RequestId(0x5d3a91c4), 240_000_000)
    );
    assert_eq!(
        (incoming.usual_load, incoming.mid_stream),
        (Some(0.012), false)
    );
    assert!(matches!(
        decode_event(&body, 1),
        (3, Event::TimerFired { timer: 77 })
    ));
    assert!(matches!(
        decode_event(&body, 2),
        (
            5,
            Event::ClientLeft {
                id: RequestId(0x0e6f2b19)
            }
        )
    ));
}

#[test]
fn decodes_the_example_endpoint_list() {
    let mut body = padded("01 00000003 03 00000029 00000000 00000002", RECORD_BYTES);
    body.extend(hex(
        "0a124a07 1f43 0000 00 0000 01 3f800000 0000000000000000",
    ));
    body.extend(hex(
        "0a9011f2 1f6c 0001 00 0000 01 3fc00000 40b7d40000000000",
    ));
    let batch = Batch::new(1, 1, &body).unwrap();
    let (3, Command::Event(Event::EndpointsUpdated { kind, endpoints })) =
        batch.command(0).unwrap()
    else {
        panic!()
    };
    assert_eq!(
        (kind, endpoints.len(), endpoints[1].zone, endpoints[1].size),
        (EndpointUpdate::Cached, 2, 1, 1.5)
    );
    assert_eq!(
        (endpoints[0].started, endpoints[1].started),
        (None, Some(6_100_000_000))
    );
}

#[test]
fn decodes_the_example_records() {
    let ended = padded(
        "04 00000003 5d3a91c4 4032800000000000 0a124a07 1f43 01 00 00 00",
        RECORD_BYTES,
    );
    let (
        _,
        Event::AttemptEnded {
            host,
            request_over,
            ending,
            attempt,
            ..
        },
    ) = decode_event(&ended, 0)
    else {
        panic!()
    };
    assert_eq!(
        (host, request_over, ending, attempt),
        (HostId(0x0a12_4a07_1f43), true, AttemptOutcome::Completed, 0)
    );
    let established = padded(
        "03 00000003 5d3a91c4 00 0a124a07 1f43 4022800000000000",
        RECORD_BYTES,
    );
    assert!(matches!(
        decode_event(&established, 0).1,
        Event::ConnectionEstablished {
            took: 9_250_000,
            ..
        }
    ));
    let measured = padded(
        "0b 00000003 5d3a91c4 00 0a124a07 1f43 01 3f000000",
        RECORD_BYTES,
    );
    assert!(
        matches!(decode_event(&measured, 0).1, Event::LoadMeasured { load, .. } if load == 0.5e-6)
    );
    let probed = padded(
        "07 00000003 3ff6666666666666 00 0a9011f2 1f6c 00",
        RECORD_BYTES,
    );
    assert!(matches!(
        decode_event(&probed, 0).1,
        Event::ProbeEnded {
            ending: AttemptOutcome::Completed,
            ..
        }
    ));
    let open = "0a 00000003 0e6f2b19 00 0000 91f03b7c55d20a64 406e000000000000 4028000000000000
        2b8e6401d9f37c10 0001 0a9011f2 1f6c";
    let (_, Event::ConnectionFound(_, host)) = decode_event(&padded(open, RECORD_BYTES), 0) else {
        panic!()
    };
    assert_eq!(host, HostId(0x0a90_11f2_1f6c));
}

#[test]
fn gossip_is_decoded_and_encoded_as_in_the_example() {
    let mut body = padded("08 00000003 0002 00000000 00000004", RECORD_BYTES);
    body.extend(hex("68692037"));
    let batch = Batch::new(1, 1, &body).unwrap();
    let (3, Command::Event(Event::GossipReceived { message })) = batch.command(0).unwrap() else {
        panic!()
    };
    assert_eq!(message, b"hi 7");
    let mut reply = Reply::new(1);
    reply.push(3, &Action::Gossip { message });
    let mut expected = hex("00000001 00000001 0000001c");
    expected.extend(padded("09 00000003 ffffffff 00000000 00000004", 24));
    expected.extend(hex("68692037"));
    assert_eq!(reply.finish(), expected);
}

#[test]
fn malformed_batches_are_rejected_with_their_position() {
    assert!(Header::decode(
        &hex("00000001 7ff8000000000000 00000000 00000000")
            .try_into()
            .unwrap()
    )
    .is_err());
    assert!(Batch::new(1, 2, &[0; RECORD_BYTES]).is_err());
    for (record, expected) in [
        ("63 00000003", "unknown event code 99"),
        ("01 00000003 09", "unknown list kind 9"),
        (
            "01 00000003 04 00000001 00000000 00000003",
            "offset 0 with length 3",
        ),
        (
            "01 00000003 04 00000001 ffffffff ffffffff",
            "outside the tail of 0 bytes",
        ),
        (
            "04 00000003 00000001 0000000000000000 00000000 0000 00 09",
            "unknown outcome 9",
        ),
    ] {
        let body = padded(record, RECORD_BYTES);
        let error = Batch::new(7, 1, &body)
            .unwrap()
            .command(0)
            .unwrap_err()
            .to_string();
        assert!(
            error.starts_with("batch 7, record 0: ") && error.contains(expected),
            "{error}"
        );
    }
    assert!(reedferry_settings::balancer_settings(b"{")
        .unwrap_err()
        .to_string()
        .starts_with("settings: "));
    let minimal =
        br#"{"balancers": 1, "index": 0, "offerings": [], "policy_limits": {"most_hand_offs": 1},
        "contract": {"cold": 1, "cold_from": 1, "tip_after": 1, "tip_multiple": 1}}"#;
    assert!(reedferry_settings::balancer_settings(minimal)
        .unwrap_err()
        .to_string()
        .contains("offerings: the list of request classes is empty"));
    assert!(reedferry_settings::balancer_settings(b"{\"balancers\": 1}")
        .unwrap_err()
        .to_string()
        .contains("missing field"));
}
