//! A channel between two processes of this machine: whole messages, and descriptors with them. Must
//! never accept what another user's process sends, nor leave a descriptor that came uncounted.

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

/// The longest message.
pub const MAX_MESSAGE_BYTES: usize = 48 << 10;
/// The most descriptors that go with one message.
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

    /// Listens at this path, in place of whoever did.
    ///
    /// # Errors
    /// Where the socket can't be made, bound or put at the path.
    pub fn listen_unix(&self, path: &Path) -> Result<Socket, Errno> {
        let socket = self.unix_socket()?;
        let temporary = path.with_extension(std::process::id().to_string());
        // Left by a process that had the same id.
        _ = std::fs::remove_file(&temporary);
        net::bind(&socket, &SocketAddrUnix::new(&temporary)?)?;
        net::listen(&socket, LISTEN_BACKLOG)?;
        std::fs::rename(&temporary, path)
            .map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO))?;
        Ok(socket)
    }

    /// Connects to whoever listens at this path.
    ///
    /// # Errors
    /// Where nobody does.
    pub fn connect_unix(&self, path: &Path) -> Result<Socket, Errno> {
        let socket = self.unix_socket()?;
        net::connect(&socket, &SocketAddrUnix::new(path)?)?;
        Ok(socket)
    }

    /// The next connection that waits, if it is of a process of the same user.
    ///
    /// # Errors
    /// `AGAIN` where none waits, `PERM` where it is another user's.
    pub fn accept_unix(&self, listener: &Socket) -> Result<Socket, Errno> {
        let fd = net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)?;
        let socket = self.track(fd);
        match sockopt::socket_peercred(&socket)?.uid == rustix::process::geteuid() {
            true => Ok(socket),
            false => Err(Errno::PERM),
        }
    }

    /// Receives the next message into a buffer that has to hold the longest one: its length, and
    /// the descriptors that came with it. A length of 0 is the end.
    ///
    /// # Errors
    /// `AGAIN` where none has arrived, and those of the system.
    pub fn receive_with_descriptors(
        &self,
        from: &Socket,
        into: &mut [u8],
    ) -> Result<(usize, Vec<Socket>), Errno> {
        let mut space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut ancillary = RecvAncillaryBuffer::new(&mut space);
        let message = loop {
            let mut pieces = [IoSliceMut::new(&mut *into)];
            match net::recvmsg(from, &mut pieces, &mut ancillary, RecvFlags::CMSG_CLOEXEC) {
                Err(Errno::INTR) => {}
                other => break other?,
            }
        };
        let mut received = Vec::new();
        for one in ancillary.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = one {
                received.extend(descriptors.map(|fd| self.track(fd)));
            }
        }
        Ok((message.bytes, received))
    }
}

impl Socket {
    /// Sends a whole message, and these descriptors with it, or nothing.
    ///
    /// # Errors
    /// Those of the system; `INVAL` where there are too many descriptors.
    pub fn send_with_descriptors(
        &self,
        message: &[u8],
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), Errno> {
        let mut space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut ancillary = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() && !ancillary.push(SendAncillaryMessage::ScmRights(descriptors))
        {
            return Err(Errno::INVAL);
        }
        loop {
            let pieces = [IoSlice::new(message)];
            match net::sendmsg(self.as_fd(), &pieces, &mut ancillary, SendFlags::NOSIGNAL) {
                Err(Errno::INTR) => {}
                other => return other.map(|_| ()),
            }
        }
    }
}

#[cfg(test)]
#[path = "channel_tests.rs"]
mod tests;
