//! A scanner for lines in a proxied stream. Its form passes between two processes of a hot restart.

use super::{HostMessage, LineError, MAX_LINE_BYTES};
use serde::{Deserialize, Serialize};

/// How much of a line is kept: enough for every [`HostMessage`].
const HEAD_BYTES: usize = 32;

/// Finds the lines in a stream, however it is split, and keeps no more than the head of one.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LineScanner {
    head: [u8; HEAD_BYTES],
    length: u16,
}

impl LineScanner {
    /// Whether the stream stands between two lines.
    pub fn between_lines(&self) -> bool {
        self.length == 0
    }

    /// Reads to the end of a line or of `bytes`: how many bytes that took, and what the line said.
    ///
    /// # Errors
    /// [`LineError::TooLong`], after which the stream can't be read on.
    pub fn step(&mut self, bytes: &[u8]) -> Result<(usize, Option<HostMessage>), LineError> {
        let end = bytes.iter().position(|&b| b == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        let before = usize::from(self.length);
        let length = before + piece.len();
        if length >= MAX_LINE_BYTES {
            return Err(LineError::TooLong);
        }
        if before < HEAD_BYTES {
            let taken = piece.len().min(HEAD_BYTES - before);
            self.head[before..before + taken].copy_from_slice(&piece[..taken]);
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
