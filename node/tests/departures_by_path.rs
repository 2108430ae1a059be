//! Clients that close their connection with much still unread, at each path on which clients' bytes come in: a single node,
//! a forwarder, the two processes of an upgrade, a node with request records. None of their requests goes on.

use reedferry_testkit::fleet::{Fleet, FleetOptions};
use reedferry_testkit::fleet_view::FleetView;
use reedferry_testkit::network::FaultyNetwork;
use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{HostBehavior, Hosts, InvariantChecker};
use reedferry_testkit::two_tier_cluster::TwoTierCluster;
use reedferry_testkit::{eventually, folder, listener, Discovery, Node, Peer};
use serde_json::json;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The number of clients that leave.
const DEPARTED: usize = 60;
const REQUEST: &str = "7f3a c=CLASS,t=acme,d=2000";

/// Runs the tests one at a time, as they suspend processes.
fn one_test_at_a_time() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns what client `number` sends behind its first line.
fn unread_bytes(number: usize) -> Vec<u8> {
    match number % 4 {
        0 => Vec::new(),
        1 => vec![b'x'; 3000],
        2 => format!("OPEN gone-too-{number} {REQUEST}\r\n")
            .repeat(3)
            .into_bytes(),
        _ => vec![b'x'; 256 << 10],
    }
}

/// Sends a request and more behind it, and closes or resets the connection.
fn request_and_leave(address: SocketAddr, class: &str, number: usize) {
    let mut client = Peer::connect(address);
    client.send_line(&format!("OPEN gone-{number} {REQUEST}").replace("CLASS", class));
    client.stream.set_nonblocking(true).unwrap();
    _ = client.stream.write(&unread_bytes(number));
    if number % 8 < 4 {
        client.reset();
    }
}

/// Has clients leave while the processes are suspended, and checks that none of their requests reaches a host, and that
/// one of a client that stayed does.
fn assert_departed_get_no_attempt(
    path: &str,
    address: SocketAddr,
    class: &str,
    nodes: &[&Node],
    checker: &InvariantChecker,
) {
    eventually("no request is served", || {
        let mut client = Peer::connect(address);
        client.send_line(&format!("OPEN first {REQUEST}").replace("CLASS", class));
        client.receive_line().starts_with("UP")
            || checker.reached().iter().any(|one| one.name == "first")
    });
    nodes.iter().for_each(|node| node.suspend());
    (0..DEPARTED).for_each(|number| request_and_leave(address, class, number));
    let mut remaining = Peer::connect(address);
    remaining.send_line(&format!("OPEN stayed {REQUEST}").replace("CLASS", class));
    nodes.iter().for_each(|node| node.unsuspend());
    assert!(remaining.receive_line().starts_with("UP"), "{path}");
    // All that was sent before has been read once each process answers a client that came later.
    for _ in 0..20 {
        let mut later = Peer::connect(address);
        later.send_line("PING");
        later.expect_line("PONG");
    }
    let reached = checker.reached();
    let departed: Vec<_> = reached
        .iter()
        .filter(|one| one.name.starts_with("gone"))
        .collect();
    println!(
        "{path}: {} of {DEPARTED} requests of clients that had left went on",
        departed.len()
    );
    assert!(departed.is_empty(), "{path}: {departed:?}");
}

#[test]
fn requests_of_clients_that_left_do_not_go_on_at_a_node_and_both_processes_of_an_upgrade() {
    let _guard = one_test_at_a_time();
    let (checker, discovery) = (InvariantChecker::default(), Discovery::start());
    let hosts = Hosts::start(2, &checker);
    let mut config = node_config_of(hosts.members(), discovery.address);
    config["limits"]["sockets"] = json!(1024);
    config["ops"] = json!("127.0.0.1:0");
    let node = Node::start(&config);
    assert_departed_get_no_attempt("single node", node.address, "chat", &[&node], &checker);
    let (listener, folder) = (listener(), folder());
    let start = || {
        let node = Node::start_at(&config, &listener, &folder);
        eventually("the node is ready", || node.call("GET /status").0 == 200);
        node
    };
    let (predecessor, successor) = (start(), start());
    let address = listener.local_addr().unwrap();
    let nodes = [&predecessor, &successor];
    assert_departed_get_no_attempt("both processes", address, "chat", &nodes, &checker);
    _ = std::fs::remove_dir_all(&folder);
}

#[test]
fn requests_of_clients_that_left_do_not_go_on_at_a_forwarder() {
    let _guard = one_test_at_a_time();
    let cluster = TwoTierCluster::start(1, 1, 2, 21);
    let forwarder = &cluster.forwarders[0];
    assert_departed_get_no_attempt(
        "forwarder",
        forwarder.address,
        "once",
        &[forwarder],
        &cluster.checker,
    );
}

#[test]
fn requests_of_clients_that_left_do_not_go_on_at_a_node_with_request_records() {
    const PERIOD: Duration = Duration::from_millis(100);
    let _guard = one_test_at_a_time();
    let (checker, discovery) = (InvariantChecker::default(), Discovery::start());
    let hosts = Hosts::start(2, &checker);
    let members: Vec<_> = (0..2).map(|host| hosts.member(host, "active")).collect();
    members
        .iter()
        .for_each(|member| discovery.change(member.clone()));
    let options = FleetOptions {
        warm_capacity: 1e6,
        ..FleetOptions::TRIAL
    };
    let fleet_view = FleetView {
        network: FaultyNetwork::new(3, 1),
        period: PERIOD,
        seeds: vec![0, 1],
    };
    let mut fleet = Fleet::new(3, discovery.address, options)
        .with_view(fleet_view)
        .with_effect("single_shot", Some(Duration::from_secs(1)));
    fleet.start(&[0, 1, 2], &members, 1);
    assert!(fleet.agrees_within(PERIOD * 60).is_some());
    let node = fleet.nodes[0].as_ref().unwrap();
    assert_departed_get_no_attempt("request records", node.address, "chat", &[node], &checker);
    assert_repeated_id_is_not_sent_again(node, &hosts, &checker);
}

/// Has a client leave a node whose hosts say nothing, and checks that its request is not sent again when its id comes
/// again.
fn assert_repeated_id_is_not_sent_again(node: &Node, hosts: &Hosts, checker: &InvariantChecker) {
    (0..2).for_each(|host| hosts.set_behavior(host, HostBehavior::Silent));
    let line = format!("OPEN again {REQUEST}")
        .replace("CLASS", "chat")
        .replace("7f3a", "7f3b");
    let attempts = || {
        let reached = checker.reached();
        reached.iter().filter(|one| one.name == "again").count()
    };
    let mut client = Peer::connect(node.address);
    client.send_line(&line);
    eventually("the request reaches no host", || attempts() == 1);
    drop(client);
    for suffix in ["", ",again=1", ",r=1"] {
        let mut client = Peer::connect(node.address);
        client.send_line(&format!("{line}{suffix}"));
        client.expect_line("ERR");
    }
    assert_eq!(attempts(), 1);
}
