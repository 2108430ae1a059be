//! Calls to the operators' HTTP endpoint.

use crate::peers::Peer;
use std::net::SocketAddr;

/// Sends this to where operators call, and reads the answer: its status, and its text.
pub fn send_call(at: SocketAddr, sent: &str) -> (u16, String) {
    let mut caller = Peer::connect(at);
    caller.write(sent);
    read_response(&mut caller)
}

/// The answer to a call, read to the end of its connection: its status, and its text.
pub fn read_response(caller: &mut Peer) -> (u16, String) {
    let status_line = caller.receive_line();
    let status = status_line
        .strip_prefix("HTTP/1.1 ")
        .and_then(|rest| rest.split(' ').next()?.parse().ok());
    let length = content_length(caller, &status_line);
    let text = String::from_utf8(caller.bytes(length)).unwrap();
    caller.expect_line("end");
    (status.unwrap_or_else(|| panic!("{status_line}")), text)
}

/// Reads the headers to their end, and returns the length of what follows them.
fn content_length(caller: &mut Peer, status_line: &str) -> usize {
    let mut length = None;
    loop {
        let line = caller.receive_line();
        // Without this, a test would never end where the answer is lost with its connection.
        assert!(
            !["end", "reset"].contains(&line.as_str()),
            "{line} in the middle of an answer: {status_line}"
        );
        if line.is_empty() {
            return length.unwrap();
        }
        if let Some(number) = line.strip_prefix("Content-Length: ") {
            length = Some(number.parse().unwrap());
        }
    }
}
