//! Reads HTTP/1.1 responses incrementally as they arrive. The reader keeps at most one line of the head and nothing
//! of the body, which it passes on to the caller piece by piece.

use std::fmt;

/// The maximum length of a head line, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// The maximum number of lines in a head.
const MAX_HEAD_LINES: usize = 128;

/// The reason why a response can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// A line of the head is longer than [`MAX_LINE_BYTES`].
    LineTooLong,
    /// The head has more lines than [`MAX_HEAD_LINES`].
    TooManyLines,
    /// A line of the head is not UTF-8.
    LineNotUtf8,
    /// The first line is not a status line of HTTP/1.
    InvalidStatusLine,
    /// The status line has no status code of three digits.
    InvalidStatus,
    /// A header has no colon.
    HeaderWithoutColon,
    /// The content length is not an unsigned integer.
    InvalidLength,
    /// Two content lengths differ.
    ConflictingLengths,
    /// The transfer encoding is not `chunked`.
    UnsupportedTransferEncoding,
    /// The size of a chunk is not a hexadecimal number.
    InvalidChunkSize,
    /// A chunk is longer than its size.
    ChunkTooLong,
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HttpError::LineTooLong => "head line longer than 4096 bytes",
            HttpError::TooManyLines => "more than 128 head lines",
            HttpError::LineNotUtf8 => "head line is not UTF-8",
            HttpError::InvalidStatusLine => "status line does not begin with HTTP/1.",
            HttpError::InvalidStatus => "status is not a number of three digits",
            HttpError::HeaderWithoutColon => "header without a colon",
            HttpError::InvalidLength => "content-length is not an unsigned integer",
            HttpError::ConflictingLengths => "conflicting content-length headers",
            HttpError::UnsupportedTransferEncoding => "transfer-encoding is not chunked",
            HttpError::InvalidChunkSize => "chunk size is not a hexadecimal number",
            HttpError::ChunkTooLong => "chunk longer than its size",
        })
    }
}

impl std::error::Error for HttpError {}

/// The part of a response that is expected next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ParseState {
    Status,
    Header,
    /// The body, of which this many bytes are left.
    Body(u64),
    /// The body, which lasts until the connection ends.
    UntilClose,
    ChunkSize,
    /// A chunk, of which this many bytes are left.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// A response that is being read.
pub struct HttpResponse {
    state: ParseState,
    /// The line of the head being read.
    line: Vec<u8>,
    head_lines: usize,
    /// The status code, or 0 until the status line has been read.
    pub status: u16,
    content_length: Option<u64>,
    chunked: bool,
    /// Whether the service closes the connection after this response.
    pub closes_connection: bool,
}

impl Default for HttpResponse {
    fn default() -> Self {
        HttpResponse {
            state: ParseState::Status,
            line: Vec::new(),
            head_lines: 0,
            status: 0,
            content_length: None,
            chunked: false,
            closes_connection: false,
        }
    }
}

impl HttpResponse {
    /// Returns whether the whole response has been read.
    pub fn is_complete(&self) -> bool {
        self.state == ParseState::Done
    }

    /// Returns whether any byte of the response has been read.
    pub fn has_begun(&self) -> bool {
        self.state != ParseState::Status || !self.line.is_empty()
    }

    /// Records that the service has ended its side of the connection, and returns whether the response is complete.
    pub fn on_close(&mut self) -> bool {
        if self.state == ParseState::UntilClose {
            self.state = ParseState::Done;
            self.closes_connection = true;
        }
        self.is_complete()
    }

