//! Reads configuration files. This module distinguishes transient read errors from permanent ones, such as a missing file. It must
//! never depend on the content of a file.

use reedferry_runtime::errors::{is_transient, retry_for};
use reedferry_runtime::Errno;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The time for which reading is retried after a transient error. It is short because it blocks a running process.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// The error of a file that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot read {}: {}", path.display(), std::io::Error::from(*error))]
pub struct ReadError {
    path: PathBuf,
    error: Errno,
}

/// An error that may be transient.
pub trait MayBeTransient {
    /// Returns whether another attempt may succeed.
    fn is_transient(&self) -> bool;
}

impl MayBeTransient for ReadError {
    fn is_transient(&self) -> bool {
        is_transient(self.error) || self.error == Errno::IO
    }
}

/// Reads a whole file, and retries a transient error for at most 20 ms.
///
/// # Errors
/// Returns the error of the last attempt.
pub fn read(path: &Path) -> Result<Vec<u8>, ReadError> {
    let read_once =
        || std::fs::read(path).map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO));
    retry_for(READ_TIMEOUT, read_once).map_err(|error| ReadError {
        path: path.to_path_buf(),
        error,
    })
}

/// Calls `load` until it succeeds, fails permanently, or the timeout has passed. This blocks, and so is only for a process that
/// has nothing else to do yet.
///
/// # Errors
/// Returns the error of the last attempt.
pub fn retry_at_start<T, E: MayBeTransient>(
    timeout: Duration,
    mut load: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let mut last_error = None;
    let loaded = retry_for(timeout, || {
        load().map_err(|error| {
            let errno = if error.is_transient() {
                Errno::AGAIN
            } else {
                Errno::INVAL
            };
            last_error = Some(error);
            errno
        })
    });
    match (loaded, last_error) {
        (Ok(value), _) => Ok(value),
        (Err(_), Some(error)) => Err(error),
        (Err(errno), None) => unreachable!("load failed without an error: {errno}"),
    }
}

#[cfg(test)]
#[path = "config_files_tests.rs"]
mod tests;
