//! Tests of fleets that start, restart and recover with one discovery service and hosts that warm up, while nodes and
//! the service fail. The checks use what hosts, clients and the service saw.

use reedferry_testkit::fleet::{
    one_test_at_a_time, Fleet, FleetOptions, ReturningClients, WarmingHosts,
};
use reedferry_testkit::{eventually, Discovery, Node};
use serde_json::Value;
use std::ops::Range;
use std::sync::MutexGuard;
use std::thread;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A discovery service, hosts and a fleet. Only one exists at a time, as each starts dozens of processes and its tests
/// check times.
struct Site {
    service: Discovery,
    hosts: WarmingHosts,
    /// The endpoint list that the service holds.
    list: Vec<Value>,
    fleet: Fleet,
    /// When the test's clock started.
    clock_start: Instant,
    _lock: MutexGuard<'static, ()>,
}

impl Site {
    /// Creates a site whose service answers at most `rate` calls per second.
    fn new(nodes: usize, rate: f64) -> Self {
        let lock = one_test_at_a_time();
        let (service, hosts) = (Discovery::start(), WarmingHosts::new(FleetOptions::TRIAL));
        service.limit_rate(rate, ms(1000));
        let fleet = Fleet::new(nodes, service.address, FleetOptions::TRIAL);
        Site {
            service,
            hosts,
            list: Vec::new(),
            fleet,
            clock_start: Instant::now(),
            _lock: lock,
        }
    }

    /// Starts hosts, cold or warm, adds them to the list, and returns their numbers.
    fn start_hosts(&mut self, count: usize, cold: bool) -> Range<usize> {
        let which = self.hosts.start(count, cold);
        for member in self.hosts.members(which.clone()) {
            self.service.change(member.clone());
            self.list.push(member);
        }
        which
    }

    /// Changes a host in the list to draining.
    fn set_draining(&mut self, host: usize) {
        self.list[host] = self.hosts.member(host, "leaving");
        self.hosts.note_drain(host);
        self.service.change(self.list[host].clone());
    }

    /// Starts these nodes together and restarts the test's clock. With `remember`, their configuration contains the
    /// list.
    fn start(&mut self, which: Range<usize>, remember: bool) {
        let known = if remember { &self.list[..] } else { &[] };
        self.clock_start = Instant::now();
        self.fleet
            .start(&which.collect::<Vec<_>>(), known, known.len() as u64);
    }

    /// Starts one client at each node.
    fn one_client_per_node(&self, seed: u64) -> ReturningClients {
        let addresses = self.fleet.addresses();
        ReturningClients::start(
            addresses.len(),
            &self.fleet.front,
            Duration::ZERO,
            Some(&addresses),
            seed,
        )
    }

    /// Starts clients that the front distributes over the nodes, and waits until all are connected.
    fn returning_clients(&self, count: usize, seed: u64) -> ReturningClients {
        let returning_clients =
            ReturningClients::start(count, &self.fleet.front, ms(500), None, seed);
        eventually("not all clients are connected", || {
            returning_clients.connected() == count
        });
        returning_clients
    }

    /// Sleeps until this many milliseconds after the start of the test's clock.
    fn sleep_until(&self, after_ms: u64) {
        thread::sleep((self.clock_start + ms(after_ms)).saturating_duration_since(Instant::now()));
    }

    /// Returns the number of calls that the service has received.
    fn call_count(&self) -> usize {
        self.service.seen().0.len()
    }

