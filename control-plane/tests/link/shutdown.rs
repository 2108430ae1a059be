//! Tests of the graceful shutdown of planners and forwarders.

use crate::simulation::{Answer, Simulation, TICK};
use reedferry::{Event, MILLI};

#[test]
fn planners_that_shut_down_one_after_another_delay_no_request() {
    let mut simulation = Simulation::new(3, 3, 4);
    simulation.run(200 * MILLI);
    let mut ids = Vec::new();
    for n in 0..900 {
        ids.push(simulation.add_client(n % 3, n % 3));
        let planner = n / 300;
        match n % 300 {
            100 => simulation.planners[planner]
                .running()
                .shut_down(&mut Vec::new()),
            150 => {
                let followers = simulation.planners[planner].running().follower_count();
                assert_eq!(followers, 0);
                simulation.kill_planner(planner);
            }
            200 => simulation.start_planner(planner),
            _ => {}
        }
        simulation.run(5 * MILLI);
    }
    simulation.run(200 * MILLI);
    assert!(simulation.all_established(&ids));
    let max_time = simulation.max_decision_time(&ids);
    assert!(max_time < 100 * MILLI, "{max_time}");
}

#[test]
fn a_forwarder_that_shuts_down_migrates_clients_evenly_and_rejects_new_ones() {
    let mut simulation = Simulation::new(2, 2, 3);
    simulation.run(200 * MILLI);
    let mut ids = Vec::new();
    for _ in 0..200 {
        ids.push(simulation.add_client(0, 0));
        simulation.run(TICK);
    }
    let other = simulation.add_client(1, 0);
    simulation.run(200 * MILLI);
    let (from, by) = (simulation.now + 100 * MILLI, simulation.now + 1100 * MILLI);
    simulation.forwarders[0]
        .events
        .push(Event::ShutdownStarted { from, by });
    simulation.run(MILLI);
    let new = simulation.add_client(0, 0);
    simulation.run(599 * MILLI);
    assert_eq!(simulation.answer(new), Some(Answer::Rejected));
    let open = ids.iter().filter(|id| simulation.is_open(**id)).count();
    assert!((80..=120).contains(&open), "{open}");
    simulation.run(600 * MILLI);
    assert!(ids.iter().all(|id| !simulation.is_open(*id)) && simulation.is_open(other));
    let records: usize = simulation
        .planners
        .iter_mut()
        .map(|planner| planner.running().request_count())
        .sum();
    assert_eq!(records, 1, "records of migrated clients are left");
}
