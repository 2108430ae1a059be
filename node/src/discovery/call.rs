//! One call to the list service: its connection, the request on its way out and the response on its way in.

use super::http::{HttpError, HttpResponse};
use super::list::{ListError, ListReader};
use super::staleness::CallFailure;
use reedferry::Nanos;
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, Errno, Socket};
use std::fmt;

/// The longest body of a response.
const MAX_BODY_BYTES: usize = 32 << 20;

/// Why a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened.
    Connect(Errno),
    /// The connection broke while the request was sent.
    Send(Errno),
    /// The connection broke while the response was read.
    Receive(Errno),
    /// The service ended the connection.
    Closed,
    /// Bytes came beyond a response, or without a request.
    UnexpectedBytes,
    /// The service answered with this status.
    Status(u16),
    /// The response can't be read.
    Http(HttpError),
    /// The list can't be read.
    List(ListError),
    /// The list is longer than the bound.
    ListTooLong,
    /// The list is older than what is known, and not a whole one.
    BackwardsRevision,
    /// There was no answer in time.
    Timeout,
}

impl CallError {
    /// What the error means for the staleness of the list.
    pub fn failure(self) -> CallFailure {
        match self {
            CallError::Connect(_)
            | CallError::Send(_)
            | CallError::Receive(_)
            | CallError::Closed => CallFailure::Disconnected,
            CallError::Status(_) => CallFailure::Rejected,
            CallError::Timeout => CallFailure::Silent,
            CallError::UnexpectedBytes
            | CallError::Http(_)
            | CallError::List(_)
            | CallError::ListTooLong
            | CallError::BackwardsRevision => CallFailure::Malformed,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(error) => write!(formatter, "connect: {error}"),
            CallError::Send(error) => write!(formatter, "send: {error}"),
            CallError::Receive(error) => error.fmt(formatter),
            CallError::Closed => formatter.write_str("ended"),
            CallError::UnexpectedBytes => formatter.write_str("bytes that nobody asked for"),
            CallError::Status(status) => write!(formatter, "status {status}"),
            CallError::Http(error) => error.fmt(formatter),
            CallError::List(error) => error.fmt(formatter),
            CallError::ListTooLong => formatter.write_str("a list that is too long"),
            CallError::BackwardsRevision => formatter.write_str("a revision that runs backwards"),
            CallError::Timeout => formatter.write_str("no answer in time"),
        }
    }
}

impl std::error::Error for CallError {}

impl From<HttpError> for CallError {
    fn from(error: HttpError) -> Self {
        CallError::Http(error)
    }
}

impl From<ListError> for CallError {
    fn from(error: ListError) -> Self {
        CallError::List(error)
    }
}

/// What reading once from the connection of a call has come to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Nothing more can be read now.
    Blocked,
    /// There may be more.
    More,
    /// The response is complete; the next one may follow.
    Complete,
    /// The response is complete by the end of the connection.
    CompleteAtClose,
    /// The service answered with this status, and not with a list.
    Rejected(u16),
    /// The connection is of no more use.
    ConnectionLost(CallError),
    /// What came can't be read.
    Malformed(CallError),
}

/// A connection to the service.
pub(super) struct CallConnection {
    pub(super) socket: Socket,
    /// Tells it from an earlier one of the same call.
    pub(super) generation: u32,
}

/// A call, and the connection that it goes over.
#[derive(Default)]
pub(super) struct DiscoveryCall {
    pub(super) connection: Option<CallConnection>,
    /// Whether a request has no answer yet.
    pub(super) in_flight: bool,
    pub(super) request: Vec<u8>,
    /// How much of the request is written.
    written: usize,
    pub(super) response: HttpResponse,
    pub(super) reader: ListReader,
    body_bytes: usize,
    /// Some of the response has arrived.
    pub(super) response_begun: bool,
    /// The connection has served an earlier call.
    pub(super) reused: bool,
    pub(super) started_at: Nanos,
    /// For how long the service may hold the call back for want of news.
    pub(super) max_wait: Nanos,
    /// When it is taken to have failed.
    pub(super) deadline: Nanos,
}

impl DiscoveryCall {
    /// Begins the request from its first byte.
    pub(super) fn restart(&mut self) {
        self.written = 0;
        self.body_bytes = 0;
        self.response_begun = false;
        self.response = HttpResponse::default();
        self.reader = ListReader::default();
    }

    /// Whether its connection is the one of this generation.
    pub(super) fn has_connection(&self, generation: u32) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.generation == generation)
    }

    /// Writes what it can of the request.
    ///
    /// # Errors
    /// Where the connection broke.
    pub(super) fn write(&mut self) -> Result<(), CallError> {
        let Some(connection) = &self.connection else {
            return Ok(());
        };
        while self.in_flight && self.written < self.request.len() {
            match connection.socket.send(&self.request[self.written..]) {
                Ok(count) => self.written += count,
                Err(Errno::NOTCONN) => break,
                // The next sweep goes on where the poller does not.
                Err(error) if classify_io(error) != IoFailure::Disconnected => break,
                Err(error) => return Err(CallError::Send(error)),
            }
        }
        Ok(())
    }

    /// Reads once. Once a response has begun, it has to be complete by `body_deadline`: without that, one
    /// that never ends would be waited for as long as a watch without news.
    pub(super) fn read(&mut self, buffer: &mut Buffer, body_deadline: Nanos) -> ReadOutcome {
        let Some(connection) = &self.connection else {
            return ReadOutcome::Blocked;
        };
        buffer.clear();
        let count = match connection.socket.receive(buffer.free_space()) {
            Ok(0) if self.in_flight && self.response.on_close() => {
                return ReadOutcome::CompleteAtClose;
            }
            Ok(0) => return ReadOutcome::ConnectionLost(CallError::Closed),
            Ok(count) => count,
            Err(error) if classify_io(error) != IoFailure::Disconnected => {
                return ReadOutcome::Blocked;
            }
            Err(error) => return ReadOutcome::ConnectionLost(CallError::Receive(error)),
        };
        buffer.commit(count);
        if !self.in_flight {
            return ReadOutcome::ConnectionLost(CallError::UnexpectedBytes);
        }
        if !std::mem::replace(&mut self.response_begun, true) {
            self.deadline = self.deadline.min(body_deadline);
        }
        let (reader, body_bytes) = (&mut self.reader, &mut self.body_bytes);
        let consumed = self.response.feed(buffer.unsent(), |piece| {
            *body_bytes += piece.len();
            if *body_bytes > MAX_BODY_BYTES {
                return Err(CallError::ListTooLong);
            }
            Ok(reader.feed(piece)?)
        });
        let complete = self.response.is_complete();
        match consumed {
            Err(error) => ReadOutcome::Malformed(error),
            Ok(consumed) if complete && consumed < count => {
                ReadOutcome::Malformed(CallError::UnexpectedBytes)
            }
            Ok(_) if complete => ReadOutcome::Complete,
            Ok(_) if self.response.has_begun() && self.response.status >= 400 => {
                ReadOutcome::Rejected(self.response.status)
            }
            Ok(_) => ReadOutcome::More,
        }
    }
}
