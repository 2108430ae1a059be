//! Reading configuration files. It owns the difference between a file that could not be read for a moment and one that is missing
//! or wrong. It must never know what a file says.

use reedferry_runtime::errors::{is_transient, retry_for};
use reedferry_runtime::Errno;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long a running process waits here for a file that can't be read for a moment.
const READ_TIMEOUT: Duration = Duration::from_millis(20);

/// A file that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("cannot read {}: {}", path.display(), std::io::Error::from(*error))]
pub struct ReadError {
    path: PathBuf,
    error: Errno,
}

/// An error that may pass by itself.
pub trait MayBeTransient {
    /// Whether another attempt may succeed.
    fn is_transient(&self) -> bool;
}

impl MayBeTransient for ReadError {
    fn is_transient(&self) -> bool {
        is_transient(self.error) || self.error == Errno::IO
    }
}

/// Reads a whole file.
///
/// # Errors
/// Why it can't be read.
pub fn read(path: &Path) -> Result<Vec<u8>, ReadError> {
    let read_once =
        || std::fs::read(path).map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO));
    retry_for(READ_TIMEOUT, read_once).map_err(|error| ReadError {
        path: path.to_path_buf(),
        error,
    })
}

/// Retries what fails for a moment, for a process that has nothing else to do yet.
///
/// # Errors
/// The last attempt's.
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
        (Err(errno), None) => unreachable!("a failed attempt leaves its error: {errno}"),
    }
}

#[cfg(test)]
#[path = "config_files_tests.rs"]
mod tests;
