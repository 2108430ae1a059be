//! One call to the list service: its connection, the request being sent and the response being received.

use super::http::{HttpError, HttpResponse};
use super::list::{ListError, ListReader};
use super::staleness::CallFailure;
use reedferry::Nanos;
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, Errno, Socket};
use std::fmt;

/// The maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 32 << 20;

/// The reason why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// The connection could not be opened.
    Connect(Errno),
    /// The connection broke while the request was being sent.
    Send(Errno),
    /// The connection broke while the response was being read.
    Receive(Errno),
    /// The service closed the connection.
    Closed,
    /// Bytes arrived after a complete response, or without a request.
    UnexpectedBytes,
    /// The service answered with this status.
    Status(u16),
    /// The response is not valid HTTP.
    Http(HttpError),
    /// The list is invalid.
    List(ListError),
    /// The body of the response is larger than [`MAX_BODY_BYTES`].
    ListTooLong,
    /// The response holds changes with an older revision than the known one.
    RevisionRegressed,
    /// There was no answer in time.
    Timeout,
}

impl CallError {
    /// Returns the kind of failure that determines the staleness of the list.
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
            | CallError::RevisionRegressed => CallFailure::Malformed,
        }
    }
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Connect(error) => write!(formatter, "cannot connect: {error}"),
            CallError::Send(error) => write!(formatter, "cannot send: {error}"),
            CallError::Receive(error) => error.fmt(formatter),
            CallError::Closed => formatter.write_str("connection closed by the service"),
            CallError::UnexpectedBytes => formatter.write_str("unexpected bytes from the service"),
            CallError::Status(status) => write!(formatter, "HTTP status {status}"),
            CallError::Http(error) => error.fmt(formatter),
            CallError::List(error) => error.fmt(formatter),
            CallError::ListTooLong => formatter.write_str("response body larger than 32 MiB"),
            CallError::RevisionRegressed => formatter.write_str("changes with an older revision"),
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

/// The result of one read from the connection of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadOutcome {
    /// Nothing more can be read now.
    Blocked,
    /// There may be more to read.
    More,
    /// The response is complete, and the connection may be used for the next call.
    Complete,
    /// The response was completed by the end of the connection.
    CompleteAtClose,
    /// The service answered with this error status instead of a list.
    Rejected(u16),
    /// The connection is no longer usable.
    ConnectionLost(CallError),
    /// The response is invalid.
    Malformed(CallError),
}

/// A connection to the service.
pub(super) struct CallConnection {
    pub(super) socket: Socket,
    /// The generation of the poller token, which tells this connection from earlier ones of the same call.
    pub(super) generation: u32,
    /// Whether the connection is known to have come up.
    pub(super) established: bool,
}

impl CallConnection {
    /// Creates a connection that may still be coming up.
    pub(super) fn new(socket: Socket, generation: u32) -> Self {
        CallConnection {
            socket,
            generation,
            established: false,
        }
    }
}

/// Returns whether this error of a connection shows that it had come up before. A connection that never came up fails
/// with another error, such as `CONNREFUSED`.
fn ends_established(error: Errno) -> bool {
    matches!(error, Errno::CONNRESET | Errno::PIPE)
}

/// A call and its connection.
#[derive(Default)]
pub(super) struct DiscoveryCall {
    pub(super) connection: Option<CallConnection>,
    /// Whether a request has not been answered yet.
    pub(super) in_flight: bool,
    pub(super) request: Vec<u8>,
    /// The number of bytes of the request that have been written.
    written: usize,
    pub(super) response: HttpResponse,
    pub(super) reader: ListReader,
    body_bytes: usize,
    /// Whether some of the response has arrived.
    pub(super) response_begun: bool,
    /// Whether the connection has served an earlier call.
    pub(super) reused: bool,
    pub(super) started_at: Nanos,
    /// How long the service may hold the call while there are no changes; 0 for an immediate answer.
    pub(super) max_wait: Nanos,
    /// When the call counts as failed if it has not been answered.
    pub(super) deadline: Nanos,
}

impl DiscoveryCall {
    /// Resets the progress of the call, so that the request is sent from its first byte.
    pub(super) fn restart(&mut self) {
        self.written = 0;
        self.body_bytes = 0;
        self.response_begun = false;
        self.response = HttpResponse::default();
        self.reader = ListReader::default();
    }

    /// Returns whether the connection was opened for this call and is known to have come up.
    pub(super) fn has_connected(&self) -> bool {
        let connection = self.connection.as_ref();
        self.in_flight
            && !self.reused
            && connection.is_some_and(|connection| connection.established)
    }

    /// Returns whether the connection of the call is the one of this generation.
    pub(super) fn has_connection(&self, generation: u32) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.generation == generation)
    }

    /// Writes as much of the request as the socket accepts.
    ///
    /// # Errors
    /// Returns [`CallError::Send`] if the connection broke.
    pub(super) fn write(&mut self) -> Result<(), CallError> {
        let Some(connection) = &mut self.connection else {
            return Ok(());
        };
        while self.in_flight && self.written < self.request.len() {
            match connection.socket.send(&self.request[self.written..]) {
                Ok(count) => {
                    connection.established = true;
                    self.written += count;
                }
                Err(Errno::NOTCONN) => break,
                // The next sweep writes the rest, even if the poller reports nothing.
                Err(error) if classify_io(error) != IoFailure::Disconnected => break,
                Err(error) => {
                    connection.established |= ends_established(error);
                    return Err(CallError::Send(error));
                }
            }
        }
        Ok(())
    }

    /// Reads once. A response that has begun has to be complete by `body_deadline`. Otherwise a response that never
    /// ends would be given as much time as a watch without changes.
    pub(super) fn read(&mut self, buffer: &mut Buffer, body_deadline: Nanos) -> ReadOutcome {
        let Some(connection) = &mut self.connection else {
            return ReadOutcome::Blocked;
        };
        buffer.clear();
        let received = connection.socket.receive(buffer.free_space());
        connection.established |= received.map_or_else(ends_established, |_| true);
        let count = match received {
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
