//! The roll of hosts as discovery writes it, in JSON, read as it arrives. It owns what has been read of
//! one list. It must never take more than it has bounds for, nor believe a list before its last byte.

use crate::connections::protocol::keys::fnv1a;
use reedferry::{HostState, Nanos, MILLI};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

const LONGEST_TOKEN: usize = 256;
const DEEPEST: usize = 16;
const MOST_MEMBERS: usize = 65_536;

/// One line of the roll, by the names on the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub zone: String,
    /// By its number, or by a hash of what it is called; a host of which none is told is in one of its own.
    pub cell: u64,
    pub standing: HostState,
    pub size: f64,
    /// Unix time, as the host's machine has it.
    pub started: Option<Nanos>,
    /// What was made of that by the node, once it was judged.
    pub believed: Option<Option<Nanos>>,
}

#[derive(Clone, Debug, Default)]
pub struct List {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<Member>,
}

#[derive(Clone, Copy, PartialEq)]
enum Expect {
    Value,
    ValueOrEnd,
    Key,
    KeyOrEnd,
    Colon,
    CommaOrEnd,
    Nothing,
}

#[derive(Clone, Copy, PartialEq)]
enum Lexing {
    Between,
    Text,
    Escape,
    /// Hexadecimal digits still to come.
    Code(u8),
    Bare,
}

