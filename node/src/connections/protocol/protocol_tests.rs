//! Tests of the line protocol.

use super::*;
use reedferry::MILLI;
use std::time::{Duration, Instant};

const LINE: &[u8] = b"OPEN 9b1f 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f,at=s-1,h=12.5,zz=1";

#[test]
fn request_line_is_parsed_and_forwarded_with_only_its_timeout_changed() {
    let Ok(ClientMessage::Request(request)) = parse_client_line(LINE) else {
        panic!()
    };
    assert_eq!(
        (request.class, request.tenant, request.previous_host),
        ("chat", "acme", Some("s-1"))
    );
    assert_eq!(
        (request.timeout, request.group),
        (2000 * MILLI, Some(0x5c0f))
    );
    assert_eq!(
        (request.key, request.usual_load),
        (Some(0x7f3a_9c21_e0b4_d655), Some(0.0125))
    );
    let mut digits = String::new();
    let forwarded = forwarded_line(LINE, 1_234_900_000, &mut digits).concat();
    let expected = String::from_utf8(LINE.to_vec())
        .unwrap()
        .replace("d=2000", "d=1234")
        + "\r\n";
    assert_eq!(String::from_utf8(forwarded).unwrap(), expected);
    assert_eq!(parse_client_line(b"PING"), Ok(ClientMessage::Ping));
}

#[test]
fn malformed_lines_are_rejected() {
    for line in [
        "",
        "OPEN",
        "OPEN a b",
        "OPEN a b c=x",
        "OPEN a b c=x,d=-1",
        "OPEN a b c=x,d=nan",
        "OPEN a b c=x,d=1e3",
        "OPEN a b c=x,d=+5",
        "OPEN a b c=x,d=soon",
        "OPEN a b c=x,d=",
        "OPEN a b c=x,d=99999999999999999999999",
        "OPEN a b c=x,d=5,d=6",
        "OPEN a b c=x,d=5,h=inf",
        "OPEN  b c=x,d=5",
        "OPEN a  c=x,d=5",
        "OPEN - b c=x,d=5",
        "open a b d=1",
    ] {
        assert!(parse_client_line(line.as_bytes()).is_err(), "{line}");
    }
    assert!(
        parse_client_line(b"OPEN a b d=1,c=\xff").is_err()
            && parse_client_line(b"OPEN a b d=1 x").is_err()
    );
    assert!(parse_client_line(b"OPEN a b d=1,c=\x01").is_err());
    assert_eq!(
        split_first_line(b"PING\r\nrest"),
        Ok(Some(Line {
            text: b"PING",
            length: 6
        }))
    );
    assert_eq!(split_first_line(b"PING\r"), Ok(None));
    assert!(
        split_first_line(b"PING\n").is_err() && split_first_line(&[b'x'; MAX_LINE_BYTES]).is_err()
    );
}

#[test]
fn load_report_is_read_by_name_or_by_position() {
    let names = ["x0".to_string(), "x1".to_string()];
    assert_eq!(parse_load_report(b"PONG x1=0.5,x0=2", &names), [2.0, 0.5]);
    assert_eq!(parse_load_report(b"PONG 2 0.5", &names), [2.0, 0.5]);
    for invalid in [
        &b"PONG"[..],
        b"PONG x0=2",
        b"PONG x0=nan,x1=1",
        b"PONG \xff",
        b"ERR no such thing",
    ] {
        assert!(parse_load_report(invalid, &names).is_empty());
    }
}

#[test]
fn scanner_finds_lines_in_pieces_of_any_size() {
    let text = b"UP 17\r\nLOAD 2500\r\nhello there\r\nBYE\r\nMO";
    for size in 1..text.len() {
        let (mut scanner, mut messages) = (LineScanner::default(), Vec::new());
        for piece in text.chunks(size) {
            let mut position = 0;
            while position < piece.len() {
                let (consumed, message) = scanner.step(&piece[position..]).unwrap();
                position += consumed;
                messages.extend(message);
            }
        }
        assert_eq!(
            messages,
            [
                HostMessage::Accepted,
                HostMessage::Load(0.0025),
                HostMessage::Other,
                HostMessage::Bye
            ]
        );
        assert!(!scanner.between_lines());
    }
    assert!(LineScanner::default()
        .step(&[b'x'; MAX_LINE_BYTES])
        .is_err());
    assert_eq!(HostMessage::parse(b"LOAD x"), HostMessage::Other);
}

/// Returns a valid `OPEN` line of at most `bytes` bytes with as many fields as fit, each of its own name.
fn line_of_many_fields(bytes: usize) -> String {
    const FIELD_BYTES: usize = ",xx=".len();
    let letters = || ('b'..='z').chain('B'..='Z');
    let names = letters().flat_map(|first| letters().map(move |second| (first, second)));
    let mut line = "OPEN 9b1f 7f3a c=chat,d=2000".to_string();
    for (first, second) in names {
        if line.len() + FIELD_BYTES > bytes {
            break;
        }
        line.push_str(&format!(",{first}{second}="));
    }
    line
}

/// Returns the shortest time that parsing the line takes.
fn parse_time(line: &str) -> Duration {
    const REPETITIONS: usize = 50;
    let parse = |_| {
        let started = Instant::now();
        assert!(parse_client_line(line.as_bytes()).is_ok());
        started.elapsed()
    };
    (0..REPETITIONS).map(parse).min().unwrap()
}

/// Guards against a first line that costs the square of its fields and holds up all other clients.
#[test]
fn the_cost_of_a_first_line_grows_as_its_length() {
    const KIB: usize = 1024;
    let one_kib = parse_time(&line_of_many_fields(KIB));
    for (kib, limit) in [(2, one_kib * 3), (4, one_kib * 8)] {
        // The limit lies between the cost that grows as the length and the one that grows as its square.
        let time = parse_time(&line_of_many_fields(kib * KIB));
        assert!(time < limit, "{kib} KiB: {time:?}, 1 KiB: {one_kib:?}");
    }
}

/// Guards against a double name that is accepted because it stands far behind the first one.
#[test]
fn a_double_name_is_an_error_wherever_it_stands() {
    let line = line_of_many_fields(MAX_LINE_BYTES - 16);
    assert!(parse_client_line(line.as_bytes()).is_ok());
    for name in ["c", "d", "bb", "bc"] {
        let double = format!("{line},{name}=1");
        assert_eq!(
            parse_client_line(double.as_bytes()),
            Err(LineError::DuplicateField),
            "{name}"
        );
    }
}
