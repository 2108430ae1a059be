//! Hosts and clients that act by themselves, and the invariant checker. Each host behaves as a test sets it; each client
//! sends a request, waits for its answer, and holds its connection for a time. What they saw is recorded with its
//! time, and the four rules are checked by these records alone.

mod clients;
mod hosts;
mod invariants;

pub use clients::{ClientObservation, Clients};
pub use hosts::{HostBehavior, Hosts, ObservedAttempt};
pub use invariants::InvariantChecker;

use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// The names of the request classes: idempotent, with an idempotency key, and not idempotent.
pub const CLASS_NAMES: [&str; 3] = ["free", "mark", "once"];
/// What the invariant checker allows beyond the time limit of a rule, as sockets and threads take time.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long after the announcement of a drain a host may still be sent new requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// How long clients wait for their answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idempotency group drops repeats of a request with an idempotency key.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// The stack of a thread that serves or holds one connection.
const THREAD_STACK_BYTES: usize = 128 << 10;

/// Starts a thread with a small stack: tests start thousands of them.
pub(crate) fn spawn_thread(work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(work)
        .expect("no thread to be had")
}

/// The first line that reaches a host, and the reader of what follows.
pub(crate) fn first_line(stream: &TcpStream) -> Option<(BufReader<TcpStream>, String)> {
    _ = stream.set_nodelay(true);
    let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
    let mut line = String::new();
    matches!(reader.read_line(&mut line), Ok(1..)).then_some((reader, line))
}

/// Sends each line back, each after this pause, until either side ends the connection.
pub(crate) fn echo_lines(
    reader: &mut BufReader<TcpStream>,
    stream: &mut TcpStream,
    pause: impl Fn(),
) {
    let mut line = String::new();
    while matches!(reader.read_line(&mut line), Ok(1..)) {
        pause();
        if stream.write_all(line.as_bytes()).is_err() {
            return;
        }
        line.clear();
    }
}
