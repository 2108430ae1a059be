//! Calls to the operators' HTTP endpoint.

use crate::peers::Peer;
use std::net::SocketAddr;

/// Sends the bytes of an HTTP request to the operators' endpoint at `at`. Returns the status of the response and its
/// body.
pub fn send_call(at: SocketAddr, sent: &str) -> (u16, String) {
    let mut caller = Peer::connect(at);
    caller.write(sent);
    read_response(&mut caller)
}

/// Reads the response to a call up to the end of the connection. Returns its status and its body.
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

/// Reads the headers and returns the length of the body.
fn content_length(caller: &mut Peer, status_line: &str) -> usize {
    let mut length = None;
    loop {
        let line = caller.receive_line();
        // Without this check, a test would never end if the connection closes before the response is complete.
        assert!(
            !["end", "reset"].contains(&line.as_str()),
            "connection ended ({line}) within the response: {status_line}"
        );
        if line.is_empty() {
            return length.unwrap();
        }
        if let Some(number) = line.strip_prefix("Content-Length: ") {
            length = Some(number.parse().unwrap());
        }
    }
}
