//! One cold start: starts the list service, the hosts, the nodes and the clients, and counts what they do.

use super::{ColdStartSize, ACTUAL_CAPACITY, CLIENTS_PER_NODE, OPTIONS};
use crate::fleet::{Fleet, FleetOptions, ReturningClients, WarmingHosts};
use crate::Discovery;
use std::ops::Range;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// The conditions under which a fleet is started.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum StartMode {
    /// Each node is configured as if it were the only one, and the hosts are warm.
    Alone,
    /// The nodes know the cluster size, and the hosts are warm.
    Together,
    /// The nodes know the cluster size, and the hosts are cold.
    ColdHosts,
}

/// The results of one start.
pub(super) struct StartResult {
    /// The number of calls that reached the list service.
    pub calls: usize,
    /// The number of calls that the list service rejected.
    pub rejected: usize,
    pub calls_by_second: Vec<usize>,
    /// By second: the number of connections with a request that reached hosts.
    pub attempts_by_second: Vec<usize>,
    /// The times from when the list service is up to the first connection of each client, in ascending order. Clients
    /// without a connection are left out.
    pub first_clients: Vec<Duration>,
    pub violations: Vec<String>,
}

impl StartResult {
    /// Returns the time by which this share of the connected clients had their first connection, in seconds; infinite
    /// if no client had one.
    pub(super) fn first_client(&self, share: f64) -> f64 {
        let rank = (self.first_clients.len() as f64 * share).ceil() as usize;
        self.first_clients
            .get(rank.max(1) - 1)
            .map_or(f64::INFINITY, Duration::as_secs_f64)
    }

    pub(super) fn attempts(&self) -> usize {
        self.attempts_by_second.iter().sum()
    }
}

/// Returns how many of these moments fall in each second after `start`.
fn count_by_second(start: Instant, moments: &[Instant]) -> Vec<usize> {
    let mut counts = Vec::new();
    for at in moments {
        let second = at.saturating_duration_since(start).as_secs() as usize;
        counts.resize(counts.len().max(second + 1), 0);
        counts[second] += 1;
    }
    counts
}

/// The list service, the hosts and the nodes of one start.
struct Scenario {
    service: Discovery,
    hosts: WarmingHosts,
    host_numbers: Range<usize>,
    fleet: Fleet,
}

impl Scenario {
    /// Starts the list service and the hosts, but no node yet.
    fn new(
        size: &ColdStartSize,
        mode: StartMode,
        options: FleetOptions,
        program: Option<&PathBuf>,
    ) -> Self {
        let (service, hosts) = (Discovery::start(), WarmingHosts::new(options));
        service.limit_rate(size.rate, size.queue);
        let host_numbers = hosts.start(size.hosts, mode == StartMode::ColdHosts);
        for member in hosts.members(host_numbers.clone()) {
            service.change(member);
        }
        let mut fleet = Fleet::new(size.nodes, service.address, options);
        if let Some(program) = program {
            fleet = fleet.with_program(program.clone());
        }
        if mode == StartMode::Alone {
            fleet = fleet.with_each_configured_alone();
        }
        Scenario {
            service,
            hosts,
            host_numbers,
            fleet,
        }
    }

    fn result(
        self,
        start: Instant,
        first_clients: Vec<Duration>,
        returning_clients: &ReturningClients,
    ) -> StartResult {
        let (calls, rejected) = self.service.seen();
        let attempts: Vec<Instant> = self
            .host_numbers
            .flat_map(|host| self.hosts.arrivals(host))
            .collect();
        let mut violations = self.fleet.violations(returning_clients);
        violations.extend(self.hosts.violations(Duration::ZERO));
        StartResult {
            calls: calls.len(),
            rejected: rejected.len(),
            calls_by_second: count_by_second(start, &calls),
            attempts_by_second: count_by_second(start, &attempts),
            first_clients,
            violations,
        }
    }
}

/// Starts a fleet in this mode together with its clients, waits until all clients are connected or a time limit is
/// over, and returns the results.
pub(super) fn start(
    size: &ColdStartSize,
    seed: u64,
    mode: StartMode,
    program: Option<&PathBuf>,
) -> StartResult {
    let (options, clients) = match mode {
        StartMode::ColdHosts => (size.options(ACTUAL_CAPACITY), CLIENTS_PER_NODE * size.nodes),
        StartMode::Alone | StartMode::Together => (OPTIONS, size.nodes),
    };
    let mut scenario = Scenario::new(size, mode, options, program);
    if !size.down.is_zero() {
        scenario.service.go_down();
    }
    let start = Instant::now();
    let nodes: Vec<usize> = (0..size.nodes).collect();
    scenario.fleet.start(&nodes, &[], 0);
    let addresses = scenario.fleet.addresses();
    let mut returning_clients = ReturningClients::start(
        clients,
        &scenario.fleet.front,
        Duration::ZERO,
        Some(&addresses),
        seed,
    );
    thread::sleep(size.down.saturating_sub(start.elapsed()));
    scenario.service.come_up();
    let service_up = start + size.down;
    // Three times as long as a service takes that rejects half of the calls, plus 10 s.
    let time_limit = Duration::from_secs_f64(6.0 * size.nodes as f64 / size.rate + 10.0);
    while returning_clients.connected() < clients && Instant::now() < service_up + time_limit {
        thread::sleep(Duration::from_millis(20));
    }
    // Waits until the nodes have begun their next polls, so that these are counted too. The last list came at half of
    // the poll interval or later.
    let polled = service_up + OPTIONS.max_poll_interval * 3 / 2;
    thread::sleep(polled.saturating_duration_since(Instant::now()));
    let first_connections = returning_clients.first_connections(service_up);
    let mut first_clients: Vec<Duration> = first_connections.into_iter().flatten().collect();
    first_clients.sort_unstable();
    returning_clients.stop();
    scenario.result(start, first_clients, &returning_clients)
}
