//! Fleets that start, restart and recover beside one discovery service and hosts that warm up, with faults put in between
//! them; checked by what hosts, clients and the service saw.

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

/// A discovery service, hosts and a fleet. One at a time: each starts dozens of processes and checks times.
struct Site {
    service: Discovery,
    hosts: WarmingHosts,
    list: Vec<Value>,
    fleet: Fleet,
    from: Instant,
    _turn: MutexGuard<'static, ()>,
}

impl Site {
    /// The service answers so many calls a second.
    fn new(nodes: usize, rate: f64) -> Self {
        let turn = one_test_at_a_time();
        let (service, hosts) = (Discovery::start(), WarmingHosts::new(FleetOptions::TRIAL));
        service.limit_rate(rate, ms(1000));
        let fleet = Fleet::new(nodes, service.address, FleetOptions::TRIAL);
        Site {
            service,
            hosts,
            list: Vec::new(),
            fleet,
            from: Instant::now(),
            _turn: turn,
        }
    }

    /// Hosts start and are listed.
    fn hosts(&mut self, count: usize, cold: bool) -> Range<usize> {
        let which = self.hosts.start(count, cold);
        for member in self.hosts.members(which.clone()) {
            self.service.change(member.clone());
            self.list.push(member);
        }
        which
    }

    fn drains(&mut self, host: usize) {
        self.list[host] = self.hosts.member(host, "leaving");
        self.hosts.note_drain(host);
        self.service.change(self.list[host].clone());
    }

    /// Nodes start at once, and remember the list where they are told to; the clock is set to this.
    fn start(&mut self, which: Range<usize>, remember: bool) {
        let known = if remember { &self.list[..] } else { &[] };
        self.from = Instant::now();
        self.fleet
            .start(&which.collect::<Vec<_>>(), known, known.len() as u64);
    }

    /// One client at each node.
    fn one_each(&self, seed: u64) -> ReturningClients {
        let addresses = self.fleet.addresses();
        ReturningClients::start(
            addresses.len(),
            &self.fleet.front,
            Duration::ZERO,
            Some(&addresses),
            seed,
        )
    }

    /// Clients that the front deals out, until they stand.
    fn returning_clients(&self, count: usize, seed: u64) -> ReturningClients {
        let returning_clients =
            ReturningClients::start(count, &self.fleet.front, ms(500), None, seed);
        eventually("all stand", || returning_clients.connected() == count);
        returning_clients
    }

    fn at(&self, after: u64) {
        thread::sleep((self.from + ms(after)).saturating_duration_since(Instant::now()));
    }

    fn calls(&self) -> usize {
        self.service.seen().0.len()
    }

    fn assert_nothing_broken(&self, mut returning_clients: ReturningClients) {
        returning_clients.stop();
        let mut broken = self.hosts.violations(ms(300));
        broken.extend(self.fleet.violations(&returning_clients));
        assert!(broken.is_empty(), "{broken:#?}");
    }
}

/// Prevents a discovery service that all nodes of a site call in the same second when it is restarted.
#[test]
fn forty_nodes_that_know_nothing_call_a_service_no_faster_than_it_answers() {
    let mut site = Site::new(40, 24.0);
    site.hosts(4, false);
    site.start(0..40, false);
    let returning_clients = site.one_each(1);
    eventually("each node serves", || returning_clients.connected() == 40);
    let took = site.from.elapsed();
    site.at(6500);
    let (called, turned_away) = site.service.seen();
    site.assert_nothing_broken(returning_clients);
    assert!(
        turned_away.len() <= 4,
        "{} of {} calls turned away",
        turned_away.len(),
        called.len()
    );
    assert!(called.len() <= 88, "{} calls of 40 nodes", called.len());
    assert!(took <= ms(3500), "the last node served after {took:?}");
}

