//! Tests of planners that are killed, restarted or removed.

use crate::simulation::{
    attempt_ended, Answer, HostBehavior, Simulation, NON_IDEMPOTENT, REQUEST_TIMEOUT,
};
use reedferry::{AttemptOutcome, Event, MILLI, SECOND};

#[test]
fn lost_attempts_of_a_killed_planner_are_repeated_unless_non_idempotent() {
    for class in 0..3 {
        let mut simulation = Simulation::new(1, 2, 4);
        simulation.run(200 * MILLI);
        for host in &mut simulation.hosts {
            host.behavior = HostBehavior::Silent;
        }
        let ids: Vec<u64> = (0..20).map(|_| simulation.add_client(0, class)).collect();
        simulation.run(20 * MILLI);
        assert!(ids
            .iter()
            .all(|id| simulation.client(*id).in_flight.is_some()));
        let killed = simulation.followed_planner(0);
        simulation.kill_planner(killed);
        // The hosts' connections break while the attempts are in flight, so the attempts may have run.
        let lost: Vec<Event> = ids
            .iter()
            .map(|id| {
                let attempt = simulation.client(*id).lose_attempt();
                let outcome = AttemptOutcome::ConnectionLost;
                attempt_ended(*id, attempt.number, attempt.host, false, outcome)
            })
            .collect();
        simulation.forwarders[0].events.extend(lost);
        for host in &mut simulation.hosts {
            host.behavior = HostBehavior::Accepts;
        }
        simulation.run(REQUEST_TIMEOUT);
        assert_ne!(simulation.followed_planner(0), killed);
        let wanted = if class == NON_IDEMPOTENT {
            Answer::Failed
        } else {
            Answer::Established
        };
        for id in ids {
            assert_eq!(simulation.answer(id), Some(wanted), "class {class}");
        }
    }
}

#[test]
fn requests_that_a_killed_planner_did_not_place_are_placed_by_the_next() {
    let mut simulation = Simulation::new(2, 2, 4);
    simulation.run(200 * MILLI);
    let killed = simulation.followed_planner(0);
    // The planner is paused before it reads the requests, so that all are sent to it and none is placed.
    simulation.pause_planner(killed, SECOND);
    let ids: Vec<u64> = (0..40).map(|n| simulation.add_client(0, n % 3)).collect();
    simulation.run(50 * MILLI);
    simulation.kill_planner(killed);
    simulation.run(SECOND);
    assert!(simulation.all_established(&ids));
    let max_time = simulation.max_decision_time(&ids);
    assert!(max_time < 700 * MILLI, "{max_time}");
}

#[test]
fn removing_a_planner_moves_only_its_followers_and_closes_no_connection() {
    let mut simulation = Simulation::new(6, 3, 4);
    simulation.run(1500 * MILLI);
    let ids: Vec<u64> = (0..60).map(|n| simulation.add_client(n % 6, 0)).collect();
    simulation.run(100 * MILLI);
    let before: Vec<usize> = (0..6).map(|n| simulation.followed_planner(n)).collect();
    let now = simulation.now;
    for forwarder in 0..6 {
        let mut actions = Vec::new();
        let planners = Simulation::planner_addresses(0..2);
        simulation.forwarders[forwarder]
            .core
            .set_planners(now, planners, &mut actions);
        for action in actions {
            simulation.carry_out_forwarder_action(forwarder, action);
        }
    }
    simulation.run(200 * MILLI);
    for (forwarder, planner) in before.iter().enumerate() {
        assert!(simulation.followed_planner(forwarder) == *planner || *planner == 2);
    }
    let more: Vec<u64> = (0..60).map(|n| simulation.add_client(n % 6, 0)).collect();
    simulation.run(100 * MILLI);
    assert!(ids.iter().all(|id| simulation.is_open(*id)));
    assert!(more.iter().all(|id| simulation.is_open(*id)));
}
