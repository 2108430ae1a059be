//! Non-blocking sockets. The [`DescriptorBudget`] counts each [`Socket`] from when it is opened
//! until it is dropped.

use crate::descriptor_budget::CountedDescriptor;
use crate::{clock, DescriptorBudget, Nanos};
use rustix::event::{poll, PollFd, PollFlags};
use rustix::io::Errno;
use rustix::ioctl::{ioctl, Getter, Opcode};
use rustix::net::{
    self, sockopt, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType,
};
use std::ffi::c_int;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::time::Duration;

const LISTEN_BACKLOG: i32 = 4096;

impl DescriptorBudget {
    /// Counts an open descriptor and wraps it in a [`Socket`].
    pub(crate) fn track(&self, fd: OwnedFd) -> Socket {
        Socket {
            fd,
            _guard: self.count_descriptor(),
        }
    }

    fn socket(&self, address: &SocketAddr, kind: SocketType) -> Result<Socket, Errno> {
        if self.is_exhausted() {
            return Err(Errno::MFILE);
        }
        let family = if address.is_ipv4() {
            AddressFamily::INET
        } else {
            AddressFamily::INET6
        };
        let flags = SocketFlags::NONBLOCK | SocketFlags::CLOEXEC;
        Ok(self.track(net::socket_with(family, kind, flags, None)?))
    }

    /// Opens a datagram socket that receives and sends on `address`.
    ///
    /// # Errors
    /// Returns `MFILE` if the budget is exhausted, or the error of the system call.
    pub fn bind_datagram(&self, address: &SocketAddr) -> Result<Socket, Errno> {
        let socket = self.socket(address, SocketType::DGRAM)?;
        net::bind(&socket, address)?;
        Ok(socket)
    }

    /// Opens a listener on `address`.
    ///
    /// # Errors
    /// Returns `MFILE` if the budget is exhausted, or the error of the system call.
    pub fn listen(&self, address: &SocketAddr) -> Result<Socket, Errno> {
        let socket = self.socket(address, SocketType::STREAM)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        net::bind(&socket, address)?;
        net::listen(&socket, LISTEN_BACKLOG)?;
        Ok(socket)
    }

    /// Duplicates a listener that the program inherited from its parent as the descriptor with this
    /// number. The program never shuts the listener down, because all processes that have it open
    /// share one open file and its pending connections.
    ///
    /// # Errors
    /// Returns an error if the descriptor is not open or not a listener, or if the budget is
    /// exhausted.
    pub fn inherit_listener(&self, number: i32) -> Result<Socket, Errno> {
        // A number that belongs to a descriptor which the program itself has opened is rejected by
        // the check for a listener below, because none of these is one.
        if self.is_exhausted() || number < 0 {
            return Err(Errno::BADF);
        }
        // SAFETY: the borrow ends in this function, which closes no descriptor. If no descriptor
        // with this number is open, the first call returns an error.
        let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
        let fd = rustix::io::fcntl_dupfd_cloexec(borrowed, 0)?;
        if !sockopt::socket_acceptconn(&fd)? {
            return Err(Errno::INVAL);
        }
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.track(fd))
    }

    /// Accepts the next pending connection.
    ///
    /// # Errors
    /// Returns `MFILE` if the budget is exhausted, or the error of the system call.
    pub fn accept(&self, listener: &Socket) -> Result<Socket, Errno> {
        if self.is_exhausted() {
            return Err(Errno::MFILE);
        }
        let fd = net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)?;
        let socket = self.track(fd);
        socket.set_options();
        Ok(socket)
    }

    /// Starts to connect to `address`. Returns the socket and whether the connection is already
    /// established.
    ///
    /// # Errors
    /// Returns `MFILE` if the budget is exhausted, or the error of the system call.
    pub fn connect(&self, address: &SocketAddr) -> Result<(Socket, bool), Errno> {
        let socket = self.socket(address, SocketType::STREAM)?;
        socket.set_options();
        match net::connect(&socket, address) {
            Ok(()) => Ok((socket, true)),
            Err(Errno::INPROGRESS | Errno::INTR) => Ok((socket, false)),
            Err(e) => Err(e),
        }
    }
}

/// An open socket that is counted by a [`DescriptorBudget`].
pub struct Socket {
    fd: OwnedFd,
    _guard: CountedDescriptor,
}

impl Socket {
    /// Disables Nagle's algorithm and enables keepalive probes.
    fn set_options(&self) {
        // The connection works without these options, so errors are ignored.
        let _ = sockopt::set_tcp_nodelay(self, true);
        let _ = sockopt::set_socket_keepalive(self, true);
    }

    /// Returns the address to which the socket is bound, or `None` if it has no IP address.
    pub fn local_address(&self) -> Option<SocketAddr> {
        net::getsockname(self).ok().and_then(|a| a.try_into().ok())
    }

