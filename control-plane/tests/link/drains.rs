//! Hosts that drain: no attempt reaches them once the drain grace is over, whoever knows of the drain.

use crate::simulation::{Simulation, LEASE, REQUEST_TIMEOUT};
use reedferry::MILLI;

#[test]
fn nothing_reaches_a_host_that_a_planner_knows_to_drain_while_its_forwarders_cannot_hear_it() {
    // Every connection is cut the moment that the planners hear of the drain; or is slow, or was cut before.
    for (cut_before_ms, delay_ms) in [(0, 0), (0, 40), (100, 0), (200, 0), (240, 100)] {
        let mut simulation = Simulation::new(2, 2, 2);
        simulation.delay = delay_ms * MILLI;
        simulation.run(500 * MILLI);
        for n in 0..1000 {
            simulation.add_client(n % 2, 0);
            if n == 600 {
                simulation.cut_all_to_forwarders();
            }
            if n == 600 + cut_before_ms {
                simulation.set_draining(0, true);
            }
            // The invariants are checked after each of these.
            simulation.run(MILLI);
        }
        assert!(!simulation.hosts[0].attempts.is_empty());
        simulation.run(REQUEST_TIMEOUT);
    }
}

#[test]
fn a_drain_that_only_a_planner_that_is_not_followed_knows_binds_at_once() {
    let mut simulation = Simulation::new(1, 2, 2);
    simulation.run(200 * MILLI);
    let followed = simulation.followed_planner(0);
    simulation.planners[followed].discovery_cut = true;
    simulation.set_draining(0, true);
    simulation.run(10 * MILLI);
    for _ in 0..500 {
        simulation.add_client(0, 0);
        simulation.run(MILLI);
    }
    assert!(simulation.hosts[0].attempts.is_empty() && simulation.hosts[1].attempts.len() > 400);
    // Once both know that it is ready it is used again.
    simulation.planners[followed].discovery_cut = false;
    simulation.planners[followed].list_version += 5;
    simulation.set_draining(0, false);
    for _ in 0..200 {
        simulation.add_client(0, 0);
        simulation.run(MILLI);
    }
    assert!(!simulation.hosts[0].attempts.is_empty());
}

#[test]
fn a_host_that_came_back_cold_is_left_alone_by_a_forwarder_that_cannot_be_told() {
    let mut simulation = Simulation::new(2, 2, 2);
    simulation.run(200 * MILLI);
    for n in 0..400 {
        simulation.add_client(n % 2, 0);
        simulation.run(MILLI);
    }
    simulation.cut_all_to_forwarders();
    let restarted_at = simulation.now;
    simulation.hosts[0].started = Some(restarted_at);
    simulation.set_draining(0, false);
    for n in 0..800 {
        simulation.add_client(n % 2, 0);
        simulation.run(MILLI);
    }
    let late = simulation.hosts[0]
        .attempts
        .iter()
        .filter(|at| **at > restarted_at + LEASE)
        .count();
    assert_eq!(late, 0, "by an old plan, to a host that is cold");
    simulation.run(REQUEST_TIMEOUT);
}
