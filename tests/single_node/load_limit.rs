//! A host whose messages came late once: it is limited for that once, and gets its share again when
//! it is well.

use crate::node::{endpoint, Node};
use reedferry::*;

const HOSTS: [HostId; 3] = [HostId(1), HostId(2), HostId(3)];
const ONCE_LATE: HostId = HOSTS[2];
const LATENCY_OBJECTIVE: Nanos = 100 * MILLI;
const LATE: Nanos = 63 * MILLI;
/// Messages count as late for no longer than this after the last that was.
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

/// All but so many of the host's connections end.
fn end_all_but(node: &mut Node, left: usize) {
    for id in node.connections_at(ONCE_LATE).into_iter().skip(left) {
        node.end(id);
    }
}

/// Prevents a host from being limited a second time for the same late message when its clients have
/// left, to next to nothing, and kept nearly empty for long after it is well.
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
        "not limited, or by much: {limited}"
    );
    end_all_but(&mut node, 0);
    node.advance(LATE_FOR);
    node.connect(16);
    let open = node.connections_at(ONCE_LATE).len();
    assert!(
        open >= 12,
        "{open} of 16 at a host that is well and holds nothing, beside two with 20 each"
    );
}

/// Prevents the one connection of a nearly empty host that was late once from being taken for all
/// that the host bears.
#[test]
fn a_nearly_empty_host_is_not_limited_to_the_little_that_it_has() {
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
            "with {left} before: {open} of 16 at a host that is well, beside two with 20 each"
        );
    }
}
