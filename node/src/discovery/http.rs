//! Responses of HTTP/1.1, read as they arrive. Owns how far a response has been read. Must never keep more
//! than one line of the head, nor any of the body: that goes on to the caller piece by piece.

use std::fmt;

/// The longest line of a head.
const MAX_LINE_BYTES: usize = 4096;
/// The most lines of a head.
const MAX_HEAD_LINES: usize = 128;

/// Why a response can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// A line of the head is longer than the bound.
    LineTooLong,
    /// The head has more lines than the bound.
    TooManyLines,
    /// A line of the head is not UTF-8.
    LineNotText,
    /// The first line is no status line.
    NoStatusLine,
    /// The status line has no status of three digits.
    NoStatus,
    /// A header has no colon.
    HeaderWithoutColon,
    /// The content length is no number.
    InvalidLength,
    /// Two content lengths differ.
    ConflictingLengths,
    /// The transfer encoding is not `chunked`.
    UnknownTransferEncoding,
    /// The size of a chunk is no hexadecimal number.
    InvalidChunkSize,
    /// A chunk does not end where its size says.
    ChunkTooLong,
}

impl fmt::Display for HttpError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            HttpError::LineTooLong => "a head line that is too long",
            HttpError::TooManyLines => "too many head lines",
            HttpError::LineNotText => "a head line that is no text",
            HttpError::NoStatusLine => "no status line",
            HttpError::NoStatus => "no status",
            HttpError::HeaderWithoutColon => "a header without a colon",
            HttpError::InvalidLength => "a wild length",
            HttpError::ConflictingLengths => "two lengths",
            HttpError::UnknownTransferEncoding => "an unknown transfer encoding",
            HttpError::InvalidChunkSize => "a wild piece size",
            HttpError::ChunkTooLong => "a piece longer than it said",
        })
    }
}

impl std::error::Error for HttpError {}

/// What comes next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ParseState {
    Status,
    Header,
    /// So many bytes of the body are left.
    Body(u64),
    /// The body lasts until the connection ends.
    UntilClose,
    ChunkSize,
    /// So many bytes of the chunk are left.
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Done,
}

/// A response, as far as it has been read.
pub struct HttpResponse {
    state: ParseState,
    /// The line of the head being read.
    line: Vec<u8>,
    head_lines: usize,
    /// The status, once the first line is read.
    pub status: u16,
    content_length: Option<u64>,
    chunked: bool,
    /// Whether the connection ends with this response.
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
    /// Whether all of it is read.
    pub fn is_complete(&self) -> bool {
        self.state == ParseState::Done
    }

    /// Whether any of it is read.
    pub fn has_begun(&self) -> bool {
        self.state != ParseState::Status || !self.line.is_empty()
    }

    /// The other side has ended its sending: whether the response is complete by that.
    pub fn on_close(&mut self) -> bool {
        if self.state == ParseState::UntilClose {
            self.state = ParseState::Done;
            self.closes_connection = true;
        }
        self.is_complete()
    }

    /// Reads on, gives pieces of the body to `on_body`, and tells how many bytes were the response's.
    ///
    /// # Errors
    /// Why the response can't be read, or what `on_body` has to say of the body.
    pub fn feed<E: From<HttpError>>(
        &mut self,
        bytes: &[u8],
        mut on_body: impl FnMut(&[u8]) -> Result<(), E>,
    ) -> Result<usize, E> {
        let mut at = 0;
        while at < bytes.len() && self.state != ParseState::Done {
            match self.state {
                ParseState::Body(left) | ParseState::Chunk(left) => {
                    let size = (bytes.len() - at).min(usize::try_from(left).unwrap_or(usize::MAX));
                    on_body(&bytes[at..at + size])?;
                    at += size;
                    let left = left - size as u64;
                    self.state = match (self.state, left) {
                        (ParseState::Body(_), 0) => ParseState::Done,
                        (ParseState::Body(_), _) => ParseState::Body(left),
                        (_, 0) => ParseState::ChunkEnd,
                        _ => ParseState::Chunk(left),
                    };
                }
                ParseState::UntilClose => {
                    on_body(&bytes[at..])?;
                    at = bytes.len();
                }
                _ => {
                    self.read_head_byte(bytes[at])?;
                    at += 1;
                }
            }
        }
        Ok(at)
    }

    fn read_head_byte(&mut self, byte: u8) -> Result<(), HttpError> {
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
        let text = std::str::from_utf8(&line).map_err(|_| HttpError::LineNotText)?;
        self.state = self.read_line(text)?;
        Ok(())
    }

    /// Reads a line of the head or around a chunk, and tells what comes next.
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
            .ok_or(HttpError::NoStatusLine)?;
        self.closes_connection = version == "HTTP/1.0";
        let status = words
            .next()
            .filter(|word| word.len() == 3)
            .and_then(|word| word.parse().ok());
        self.status = status.ok_or(HttpError::NoStatus)?;
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
                return Err(HttpError::UnknownTransferEncoding);
            }
        } else if name.eq_ignore_ascii_case("connection") {
            self.closes_connection = value.eq_ignore_ascii_case("close");
        }
        Ok(())
    }

    /// What follows the empty line behind the headers.
    fn end_head(&mut self) -> ParseState {
        if self.status < 200 {
            // An interim response; the final one follows.
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
