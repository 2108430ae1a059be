//! A channel between two processes of this machine: whole messages, and descriptors with them. It owns how
//! both are sent and received. It must never take in what another user's process sends, nor leave a
//! descriptor that came uncounted.

use crate::sockets::{DescriptorBudget, Socket};
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
/// Descriptors with one message.
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
    pub fn listen_unix(&self, path: &Path) -> Result<Socket, Errno> {
        let socket = self.unix_socket()?;
        let beside = path.with_extension(std::process::id().to_string());
        // One that a process of the same number has left.
        _ = std::fs::remove_file(&beside);
        net::bind(&socket, &SocketAddrUnix::new(&beside)?)?;
        net::listen(&socket, LISTEN_BACKLOG)?;
        std::fs::rename(&beside, path)
            .map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO))?;
        Ok(socket)
    }

    /// A channel to whoever listens at this path.
    pub fn connect_unix(&self, path: &Path) -> Result<Socket, Errno> {
        let socket = self.unix_socket()?;
        net::connect(&socket, &SocketAddrUnix::new(path)?)?;
        Ok(socket)
    }

    /// The next who has called, if it is a process of the same user.
    pub fn accept_unix(&self, listener: &Socket) -> Result<Socket, Errno> {
        let fd = net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)?;
        let socket = self.track(fd);
        match sockopt::socket_peercred(&socket)?.uid == rustix::process::geteuid() {
            true => Ok(socket),
            false => Err(Errno::PERM),
        }
    }

    /// The next message, put where there is room for the longest: its length, and what descriptors came
    /// with it. A length of 0 is the end.
    pub fn receive_with_descriptors(
        &self,
        from: &Socket,
        into: &mut [u8],
    ) -> Result<(usize, Vec<Socket>), Errno> {
        let mut space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut beside = RecvAncillaryBuffer::new(&mut space);
        let message = loop {
            let mut pieces = [IoSliceMut::new(&mut *into)];
            match net::recvmsg(from, &mut pieces, &mut beside, RecvFlags::CMSG_CLOEXEC) {
                Err(Errno::INTR) => {}
                other => break other?,
            }
        };
        let mut came = Vec::new();
        for one in beside.drain() {
            if let RecvAncillaryMessage::ScmRights(descriptors) = one {
                came.extend(descriptors.map(|fd| self.track(fd)));
            }
        }
        Ok((message.bytes, came))
    }
}

impl Socket {
    /// Sends a whole message, and these descriptors with it, or nothing.
    pub fn send_with_descriptors(
        &self,
        message: &[u8],
        descriptors: &[BorrowedFd<'_>],
    ) -> Result<(), Errno> {
        let mut space =
            [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS_PER_MESSAGE))];
        let mut beside = SendAncillaryBuffer::new(&mut space);
        if !descriptors.is_empty() && !beside.push(SendAncillaryMessage::ScmRights(descriptors)) {
            return Err(Errno::INVAL);
        }
        loop {
            let pieces = [IoSlice::new(message)];
            match net::sendmsg(self.as_fd(), &pieces, &mut beside, SendFlags::NOSIGNAL) {
                Err(Errno::INTR) => {}
                other => return other.map(|_| ()),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_and_descriptors_come_through_whole_and_a_left_path_is_taken_over() {
        let path = std::env::temp_dir().join(format!("reedferry-channel-{}", std::process::id()));
        std::fs::write(&path, "something else").unwrap();
        let budget = DescriptorBudget::new(64);
        let before = budget.in_use();
        assert!(budget.connect_unix(&path).is_err());
        let listener = budget.listen_unix(&path).unwrap();
        let successor = budget.connect_unix(&path).unwrap();
        let predecessor = budget.accept_unix(&listener).unwrap();
        let door = budget.listen(&"127.0.0.1:0".parse().unwrap()).unwrap();
        predecessor.send_with_descriptors(b"one", &[]).unwrap();
        predecessor
            .send_with_descriptors(b"two", &[door.as_fd()])
            .unwrap();
        let mut space = [0; 16];
        assert!(
            matches!(budget.receive_with_descriptors(&successor, &mut space), Ok((3, none)) if none.is_empty())
        );
        let (length, came) = budget
            .receive_with_descriptors(&successor, &mut space)
            .unwrap();
        assert_eq!(
            (&space[..length], came[0].local_address()),
            (&b"two"[..], door.local_address())
        );
        assert_eq!(
            budget
                .receive_with_descriptors(&successor, &mut space)
                .err(),
            Some(Errno::AGAIN)
        );
        drop((predecessor, came));
        assert!(matches!(
            budget.receive_with_descriptors(&successor, &mut space),
            Ok((0, _))
        ));
        drop((listener, successor, door));
        assert_eq!(budget.in_use(), before);
        std::fs::remove_file(&path).unwrap();
    }
}
