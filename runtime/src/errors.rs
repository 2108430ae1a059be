//! Whose trouble a failed system call tells of: one table for all callers. It owns which errors are a moment's trouble of
//! this machine, which say that a connection is over, and which blame the other end. It must never guess: what is not
//! named here counts against the connection, or the peer that was called.

use rustix::io::Errno;
use std::thread;
use std::time::{Duration, Instant};

/// What a call on a connection that stood has failed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing can be moved now; the poller tells when it can.
    NotReady,
    /// This machine was short of something. The connection stands; the poller may not tell when to try again.
    Machine,
    /// The connection is over.
    Connection,
}

/// Why there is no connection to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoConnection {
    /// This machine was short of descriptors, memory or ports, or would not let the call out.
    Machine,
    /// This machine knew no way there: its own trouble, or that of the way to this one peer.
    Route,
    /// The peer's: refused, reset or silent.
    Peer,
}

/// Why no connection was taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotAccepted {
    NoneWaiting,
    /// This one was gone before it was taken in; others may wait.
    ThisOne,
    /// This machine was short of something; those that wait have to be asked for again.
    Machine,
}

/// Whether a call that failed so may well succeed a moment later, with nothing else done.
pub fn for_a_moment(error: Errno) -> bool {
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

pub fn on_connection(error: Errno) -> Trouble {
    match error {
        Errno::AGAIN => Trouble::NotReady,
        error if for_a_moment(error) => Trouble::Machine,
        _ => Trouble::Connection,
    }
}

/// For a call to connect that failed at once, or what it stands on.
pub fn on_connect(error: Errno) -> NoConnection {
    match error {
        Errno::NETUNREACH | Errno::HOSTUNREACH | Errno::NETDOWN => NoConnection::Route,
        Errno::PERM | Errno::ACCESS | Errno::ADDRINUSE => NoConnection::Machine,
        error if for_a_moment(error) => NoConnection::Machine,
        _ => NoConnection::Peer,
    }
}

/// Linux passes on errors of the connection that would have been taken in.
pub fn on_accept(error: Errno) -> NotAccepted {
    match error {
        Errno::AGAIN => NotAccepted::NoneWaiting,
        error if error != Errno::INTR && for_a_moment(error) => NotAccepted::Machine,
        _ => NotAccepted::ThisOne,
    }
}

/// The pause between two tries of what a program can't start without.
const PAUSE: Duration = Duration::from_millis(5);

/// Tries again what fails for a moment's trouble of this machine, for so long. For a process that has nothing else to do
/// yet: it waits here.
///
/// # Errors
/// The last try's.
pub fn patiently<T>(
    within: Duration,
    mut what: impl FnMut() -> Result<T, Errno>,
) -> Result<T, Errno> {
    let until = Instant::now() + within;
    loop {
        match what() {
            Err(error) if for_a_moment(error) && Instant::now() < until => thread::sleep(PAUSE),
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
            assert_eq!(on_connection(error), Trouble::Machine);
            assert_eq!(on_connect(error), NoConnection::Machine);
            assert_eq!(on_accept(error), NotAccepted::Machine);
        }
        for error in [
            Errno::TIMEDOUT,
            Errno::HOSTUNREACH,
            Errno::CONNRESET,
            Errno::PIPE,
        ] {
            assert_eq!(on_connection(error), Trouble::Connection);
            assert_eq!(on_accept(error), NotAccepted::ThisOne);
        }
        assert_eq!(on_connection(Errno::AGAIN), Trouble::NotReady);
        assert_eq!(on_accept(Errno::AGAIN), NotAccepted::NoneWaiting);
        assert_eq!(on_accept(Errno::CONNABORTED), NotAccepted::ThisOne);
        assert_eq!(on_connect(Errno::NETUNREACH), NoConnection::Route);
        assert_eq!(on_connect(Errno::CONNREFUSED), NoConnection::Peer);
        assert_eq!(on_connect(Errno::TIMEDOUT), NoConnection::Peer);
    }

    #[test]
    fn what_fails_for_a_moment_is_tried_again_and_the_rest_is_not() {
        let mut tries = 0;
        let long = Duration::from_secs(20);
        let third = patiently(long, || {
            tries += 1;
            if tries < 3 {
                Err(Errno::NFILE)
            } else {
                Ok(tries)
            }
        });
        assert_eq!(third, Ok(3));
        assert_eq!(
            patiently(long, || Err::<(), _>(Errno::ADDRINUSE)),
            Err(Errno::ADDRINUSE)
        );
        assert_eq!(
            patiently(Duration::ZERO, || Err::<(), _>(Errno::NFILE)),
            Err(Errno::NFILE)
        );
    }
}