enum Value<'a> {
    Text(&'a str),
    Bare(&'a str),
}

pub struct Reader {
    expect: Expect,
    lexing: Lexing,
    /// The token being read, and a half of a pair of codes.
    token: Vec<u8>,
    code: u32,
    high: Option<u32>,
    /// What encloses the place reached: true for an object.
    within: Vec<bool>,
    /// The last key of the outermost object, and of a member.
    outer: String,
    field: String,
    member: Option<Member>,
    /// The cell of that member, once it is told.
    cell: Option<u64>,
    revised: bool,
    list: List,
}

fn blank() -> Member {
    Member {
        name: String::new(),
        address: None,
        zone: String::new(),
        cell: 0,
        standing: HostState::Gone,
        size: 1.0,
        started: None,
        believed: None,
    }
}

impl Default for Reader {
    fn default() -> Self {
        Reader {
            expect: Expect::Value,
            lexing: Lexing::Between,
            token: Vec::new(),
            code: 0,
            high: None,
            within: Vec::new(),
            outer: String::new(),
            field: String::new(),
            member: None,
            cell: None,
            revised: false,
            list: List::default(),
        }
    }
}

type Told = Result<(), &'static str>;

impl Reader {
    pub fn feed(&mut self, bytes: &[u8]) -> Told {
        bytes.iter().try_for_each(|&byte| self.byte(byte))
    }

    /// The list, once it is whole.
    pub fn finish(self) -> Result<List, &'static str> {
        if self.expect != Expect::Nothing || self.lexing != Lexing::Between || !self.revised {
            return Err("a list cut short");
        }
        Ok(self.list)
    }

    fn byte(&mut self, byte: u8) -> Told {
        match self.lexing {
            Lexing::Between => self.between(byte),
            Lexing::Bare if matches!(byte, b',' | b']' | b'}' | b' ' | b'\t' | b'\r' | b'\n') => {
                self.lexing = Lexing::Between;
                let token = std::mem::take(&mut self.token);
                let text = std::str::from_utf8(&token).map_err(|_| "a token that is no text")?;
                if !matches!(text, "true" | "false" | "null")
                    && !text.parse().is_ok_and(f64::is_finite)
                {
                    return Err("an unknown token");
                }
                self.value(Value::Bare(text))?;
                self.between(byte)
            }
            Lexing::Bare => self.keep(&[byte]),
            Lexing::Text => match byte {
                b'"' => {
                    self.lexing = Lexing::Between;
                    let token = std::mem::take(&mut self.token);
                    let text =
                        std::str::from_utf8(&token).map_err(|_| "a string that is no text")?;
                    if matches!(self.expect, Expect::Key | Expect::KeyOrEnd) {
                        self.key(text);
                        Ok(())
                    } else {
                        self.value(Value::Text(text))
                    }
                }
                b'\\' => {
                    self.lexing = Lexing::Escape;
                    Ok(())
                }
                0..=0x1f => Err("a control character in a string"),
                _ => self.keep(&[byte]),
            },
            Lexing::Escape => {
                self.lexing = Lexing::Text;
                let plain = match byte {
                    b'"' | b'\\' | b'/' => byte,
                    b'b' => 8,
                    b'f' => 12,
                    b'n' => b'\n',
                    b'r' => b'\r',
                    b't' => b'\t',
                    b'u' => {
                        (self.lexing, self.code) = (Lexing::Code(4), 0);
                        return Ok(());
                    }
                    _ => return Err("an unknown escape"),
                };
                self.keep(&[plain])
            }
            Lexing::Code(left) => {
                let digit = char::from(byte).to_digit(16).ok_or("a wild escape")?;
                self.code = self.code << 4 | digit;
                self.lexing = if left > 1 {
                    Lexing::Code(left - 1)
                } else {
                    Lexing::Text
                };
                if left > 1 {
                    return Ok(());
                }
                let whole = match (self.high.take(), self.code) {
                    (_, code @ 0xd800..=0xdbff) => {
                        self.high = Some(code);
                        return Ok(());
                    }
                    (Some(high), code @ 0xdc00..=0xdfff) => {
                        0x10000 + ((high - 0xd800) << 10) + (code - 0xdc00)
                    }
                    (_, code) => code,
                };
                let mut space = [0; 4];
                let text = char::from_u32(whole)
                    .unwrap_or('\u{fffd}')
                    .encode_utf8(&mut space)
                    .to_string();
                self.keep(text.as_bytes())
            }
        }
    }

    fn keep(&mut self, bytes: &[u8]) -> Told {
        if self.token.len() + bytes.len() > LONGEST_TOKEN {
            return Err("a token that is too long");
        }
        self.token.extend(bytes);
        Ok(())
    }

    fn between(&mut self, byte: u8) -> Told {
        let value = matches!(self.expect, Expect::Value | Expect::ValueOrEnd);
        match byte {
            b' ' | b'\t' | b'\r' | b'\n' => {}
            b'{' | b'[' if value => {
                if self.within.len() >= DEEPEST {
                    return Err("a list that is too deep");
                }
                let object = byte == b'{';
                if self.within.is_empty() && !object {
                    return Err("no object");
                }
                self.within.push(object);
                self.expect = if object {
                    Expect::KeyOrEnd
                } else {
                    Expect::ValueOrEnd
                };
                if object && self.in_member() {
                    (self.member, self.cell) = (Some(blank()), None);
                }
            }
            b'}' if self.within.last() == Some(&true)
                && matches!(self.expect, Expect::KeyOrEnd | Expect::CommaOrEnd) =>
            {
                if self.in_member() {
                    self.add()?;
                }
                self.close();
            }
            b']' if self.within.last() == Some(&false)
                && matches!(self.expect, Expect::ValueOrEnd | Expect::CommaOrEnd) =>
            {
                self.close();
            }
            b',' if self.expect == Expect::CommaOrEnd => {
                let object = self.within.last() == Some(&true);
                self.expect = if object { Expect::Key } else { Expect::Value };
            }
            b':' if self.expect == Expect::Colon => self.expect = Expect::Value,
            b'"' if value || matches!(self.expect, Expect::Key | Expect::KeyOrEnd) => {
                self.lexing = Lexing::Text;
            }
            b'-' | b'0'..=b'9' | b't' | b'f' | b'n' if value && !self.within.is_empty() => {
                self.lexing = Lexing::Bare;
                self.keep(&[byte])?;
            }
            _ => return Err("a list that is no JSON"),
        }
        Ok(())
    }

    /// Whether the place reached is right inside an entry of the list of members.
    fn in_member(&self) -> bool {
        self.within == [true, false, true] && self.outer == "members"
    }

    fn close(&mut self) {
        self.within.pop();
        self.expect = if self.within.is_empty() {
            Expect::Nothing
        } else {
            Expect::CommaOrEnd
        };
    }

    fn key(&mut self, text: &str) {
        if self.within.len() == 1 {
            self.outer = text.to_string();
        } else if self.in_member() {
            self.field = text.to_string();
        }
        self.expect = Expect::Colon;
    }

    fn add(&mut self) -> Told {
        let Some(mut member) = self.member.take() else {
            return Ok(());
        };
        if member.name.is_empty() {
            return Err("a member without an id");
        }
        if self.list.members.len() >= MOST_MEMBERS {
            return Err("too many members");
        }
        member.cell = self.cell.take().unwrap_or_else(|| fnv1a(&member.name));
        self.list.members.push(member);
        Ok(())
    }

    fn value(&mut self, value: Value<'_>) -> Told {
        if self.within.is_empty() {
            return Err("no object");
        }
        self.expect = Expect::CommaOrEnd;
        if self.within.len() == 1 {
            match (self.outer.as_str(), value) {
                ("revision", Value::Bare(text)) => {
                    (self.list.revision, self.revised) =
                        (text.parse().map_err(|_| "a wild revision")?, true);
                }
                ("complete", Value::Bare(text)) => self.list.complete = text == "true",
                _ => {}
            }
            return Ok(());
        }
        if !self.in_member() {
            return Ok(());
        }
        let Some(member) = self.member.as_mut() else {
            return Ok(());
        };
        let number = |text: &str| text.parse::<f64>().ok();
        match (self.field.as_str(), value) {
            ("id", Value::Text(text)) => member.name = text.to_string(),
            ("host_port", Value::Text(text)) => {
                member.address = Some(text.parse().map_err(|_| "a wild address")?);
            }
            ("locality", Value::Text(text) | Value::Bare(text)) => member.zone = text.to_string(),
            ("cell", Value::Bare("null")) => self.cell = None,
            ("cell", Value::Bare(text)) => {
                self.cell = Some(text.parse().unwrap_or_else(|_| fnv1a(text)));
            }
            ("cell", Value::Text(text)) => self.cell = Some(fnv1a(text)),
            ("phase", Value::Text(text)) => {
                member.standing = match text {
                    "active" => HostState::Ready,
                    "leaving" => HostState::Draining,
                    "left" => HostState::Gone,
                    _ => return Err("an unknown phase"),
                }
            }
            ("size", Value::Bare(text)) => member.size = number(text).unwrap_or(1.0),
            ("up_since_ms", Value::Bare(text)) => {
                let ms = number(text).filter(|ms| (1.0..9e12).contains(ms));
                member.started = ms.map(|ms| (ms * MILLI as f64) as Nanos);
            }
            _ => {}
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str, size: usize) -> Result<List, &'static str> {
        let mut reader = Reader::default();
        for piece in text.as_bytes().chunks(size) {
            reader.feed(piece)?;
        }
        reader.finish()
    }

    const LIST: &str = r#"{"revision":41,"more":{"members":[{"id":"no"}]},"complete":true,"members":[
        {"id":"s-5b\u00e9\"","host_port":"10.1.0.18:5000","locality":"a","flavor":"m2","tags":["x",{"id":"y"}],
         "cell":3,"phase":"active","size":1.5,"up_since_ms":1700000000000},
        {"id":"s-2","host_port":"10.1.0.19:5000","phase":"leaving","up_since_ms":0}]} "#;

    #[test]
    fn reads_a_list_however_it_is_split() {
        for size in 1..LIST.len() {
            let list = read(LIST, size).unwrap();
            assert_eq!(
                (list.revision, list.complete, list.members.len()),
                (41, true, 2)
            );
            let first = &list.members[0];
            assert_eq!(
                (first.name.as_str(), first.zone.as_str(), first.cell),
                ("s-5b\u{e9}\"", "a", 3)
            );
            assert_eq!(
                (first.size, first.started),
                (1.5, Some(1_700_000_000_000 * MILLI))
            );
            assert_eq!(first.address, Some("10.1.0.18:5000".parse().unwrap()));
            assert_eq!(
                (list.members[1].standing, list.members[1].started),
                (HostState::Draining, None)
            );
        }
    }

    #[test]
    fn says_what_is_malformed() {
        for text in [
            "",
            "[]",
            "7",
            "{}",
            r#"{"revision":1"#,
            r#"{"revision":-1}"#,
            r#"{"revision":1}}"#,
            r#"{"revision":1,}"#,
            r#"{"revision":1,"members":[{}]}"#,
            r#"{"revision":1,"members":[{"id":"a","phase":"asleep"}]}"#,
            r#"{"revision":1,"members":[{"id":"a","host_port":"nowhere"}]}"#,
            r#"{"revision":1,"x":nope}"#,
            "{\"revision\":1,\"x\":\"\u{1}\"}",
        ] {
            assert!(read(text, 5).is_err(), "{text}");
        }
        assert!(read(
            &format!("{{\"revision\":1,\"x\":\"{}\"}}", "y".repeat(300)),
            9
        )
        .is_err());
        assert!(read(&format!("{{\"revision\":1,\"x\":{}", "[".repeat(30)), 9).is_err());
        let long = "y".repeat(LIST.len() - 1);
        assert!(read(&long, 7).is_err());
        for cut in 1..LIST.len() - 2 {
            assert!(read(&LIST[..cut], 11).is_err());
        }
    }
}
