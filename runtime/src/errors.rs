//! Whom a failed system call blames: one table for all callers. Owns which errors are a transient
//! shortage of this machine, which say that a connection is over, and which blame the other end.
//! Must never guess: what is not named here counts against the connection, or the peer that was
//! called.

use rustix::io::Errno;
use std::thread;
use std::time::{Duration, Instant};

/// Why a call on an established connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoFailure {
    /// Nothing can be moved now; the poller tells when it can.
    WouldBlock,
    /// This machine was short of something. The connection stands; the poller may not tell when to
    /// retry.
    LocalResources,
    /// The connection is over.
    Disconnected,
}

/// Why a connection to a peer could not be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// This machine was short of descriptors, memory or ports, or would not let the connection out.
    LocalResources,
    /// This machine knew no route: its own fault, or that of the way to this one peer.
    Route,
    /// The peer refused, reset or was silent.
    Peer,
}

/// Why no connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// None waits.
    NoneWaiting,
    /// This one was gone before it was accepted; others may wait.
    AbortedConnection,
    /// This machine was short of something; those that wait have to be accepted later.
    LocalResources,
}

/// Whether a call that failed so may succeed a moment later, with nothing else done.
pub fn is_transient(error: Errno) -> bool {
    matches!(
        error,
        Errno::INTR
            | Errno::AGAIN
            | Errno::NOBUFS
            | Errno::NOMEM
            | Errno::MFILE
            | Errno::NFILE
            | Errno::NOSPC
            | Errno::ADDRNOTAVAIL
    )
}

/// Classifies the error of a call on an established connection.
pub fn classify_io(error: Errno) -> IoFailure {
    match error {
        Errno::AGAIN => IoFailure::WouldBlock,
        error if is_transient(error) => IoFailure::LocalResources,
        _ => IoFailure::Disconnected,
    }
}

/// Classifies the error of a connect that failed at once, or of what it needs.
pub fn classify_connect(error: Errno) -> ConnectFailure {
    match error {
        Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN => ConnectFailure::Route,
        Errno::PERM | Errno::ACCESS | Errno::ADDRINUSE => ConnectFailure::LocalResources,
        error if is_transient(error) => ConnectFailure::LocalResources,
        _ => ConnectFailure::Peer,
    }
}

/// Classifies the error of an accept. Linux reports errors of the connection that would have been
/// accepted.
pub fn classify_accept(error: Errno) -> AcceptFailure {
    match error {
        Errno::AGAIN => AcceptFailure::NoneWaiting,
        error if error != Errno::INTR && is_transient(error) => AcceptFailure::LocalResources,
        _ => AcceptFailure::AbortedConnection,
    }
}

/// The pause between two attempts of [`retry_for`].
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Retries what fails transiently, for at most this time. Blocks: for a process that has nothing
/// else to do yet.
///
/// # Errors
/// That of the last attempt.
pub fn retry_for<T>(
    timeout: Duration,
    mut attempt: impl FnMut() -> Result<T, Errno>,
) -> Result<T, Errno> {
    let deadline = Instant::now() + timeout;
    loop {
        match attempt() {
            Err(error) if is_transient(error) && Instant::now() < deadline => {
                thread::sleep(RETRY_PAUSE);
            }
            other => return other,
        }
    }
}

#[cfg(test)]
#[path = "errors_tests.rs"]
mod tests;
