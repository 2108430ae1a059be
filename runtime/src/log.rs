//! The log, which writes to standard error without blocking the event loop. Lines wait in a bounded
//! backlog and are written only while standard error accepts them. Lines that do not fit the
//! backlog are dropped and counted.

use crate::Nanos;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use slog::{o, Drain, Logger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

const SECOND: Nanos = 1_000_000_000;
/// The maximum size of the backlog; a line that would exceed it is dropped.
const MAX_BACKLOG_BYTES: usize = 256 * 1024;
/// The maximum size of one write. A pipe that polls as writable accepts this many bytes without
/// blocking.
const MAX_WRITE_BYTES: usize = 4096;

#[derive(Default)]
struct Lines {
    pending: VecDeque<u8>,
    dropped_lines: u64,
}

/// Log lines that are not yet written. Clones share one backlog.
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
    /// Writes as many bytes as standard error accepts without blocking.
    pub fn drain(&self) {
        let Ok(mut lines) = self.0.lock() else { return };
        let stderr = io::stderr();
        while !lines.pending.is_empty() {
            let mut poll_fds = [PollFd::new(&stderr, PollFlags::OUT)];
            let no_wait = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            let ready = poll(&mut poll_fds, Some(&no_wait)).is_ok_and(|n| n > 0);
            if !ready || !poll_fds[0].revents().contains(PollFlags::OUT) {
                return;
            }
            let (front, _) = lines.pending.as_slices();
            let chunk = &front[..front.len().min(MAX_WRITE_BYTES)];
            let Ok(count) = stderr.lock().write(chunk) else {
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

/// A rate limit for log lines of one kind, so that events that occur thousands of times a second do
/// not fill the log.
#[derive(Debug)]
pub struct LogRateLimit {
    max_lines_per_second: u32,
    second_start: Nanos,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimit {
    /// Creates a limit of `max_lines_per_second` lines a second.
    pub fn new(max_lines_per_second: u32) -> Self {
        LogRateLimit {
            max_lines_per_second,
            second_start: 0,
            lines: 0,
            suppressed: 0,
        }
    }

    /// Returns whether another line may be written in the current second, and counts the line as
    /// suppressed if not.
    pub fn allow(&mut self, now: Nanos) -> bool {
        if now >= self.second_start + SECOND {
            (self.second_start, self.lines) = (now, 0);
        }
        self.lines += 1;
        let allowed = self.lines <= self.max_lines_per_second;
        self.suppressed += u64::from(!allowed);
        allowed
    }

    /// Returns the number of suppressed lines and resets it, or `None` if no line was suppressed or
    /// the second in which they were suppressed is not over.
    pub fn take_suppressed(&mut self, now: Nanos) -> Option<u64> {
        let second_over = self.suppressed > 0 && now >= self.second_start + SECOND;
        second_over.then(|| std::mem::take(&mut self.suppressed))
    }
}

/// Returns the logger of a node, and the backlog that the node's event loop has to drain in each
/// iteration.
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
