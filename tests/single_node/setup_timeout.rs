//! How long a node waits for a set-up before it tries another host: a store that all set-ups share
//! is late for all of them, and trying again makes that worse.

use crate::node::{completed, endpoint, Node, START};
use reedferry::*;

const LATENCY_OBJECTIVE: Nanos = 300 * MILLI;
const REQUEST_TIMEOUT: Nanos = 3 * SECOND;
const HOSTS: u64 = 20;

/// One node of a fleet.
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

/// How long the set-up of a request that arrives at `time` is waited for; it succeeds, and the
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
    let (timeout, host) = attempt.expect("it is sent to a host");
    node.now += MILLI;
    let took = MILLI;
    node.handle(Event::ConnectionEstablished { id, took });
    node.handle(completed(id, host));
    timeout
}

/// Prevents a store that is late for all from being asked three times over for each request by
/// nodes that see too few set-ups to notice that all are late.
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
                "{timeout} ns with probes {probes}"
            );
        }
    }
}

/// Prevents requests from waiting long at a host that hangs, by a node that sees from many others
/// that set-ups are quick.
#[test]
fn a_node_that_sees_many_set_ups_soon_tries_another_host() {
    for probes in [true, false] {
        let mut node = start(probes);
        let timeouts: Vec<Nanos> = (0..400)
            .map(|n| setup_timeout(&mut node, START + SECOND + n * 5 * MILLI))
            .collect();
        assert!(
            timeouts[399] < 2 * LATENCY_OBJECTIVE,
            "{} ns with probes {probes}",
            timeouts[399]
        );
    }
}
