//! Classifies the errors of system calls for all callers: which errors are a transient resource
//! shortage of this machine, which end a connection and which are the peer's fault. Errors that are
//! not listed here count as the end of the connection, or as the fault of the peer in a connect.

use rustix::io::Errno;
use std::thread;
use std::time::{Duration, Instant};

/// Why a call on an established connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoFailure {
    /// No bytes can be transferred now; the poller reports when they can.
    WouldBlock,
    /// This machine lacked a resource. The connection remains established, but the poller does not
    /// necessarily report when to retry.
    LocalResources,
    /// The connection has ended.
    Disconnected,
}

/// Why a connection to a peer could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// This machine lacked descriptors, memory or ports, or does not permit the connection.
    LocalResources,
    /// There is no route to the peer: either this machine's network failed or only that route did.
    Route,
    /// The peer refused or reset the connection, or did not respond.
    Peer,
}

/// Why accepting a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// No connection is pending.
    NoneWaiting,
    /// The connection ended before it was accepted; others may be pending.
    AbortedConnection,
    /// This machine lacked a resource; the pending connections have to be accepted later.
    LocalResources,
}

/// Returns whether a call that failed with `error` may succeed when it is merely repeated later.
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

/// Classifies the error of a connect that failed at once, or of creating the socket for it.
pub fn classify_connect(error: Errno) -> ConnectFailure {
    match error {
        Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN => ConnectFailure::Route,
        Errno::PERM | Errno::ACCESS | Errno::ADDRINUSE => ConnectFailure::LocalResources,
        error if is_transient(error) => ConnectFailure::LocalResources,
        _ => ConnectFailure::Peer,
    }
}

/// Classifies the error of an accept. On Linux, accept also returns pending network errors of the
/// new connection, so errors that are not listed apply to that connection and not to the listener.
pub fn classify_accept(error: Errno) -> AcceptFailure {
    match error {
        Errno::AGAIN => AcceptFailure::NoneWaiting,
        error if error != Errno::INTR && is_transient(error) => AcceptFailure::LocalResources,
        _ => AcceptFailure::AbortedConnection,
    }
}

/// The pause between attempts of [`retry_for`].
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Repeats `attempt` while it fails with a transient error, until `timeout` has passed. This blocks
/// the thread, so it is meant for a process that has no other work yet.
///
/// # Errors
/// Returns the error of the last attempt.
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
