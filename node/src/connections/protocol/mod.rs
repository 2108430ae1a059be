//! The line protocol that clients and hosts speak: text lines that end in CRLF. The first line of a client
//! opens a connection ([`client`]), a host answers and reports on it ([`host`]), and a scanner finds the
//! lines in a proxied stream ([`scanner`]). The words and keys of the protocol are mapped to the terms of
//! the code here and nowhere else. Nothing here needs more of a line than it is given, and nothing panics:
//! a line that is split, too long or malformed is reported as such.

mod client;
mod error;
mod host;
pub mod keys;
mod scanner;

pub use client::{forwarded_line, parse_client_line, ClientMessage, OpenRequest};
pub use error::LineError;
pub use host::{parse_load_report, HostMessage};
pub use scanner::LineScanner;

/// The longest line, its CRLF included.
pub const MAX_LINE_BYTES: usize = 4096;

/// Answers that the client may retry.
pub const BUSY_LINE: &[u8] = b"BUSY\r\n";
/// Answers that a request failed, or is not served.
pub const ERROR_LINE: &[u8] = b"ERR\r\n";
/// Tells a client to connect elsewhere.
pub const MOVE_LINE: &[u8] = b"MOVE\r\n";

/// The first line of a buffer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line<'a> {
    /// Its bytes without the CRLF.
    pub text: &'a [u8],
    /// How many bytes of the buffer it takes, the CRLF included.
    pub length: usize,
}

/// The first line among `bytes`, or none while it is not complete.
///
/// # Errors
/// Where there will never be one: it is too long, or does not end in CRLF.
pub fn split_first_line(bytes: &[u8]) -> Result<Option<Line<'_>>, LineError> {
    match bytes.iter().take(MAX_LINE_BYTES).position(|&b| b == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some(Line {
            text: &bytes[..end - 1],
            length: end + 1,
        })),
        Some(_) => Err(LineError::NotCrlf),
        None if bytes.len() >= MAX_LINE_BYTES => Err(LineError::TooLong),
        None => Ok(None),
    }
}

#[cfg(test)]
#[path = "protocol_tests.rs"]
mod tests;
