//! Checks by exit statuses, logs and metrics that the processes of a soak end in time, serve again and count no
//! violations.

use super::super::restarts::KILL_DELAY;
use super::{ProcessGroup, RunningProcess, StoppingProcess};
use crate::peers::Peer;
use crate::program::Node;
use crate::simulated::SOCKET_SLACK;
use std::thread;
use std::time::{Duration, Instant};

/// How much longer than the earliest permitted kill a process may take to end after it was told to stop.
const STOP_SLACK_BEYOND_KILL: Duration = Duration::from_millis(600);
/// Rules that a process may count as violated because it was suspended or its sends were delayed.
const EXCUSABLE_RULES: [&str; 2] = ["answered_late", "attempted_late"];
/// How long a node may be delayed between reading its clock and writing, as documented for users.
const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
/// How long after a suspension or a span of delayed sends a process may still log these violations.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(1000);
/// The number of log lines shown of a process that does not serve or that ended unexpectedly.
const SHOWN_LOG_LINES: usize = 30;

impl ProcessGroup {
    /// Waits until all processes of a slot that were told to stop have ended. Records a failure for each that takes
    /// too long or exits without success.
    pub(super) fn wait_for_stopped(&mut self, slot: usize) {
        let max_stop_time = self.profile.longest_deadline() + KILL_DELAY + STOP_SLACK_BEYOND_KILL;
        for StoppingProcess { mut process, since } in
            std::mem::take(&mut self.processes[slot].stopping)
        {
            let node = &mut process.node;
            while node.runs() && since.elapsed() < max_stop_time {
                thread::sleep(Duration::from_millis(5));
            }
            if node.runs() {
                self.failures.push(format!(
                    "slot {slot}: still running {:?} after it was told to stop",
                    since.elapsed()
                ));
            } else if !node.wait().success() {
                self.failures
                    .push(format!("slot {slot}: ended with {}", node.wait()));
            }
            self.note_end(slot, &process);
        }
    }

    /// Records that a process has ended and checks its log.
    pub(super) fn note_end(&mut self, slot: usize, process: &RunningProcess) {
        self.slots[slot].lock().unwrap().runs[process.run].ended = Some(Instant::now());
        self.check_log(slot, &process.node);
    }

    /// Records panics and violations in the log of a process as failures. Returns the lines that are excused instead.
    pub(super) fn check_log(&mut self, slot: usize, node: &Node) -> Vec<String> {
        let mut excused = Vec::new();
        let lines = node.drain_log_timed();
        self.logs[slot].extend(lines.iter().cloned());
        for (at, line) in lines {
            if !line.contains("panicked") && !line.contains("rule violated") {
                continue;
            }
            if self.is_excused_by_suspension(slot, at, &line)
                || self.is_excused_by_delay(slot, at, &line)
            {
                excused.push(line);
            } else {
                self.failures.push(format!("slot {slot}: {line}"));
            }
        }
        excused
    }

    /// Returns whether a suspension explains the violation in this line: the process read its clock in time, and was
    /// suspended before it sent.
    fn is_excused_by_suspension(&self, slot: usize, at: Instant, line: &str) -> bool {
        let excusable = EXCUSABLE_RULES.iter().any(|rule| line.contains(rule));
        let slot = self.slots[slot].lock().unwrap();
        excusable
            && slot
                .suspensions
                .iter()
                .any(|span| span.from <= at && at <= span.to + MAX_REPORT_DELAY)
    }

    /// Returns whether delayed sends explain the violation in this line: it came while sends were delayed and exceeds
    /// the limit by no more than the 0.15 s that the documentation allows between clock and write, plus
    /// [`SOCKET_SLACK`].
    fn is_excused_by_delay(&self, slot: usize, at: Instant, line: &str) -> bool {
        let excusable = EXCUSABLE_RULES.iter().any(|rule| line.contains(rule));
        let lateness = millis_after(line, " ms: ");
        let slot = self.slots[slot].lock().unwrap();
        excusable
            && lateness.is_some_and(|lateness| lateness <= MAX_WRITE_DELAY + SOCKET_SLACK)
            && slot
                .send_delays
                .iter()
                .any(|span| span.from <= at && at <= span.to + MAX_REPORT_DELAY)
    }

