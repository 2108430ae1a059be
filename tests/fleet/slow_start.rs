//! Slow start of hosts across a fleet: warming hosts are filled and never overloaded.

use crate::simulation::{
    attempt_at, host, is_migration, key, overload_budget, settings, warm_connections, Fleet,
};
use reedferry::*;

/// Runs a fleet in which hosts 1 to 4 are warm and host 9 comes back and warms up. There are two
/// clients per node; `clients` returns the nodes to which new clients connect in each of the
/// `steps` of 50 ms.
fn warming_host(nodes: u32, steps: u64, clients: impl Fn(u64) -> Vec<usize>) -> Fleet {
    let mut fleet = Fleet::new(nodes as usize, |node| settings(node, nodes));
    let hosts = [host(1), host(2), host(3), host(4)];
    fleet.update_endpoints(EndpointUpdate::Cached, &hosts);
    fleet.new_clients(2 * nodes as usize);
    fleet.advance(20 * SECOND);
    let warming = Endpoint {
        started: Some(fleet.now - SECOND),
        ..host(9)
    };
    fleet.update_endpoints(EndpointUpdate::Delta, &[warming]);
    for step in 0..steps {
        for node in clients(step) {
            fleet.new_client(node);
        }
        fleet.advance(50 * MILLI);
    }
    fleet
}

/// Guards against a new host that stays idle because each node sees too few clients to have one in
/// its own slot.
#[test]
fn a_warming_host_is_filled_although_each_node_sees_few_clients() {
    // Ten clients per second over a hundred nodes for twenty seconds.
    let clients = |step: u64| {
        if step.is_multiple_of(2) {
            vec![(step / 2 * 37 % 100) as usize]
        } else {
            Vec::new()
        }
    };
    let fleet = warming_host(100, 400, clients);
    let all = fleet.max_within(60 * SECOND, attempt_at(9));
    assert!(all >= 40, "{all} clients placed in twenty seconds");
}

/// A warming host must not be overloaded by all nodes together. Guards against bursts that no
/// single node can foresee, also when most nodes are dead and their clients connect to the rest.
#[test]
fn no_burst_overloads_a_warming_host() {
    for (name, clients) in [
        (
            "one client at every node at once",
            (|s| if s == 0 { (0..100).collect() } else { vec![] }) as fn(u64) -> _,
        ),
        ("all clients within a second", |s| {
            if s < 20 {
                (0..100).skip(s as usize % 10).step_by(10).collect()
            } else {
                vec![]
            }
        }),
        ("all clients to a third of the nodes", |s| {
            if s < 20 {
                (0..30).skip(s as usize % 3).step_by(3).collect()
            } else {
                vec![]
            }
        }),
        ("a hundred clients per second for five seconds", |s| {
            (0..100).skip(s as usize % 20).step_by(20).collect()
        }),
    ] {
        let fleet = warming_host(100, 100, clients);
        let max = fleet.max_within(SECOND, attempt_at(9));
        let open = fleet.request_count() as f64;
        assert!(
            max as f64 <= overload_budget(6.0, warm_connections(open)),
            "{name}: {max} attempts within one second"
        );
    }
}

/// Guards against a zone that came back and stays idle beside overloaded hosts because its clients
/// stay where they are. Each client is migrated once, when its slot at the new host starts, and the
/// next node places it there, whichever it is.
#[test]
fn clients_are_migrated_to_a_host_that_came_back_until_it_has_its_share() {
    let mut fleet = warming_host(100, 0, |_| Vec::new());
    let before = fleet.log.len();
    fleet.advance(20 * SECOND);
    let migrated = fleet.count_since(before, is_migration);
    // Five hosts of the same size share the 200 clients.
    assert!(
        (25..=55).contains(&migrated),
        "{migrated} of 200 clients migrated"
    );
    let max = fleet.max_within(SECOND, is_migration);
    assert!(max <= 20, "{max} clients migrated within one second");
    let placed = fleet.count_since(before, attempt_at(9));
    assert!(
        10 * placed >= 9 * migrated,
        "{placed} of {migrated} migrated clients placed at the new host"
    );
}

/// Guards against a hundred nodes that each try a host again which died and came back before the
/// endpoint list shows it, and together overload it.
#[test]
fn a_host_that_refused_connections_warms_up_when_it_accepts_them_again() {
    let mut fleet = Fleet::new(100, |node| settings(node, 100));
    fleet.update_endpoints(EndpointUpdate::Cached, &[host(1), host(2), host(3)]);
    fleet.new_clients(200);
    for node in 0..100 {
        fail_to_connect(&mut fleet, node, HostId(3));
    }
    let nodes = fleet.nodes_with(attempt_at(3));
    assert!(nodes >= 80, "only {nodes} nodes tried the host");
    // The host is back, the endpoint list has not changed, and the ejections are over.
    fleet.advance(8 * SECOND);
    let before = fleet.log.len();
    for step in 0..100 {
        fleet.new_client(step * 37 % 100);
        fleet.advance(10 * MILLI);
    }
    let attempts = fleet.count_since(before, attempt_at(3));
    // Eight seconds after the last failure to connect, the budget of the fleet for this host is
    // more than twenty connections per second.
    assert!(attempts <= 20, "{attempts} clients within one second");
}

/// Sends requests to a node until one attempt at this host fails to connect.
fn fail_to_connect(fleet: &mut Fleet, node: usize, host: HostId) {
    for _ in 0..20 {
        let id = fleet.next_request_id();
        let attempt = fleet.request(node, id, key(id.0 + 1));
        let Some(attempted) = attempt else { continue };
        if attempted == host {
            let outcome = AttemptOutcome::ConnectFailed;
            return fleet.attempt_ended(node, id, host, outcome, false);
        }
        fleet.end(node, id, HostId(1), AttemptOutcome::Cancelled);
    }
}

