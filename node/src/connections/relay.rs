//! A lane: what flows one way between two sockets, a buffer at a time. It owns the bytes that are on their
//! way and how far its lines have been read. It must never read more than it can pass on, so that a slow
//! receiver holds up its sender alone, nor keep a buffer while nothing flows.

use crate::connections::protocol::{HostMessage, LineScanner};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, BufferPool, Socket};

/// Buffers moved for one connection before the others have their turn.
const MAX_BUFFERS_PER_TURN: usize = 8;

/// One end of a connection, and what was last heard of its readiness.
pub struct PeerSocket {
    pub socket: Socket,
    pub generation: u32,
    pub readable: bool,
    pub writable: bool,
}

/// What flows one way.
#[derive(Default)]
pub struct Relay {
    pub buffer: Option<Buffer>,
    pub scanner: LineScanner,
    pub finished: bool,
}

/// Where a lane has got to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RelayStatus {
    /// Nothing can be done until a socket is ready.
    Idle,
    /// There is more to do.
    MoreToDo,
    /// This machine is short of a buffer, or of memory: it has to be tried again soon.
    LocalResources,
    /// The sender has ended in order, and all that it sent is through.
    Finished,
    /// The sender's connection broke.
    SenderBroken,
    /// The receiver's connection broke.
    ReceiverBroken,
    Malformed,
}

impl Relay {
    pub fn transfer(
        &mut self,
        pool: &BufferPool,
        from: &mut PeerSocket,
        to: &mut PeerSocket,
        mut heard: impl FnMut(HostMessage),
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
            match self.read_from(pool, from, &mut heard) {
                RelayStatus::Idle => {}
                other => return other,
            }
        }
        RelayStatus::MoreToDo
    }

    /// Sends what waits; `Finished` once nothing does.
    pub fn write_to(&mut self, to: &mut PeerSocket) -> RelayStatus {
        while let Some(buffer) = self.buffer.as_mut().filter(|b| !b.is_empty()) {
            if !to.writable {
                return RelayStatus::Idle;
            }
            match to.socket.send(buffer.unsent()) {
                Ok(count) => buffer.consume(count),
                Err(e) => match classify_io(e) {
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
    pub fn read_from(
        &mut self,
        pool: &BufferPool,
        from: &mut PeerSocket,
        heard: &mut impl FnMut(HostMessage),
    ) -> RelayStatus {
        if self.buffer.is_none() {
            self.buffer = pool.take();
        }
        let Some(buffer) = self.buffer.as_mut() else {
            return RelayStatus::LocalResources;
        };
        let had = buffer.unsent().len();
        match from.socket.receive(buffer.free_space()) {
            Ok(0) => self.finished = true,
            Ok(count) => {
                buffer.commit(count);
                let mut at = had;
                while at < buffer.unsent().len() {
                    match self.scanner.step(&buffer.unsent()[at..]) {
                        Ok((took, said)) => {
                            at += took;
                            said.into_iter().for_each(&mut *heard);
                        }
                        Err(_) => return RelayStatus::Malformed,
                    }
                }
            }
            Err(e) => match classify_io(e) {
                IoFailure::WouldBlock => from.readable = false,
                IoFailure::LocalResources => return RelayStatus::LocalResources,
                IoFailure::Disconnected => return RelayStatus::SenderBroken,
            },
        }
        RelayStatus::Idle
    }
}
