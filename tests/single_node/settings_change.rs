//! New settings while hosts warm up: their budgets are counted in slots, whose length is one of the
//! settings.

use crate::node::{endpoint, Node};
use reedferry::*;

const WARMING_HOST: HostId = HostId(1);
const WARM_HOST: HostId = HostId(2);

fn settings(overload_window: Nanos) -> BalancerSettings {
    let class = RequestClass {
        latency_objective: SECOND,
        active: true,
        ..RequestClass::default()
    };
    BalancerSettings {
        node_count: 1,
        classes: vec![class],
        max_attempts: 3,
        max_request_timeout: 2 * SECOND,
        max_poll_interval: 10 * SECOND,
        warm_up: 20 * SECOND,
        warm_up_initial_share: 0.5,
        overload_factor: 3.0,
        overload_window,
        ..BalancerSettings::default()
    }
}

/// How many of so many clients that connect now are placed at the warming host.
fn placed_at_warming_host(node: &mut Node, clients: usize) -> usize {
    let before = node.connections_at(WARMING_HOST).len();
    node.connect(clients);
    node.connections_at(WARMING_HOST).len() - before
}

/// Prevents a budget from being spent twice in one moment, and a count of slots from running
/// backwards, as new settings give slots another length.
#[test]
fn new_settings_give_a_warming_host_no_second_budget() {
    for (before, after) in [(SECOND, 2 * SECOND), (2 * SECOND, SECOND), (SECOND, SECOND)] {
        let mut node = Node::start(settings(before), vec![endpoint(WARM_HOST)]);
        placed_at_warming_host(&mut node, 60);
        node.now += SECOND;
        let warming = Endpoint {
            started: Some(node.now),
            ..endpoint(WARMING_HOST)
        };
        node.update_endpoints(EndpointUpdate::Delta, vec![warming]);
        node.now += 3 * SECOND;
        let first = placed_at_warming_host(&mut node, 200);
        assert!(first > 0, "too tame");
        assert_eq!(
            placed_at_warming_host(&mut node, 50),
            0,
            "the budget of this slot is spent"
        );
        let changed = Event::SettingsChanged(Box::new(settings(after)), vec![0]);
        node.handle_and_execute(changed);
        assert_eq!(
            placed_at_warming_host(&mut node, 50),
            0,
            "from slots of {before} to slots of {after}: {first} before"
        );
        node.now += 2 * after.max(before);
        assert!(placed_at_warming_host(&mut node, 50) > 0, "left idle");
    }
}
