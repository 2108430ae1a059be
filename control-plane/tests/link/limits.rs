//! Tests of the limit on one forwarder's requests at its planner.

use crate::simulation::{Answer, Simulation};
use reedferry::{MILLI, SECOND};

#[test]
fn requests_over_a_forwarders_limit_at_its_planner_are_rejected_at_once() {
    let mut simulation = Simulation::new(2, 1, 3);
    simulation.max_requests_per_forwarder = 30;
    simulation.kill_planner(0);
    simulation.start_planner(0);
    simulation.run(SECOND);
    let ids: Vec<u64> = (0..50)
        .map(|_| {
            let id = simulation.add_client(0, 0);
            simulation.run(2 * MILLI);
            id
        })
        .collect();
    let other = simulation.add_client(1, 0);
    simulation.run(20 * MILLI);
    assert_eq!(simulation.count_answers(&ids, Answer::Established), 30);
    assert_eq!(simulation.count_answers(&ids, Answer::Rejected), 20);
    assert_eq!(simulation.answer(other), Some(Answer::Established));
    // Requests are accepted again once some connections have ended.
    for id in &ids[..10] {
        simulation.close_client(0, *id);
    }
    simulation.run(10 * MILLI);
    let more = simulation.add_client(0, 0);
    simulation.run(20 * MILLI);
    assert_eq!(simulation.answer(more), Some(Answer::Established));
}
