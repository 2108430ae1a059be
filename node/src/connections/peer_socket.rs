//! The socket of a client or a host, and what the poller has last reported of its readiness.

use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::Socket;

/// One end of a connection.
pub(super) struct PeerSocket {
    pub(super) socket: Socket,
    /// Tells it from an earlier one in the same slot.
    pub(super) generation: u32,
    pub(super) readable: bool,
    pub(super) writable: bool,
}

/// What one call has sent of a line.
pub(super) enum SendResult {
    Whole,
    /// So many bytes: the rest has to wait.
    Partial(usize),
    /// Nothing more can be sent.
    Disconnected,
}

impl PeerSocket {
    /// Sends a line by one call.
    pub(super) fn send_once(&self, line: &[u8]) -> SendResult {
        match self.socket.send(line) {
            Ok(count) if count >= line.len() => SendResult::Whole,
            Ok(count) => SendResult::Partial(count),
            Err(error) if classify_io(error) == IoFailure::Disconnected => SendResult::Disconnected,
            Err(_) => SendResult::Partial(0),
        }
    }
}
