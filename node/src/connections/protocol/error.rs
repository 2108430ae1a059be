//! Why a line is malformed, with the text that is logged for each reason.

use std::fmt;

/// Why a line can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineError {
    /// It ends in a bare line feed.
    NotCrlf,
    /// It is longer than [`MAX_LINE_BYTES`](super::MAX_LINE_BYTES).
    TooLong,
    /// It is not UTF-8.
    NotText,
    /// It contains a control character.
    ControlCharacter,
    /// Its first word is no command of a client.
    UnknownCommand,
    /// `OPEN` is not followed by exactly an id, a key and a list of fields.
    WordCount,
    /// The id is missing or too long.
    InvalidId,
    /// The idempotency key is empty.
    MissingKey,
    /// An entry of the list is not `name=value`.
    UnnamedField,
    /// A field stands twice.
    DuplicateField,
    /// The timeout is no plain decimal number, or out of range.
    InvalidTimeout,
    /// The usual load is no plain decimal number, or out of range.
    InvalidLoad,
    /// There is no timeout.
    MissingTimeout,
}

impl LineError {
    /// Its text in the log.
    pub fn message(self) -> &'static str {
        match self {
            LineError::NotCrlf => "a line that does not end in CRLF",
            LineError::TooLong => "a line that is too long",
            LineError::NotText => "a line that is no text",
            LineError::ControlCharacter => "a control character",
            LineError::UnknownCommand => "neither PING nor OPEN",
            LineError::WordCount => "not three words after OPEN",
            LineError::InvalidId => "no id, or one that is too long",
            LineError::MissingKey => "no key",
            LineError::UnnamedField => "a figure without a name",
            LineError::DuplicateField => "a figure told twice",
            LineError::InvalidTimeout => "a wild wait",
            LineError::InvalidLoad => "a wild load",
            LineError::MissingTimeout => "no wait",
        }
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.message())
    }
}

impl std::error::Error for LineError {}
