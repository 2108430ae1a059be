//! Reads the endpoint list of the list service, in JSON, incrementally as it arrives. This module maps the keys of
//! the service to [`Member`]. It accepts no more members than [`MAX_MEMBERS`], and no list before its last byte.

use super::json::{Container, JsonError, JsonEvent, JsonLexer};
use crate::connections::protocol::keys::fnv1a;
use reedferry::{HostState, Nanos, MILLI};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

const MAX_MEMBERS: usize = 65_536;

/// One member of the endpoint list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The name of the host (`id`).
    pub name: String,
    /// The address of the host (`host_port`), or `None` if the list gives none.
    pub address: Option<SocketAddr>,
    /// The zone of the host (`locality`).
    pub zone: String,
    /// The cell of the host: its number, or a hash of its name. A host without a cell is in a cell of its own.
    pub cell: u64,
    /// Whether the host accepts new connections (`phase`).
    pub state: HostState,
    /// The capacity of the host relative to other hosts.
    pub size: f64,
    /// When the host started, in Unix time by the clock of its machine (`up_since_ms`); `None` if unknown.
    pub started: Option<Nanos>,
    /// The start time that the node uses after its plausibility check, or `None` before that check. The inner
    /// `None` stands for a start long ago.
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

/// A full endpoint list, or the changes to one.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    /// The revision of the endpoint list after these members are applied.
    pub revision: u64,
    /// Whether the list names all hosts, not only those that changed.
    pub complete: bool,
    /// The members that the list names.
    pub members: Vec<Member>,
}

/// The reason why a list can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListError {
    /// The list is not valid JSON.
    Json(JsonError),
    /// The list ends before it is complete, or has no revision.
    Incomplete,
    /// A member has no `id`.
    MissingId,
    /// The list has more members than [`MAX_MEMBERS`].
    TooManyMembers,
    /// The revision is not an unsigned 64-bit integer.
    InvalidRevision,
    /// The `host_port` of a member is not a socket address.
    InvalidAddress,
    /// The `phase` of a member is not one of the known values.
    UnknownPhase,
}

impl fmt::Display for ListError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ListError::Json(error) => return error.fmt(formatter),
            ListError::Incomplete => "list is cut short or has no revision",
            ListError::MissingId => "member without an id",
            ListError::TooManyMembers => "more than 65536 members",
            ListError::InvalidRevision => "revision is not an unsigned 64-bit integer",
            ListError::InvalidAddress => "host_port of a member is not an IP address with a port",
            ListError::UnknownPhase => "phase of a member is not active, leaving or left",
        })
    }
}

impl std::error::Error for ListError {}

impl From<JsonError> for ListError {
    fn from(error: JsonError) -> Self {
        ListError::Json(error)
    }
}

/// Reads a list incrementally.
#[derive(Default)]
pub struct ListReader {
    lexer: JsonLexer,
    builder: ListBuilder,
}

impl ListReader {
    /// Reads the next bytes of the list.
    ///
    /// # Errors
    /// Returns the reason why the bytes can't be part of a list.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        let builder = &mut self.builder;
        bytes.iter().try_for_each(|&byte| {
            self.lexer
                .feed(byte, &mut |nesting, event| builder.on_event(nesting, event))
        })
    }

    /// Returns the list that has been read.
    ///
    /// # Errors
    /// Returns [`ListError::Incomplete`] if the list is not complete or has no revision.
    pub fn finish(self) -> Result<EndpointList, ListError> {
        if !self.lexer.is_complete() || !self.builder.has_revision {
            return Err(ListError::Incomplete);
        }
        Ok(self.builder.list)
    }
}

/// Builds a list from the events of the lexer.
#[derive(Default)]
struct ListBuilder {
    /// The last key of the outermost object.
    top_key: String,
    /// The last key of a member.
    field: String,
    /// The member being read.
    member: Option<Member>,
    /// The cell of that member; `None` until a cell has been read.
    cell: Option<u64>,
    has_revision: bool,
    list: EndpointList,
}

impl ListBuilder {
    fn on_event(&mut self, nesting: &[Container], event: JsonEvent<'_>) -> Result<(), ListError> {
        let at_top_level = nesting.len() == 1;
        let in_member = self.top_key == "members"
            && nesting == [Container::Object, Container::Array, Container::Object];
        match event {
            JsonEvent::ObjectStart if in_member => {
                self.member = Some(Member::default());
                self.cell = None;
            }
            JsonEvent::ObjectEnd if in_member => self.add_member()?,
            JsonEvent::Key(key) if at_top_level => self.top_key = key.to_string(),
            JsonEvent::Key(key) if in_member => self.field = key.to_string(),
            JsonEvent::Literal(text) if at_top_level => self.set_top_field(text)?,
            JsonEvent::Text(_) | JsonEvent::Literal(_) if in_member => self.set_field(event)?,
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

    fn set_field(&mut self, value: JsonEvent<'_>) -> Result<(), ListError> {
        use JsonEvent::{Literal, Text};
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
            ("locality", Text(text) | Literal(text)) => member.zone = text.to_string(),
            ("cell", Literal("null")) => self.cell = None,
            ("cell", Literal(text)) => {
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
            ("size", Literal(text)) => member.size = number(text).unwrap_or(1.0),
            ("up_since_ms", Literal(text)) => {
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
