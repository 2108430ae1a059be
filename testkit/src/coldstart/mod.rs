//! Measures a cold start: many processes start at once without a known endpoint list and share a list service of
//! limited capacity. Each run also measures the baseline, in which the nodes do not coordinate their calls, another
//! build if one is named, and a start in which all hosts are warming up. Owns the bounds and the figures.

mod scenario;

use crate::fleet::FleetOptions;
use crate::html_chart::Row;
use crate::two_tier::Report;
use scenario::{start, StartMode, StartResult};
use serde_json::{json, Map, Value};
use std::path::PathBuf;
use std::time::Duration;

/// The size and conditions of a cold-start measurement.
pub struct ColdStartSize {
    /// The number of nodes that start at once.
    pub nodes: usize,
    /// The number of hosts.
    pub hosts: usize,
    /// The number of calls that the list service answers per second.
    pub rate: f64,
    /// How long a call may wait at the list service before it is rejected.
    pub queue: Duration,
    /// How long the list service is down at the start.
    pub down: Duration,
    /// Another build of the program, which is measured in the same run; `None` if there is none.
    pub before: Option<PathBuf>,
}

/// The options of all starts; the capacity of the hosts is replaced where they are cold.
const OPTIONS: FleetOptions = FleetOptions {
    warm_up: Duration::from_secs(20),
    warm_up_initial_share: 0.12,
    overload_window: Duration::from_secs(1),
    overload_factor: 3.0,
    max_poll_interval: Duration::from_secs(10),
    warm_capacity: 1e6,
};

/// The number of clients per node where the hosts are cold: enough that chance does not send most of them to one host.
const CLIENTS_PER_NODE: usize = 4;
/// The capacity of a cold host on which nodes may count, as a multiple of its share of all clients.
const PROMISED_CAPACITY: f64 = 4.0;
/// The actual capacity of a cold host, as a multiple of its share of all clients.
const ACTUAL_CAPACITY: f64 = 8.0;
/// The part of the promised capacity from which the time limit for cold hosts is calculated.
const USED_SHARE: f64 = 0.5;
/// The step of the sum over the warm-up of the hosts, in seconds.
const BUDGET_STEP: f64 = 0.01;

// The bounds of the measurement; all limits are inclusive.

/// The calls in the busiest second, as a multiple of what the list service answers per second.
const MAX_RATE_FACTOR: f64 = 1.2;
/// The share of the calls that the list service rejects.
const MAX_REJECTED_SHARE: f64 = 0.05;
/// The calls to the list service per node.
const MAX_CALLS_PER_NODE: f64 = 2.2;
/// The time until 99% of the clients are served, as a multiple of the calculated time limit.
const MAX_TIME_FACTOR: f64 = 1.3;
/// The connections that reach cold hosts, as a multiple of the number of clients.
const MAX_ATTEMPT_FACTOR: f64 = 1.2;

impl ColdStartSize {
    /// Returns the options for cold hosts whose capacity is this multiple of what all clients need.
    fn options(&self, capacity: f64) -> FleetOptions {
        FleetOptions {
            warm_capacity: capacity * (CLIENTS_PER_NODE * self.nodes) as f64 / self.hosts as f64,
            ..OPTIONS
        }
    }

    /// Returns the time that the list service takes to answer each node once, in seconds.
    fn service_time_limit(&self) -> f64 {
        self.nodes as f64 / self.rate
    }

    /// Returns the time until cold hosts have accepted all clients if they are sent this share of their budget, in
    /// seconds.
    fn hosts_time_limit(&self, capacity: f64, share: f64) -> f64 {
        let options = self.options(capacity);
        let window = options.overload_window.as_secs_f64();
        let (mut sent, mut at) = (0.0, 0.0);
        while sent < (CLIENTS_PER_NODE * self.nodes) as f64 {
            let rate = options.budget(Duration::from_secs_f64(at)) / window;
            sent += share * rate * self.hosts as f64 * BUDGET_STEP;
            at += BUDGET_STEP;
        }
        at
    }
}

// The names of the start modes in figures and charts.
const BASELINE: &str = "plain";
const OTHER_BUILD: &str = "before";
const COORDINATED: &str = "now";
const COLD_HOSTS: &str = "cold hosts";

