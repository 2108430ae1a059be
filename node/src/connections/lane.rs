//! A lane: what flows one way between two sockets, a buffer at a time. It owns the bytes that are on their
//! way and how far its lines have been read. It must never read more than it can pass on, so that a slow
//! receiver holds up its sender alone, nor keep a buffer while nothing flows.

use crate::connections::lines::{Scanner, Word};
use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Buffer, BufferPool, Socket};

/// Buffers moved for one connection before the others have their turn.
const TURN: usize = 8;

/// One end of a connection, and what was last heard of its readiness.
pub struct Side {
    pub socket: Socket,
    pub stamp: u32,
    pub readable: bool,
    pub writable: bool,
}

/// What flows one way.
#[derive(Default)]
pub struct Lane {
    pub buffer: Option<Buffer>,
    pub scanner: Scanner,
    pub ended: bool,
}

/// Where a lane has got to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Flow {
    /// Nothing can be done until a socket is ready.
    Idle,
    /// There is more to do.
    More,
    /// This machine is short of a buffer, or of memory: it has to be tried again soon.
    Starved,
    /// The sender has ended in order, and all that it sent is through.
    Ended,
    /// The sender's connection broke.
    Broken,
    /// The receiver's connection broke.
    Refused,
    Malformed,
}

impl Lane {
    pub fn run(
        &mut self,
        pool: &BufferPool,
        from: &mut Side,
        to: &mut Side,
        mut heard: impl FnMut(Word),
    ) -> Flow {
        for _ in 0..TURN {
            match self.flush(to) {
                Flow::Ended => {}
                other => return other,
            }
            if self.ended {
                return Flow::Ended;
            }
            if !from.readable {
                return Flow::Idle;
            }
            match self.fill(pool, from, &mut heard) {
                Flow::Idle => {}
                other => return other,
            }
        }
        Flow::More
    }

    /// Sends what waits; `Ended` once nothing does.
    pub fn flush(&mut self, to: &mut Side) -> Flow {
        while let Some(buffer) = self.buffer.as_mut().filter(|b| !b.is_empty()) {
            if !to.writable {
                return Flow::Idle;
            }
            match to.socket.send(buffer.unsent()) {
                Ok(count) => buffer.consume(count),
                Err(e) => match classify_io(e) {
                    IoFailure::WouldBlock => to.writable = false,
                    IoFailure::LocalResources => return Flow::Starved,
                    IoFailure::Disconnected => return Flow::Refused,
                },
            }
        }
        // An idle connection holds no buffer.
        self.buffer = None;
        Flow::Ended
    }

    /// Reads once; `Idle` where that went as it should.
    pub fn fill(
        &mut self,
        pool: &BufferPool,
        from: &mut Side,
        heard: &mut impl FnMut(Word),
    ) -> Flow {
        if self.buffer.is_none() {
            self.buffer = pool.take();
        }
        let Some(buffer) = self.buffer.as_mut() else {
            return Flow::Starved;
        };
        let had = buffer.unsent().len();
        match from.socket.receive(buffer.free_space()) {
            Ok(0) => self.ended = true,
            Ok(count) => {
                buffer.commit(count);
                let mut at = had;
                while at < buffer.unsent().len() {
                    match self.scanner.step(&buffer.unsent()[at..]) {
                        Ok((took, said)) => {
                            at += took;
                            said.into_iter().for_each(&mut *heard);
                        }
                        Err(_) => return Flow::Malformed,
                    }
                }
            }
            Err(e) => match classify_io(e) {
                IoFailure::WouldBlock => from.readable = false,
                IoFailure::LocalResources => return Flow::Starved,
                IoFailure::Disconnected => return Flow::Broken,
            },
        }
        Flow::Idle
    }
}