    /// Receives bytes that have arrived and returns their number; 0 means the end of the stream.
    ///
    /// # Errors
    /// Returns the error of the system call, except for interruptions.
    pub fn receive(&self, into: &mut [u8]) -> Result<usize, Errno> {
        loop {
            match net::recv(self, &mut *into, RecvFlags::empty()) {
                Err(Errno::INTR) => {}
                other => return other.map(|(count, _)| count),
            }
        }
    }

    /// Returns the number of bytes that were sent and that the other side has not acknowledged. Once this side has ended
    /// its sending, the end counts as one byte more.
    ///
    /// # Errors
    /// Returns the error of the system call.
    pub fn unacknowledged_bytes(&self) -> Result<usize, Errno> {
        /// The request of the system for the bytes in the send queue of a TCP socket (`SIOCOUTQ`).
        const SEND_QUEUE: Opcode = 0x5411;
        // SAFETY: the request writes one `int` and changes nothing. Its number is the same on x86-64 and arm64.
        let getter = unsafe { Getter::<SEND_QUEUE, c_int>::new() };
        // SAFETY: the request is valid for any descriptor; one that is no TCP socket gets an error or a meaningless
        // number.
        let count = unsafe { ioctl(self, getter) }?;
        Ok(usize::try_from(count).unwrap_or(0))
    }

    /// Discards at most as many received bytes as `space` holds, without writing to it, and returns
    /// their number; 0 means the end of the stream.
    ///
    /// # Errors
    /// Returns the error of the system call, except for interruptions.
    pub fn discard(&self, space: &mut [u8]) -> Result<usize, Errno> {
        loop {
            match net::recv(self, &mut *space, RecvFlags::TRUNC) {
                Err(Errno::INTR) => {}
                other => return other.map(|(_, count)| count),
            }
        }
    }

    /// Sends as many bytes as the connection accepts and returns their number.
    ///
    /// # Errors
    /// Returns the error of the system call, except for interruptions.
    pub fn send(&self, bytes: &[u8]) -> Result<usize, Errno> {
        loop {
            match net::send(self, bytes, SendFlags::NOSIGNAL) {
                Err(Errno::INTR) => {}
                other => return other,
            }
        }
    }

    /// Sends `bytes` as one datagram and returns their number.
    ///
    /// # Errors
    /// Returns the error of the system call.
    pub fn send_to(&self, bytes: &[u8], to: &SocketAddr) -> Result<usize, Errno> {
        net::sendto(self, bytes, SendFlags::NOSIGNAL, to)
    }

    /// Receives the next datagram into `into`, which takes as many of its bytes as fit. Returns the
    /// datagram's full length and its sender, or `None` for a sender without an IP address.
    ///
    /// # Errors
    /// Returns the error of the system call, except for interruptions.
    pub fn receive_from(&self, into: &mut [u8]) -> Result<(usize, Option<SocketAddr>), Errno> {
        loop {
            match net::recvfrom(self, &mut *into, RecvFlags::TRUNC) {
                Err(Errno::INTR) => {}
                other => {
                    return other
                        .map(|(_, length, from)| (length, from.and_then(|a| a.try_into().ok())))
                }
            }
        }
    }

    /// Blocks until the socket is readable, for at most `timeout`, and returns whether it may be
    /// readable; an interruption also returns `true`. This is meant for a process that has no other
    /// work yet.
    pub fn wait_readable(&self, timeout: Nanos) -> bool {
        let mut poll_fds = [PollFd::new(self, PollFlags::IN)];
        let ready = poll(&mut poll_fds, Some(&clock::timespec(timeout)));
        matches!(ready, Ok(1..) | Err(Errno::INTR))
    }

    /// Returns whether the connection is established, regardless of what the poller has reported.
    pub fn is_connected(&self) -> bool {
        net::getpeername(self).is_ok_and(|peer| peer.is_some())
    }

    /// Returns the result of a connect that was in progress.
    ///
    /// # Errors
    /// Returns the error of the connect.
    pub fn connect_result(&self) -> Result<(), Errno> {
        sockopt::socket_error(self)?
    }

    /// Shuts down the sending direction; the peer can still send.
    pub fn shutdown_write(&self) {
        let _ = net::shutdown(self, Shutdown::Write);
    }

    /// Shuts down the receiving direction. On a Unix socket, the peer's later messages fail at the
    /// sender, and messages that arrived before can still be received.
    pub fn shutdown_read(&self) {
        let _ = net::shutdown(self, Shutdown::Read);
    }

    /// Closes the connection with a reset instead of an orderly shutdown.
    pub fn reset(self) {
        let _ = sockopt::set_socket_linger(&self, Some(Duration::ZERO));
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }
}
