//! Tests of placements by the followed planner, and by the fallback plan when there is no planner.

use crate::simulation::{Answer, HostBehavior, Simulation, IDEMPOTENT, LEASE, TICK};
use reedferry::{MILLI, SECOND};

#[test]
fn requests_are_placed_by_the_planner_and_served() {
    let mut simulation = Simulation::new(3, 2, 4);
    simulation.run(200 * MILLI);
    let ids: Vec<u64> = (0..90)
        .map(|n| simulation.add_client(n % 3, n % 2))
        .collect();
    simulation.run(100 * MILLI);
    assert!(simulation.all_established(&ids));
    assert!(simulation.max_decision_time(&ids) <= 5 * MILLI);
    assert!(
        simulation.hosts.iter().all(|host| host.attempts.len() > 5),
        "a host got 5 attempts or fewer"
    );
}

#[test]
fn without_planners_the_fallback_plan_serves_until_its_lease_ends() {
    let mut simulation = Simulation::new(1, 1, 3);
    simulation.run(200 * MILLI);
    for _ in 0..50 {
        simulation.add_client(0, IDEMPOTENT);
        simulation.run(4 * MILLI);
    }
    let open: Vec<u64> = (1..=50).collect();
    simulation.kill_planner(0);
    let killed_at = simulation.now;
    let mut by_plan = 0;
    for _ in 0..400 {
        let id = simulation.add_client(0, IDEMPOTENT);
        simulation.run(TICK);
        let (now, client) = (simulation.now, simulation.client(id));
        match client.attempts.first() {
            Some(attempt) => {
                assert!(
                    attempt.at < killed_at + LEASE,
                    "attempt by a plan whose lease is over"
                );
                by_plan += 1;
            }
            None => assert_eq!(
                client.answers,
                [(now, Answer::Rejected)],
                "not rejected at once"
            ),
        }
    }
    assert!(by_plan >= 4, "{by_plan}");
    assert!(
        open.iter().all(|id| simulation.is_open(*id)),
        "an open connection was closed"
    );
}

#[test]
fn restarted_planners_learn_of_open_connections_before_they_place_requests() {
    let mut simulation = Simulation::new(2, 2, 4);
    simulation.run(200 * MILLI);
    // The first two hosts get all open connections, because the other two reject.
    simulation.hosts[2].behavior = HostBehavior::Rejects;
    simulation.hosts[3].behavior = HostBehavior::Rejects;
    let ids: Vec<u64> = (0..600)
        .map(|n| {
            let id = simulation.add_client(n % 2, IDEMPOTENT);
            simulation.run(TICK);
            id
        })
        .collect();
    simulation.run(100 * MILLI);
    assert!(simulation.count_answers(&ids, Answer::Established) > 500);
    (0..2).for_each(|planner| simulation.kill_planner(planner));
    simulation.run(SECOND);
    simulation.hosts[2].behavior = HostBehavior::Accepts;
    simulation.hosts[3].behavior = HostBehavior::Accepts;
    (0..2).for_each(|planner| simulation.start_planner(planner));
    let before: Vec<usize> = simulation.hosts.iter().map(|h| h.attempts.len()).collect();
    // Adds the new requests as soon as every forwarder follows a planner.
    while simulation
        .forwarders
        .iter()
        .any(|forwarder| forwarder.followed_planner().is_none())
    {
        simulation.run(TICK);
    }
    let new: Vec<u64> = (0..40)
        .map(|n| simulation.add_client(n % 2, IDEMPOTENT))
        .collect();
    simulation.run(300 * MILLI);
    let added: Vec<usize> = simulation
        .hosts
        .iter()
        .zip(before)
        .map(|(host, before)| host.attempts.len() - before)
        .collect();
    assert!(simulation.all_established(&new));
    assert!(
        added[0] + added[1] <= 2 && added[2] + added[3] >= 38,
        "placed as if no connection were open: {added:?}"
    );
    let records: usize = simulation
        .planners
        .iter_mut()
        .map(|planner| planner.running().request_count())
        .sum();
    assert!(records > 500, "{records}");
}