/// Starts the fleet in each mode in turn. Returns the report, and the counts of each second for a chart.
pub fn measure(size: &ColdStartSize, seed: u64) -> (Report, Vec<Row>) {
    let hosts_limit = size.hosts_time_limit(PROMISED_CAPACITY, USED_SHARE);
    let budget_limit = size.hosts_time_limit(ACTUAL_CAPACITY, 1.0);
    let mut runs = vec![(BASELINE, start(size, seed, StartMode::Alone, None))];
    if let Some(program) = &size.before {
        let result = start(size, seed, StartMode::Together, Some(program));
        runs.push((OTHER_BUILD, result));
    }
    let coordinated = start(size, seed, StartMode::Together, None);
    let cold_hosts = start(size, seed, StartMode::ColdHosts, None);
    let mut broken = missed_by_coordinated(size, &coordinated);
    broken.extend(missed_by_cold_hosts(size, hosts_limit, &cold_hosts));
    broken.extend(coordinated.violations.iter().cloned());
    broken.extend(cold_hosts.violations.iter().cloned());
    runs.push((COORDINATED, coordinated));
    runs.push((COLD_HOSTS, cold_hosts));
    let mut figures = Map::new();
    let mut put = |name: &str, value: f64| figures.insert(name.into(), json!(value));
    put("the service's own limit, s", size.service_time_limit());
    put("cold hosts, by their budgets, s", budget_limit);
    put("cold hosts, by half of what is counted on, s", hosts_limit);
    for (mode, result) in &runs {
        add_figures(&mut figures, mode, size, result);
    }
    let rows = runs
        .iter()
        .flat_map(|(mode, result)| chart_rows(mode, result))
        .collect();
    (Report { figures, broken }, rows)
}

fn add_figures(
    figures: &mut Map<String, Value>,
    mode: &str,
    size: &ColdStartSize,
    result: &StartResult,
) {
    let mut put = |name: &str, value: Value| figures.insert(format!("{mode}: {name}"), value);
    put("calls", json!(result.calls));
    put(
        "calls a node",
        json!(result.calls as f64 / size.nodes as f64),
    );
    put("turned away", json!(result.rejected));
    put("calls by second", json!(result.calls_by_second));
    put("connections that asked at hosts", json!(result.attempts()));
    put("first client, median, s", json!(result.first_client(0.5)));
    put("first client, 99%, s", json!(result.first_client(0.99)));
    put(
        "clients that were served",
        json!(result.first_clients.len()),
    );
}

fn chart_rows(mode: &str, result: &StartResult) -> [Row; 2] {
    [
        ("calls at the list service", &result.calls_by_second),
        ("asked at hosts", &result.attempts_by_second),
    ]
    .map(|(name, by_second)| Row {
        name: format!("{mode}: {name}"),
        by_second: by_second.clone(),
    })
}

/// Returns the texts of the bounds that do not hold.
fn missed(bounds: impl IntoIterator<Item = (bool, String)>) -> Vec<String> {
    bounds
        .into_iter()
        .filter(|(holds, _)| !holds)
        .map(|(_, text)| text)
        .collect()
}

fn missed_by_coordinated(size: &ColdStartSize, result: &StartResult) -> Vec<String> {
    let (nodes, limit) = (size.nodes as f64, size.service_time_limit());
    let served = result.first_clients.len();
    // In the first second nodes call before they can learn anything of the others.
    let seconds = result.calls_by_second.iter().skip(1);
    let busiest = seconds.max().copied().unwrap_or(0);
    let rejected_share = result.rejected as f64 / result.calls.max(1) as f64;
    let calls_per_node = result.calls as f64 / nodes;
    let last = result.first_client(0.99);
    missed([
        (
            served == size.nodes,
            format!("{served} of {nodes} nodes served a client"),
        ),
        (
            busiest as f64 <= MAX_RATE_FACTOR * size.rate,
            format!(
                "{busiest} calls in one second, the list service answers {}",
                size.rate
            ),
        ),
        (
            rejected_share <= MAX_REJECTED_SHARE,
            format!("{rejected_share:.2} of the calls were rejected"),
        ),
        (
            result.calls as f64 <= MAX_CALLS_PER_NODE * nodes,
            format!("{calls_per_node:.2} calls per node"),
        ),
        (
            last <= MAX_TIME_FACTOR * limit,
            format!(
                "99% of the nodes serve after {last:.1} s, the list service needs {limit:.1} s"
            ),
        ),
    ])
}

fn missed_by_cold_hosts(
    size: &ColdStartSize,
    hosts_limit: f64,
    result: &StartResult,
) -> Vec<String> {
    let limit = size.service_time_limit().max(hosts_limit);
    let clients = CLIENTS_PER_NODE * size.nodes;
    let (served, last) = (result.first_clients.len(), result.first_client(0.99));
    let attempts = result.attempts();
    missed([
        (
            served == clients,
            format!("cold hosts served {served} of {clients} clients"),
        ),
        (
            last <= MAX_TIME_FACTOR * limit,
            format!("cold hosts serve 99% of the clients after {last:.1} s, the calculated limit is {limit:.1} s"),
        ),
        (
            attempts as f64 <= MAX_ATTEMPT_FACTOR * clients as f64,
            format!("{attempts} connections reached cold hosts for {clients} clients"),
        ),
    ])
}
