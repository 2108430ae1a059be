//! A change of settings while a host warms up. The budget of the host is counted in slots whose
//! length depends on the settings.

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

/// Lets the given number of clients connect and returns how many of them are placed at the warming
/// host.
fn placed_at_warming_host(node: &mut Node, clients: usize) -> usize {
    let before = node.connections_at(WARMING_HOST).len();
    node.connect(clients);
    node.connections_at(WARMING_HOST).len() - before
}

/// Guards against the budget of a warming host being used twice when new settings change the length
/// of slots, and against slot numbers that decrease.
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
        assert!(first > 0, "no client was placed at the warming host");
        assert_eq!(
            placed_at_warming_host(&mut node, 50),
            0,
            "placed although the budget of this slot is used up"
        );
        let changed = Event::SettingsChanged(Box::new(settings(after)), vec![0]);
        node.handle_and_execute(changed);
        assert_eq!(
            placed_at_warming_host(&mut node, 50),
            0,
            "slots changed from {before} to {after} ns after {first} clients"
        );
        node.now += 2 * after.max(before);
        assert!(
            placed_at_warming_host(&mut node, 50) > 0,
            "the warming host stays idle in its next slots"
        );
    }
}
