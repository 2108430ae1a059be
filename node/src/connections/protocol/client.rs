//! The lines that a client sends: `PING`, or `OPEN` with an id, an idempotency key and a list of fields. Maps
//! the short field names to the fields of [`OpenRequest`] and builds the line that is forwarded to a host.

use super::keys::key_from_text;
use super::LineError;
use reedferry::{Nanos, MILLI};
use std::collections::HashSet;

/// The length of the longest valid request id in bytes.
const MAX_ID_BYTES: usize = 128;
/// Numbers in fields must be below this value.
const FIELD_VALUE_LIMIT: f64 = 1e9;

/// A client's first line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ClientMessage<'a> {
    /// `PING`: asks whether the node accepts clients.
    Ping,
    /// `OPEN`: asks for a connection to a host.
    Request(OpenRequest<'a>),
}

/// The contents of an `OPEN` line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OpenRequest<'a> {
    /// The client's id for the request, unique among the open requests.
    pub id: &'a str,
    /// The idempotency key, or `None` if the request has none.
    pub key: Option<u64>,
    /// The name of the request class (`c`), empty if the field is missing.
    pub class: &'a str,
    /// The name of the tenant (`t`), empty if the field is missing.
    pub tenant: &'a str,
    /// How long the client waits for an answer (`d`, in milliseconds).
    pub timeout: Nanos,
    /// The group within which the key is known (`g`), or `None` if the request names none.
    pub group: Option<u64>,
    /// The host that the client was connected to before (`at`), or `None` for a new request.
    pub previous_host: Option<&'a str>,
    /// The load that the request usually causes, as a share of a core (`h`, in milliseconds of work per
    /// second), or `None` if the request does not state it.
    pub usual_load: Option<f64>,
}

impl<'a> OpenRequest<'a> {
    /// Parses the comma-separated list of fields, each `name=value`. Ignores unknown names, which are for the
    /// host.
    ///
    /// # Errors
    /// Returns why the list is malformed.
    fn parse_fields(&mut self, list: &'a str) -> Result<(), LineError> {
        let mut has_timeout = false;
        let mut names = HashSet::new();
        for field in list.split(',') {
            let (name, value) = field.split_once('=').ok_or(LineError::UnnamedField)?;
            if !names.insert(name) {
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
                // In milliseconds of work per second.
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

/// Parses a plain decimal number below [`FIELD_VALUE_LIMIT`]. Returns `None` for any other text, including
/// `1e9`, `inf`, `nan` and signs, which the standard float parser accepts.
fn bounded_number(text: &str) -> Option<f64> {
    let plain =
        text.bytes().all(|b| b.is_ascii_digit() || b == b'.') && text.starts_with(|c| c != '.');
    let number: f64 = text.parse().ok().filter(|_| plain)?;
    (number < FIELD_VALUE_LIMIT).then_some(number)
}

/// Parses a client's first line, given without its CRLF.
///
/// # Errors
/// Returns why the line is malformed.
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

/// Returns the pieces of an `OPEN` line as it is forwarded to a host: unchanged except that the timeout is
/// replaced by `time_left`, in milliseconds and at least 1. `digits` stores the text of the new number.
/// `line` comes without its CRLF, the result with it.
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
