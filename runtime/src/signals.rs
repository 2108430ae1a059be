//! Signals that wake the poller. Each signal has a flag and a pair of sockets. The signal handler
//! only sets the flag and writes one byte to the pair.

use crate::errors::retry_for;
use rustix::io::Errno;
use std::fmt;
use std::io::{self, Read};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub use signal_hook::consts::{SIGHUP, SIGTERM};

/// How long creating a socket pair is retried while the system lacks resources.
const SOCKET_PAIR_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a signal handler could not be registered.
#[derive(Debug)]
pub enum SignalError {
    /// The socket pair that wakes the poller could not be created.
    SocketPair(Errno),
    /// The handler could not be installed, or its socket could not be made non-blocking.
    Handler(io::Error),
}

impl fmt::Display for SignalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SignalError::SocketPair(error) => {
                write!(
                    formatter,
                    "cannot create a socket pair for a signal handler: {error}"
                )
            }
            SignalError::Handler(error) => {
                write!(formatter, "cannot install a signal handler: {error}")
            }
        }
    }
}

impl std::error::Error for SignalError {}

/// A registered signal.
pub struct Signal {
    raised: Arc<AtomicBool>,
    wake_receiver: UnixStream,
}

impl Signal {
    /// Registers a handler for the signal with number `signal`.
    ///
    /// # Errors
    /// Returns an error if the socket pair cannot be created or the handler cannot be installed.
    pub fn register(signal: i32) -> Result<Signal, SignalError> {
        let create_pair =
            || UnixStream::pair().map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO));
        let (wake_receiver, wake_sender) =
            retry_for(SOCKET_PAIR_TIMEOUT, create_pair).map_err(SignalError::SocketPair)?;
        wake_receiver
            .set_nonblocking(true)
            .map_err(SignalError::Handler)?;
        let raised = Arc::new(AtomicBool::new(false));
        // Handlers run in the order of registration: the flag is set before the poller wakes.
        signal_hook::flag::register(signal, raised.clone()).map_err(SignalError::Handler)?;
        signal_hook::low_level::pipe::register(signal, wake_sender)
            .map_err(SignalError::Handler)?;
        Ok(Signal {
            raised,
            wake_receiver,
        })
    }

    /// Returns whether the signal has arrived since the last call. Call this regardless of what the
    /// poller reports: otherwise a signal whose byte could not be written or read would be missed.
    pub fn take(&self) -> bool {
        if !self.raised.swap(false, Ordering::SeqCst) {
            return false;
        }
        let mut receiver = &self.wake_receiver;
        while matches!(receiver.read(&mut [0; 16]), Ok(1..)) {}
        true
    }
}

impl AsFd for Signal {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.wake_receiver.as_fd()
    }
}
