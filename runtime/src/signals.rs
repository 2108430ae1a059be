//! Signals as something to poll for. It owns a flag for each signal, and the pair of sockets that wakes the poller. It
//! must never do anything where the signal meets the program but raise the flag and write one byte.

use crate::errors::retry_for;
use rustix::io::Errno;
use std::io::Read;
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

pub use signal_hook::consts::{SIGHUP, SIGTERM};

/// For how long a start waits for a pair of sockets.
const START_WITHIN: Duration = Duration::from_secs(5);

/// Where a signal is told from now on.
pub struct Signal {
    raised: Arc<AtomicBool>,
    wake_receiver: UnixStream,
}

impl Signal {
    /// # Errors
    /// One line where the system lets the program have no pair of sockets or no handler.
    pub fn register(which: i32) -> Result<Signal, String> {
        let pair = || UnixStream::pair().map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO));
        let (told, teller) = retry_for(START_WITHIN, pair)
            .map_err(|e| format!("cannot make a pair of sockets: {e}"))?;
        told.set_nonblocking(true)
            .map_err(|e| format!("cannot set up signals: {e}"))?;
        let raised = Arc::new(AtomicBool::new(false));
        // The flag first: whoever is woken finds it raised.
        signal_hook::flag::register(which, raised.clone())
            .map_err(|e| format!("cannot set up signals: {e}"))?;
        signal_hook::low_level::pipe::register(which, teller)
            .map_err(|e| format!("cannot set up signals: {e}"))?;
        Ok(Signal {
            raised,
            wake_receiver: told,
        })
    }

    /// Whether it came since this was last asked. It may be asked at any time, whatever the poller says. Guards: a signal
    /// that is never heard, as the byte that tells of it could not be written or read.
    pub fn take(&self) -> bool {
        if !self.raised.swap(false, Ordering::SeqCst) {
            return false;
        }
        let (mut bytes, mut pair) = ([0; 16], &self.wake_receiver);
        while matches!(pair.read(&mut bytes), Ok(1..)) {}
        true
    }
}

impl AsFd for Signal {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.wake_receiver.as_fd()
    }
}
