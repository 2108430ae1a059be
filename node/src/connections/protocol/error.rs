//! The errors of malformed lines and their texts for the log.

use std::fmt;

/// Why a line cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    /// The line ends in a line feed without a carriage return.
    NotCrlf,
    /// The line is longer than [`MAX_LINE_BYTES`](super::MAX_LINE_BYTES), its CRLF included.
    TooLong,
    /// The line is not valid UTF-8.
    NotText,
    /// The line contains an ASCII control character.
    ControlCharacter,
    /// The first word is neither `PING` nor `OPEN`.
    UnknownCommand,
    /// `OPEN` is not followed by exactly three words: an id, a key and a list of fields.
    WordCount,
    /// The id is empty, `-` or longer than 128 bytes.
    InvalidId,
    /// The idempotency key is empty.
    MissingKey,
    /// An entry of the field list is not `name=value`.
    UnnamedField,
    /// A field occurs more than once.
    DuplicateField,
    /// The timeout (`d`) is not a plain decimal number below 1e9.
    InvalidTimeout,
    /// The usual load (`h`) is not a plain decimal number below 1e9.
    InvalidLoad,
    /// The timeout (`d`) is missing.
    MissingTimeout,
}

impl LineError {
    /// Returns the text for the log.
    pub fn message(self) -> &'static str {
        match self {
            LineError::NotCrlf => "line does not end in CRLF",
            LineError::TooLong => "line longer than 4096 bytes",
            LineError::NotText => "line is not UTF-8",
            LineError::ControlCharacter => "control character in the line",
            LineError::UnknownCommand => "command is neither PING nor OPEN",
            LineError::WordCount => "OPEN not followed by an id, a key and a list of fields",
            LineError::InvalidId => "request id empty, - or longer than 128 bytes",
            LineError::MissingKey => "idempotency key empty",
            LineError::UnnamedField => "field is not name=value",
            LineError::DuplicateField => "duplicate field",
            LineError::InvalidTimeout => "timeout (d) not plain decimal or too large",
            LineError::InvalidLoad => "usual load (h) not plain decimal or too large",
            LineError::MissingTimeout => "no timeout (d)",
        }
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.message())
    }
}

impl std::error::Error for LineError {}
