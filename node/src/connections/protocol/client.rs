//! What a client sends: `PING`, or `OPEN` with an id, an idempotency key and a list of fields. Owns the
//! mapping of the fields' short names to those of [`OpenRequest`], and the line as it is forwarded.

use super::keys::key_from_text;
use super::LineError;
use reedferry::{Nanos, MILLI};

/// The longest id of a request.
const MAX_ID_BYTES: usize = 128;
/// From here on a number in a field is out of range.
const FIELD_LIMIT: f64 = 1e9;

/// What a client's first line asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientMessage<'a> {
    /// Whether the node accepts clients.
    Ping,
    /// A connection to a host.
    Request(OpenRequest<'a>),
}

/// The fields of an `OPEN` line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OpenRequest<'a> {
    /// The client's id for it, unique among the open ones.
    pub id: &'a str,
    /// The idempotency key.
    pub key: Option<u64>,
    /// The request class (`c`).
    pub class: &'a str,
    /// The tenant (`t`).
    pub tenant: &'a str,
    /// How long the client waits for an answer (`d`).
    pub timeout: Nanos,
    /// The group within which the key is known (`g`).
    pub group: Option<u64>,
    /// The host that the connection was open to before (`at`).
    pub previous_host: Option<&'a str>,
    /// The load it usually causes, as a share of a core (`h`).
    pub usual_load: Option<f64>,
}

impl<'a> OpenRequest<'a> {
    /// Reads the list of fields, each `name=value`. Unknown names are left to the host.
    fn parse_fields(&mut self, list: &'a str) -> Result<(), LineError> {
        let mut has_timeout = false;
        for (position, field) in list.split(',').enumerate() {
            let (name, value) = field.split_once('=').ok_or(LineError::UnnamedField)?;
            let mut earlier = list.split(',').take(position);
            if earlier.any(|other| {
                other
                    .split_once('=')
                    .is_some_and(|(other, _)| other == name)
            }) {
                return Err(LineError::DuplicateField);
            }
            match name {
                "c" => self.class = value,
                "t" => self.tenant = value,
                "d" => {
                    let milliseconds = bounded_number(value).ok_or(LineError::InvalidTimeout)?;
                    self.timeout = (milliseconds * MILLI as f64) as Nanos;
                    has_timeout = true;
                }
                "g" => self.group = key_from_text(value),
                "at" => self.previous_host = Some(value),
                // In milliseconds of work a second.
                "h" => {
                    let load = bounded_number(value).ok_or(LineError::InvalidLoad)?;
                    self.usual_load = Some(load / 1e3);
                }
                _ => {}
            }
        }
        if has_timeout {
            Ok(())
        } else {
            Err(LineError::MissingTimeout)
        }
    }
}

/// A plain decimal number below [`FIELD_LIMIT`]. Rejects `1e9`, `inf`, `nan` and signs, which the parser of
/// floats accepts.
fn bounded_number(text: &str) -> Option<f64> {
    let plain =
        text.bytes().all(|b| b.is_ascii_digit() || b == b'.') && text.starts_with(|c| c != '.');
    let number: f64 = text.parse().ok().filter(|_| plain)?;
    (number < FIELD_LIMIT).then_some(number)
}

/// Reads a client's first line, given without its CRLF.
///
/// # Errors
/// Why it is malformed.
pub fn parse_client_line(line: &[u8]) -> Result<ClientMessage<'_>, LineError> {
    let text = std::str::from_utf8(line).map_err(|_| LineError::NotText)?;
    if text == "PING" {
        return Ok(ClientMessage::Ping);
    }
    if text.bytes().any(|b| b.is_ascii_control()) {
        return Err(LineError::ControlCharacter);
    }
    let mut words = text.split(' ');
    if words.next() != Some("OPEN") {
        return Err(LineError::UnknownCommand);
    }
    let (Some(id), Some(key), Some(fields), None) =
        (words.next(), words.next(), words.next(), words.next())
    else {
        return Err(LineError::WordCount);
    };
    if id.is_empty() || id == "-" || id.len() > MAX_ID_BYTES {
        return Err(LineError::InvalidId);
    }
    if key.is_empty() {
        return Err(LineError::MissingKey);
    }
    let mut request = OpenRequest {
        id,
        key: key_from_text(key),
        ..OpenRequest::default()
    };
    request.parse_fields(fields)?;
    Ok(ClientMessage::Request(request))
}

/// An `OPEN` line as the host is to read it, in pieces: unchanged but for the timeout, which is what is left
/// of it. `digits` holds the new number.
pub fn forwarded_line<'a>(
    line: &'a [u8],
    time_left: Nanos,
    digits: &'a mut String,
) -> [&'a [u8]; 4] {
    *digits = (time_left / MILLI).max(1).to_string();
    let list = line.iter().rposition(|&b| b == b' ').map_or(0, |n| n + 1);
    let mut start = list;
    for field in line[list..].split(|&b| b == b',') {
        if field.starts_with(b"d=") {
            return [
                &line[..start + "d=".len()],
                digits.as_bytes(),
                &line[start + field.len()..],
                b"\r\n",
            ];
        }
        start += field.len() + 1;
    }
    [line, b"", b"", b"\r\n"]
}
