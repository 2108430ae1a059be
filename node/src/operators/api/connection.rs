//! One connection of an operator: its request is read, its response written, its end waited for.

use super::request::{parse, ApiRequest, Parsed};
use reedferry::Nanos;
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, Socket};

/// How much of what comes after the head is read at a time.
const DISCARD_BYTES: usize = 4096;

/// How far a call has gone.
pub(super) enum Stage {
    /// The head is incomplete.
    ReadingHead(Buffer),
    /// So much of the body is still to come.
    ReadingBody { request: ApiRequest, pending: u64 },
    /// The request is whole, and its response is still to be given.
    AwaitingResponse,
    /// So much of the response has been written.
    Writing { response: Vec<u8>, written: usize },
    /// All of the response has been written; the caller's end is waited for.
    Lingering,
}

/// A connection of an operator, for one request.
pub(super) struct Connection {
    pub socket: Socket,
    /// The generation of its token.
    pub generation: u32,
    /// When its stage began.
    pub stage_started_at: Nanos,
    pub stage: Stage,
    /// The poller reports it.
    pub is_registered: bool,
}

/// What a read or write leaves of a connection.
#[derive(PartialEq)]
pub(super) enum Progress {
    /// It goes on when the poller reports it, or at the next sweep.
    Waiting,
    /// It is to be read on.
    Continues,
    /// It is over.
    Ended,
}

impl Connection {
    /// Begins the response.
    pub fn respond(&mut self, response: Vec<u8>, now: Nanos) {
        self.stage = Stage::Writing {
            response,
            written: 0,
        };
        self.stage_started_at = now;
    }

    /// Receives once, into the head's buffer, or counts what comes of the body and discards it.
    pub fn receive(&mut self) -> Progress {
        let mut discarded = [0; DISCARD_BYTES];
        let space = match &mut self.stage {
            Stage::ReadingHead(head) => head.free_space(),
            _ => &mut discarded,
        };
        let count = match self.socket.receive(space) {
            // The caller may have ended its sending alone: then it still reads its response.
            Ok(0) => {
                return match &self.stage {
                    Stage::Writing { .. } | Stage::AwaitingResponse => Progress::Waiting,
                    _ => Progress::Ended,
                }
            }
            Ok(count) => count,
            // The next sweep goes on where the poller does not.
            Err(error) if classify_io(error) != IoFailure::Disconnected => {
                return Progress::Waiting
            }
            Err(_) => return Progress::Ended,
        };
        match &mut self.stage {
            Stage::ReadingHead(head) => head.commit(count),
            Stage::ReadingBody { pending, .. } => *pending = pending.saturating_sub(count as u64),
            // The rest is read too: closing over unread input would reset the connection, and the response would be lost.
            _ => {}
        }
        Progress::Continues
    }

    /// Parses the head, if it is being read, and returns whether the response is to be written now.
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

    /// Sends what is pending of the response, if there is one.
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
