//! The metrics: counts since the start and gauges of the moment, and their text for operators. A plain value without I/O. This
//! module must never count what nobody saw happen on a socket, nor count a request twice or backwards.

use crate::operators::counters::{Counter, Counters};
use reedferry::AttemptOutcome;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The outcomes of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
struct ClassOutcomes {
    /// The name of the class, as it stands in metric names.
    name: String,
    served: u64,
    rejected: u64,
    failed: u64,
    /// Rejected without an attempt.
    shed: u64,
    /// Attempts after a first one, by how the one before ended.
    retries: BTreeMap<&'static str, u64>,
}

impl ClassOutcomes {
    /// Appends a line for each count that is not named with the outcomes, once there is something to count.
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

/// How a request ended its wait, by what the client heard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// It was connected to a host.
    Served,
    /// It was rejected, and may be retried.
    Refused,
    /// It failed.
    Failed,
}

/// What is so at this moment, beside what has been counted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Requests that wait for their outcome.
    pub in_flight: usize,
    /// Hosts of the endpoint list.
    pub hosts_known: usize,
    /// Those of them that get no new requests.
    pub hosts_excluded: usize,
}

/// The metrics of a process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    /// In the order in which classes were first named; one that is configured no more keeps its line.
    classes: Vec<ClassOutcomes>,
    /// Attempts whose last byte was written to a host.
    attempts: u64,
    reloads_succeeded: u64,
    reloads_failed: u64,
    counters: Counters,
}

/// A name as a part of a metric's name: what separates parts there, or would end the line, is an underscore.
fn metric_name_part(name: &str) -> String {
    let is_separator = |c: char| c.is_whitespace() || c.is_control() || ".:|@#,/".contains(c);
    name.chars()
        .map(|c| if is_separator(c) { '_' } else { c })
        .collect()
}

impl Metrics {
    /// Has lines for each of these classes, even before a request of it has ended.
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

    /// Counts the outcome of a request.
    pub fn record_outcome(&mut self, class: &str, outcome: RequestOutcome) {
        let Some(outcomes) = self.class_mut(class) else {
            return;
        };
        match outcome {
            RequestOutcome::Served => outcomes.served += 1,
            RequestOutcome::Refused => outcomes.rejected += 1,
            RequestOutcome::Failed => outcomes.failed += 1,
        }
    }

    /// Counts a request that was rejected without an attempt.
    pub fn record_shed(&mut self, class: &str) {
        if let Some(outcomes) = self.class_mut(class) {
            outcomes.shed += 1;
        }
    }

    /// Counts an attempt whose last byte was written after another one had ended so.
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
    pub fn add(&mut self, count: Counter) {
        self.counters.add(count);
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

    /// All metrics, a line each.
    pub fn text(&self, now: &Gauges) -> String {
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
        line("in_flight", now.in_flight as u64, "g");
        line("hosts_known", now.hosts_known as u64, "g");
        line("hosts_excluded", now.hosts_excluded as u64, "g");
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
