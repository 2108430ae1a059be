//! Reads the log of a process line by line as it is written.

use crate::peers::MAX_WAIT;
use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Instant;

/// The log lines of a process that have not been returned yet, each with the time at which it was read.
pub(super) struct Log(Receiver<(Instant, String)>);

impl Log {
    /// Starts a thread that reads the log to its end, whether or not a test waits for lines. Otherwise the program
    /// would block on a full pipe.
    pub(super) fn read(stderr: ChildStderr) -> Self {
        let (sender, lines) = channel();
        thread::spawn(move || {
            BufReader::new(stderr)
                .lines()
                .map_while(Result::ok)
                .for_each(|line| _ = sender.send((Instant::now(), line)));
        });
        Log(lines)
    }

    /// Returns the next line, or `None` if none comes within [`MAX_WAIT`] or the log has ended.
    pub(super) fn next(&self) -> Option<String> {
        self.0.recv_timeout(MAX_WAIT).ok().map(|(_, line)| line)
    }

    /// Waits for a line that contains `text` and returns it. The lines before it are dropped.
    pub(super) fn wait_for(&self, text: &str) -> String {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let (_, line) = self
                .0
                .recv_timeout(remaining)
                .unwrap_or_else(|_| panic!("no log line contained {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the lines that have been read and not returned yet, without waiting.
    pub(super) fn drain(&self) -> impl Iterator<Item = (Instant, String)> + '_ {
        self.0.try_iter()
    }
}
