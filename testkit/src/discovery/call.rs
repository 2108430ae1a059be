//! One call to the discovery stand-in, as it was asked for.

use std::io::{BufRead, BufReader};
use std::net::TcpStream;
use std::time::Duration;

/// A poll, or a watch where it names the revision that the caller has.
pub(super) struct Call {
    pub(super) path: String,
    pub(super) from_revision: Option<u64>,
    /// How long a watch waits for a change.
    pub(super) hold: Duration,
}

impl Call {
    /// The next call on a connection, unless it ends.
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