    /// Ends the clients, and asserts that neither they nor the hosts saw a violation of a rule.
    fn assert_no_violation(&self, mut returning_clients: ReturningClients) {
        returning_clients.stop();
        let mut violations = self.hosts.violations(ms(300));
        violations.extend(self.fleet.violations(&returning_clients));
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Guards against a discovery service that all nodes of a site call within the same second when the site is restarted.
#[test]
fn forty_nodes_without_a_list_call_the_service_no_faster_than_it_answers() {
    let mut site = Site::new(40, 24.0);
    site.start_hosts(4, false);
    site.start(0..40, false);
    let returning_clients = site.one_client_per_node(1);
    eventually("not every node serves a client", || {
        returning_clients.connected() == 40
    });
    let took = site.clock_start.elapsed();
    site.sleep_until(6500);
    let (calls, rejected) = site.service.seen();
    site.assert_no_violation(returning_clients);
    assert!(
        rejected.len() <= 4,
        "{} of {} calls were rejected",
        rejected.len(),
        calls.len()
    );
    assert!(calls.len() <= 88, "{} calls of 40 nodes", calls.len());
    assert!(took <= ms(3500), "the last node served only after {took:?}");
}

/// Guards against a single node that waits for a time slot before its first call, although no other node calls.
#[test]
fn a_single_node_without_a_list_serves_at_once() {
    let mut site = Site::new(1, 40.0);
    site.start_hosts(2, false);
    site.start(0..1, false);
    let returning_clients = site.one_client_per_node(8);
    eventually("the node does not serve", || {
        returning_clients.connected() == 1
    });
    let took = site.clock_start.elapsed();
    assert!(took <= ms(1500), "the node served only after {took:?}");
    site.assert_no_violation(returning_clients);
}

/// Guards against nodes without a list that wait for each other, or call ever faster, while the service is down and
/// then rejects nine of ten calls.
#[test]
fn nodes_without_a_list_serve_soon_after_an_outage_and_rejected_calls() {
    let mut site = Site::new(20, 40.0);
    site.service.go_down();
    site.start_hosts(4, false);
    site.start(0..20, false);
    let returning_clients = site.one_client_per_node(2);
    for node in site.fleet.nodes.iter().flatten() {
        node.wait_for_log("discovery call failed");
    }
    site.sleep_until(3500);
    let calls_while_down = site.call_count();
    // Each node calls once in its time slot, and then about once per second.
    assert!(
        (20..=90).contains(&calls_while_down),
        "{calls_while_down} calls of 20 nodes in 3.5 s"
    );
    assert_eq!(returning_clients.connected(), 0);
    site.service.reject_of_ten(9);
    site.service.come_up();
    site.sleep_until(5500);
    site.service.reject_of_ten(0);
    let recovered_at = Instant::now();
    eventually("not every node serves a client", || {
        returning_clients.connected() == 20
    });
    let took = recovered_at.elapsed();
    assert!(
        took <= ms(2500),
        "the last node served {took:?} after the service had recovered"
    );
    site.assert_no_violation(returning_clients);
}

/// Guards against cold hosts overloaded by nodes that all start at once, and against clients rejected for longer than
/// the hosts take to warm up.
#[test]
fn cold_nodes_serve_all_clients_on_cold_hosts_without_overload() {
    let mut site = Site::new(20, 40.0);
    site.start_hosts(6, true);
    site.start(0..20, false);
    let returning_clients = site.returning_clients(90, 6);
    let took = site.clock_start.elapsed();
    site.assert_no_violation(returning_clients);
    assert!(
        took <= ms(8000),
        "the last client was connected only after {took:?}"
    );
}

/// Guards against a list that takes so long to read or to write that nodes request it again and again.
#[test]
fn fourteen_nodes_read_a_list_of_five_thousand_hosts_with_few_calls() {
    let mut site = Site::new(14, 1e6);
    site.start_hosts(4, false);
    let listed_host = |n: usize| {
        let mut member = site.hosts.member(n % 4, "active");
        member["id"] = format!("s-{n}").into();
        member
    };
    let list: Vec<Value> = (0..5000).map(listed_host).collect();
    site.service.restart(1, &list);
    site.start(0..14, false);
    let returning_clients = site.one_client_per_node(7);
    // The time is not checked: it depends on how fast the test's service writes the list.
    eventually("not every node serves a client", || {
        returning_clients.connected() == 14
    });
    site.sleep_until(6500);
    let call_count = site.call_count();
    site.assert_no_violation(returning_clients);
    assert!(call_count <= 31, "{call_count} calls of 14 nodes");
}

/// Guards against new hosts that stay nearly empty during a release because restarted nodes, which use only few hosts,
/// treat them like the others. Also guards against overloaded cold hosts, ignored drains, clients without an answer,
/// and nodes that stay with a discovery service that has moved.
#[test]
fn a_rolling_restart_during_a_host_replacement_fills_the_new_hosts() {
    let mut site = Site::new(20, 1e6);
    site.start_hosts(12, false);
    site.start(0..20, true);
    let returning_clients = site.returning_clients(240, 3);
    let new_hosts = site.start_hosts(12, true);
    let restart_began = Instant::now();
    let mut stopped: Vec<Node> = Vec::new();
    for step in 0..10 {
        thread::sleep(
            (restart_began + ms(200 + 300 * step as u64)).saturating_duration_since(Instant::now()),
        );
        let restarted = 2 * step..2 * step + 2;
        stopped.extend(
            restarted
                .clone()
                .filter_map(|node| site.fleet.stop(node, ms(100))),
        );
        // The restarted nodes know the current list, and receive later changes from the service.
        site.start(restarted, true);
        if step == 5 {
            let old_service = std::mem::replace(&mut site.service, Discovery::start());
            site.service.restart(40, &site.list);
            site.fleet
                .move_discovery(site.service.address, &site.list, 24);
            old_service.go_down();
        }
        if step % 2 == 1 && step < 9 {
            site.set_draining(step / 2);
        }
    }
    thread::sleep((restart_began + ms(6500)).saturating_duration_since(Instant::now()));
    let (on_new_hosts, on_all_hosts) = (
        site.hosts.open_connections(new_hosts.clone()),
        site.hosts.open_connections(0..new_hosts.end),
    );
    site.assert_no_violation(returning_clients);
    // Twelve of the twenty hosts that remain are new.
    assert!(
        2 * on_new_hosts >= on_all_hosts,
        "{on_new_hosts} of {on_all_hosts} connections are at the new hosts"
    );
}

/// Guards against new requests for draining hosts when the discovery service restarts with an older list of half of the
/// hosts and announces the others one by one later. All watches end together then, so this also guards against nodes
/// that call again all at once.
#[test]
fn drains_stay_known_when_discovery_restarts_with_an_older_shorter_list() {
    let mut site = Site::new(16, 1e6);
    site.start_hosts(6, false);
    site.start(0..16, true);
    let returning_clients = site.returning_clients(96, 5);
    for host in [0, 1] {
        site.service.change(site.hosts.member(host, "leaving"));
        site.hosts.note_drain(host);
    }
    // The clients of draining hosts are migrated evenly over the longest expiry of the request classes.
    eventually("the draining hosts still have connections", || {
        site.hosts.open_connections(0..2) == 0
    });
    // The new list contains only hosts 0 to 2, all as active, though two of them drain.
    let before = site.call_count();
    site.clock_start = site.service.restart(3, &site.list[..3]);
    for node in site.fleet.nodes.iter().flatten() {
        assert!(node
            .wait_for_log("received an older list")
            .contains("drains kept: 2"));
    }
    let took = site.clock_start.elapsed();
    assert!(
        took <= ms(3000),
        "the last node read the list only after {took:?}"
    );
    let called = site.service.seen().0;
    let early_calls = called[before..]
        .iter()
        .filter(|t| **t < site.clock_start + ms(300))
        .count();
    assert!(
        early_calls <= 10,
        "{early_calls} of 16 nodes called within 300 ms"
    );
    // The clients of half of the nodes reconnect to the other half, which has only that list.
    for node in 0..8 {
        drop(site.fleet.stop(node, ms(50)));
    }
    eventually("not all clients are connected again", || {
        returning_clients.connected() == 96
    });
    let call_count = site.call_count() - before;
    assert!(call_count <= 16 * 4, "{call_count} calls of 16 nodes");
    let connections_before = site.hosts.arrivals(4).len();
    site.list[3..]
        .iter()
        .for_each(|member| site.service.change(member.clone()));
    drop(site.fleet.stop(8, ms(50)));
    eventually(
        "hosts that were announced one by one are not used again",
        || site.hosts.arrivals(4).len() > connections_before,
    );
    site.assert_no_violation(returning_clients);
}

/// Guards against overloaded cold hosts and lost clients when most nodes of a fleet die and their clients reconnect to
/// nodes that know nothing of the hosts' load, while some other nodes stall.
#[test]
fn clients_reconnect_without_overload_after_seven_of_ten_nodes_are_killed() {
    let mut site = Site::new(20, 40.0);
    site.start_hosts(8, false);
    site.start(0..20, true);
    let returning_clients = site.returning_clients(160, 4);
    site.start_hosts(4, true);
    let killed_at = Instant::now();
    (0..14).for_each(|node| site.fleet.kill(node, ms(300)));
    thread::sleep(ms(300));
    (14..16).for_each(|node| site.fleet.suspend(node));
    for step in 0..7 {
        thread::sleep(
            (killed_at + ms(500 + 200 * step as u64)).saturating_duration_since(Instant::now()),
        );
        site.start(2 * step..2 * step + 2, true);
    }
    thread::sleep((killed_at + ms(3300)).saturating_duration_since(Instant::now()));
    (14..16).for_each(|node| site.fleet.unsuspend(node));
    eventually("not all clients are connected again", || {
        returning_clients.connected() == 160
    });
    let took = killed_at.elapsed();
    thread::sleep((killed_at + ms(6000)).saturating_duration_since(Instant::now()));
    site.assert_no_violation(returning_clients);
    assert!(
        took <= ms(12_000),
        "all clients were connected again only after {took:?}"
    );
}
