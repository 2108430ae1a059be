//! Sockets. A [`Socket`] is counted by the [`DescriptorBudget`] when it is opened, and given back in one
//! place, when it is dropped.

use crate::descriptor_budget::CountedDescriptor;
use crate::{clock, DescriptorBudget, Nanos};
use rustix::event::{poll, PollFd, PollFlags};
use rustix::io::Errno;
use rustix::net::{
    self, sockopt, AddressFamily, RecvFlags, SendFlags, Shutdown, SocketFlags, SocketType,
};
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::time::Duration;

const LISTEN_BACKLOG: i32 = 4096;

impl DescriptorBudget {
    /// Counts a socket that has been opened.
    pub(crate) fn track(&self, fd: OwnedFd) -> Socket {
        Socket {
            fd,
            _counted: self.count_one(),
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

    /// A socket for datagrams that come to this address and leave from it.
    ///
    /// # Errors
    /// Those of the system; `MFILE` where the budget is used up.
    pub fn bind_datagram(&self, address: &SocketAddr) -> Result<Socket, Errno> {
        let socket = self.socket(address, SocketType::DGRAM)?;
        net::bind(&socket, address)?;
        Ok(socket)
    }

    /// A listener at this address.
    ///
    /// # Errors
    /// Those of the system; `MFILE` where the budget is used up.
    pub fn listen(&self, address: &SocketAddr) -> Result<Socket, Errno> {
        let socket = self.socket(address, SocketType::STREAM)?;
        sockopt::set_socket_reuseaddr(&socket, true)?;
        net::bind(&socket, address)?;
        net::listen(&socket, LISTEN_BACKLOG)?;
        Ok(socket)
    }

    /// A listener that whoever started the program holds open, as this descriptor. It is never shut
    /// down here: it is one open file for all processes that have it, its waiting connections
    /// theirs together.
    ///
    /// # Errors
    /// Where the descriptor is not open, or no listener.
    pub fn inherit_listener(&self, number: i32) -> Result<Socket, Errno> {
        // No descriptor that the program has opened itself may be meant: a listener is none of
        // those.
        if self.is_exhausted() || number < 0 {
            return Err(Errno::BADF);
        }
        // SAFETY: the borrow ends in this function, in which nothing closes a descriptor; what is not open
        // is an error of the first call.
        let borrowed = unsafe { BorrowedFd::borrow_raw(number) };
        let fd = rustix::io::fcntl_dupfd_cloexec(borrowed, 0)?;
        if !sockopt::socket_acceptconn(&fd)? {
            return Err(Errno::INVAL);
        }
        rustix::io::ioctl_fionbio(&fd, true)?;
        Ok(self.track(fd))
    }

    /// The next connection that waits to be accepted.
    ///
    /// # Errors
    /// Those of the system; `MFILE` where the budget is used up.
    pub fn accept(&self, listener: &Socket) -> Result<Socket, Errno> {
        if self.is_exhausted() {
            return Err(Errno::MFILE);
        }
        let fd = net::accept_with(listener, SocketFlags::NONBLOCK | SocketFlags::CLOEXEC)?;
        let socket = self.track(fd);
        socket.set_options();
        Ok(socket)
    }

    /// A connection on its way, and whether it is established already.
    ///
    /// # Errors
    /// Those of the system; `MFILE` where the budget is used up.
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

/// An open socket, which is counted.
pub struct Socket {
    fd: OwnedFd,
    _counted: CountedDescriptor,
}

impl Socket {
    /// Sets what is usual for a connection.
    fn set_options(&self) {
        // Neither matters enough to refuse a connection over it.
        let _ = sockopt::set_tcp_nodelay(self, true);
        let _ = sockopt::set_socket_keepalive(self, true);
    }

    /// The address that it is bound to.
    pub fn local_address(&self) -> Option<SocketAddr> {
        net::getsockname(self).ok().and_then(|a| a.try_into().ok())
    }

    /// Receives what has arrived; 0 is the end.
    ///
    /// # Errors
    /// Those of the system, but for interruptions.
    pub fn receive(&self, into: &mut [u8]) -> Result<usize, Errno> {
        loop {
            match net::recv(self, &mut *into, RecvFlags::empty()) {
                Err(Errno::INTR) => {}
                other => return other.map(|(count, _)| count),
            }
        }
    }

    /// Receives as much as `space` holds and discards it; nothing is put there.
    ///
    /// # Errors
    /// Those of the system, but for interruptions.
    pub fn discard(&self, space: &mut [u8]) -> Result<usize, Errno> {
        loop {
            match net::recv(self, &mut *space, RecvFlags::TRUNC) {
                Err(Errno::INTR) => {}
                other => return other.map(|(_, count)| count),
            }
        }
    }

    /// Sends what the connection takes.
    ///
    /// # Errors
    /// Those of the system, but for interruptions.
    pub fn send(&self, bytes: &[u8]) -> Result<usize, Errno> {
        loop {
            match net::send(self, bytes, SendFlags::NOSIGNAL) {
                Err(Errno::INTR) => {}
                other => return other,
            }
        }
    }

    /// Sends one datagram, or not.
    ///
    /// # Errors
    /// Those of the system.
    pub fn send_to(&self, bytes: &[u8], to: &SocketAddr) -> Result<usize, Errno> {
        net::sendto(self, bytes, SendFlags::NOSIGNAL, to)
    }

    /// The next datagram: its whole length, of which no more than fits is put there, and its
    /// sender.
    ///
    /// # Errors
    /// Those of the system, but for interruptions.
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

    /// Waits until something can be read from it, for a process that has nothing else to do yet.
    pub fn wait_readable(&self, timeout: Nanos) -> bool {
        let mut polled = [PollFd::new(self, PollFlags::IN)];
        let ready = poll(&mut polled, Some(&clock::timespec(timeout)));
        matches!(ready, Ok(1..) | Err(Errno::INTR))
    }

    /// Whether the connection is established, whatever the poller has reported so far.
    pub fn is_connected(&self) -> bool {
        net::getpeername(self).is_ok_and(|peer| peer.is_some())
    }

    /// How the connect went.
    ///
    /// # Errors
    /// That of the connect.
    pub fn connect_result(&self) -> Result<(), Errno> {
        sockopt::socket_error(self)?
    }

    /// Ends the sending; the other side can still send.
    pub fn shutdown_write(&self) {
        let _ = net::shutdown(self, Shutdown::Write);
    }

    /// Receives nothing that is sent from now on: on a channel of this machine each later message
    /// fails at its sender, and what came before can still be read.
    pub fn shutdown_read(&self) {
        let _ = net::shutdown(self, Shutdown::Read);
    }

    /// Ends the connection by a reset instead of an orderly end.
    pub fn reset(self) {
        let _ = sockopt::set_socket_linger(&self, Some(Duration::ZERO));
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.fd.as_fd()
    }
}
