//! The log. It owns what is still to be written to standard error. It must never hold up the loop: lines
//! wait in a bounded backlog, are written only while the other end takes them, and are counted and
//! dropped where it does not.

use crate::Nanos;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use slog::{o, Drain, Logger};
use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

const SECOND: Nanos = 1_000_000_000;
const MOST: usize = 256 * 1024;
/// A pipe that polls as writable takes this much at once.
const PIECE: usize = 4096;

#[derive(Default)]
struct Lines {
    pending: VecDeque<u8>,
    dropped_lines: u64,
}

#[derive(Clone, Default)]
pub struct LogBacklog(Arc<Mutex<Lines>>);

impl Write for LogBacklog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Ok(mut lines) = self.0.lock() {
            if lines.pending.len() + bytes.len() > MOST {
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
            let piece = &front[..front.len().min(PIECE)];
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

/// A limit on log lines of one kind, so that what happens thousands of times a second does not fill the log.
#[derive(Debug)]
pub struct LogRateLimit {
    max_lines_per_second: u32,
    second_start: Nanos,
    lines: u32,
    suppressed: u64,
}

impl LogRateLimit {
    pub fn new(most_a_second: u32) -> Self {
        LogRateLimit {
            max_lines_per_second: most_a_second,
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
        let room = self.lines <= self.max_lines_per_second;
        self.suppressed += u64::from(!room);
        room
    }

    /// How many lines were left out, once their second is over.
    pub fn take_suppressed(&mut self, now: Nanos) -> Option<u64> {
        let over = self.suppressed > 0 && now >= self.second_start + SECOND;
        over.then(|| std::mem::take(&mut self.suppressed))
    }
}

/// The node's logger, and the backlog that the loop drains once a turn.
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
mod tests {
    use super::*;

    #[test]
    fn a_limit_lets_so_many_lines_a_second_through_and_counts_the_rest() {
        let mut limit = LogRateLimit::new(2);
        let through = |limit: &mut LogRateLimit, now| (0..5).filter(|_| limit.allow(now)).count();
        assert_eq!(
            (through(&mut limit, SECOND), limit.take_suppressed(SECOND)),
            (2, None)
        );
        assert_eq!(
            (
                through(&mut limit, 2 * SECOND - 1),
                limit.take_suppressed(2 * SECOND)
            ),
            (0, Some(8))
        );
        assert_eq!(
            (
                through(&mut limit, 2 * SECOND),
                limit.take_suppressed(3 * SECOND)
            ),
            (2, Some(3))
        );
        assert_eq!(limit.take_suppressed(9 * SECOND), None);
    }
}
