//! Compares the two tiers with as many single nodes, with the same number of simulated hosts and the same load in one
//! run. Owns the bounds and the figures. It must never report a figure that it did not measure.

mod load;
mod planner;

use crate::two_tier_cluster::LEASE;
use load::{FailoverResult, LoadResult};
use planner::PlannerResult;
use serde_json::{json, Map, Value};
use std::time::Duration;

/// The number of decisions in one round of the measurement of a planner alone.
const DECISIONS: u64 = 100_000;
/// The number of connections that are kept open during these decisions.
const OPEN_DURING_DECISIONS: usize = 2_000;
/// The number of open connections that forwarders report to the planner.
const OPEN_CONNECTIONS: u64 = 100_000;

/// The size of a measurement.
#[derive(Clone, Copy)]
pub struct Size {
    /// The number of single nodes, and of forwarders.
    pub nodes: usize,
    /// The number of hosts.
    pub hosts: usize,
    /// Requests per second.
    pub rate: f64,
    /// The duration of the load.
    pub span: Duration,
}

/// The results of a measurement.
pub struct Report {
    /// The figures, by name.
    pub figures: Map<String, Value>,
    /// The bounds that are not met and the violations of rules; empty if there are none.
    pub broken: Vec<String>,
}

/// Collects the figures and the bounds that are not met.
#[derive(Default)]
struct ReportBuilder {
    figures: Map<String, Value>,
    broken: Vec<String>,
}

impl ReportBuilder {
    /// Adds a figure, rounded to thousandths.
    fn figure(&mut self, name: &str, value: f64) {
        let rounded = (value * 1000.0).round() / 1000.0;
        self.figures.insert(name.into(), json!(rounded));
    }

    /// Adds the bound to the report unless it holds.
    fn expect(&mut self, bound: &str, holds: bool) {
        if !holds {
            self.broken.push(bound.to_string());
        }
    }

    /// Adds the violations of rules under a load.
    fn violations(&mut self, load: &str, violations: &[String]) {
        self.broken.extend(
            violations
                .iter()
                .map(|violation| format!("{load}: {violation}")),
        );
    }

    fn load(&mut self, shape: &str, result: &LoadResult) {
        let micros = |quantile| result.first_attempt_micros(quantile);
        self.figure(&format!("{shape}_first_hand_off_p50_us"), micros(0.5));
        self.figure(&format!("{shape}_first_hand_off_p99_us"), micros(0.99));
        self.figure(&format!("{shape}_jain"), result.jain_index);
        self.figure(&format!("{shape}_served"), result.served_ratio);
        self.violations(shape, &result.violations);
    }

    fn comparison(&mut self, nodes: &LoadResult, tiers: &LoadResult) {
        let ratio = tiers.first_attempt_micros(0.5) / nodes.first_attempt_micros(0.5);
        self.figure("p50_ratio", ratio);
        self.expect(
            "the median time to the first attempt is at most twice that of single nodes",
            ratio <= 2.0,
        );
        let added_micros = tiers.first_attempt_micros(0.99) - nodes.first_attempt_micros(0.99);
        self.figure("p99_more_us", added_micros);
        self.expect(
            "the 99th percentile is at most 1 ms over that of single nodes",
            added_micros <= 1000.0,
        );
        self.figure("jain_more", tiers.jain_index - nodes.jain_index);
        self.expect(
            "the load is distributed as evenly as by single nodes",
            tiers.jain_index >= nodes.jain_index - 0.01,
        );
        self.expect(
            "as many requests are served as by single nodes",
            tiers.served_ratio >= nodes.served_ratio - 0.01,
        );
    }

    fn failover(&mut self, result: &FailoverResult) {
        self.violations("death", &result.violations);
        let latest_millis = result.latest_first_attempt.as_secs_f64() * 1e3;
        self.figure("death_latest_first_hand_off_ms", latest_millis);
        let (before, after) = (result.p95_micros_before, result.p95_micros_after);
        self.figure("death_p95_before_us", before as f64);
        self.figure("death_p95_a_second_after_us", after as f64);
        self.expect(
            "each first attempt takes at most 700 ms when a planner dies",
            result.latest_first_attempt <= Duration::from_millis(700),
        );
        self.expect(
            "decisions take their usual time a second after a planner's death",
            after <= 2 * before + 1000,
        );
    }

    fn planner(&mut self, result: &PlannerResult) {
        let PlannerResult {
            core_rate,
            planner_rate,
            memory_bytes,
            report_time,
            max_wait,
        } = *result;
        self.figure("module_attachments_a_second", core_rate);
        self.figure("planner_attachments_a_second", planner_rate);
        self.figure("planner_part_of_module", planner_rate / core_rate);
        let memory_mb = memory_bytes as f64 / f64::from(1 << 20);
        self.figure("planner_memory_of_100000_open_mb", memory_mb);
        let report_millis = report_time.as_secs_f64() * 1e3;
        self.figure("planner_told_100000_open_ms", report_millis);
        let max_wait_millis = max_wait.as_secs_f64() * 1e3;
        self.figure("planner_longest_wait_at_their_end_ms", max_wait_millis);
        self.expect(
            "no request waits as long as a lease while 100,000 open connections end",
            max_wait < LEASE,
        );
        self.expect(
            "a planner makes at least half as many decisions per second as the decision core alone",
            planner_rate >= core_rate / 2.0,
        );
        self.expect(
            "100,000 open connections take under 100 MB",
            memory_bytes < 100 << 20,
        );
    }
}

/// Measures single nodes, the two tiers, a planner's death, and a planner alone.
///
/// # Errors
/// If the planner alone could not be measured.
pub fn measure(size: Size, seed: u64) -> Result<Report, String> {
    let mut report = ReportBuilder::default();
    let nodes = load::measure_single_nodes(size, seed);
    let tiers = load::measure_two_tiers(size, seed);
    report.load("nodes", &nodes);
    report.load("tiers", &tiers);
    report.comparison(&nodes, &tiers);
    report.failover(&load::measure_failover(size, seed));
    let planner = planner::measure(size.hosts, seed).map_err(|error| error.to_string())?;
    report.planner(&planner);
    let ReportBuilder { figures, broken } = report;
    Ok(Report { figures, broken })
}
