//! Unix sockets that carry whole messages and descriptors between two processes of this machine.
//! Connections from processes of other users are refused, and the descriptor budget counts every
//! received descriptor.

use crate::{DescriptorBudget, Socket};
use rustix::io::Errno;
use rustix::net::{
    self, sockopt, AddressFamily, RecvFlags, SendFlags, SocketAddrUnix, SocketFlags, SocketType,
};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, SendAncillaryBuffer, SendAncillaryMessage,
};
use std::io::{IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::Path;

/// The size of the longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 48 << 10;
/// The maximum number of descriptors sent with one message.
const MAX_DESCRIPTORS_PER_MESSAGE: usize = 4;
const LISTEN_BACKLOG: i32 = 4;

impl DescriptorBudget {
    fn unix_socket(&self) -> Result<Socket, Errno> {
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        Ok(self.track(net::socket_with(
            AddressFamily::UNIX,
            SocketType::SEQPACKET,
            flags,
            None,
        )?))
    }

    /// Listens at `path` and replaces the socket or file that is there. The socket is bound under a
    /// temporary name and then renamed, so `path` never refers to a socket that does not listen.
    ///
    /// # Errors
    /// Returns an error if the socket cannot be created, bound or renamed to `path`.
    pub fn listen_unix(&self, path: &Path) -> Result<Socket, Errno> {
        let socket = self.unix_socket()?;
        let temporary = path.with_extension(std::process::id().to_string());
        // An earlier process with the same id may have left the temporary file behind.
        _ = std::fs::remove_file(&temporary);
        net::bind(&socket, &SocketAddrUnix::new(&temporary)?)?;
        net::listen(&socket, LISTEN_BACKLOG)?;
        std::fs::rename(&temporary, path)
            .map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO))?;
        Ok(socket)
    }

    /// Connects to the process that listens at `path`.
    ///
    /// # Errors
    /// Returns an error if no process listens there.
    pub fn connect_unix(&self, path: &Path) -> Result<Socket, Errno> {
        let socket = self.unix_socket()?;
        net::connect(&socket, &SocketAddrUnix::new(path)?)?;
        Ok(socket)
    }

    /// Accepts the next pending connection, which has to come from a process of the same user.
    ///
    /// # Errors
    /// Returns `AGAIN` if no connection is pending and `PERM` if it comes from another user.
    pub fn accept_unix(&self, listener: &Socket) -> Result<Socket, Errno> {
        let fd = net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)?;
        let socket = self.track(fd);
        match sockopt::socket_peercred(&socket)?.uid == rustix::process::geteuid() {
            true => Ok(socket),
            false => Err(Errno::PERM),
        }
    }

    /// Receives the next message into `into`, which has to hold the longest message, and returns
    /// the message's length and its descriptors. A length of 0 means that the peer has closed the
    /// channel.
    ///
    /// # Errors
    /// Returns `AGAIN` if no message has arrived, or another error of the system call.
    pub fn receive_with_descriptors(
        &self,
        from: &Socket,
        into: &mut [u8],
    ) -> Result<(usize, Vec<Socket>), Errno> {
        let mut control_space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut control_space);
        let message = loop {
            let mut slices = [IoSliceMut::new(&mut *into)];
            match net::recvmsg(from, &mut slices, &mut ancillary, RecvFlags::CMSG_CLOEXEC) {
                Err(Errno::INTR) => {}
                other => break other?,
            }
        };
        let mut received = Vec::new();
        for control_message in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = control_message {
                received.extend(descriptors.map(|fd| self.track(fd)));
            }
        }
        Ok((message.bytes, received))
    }
}

impl Socket {
    /// Sends a whole message together with `descriptors`, or nothing.
    ///
    /// # Errors
    /// Returns `INVAL` if there are too many descriptors, or the error of the system call.
    pub fn send_with_descriptors(
        &self,
        message: &[u8],
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), Errno> {
        let mut control_space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut ancillary = SendAncillaryBuffer::new(&mut control_space);
        if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors))
        {
            return Err(Errno::INVAL);
        }
        loop {
            let slices = [IoSlice::new(message)];
            match net::sendmsg(self.as_fd(), &slices, &mut ancillary, SendFlags::NOSIGNAL) {
                Err(Errno::INTR) => {}
                other => return other.map(|_| ()),
            }
        }
    }
}

#[cfg(test)]
#[path = "channel_tests.rs"]
mod tests;
