//! Tests of paused processes. Decisions that were made or received before a pause must not be carried out after it.

use crate::simulation::{Simulation, REQUEST_TIMEOUT, TICK};
use reedferry::{MILLI, SECOND};

#[test]
fn requests_are_placed_in_time_while_the_followed_planner_is_paused() {
    let mut simulation = Simulation::new(2, 2, 4);
    simulation.run(200 * MILLI);
    let paused = simulation.followed_planner(0);
    let mut ids = Vec::new();
    for n in 0..100 {
        ids.push(simulation.add_client(n % 2, n % 3));
        if n == 10 {
            simulation.pause_planner(paused, 2 * SECOND);
        }
        simulation.run(30 * MILLI);
    }
    simulation.run(REQUEST_TIMEOUT);
    assert!(simulation.all_established(&ids));
    assert!(simulation.max_decision_time(&ids) < 700 * MILLI);
    let follows = simulation
        .logs
        .iter()
        .filter(|line| line.starts_with("following planner"))
        .count();
    assert!(
        follows >= 4,
        "expected a switch from the paused planner and back: {:#?}",
        simulation.logs
    );
}

#[test]
fn a_paused_forwarder_carries_out_no_decision_from_before_the_pause() {
    for pause_ms in [200, 260, 600, 2500] {
        let mut simulation = Simulation::new(2, 2, 4);
        simulation.run(200 * MILLI);
        let ids: Vec<u64> = (0..30).map(|n| simulation.add_client(0, n % 3)).collect();
        simulation.run(TICK);
        // The decisions are in flight to the forwarder. A host starts to drain while the forwarder is paused.
        let now = simulation.now;
        simulation.forwarders[0].paused = now..now + pause_ms * MILLI;
        simulation.set_draining(0, true);
        let count_attempts = |simulation: &mut Simulation| -> usize {
            ids.iter()
                .map(|id| simulation.client(*id).attempts.len())
                .sum()
        };
        let before = count_attempts(&mut simulation);
        simulation.run(pause_ms * MILLI + 300 * MILLI);
        if pause_ms < 2000 {
            assert!(simulation.all_established(&ids), "{pause_ms}");
        } else {
            let after = count_attempts(&mut simulation);
            assert_eq!(before, after, "attempts after the deadline");
        }
        let more: Vec<u64> = (0..9).map(|n| simulation.add_client(0, n % 3)).collect();
        simulation.run(100 * MILLI);
        assert!(simulation.all_established(&more), "{pause_ms}");
    }
}
