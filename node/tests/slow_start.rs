//! Twenty processes and one host in its slow start: together they send it no more than its quota and a statistical tolerance, also
//! while some of them are killed and started again.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{Clients, Hosts, InvariantChecker};
use reedferry_testkit::{Discovery, Node};
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NODES: usize = 20;
/// The number of warm hosts; the next host is the one in its slow start.
const WARM_HOSTS: usize = 3;
/// The number of open connections of each node.
const OPEN_CONNECTIONS: usize = 4;
/// The length of a host's warm-up.
const WARM_UP_SECONDS: f64 = 10.0;
/// The part of its full load that a host may be sent at its start.
const INITIAL_SHARE: f64 = 0.2;

fn node_config(service: &Discovery, members: Value, node: usize) -> Value {
    let mut node_config = node_config_of(members, service.address);
    node_config["name"] = json!(format!("n{node}"));
    let settings = &mut node_config["settings"];
    settings["balancers"] = json!(NODES);
    settings["index"] = json!(node);
    settings["offerings"][0]["name"] = json!("free");
    settings["contract"]["cold"] = json!(1000.0 * WARM_UP_SECONDS);
    settings["contract"]["cold_from"] = json!(INITIAL_SHARE);
    node_config
}

/// Guards against a host in its slow start that twenty processes together overload although each of them keeps to its own share.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one trial: its setup, its load and its checks"
)]
fn twenty_processes_keep_to_the_slow_start_quota_of_one_host() {
    let (service, checker) = (Discovery::start(), InvariantChecker::default());
    let hosts = Hosts::start(WARM_HOSTS + 1, &checker);
    let warm: Value = (0..WARM_HOSTS)
        .map(|host| hosts.member(host, "active"))
        .collect();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|n| Node::start(&node_config(&service, warm.clone(), n)))
        .collect();
    let mut long_clients: Vec<Clients> = Vec::new();
    for (n, node) in nodes.iter().enumerate() {
        let mut clients = Clients::new(vec![node.address], &checker, n as u64);
        clients.load(
            100.0,
            Duration::from_millis(10 * OPEN_CONNECTIONS as u64),
            &[0],
            Duration::from_secs(60),
        );
        long_clients.push(clients);
    }
    reedferry_testkit::eventually("the long connections are open", || {
        hosts.open_connections().iter().sum::<u32>() as usize >= NODES * OPEN_CONNECTIONS * 9 / 10
    });
    let mut new = hosts.member(WARM_HOSTS, "active");
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    new["up_since_ms"] = json!(started.as_millis() as u64);
    let start = Instant::now();
    service.change(new.clone());
    // Short connections arrive continuously, more at some nodes than at others. Each second two nodes are killed and started again.
    let mut listed: Vec<Value> = warm.as_array().unwrap().clone();
    listed.push(new);
    for round in 0..6 {
        thread::scope(|scope| {
            for (n, node) in nodes.iter().enumerate() {
                let (address, checker) = (node.address, &checker);
                let rate = if n % 5 == round % 5 { 8.0 } else { 2.0 };
                scope.spawn(move || {
                    let mut clients =
                        Clients::new(vec![address], checker, (1000 + round * NODES + n) as u64);
                    clients.load(
                        rate,
                        Duration::from_secs(1),
                        &[0],
                        Duration::from_millis(100),
                    );
                    clients.end();
                });
            }
        });
        for n in [2 * round, 2 * round + 1] {
            nodes[n].kill();
            nodes[n] = Node::start(&node_config(&service, json!(listed), n));
        }
    }
    let mut times: Vec<Instant> = checker
        .reached()
        .iter()
        .filter(|attempt| attempt.host == WARM_HOSTS)
        .map(|attempt| attempt.at)
        .collect();
    times.sort();
    assert!(
        times.len() >= 5,
        "the new host was left idle: {}",
        times.len()
    );
    for (n, first) in times.iter().enumerate() {
        let arrived = times[n..]
            .iter()
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count() as f64;
        let age = (first.saturating_duration_since(start).as_secs_f64() + 1.0).min(WARM_UP_SECONDS);
        // The fleet's connections at a warm host count as a quarter of what it can sustain.
        let capacity = 4.0 * (NODES * OPEN_CONNECTIONS) as f64 / WARM_HOSTS as f64;
        let budget =
            3.0 * (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age / WARM_UP_SECONDS) * capacity
                / WARM_UP_SECONDS;
        let limit = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            arrived <= limit,
            "{arrived} of {budget:.1} in a second, {age:.1} s after the start"
        );
    }
}
