//! The sockets of the connections between forwarders and planners, used by both roles. This module owns the
//! sockets and their readiness as last reported by the poller. It reads at most [`MAX_BYTES_PER_TURN`] of a
//! connection in a turn and does not interpret the bytes.

use reedferry_runtime::errors::{classify_io, IoFailure};
use reedferry_runtime::{Errno, Readiness, Socket};
use std::collections::BTreeMap;

/// The most bytes that are read from one connection in a turn, so that one forwarder cannot starve the
/// others.
const MAX_BYTES_PER_TURN: usize = 128 << 10;
/// The size of the buffer for one read.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// One connection between a forwarder and a planner.
pub struct LinkConnection {
    /// The connection's socket.
    pub socket: Socket,
    /// Distinguishes this connection from earlier ones.
    pub generation: u32,
    /// Whether the connection is established. `false` only for an outgoing connection that is being set up.
    pub connected: bool,
    readable: bool,
    writable: bool,
}

impl LinkConnection {
    /// Creates a connection that has been accepted (`connected`) or is being set up.
    pub fn new(socket: Socket, generation: u32, connected: bool) -> Self {
        LinkConnection {
            socket,
            generation,
            connected,
            readable: false,
            writable: connected,
        }
    }

    /// Records the readiness that the poller has reported.
    pub fn on_ready(&mut self, ready: Readiness) {
        self.readable |= ready.readable;
        self.writable |= ready.writable;
    }

    /// Returns whether an outgoing connection has been established since the last call.
    ///
    /// # Errors
    /// Returns the error of the connect if it failed.
    pub fn check_established(&mut self) -> Result<bool, Errno> {
        if self.connected || !self.writable {
            return Ok(false);
        }
        self.socket.connect_result()?;
        self.connected = true;
        Ok(true)
    }

    /// Reads at most [`MAX_BYTES_PER_TURN`] bytes and passes them to `on_bytes`. Returns whether there may be
    /// more to read.
    ///
    /// # Errors
    /// Returns how the connection ended, as a text for the log.
    pub fn read(
        &mut self,
        buffer: &mut [u8],
        mut on_bytes: impl FnMut(&[u8]),
    ) -> Result<bool, &'static str> {
        let mut remaining = MAX_BYTES_PER_TURN;
        while self.readable && self.connected {
            if remaining == 0 {
                return Ok(true);
            }
            let limit = buffer.len().min(remaining);
            match self.socket.receive(&mut buffer[..limit]) {
                Ok(0) => return Err("closed by peer"),
                Ok(count) => {
                    remaining -= count;
                    on_bytes(&buffer[..count]);
                }
                Err(error) => match classify_io(error) {
                    IoFailure::WouldBlock => self.readable = false,
                    IoFailure::LocalResources => return Ok(true),
                    IoFailure::Disconnected => return Err("connection broken"),
                },
            }
        }
        Ok(false)
    }

    /// Sends as much of `bytes` as the connection takes without blocking. Returns the number of bytes sent.
    ///
    /// # Errors
    /// Returns how the connection ended, as a text for the log.
    pub fn write(&mut self, bytes: &[u8]) -> Result<usize, &'static str> {
        let mut sent = 0;
        while self.writable && self.connected && sent < bytes.len() {
            match self.socket.send(&bytes[sent..]) {
                Ok(count) => sent += count,
                Err(error) => match classify_io(error) {
                    IoFailure::WouldBlock => self.writable = false,
                    // The next turn sends the rest.
                    IoFailure::LocalResources => return Ok(sent),
                    IoFailure::Disconnected => return Err("connection broken"),
                },
            }
        }
        Ok(sent)
    }
}

/// All forwarder-planner connections of a process.
pub struct LinkConnections {
    /// The connections by the id that the role's core uses for them.
    pub by_id: BTreeMap<u32, LinkConnection>,
    /// Whether the last read left more to read on some connection.
    pub more_to_read: bool,
    read_buffer: Vec<u8>,
}

/// The ids of connections that have ended, with how each ended as a text for the log.
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
    /// Reads from each connection, at most [`MAX_BYTES_PER_TURN`] bytes. Returns the connections that have
    /// ended.
    pub fn read(&mut self, mut on_bytes: impl FnMut(u32, &[u8])) -> ClosedConnections {
        self.more_to_read = false;
        let mut closed = Vec::new();
        for (&id, connection) in &mut self.by_id {
            match connection.read(&mut self.read_buffer, |bytes| on_bytes(id, bytes)) {
                Ok(more) => self.more_to_read |= more,
                Err(reason) => closed.push((id, reason)),
            }
        }
        closed
    }

    /// Calls `write_one` for each connection to send its pending bytes. Returns the connections that have
    /// ended.
    pub fn write(
        &mut self,
        mut write_one: impl FnMut(u32, &mut LinkConnection) -> Result<(), &'static str>,
    ) -> ClosedConnections {
        let mut closed = Vec::new();
        for (&id, connection) in &mut self.by_id {
            if let Err(reason) = write_one(id, connection) {
                closed.push((id, reason));
            }
        }
        closed
    }
}
