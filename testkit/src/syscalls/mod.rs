//! Injects faults into a process: system calls that fail, transfer less than asked for or are delayed, and steps of
//! the wall clock. The program is started under `ptrace` with a seccomp filter that stops it at the calls of
//! [`Call`], whose outcome a test sets. Only the traced process is affected, and no privileges beyond those of its
//! user are needed.
//!
//! A call that is to fail is skipped, so that the kernel never sees it. A short call is made with a smaller length.
//! The vDSO is hidden from the program at its start, so that it reads the wall clock by a system call.
//!
//! What differs between processor architectures is in `registers`.

mod filter;
mod injector;
mod process;
mod registers;
mod tracer;

pub use injector::SyscallInjector;
pub use process::TracedProcess;

use registers::EPOLL_WAIT_CALLS;
use rustix::io::Errno;
use std::time::Duration;

/// A kind of system call into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `accept4`
    Accept,
    /// `socket`
    Socket,
    /// `connect`
    Connect,
    /// `epoll_ctl`, except removals
    EpollAdd,
    /// `epoll_wait` and its variants
    EpollWait,
    /// `sendto`
    Send,
    /// `recvfrom`
    Receive,
    /// `sendmsg`
    SendMessage,
    /// `recvmsg`
    ReceiveMessage,
    /// `openat` of a `.json` config file. Other files are never affected, such as the libraries that the loader
    /// opens.
    Open,
    /// `read`
    Read,
}

const CALLS: [(Call, &[libc::c_long]); 11] = [
    (Call::Accept, &[libc::SYS_accept4]),
    (Call::Socket, &[libc::SYS_socket]),
    (Call::Connect, &[libc::SYS_connect]),
    (Call::EpollAdd, &[libc::SYS_epoll_ctl]),
    (Call::EpollWait, EPOLL_WAIT_CALLS),
    (Call::Send, &[libc::SYS_sendto]),
    (Call::Receive, &[libc::SYS_recvfrom]),
    (Call::SendMessage, &[libc::SYS_sendmsg]),
    (Call::ReceiveMessage, &[libc::SYS_recvmsg]),
    (Call::Open, &[libc::SYS_openat]),
    (Call::Read, &[libc::SYS_read]),
];

/// What a fault does to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The call fails with this error.
    Fails(Errno),
    /// The call transfers at most one byte.
    Short,
    /// The call is delayed by this time.
    Delayed(Duration),
}

/// A fault of every n-th call of a kind.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// The kind of the calls.
    pub call: Call,
    /// What the fault does to an affected call.
    pub outcome: Outcome,
    /// The fault affects every call whose number is a multiple of this; 0 counts as 1.
    pub every: u64,
}
