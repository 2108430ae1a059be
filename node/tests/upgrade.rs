//! An older and a newer build work together in both orders: each replaces the other with open connections, they share a
//! fleet view and keep request records for each other, and they are forwarder and planner of one control plane.
//!
//! `REEDFERRY_PREVIOUS` names the program of the older build; without it both are the build under test.

use reedferry_testkit::fleet::{one_test_at_a_time, Fleet, FleetOptions, WarmingHosts};
use reedferry_testkit::fleet_view::FleetView;
use reedferry_testkit::network::FaultyNetwork;
use reedferry_testkit::program::{folder, listener, node_config_of, path};
use reedferry_testkit::{eventually, node_config, Discovery, Hosts, Node, Peer, OPEN};
use serde_json::json;
use std::collections::HashMap;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The gossip period.
const PERIOD: Duration = Duration::from_millis(100);
/// How long request records are kept.
const RECORD_LIFETIME: Duration = Duration::from_secs(2);

/// Returns the program of the older build.
fn previous_build() -> PathBuf {
    std::env::var_os("REEDFERRY_PREVIOUS").map_or_else(path, PathBuf::from)
}

/// Returns the two builds in both orders.
fn both_ways() -> [(PathBuf, PathBuf); 2] {
    [(previous_build(), path()), (path(), previous_build())]
}

#[test]
fn open_connections_survive_an_upgrade_and_a_rollback() {
    for (older, newer) in both_ways() {
        let (hosts, discovery) = (Hosts::start(3), Discovery::start());
        let mut config = node_config(&hosts, discovery.address);
        config["ops"] = json!("127.0.0.1:0");
        let (listener, folder) = (listener(), folder());
        let start = |program: &PathBuf| {
            let mut node = Node::start_build_at(program, &config, &listener, &folder);
            node.address = listener.local_addr().unwrap();
            eventually("the node is ready", || node.call("GET /status").0 == 200);
            node
        };
        let mut predecessor = start(&older);
        let mut open: Vec<_> = (0..20).map(|_| predecessor.served(&hosts)).collect();
        for (client, _, host) in &mut open {
            client.write("ha");
            host.write("do");
        }
        let successor = start(&newer);
        predecessor.stop();
        assert!(predecessor.wait().success());
        for (client, _, host) in &mut open {
            client.write("lf\r\n");
            host.write("wn\r\n");
            host.expect_line("half");
            client.expect_line("down");
        }
        assert_eq!(successor.metric("in_flight"), 20);
        _ = std::fs::remove_dir_all(&folder);
    }
}

/// Starts a fleet with a view, in which nodes of the two builds alternate: those with an odd number are of the older build.
fn mixed_fleet(
    nodes: usize,
    service: &Discovery,
    known: &[serde_json::Value],
    build: impl Fn(Fleet) -> Fleet,
) -> Fleet {
    let options = FleetOptions {
        warm_capacity: 1e6,
        ..FleetOptions::TRIAL
    };
    let fleet_view = FleetView {
        network: FaultyNetwork::new(nodes, 1),
        period: PERIOD,
        seeds: vec![0, 1],
    };
    let mut fleet = build(Fleet::new(nodes, service.address, options).with_view(fleet_view));
    let (even, odd): (Vec<usize>, Vec<usize>) = (0..nodes).partition(|node| node % 2 == 0);
    fleet.start(&even, known, 1);
    fleet = fleet.with_program(previous_build());
    fleet.start(&odd, known, 1);
    assert!(
        fleet.agrees_within(PERIOD * 60).is_some(),
        "views differ: {:?}",
        fleet.views()
    );
    fleet
}

#[test]
fn nodes_of_two_builds_share_a_fleet_view() {
    let _turn = one_test_at_a_time();
    let service = Discovery::start();
    let mut fleet = mixed_fleet(6, &service, &[], |fleet| fleet);
    for node in [0, 1] {
        fleet.kill(node, Duration::ZERO);
        assert!(
            fleet.agrees_within(PERIOD * 60).is_some(),
            "views differ after a node was killed: {:?}",
            fleet.views()
        );
    }
}

/// The number of request lines of each key that reached a host.
type LineCounts = Arc<Mutex<HashMap<String, usize>>>;

