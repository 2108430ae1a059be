//! Reading the files that the program is told by. It owns the difference between a file that could not be read for a
//! moment and one that is missing or wrong. It must never know what a file says.

use reedferry_runtime::errors::{is_transient, retry_for};
use reedferry_runtime::Errno;
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// For how long a running process waits here for a file that can't be read for a moment.
const READ_WITHIN: Duration = Duration::from_millis(20);

/// Why there is no text, or none that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotRead {
    /// This machine was short of something: reading it again may do.
    Moment(String),
    /// The file is missing, or what it says can't be used.
    Wrong(String),
}

impl From<String> for NotRead {
    fn from(why: String) -> Self {
        NotRead::Wrong(why)
    }
}

impl From<NotRead> for String {
    fn from(not_read: NotRead) -> Self {
        let (NotRead::Moment(why) | NotRead::Wrong(why)) = not_read;
        why
    }
}

impl fmt::Display for NotRead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (NotRead::Moment(why) | NotRead::Wrong(why)) = self;
        f.write_str(why)
    }
}

/// The whole file.
///
/// # Errors
/// Why it can't be read, and whether that may pass.
pub fn read(path: &Path) -> Result<Vec<u8>, NotRead> {
    let once = || std::fs::read(path).map_err(|e| Errno::from_io_error(&e).unwrap_or(Errno::IO));
    retry_for(READ_WITHIN, once).map_err(|error| {
        let why = format!(
            "cannot read {}: {}",
            path.display(),
            std::io::Error::from(error)
        );
        if is_transient(error) || error == Errno::IO {
            NotRead::Moment(why)
        } else {
            NotRead::Wrong(why)
        }
    })
}

/// Tries again for so long what could not be read for a moment, for a process that has nothing else to do yet.
///
/// # Errors
/// The last try's.
pub fn read_at_start<T>(
    within: Duration,
    mut what: impl FnMut() -> Result<T, NotRead>,
) -> Result<T, NotRead> {
    let mut last = None;
    let read = retry_for(within, || {
        what().map_err(|not_read| {
            let moment = matches!(not_read, NotRead::Moment(_));
            last = Some(not_read);
            if moment {
                Errno::AGAIN
            } else {
                Errno::INVAL
            }
        })
    });
    read.map_err(|_| last.unwrap_or(NotRead::Wrong("nothing was read".into())))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_missing_file_is_wrong_and_what_fails_for_a_moment_is_read_again_at_the_start() {
        assert!(
            matches!(read(Path::new("/nowhere/at/all")), Err(NotRead::Wrong(why)) if why.contains("nowhere"))
        );
        let mut tries = 0;
        let third = read_at_start(Duration::from_secs(20), || {
            tries += 1;
            if tries < 3 {
                Err(NotRead::Moment("busy".into()))
            } else {
                Ok(tries)
            }
        });
        assert_eq!(third, Ok(3));
        let wrong = || Err::<(), _>(NotRead::Wrong("no such key".into()));
        assert_eq!(read_at_start(Duration::from_secs(20), wrong), wrong());
    }
}
