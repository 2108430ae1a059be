//! Whose trouble a failed system call tells of: one table for all callers. It owns which errors are a moment's trouble of
//! this machine, which say that a connection is over, and which blame the other end. It must never guess: what is not
//! named here counts against the connection, or the peer that was called.

use rustix::io::Errno;
use std::thread;
use std::time::{Duration, Instant};

/// What a call on a connection that stood has failed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IoFailure {
    /// Nothing can be moved now; the poller tells when it can.
    WouldBlock,
    /// This machine was short of something. The connection stands; the poller may not tell when to try again.
    LocalResources,
    /// The connection is over.
    Disconnected,
}

/// Why there is no connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// This machine was short of descriptors, memory or ports, or would not let the call out.
    LocalResources,
    /// This machine knew no way there: its own trouble, or that of the way to this one peer.
    Route,
    /// The peer's: refused, reset or silent.
    Peer,
}

/// Why no connection was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    NoneWaiting,
    /// This one was gone before it was taken in; others may wait.
    AbortedConnection,
    /// This machine was short of something; those that wait have to be asked for again.
    LocalResources,
}

/// Whether a call that failed so may well succeed a moment later, with nothing else done.
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

pub fn classify_io(error: Errno) -> IoFailure {
    match error {
        Errno::AGAIN => IoFailure::WouldBlock,
        error if is_transient(error) => IoFailure::LocalResources,
        _ => IoFailure::Disconnected,
    }
}

/// For a call to connect that failed at once, or what it stands on.
pub fn classify_connect(error: Errno) -> ConnectFailure {
    match error {
        Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN => ConnectFailure::Route,
        Errno::PERM | Errno::ACCESS | Errno::ADDRINUSE => ConnectFailure::LocalResources,
        error if is_transient(error) => ConnectFailure::LocalResources,
        _ => ConnectFailure::Peer,
    }
}

/// Linux passes on errors of the connection that would have been taken in.
pub fn classify_accept(error: Errno) -> AcceptFailure {
    match error {
        Errno::AGAIN => AcceptFailure::NoneWaiting,
        error if error != Errno::INTR && is_transient(error) => AcceptFailure::LocalResources,
        _ => AcceptFailure::AbortedConnection,
    }
}

/// The pause between two tries of what a program can't start without.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// Tries again what fails for a moment's trouble of this machine, for so long. For a process that has nothing else to do
/// yet: it waits here.
///
/// # Errors
/// The last try's.
pub fn retry_for<T>(
    within: Duration,
    mut what: impl FnMut() -> Result<T, Errno>,
) -> Result<T, Errno> {
    let until = Instant::now() + within;
    loop {
        match what() {
            Err(error) if is_transient(error) && Instant::now() < until => {
                thread::sleep(RETRY_PAUSE)
            }
            other => return other,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_error_is_the_trouble_of_one_side() {
        for error in [Errno::NOBUFS, Errno::NOMEM, Errno::NFILE, Errno::MFILE] {
            assert_eq!(classify_io(error), IoFailure::LocalResources);
            assert_eq!(classify_connect(error), ConnectFailure::LocalResources);
            assert_eq!(classify_accept(error), AcceptFailure::LocalResources);
        }
        for error in [
            Errno::TIMEDOUT,
            Errno::HOSTUNREACH,
            Errno::CONNRESET,
            Errno::PIPE,
        ] {
            assert_eq!(classify_io(error), IoFailure::Disconnected);
            assert_eq!(classify_accept(error), AcceptFailure::AbortedConnection);
        }
        assert_eq!(classify_io(Errno::AGAIN), IoFailure::WouldBlock);
        assert_eq!(classify_accept(Errno::AGAIN), AcceptFailure::NoneWaiting);
        assert_eq!(
            classify_accept(Errno::CONNABORTED),
            AcceptFailure::AbortedConnection
        );
        assert_eq!(classify_connect(Errno::NETUNREACH), ConnectFailure::Route);
        assert_eq!(classify_connect(Errno::CONNREFUSED), ConnectFailure::Peer);
        assert_eq!(classify_connect(Errno::TIMEDOUT), ConnectFailure::Peer);
    }

    #[test]
    fn what_fails_for_a_moment_is_tried_again_and_the_rest_is_not() {
        let mut tries = 0;
        let long = Duration::from_secs(20);
        let third = retry_for(long, || {
            tries += 1;
            if tries < 3 {
                Err(Errno::NFILE)
            } else {
                Ok(tries)
            }
        });
        assert_eq!(third, Ok(3));
        assert_eq!(
            retry_for(long, || Err::<(), _>(Errno::ADDRINUSE)),
            Err(Errno::ADDRINUSE)
        );
        assert_eq!(
            retry_for(Duration::ZERO, || Err::<(), _>(Errno::NFILE)),
            Err(Errno::NFILE)
        );
    }
}
