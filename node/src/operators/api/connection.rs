//! A connection of an operator: reads one request, writes its response, and then waits for the caller to close the connection.

use super::request::{parse, ApiRequest, Parsed};
use reedferry::Nanos;
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, Socket};

/// The number of bytes of the body, or of later input, that one read discards at most.
const DISCARD_BYTES: usize = 4096;

/// The stage of a connection.
pub(super) enum Stage {
    /// The head is incomplete.
    ReadingHead(Buffer),
    /// The head is complete; `pending` bytes of the body are still to be received.
    ReadingBody { request: ApiRequest, pending: u64 },
    /// The request is complete, and the event loop has not given its response yet.
    AwaitingResponse,
    /// The response is being written; `written` is the number of bytes written so far.
    Writing { response: Vec<u8>, written: usize },
    /// The whole response has been written, and the caller has not closed the connection yet.
    Lingering,
}

/// A connection of an operator. It carries one request.
pub(super) struct Connection {
    pub socket: Socket,
    /// The generation of the connection's poller token, which is unique among the owners of a slot.
    pub generation: u32,
    /// The time at which the current stage began.
    pub stage_started_at: Nanos,
    pub stage: Stage,
    /// Whether the poller reports the connection.
    pub is_registered: bool,
}

/// The state of a connection after a read or write.
#[derive(PartialEq)]
pub(super) enum Progress {
    /// The connection continues when the poller reports it, or at the next sweep.
    Waiting,
    /// More input may be available, so the caller reads again.
    Continues,
    /// The connection has ended, and the caller removes it.
    Ended,
}

impl Connection {
    /// Starts the response; [`send`](Self::send) writes it.
    pub fn respond(&mut self, response: Vec<u8>, now: Nanos) {
        self.stage = Stage::Writing {
            response,
            written: 0,
        };
        self.stage_started_at = now;
    }

    /// Receives once: into the buffer of the head, or else counts and discards the bytes of the body.
    pub fn receive(&mut self) -> Progress {
        let mut discarded = [0; DISCARD_BYTES];
        let space = match &mut self.stage {
            Stage::ReadingHead(head) => head.free_space(),
            _ => &mut discarded,
        };
        let count = match self.socket.receive(space) {
            // The caller may have closed only its sending side, and still reads the response.
            Ok(0) => {
                return match &self.stage {
                    Stage::Writing { .. } | Stage::AwaitingResponse => Progress::Waiting,
                    _ => Progress::Ended,
                }
            }
            Ok(count) => count,
            // The next sweep continues the connection if the poller does not report it again.
            Err(error) if classify_io(error) != IoFailure::Disconnected => {
                return Progress::Waiting
            }
            Err(_) => return Progress::Ended,
        };
        match &mut self.stage {
            Stage::ReadingHead(head) => head.commit(count),
            Stage::ReadingBody { pending, .. } => *pending = pending.saturating_sub(count as u64),
            // Later input is read and discarded, because closing a socket with unread input resets the connection, and the
            // caller would lose the response.
            _ => {}
        }
        Progress::Continues
    }

    /// Parses the head if it is still being read. Returns whether the request was invalid, so that a response is to be written.
    pub fn parse_head(&mut self, now: Nanos) -> bool {
        let Stage::ReadingHead(head) = &mut self.stage else {
            return false;
        };
        let full = head.free_space().is_empty();
        match parse(head.unsent(), full) {
            Parsed::Incomplete => false,
            Parsed::Head { request, body_left } => {
                self.stage = Stage::ReadingBody {
                    request,
                    pending: body_left,
                };
                false
            }
            Parsed::Invalid(rejection) => {
                let response = rejection.response.to_bytes(rejection.headers);
                self.respond(response, now);
                true
            }
        }
    }

    /// Sends the rest of the response, if there is one.
    pub fn send(&mut self, now: Nanos) -> Progress {
        let Stage::Writing { response, written } = &mut self.stage else {
            return Progress::Waiting;
        };
        while *written < response.len() {
            match self.socket.send(&response[*written..]) {
                Ok(count) => *written += count,
                Err(error) if classify_io(error) != IoFailure::Disconnected => {
                    return Progress::Waiting;
                }
                Err(_) => return Progress::Ended,
            }
        }
        self.socket.shutdown_write();
        self.stage = Stage::Lingering;
        self.stage_started_at = now;
        Progress::Waiting
    }
}
