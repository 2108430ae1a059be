//! Answers of HTTP/1.1, read as they arrive. It owns how far an answer has been read. It must never keep
//! more than one line of the head, nor any of the body: that goes on to the caller piece by piece.

/// The longest line of a head, and all lines together.
const LONGEST_LINE: usize = 4096;
const MOST_LINES: usize = 128;

#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Status,
    Header,
    /// So many bytes of the body, or of a piece of it, are left.
    Body(u64),
    UntilEnd,
    PieceSize,
    Piece(u64),
    PieceEnd,
    Trailer,
    Done,
}

pub struct Answer {
    at: At,
    line: Vec<u8>,
    lines: usize,
    pub status: u16,
    length: Option<u64>,
    pieces: bool,
    /// Whether the connection ends with this answer.
    pub last: bool,
}

impl Default for Answer {
    fn default() -> Self {
        Answer {
            at: At::Status,
            line: Vec::new(),
            lines: 0,
            status: 0,
            length: None,
            pieces: false,
            last: false,
        }
    }
}

impl Answer {
    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// Whether anything of it has come.
    pub fn begun(&self) -> bool {
        self.at != At::Status || !self.line.is_empty()
    }

    /// The other side has ended its sending: whether the answer is whole by that.
    pub fn ended(&mut self) -> bool {
        if self.at == At::UntilEnd {
            (self.at, self.last) = (At::Done, true);
        }
        self.done()
    }

    /// Reads on, gives pieces of the body to `body`, and says how many bytes were the answer's.
    pub fn feed(
        &mut self,
        bytes: &[u8],
        mut body: impl FnMut(&[u8]) -> Result<(), &'static str>,
    ) -> Result<usize, &'static str> {
        let mut at = 0;
        while at < bytes.len() && self.at != At::Done {
            match self.at {
                At::Body(left) | At::Piece(left) => {
                    let size = (bytes.len() - at).min(usize::try_from(left).unwrap_or(usize::MAX));
                    body(&bytes[at..at + size])?;
                    at += size;
                    let left = left - size as u64;
                    self.at = match (self.at, left) {
                        (At::Body(_), 0) => At::Done,
                        (At::Body(_), _) => At::Body(left),
                        (_, 0) => At::PieceEnd,
                        _ => At::Piece(left),
                    };
                }
                At::UntilEnd => {
                    body(&bytes[at..])?;
                    at = bytes.len();
                }
                _ => {
                    let byte = bytes[at];
                    at += 1;
                    if byte != b'\n' {
                        if self.line.len() >= LONGEST_LINE {
                            return Err("a head line that is too long");
                        }
                        self.line.push(byte);
                        continue;
                    }
                    let mut line = std::mem::take(&mut self.line);
                    if line.last() == Some(&b'\r') {
                        line.pop();
                    }
                    self.lines += usize::from(!matches!(self.at, At::PieceSize | At::PieceEnd));
                    if self.lines > MOST_LINES {
                        return Err("too many head lines");
                    }
                    self.line_read(&line)?;
                }
            }
        }
        Ok(at)
    }

    fn line_read(&mut self, line: &[u8]) -> Result<(), &'static str> {
        let text = std::str::from_utf8(line).map_err(|_| "a head line that is no text")?;
        self.at = match self.at {
            At::Status => {
                let mut words = text.split(' ');
                let version = words
                    .next()
                    .filter(|v| v.starts_with("HTTP/1."))
                    .ok_or("no status line")?;
                self.last = version == "HTTP/1.0";
                let status = words
                    .next()
                    .filter(|w| w.len() == 3)
                    .and_then(|w| w.parse().ok());
                self.status = status.ok_or("no status")?;
                At::Header
            }
            At::Header if !text.is_empty() => {
                let (name, value) = text.split_once(':').ok_or("a header without a colon")?;
                let value = value.trim();
                if name.eq_ignore_ascii_case("content-length") {
                    let length = value.parse().map_err(|_| "a wild length")?;
                    if self.length.replace(length).is_some_and(|old| old != length) {
                        return Err("two lengths");
                    }
                } else if name.eq_ignore_ascii_case("transfer-encoding") {
                    self.pieces = value.eq_ignore_ascii_case("chunked");
                    if !self.pieces {
                        return Err("an unknown transfer encoding");
                    }
                } else if name.eq_ignore_ascii_case("connection") {
                    self.last = value.eq_ignore_ascii_case("close");
                }
                At::Header
            }
            At::Header if self.status < 200 => {
                // An interim answer; the final one follows.
                self.length = None;
                At::Status
            }
            At::Header if matches!(self.status, 204 | 304) => At::Done,
            At::Header if self.pieces => At::PieceSize,
            At::Header => match self.length {
                Some(0) => At::Done,
                Some(length) => At::Body(length),
                None => At::UntilEnd,
            },
            At::PieceSize => {
                let size = text.split(';').next().unwrap_or("").trim();
                if size.is_empty() || size.starts_with('+') {
                    return Err("a wild piece size");
                }
                match u64::from_str_radix(size, 16).map_err(|_| "a wild piece size")? {
                    0 => At::Trailer,
                    size => At::Piece(size),
                }
            }
            At::PieceEnd if text.is_empty() => At::PieceSize,
            At::PieceEnd => return Err("a piece longer than it said"),
            At::Trailer if text.is_empty() => At::Done,
            other => other,
        };
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &[u8], size: usize) -> Result<(u16, Vec<u8>, bool, bool), &'static str> {
        let (mut answer, mut body) = (Answer::default(), Vec::new());
        for piece in text.chunks(size) {
            answer.feed(piece, |bytes| {
                body.extend(bytes);
                Ok(())
            })?;
        }
        Ok((answer.status, body, answer.done(), answer.last))
    }

    #[test]
    fn reads_answers_however_they_are_split() {
        for (text, wanted) in [
            ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", (200, "hello", true, false)),
            (
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nA: b\r\n\r\n",
                (200, "hello", true, false),
            ),
            ("HTTP/1.1 503 No\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", (503, "", true, true)),
            ("HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 204 None\r\n\r\n", (204, "", true, false)),
            ("HTTP/1.0 200 OK\r\n\r\nhello", (200, "hello", false, true)),
            ("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", (200, "hello", false, false)),
        ] {
            for size in 1..=text.len() {
                let (status, body, done, last) = read(text.as_bytes(), size).unwrap();
                assert_eq!((status, &*body, done, last), (wanted.0, wanted.1.as_bytes(), wanted.2, wanted.3));
            }
        }
        let mut answer = Answer::default();
        answer
            .feed(b"HTTP/1.1 200 OK\r\n\r\nx", |_| Ok(()))
            .unwrap();
        assert!(!answer.done() && answer.ended());
    }

    #[test]
    fn says_what_is_malformed() {
        for text in [
            "SSH-2.0\r\n",
            "HTTP/1.1 2x0 OK\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            "HTTP/1.1 200 OK\r\nno colon\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n",
        ] {
            assert!(read(text.as_bytes(), 3).is_err(), "{text}");
        }
        assert!(read(&[b'x'; 2 * LONGEST_LINE], 100).is_err());
    }
}
