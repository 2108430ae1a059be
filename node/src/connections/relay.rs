//! One direction of a proxied connection: bytes flow from one socket to the other, a buffer at a time. Must
//! never read more than it can pass on, so that a slow receiver holds up its sender alone, nor keep a buffer
//! while nothing flows.

use super::peer_socket::PeerSocket;
use super::protocol::{HostMessage, LineError, LineScanner};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, BufferPool};

/// Buffers moved for one connection before the others have their turn.
const MAX_BUFFERS_PER_TURN: usize = 8;

/// What flows one way, and how far its lines have been read.
#[derive(Default)]
pub(super) struct Relay {
    pub(super) buffer: Option<Buffer>,
    pub(super) scanner: LineScanner,
    /// Whether the sender has ended its sending.
    pub(super) finished: bool,
}

/// How far a relay has got.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RelayStatus {
    /// Nothing can be done until a socket is ready.
    Idle,
    /// There is more to do.
    MoreToDo,
    /// This machine is short of a buffer, or of memory: to be retried soon.
    LocalResources,
    /// The sender has ended in order, and all that it sent is passed on.
    Finished,
    /// The sender's connection broke.
    SenderBroken,
    /// The receiver's connection broke.
    ReceiverBroken,
    /// The sender sent a line that is too long.
    Malformed,
}

impl Relay {
    /// Passes on what it can in one turn, and calls `on_message` for each line.
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

    /// Sends what waits; `Finished` once nothing does.
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

    /// Reads once; `Idle` where that went as it should.
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
        let scanned = buffer.unsent().len();
        match from.socket.receive(buffer.free_space()) {
            Ok(0) => self.finished = true,
            Ok(count) => {
                buffer.commit(count);
                let received = &buffer.unsent()[scanned..];
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

/// Reads the lines that end in `bytes`.
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
