//! The connections between forwarders and planners on their sockets, at either end. Owns the sockets and
//! what the poller has last reported of them. Must never read more in a turn than a connection's share, nor
//! know what passes on it.

use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Errno, Readiness, Socket};
use std::collections::BTreeMap;

/// What is read of one connection in a turn, so that a planner's forwarders take turns.
const MAX_BYTES_PER_TURN: usize = 128 << 10;
/// What is read at once.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// One connection.
pub struct LinkConnection {
    /// Its socket.
    pub socket: Socket,
    /// Tells it from an earlier one.
    pub generation: u32,
    /// Whether it is established; an outgoing one may not be yet.
    pub connected: bool,
    readable: bool,
    writable: bool,
}

impl LinkConnection {
    /// One that has been accepted, or is on its way.
    pub fn new(socket: Socket, generation: u32, connected: bool) -> Self {
        LinkConnection {
            socket,
            generation,
            connected,
            readable: false,
            writable: connected,
        }
    }

    /// The poller has reported its readiness.
    pub fn on_ready(&mut self, ready: Readiness) {
        self.readable |= ready.readable;
        self.writable |= ready.writable;
    }

    /// Whether an outgoing connection has just been established.
    ///
    /// # Errors
    /// Where it never will be.
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
        buffer: &mut [u8],
        mut on_bytes: impl FnMut(&[u8]),
    ) -> Result<bool, &'static str> {
        let mut left = MAX_BYTES_PER_TURN;
        while self.readable && self.connected {
            if left == 0 {
                return Ok(true);
            }
            let limit = buffer.len().min(left);
            match self.socket.receive(&mut buffer[..limit]) {
                Ok(0) => return Err("ended"),
                Ok(count) => {
                    left -= count;
                    on_bytes(&buffer[..count]);
                }
                Err(error) => match classify_io(error) {
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
                Err(error) => match classify_io(error) {
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

/// All connections of a role, by its core's number for each.
pub struct LinkConnections {
    /// The connections.
    pub by_id: BTreeMap<u32, LinkConnection>,
    /// Some have more to read than a turn's share.
    pub more_to_read: bool,
    read_buffer: Vec<u8>,
}

/// The connections that have ended, and how.
pub type ClosedConnections = Vec<(u32, &'static str)>;

impl Default for LinkConnections {
    fn default() -> Self {
        LinkConnections {
            by_id: BTreeMap::new(),
            more_to_read: false,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        }
    }
}

impl LinkConnections {
    /// Reads of each its share of a turn.
    pub fn read(&mut self, mut on_bytes: impl FnMut(u32, &[u8])) -> ClosedConnections {
        self.more_to_read = false;
        let mut closed = Vec::new();
        for (&line, connection) in &mut self.by_id {
            match connection.read(&mut self.read_buffer, |bytes| on_bytes(line, bytes)) {
                Ok(more) => self.more_to_read |= more,
                Err(reason) => closed.push((line, reason)),
            }
        }
        closed
    }

    /// Has `write_one` write what waits for each connection.
    pub fn write(
        &mut self,
        mut write_one: impl FnMut(u32, &mut LinkConnection) -> Result<(), &'static str>,
    ) -> ClosedConnections {
        let mut closed = Vec::new();
        for (&line, connection) in &mut self.by_id {
            if let Err(reason) = write_one(line, connection) {
                closed.push((line, reason));
            }
        }
        closed
    }
}
