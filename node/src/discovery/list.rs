//! The endpoint list as the list service writes it, in JSON, read as it arrives. Owns what has been read of
//! one list, and the mapping of the service's keys. Must never take more members than its bound, nor believe
//! a list before its last byte.

use super::json::{Container, JsonError, JsonEvent, JsonLexer};
use crate::connections::protocol::keys::fnv1a;
use reedferry::{HostState, Nanos, MILLI};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

const MAX_MEMBERS: usize = 65_536;

/// One member of the list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The host's name (`id`).
    pub name: String,
    /// Where it is reached (`host_port`).
    pub address: Option<SocketAddr>,
    /// Its zone (`locality`).
    pub zone: String,
    /// Its cell by number, or by a hash of what it is called; a host without one is in a cell of its own.
    pub cell: u64,
    /// Whether it takes new connections (`phase`).
    pub state: HostState,
    /// Its capacity relative to others.
    pub size: f64,
    /// When it started, in Unix time by the host's machine (`up_since_ms`).
    pub started: Option<Nanos>,
    /// The start time that the node goes by, once it has judged that one.
    pub accepted_start: Option<Option<Nanos>>,
}

impl Default for Member {
    fn default() -> Self {
        Member {
            name: String::new(),
            address: None,
            zone: String::new(),
            cell: 0,
            state: HostState::Gone,
            size: 1.0,
            started: None,
            accepted_start: None,
        }
    }
}

/// A list, or the changes to one.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// The version that it brings the reader to.
    pub revision: u64,
    /// Whether it names all hosts, not only those that changed.
    pub complete: bool,
    /// The members that it names.
    pub members: Vec<Member>,
}

/// Why a list can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListError {
    /// It is no JSON.
    Json(JsonError),
    /// It ends before it is complete, or has no revision.
    Incomplete,
    /// A member has no name.
    MissingId,
    /// It has more members than the bound.
    TooManyMembers,
    /// The revision is no number that fits.
    InvalidRevision,
    /// A member's address can't be parsed.
    InvalidAddress,
    /// A member's phase is none of the known ones.
    UnknownPhase,
}

impl fmt::Display for ListError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ListError::Json(error) => return error.fmt(formatter),
            ListError::Incomplete => "a list cut short",
            ListError::MissingId => "a member without an id",
            ListError::TooManyMembers => "too many members",
            ListError::InvalidRevision => "a wild revision",
            ListError::InvalidAddress => "a wild address",
            ListError::UnknownPhase => "an unknown phase",
        })
    }
}

impl std::error::Error for ListError {}

impl From<JsonError> for ListError {
    fn from(error: JsonError) -> Self {
        ListError::Json(error)
    }
}

/// Reads a list as it arrives.
#[derive(Default)]
pub struct ListReader {
    lexer: JsonLexer,
    builder: ListBuilder,
}

impl ListReader {
    /// Reads on.
    ///
    /// # Errors
    /// Why this is no list.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        let builder = &mut self.builder;
        bytes.iter().try_for_each(|&byte| {
            self.lexer
                .feed(byte, &mut |nesting, event| builder.on_event(nesting, event))
        })
    }

    /// The list, once it is complete.
    ///
    /// # Errors
    /// [`ListError::Incomplete`] before that.
    pub fn finish(self) -> Result<EndpointList, ListError> {
        if !self.lexer.is_complete() || !self.builder.has_revision {
            return Err(ListError::Incomplete);
        }
        Ok(self.builder.list)
    }
}

/// Puts a list together from the events of the lexer.
#[derive(Default)]
struct ListBuilder {
    /// The last key of the outermost object.
    top_key: String,
    /// The last key of a member.
    field: String,
    /// The member being read.
    member: Option<Member>,
    /// The cell of that member, once it is known.
    cell: Option<u64>,
    has_revision: bool,
    list: EndpointList,
}

impl ListBuilder {
    fn on_event(&mut self, nesting: &[Container], event: JsonEvent<'_>) -> Result<(), ListError> {
        let at_top = nesting.len() == 1;
        let in_member = self.top_key == "members"
            && nesting == [Container::Object, Container::Array, Container::Object];
        match event {
            JsonEvent::ObjectStart if in_member => {
                self.member = Some(Member::default());
                self.cell = None;
            }
            JsonEvent::ObjectEnd if in_member => self.add_member()?,
            JsonEvent::Key(key) if at_top => self.top_key = key.to_string(),
            JsonEvent::Key(key) if in_member => self.field = key.to_string(),
            JsonEvent::Bare(text) if at_top => self.set_top_field(text)?,
            JsonEvent::Text(_) | JsonEvent::Bare(_) if in_member => self.set_member_field(event)?,
            _ => {}
        }
        Ok(())
    }

    fn add_member(&mut self) -> Result<(), ListError> {
        let Some(mut member) = self.member.take() else {
            return Ok(());
        };
        if member.name.is_empty() {
            return Err(ListError::MissingId);
        }
        if self.list.members.len() >= MAX_MEMBERS {
            return Err(ListError::TooManyMembers);
        }
        member.cell = self.cell.take().unwrap_or_else(|| fnv1a(&member.name));
        self.list.members.push(member);
        Ok(())
    }

    fn set_top_field(&mut self, text: &str) -> Result<(), ListError> {
        match self.top_key.as_str() {
            "revision" => {
                self.list.revision = text.parse().map_err(|_| ListError::InvalidRevision)?;
                self.has_revision = true;
            }
            "complete" => self.list.complete = text == "true",
            _ => {}
        }
        Ok(())
    }

    fn set_member_field(&mut self, value: JsonEvent<'_>) -> Result<(), ListError> {
        use JsonEvent::{Bare, Text};
        let Some(member) = self.member.as_mut() else {
            return Ok(());
        };
        let number = |text: &str| text.parse::<f64>().ok();
        match (self.field.as_str(), value) {
            ("id", Text(text)) => member.name = text.to_string(),
            ("host_port", Text(text)) => {
                let address = text.parse().map_err(|_| ListError::InvalidAddress)?;
                member.address = Some(address);
            }
            ("locality", Text(text) | Bare(text)) => member.zone = text.to_string(),
            ("cell", Bare("null")) => self.cell = None,
            ("cell", Bare(text)) => {
                self.cell = Some(text.parse().unwrap_or_else(|_| fnv1a(text)));
            }
            ("cell", Text(text)) => self.cell = Some(fnv1a(text)),
            ("phase", Text(text)) => {
                member.state = match text {
                    "active" => HostState::Ready,
                    "leaving" => HostState::Draining,
                    "left" => HostState::Gone,
                    _ => return Err(ListError::UnknownPhase),
                }
            }
            ("size", Bare(text)) => member.size = number(text).unwrap_or(1.0),
            ("up_since_ms", Bare(text)) => {
                let milliseconds = number(text).filter(|ms| (1.0..9e12).contains(ms));
                member.started = milliseconds.map(|ms| (ms * MILLI as f64) as Nanos);
            }
            _ => {}
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "list_tests.rs"]
mod tests;
