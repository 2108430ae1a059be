//! Wires: the connections of the link on their sockets, at either end. They own the sockets and what was
//! last heard of their readiness. It must never read more in a turn than its share, nor know what passes.

use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Errno, Readiness, Socket};
use std::collections::BTreeMap;

/// What is read of one connection in a turn, so that a planner's forwarders take turns.
const MAX_BYTES_PER_TURN: usize = 128 << 10;
/// What is read at once.
const READ_BUFFER_BYTES: usize = 32 << 10;

pub struct LinkConnection {
    pub socket: Socket,
    pub generation: u32,
    /// Whether it stands; one that was called for may not yet.
    pub connected: bool,
    readable: bool,
    writable: bool,
}

impl LinkConnection {
    pub fn new(socket: Socket, stamp: u32, stands: bool) -> Self {
        LinkConnection {
            socket,
            generation: stamp,
            connected: stands,
            readable: false,
            writable: stands,
        }
    }

    pub fn ready(&mut self, ready: Readiness) {
        self.readable |= ready.readable;
        self.writable |= ready.writable;
    }

    /// Whether a connection that was called for has come up with the last word of its readiness.
    ///
    /// # Errors
    /// Where it never will.
    pub fn check_established(&mut self) -> Result<bool, Errno> {
        if self.connected || !self.writable {
            return Ok(false);
        }
        self.socket.connect_result()?;
        self.connected = true;
        Ok(true)
    }

    /// Reads its share of a turn, and tells whether there may be more.
    ///
    /// # Errors
    /// How the connection ended, in a word.
    pub fn read(
        &mut self,
        space: &mut [u8],
        mut each: impl FnMut(&[u8]),
    ) -> Result<bool, &'static str> {
        let mut left = MAX_BYTES_PER_TURN;
        while self.readable && self.connected {
            if left == 0 {
                return Ok(true);
            }
            let most = space.len().min(left);
            match self.socket.receive(&mut space[..most]) {
                Ok(0) => return Err("ended"),
                Ok(count) => {
                    left -= count;
                    each(&space[..count]);
                }
                Err(e) => match classify_io(e) {
                    IoFailure::WouldBlock => self.readable = false,
                    IoFailure::LocalResources => return Ok(true),
                    IoFailure::Disconnected => return Err("broken"),
                },
            }
        }
        Ok(false)
    }

    /// Sends of `bytes` what the connection takes, and tells how much that was.
    ///
    /// # Errors
    /// How the connection ended, in a word.
    pub fn write(&mut self, bytes: &[u8]) -> Result<usize, &'static str> {
        let mut sent = 0;
        while self.writable && self.connected && sent < bytes.len() {
            match self.socket.send(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(e) => match classify_io(e) {
                    IoFailure::WouldBlock => self.writable = false,
                    // The next turn goes on.
                    IoFailure::LocalResources => return Ok(sent),
                    IoFailure::Disconnected => return Err("broken"),
                },
            }
        }
        Ok(sent)
    }
}

/// All connections of a role, by its core's name for each.
pub struct LinkConnections {
    pub by_line: BTreeMap<u32, LinkConnection>,
    /// Some have more to read than a turn's share.
    pub more_to_read: bool,
    read_buffer: Vec<u8>,
}

/// A connection that has ended, and how.
pub type ClosedConnections = Vec<(u32, &'static str)>;

impl Default for LinkConnections {
    fn default() -> Self {
        LinkConnections {
            by_line: BTreeMap::new(),
            more_to_read: false,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        }
    }
}

impl LinkConnections {
    /// Reads of each its share of a turn.
    pub fn read(&mut self, mut each: impl FnMut(u32, &[u8])) -> ClosedConnections {
        self.more_to_read = false;
        let mut ended = Vec::new();
        for (&line, wire) in &mut self.by_line {
            match wire.read(&mut self.read_buffer, |bytes| each(line, bytes)) {
                Ok(more) => self.more_to_read |= more,
                Err(why) => ended.push((line, why)),
            }
        }
        ended
    }

    /// Has `each` write what waits for a connection; it is told as much of it as was taken.
    pub fn write(
        &mut self,
        mut each: impl FnMut(u32, &mut LinkConnection) -> Result<(), &'static str>,
    ) -> ClosedConnections {
        let one = |(&line, wire): (&u32, &mut LinkConnection)| {
            each(line, wire).err().map(|why| (line, why))
        };
        self.by_line.iter_mut().filter_map(one).collect()
    }
}