/// Prevents a node alone that waits for a slot.
#[test]
fn a_single_node_that_knows_nothing_serves_at_once() {
    let mut site = Site::new(1, 40.0);
    site.hosts(2, false);
    site.start(0..1, false);
    let returning_clients = site.one_each(8);
    eventually("it serves", || returning_clients.connected() == 1);
    let took = site.from.elapsed();
    assert!(took <= ms(1500), "it served after {took:?}");
    site.assert_nothing_broken(returning_clients);
}

/// Prevents nodes that wait for each other, or call faster and faster, where nobody knows anything and the service is
/// down and then rejects most calls.
#[test]
fn nobody_knows_anything_and_the_service_is_down_and_then_rejects_nine_of_ten_calls() {
    let mut site = Site::new(20, 40.0);
    site.service.go_down();
    site.hosts(4, false);
    site.start(0..20, false);
    let returning_clients = site.one_each(2);
    for node in site.fleet.nodes.iter().flatten() {
        node.wait_for_log("discovery call failed");
    }
    site.at(3500);
    let down = site.calls();
    // Each once in its turn, and then every second or so.
    assert!(
        (20..=90).contains(&down),
        "{down} calls of 20 nodes in 3.5 s"
    );
    assert_eq!(returning_clients.connected(), 0);
    site.service.reject_of_ten(9);
    site.service.come_up();
    site.at(5500);
    site.service.reject_of_ten(0);
    let well = Instant::now();
    eventually("each node serves", || returning_clients.connected() == 20);
    let took = well.elapsed();
    assert!(
        took <= ms(2500),
        "the last node served {took:?} after the service was well"
    );
    site.assert_nothing_broken(returning_clients);
}

/// Prevents hosts that are all new overloaded by nodes that are all new, and clients rejected for longer than the hosts
/// take to warm up.
#[test]
fn all_nodes_and_all_hosts_are_cold_together() {
    let mut site = Site::new(20, 40.0);
    site.hosts(6, true);
    site.start(0..20, false);
    let returning_clients = site.returning_clients(90, 6);
    let took = site.from.elapsed();
    site.assert_nothing_broken(returning_clients);
    assert!(took <= ms(8000), "the last client stood after {took:?}");
}

/// Prevents a list that takes nodes so long to read, or the service to write, that they poll again and again.
#[test]
fn a_list_of_five_thousand_hosts_is_polled_by_many_nodes() {
    let mut site = Site::new(14, 1e6);
    site.hosts(4, false);
    let named = |n: usize| {
        let mut member = site.hosts.member(n % 4, "active");
        member["id"] = format!("s-{n}").into();
        member
    };
    let list: Vec<Value> = (0..5000).map(named).collect();
    site.service.restart(1, &list);
    site.start(0..14, false);
    let returning_clients = site.one_each(7);
    // How soon hangs on what writes the list here.
    eventually("each node serves", || returning_clients.connected() == 14);
    site.at(6500);
    let calls = site.calls();
    site.assert_nothing_broken(returning_clients);
    assert!(calls <= 31, "{calls} calls of 14 nodes");
}

/// Prevents new hosts left nearly empty in a release, as nodes that are restarted meanwhile count them as hosts like
/// the rest, of which they use few; and cold hosts overloaded, drains not heeded, clients left without an answer,
/// or nodes that stay with a service that has moved.
#[test]
fn all_nodes_are_restarted_in_turn_while_half_of_the_hosts_are_replaced_and_the_service_moves() {
    let mut site = Site::new(20, 1e6);
    site.hosts(12, false);
    site.start(0..20, true);
    let returning_clients = site.returning_clients(240, 3);
    let new = site.hosts(12, true);
    let from = Instant::now();
    let mut stopped: Vec<Node> = Vec::new();
    for step in 0..10 {
        thread::sleep(
            (from + ms(200 + 300 * step as u64)).saturating_duration_since(Instant::now()),
        );
        let both = 2 * step..2 * step + 2;
        stopped.extend(
            both.clone()
                .filter_map(|node| site.fleet.stop(node, ms(100))),
        );
        // They remember the last list, and hear of what follows from the service.
        site.start(both, true);
        if step == 5 {
            let old = std::mem::replace(&mut site.service, Discovery::start());
            site.service.restart(40, &site.list);
            site.fleet
                .move_discovery(site.service.address, &site.list, 24);
            old.go_down();
        }
        if step % 2 == 1 && step < 9 {
            site.drains(step / 2);
        }
    }
    thread::sleep((from + ms(6500)).saturating_duration_since(Instant::now()));
    let (there, all) = (
        site.hosts.open_connections(new.clone()),
        site.hosts.open_connections(0..new.end),
    );
    site.assert_nothing_broken(returning_clients);
    // They are twelve of the twenty hosts that stay.
    assert!(2 * there >= all, "{there} of {all} at the new hosts");
}

