use super::*;
use crate::messages::{
    ExecutedAttempt, ForwarderMessage, PlacementRequest, PlannerMessage, PriorAttempts, Welcome,
    WireOutcome,
};

fn sample_messages() -> Vec<ForwarderMessage> {
    let request = PlacementRequest {
        class: 1,
        key: Some(7),
        group: None,
        usual_load: Some(0.5),
        time_left: 9,
    };
    let prior_attempts = PriorAttempts {
        attempts: 2,
        may_have_run: Some(ExecutedAttempt {
            host: 3,
            sent_ago: 4,
        }),
        tried_hosts: vec![3, 5],
    };
    vec![
        ForwarderMessage::Follow {
            open_connections: 2,
        },
        ForwarderMessage::OpenConnection {
            id: 1,
            request,
            host: 8,
        },
        ForwarderMessage::RequestPlacement {
            id: u64::MAX,
            decision_sequence: 3,
            request,
            prior_attempts,
        },
        ForwarderMessage::AttemptEnded {
            id: 1,
            decision_sequence: 2,
            outcome: WireOutcome::ConnectionLost,
            request_over: false,
        },
        ForwarderMessage::StateSyncComplete,
    ]
}

fn read(bytes: &[u8], size: usize) -> Result<(Vec<FrameHeader>, Vec<ForwarderMessage>), LinkError> {
    let (mut reader, mut headers, mut all) = (FrameReader::default(), Vec::new(), Vec::new());
    for chunk in bytes.chunks(size) {
        reader.feed(chunk, |body| {
            let (header, mut messages) = decode_frame(body)?;
            headers.push(header);
            while let Some(message) = messages.next_message()? {
                all.push(message);
            }
            Ok(())
        })?;
        assert!(reader.buffered() <= MAX_BODY_BYTES + LENGTH_BYTES);
    }
    Ok((headers, all))
}

#[test]
fn messages_of_a_turn_share_a_frame_and_decode_however_the_bytes_are_split() {
    let mut writer = FrameWriter::default();
    for turn in 0..3 {
        sample_messages()
            .iter()
            .for_each(|message| writer.append(5, turn, message));
        writer.finish_frame();
        writer.append_heartbeat(5, turn);
        assert!(!writer.sendable().is_empty());
        writer.finish_frame();
    }
    let bytes = writer.sendable().to_vec();
    for size in 1..bytes.len() {
        let (headers, all) = read(&bytes, size).unwrap();
        assert_eq!(
            headers.iter().map(|h| h.sequence).collect::<Vec<_>>(),
            [1, 2, 3, 4, 5, 6]
        );
        assert_eq!(
            all,
            [sample_messages(), sample_messages(), sample_messages()].concat()
        );
    }
    let count = bytes.len();
    writer.mark_sent(count);
    assert_eq!(writer.unsent_bytes(), 0);
}

#[test]
fn a_long_turn_is_split_into_frames_of_allowed_size() {
    let mut writer = FrameWriter::default();
    for _ in 0..4000 {
        sample_messages()
            .iter()
            .for_each(|message| writer.append(5, 1, message));
    }
    writer.finish_frame();
    let (headers, all) = read(writer.sendable(), 1 << 20).unwrap();
    assert!(headers.len() > 4 && all.len() == 20_000);
}

#[test]
fn a_frame_of_four_gigabytes_is_rejected_before_anything_is_buffered_for_it() {
    let mut reader = FrameReader::default();
    assert_eq!(
        reader.feed(&[0xff; 4], |_| Ok(())),
        Err(LinkError::FrameTooLong)
    );
    let mut reader = FrameReader::default();
    reader.feed(&[0xff; 3], |_| Ok(())).unwrap();
    assert_eq!(
        reader.feed(&[0xff; 1 << 16], |_| Ok(())),
        Err(LinkError::FrameTooLong)
    );
    assert!(reader.buffered() <= LENGTH_BYTES);
    // A length of four gigabytes inside a body is rejected as well.
    let mut scratch = Vec::new();
    let mut body = FrameWriter::encode(
        &mut scratch,
        &FrameHeader {
            session: 1,
            sequence: 1,
            heartbeat: 1,
        },
    )
    .to_vec();
    body.extend_from_slice(&[6, 0xff, 0xff, 0xff, 0xff, 0x0f]);
    assert_eq!(
        decode_frame(&body)
            .unwrap()
            .1
            .next_message::<PlannerMessage>(),
        Err(LinkError::Malformed)
    );
}

#[test]
fn other_versions_other_sessions_and_frames_out_of_sequence_are_rejected() {
    let mut writer = FrameWriter::default();
    writer.append_greeting(&Welcome::Session(3));
    let mut body = writer.sendable()[LENGTH_BYTES..].to_vec();
    assert_eq!(decode_greeting::<Welcome>(&body), Ok(Welcome::Session(3)));
    body[4] = 0;
    assert_eq!(
        decode_greeting::<Welcome>(&body),
        Err(LinkError::Version(0))
    );
    assert!(decode_greeting::<Welcome>(b"GET / HTTP/1.1\r\n").is_err());
    let mut check = SequenceCheck::default();
    let header = |session, sequence| FrameHeader {
        session,
        sequence,
        heartbeat: 0,
    };
    assert!(check.accept(&header(3, 1), 3).is_ok() && check.accept(&header(3, 2), 3).is_ok());
    assert!(check.accept(&header(3, 2), 3).is_err() && check.accept(&header(3, 4), 3).is_err());
    assert!(check.accept(&header(4, 3), 3).is_err() && check.accept(&header(3, 3), 3).is_ok());
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..Default::default()
    })]
    #[test]
    fn garbage_never_buffers_more_than_a_frame_and_never_panics(bytes: Vec<u8>, size in 1usize..64) {
        let mut reader = FrameReader::default();
        for chunk in bytes.chunks(size) {
            let result = reader.feed(chunk, |body| {
                let (_, mut messages) = decode_frame(body)?;
                while messages.next_message::<ForwarderMessage>()?.is_some() {}
                Ok(())
            });
            proptest::prop_assert!(reader.buffered() <= MAX_BODY_BYTES + LENGTH_BYTES);
            if result.is_err() {
                break;
            }
        }
    }
}
