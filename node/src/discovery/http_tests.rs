//! Tests of reading HTTP responses.

use super::*;

fn read(text: &[u8], size: usize) -> Result<(u16, Vec<u8>, bool, bool), HttpError> {
    let (mut response, mut body) = (HttpResponse::default(), Vec::new());
    for piece in text.chunks(size) {
        response.feed(piece, |bytes| {
            body.extend(bytes);
            Ok::<(), HttpError>(())
        })?;
    }
    Ok((
        response.status,
        body,
        response.is_complete(),
        response.closes_connection,
    ))
}

#[test]
fn reads_responses_regardless_of_how_they_are_split() {
    for (text, expected) in [
        ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", (200, "hello", true, false)),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n",
            (200, "hello", true, false),
        ),
        ("HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", (503, "", true, true)),
        ("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 204 None\r\n\r\n", (204, "", true, false)),
        ("HTTP/1.0 200 OK\r\n\r\nhello", (200, "hello", false, true)),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", (200, "hello", false, false)),
    ] {
        for size in 1..=text.len() {
            let (status, body, complete, closes) = read(text.as_bytes(), size).unwrap();
            assert_eq!((status, &*body, complete, closes), (expected.0, expected.1.as_bytes(), expected.2, expected.3));
        }
    }
    let mut response = HttpResponse::default();
    response
        .feed(b"HTTP/1.1 200 OK\r\n\r\nx", |_| Ok::<(), HttpError>(()))
        .unwrap();
    assert!(!response.is_complete() && response.on_close());
}

#[test]
fn rejects_malformed_responses() {
    for text in [
        "SSH-2.0\r\n",
        "HTTP/1.1 2x0 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "HTTP/1.1 200 OK\r\nno colon\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
    ] {
        assert!(read(text.as_bytes(), 3).is_err(), "{text}");
    }
    assert!(read(&[b'x'; 2 * MAX_LINE_BYTES], 100).is_err());
}
