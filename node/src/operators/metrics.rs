//! The metrics: counters since the start of the process, gauges of the current state, and their text for operators. This module
//! does no I/O. It must never count an event that was not observed on a socket, count a request twice, or decrease a counter.

use crate::operators::counters::{Counter, Counters};
use reedferry::AttemptOutcome;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The outcomes of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
struct ClassOutcomes {
    /// The name of the class in metric names.
    name: String,
    served: u64,
    rejected: u64,
    failed: u64,
    /// Requests that were rejected without an attempt.
    shed: u64,
    /// Attempts after the first of a request, by the outcome of the previous attempt.
    retries: BTreeMap<&'static str, u64>,
}

impl ClassOutcomes {
    /// Appends the lines for shed requests and for retries. A counter that is still 0 has no line.
    fn append_counts(&self, text: &mut String) {
        let name = &self.name;
        if self.shed > 0 {
            _ = writeln!(text, "app.requests_shed.{name}:{}|c", self.shed);
        }
        for (reason, count) in &self.retries {
            let reason = metric_name_part(&reason.replace('-', "_"));
            _ = writeln!(text, "app.retries.{name}.{reason}:{count}|c");
        }
    }
}

/// The answer that ended a client's wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The request was connected to a host.
    Served,
    /// The request was rejected, and the client may retry it.
    Rejected,
    /// The request failed.
    Failed,
}

/// The current values of the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// The number of requests of connected clients that wait for their answer or are open.
    pub in_flight: usize,
    /// The number of hosts on the endpoint list.
    pub hosts_known: usize,
    /// The number of these hosts that are not ready, are ejected, or deliver messages late.
    pub hosts_excluded: usize,
}

/// The metrics of a process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// The classes in the order in which they were first configured. A class that is no longer configured keeps its lines.
    classes: Vec<ClassOutcomes>,
    /// The number of attempts whose last byte was written to a host.
    attempts: u64,
    reloads_succeeded: u64,
    reloads_failed: u64,
    counters: Counters,
}

/// Returns a name in which each character that would separate parts of a metric name, or end its line, is replaced with an
/// underscore.
fn metric_name_part(name: &str) -> String {
    let is_separator = |c: char| c.is_whitespace() || c.is_control() || ".:|@#,/".contains(c);
    name.chars()
        .map(|c| if is_separator(c) { '_' } else { c })
        .collect()
}

impl Metrics {
    /// Adds the lines of these classes, so that they are listed before the first request of the class has ended.
    pub fn add_classes(&mut self, names: &[String]) {
        for name in names.iter().map(|name| metric_name_part(name)) {
            if !self.classes.iter().any(|class| class.name == name) {
                self.classes.push(ClassOutcomes {
                    name,
                    ..ClassOutcomes::default()
                });
            }
        }
    }

    /// Counts the outcome of a request. A class that was never added is ignored.
    pub fn record_outcome(&mut self, class: &str, outcome: RequestOutcome) {
        let Some(outcomes) = self.class_mut(class) else {
            return;
        };
        match outcome {
            RequestOutcome::Served => outcomes.served += 1,
            RequestOutcome::Rejected => outcomes.rejected += 1,
            RequestOutcome::Failed => outcomes.failed += 1,
        }
    }

    /// Counts a request that was rejected without an attempt.
    pub fn record_shed(&mut self, class: &str) {
        if let Some(outcomes) = self.class_mut(class) {
            outcomes.shed += 1;
        }
    }

    /// Counts a retry whose last byte was written, by the outcome of the previous attempt.
    pub fn record_retry(&mut self, class: &str, reason: AttemptOutcome) {
        if let Some(outcomes) = self.class_mut(class) {
            *outcomes.retries.entry(reason.as_str()).or_default() += 1;
        }
    }

    fn class_mut(&mut self, class: &str) -> Option<&mut ClassOutcomes> {
        let name = metric_name_part(class);
        self.classes.iter_mut().find(|class| class.name == name)
    }

    /// Adds one to a counter.
    pub fn add(&mut self, counter: Counter) {
        self.counters.add(counter);
    }

    /// Counts an attempt whose last byte was written.
    pub fn record_attempt(&mut self) {
        self.attempts += 1;
    }

    /// Counts a reload of the configuration.
    pub fn record_reload(&mut self, succeeded: bool) {
        if succeeded {
            self.reloads_succeeded += 1;
        } else {
            self.reloads_failed += 1;
        }
    }

    /// Returns all metrics, one per line.
    pub fn text(&self, gauges: &Gauges) -> String {
        let mut text = String::new();
        let mut line =
            |name: &str, value: u64, kind: &str| _ = writeln!(text, "app.{name}:{value}|{kind}");
        for class in &self.classes {
            let name = &class.name;
            line(&format!("requests.{name}.served"), class.served, "c");
            line(&format!("requests.{name}.refused"), class.rejected, "c");
            line(&format!("requests.{name}.failed"), class.failed, "c");
        }
        line("attempts", self.attempts, "c");
        line("in_flight", gauges.in_flight as u64, "g");
        line("hosts_known", gauges.hosts_known as u64, "g");
        line("hosts_excluded", gauges.hosts_excluded as u64, "g");
        line("reloads_ok", self.reloads_succeeded, "c");
        line("reloads_failed", self.reloads_failed, "c");
        for class in &self.classes {
            class.append_counts(&mut text);
        }
        text + &self.counters.text()
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
