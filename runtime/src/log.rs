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
    waiting: VecDeque<u8>,
    dropped: u64,
}

#[derive(Clone, Default)]
pub struct Backlog(Arc<Mutex<Lines>>);

impl Write for Backlog {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Ok(mut lines) = self.0.lock() {
            if lines.waiting.len() + bytes.len() > MOST {
                lines.dropped += 1;
            } else {
                lines.waiting.extend(bytes);
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Backlog {
    /// Writes what standard error takes without waiting.
    pub fn drain(&self) {
        let Ok(mut lines) = self.0.lock() else { return };
        let stderr = io::stderr();
        while !lines.waiting.is_empty() {
            let mut polled = [PollFd::new(&stderr, PollFlags::OUT)];
            let now = Timespec {
                tv_sec: 0,
                tv_nsec: 0,
            };
            let ready = poll(&mut polled, Some(&now)).is_ok_and(|n| n > 0);
            if !ready || !polled[0].revents().contains(PollFlags::OUT) {
                return;
            }
            let (front, _) = lines.waiting.as_slices();
            let piece = &front[..front.len().min(PIECE)];
            let Ok(count) = stderr.lock().write(piece) else {
                return;
            };
            lines.waiting.drain(..count);
            if lines.waiting.is_empty() && lines.dropped > 0 {
                let text = format!("log lines dropped count={}\n", lines.dropped);
                lines.dropped = 0;
                lines.waiting.extend(text.as_bytes());
            }
        }
    }
}

/// A limit on log lines of one kind, so that what happens thousands of times a second does not fill the log.
#[derive(Debug)]
pub struct LineLimit {
    most_a_second: u32,
    second: Nanos,
    lines: u32,
    left_out: u64,
}

impl LineLimit {
    pub fn new(most_a_second: u32) -> Self {
        LineLimit {
            most_a_second,
            second: 0,
            lines: 0,
            left_out: 0,
        }
    }

    /// Whether one more line may be written in this second; one that may not is counted.
    pub fn room(&mut self, now: Nanos) -> bool {
        if now >= self.second + SECOND {
            (self.second, self.lines) = (now, 0);
        }
        self.lines += 1;
        let room = self.lines <= self.most_a_second;
        self.left_out += u64::from(!room);
        room
    }

    /// How many lines were left out, once their second is over.
    pub fn left_out(&mut self, now: Nanos) -> Option<u64> {
        let over = self.left_out > 0 && now >= self.second + SECOND;
        over.then(|| std::mem::take(&mut self.left_out))
    }
}

/// The node's logger, and the backlog that the loop drains once a turn.
pub fn logger(node: &str) -> (Logger, Backlog) {
    let backlog = Backlog::default();
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
        let mut limit = LineLimit::new(2);
        let through = |limit: &mut LineLimit, now| (0..5).filter(|_| limit.room(now)).count();
        assert_eq!(
            (through(&mut limit, SECOND), limit.left_out(SECOND)),
            (2, None)
        );
        assert_eq!(
            (
                through(&mut limit, 2 * SECOND - 1),
                limit.left_out(2 * SECOND)
            ),
            (0, Some(8))
        );
        assert_eq!(
            (through(&mut limit, 2 * SECOND), limit.left_out(3 * SECOND)),
            (2, Some(3))
        );
        assert_eq!(limit.left_out(9 * SECOND), None);
    }
}
