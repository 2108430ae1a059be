//! The log. Owns what is still to be written to standard error. Must never hold up the loop: lines
//! wait in a bounded backlog, are written only while the other end takes them, and are counted and
//! dropped where it does not.

use crate::Nanos;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use slog::{o, Drain, Logger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

const SECOND: Nanos = 1_000_000_000;
/// The most that waits; a line beyond it is dropped.
const MAX_BACKLOG_BYTES: usize = 256 * 1024;
/// What is written at once: a pipe that polls as writable takes this much.
const WRITE_BYTES: usize = 4096;

#[derive(Default)]
struct Lines {
    pending: VecDeque<u8>,
    dropped_lines: u64,
}

/// Lines of the log that are still to be written. Clones are one backlog.
#[derive(Clone, Default)]
pub struct LogBacklog(Arc<Mutex<Lines>>);

impl Write for LogBacklog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Ok(mut lines) = self.0.lock() {
            if lines.pending.len() + bytes.len() > MAX_BACKLOG_BYTES {
                lines.dropped_lines += 1;
            } else {
                lines.pending.extend(bytes);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogBacklog {
    /// Writes what standard error takes without waiting.
    pub fn drain(&self) {
        let Ok(mut lines) = self.0.lock() else { return };
        let stderr = io::stderr();
        while !lines.pending.is_empty() {
            let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
            let now = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            let ready = poll(&mut polled, Some(&now)).is_ok_and(|n| n > 0);
            if !ready || !polled[0].revents().contains(PollFlags::OUT) {
                return;
            }
            let (front, _) = lines.pending.as_slices();
            let piece = &front[..front.len().min(WRITE_BYTES)];
            let Ok(count) = stderr.lock().write(piece) else {
                return;
            };
            lines.pending.drain(..count);
            if lines.pending.is_empty() && lines.dropped_lines > 0 {
                let text = format!("log lines dropped count={}\n", lines.dropped_lines);
                lines.dropped_lines = 0;
                lines.pending.extend(text.as_bytes());
            }
        }
    }
}

/// A limit on log lines of one kind, so that what happens thousands of times a second does not fill
/// the log.
#[derive(Debug)]
pub struct LogRateLimit {
    max_lines_per_second: u32,
    second_start: Nanos,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimit {
    /// Lets so many lines a second through.
    pub fn new(max_lines_per_second: u32) -> Self {
        LogRateLimit {
            max_lines_per_second,
            second_start: 0,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Whether one more line may be written in this second; one that may not is counted.
    pub fn allow(&mut self, now: Nanos) -> bool {
        if now >= self.second_start + SECOND {
            (self.second_start, self.lines) = (now, 0);
        }
        self.lines += 1;
        let allowed = self.lines <= self.max_lines_per_second;
        self.suppressed += u64::from(!allowed);
        allowed
    }

    /// How many lines were suppressed, once their second is over.
    pub fn take_suppressed(&mut self, now: Nanos) -> Option<u64> {
        let second_over = self.suppressed > 0 && now >= self.second_start + SECOND;
        second_over.then(|| std::mem::take(&mut self.suppressed))
    }
}

/// The logger of a node, and the backlog that its loop drains once a turn.
pub fn logger(node: &str) -> (Logger, LogBacklog) {
    let backlog = LogBacklog::default();
    let plain = slog_term::PlainDecorator::new(backlog.clone());
    let format = slog_term::FullFormat::new(plain)
        .use_utc_timestamp()
        .use_original_order()
        .build();
    let logger = Logger::root(Mutex::new(format).fuse(), o!("node" => node.to_string()));
    (logger, backlog)
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