/// Prevents new work for hosts that drain, by a discovery service that restarts with an older list, half as long and the
/// rest in pieces, where all watches end at one moment; and nodes that all call it again in step.
#[test]
fn the_discovery_service_restarts_with_an_older_list_of_half_of_the_hosts() {
    let mut site = Site::new(16, 1e6);
    site.hosts(6, false);
    site.start(0..16, true);
    let returning_clients = site.returning_clients(96, 5);
    for host in [0, 1] {
        site.service.change(site.hosts.member(host, "leaving"));
        site.hosts.note_drain(host);
    }
    // They leave evenly over the longest expiry.
    eventually("the hosts that drain are empty", || {
        site.hosts.open_connections(0..2) == 0
    });
    // It knows of 0 to 2 alone, and not that two of them drain.
    let before = site.calls();
    site.from = site.service.restart(3, &site.list[..3]);
    for node in site.fleet.nodes.iter().flatten() {
        assert!(node
            .wait_for_log("received an older list")
            .contains("drains kept: 2"));
    }
    let took = site.from.elapsed();
    assert!(
        took <= ms(3000),
        "the last node had the list after {took:?}"
    );
    let called = site.service.seen().0;
    let soon = called[before..]
        .iter()
        .filter(|t| **t < site.from + ms(300))
        .count();
    assert!(soon <= 10, "{soon} of 16 called in the first moment");
    // The clients of half of the nodes come again to the rest, which have no other word than that list.
    for node in 0..8 {
        drop(site.fleet.stop(node, ms(50)));
    }
    eventually("all stand again", || returning_clients.connected() == 96);
    let calls = site.calls() - before;
    assert!(calls <= 16 * 4, "{calls} calls of 16 nodes");
    let pieces = site.hosts.arrivals(4).len();
    site.list[3..]
        .iter()
        .for_each(|member| site.service.change(member.clone()));
    drop(site.fleet.stop(8, ms(50)));
    eventually("hosts that the pieces named are used again", || {
        site.hosts.arrivals(4).len() > pieces
    });
    site.assert_nothing_broken(returning_clients);
}

/// Prevents cold hosts overloaded, and clients lost, when most of a fleet dies and all its clients come to nodes
/// that know nothing of any host, some of which stall meanwhile.
#[test]
fn seven_of_ten_nodes_are_killed_and_started_again_while_their_clients_come_back() {
    let mut site = Site::new(20, 40.0);
    site.hosts(8, false);
    site.start(0..20, true);
    let returning_clients = site.returning_clients(160, 4);
    site.hosts(4, true);
    let from = Instant::now();
    (0..14).for_each(|node| site.fleet.kill(node, ms(300)));
    thread::sleep(ms(300));
    (14..16).for_each(|node| site.fleet.suspend(node));
    for step in 0..7 {
        thread::sleep(
            (from + ms(500 + 200 * step as u64)).saturating_duration_since(Instant::now()),
        );
        site.start(2 * step..2 * step + 2, true);
    }
    thread::sleep((from + ms(3300)).saturating_duration_since(Instant::now()));
    (14..16).for_each(|node| site.fleet.unsuspend(node));
    eventually("all stand again", || returning_clients.connected() == 160);
    let took = from.elapsed();
    thread::sleep((from + ms(6000)).saturating_duration_since(Instant::now()));
    site.assert_nothing_broken(returning_clients);
    assert!(took <= ms(12_000), "all stood again after {took:?}");
}
