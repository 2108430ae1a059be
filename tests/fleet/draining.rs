//! Draining of a host: its clients are migrated evenly over time by all nodes together.

use crate::simulation::{host, is_migration, settings, Fleet};
use reedferry::*;

/// Guards against a hundred nodes that each migrate a client of a draining host within the same
/// half second, which would overload the remaining hosts and the session store that all set-ups
/// share.
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
    // The draining host is listed again, which must not restart the migration.
    fleet.update_endpoints(EndpointUpdate::Delta, &[draining]);
    fleet.advance(1600 * MILLI);
    assert_eq!(
        fleet.nodes_with(is_migration),
        100,
        "not all nodes migrated their client"
    );
    let max = fleet.max_within(SECOND, is_migration);
    assert!(max <= 50, "{max} clients migrated within one second");
}
