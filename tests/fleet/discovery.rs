//! How a fleet calls discovery for the endpoint list while the discovery service fails.

use crate::simulation::{host, settings, Fleet, START};
use reedferry::*;

/// A call for the endpoint list; `at` is the time since the start.
struct Call {
    at: Nanos,
    node: usize,
}

/// Returns the calls that a hundred nodes make until `end`. The service answers each call after one
/// second, and with a failure until `recovery`.
fn calls(recovery: Nanos, end: Nanos) -> Vec<Call> {
    let mut fleet = Fleet::new(100, |node| settings(node, 100));
    fleet.update_endpoints(EndpointUpdate::Cached, &[host(1), host(2)]);
    let (mut seen, mut calls) = (0, Vec::new());
    while fleet.now < START + end {
        fleet.advance(100 * MILLI);
        for logged in &fleet.log[seen..] {
            if logged.action == Action::WatchEndpoints {
                let (at, node) = (logged.at - START, logged.node);
                calls.push(Call { at, node });
            }
        }
        seen = fleet.log.len();
        let elapsed = fleet.now - START;
        let is_answered_now = |call: &&Call| {
            let since_answer = elapsed.checked_sub(call.at + SECOND);
            since_answer.is_some_and(|time| time < 100 * MILLI)
        };
        let answered = calls.iter().filter(is_answered_now);
        let answered: Vec<usize> = answered.map(|call| call.node).collect();
        let kind = if elapsed < recovery {
            EndpointUpdate::Failed
        } else {
            EndpointUpdate::Delta
        };
        for node in answered {
            fleet.update_endpoints_of(node, kind, &[]);
        }
    }
    calls
}

/// Guards against a hundred nodes that each call again within a second for as long as discovery
/// rejects their calls.
#[test]
fn all_nodes_together_call_discovery_at_a_bounded_rate() {
    let calls = calls(60 * SECOND, 70 * SECOND);
    let failing = 20 * SECOND..60 * SECOND;
    let steady = calls.iter().filter(|call| failing.contains(&call.at));
    let steady = steady.count() / 40;
    assert!(
        steady <= 30,
        "{steady} calls per second while all are rejected"
    );
    // Each node still calls at least every ten seconds, the longest time for which it may neither
    // watch nor poll the list, and watches the list soon after the recovery.
    for node in 0..100 {
        let own = calls.iter().filter(|call| call.node == node);
        let own: Vec<Nanos> = own.map(|call| call.at).collect();
        assert!(
            own.windows(2).all(|pair| pair[1] - pair[0] <= 10 * SECOND),
            "node {node} made no call for more than ten seconds"
        );
        assert!(
            own.iter().any(|at| *at >= 58 * SECOND),
            "node {node} made no call near the recovery"
        );
    }
}
