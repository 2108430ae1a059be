//! How long a node waits for a set-up before it tries another host. A slow session store that all
//! set-ups share delays all of them, and retries increase its load.

use crate::node::{completed, endpoint, Node, START};
use reedferry::*;

const LATENCY_OBJECTIVE: Nanos = 300 * MILLI;
const REQUEST_TIMEOUT: Nanos = 3 * SECOND;
const HOSTS: u64 = 20;

/// Starts one node of a large fleet.
fn start(load_from_probes: bool) -> Node {
    let class = RequestClass {
        latency_objective: LATENCY_OBJECTIVE,
        ..RequestClass::default()
    };
    let settings = BalancerSettings {
        node_count: 300,
        classes: vec![class],
        max_attempts: 3,
        max_request_timeout: REQUEST_TIMEOUT,
        max_retry_after: SECOND,
        load_from_probes,
        ..BalancerSettings::default()
    };
    let endpoints = (1..=HOSTS).map(|id| endpoint(HostId(id))).collect();
    Node::start(settings, endpoints)
}

/// Returns the set-up timeout of a request that arrives at `time`. The set-up succeeds and the
/// client leaves.
fn setup_timeout(node: &mut Node, time: Nanos) -> Nanos {
    node.now = time;
    let incoming = node.new_request(REQUEST_TIMEOUT);
    let id = incoming.id;
    let actions = node.handle(Event::RequestArrived(incoming));
    let attempt = actions.iter().find_map(|action| match action {
        Action::StartAttempt { until, host, .. } => Some((until - time, *host)),
        _ => None,
    });
    let (timeout, host) = attempt.expect("the request is sent to a host");
    node.now += MILLI;
    let took = MILLI;
    node.handle(Event::ConnectionEstablished { id, took });
    node.handle(completed(id, host));
    timeout
}

/// Guards against each request asking a slow session store three times, because nodes that see few
/// set-ups do not notice that all of them are late.
#[test]
fn a_node_that_sees_few_set_ups_waits_long_before_it_tries_another_host() {
    for (probes, least) in [
        (true, 5 * LATENCY_OBJECTIVE),
        (false, 8 * LATENCY_OBJECTIVE),
    ] {
        let mut node = start(probes);
        for second in 1..5 {
            let timeout = setup_timeout(&mut node, START + second * SECOND);
            assert!(
                timeout >= least && timeout < REQUEST_TIMEOUT,
                "timeout of {timeout} ns with load_from_probes={probes}"
            );
        }
    }
}

/// Guards against requests that wait long at a hanging host although many other set-ups show that
/// the store is quick.
#[test]
fn a_node_that_sees_many_set_ups_soon_tries_another_host() {
    for probes in [true, false] {
        let mut node = start(probes);
        let timeouts: Vec<Nanos> = (0..400)
            .map(|n| setup_timeout(&mut node, START + SECOND + n * 5 * MILLI))
            .collect();
        assert!(
            timeouts[399] < 2 * LATENCY_OBJECTIVE,
            "timeout of {} ns with load_from_probes={probes}",
            timeouts[399]
        );
    }
}
