//! The load limit of a host that delivered one message late: the host is limited once for it, and
//! gets its share again when it is healthy.

use crate::node::{endpoint, Node};
use reedferry::*;

const HOSTS: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const ONCE_LATE: HostId = HOSTS[2];
const LATENCY_OBJECTIVE: Nanos = 100 * MILLI;
const LATE: Nanos = 63 * MILLI;
/// How long messages count as late after the last late one.
const LATE_FOR: Nanos = 3 * SECOND;

fn start() -> Node {
    let class = RequestClass {
        latency_objective: SECOND,
        message_latency_objective: LATENCY_OBJECTIVE,
        ..RequestClass::default()
    };
    let settings = BalancerSettings {
        node_count: 1,
        classes: vec![class],
        max_attempts: 3,
        max_request_timeout: 2 * SECOND,
        max_retry_after: SECOND,
        ..BalancerSettings::default()
    };
    Node::start(settings, HOSTS.map(endpoint).to_vec())
}

fn report_late_message(node: &mut Node) {
    node.handle_and_execute(Event::MessageLatency {
        host: ONCE_LATE,
        latency: LATE,
    });
}

/// Ends all connections at the host but the given number.
fn end_all_but(node: &mut Node, left: usize) {
    for id in node.connections_at(ONCE_LATE).into_iter().skip(left) {
        node.end(id);
    }
}

/// Guards against a second limit for the same late message once the clients of the host have left.
/// It would be next to 0 and keep the host nearly empty long after it is healthy.
#[test]
fn a_host_is_limited_once_for_one_late_message() {
    let mut node = start();
    node.connect(60);
    assert_eq!(node.connections_at(ONCE_LATE).len(), 20);
    report_late_message(&mut node);
    node.advance(SECOND);
    let limited = node.connections_at(ONCE_LATE).len();
    assert!(
        (16..20).contains(&limited),
        "{limited} of 20 connections are left: not limited, or limited too far"
    );
    end_all_but(&mut node, 0);
    node.advance(LATE_FOR);
    node.connect(16);
    let open = node.connections_at(ONCE_LATE).len();
    assert!(
        open >= 12,
        "{open} of 16 clients at a healthy host without connections, beside two with 20 each"
    );
}

/// Guards against a late message at a nearly empty host being taken as a sign that its one
/// connection is all that it can sustain.
#[test]
fn a_nearly_empty_host_is_not_limited_to_its_few_connections() {
    for left in [0, 1] {
        let mut node = start();
        node.connect(60);
        end_all_but(&mut node, left);
        report_late_message(&mut node);
        node.advance(LATE_FOR);
        node.connect(16);
        let open = node.connections_at(ONCE_LATE).len();
        assert!(
            open >= 12,
            "with {left} left: {open} of 16 clients at a healthy host, beside two with 20 each"
        );
    }
}
