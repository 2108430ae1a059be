//! Processes that stand still for a while: what they decided or heard before must not be carried out after.

use crate::simulation::{Simulation, REQUEST_TIMEOUT, TICK};
use reedferry::{MILLI, SECOND};

#[test]
fn a_planner_that_was_paused_for_two_seconds_decides_nothing_of_before() {
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
        "away from the one that was paused, and back: {:#?}",
        simulation.logs
    );
}

#[test]
fn a_forwarder_that_was_paused_carries_out_nothing_of_before() {
    for pause_ms in [200, 260, 600, 2500] {
        let mut simulation = Simulation::new(2, 2, 4);
        simulation.run(200 * MILLI);
        let ids: Vec<u64> = (0..30).map(|n| simulation.add_client(0, n % 3)).collect();
        simulation.run(TICK);
        // The decisions are on their way to it. While it is paused, discovery says that a host drains.
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
            assert_eq!(before, after, "attempted after their deadline");
        }
        let more: Vec<u64> = (0..9).map(|n| simulation.add_client(0, n % 3)).collect();
        simulation.run(100 * MILLI);
        assert!(simulation.all_established(&more), "{pause_ms}");
    }
}
