//! The requests that the stand-in for the discovery service reads.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::time::Duration;

/// A call for the list: a watch if it names the revision that the caller has, a poll otherwise.
pub(super) struct Call {
    pub(super) path: String,
    pub(super) from_revision: Option<u64>,
    /// How long a watch waits for a change; zero if the call names no time.
    pub(super) hold: Duration,
}

impl Call {
    /// Reads the next call from a connection. Returns `None` if the connection ends.
    pub(super) fn read(reader: &mut BufReader<TcpStream>) -> Option<Call> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if !matches!(reader.read_line(&mut head), Ok(1..)) {
                return None;
            }
        }
        let path = head.split(' ').nth(1).unwrap();
        let parameter = |name: &str| -> Option<u64> {
            path.split(['?', '&'])
                .find_map(|part| part.strip_prefix(name))
                .map(|value| value.parse().unwrap())
        };
        Some(Call {
            from_revision: parameter("from="),
            hold: Duration::from_millis(parameter("hold_ms=").unwrap_or(0)),
            path: path.to_string(),
        })
    }
}
