//! Signals as something to poll for. Owns a flag for each signal, and the pair of sockets that
//! wakes the poller. Must never do anything in the signal handler but raise the flag and write one
//! byte.

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

/// For how long a start waits for a pair of sockets.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a signal can't be handled.
#[derive(Debug)]
pub enum SignalError {
    /// The system gives no pair of sockets.
    SocketPair(Errno),
    /// The handler can't be set up.
    Handler(io::Error),
}

impl fmt::Display for SignalError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SignalError::SocketPair(error) => {
                write!(formatter, "cannot make a pair of sockets: {error}")
            }
            SignalError::Handler(error) => write!(formatter, "cannot set up signals: {error}"),
        }
    }
}

impl std::error::Error for SignalError {}

/// A signal that is handled from now on.
pub struct Signal {
    raised: Arc<AtomicBool>,
    wake_receiver: UnixStream,
}

impl Signal {
    /// Handles a signal.
    ///
    /// # Errors
    /// Where the system lets the program have no pair of sockets or no handler.
    pub fn register(which: i32) -> Result<Signal, SignalError> {
        let pair = || UnixStream::pair().map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO));
        let (wake_receiver, wake_sender) =
            retry_for(START_TIMEOUT, pair).map_err(SignalError::SocketPair)?;
        wake_receiver
            .set_nonblocking(true)
            .map_err(SignalError::Handler)?;
        let raised = Arc::new(AtomicBool::new(false));
        // The flag first: whoever is woken finds it raised.
        signal_hook::flag::register(which, raised.clone()).map_err(SignalError::Handler)?;
        signal_hook::low_level::pipe::register(which, wake_sender).map_err(SignalError::Handler)?;
        Ok(Signal {
            raised,
            wake_receiver,
        })
    }

    /// Whether the signal came since this was last called. To be called at any time, whatever the
    /// poller reports: without that, a signal would be missed whose byte could not be written or
    /// read.
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