/// Guards against an overloaded zone with most of the clients while the hosts of another zone are
/// all new and stay empty.
#[test]
fn a_zone_whose_hosts_are_all_new_takes_clients_of_the_others() {
    let mut fleet = Fleet::new(100, |node| BalancerSettings {
        cross_zone_cost: 0.1,
        ..settings(node, 100)
    });
    fleet.update_endpoints(EndpointUpdate::Cached, &[host(1), host(2)]);
    fleet.new_clients(200);
    fleet.advance(10 * SECOND);
    let started = Some(fleet.now);
    let new = [7, 8, 9].map(|id| Endpoint {
        started,
        zone: 1,
        ..host(id)
    });
    fleet.update_endpoints(EndpointUpdate::Delta, &new);
    for step in 0..200 {
        fleet.new_client(step * 37 % 100);
        fleet.advance(50 * MILLI);
    }
    let placed = [7, 8, 9].map(|id| fleet.count_since(0, attempt_at(id)));
    let placed: usize = placed.iter().sum();
    assert!(
        placed >= 10,
        "{placed} of 200 clients placed at new hosts in ten seconds"
    );
}

/// Guards against the new hosts of a release in all zones staying nearly empty beside overloaded
/// ones because each gets only the few clients of its own zone. Also checks that no new host is
/// overloaded while a third of all clients reconnect at once, and when one of six zones has all
/// clients.
#[test]
fn new_hosts_of_a_release_are_given_clients_of_all_zones() {
    for zones in [6, 1] {
        check_release(zones);
    }
}

/// Checks a release that replaces half of the hosts in six zones, with clients in the first `zones`
/// of them.
fn check_release(zones: u64) {
    let zone = |n: u64| (n % 6) as u16;
    let mut fleet = Fleet::new(300, |node| BalancerSettings {
        zone: zone(u64::from(node) % zones),
        cross_zone_cost: 0.1,
        ..settings(node, 300)
    });
    let in_zone = |id| Endpoint {
        zone: zone(id),
        ..host(id)
    };
    let mut hosts: Vec<Endpoint> = (1..=60).map(in_zone).collect();
    fleet.update_endpoints(EndpointUpdate::Cached, &hosts);
    fleet.new_clients(1800);
    fleet.advance(10 * SECOND);
    for old in &mut hosts[30..] {
        old.state = HostState::Gone;
    }
    let started = Some(fleet.now);
    hosts.extend((61..=90).map(|id| Endpoint {
        started,
        ..in_zone(id)
    }));
    fleet.update_endpoints(EndpointUpdate::Delta, &hosts);
    let before = fleet.log.len();
    fleet.advance(9 * SECOND);
    let at_new_host = |a: &Action| matches!(a, Action::StartAttempt { host, .. } if host.0 > 60);
    let placed = fleet.count_since(before, at_new_host);
    assert!(
        placed >= 350,
        "{placed} of 1800 clients placed at the new half of the hosts after nine seconds"
    );
    for client in 0..600 {
        fleet.client_arrives(client % 300, key(client as u64 + 1));
    }
    let budget = overload_budget(9.0, 4.0 * 1800.0 / 60.0);
    let max = (61..=90)
        .map(|id| fleet.max_within(SECOND, attempt_at(id)))
        .max()
        .unwrap_or(0);
    assert!(
        max as f64 <= budget,
        "{zones} zones: {max} attempts at a host within one second, the budget is {budget:.1}"
    );
}

/// Guards against migrating clients to new hosts in fleets where these fill anyway: with load
/// reports, or with few nodes.
#[test]
fn no_client_is_migrated_if_hosts_report_load_or_nodes_are_few() {
    for (nodes, reported, migrates) in [(100, false, true), (100, true, false), (11, false, false)]
    {
        let mut fleet = Fleet::new(nodes as usize, |node| BalancerSettings {
            load_from_probes: reported,
            load_metrics: if reported {
                vec![LoadMetric::Load]
            } else {
                Vec::new()
            },
            ..settings(node, nodes)
        });
        fleet.update_endpoints(EndpointUpdate::Cached, &[host(1), host(2)]);
        fleet.new_clients(2 * nodes as usize);
        fleet.advance(5 * SECOND);
        let started = Some(fleet.now);
        let new = Endpoint { started, ..host(9) };
        fleet.update_endpoints(EndpointUpdate::Delta, &[new]);
        fleet.advance(15 * SECOND);
        let migrating = fleet.nodes_with(is_migration);
        assert_eq!(
            migrating > 0,
            migrates,
            "{nodes} nodes, load reports {reported}: {migrating} nodes migrated clients"
        );
    }
}

/// Guards against an extreme setting that crashes a node.
#[test]
fn an_overload_window_of_centuries_does_not_crash_a_node() {
    let mut fleet = Fleet::new(2, |node| BalancerSettings {
        overload_window: 9_000_000_000_000_000_000,
        ..settings(node, 100)
    });
    fleet.update_endpoints(EndpointUpdate::Cached, &[host(1)]);
    assert_eq!(fleet.new_client(0), Some(HostId(1)));
    let started = Some(fleet.now);
    let new = Endpoint { started, ..host(9) };
    fleet.update_endpoints(EndpointUpdate::Delta, &[new]);
    fleet.advance(SECOND);
}