    /// Reads the next bytes, passes pieces of the body to `on_body`, and returns how many bytes belong to the
    /// response.
    ///
    /// # Errors
    /// Returns the reason why the response can't be read, or the error of `on_body`.
    pub fn feed<E: From<HttpError>>(
        &mut self,
        bytes: &[u8],
        mut on_body: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<usize, E> {
        let mut position = 0;
        while position < bytes.len() && self.state != ParseState::Done {
            match self.state {
                ParseState::Body(left) | ParseState::Chunk(left) => {
                    let size =
                        (bytes.len() - position).min(usize::try_from(left).unwrap_or(usize::MAX));
                    on_body(&bytes[position..position + size])?;
                    position += size;
                    let left = left - size as u64;
                    self.state = match (self.state, left) {
                        (ParseState::Body(_), 0) => ParseState::Done,
                        (ParseState::Body(_), _) => ParseState::Body(left),
                        (_, 0) => ParseState::ChunkEnd,
                        _ => ParseState::Chunk(left),
                    };
                }
                ParseState::UntilClose => {
                    on_body(&bytes[position..])?;
                    position = bytes.len();
                }
                _ => {
                    self.read_line_byte(bytes[position])?;
                    position += 1;
                }
            }
        }
        Ok(position)
    }

    fn read_line_byte(&mut self, byte: u8) -> Result<(), HttpError> {
        if byte != b'\n' {
            if self.line.len() >= MAX_LINE_BYTES {
                return Err(HttpError::LineTooLong);
            }
            self.line.push(byte);
            return Ok(());
        }
        let mut line = std::mem::take(&mut self.line);
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        let of_chunk = matches!(self.state, ParseState::ChunkSize | ParseState::ChunkEnd);
        self.head_lines += usize::from(!of_chunk);
        if self.head_lines > MAX_HEAD_LINES {
            return Err(HttpError::TooManyLines);
        }
        let text = std::str::from_utf8(&line).map_err(|_| HttpError::LineNotUtf8)?;
        self.state = self.read_line(text)?;
        Ok(())
    }

    /// Reads a line of the head or before or after a chunk, and returns what is expected next.
    fn read_line(&mut self, text: &str) -> Result<ParseState, HttpError> {
        Ok(match self.state {
            ParseState::Status => {
                self.read_status(text)?;
                ParseState::Header
            }
            ParseState::Header if !text.is_empty() => {
                self.read_header(text)?;
                ParseState::Header
            }
            ParseState::Header => self.end_head(),
            ParseState::ChunkSize => {
                let size = text.split(';').next().unwrap_or("").trim();
                if size.is_empty() || size.starts_with('+') {
                    return Err(HttpError::InvalidChunkSize);
                }
                match u64::from_str_radix(size, 16).map_err(|_| HttpError::InvalidChunkSize)? {
                    0 => ParseState::Trailer,
                    size => ParseState::Chunk(size),
                }
            }
            ParseState::ChunkEnd if text.is_empty() => ParseState::ChunkSize,
            ParseState::ChunkEnd => return Err(HttpError::ChunkTooLong),
            ParseState::Trailer if text.is_empty() => ParseState::Done,
            other => other,
        })
    }

    fn read_status(&mut self, text: &str) -> Result<(), HttpError> {
        let mut words = text.split(' ');
        let version = words
            .next()
            .filter(|version| version.starts_with("HTTP/1."))
            .ok_or(HttpError::InvalidStatusLine)?;
        self.closes_connection = version == "HTTP/1.0";
        let status = words
            .next()
            .filter(|word| word.len() == 3)
            .and_then(|word| word.parse().ok());
        self.status = status.ok_or(HttpError::InvalidStatus)?;
        Ok(())
    }

    fn read_header(&mut self, text: &str) -> Result<(), HttpError> {
        let (name, value) = text.split_once(':').ok_or(HttpError::HeaderWithoutColon)?;
        let value = value.trim();
        if name.eq_ignore_ascii_case("content-length") {
            let length = value.parse().map_err(|_| HttpError::InvalidLength)?;
            let earlier = self.content_length.replace(length);
            if earlier.is_some_and(|earlier| earlier != length) {
                return Err(HttpError::ConflictingLengths);
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            self.chunked = value.eq_ignore_ascii_case("chunked");
            if !self.chunked {
                return Err(HttpError::UnsupportedTransferEncoding);
            }
        } else if name.eq_ignore_ascii_case("connection") {
            self.closes_connection = value.eq_ignore_ascii_case("close");
        }
        Ok(())
    }

    /// Returns what is expected after the empty line that ends the headers.
    fn end_head(&mut self) -> ParseState {
        if self.status < 200 {
            // This is an interim response, and the final one follows.
            self.content_length = None;
            return ParseState::Status;
        }
        if matches!(self.status, 204 | 304) {
            return ParseState::Done;
        }
        if self.chunked {
            return ParseState::ChunkSize;
        }
        match self.content_length {
            Some(0) => ParseState::Done,
            Some(length) => ParseState::Body(length),
            None => ParseState::UntilClose,
        }
    }
}

#[cfg(test)]
#[path = "http_tests.rs"]
mod tests;
