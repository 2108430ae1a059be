//! The lines of clients and hosts: what opens a connection, what a host answers, and a scanner that
//! finds the ends of lines in what merely passes. It must never need more of a line than it is given:
//! whatever is split, bounded or malformed is said so, and nothing here panics.

use reedferry::{Nanos, MILLI};
use serde::{Deserialize, Serialize};

/// The longest line, its end included.
pub const MAX_LINE_BYTES: usize = 4096;
/// The longest id of an attachment.
const MAX_ID_BYTES: usize = 128;

/// What a client's first line asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientMessage<'a> {
    Ping,
    Request(OpenRequest<'a>),
}

/// The figures of a line that opens an attachment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OpenRequest<'a> {
    pub id: &'a str,
    pub key: Option<u64>,
    pub class: &'a str,
    pub tenant: &'a str,
    pub timeout: Nanos,
    pub group: Option<u64>,
    /// The host that holds it already.
    pub previous_host: Option<&'a str>,
    pub usual_load: Option<f64>,
}

/// The first line among `bytes`, without its end, and how many bytes it took. `Err` where there will
/// never be one: too long, or not ended as lines are.
pub fn first(bytes: &[u8]) -> Result<Option<(&[u8], usize)>, &'static str> {
    match bytes.iter().take(MAX_LINE_BYTES).position(|&b| b == b'\n') {
        Some(end) if end > 0 && bytes[end - 1] == b'\r' => Ok(Some((&bytes[..end - 1], end + 1))),
        Some(_) => Err("a line that does not end in CRLF"),
        None if bytes.len() >= MAX_LINE_BYTES => Err("a line that is too long"),
        None => Ok(None),
    }
}

/// One word for a key or group, whatever its spelling; hexadecimal as it stands.
pub fn key_from_text(text: &str) -> Option<u64> {
    if text.is_empty() || text == "-" {
        return None;
    }
    let hex = text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let value = if hex {
        u64::from_str_radix(text, 16).unwrap_or(0)
    } else {
        fnv1a(text)
    };
    (value != 0).then_some(value)
}

/// FNV-1a; the same at every node, so that nodes agree on homes without talking.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// A plain decimal figure. Guards: `1e9`, `inf`, `nan` and signs, which a parser of floats lets pass.
fn figure(text: &str) -> Option<f64> {
    let plain =
        text.bytes().all(|b| b.is_ascii_digit() || b == b'.') && text.starts_with(|c| c != '.');
    text.parse().ok().filter(|_| plain)
}

pub fn opening(line: &[u8]) -> Result<ClientMessage<'_>, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "a line that is no text")?;
    if text == "PING" {
        return Ok(ClientMessage::Ping);
    }
    if text.bytes().any(|b| b.is_ascii_control()) {
        return Err("a control character");
    }
    let mut words = text.split(' ');
    if words.next() != Some("OPEN") {
        return Err("neither PING nor OPEN");
    }
    let (Some(id), Some(key), Some(list), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err("not three words after OPEN");
    };
    if id.is_empty() || id == "-" || id.len() > MAX_ID_BYTES {
        return Err("no id, or one that is too long");
    }
    if key.is_empty() {
        return Err("no key");
    }
    let mut request = OpenRequest {
        id,
        key: key_from_text(key),
        ..OpenRequest::default()
    };
    let mut told = false;
    for (n, pair) in list.split(',').enumerate() {
        let (name, value) = pair.split_once('=').ok_or("a figure without a name")?;
        if list
            .split(',')
            .take(n)
            .any(|p| p.split_once('=').is_some_and(|(other, _)| other == name))
        {
            return Err("a figure told twice");
        }
        match name {
            "c" => request.class = value,
            "t" => request.tenant = value,
            "d" => {
                let ms = figure(value).filter(|d| *d < 1e9).ok_or("a wild wait")?;
                (request.timeout, told) = ((ms * MILLI as f64) as Nanos, true);
            }
            "g" => request.group = key_from_text(value),
            "at" => request.previous_host = Some(value),
            // Counted in milliseconds of work a second, as a share of a core.
            "h" => {
                let load = figure(value).filter(|h| *h < 1e9).ok_or("a wild load")?;
                request.usual_load = Some(load / 1e3);
            }
            _ => {}
        }
    }
    if !told {
        return Err("no wait");
    }
    Ok(ClientMessage::Request(request))
}

