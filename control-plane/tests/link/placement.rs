//! Placements by the planner that is followed, and by the fallback plan where there is none.

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
        "all hosts have their part"
    );
}

#[test]
fn without_planners_the_plan_serves_until_its_lease_ends_and_then_all_are_rejected_at_once() {
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
                assert!(attempt.at < killed_at + LEASE, "a plan outlived its lease");
                by_plan += 1;
            }
            None => assert_eq!(client.answers, [(now, Answer::Rejected)], "not at once"),
        }
    }
    assert!(by_plan >= 4, "{by_plan}");
    assert!(
        open.iter().all(|id| simulation.is_open(*id)),
        "open connections continue"
    );
}

#[test]
fn restarted_planners_are_told_of_open_connections_before_they_place() {
    let mut simulation = Simulation::new(2, 2, 4);
    simulation.run(200 * MILLI);
    // All open connections are at two of the hosts.
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
    // At once: these are asked for in the turn in which a planner is first followed.
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