    /// Starts a process in each slot whose process ended without being told to stop.
    pub(super) fn restart_ended(&mut self) {
        for slot in 0..self.processes.len() {
            let Some(mut process) = self.processes[slot].running.take() else {
                continue;
            };
            if self.ended_unexpectedly(slot, &mut process) {
                self.start_process(slot);
            } else {
                self.processes[slot].running = Some(process);
            }
        }
    }

    /// Returns whether a process that was not told to stop has ended, and records that as a failure.
    pub(super) fn ended_unexpectedly(&mut self, slot: usize, process: &mut RunningProcess) -> bool {
        if process.node.runs() {
            return false;
        }
        self.note_end(slot, process);
        let log = self.last_lines(slot);
        self.failures.push(format!(
            "slot {slot}: ended without being told to stop, with {}: {log:#?}",
            process.node.wait()
        ));
        true
    }

    /// Returns the last log lines of the processes of a slot.
    fn last_lines(&self, slot: usize) -> Vec<&str> {
        let log = &self.logs[slot];
        let shown = &log[log.len().saturating_sub(SHOWN_LOG_LINES)..];
        shown.iter().map(|(_, line)| line.as_str()).collect()
    }

    /// Returns a description of each process that does not serve again within `timeout`.
    pub fn recovery_failures(&mut self, timeout: Duration) -> Vec<String> {
        let deadline = Instant::now() + timeout;
        (0..self.processes.len())
            .filter_map(|slot| self.recovery_failure(slot, timeout, deadline))
            .collect()
    }

    fn recovery_failure(
        &mut self,
        slot: usize,
        timeout: Duration,
        deadline: Instant,
    ) -> Option<String> {
        let mut attempt = 0;
        loop {
            let answer = self.request(slot, attempt);
            if answer.starts_with("UP") {
                return None;
            }
            attempt += 1;
            if Instant::now() > deadline {
                if let Some(process) = self.processes[slot].running.take() {
                    self.check_log(slot, &process.node);
                    self.processes[slot].running = Some(process);
                }
                let log = self.last_lines(slot).join("\n    ");
                return Some(format!(
                    "slot {slot}: does not serve {timeout:?} after the end of all faults: answered {answer} at attempt {attempt}\n    {log}"
                ));
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the answer of the process in a slot to a request.
    fn request(&self, slot: usize, attempt: usize) -> String {
        let Some(process) = &self.processes[slot].running else {
            return "no process".to_string();
        };
        let mut client = Peer::connect(process.node.address);
        client.send_line(&format!("OPEN r{slot}-{attempt} 7f c=free,t=acme,d=1000"));
        client.receive_line()
    }

    /// Returns the violations that the processes count in their metrics, beyond those that are excused.
    pub fn violations(&mut self) -> Vec<String> {
        let mut violations = Vec::new();
        for slot in 0..self.processes.len() {
            let Some(process) = self.processes[slot].running.take() else {
                continue;
            };
            let excused = self.check_log(slot, &process.node);
            let (_, metrics) = process.node.call("GET /status/metrics");
            let unexcused = metrics
                .lines()
                .filter(|metric| exceeds_excused(metric, &excused));
            violations.extend(unexcused.map(|metric| format!("slot {slot}: {metric}")));
            self.processes[slot].running = Some(process);
        }
        violations
    }
}

/// Returns the milliseconds that follow a key in a log line, or `None` if it has none.
fn millis_after(line: &str, key: &str) -> Option<Duration> {
    let (_, rest) = line.split_once(key)?;
    let digits = rest.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok().map(Duration::from_millis)
}

/// Returns whether a metric counts more violations of a rule than the excused log lines name.
fn exceeds_excused(metric: &str, excused: &[String]) -> bool {
    let Some((rule, count)) = metric
        .strip_prefix("app.violations.")
        .and_then(|rest| rest.split_once(':'))
    else {
        return false;
    };
    let count = count.trim_end_matches("|c").parse().unwrap_or(usize::MAX);
    count > excused.iter().filter(|line| line.contains(rule)).count()
}