/// The line of an attachment as a host is to read it: unchanged, but for the wait that is left.
pub fn onward<'a>(line: &'a [u8], wait: Nanos, digits: &'a mut String) -> [&'a [u8]; 4] {
    use std::fmt::Write;
    digits.clear();
    let _ = write!(digits, "{}", (wait / MILLI).max(1));
    let list = line.iter().rposition(|&b| b == b' ').map_or(0, |n| n + 1);
    let mut from = list;
    for pair in line[list..].split(|&b| b == b',') {
        if pair.starts_with(b"d=") {
            return [
                &line[..from + 2],
                digits.as_bytes(),
                &line[from + pair.len()..],
                b"\r\n",
            ];
        }
        from += pair.len() + 1;
    }
    [line, b"", b"", b"\r\n"]
}

/// What a line from a host says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostMessage {
    Accepted,
    Busy,
    Err,
    Bye,
    Migrate,
    /// Its load now, as a share of a core.
    Load(f64),
    Pong,
    Other,
}

fn meaning(line: &[u8]) -> HostMessage {
    let mut words = line.split(|&b| b == b' ');
    let first = words.next().unwrap_or(b"");
    match first {
        b"UP" => HostMessage::Accepted,
        b"BUSY" => HostMessage::Busy,
        b"ERR" => HostMessage::Err,
        b"BYE" => HostMessage::Bye,
        b"MOVE" => HostMessage::Migrate,
        b"PONG" => HostMessage::Pong,
        b"LOAD" => words
            .next()
            .and_then(|w| std::str::from_utf8(w).ok())
            .and_then(|w| w.parse::<f64>().ok())
            // Told in microseconds of work a second.
            .filter(|x| (0.0..1e12).contains(x))
            .map_or(HostMessage::Other, |x| HostMessage::Load(x / 1e6)),
        _ => HostMessage::Other,
    }
}

/// The values of a load report behind a host's answer, in the order of `names`; none where one is
/// missing. They stand as `name=value` or `name:value`, or bare in that order.
pub fn report(line: &[u8], names: &[String]) -> Vec<f64> {
    let text = std::str::from_utf8(line).unwrap_or("");
    let words = || {
        text.split([' ', ',', ';', '{', '}', '"'])
            .skip(1)
            .filter(|w| !w.is_empty())
    };
    let figure = |w: &str| w.parse::<f64>().ok().filter(|f| f.is_finite());
    let named = |name: &str| {
        let mut found = words().filter_map(|w| w.split_once(['=', ':']));
        found
            .find(|(n, _)| *n == name)
            .and_then(|(_, value)| figure(value))
    };
    let all: Option<Vec<f64>> = names.iter().map(|n| named(n)).collect();
    let bare = || {
        words()
            .take(names.len())
            .map(figure)
            .collect::<Option<Vec<f64>>>()
    };
    all.or_else(|| bare().filter(|b| b.len() == names.len()))
        .unwrap_or_default()
}

const HEAD_BYTES: usize = 32;

/// Finds the ends of lines in what passes, however it is split, and keeps no more than a line's head.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LineScanner {
    head: [u8; HEAD_BYTES],
    length: u16,
}

impl LineScanner {
    /// Whether nothing of an unfinished line has passed.
    pub fn between_lines(&self) -> bool {
        self.length == 0
    }

