//! Measures single nodes and the two tiers under the same load, and the death of a planner under load.

use super::Size;
use crate::simulated::{Clients, Hosts, InvariantChecker};
use crate::two_tier_cluster::{node_config, TwoTierCluster};
use crate::{Discovery, Node};
use hdrhistogram::Histogram;
use serde_json::json;
use std::time::{Duration, Instant};

const PLANNERS: usize = 2;
/// How long clients hold their connections.
const HOLD_TIME: Duration = Duration::from_millis(1500);
/// How late an update from discovery may reach the deciding node or planner on a busy machine.
const DISCOVERY_DELAY: Duration = Duration::from_millis(150);
/// The interval at which the distribution of connections over hosts is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// The time within which each forwarder comes to follow its preferred planner.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Returns Jain's fairness index (Jain, Chiu and Hawe 1984): 1 if all shares are equal, 1/n if one of n has everything.
/// It is 1 if all shares are 0.
fn jain_index(shares: &[u32]) -> f64 {
    let sum: f64 = shares.iter().map(|share| f64::from(*share)).sum();
    let squares: f64 = shares.iter().map(|share| f64::from(*share).powi(2)).sum();
    if squares == 0.0 {
        1.0
    } else {
        sum * sum / (shares.len() as f64 * squares)
    }
}

fn micros_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three significant digits are allowed")
}

/// The results of single nodes, or of the two tiers, under load.
pub struct LoadResult {
    /// The times from a client's request to its first attempt, in microseconds.
    first_attempt: Histogram<u64>,
    /// The mean of the samples of Jain's fairness index of open connections over hosts.
    pub jain_index: f64,
    /// The share of requests that got a connection, 0 to 1.
    pub served_ratio: f64,
    pub violations: Vec<String>,
}

impl LoadResult {
    /// Returns the time to the first attempt at a quantile, in microseconds.
    pub fn first_attempt_micros(&self, quantile: f64) -> f64 {
        self.first_attempt.value_at_quantile(quantile) as f64
    }
}

/// Applies the load, and samples the distribution of connections over hosts meanwhile.
fn measure_load(
    mut clients: Clients,
    hosts: &Hosts,
    checker: &InvariantChecker,
    size: Size,
) -> LoadResult {
    let mut samples = Vec::new();
    let started = Instant::now();
    while started.elapsed() < size.span {
        clients.load(size.rate, SAMPLE_INTERVAL, &[0], HOLD_TIME);
        if started.elapsed() > HOLD_TIME {
            samples.push(jain_index(&hosts.open_connections()));
        }
    }
    clients.end();
    let mut first_attempt = micros_histogram();
    let requests = checker.first_attempts();
    requests
        .iter()
        .filter_map(|(_, took)| *took)
        .for_each(|took| first_attempt.saturating_record(took.as_micros() as u64));
    let served = requests
        .iter()
        .filter(|(client, _)| {
            client
                .answers
                .first()
                .is_some_and(|(_, answer)| answer.starts_with("UP"))
        })
        .count();
    LoadResult {
        first_attempt,
        jain_index: samples.iter().sum::<f64>() / samples.len().max(1) as f64,
        served_ratio: served as f64 / requests.len().max(1) as f64,
        violations: checker.broken(DISCOVERY_DELAY),
    }
}

/// Measures single nodes under load.
pub fn measure_single_nodes(size: Size, seed: u64) -> LoadResult {
    let checker = InvariantChecker::default();
    let hosts = Hosts::start(size.hosts, &checker);
    let discovery = Discovery::start();
    (0..size.hosts).for_each(|host| discovery.change(hosts.member(host, "active")));
    let start_node = |n: usize| {
        let mut node_config = node_config(&format!("n{n}"), &hosts, &discovery, seed + n as u64);
        node_config["settings"]["balancers"] = json!(size.nodes);
        node_config["settings"]["index"] = json!(n);
        Node::start(&node_config)
    };
    let nodes: Vec<Node> = (0..size.nodes).map(start_node).collect();
    let addresses = nodes.iter().map(|node| node.address).collect();
    let clients = Clients::new(addresses, &checker, seed);
    measure_load(clients, &hosts, &checker, size)
}

fn start_cluster(size: Size, seed: u64) -> (TwoTierCluster, Clients) {
    let cluster = TwoTierCluster::start(size.nodes, PLANNERS, size.hosts, seed);
    std::thread::sleep(SETTLE_TIME);
    let clients = Clients::new(cluster.client_addresses(), &cluster.checker, seed);
    (cluster, clients)
}

/// Measures the two tiers under load.
pub fn measure_two_tiers(size: Size, seed: u64) -> LoadResult {
    let (cluster, clients) = start_cluster(size, seed);
    measure_load(clients, &cluster.hosts, &cluster.checker, size)
}

/// The results of a planner's death under load.
pub struct FailoverResult {
    /// The longest time from a request to its first attempt.
    pub latest_first_attempt: Duration,
    /// The 95th percentile of the time to the first attempt before the death, in microseconds.
    pub p95_micros_before: u64,
    /// The 95th percentile for requests later than a second after the death, in microseconds.
    pub p95_micros_after: u64,
    pub violations: Vec<String>,
}

/// Measures the death of the busiest planner under load.
pub fn measure_failover(size: Size, seed: u64) -> FailoverResult {
    let (mut cluster, mut clients) = start_cluster(size, seed);
    clients.load(size.rate, Duration::from_secs(2), &[0, 1, 2], HOLD_TIME);
    // The planner is suspended and not killed: like a machine that fails, it then sends nothing, not even the end of
    // its connections.
    let busiest = cluster.busiest_planner();
    cluster.planners[busiest].iter().for_each(Node::suspend);
    let died_at = Instant::now();
    clients.load(size.rate, Duration::from_secs(3), &[0, 1, 2], HOLD_TIME);
    clients.end();
    let (mut before, mut after) = (micros_histogram(), micros_histogram());
    let mut latest_first_attempt = Duration::ZERO;
    for (client, took) in cluster.checker.first_attempts() {
        let Some(took) = took else { continue };
        latest_first_attempt = latest_first_attempt.max(took);
        if client.asked < died_at - Duration::from_millis(100) {
            before.saturating_record(took.as_micros() as u64);
        } else if client.asked > died_at + Duration::from_secs(1) {
            after.saturating_record(took.as_micros() as u64);
        }
    }
    let violations = cluster.checker.broken(DISCOVERY_DELAY);
    cluster.heal();
    FailoverResult {
        latest_first_attempt,
        p95_micros_before: before.value_at_quantile(0.95),
        p95_micros_after: after.value_at_quantile(0.95),
        violations,
    }
}
