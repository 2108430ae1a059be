//! Simulated hosts and clients that run on their own threads, and the invariant checker. Each host behaves as a test
//! sets it; each client sends a request, waits for its answer and uses its connection for a time. What they observe
//! is recorded with its time, and the rules on requests are checked by these records alone.

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
/// What the invariant checker allows beyond the time limit of a rule, because sockets and threads take time.
pub const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long after its drain was announced a host may still be sent new requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(300);
/// The deadline of requests.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);
/// How long after its first attempt that may have run a request with an idempotency key may be repeated, as an
/// idempotency group drops repeats for that time.
pub const REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// The stack size of a thread that handles one connection.
const THREAD_STACK_BYTES: usize = 128 << 10;

/// Starts a thread with a small stack: tests start thousands of them.
pub(crate) fn spawn_thread(work: impl FnOnce() + Send + 'static) -> JoinHandle<()> {
    thread::Builder::new()
        .stack_size(THREAD_STACK_BYTES)
        .spawn(work)
        .expect("cannot start a thread")
}

/// Reads the first line that reaches a host. Returns it with the reader of what follows, or `None` if none came.
pub(crate) fn first_line(stream: &TcpStream) -> Option<(BufReader<TcpStream>, String)> {
    _ = stream.set_nodelay(true);
    let mut reader = BufReader::with_capacity(512, stream.try_clone().ok()?);
    let mut line = String::new();
    matches!(reader.read_line(&mut line), Ok(1..)).then_some((reader, line))
}

/// Sends each line back after calling `pause`, until either side ends the connection.
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
