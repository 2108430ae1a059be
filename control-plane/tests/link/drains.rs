//! Tests of draining hosts. Once the drain grace is over, no attempt reaches them, whichever process knows of the
//! drain.

use crate::simulation::{Simulation, LEASE, REQUEST_TIMEOUT};
use reedferry::MILLI;

#[test]
fn no_attempt_reaches_a_draining_host_when_forwarders_cannot_be_told_of_it() {
    // The connections are cut when the planners learn of the drain or some time before, and are slow in some cases.
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
            // Checks the invariants after each tick.
            simulation.run(MILLI);
        }
        assert!(!simulation.hosts[0].attempts.is_empty());
        simulation.run(REQUEST_TIMEOUT);
    }
}

#[test]
fn a_drain_report_of_a_planner_that_is_not_followed_takes_effect_at_once() {
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
    // Once both planners know that the host is ready, it is used again.
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
fn a_cold_host_gets_no_attempt_by_an_old_plan_after_the_lease() {
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
    assert_eq!(late, 0, "attempts at a cold host by an old plan");
    simulation.run(REQUEST_TIMEOUT);
}
