//! Twenty processes and one host in its slow start: the sum of all sends it no more than its quota and chance, with some of them
//! killed and started again meanwhile.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{Clients, Hosts, InvariantChecker};
use reedferry_testkit::{Discovery, Node};
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const NODES: usize = 20;
const WARM: usize = 3;
/// Connections that stand at each node, and the seconds in which a host that has started gets warm.
const OPEN_CONNECTIONS: usize = 4;
const WARM_UP_SECONDS: f64 = 10.0;
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

/// Prevents that a host in its slow start is overloaded by the sum of twenty processes, each of which keeps to its own share.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one trial: its start, its load and what was measured"
)]
fn twenty_processes_keep_to_the_slow_start_quota_of_one_host() {
    let (service, checker) = (Discovery::start(), InvariantChecker::default());
    let hosts = Hosts::start(WARM + 1, &checker);
    let warm: Value = (0..WARM).map(|host| hosts.member(host, "active")).collect();
    let mut nodes: Vec<Node> = (0..NODES)
        .map(|n| Node::start(&node_config(&service, warm.clone(), n)))
        .collect();
    let mut standing: Vec<Clients> = Vec::new();
    for (n, node) in nodes.iter().enumerate() {
        let mut clients = Clients::new(vec![node.address], &checker, n as u64);
        clients.load(
            100.0,
            Duration::from_millis(10 * OPEN_CONNECTIONS as u64),
            &[0],
            Duration::from_secs(60),
        );
        standing.push(clients);
    }
    reedferry_testkit::eventually("they do not stand", || {
        hosts.open_connections().iter().sum::<u32>() as usize >= NODES * OPEN_CONNECTIONS * 9 / 10
    });
    let mut new = hosts.member(WARM, "active");
    let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    new["up_since_ms"] = json!(started.as_millis() as u64);
    let start = Instant::now();
    service.change(new.clone());
    // Short ones come all the time, more at some nodes than at others; each second two nodes are killed and started anew.
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
        .filter(|one| one.host == WARM)
        .map(|one| one.at)
        .collect();
    times.sort();
    assert!(times.len() >= 5, "left idle: {}", times.len());
    for (n, first) in times.iter().enumerate() {
        let came = times[n..]
            .iter()
            .take_while(|at| **at < *first + Duration::from_secs(1))
            .count() as f64;
        let age = (first.saturating_duration_since(start).as_secs_f64() + 1.0).min(WARM_UP_SECONDS);
        // What the fleet holds at warm hosts of its size is taken for a quarter of what one bears.
        let bears = 4.0 * (NODES * OPEN_CONNECTIONS) as f64 / WARM as f64;
        let budget = 3.0 * (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * age / WARM_UP_SECONDS) * bears
            / WARM_UP_SECONDS;
        let most = budget + 2.0 * budget.sqrt() + 2.0;
        assert!(
            came <= most,
            "{came} of {budget:.1} in a second, {age:.1} s after the start"
        );
    }
}
