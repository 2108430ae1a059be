//! The log of a process, read line by line as it comes.

use crate::peers::MAX_WAIT;
use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Instant;

/// The log lines of a process that were not waited for yet, each with when it came.
pub(super) struct Log(Receiver<(Instant, String)>);

impl Log {
    /// Reads the log to its end, whether or not anybody waits for its lines. Without this, the program would be held up
    /// by a full pipe.
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

    /// The next line, if one comes in time.
    pub(super) fn next(&self) -> Option<String> {
        self.0.recv_timeout(MAX_WAIT).ok().map(|(_, line)| line)
    }

    /// Waits for a line that holds this text.
    pub(super) fn wait_for(&self, text: &str) -> String {
        let deadline = Instant::now() + MAX_WAIT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let (_, line) = self
                .0
                .recv_timeout(remaining)
                .unwrap_or_else(|_| panic!("no log line said {text}"));
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The lines that have come, without waiting.
    pub(super) fn drain(&self) -> impl Iterator<Item = (Instant, String)> + '_ {
        self.0.try_iter()
    }
}
