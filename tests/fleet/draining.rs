//! A draining host: its clients are migrated evenly over the fleet.

use crate::simulation::{host, is_migration, settings, Fleet};
use reedferry::*;

/// Prevents a hundred nodes from migrating the clients of a draining host in one half second, one
/// each, which would overload the remaining hosts and the store that all set-ups share.
#[test]
fn the_clients_of_a_draining_host_are_migrated_evenly() {
    let mut fleet = Fleet::new(100, |node| settings(node, 100));
    fleet.update_endpoints(EndpointUpdate::Cached, &[host(1)]);
    for node in 0..100 {
        assert_eq!(fleet.new_client(node), Some(HostId(1)));
    }
    fleet.advance(SECOND);
    let draining = Endpoint {
        state: HostState::Draining,
        ..host(1)
    };
    fleet.update_endpoints(EndpointUpdate::Delta, &[draining]);
    fleet.advance(2 * SECOND);
    // A draining host is listed again now and then.
    fleet.update_endpoints(EndpointUpdate::Delta, &[draining]);
    fleet.advance(1600 * MILLI);
    assert_eq!(
        fleet.nodes_with(is_migration),
        100,
        "clients left to be cut off"
    );
    let max = fleet.max_within(SECOND, is_migration);
    assert!(max <= 50, "{max} clients migrated within a second");
}
