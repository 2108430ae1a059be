//! Hot and cold restarts of nodes while hosts warm up.

use crate::simulation::{
    attempt_at, count_within, host, is_migration, overload_budget, settings, warm_connections,
    Fleet, START,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reedferry::*;

/// A warming host must not be overloaded during the hot restart of a node. Guards against a
/// successor that assumes the whole budget of the current slot while the predecessor still uses it.
#[test]
fn a_warming_host_is_not_overloaded_by_a_process_and_its_successor() {
    let hosts = [host(1), host(2), host(3), host(4)];
    let mut fleet = Fleet::new(2, |node| settings(node, 2));
    fleet.update_endpoints(EndpointUpdate::Cached, &hosts);
    fleet.new_clients(200);
    fleet.advance(20 * SECOND);
    let warming = Endpoint {
        started: Some(fleet.now - SECOND),
        ..host(9)
    };
    fleet.update_endpoints(EndpointUpdate::Delta, &[warming]);
    let endpoints = [&hosts[..], &[warming]].concat();
    for step in 0..100 {
        // Node 0 gets a successor in the middle of each second; both processes then take clients.
        if step % 20 == 10 {
            add_successor(&mut fleet, step, &endpoints);
        }
        for node in 0..fleet.nodes.len() {
            // The clients leave at once, so that the number of connections stays the same.
            for _ in 0..5 {
                fleet.short_lived_client(node);
            }
        }
        fleet.advance(50 * MILLI);
    }
    let all = fleet.max_within(60 * SECOND, attempt_at(9));
    let max = fleet.max_within(SECOND, attempt_at(9));
    let budget = overload_budget(6.0, warm_connections(200.0));
    assert!(
        all > 0 && max as f64 <= budget,
        "{max} of {all} attempts within one second, the budget is {budget:.0}"
    );
}

/// Starts a successor of the last process of node 0, with its state and a hundred connections.
fn add_successor(fleet: &mut Fleet, step: u64, endpoints: &[Endpoint]) {
    let predecessor = fleet.nodes.len() - 1 - usize::from(fleet.nodes.len() == 2);
    let state = Box::new(fleet.nodes[predecessor].export_state());
    fleet.handle(predecessor, Event::SuccessorChanged(true));
    let successor = fleet.add_node(settings(0, 2), step);
    fleet.update_endpoints_of(successor, EndpointUpdate::Cached, endpoints);
    fleet.handle(successor, Event::StateInherited(state));
    for connection in 0..100 {
        let incoming = IncomingRequest {
            id: RequestId(1 << 40 | step << 20 | connection),
            ..IncomingRequest::default()
        };
        let host = HostId(connection % 4 + 1);
        let event = Event::ConnectionHandedOver(incoming, host, START);
        fleet.handle(successor, event);
    }
}

/// Guards against clients that one node migrates to new hosts and the next node places elsewhere. A
/// node that started after those hosts finds them in its first list and would treat them as any
/// other hosts, of which it uses only a few.
#[test]
fn clients_are_migrated_to_new_hosts_by_nodes_that_started_after_them() {
    let mut fleet = Fleet::new(100, |node| settings(node, 100));
    let mut hosts: Vec<Endpoint> = (1..=20).map(host).collect();
    fleet.update_endpoints(EndpointUpdate::Cached, &hosts);
    fleet.new_clients(1000);
    fleet.advance(10 * SECOND);
    hosts.extend((21..=40).map(|id| Endpoint {
        started: Some(fleet.now),
        ..host(id)
    }));
    for node in 0..100 {
        replace_process(&mut fleet, node, &hosts);
    }
    let before = fleet.log.len();
    fleet.advance(12 * SECOND);
    let migrated = fleet.count_since(before, is_migration);
    let at_new_host = |a: &Action| matches!(a, Action::StartAttempt { host, .. } if host.0 > 20);
    let placed = fleet.count_since(before, at_new_host);
    assert!(
        migrated >= 200 && 10 * placed >= 9 * migrated,
        "{placed} of {migrated} migrated clients placed at new hosts"
    );
}

/// Replaces a node by a new process that takes over the connections of its predecessor.
fn replace_process(fleet: &mut Fleet, node: usize, endpoints: &[Endpoint]) {
    let own = fleet.log.iter().filter(|logged| logged.node == node);
    let open = own.filter_map(|logged| match logged.action {
        Action::StartAttempt { id, host, .. } => Some((id, host)),
        _ => None,
    });
    let open: Vec<(RequestId, HostId)> = open.collect();
    fleet.restart_node(node, settings(node as u32, 100), node as u64, endpoints);
    for (id, host) in open {
        let incoming = IncomingRequest {
            id,
            key: Some(fleet.client_key(id)),
            ..IncomingRequest::default()
        };
        let event = Event::ConnectionHandedOver(incoming, host, START);
        fleet.handle(node, event);
    }
}

/// A warming host must not be overloaded by the sum of all processes, including those that were
/// killed and restarted. The settings allow N attempts in a window; at most 2 * sqrt(N) + 2 more
/// are attributed to chance.
///
/// Guards against twenty or thirty nodes that together overload the host although each stays within
/// its own part. The fleet sizes lie on both sides of the border between node slots and client
/// slots.
#[test]
fn all_processes_together_stay_within_the_budget_of_a_warming_host() {
    let mut exceeded: Vec<String> = Vec::new();
    let mut windows = 0;
    for seed in 0..143 {
        let run = RandomRestarts::new(seed).run();
        windows += run.windows;
        exceeded.extend(run.exceeded);
    }
    assert!(windows > 1000, "only {windows} windows had attempts");
    assert!(
        exceeded.is_empty(),
        "{} of {windows} windows exceed the budget, such as {:#?}",
        exceeded.len(),
        &exceeded[..exceeded.len().min(20)]
    );
}

/// A fleet whose nodes are killed and restarted at random while a host warms up.
struct RandomRestarts {
    seed: u64,
    rng: ChaCha8Rng,
    nodes: u32,
    /// The number of connections before the warming host is listed.
    open: usize,
    fleet: Fleet,
    endpoints: Vec<Endpoint>,
}

/// The result of a run.
struct RunResult {
    /// The number of windows of one second that were checked.
    windows: usize,
    /// Descriptions of the windows that exceeded the budget by more than chance.
    exceeded: Vec<String>,
}

impl RandomRestarts {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes: u32 = if seed >= 140 {
            300
        } else {
            [12, 19, 20, 21, 30, 48, 120][seed as usize % 7]
        };
        // Even seeds have few connections for each node, odd seeds have many.
        let open = if seed.is_multiple_of(2) {
            rng.random_range(1..4)
        } else {
            rng.random_range(4..20)
        };
        let open = (open * nodes as usize).min(600);
        let mut fleet = Fleet::new(nodes as usize, |node| settings(node, nodes));
        let endpoints: Vec<Endpoint> = (1..=4).map(host).collect();
        fleet.update_endpoints(EndpointUpdate::Cached, &endpoints);
        fleet.new_clients(open);
        RandomRestarts {
            seed,
            rng,
            nodes,
            open,
            fleet,
            endpoints,
        }
    }

    fn run(mut self) -> RunResult {
        self.fleet.advance(10 * SECOND);
        let warming = Endpoint {
            started: Some(self.fleet.now),
            ..host(9)
        };
        self.fleet
            .update_endpoints(EndpointUpdate::Delta, &[warming]);
        self.endpoints.push(warming);
        let start = self.fleet.now;
        let busy = self.rng.random_range(0.05..1.0);
        // Clients come and go; some nodes get several times the mean number.
        let mean_clients = (self.open as f64 * busy * 0.05).max(1.0) as usize;
        for _ in 0..120 {
            for _ in 0..self.rng.random_range(0..=2 * mean_clients) {
                self.short_lived_client();
            }
            if self.rng.random_range(0..8) == 0 {
                self.restart_node();
            }
            self.fleet.advance(50 * MILLI);
        }
        self.check_windows(start)
    }

    fn short_lived_client(&mut self) {
        let node = self.rng.random_range(0..self.nodes as usize);
        let at_busy_nodes = self.rng.random_range(0..3) == 0;
        self.fleet
            .short_lived_client(if at_busy_nodes { node % 5 } else { node });
    }

    /// Kills a random node and restarts it with the endpoint list and no other state.
    fn restart_node(&mut self) {
        let node = self.rng.random_range(0..self.nodes as usize);
        let seed = self.rng.random();
        let settings = settings(node as u32, self.nodes);
        self.fleet
            .restart_node(node, settings, seed, &self.endpoints);
        for _ in 0..self.open / self.nodes as usize {
            self.fleet.new_client(node);
        }
    }

    fn check_windows(&self, start: Nanos) -> RunResult {
        let times = self.fleet.times(attempt_at(9));
        let mut exceeded = Vec::new();
        for (index, first) in times.iter().enumerate() {
            let attempts = count_within(&times[index..], SECOND) as f64;
            let age = (first + SECOND - start) as f64 / SECOND as f64;
            let budget = overload_budget(age, warm_connections(self.open as f64));
            if attempts > budget + 2.0 * budget.sqrt() + 2.0 {
                exceeded.push(format!(
                    "seed {}, {} nodes, {} open: {attempts} attempts for a budget of {budget:.1} at {age:.1} s",
                    self.seed, self.nodes, self.open
                ));
            }
        }
        RunResult {
            windows: times.len(),
            exceeded,
        }
    }
}
