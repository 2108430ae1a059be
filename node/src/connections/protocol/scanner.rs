//! A scanner for the lines in a proxied stream. Its serialized form is sent to the successor in a hot
//! restart, so the order and the types of its fields are fixed.

use super::{HostMessage, LineError, MAX_LINE_BYTES};
use serde::{Deserialize, Serialize};

/// How many bytes of a line are kept: enough to parse every [`HostMessage`].
const HEAD_BYTES: usize = 32;

/// Finds the lines in a stream that arrives in pieces of any size. Keeps only the first [`HEAD_BYTES`] bytes
/// of the current line.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LineScanner {
    /// The first bytes of the current line.
    head: [u8; HEAD_BYTES],
    /// The number of bytes of the current line that have arrived, 0 between two lines.
    length: u16,
}

impl LineScanner {
    /// Returns whether the stream is between two lines.
    pub fn between_lines(&self) -> bool {
        self.length == 0
    }

    /// Scans up to the end of the current line or of `bytes`, whichever comes first. Returns the number of
    /// bytes consumed and the message if the line is complete.
    ///
    /// # Errors
    /// Returns [`LineError::TooLong`], after which the stream cannot be scanned further.
    pub fn step(&mut self, bytes: &[u8]) -> Result<(usize, Option<HostMessage>), LineError> {
        let end = bytes.iter().position(|&b| b == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        let previous_length = usize::from(self.length);
        let length = previous_length + piece.len();
        if length >= MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        if previous_length < HEAD_BYTES {
            let copied = piece.len().min(HEAD_BYTES - previous_length);
            self.head[previous_length..previous_length + copied].copy_from_slice(&piece[..copied]);
        }
        self.length = length as u16;
        let Some(end) = end else {
            return Ok((bytes.len(), None));
        };
        let head = &self.head[..length.min(HEAD_BYTES)];
        let message = HostMessage::parse(head.strip_suffix(b"\r").unwrap_or(head));
        self.length = 0;
        Ok((end + 1, Some(message)))
    }
}
