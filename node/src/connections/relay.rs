//! One direction of a proxied connection: copies bytes from one socket to the other, one buffer at a time. It
//! reads the next bytes only when the last ones are sent, so that a slow receiver blocks its own sender
//! alone. An idle relay holds no buffer.

use super::peer_socket::PeerSocket;
use super::protocol::{HostMessage, LineError, LineScanner};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, BufferPool};

/// The most buffers that are copied in one direction of a connection before others get their turn.
const MAX_BUFFERS_PER_TURN: usize = 8;

/// The state of one direction: the bytes not sent yet and the position in the line being received.
#[derive(Default)]
pub(super) struct Relay {
    /// Received bytes that are not sent yet, or `None` if there are none.
    pub(super) buffer: Option<Buffer>,
    /// Finds the lines in the received bytes.
    pub(super) scanner: LineScanner,
    /// Whether the sender has ended its sending. While closing, whether the client has been sent all its
    /// bytes.
    pub(super) finished: bool,
}

/// The result of a transfer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RelayStatus {
    /// Nothing can be done until a socket is ready.
    Idle,
    /// The limit for one turn was reached, and there may be more to copy.
    MoreToDo,
    /// This machine is short of buffers or memory. The transfer must be retried soon.
    LocalResources,
    /// The sender has ended its sending in order, and all that it sent is forwarded.
    Finished,
    /// The sender's connection broke.
    SenderBroken,
    /// The receiver's connection broke.
    ReceiverBroken,
    /// The sender sent a line that is too long.
    Malformed,
}

impl Relay {
    /// Copies up to [`MAX_BUFFERS_PER_TURN`] buffers and calls `on_message` for each line received.
    pub(super) fn transfer(
        &mut self,
        pool: &BufferPool,
        from: &mut PeerSocket,
        to: &mut PeerSocket,
        mut on_message: impl FnMut(HostMessage),
    ) -> RelayStatus {
        for _ in 0..MAX_BUFFERS_PER_TURN {
            match self.write_to(to) {
                RelayStatus::Finished => {}
                other => return other,
            }
            if self.finished {
                return RelayStatus::Finished;
            }
            if !from.readable {
                return RelayStatus::Idle;
            }
            match self.read_from(pool, from, &mut on_message) {
                RelayStatus::Idle => {}
                other => return other,
            }
        }
        RelayStatus::MoreToDo
    }

    /// Sends the buffered bytes. Returns `Finished` once none are left.
    pub(super) fn write_to(&mut self, to: &mut PeerSocket) -> RelayStatus {
        while let Some(buffer) = self.buffer.as_mut().filter(|b| !b.is_empty()) {
            if !to.writable {
                return RelayStatus::Idle;
            }
            match to.socket.send(buffer.unsent()) {
                Ok(count) => buffer.consume(count),
                Err(error) => match classify_io(error) {
                    IoFailure::WouldBlock => to.writable = false,
                    IoFailure::LocalResources => return RelayStatus::LocalResources,
                    IoFailure::Disconnected => return RelayStatus::ReceiverBroken,
                },
            }
        }
        // An idle connection holds no buffer.
        self.buffer = None;
        RelayStatus::Finished
    }

    /// Reads once from the sender. Returns `Idle` unless an error occurred.
    pub(super) fn read_from(
        &mut self,
        pool: &BufferPool,
        from: &mut PeerSocket,
        on_message: &mut impl FnMut(HostMessage),
    ) -> RelayStatus {
        if self.buffer.is_none() {
            self.buffer = pool.take();
        }
        let Some(buffer) = self.buffer.as_mut() else {
            return RelayStatus::LocalResources;
        };
        let already_scanned = buffer.unsent().len();
        match from.socket.receive(buffer.free_space()) {
            Ok(0) => self.finished = true,
            Ok(count) => {
                buffer.commit(count);
                let received = &buffer.unsent()[already_scanned..];
                if scan_lines(&mut self.scanner, received, on_message).is_err() {
                    return RelayStatus::Malformed;
                }
            }
            Err(error) => match classify_io(error) {
                IoFailure::WouldBlock => from.readable = false,
                IoFailure::LocalResources => return RelayStatus::LocalResources,
                IoFailure::Disconnected => return RelayStatus::SenderBroken,
            },
        }
        RelayStatus::Idle
    }
}

/// Calls `on_message` for each line that ends in `bytes`.
fn scan_lines(
    scanner: &mut LineScanner,
    mut bytes: &[u8],
    on_message: &mut impl FnMut(HostMessage),
) -> Result<(), LineError> {
    while !bytes.is_empty() {
        let (consumed, message) = scanner.step(bytes)?;
        bytes = &bytes[consumed..];
        message.into_iter().for_each(&mut *on_message);
    }
    Ok(())
}