/// Starts a host that counts request lines and answers none. Returns its entry of the endpoint list and the counts.
fn start_counting_host() -> (serde_json::Value, LineCounts) {
    let host = TcpListener::bind("127.0.0.1:0").unwrap();
    let member = json!({"id": "s-0", "host_port": host.local_addr().unwrap().to_string(), "locality": "a",
        "flavor": "m", "cell": 0, "phase": "active", "size": 1.0, "up_since_ms": 0});
    let line_counts = LineCounts::default();
    let counts = line_counts.clone();
    thread::spawn(move || {
        for stream in host.incoming().flatten() {
            let counts = counts.clone();
            thread::spawn(move || {
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let key = line.split(' ').nth(1).unwrap_or("").to_string();
                    *counts.lock().unwrap().entry(key).or_default() += 1;
                }
            });
        }
    });
    (member, line_counts)
}

/// Guards against requests that are not idempotent and that are sent again when their node dies, whichever build the node and the
/// replicas are of.
#[test]
fn nodes_of_two_builds_keep_request_records_for_each_other() {
    let _turn = one_test_at_a_time();
    let (member, line_counts) = start_counting_host();
    let service = Discovery::start();
    service.change(member.clone());
    let mut fleet = mixed_fleet(6, &service, &[member], |fleet| {
        fleet.with_effect("single_shot", Some(RECORD_LIFETIME))
    });
    // A replica does not vote until a record's lifetime has passed since its start.
    thread::sleep(RECORD_LIFETIME + PERIOD);
    let request = |fleet: &Fleet, node: usize, key: usize| {
        let mut client = Peer::connect(fleet.nodes[node].as_ref().unwrap().address);
        client.send_line(&format!("OPEN {key:x} {key:x} c=chat,t=acme,d=2000"));
        client
    };
    let sent = |key: usize| {
        line_counts
            .lock()
            .unwrap()
            .get(&format!("{key:x}"))
            .copied()
    };
    let keys = 0x1000..0x1014_usize;
    let waiting: Vec<Peer> = keys
        .clone()
        .map(|key| request(&fleet, key % 2, key))
        .collect();
    eventually("each request is sent once", || {
        keys.clone().all(|key| sent(key) == Some(1))
    });
    fleet.kill(0, Duration::ZERO);
    fleet.kill(1, Duration::ZERO);
    for key in keys.clone() {
        let answer = request(&fleet, 2 + key % 4, key).receive_line();
        assert!(
            answer.starts_with("ERR") || answer.starts_with("BUSY"),
            "{key:x}: {answer}"
        );
    }
    assert!(keys.clone().all(|key| sent(key) == Some(1)));
    let taken_over = |node| {
        let status = fleet.status(node).unwrap();
        status["wards"]["taken_over"].as_u64().unwrap()
    };
    // Requests two of whose replicas were on the killed nodes are rejected until these replicas vote again. The others are taken
    // over by nodes of both builds.
    for (build, nodes) in [("this build", [2, 4]), ("the previous build", [3, 5])] {
        assert!(
            nodes.into_iter().map(taken_over).sum::<u64>() > 0,
            "{build}"
        );
    }
    drop(waiting);
}

#[test]
fn a_forwarder_and_a_planner_of_two_builds_work_together() {
    for (forwarder, planner) in both_ways() {
        let (hosts, service) = (WarmingHosts::new(FleetOptions::TRIAL), Discovery::start());
        let members = hosts.members(hosts.start(2, false));
        members
            .iter()
            .for_each(|member| service.change(member.clone()));
        let mut config = node_config_of(json!(members), service.address);
        config["settings"]["policy_limits"]["may_probe"] = json!(false);
        let listed = |address| format!("[[planner]]\nname = \"p0\"\naddress = \"{address}\"\n");
        let text = format!(
            "papers = \"PAPERS\"\n[plan]\nname = \"p0\"\nlisten = \"127.0.0.1:0\"\n{}",
            listed("127.0.0.1:1".to_string())
        );
        let planner = Node::start_build_as(&planner, "plan", &text, &config);
        let text = format!(
            "papers = \"PAPERS\"\n[forward]\nlease = \"250ms\"\n{}",
            listed(planner.address.to_string())
        );
        let forwarder = Node::start_build_as(&forwarder, "forward", &text, &config);
        let mut open = Vec::new();
        // The forwarder rejects clients until the planner has answered.
        eventually("twenty clients are served", || {
            let mut client = forwarder.open(OPEN);
            if client.receive_line().starts_with("UP") {
                open.push(client);
            }
            open.len() == 20
        });
        for client in &mut open {
            client.send_line("echo");
            client.expect_line("echo");
        }
    }
}
