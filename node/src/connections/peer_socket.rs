//! The socket of a client or a host, with its readiness as last reported by the poller.

use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::Socket;

/// One end of a proxied connection.
pub(super) struct PeerSocket {
    pub(super) socket: Socket,
    /// Distinguishes this socket from earlier ones in the same slot.
    pub(super) generation: u32,
    pub(super) readable: bool,
    pub(super) writable: bool,
}

/// The result of sending a line with one call.
pub(super) enum SendResult {
    /// The whole line was sent.
    Whole,
    /// This many bytes were sent, possibly 0. The rest has to be sent later.
    Partial(usize),
    /// The connection is closed, and nothing more can be sent.
    Disconnected,
}

impl PeerSocket {
    /// Sends as much of a line as one call to the socket takes.
    pub(super) fn send_once(&self, line: &[u8]) -> SendResult {
        match self.socket.send(line) {
            Ok(count) if count >= line.len() => SendResult::Whole,
            Ok(count) => SendResult::Partial(count),
            Err(error) if classify_io(error) == IoFailure::Disconnected => SendResult::Disconnected,
            Err(_) => SendResult::Partial(0),
        }
    }
}