    /// Reads to the end of a line or of `bytes`: how many bytes that took, and what the line said.
    pub fn step(&mut self, bytes: &[u8]) -> Result<(usize, Option<HostMessage>), &'static str> {
        let end = bytes.iter().position(|&b| b == b'\n');
        let piece = &bytes[..end.unwrap_or(bytes.len())];
        let had = usize::from(self.length);
        let length = had + piece.len();
        if length >= MAX_LINE_BYTES {
            return Err("a line that is too long");
        }
        if had < HEAD_BYTES {
            let more = piece.len().min(HEAD_BYTES - had);
            self.head[had..had + more].copy_from_slice(&piece[..more]);
        }
        self.length = length as u16;
        let Some(end) = end else {
            return Ok((bytes.len(), None));
        };
        let head = &self.head[..length.min(HEAD_BYTES)];
        let said = meaning(head.strip_suffix(b"\r").unwrap_or(head));
        self.length = 0;
        Ok((end + 1, Some(said)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LINE: &[u8] =
        b"OPEN 9b1f 7f3a9c21e0b4d655 c=chat,t=acme,d=2000,g=5c0f,at=s-1,h=12.5,zz=1";

    #[test]
    fn reads_a_whole_opening_and_rewrites_only_its_wait() {
        let Ok(ClientMessage::Request(request)) = opening(LINE) else {
            panic!()
        };
        assert_eq!(
            (request.class, request.tenant, request.previous_host),
            ("chat", "acme", Some("s-1"))
        );
        assert_eq!(
            (request.timeout, request.group),
            (2000 * MILLI, Some(0x5c0f))
        );
        assert_eq!(
            (request.key, request.usual_load),
            (Some(0x7f3a_9c21_e0b4_d655), Some(0.0125))
        );
        let mut digits = String::new();
        let sent = onward(LINE, 1_234_900_000, &mut digits).concat();
        let wanted = String::from_utf8(LINE.to_vec())
            .unwrap()
            .replace("d=2000", "d=1234")
            + "\r\n";
        assert_eq!(String::from_utf8(sent).unwrap(), wanted);
        assert_eq!(opening(b"PING"), Ok(ClientMessage::Ping));
    }

    #[test]
    fn says_what_is_malformed() {
        for line in [
            "",
            "OPEN",
            "OPEN a b",
            "OPEN a b c=x",
            "OPEN a b c=x,d=-1",
            "OPEN a b c=x,d=nan",
            "OPEN a b c=x,d=1e3",
            "OPEN a b c=x,d=+5",
            "OPEN a b c=x,d=soon",
            "OPEN a b c=x,d=",
            "OPEN a b c=x,d=99999999999999999999999",
            "OPEN a b c=x,d=5,d=6",
            "OPEN a b c=x,d=5,h=inf",
            "OPEN  b c=x,d=5",
            "OPEN a  c=x,d=5",
            "OPEN - b c=x,d=5",
            "open a b d=1",
        ] {
            assert!(opening(line.as_bytes()).is_err(), "{line}");
        }
        assert!(opening(b"OPEN a b d=1,c=\xff").is_err() && opening(b"OPEN a b d=1 x").is_err());
        assert!(opening(b"OPEN a b d=1,c=\x01").is_err());
        assert_eq!(first(b"PING\r\nrest"), Ok(Some((&b"PING"[..], 6))));
        assert_eq!(first(b"PING\r"), Ok(None));
        assert!(first(b"PING\n").is_err() && first(&[b'x'; MAX_LINE_BYTES]).is_err());
    }

    #[test]
    fn reads_a_load_report_by_name_or_in_order() {
        let names = ["x0".to_string(), "x1".to_string()];
        assert_eq!(report(b"PONG x1=0.5,x0=2", &names), [2.0, 0.5]);
        assert_eq!(report(b"PONG 2 0.5", &names), [2.0, 0.5]);
        for poor in [
            &b"PONG"[..],
            b"PONG x0=2",
            b"PONG x0=nan,x1=1",
            b"PONG \xff",
            b"ERR no such thing",
        ] {
            assert!(report(poor, &names).is_empty());
        }
    }

    #[test]
    fn finds_lines_however_they_are_split() {
        let text = b"UP 17\r\nLOAD 2500\r\nhello there\r\nBYE\r\nMO";
        for size in 1..text.len() {
            let (mut scanner, mut heard) = (LineScanner::default(), Vec::new());
            for piece in text.chunks(size) {
                let mut at = 0;
                while at < piece.len() {
                    let (took, said) = scanner.step(&piece[at..]).unwrap();
                    at += took;
                    heard.extend(said);
                }
            }
            assert_eq!(
                heard,
                [
                    HostMessage::Accepted,
                    HostMessage::Load(0.0025),
                    HostMessage::Other,
                    HostMessage::Bye
                ]
            );
            assert!(!scanner.between_lines());
        }
        assert!(LineScanner::default()
            .step(&[b'x'; MAX_LINE_BYTES])
            .is_err());
        assert_eq!(meaning(b"LOAD x"), HostMessage::Other);
    }
}
