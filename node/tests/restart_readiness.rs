//! Restarts: nine in ten processes serve within ten seconds of their start, whether they start together or in two halves, beside a
//! slow discovery service.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{Hosts, InvariantChecker};
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 10;
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the configuration of a node that knows no host: one of 300, which have a minute to call the discovery service.
fn config_without_hosts(service: &Discovery, node: usize) -> Value {
    let mut node_config = node_config_of(Value::Null, service.address);
    node_config["known"] = Value::Null;
    node_config["name"] = json!(format!("n{node}"));
    let settings = &mut node_config["settings"];
    settings["balancers"] = json!(300);
    settings["index"] = json!(300 - NODES + node);
    settings["contract"]["ask_within"] = json!(60_000.0);
    node_config
}

/// Returns how long after `started` a client that retries every 20 ms is first served by this node, or `None` if that takes more than
/// twice the permitted time.
fn time_to_first_service(node: &Node, number: usize, started: Instant) -> Option<Duration> {
    for n in 0.. {
        if started.elapsed() > 2 * READY_TIMEOUT {
            return None;
        }
        let mut client = Peer::connect(node.address);
        client.send_line(&format!(
            "OPEN {:x} {n:x} c=chat,t=acme,d=2000",
            number << 20 | n
        ));
        if client.receive_line().starts_with("UP") {
            return Some(started.elapsed());
        }
        let answered_at = Instant::now();
        eventually("the time has passed", || {
            answered_at.elapsed() > Duration::from_millis(20)
        });
    }
    None
}

/// Guards against processes that wait for their turn to call the discovery service, or to call it again when it was too busy, for as
/// long as the settings allow, and that serve no client meanwhile.
#[test]
fn nine_in_ten_nodes_without_a_list_serve_within_ten_seconds_of_their_start() {
    for together in [true, false] {
        let (service, checker) = (Discovery::start(), InvariantChecker::default());
        let hosts = Hosts::start(4, &checker);
        (0..4).for_each(|host| service.change(hosts.member(host, "active")));
        // Each of the 300 nodes calls once in the minute that the settings give them. A slower service could not answer them all.
        service.limit_rate(5.0, Duration::from_millis(1000));
        let took: Vec<Option<Duration>> = thread::scope(|scope| {
            let start_node = |n: usize| {
                let (service, started) = (&service, Instant::now());
                scope.spawn(move || {
                    let node = Node::start(&config_without_hosts(service, n));
                    time_to_first_service(&node, n, started)
                })
            };
            if together {
                let threads: Vec<_> = (0..NODES).map(start_node).collect();
                threads
                    .into_iter()
                    .map(|each| each.join().unwrap())
                    .collect()
            } else {
                // The second half starts once the first half has served.
                let start_half = |from: usize| {
                    let threads: Vec<_> = (from..from + NODES / 2).map(start_node).collect();
                    threads
                        .into_iter()
                        .map(|each| each.join().unwrap())
                        .collect::<Vec<_>>()
                };
                [start_half(0), start_half(NODES / 2)].concat()
            }
        });
        let late = took
            .iter()
            .filter(|took| took.is_none_or(|took| took > READY_TIMEOUT))
            .count();
        assert!(late <= NODES / 10, "together {together}: {took:?}");
    }
}
