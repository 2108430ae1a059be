//! How a node of a large fleet handles requests that have less time left than a set-up takes while
//! the session store that all set-ups share is slow.

use crate::node::{completed, endpoint, Node, START};
use reedferry::*;

const HOSTS: u64 = 20;
const SHORT_TIMEOUT: Nanos = 1800 * MILLI;
const LONG_TIMEOUT: Nanos = 3000 * MILLI;
/// The set-up time of the slow store, which is longer than the short timeout.
const SLOW_SETUP: Nanos = 2200 * MILLI;
const QUICK_SETUP: Nanos = 20 * MILLI;

/// Starts one node of a fleet with the given number of nodes.
fn start(node_count: u32) -> Node {
    let class = RequestClass {
        latency_objective: 300 * MILLI,
        ..RequestClass::default()
    };
    let settings = BalancerSettings {
        node_count,
        classes: vec![class],
        max_attempts: 3,
        max_request_timeout: LONG_TIMEOUT,
        max_retry_after: SECOND,
        ..BalancerSettings::default()
    };
    let endpoints = (1..=HOSTS).map(|id| endpoint(HostId(id))).collect();
    let mut node = Node::start(settings, endpoints);
    node.now = START + SECOND;
    node
}

/// Lets a request with this time left arrive; returns its id, its host if it was sent to one, and
/// the actions.
fn request(node: &mut Node, timeout: Nanos) -> (RequestId, Option<HostId>, Vec<Action>) {
    let incoming = node.new_request(timeout);
    let actions = node.handle(Event::RequestArrived(incoming));
    let host = actions.iter().find_map(|action| match action {
        Action::StartAttempt { host, .. } => Some(*host),
        _ => None,
    });
    (incoming.id, host, actions)
}

/// Completes a request whose set-up takes the given time and whose client then leaves; returns its
/// host.
fn complete_setup(node: &mut Node, took: Nanos) -> HostId {
    let (id, host, _) = request(node, LONG_TIMEOUT);
    let host = host.expect("the request is sent to a host");
    node.now += took;
    node.handle(Event::ConnectionEstablished { id, took });
    node.handle(completed(id, host));
    host
}

/// Completes set-ups that take the given time, until at least two hosts have had one.
fn complete_setups_at_several_hosts(node: &mut Node, took: Nanos) {
    let first = complete_setup(node, took);
    while complete_setup(node, took) == first {}
}

/// Guards against a class with a short deadline that gets nothing from a slow store and takes the
/// store's time from the other classes.
#[test]
fn requests_that_a_slow_store_cannot_set_up_in_time_are_rejected_at_once() {
    let mut node = start(300);
    complete_setups_at_several_hosts(&mut node, SLOW_SETUP);
    let (_, host, actions) = request(&mut node, SHORT_TIMEOUT);
    assert_eq!(host, None, "{actions:?}");
    let rejected = |action: &Action| matches!(action, Action::Reject { .. });
    assert!(actions.iter().any(rejected), "{actions:?}");
    let (_, host, _) = request(&mut node, LONG_TIMEOUT);
    assert!(host.is_some());
}

/// Guards against a class that is rejected forever because no set-up shows that the store is quick
/// again.
#[test]
fn rejected_requests_are_tried_again_later_and_served_once_set_ups_are_quick() {
    let mut node = start(300);
    complete_setups_at_several_hosts(&mut node, SLOW_SETUP);
    assert_eq!(request(&mut node, SHORT_TIMEOUT).1, None);
    node.now += 2 * SECOND;
    assert!(request(&mut node, SHORT_TIMEOUT).1.is_some());
    assert_eq!(request(&mut node, SHORT_TIMEOUT).1, None);
    complete_setup(&mut node, QUICK_SETUP);
    assert!(request(&mut node, SHORT_TIMEOUT).1.is_some());
}

/// Guards against rejections because of one hanging host, and in a small fleet, which sees enough
/// set-ups to wait for each.
#[test]
fn one_slow_host_or_a_small_fleet_rejects_nothing() {
    let mut node = start(300);
    complete_setup(&mut node, SLOW_SETUP);
    assert!(request(&mut node, SHORT_TIMEOUT).1.is_some());
    let mut node = start(3);
    complete_setups_at_several_hosts(&mut node, SLOW_SETUP);
    assert!(request(&mut node, SHORT_TIMEOUT).1.is_some());
}

/// Guards against ignoring timed-out set-ups: the next request of the class has slightly more time
/// left than the one that timed out and would always seem to have enough.
#[test]
fn timed_out_set_ups_count_as_longer_than_their_timeout() {
    let mut node = start(300);
    let mut hosts = Vec::new();
    while hosts.len() < 2 {
        let (id, host, _) = request(&mut node, SHORT_TIMEOUT - MILLI);
        let host = host.expect("the request is sent to a host");
        node.now += SHORT_TIMEOUT - MILLI;
        node.handle(Event::AttemptEnded {
            id,
            attempt: 0,
            host,
            request_over: false,
            ending: AttemptOutcome::TimedOut,
            load_metrics: Vec::new(),
        });
        hosts.push(host);
    }
    assert_ne!(hosts[0], hosts[1]);
    assert_eq!(request(&mut node, SHORT_TIMEOUT).1, None);
    assert!(request(&mut node, LONG_TIMEOUT).1.is_some());
}
