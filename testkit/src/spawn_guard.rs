//! Keeps the ends of connections apart from the starts of processes. A process that is being started holds copies of all
//! descriptors until it runs its program, so a socket that a test closes meanwhile stays open for that time, and the
//! other side does not see its end.

use std::io::{self, Read};
use std::process::{Child, Command};
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// A descriptor above those that tests use for sockets.
const HIGH_DESCRIPTOR: u64 = 16_384;

/// The processes that are being started, and the connections that are being closed.
#[derive(Default)]
struct Counts {
    starting: usize,
    closing: usize,
}

static COUNTS: Mutex<Counts> = Mutex::new(Counts {
    starting: 0,
    closing: 0,
});
static CHANGED: Condvar = Condvar::new();

fn wait_until(holds: impl Fn(&Counts) -> bool) -> MutexGuard<'static, Counts> {
    let counts = COUNTS.lock().unwrap_or_else(PoisonError::into_inner);
    CHANGED
        .wait_while(counts, |counts| !holds(counts))
        .unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no connection is being closed. Returns once the process has closed its copies of this one's
/// descriptors.
///
/// # Errors
/// Returns the error of the start.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    wait_until(|counts| counts.closing == 0).starting += 1;
    let child = spawn_and_wait_for_close(command);
    wait_until(|_| true).starting -= 1;
    CHANGED.notify_all();
    child
}

/// Starts a process, and waits until its copy of the end of a pipe is closed. The system closes descriptors in ascending
/// order, and lets the parent go on before it has closed any, so the pipe has one that is higher than those of sockets.
fn spawn_and_wait_for_close(command: &mut Command) -> io::Result<Child> {
    let (mut reader, writer) = io::pipe()?;
    let limit = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let highest = limit.map_or(HIGH_DESCRIPTOR, |limit| HIGH_DESCRIPTOR.min(limit - 1));
    let high_writer = rustix::io::fcntl_dupfd_cloexec(&writer, highest as i32)?;
    drop(writer);
    let child = command.spawn();
    drop(high_writer);
    reader.read_to_end(&mut Vec::new())?;
    child
}

/// Held while a connection is closed; no process is started meanwhile.
pub(crate) struct Closing;

impl Closing {
    /// Waits until no process is being started.
    pub(crate) fn begin() -> Self {
        wait_until(|counts| counts.starting == 0).closing += 1;
        Closing
    }
}

impl Drop for Closing {
    fn drop(&mut self) {
        wait_until(|_| true).closing -= 1;
        CHANGED.notify_all();
    }
}
