//! The line protocol of clients and hosts: text lines that end in CRLF. A client's first line opens a
//! connection ([`client`]), a host answers it and reports on the connection ([`host`]), and a scanner finds
//! the lines in a proxied stream ([`scanner`]). Only this module parses the commands and keys of lines; the
//! rest of the code uses its types. Its functions never panic on any input: a line that is incomplete, too
//! long or malformed is reported as such.

mod client;
mod error;
mod host;
pub mod keys;
mod scanner;

pub use client::{forwarded_line, parse_client_line, ClientMessage, OpenRequest};
pub use error::LineError;
pub use host::{parse_load_report, HostMessage};
pub use scanner::LineScanner;

/// The length of the longest valid line in bytes, its CRLF included.
pub const MAX_LINE_BYTES: usize = 4096;

/// Rejects a request for now; the client may retry it.
pub const BUSY_LINE: &[u8] = b"BUSY\r\n";
/// Reports that a request failed or is not served.
pub const ERROR_LINE: &[u8] = b"ERR\r\n";
/// Tells a client to connect elsewhere.
pub const MOVE_LINE: &[u8] = b"MOVE\r\n";

/// The first line of a buffer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line<'a> {
    /// The bytes of the line without its CRLF.
    pub text: &'a [u8],
    /// The length of the line in the buffer, its CRLF included.
    pub length: usize,
}

/// Returns the first line in `bytes`, or `None` if it is not complete yet.
///
/// # Errors
/// Returns an error if the line is too long or does not end in CRLF.
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
