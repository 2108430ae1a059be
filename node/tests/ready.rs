//! Restarts: nine in ten processes serve within ten seconds of their start, in turn and together, under load, beside a list
//! service that is slow.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{Hosts, InvariantChecker};
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 10;
const WITHIN: Duration = Duration::from_secs(10);

/// One of hundreds, by settings that leave a node a minute to ask, which knows no host.
fn fresh(service: &Discovery, node: usize) -> Value {
    let mut node_config = node_config_of(Value::Null, service.address);
    node_config["known"] = Value::Null;
    node_config["name"] = json!(format!("n{node}"));
    let settings = &mut node_config["settings"];
    settings["balancers"] = json!(300);
    settings["index"] = json!(300 - NODES + node);
    settings["contract"]["ask_within"] = json!(60_000.0);
    node_config
}

/// How long after this a client that comes again and again is first served there.
fn serves(node: &Node, named: usize, started: Instant) -> Option<Duration> {
    for n in 0.. {
        if started.elapsed() > 2 * WITHIN {
            return None;
        }
        let mut client = Peer::connect(node.address);
        client.say(&format!(
            "OPEN {:x} {n:x} c=chat,t=acme,d=2000",
            named << 20 | n
        ));
        if client.hear().starts_with("UP") {
            return Some(started.elapsed());
        }
        let asked = Instant::now();
        eventually("no time passes", || {
            asked.elapsed() > Duration::from_millis(20)
        });
    }
    None
}

/// Guards: processes that wait for their turn at the list service, or again after it was too busy, for as long as settings
/// allow, and are of no use meanwhile.
#[test]
fn nine_in_ten_that_know_nothing_serve_within_ten_seconds_beside_a_slow_service() {
    for together in [true, false] {
        let (service, checker) = (Discovery::start(), InvariantChecker::default());
        let hosts = Hosts::start(4, &checker);
        (0..4).for_each(|host| service.change(hosts.member(host, "active")));
        // A call of each of the three hundred in the minute that the settings leave them: no slower one keeps its terms.
        service.bound(5.0, Duration::from_millis(1000));
        let took: Vec<Option<Duration>> = thread::scope(|scope| {
            let one = |n: usize| {
                let (service, started) = (&service, Instant::now());
                scope.spawn(move || {
                    let node = Node::start(&fresh(service, n));
                    serves(&node, n, started)
                })
            };
            if together {
                let all: Vec<_> = (0..NODES).map(one).collect();
                all.into_iter().map(|each| each.join().unwrap()).collect()
            } else {
                // The one half, and then the other.
                let half = |from: usize| {
                    let all: Vec<_> = (from..from + NODES / 2).map(one).collect();
                    all.into_iter()
                        .map(|each| each.join().unwrap())
                        .collect::<Vec<_>>()
                };
                [half(0), half(NODES / 2)].concat()
            }
        });
        let late = took
            .iter()
            .filter(|took| took.is_none_or(|took| took > WITHIN))
            .count();
        assert!(late <= NODES / 10, "together {together}: {took:?}");
    }
}
