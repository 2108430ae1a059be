//! Tests of quota lending in simulated fleets.

use crate::simulation::*;
use crate::*;

fn change_cluster_size(simulation: &mut Simulation, nodes: usize, cluster_size: u32) {
    for node in 0..nodes {
        let event = Event::PlacementChanged {
            member_index: node as u32,
            cluster_size,
        };
        simulation.handle(node, event);
    }
}

/// Guards against shares of dead members that stay unused, and against members that together use more than the whole
/// quota in any partition of the fleet, whatever they believe about each other.
#[test]
fn shares_of_the_dead_are_lent_and_the_whole_quota_is_never_exceeded() {
    let mut simulation = Simulation::new(6, true, 21);
    for member in simulation.nodes.iter_mut().flatten() {
        member.table.me.info.cluster_size = 6;
    }
    let fraction_used = |simulation: &Simulation| -> f64 {
        let used = |member: &Membership| {
            member
                .quota_shares(simulation.now)
                .iter()
                .map(|share| share.fraction)
                .sum::<f64>()
        };
        simulation.running().map(used).sum::<f64>() / 6.0
    };
    let mut max_used: f64 = 0.0;
    let mut run = |simulation: &mut Simulation, periods: u64| {
        for _ in 0..periods * 10 {
            simulation.run(simulation.now + PERIOD / 10);
            max_used = max_used.max(fraction_used(simulation));
        }
        fraction_used(simulation)
    };
    run(&mut simulation, 6);
    // All members announce the shared cluster size.
    change_cluster_size(&mut simulation, 6, 7);
    change_cluster_size(&mut simulation, 6, 6);
    for node in 0..6 {
        simulation.handle(node, Event::QuotaLendingChanged(true));
    }
    let assert_near = |share: f64, expected: f64| {
        assert!(
            (share - expected).abs() < 1e-9,
            "{share} used, not {expected}"
        );
    };
    assert_near(run(&mut simulation, 12), 1.0);
    simulation.kill(2);
    assert_near(run(&mut simulation, 20), 0.5 * 5.0 / 6.0 + 0.5);
    // The smaller partition only uses its reserved halves; the larger one also uses what is lent.
    simulation.partition = vec![0, 0, 0, 1, 1, 1];
    assert_near(run(&mut simulation, 20), 0.5 * 5.0 / 6.0);
    simulation.partition = vec![0, 0, 0, 0, 0, 1];
    assert_near(run(&mut simulation, 30), 0.5 * 5.0 / 6.0 + 0.5);
    simulation.partition = vec![0; 6];
    run(&mut simulation, 15);
    // A member that stalls for six periods finds its lease expired by its own clock.
    simulation.stalled_until[4] = simulation.now + 6 * PERIOD;
    run(&mut simulation, 12);
    // The cluster shrinks in one partition, and grows again.
    simulation.partition = vec![0, 0, 0, 0, 1, 1];
    run(&mut simulation, 5);
    change_cluster_size(&mut simulation, 2, 4);
    run(&mut simulation, 10);
    change_cluster_size(&mut simulation, 2, 6);
    simulation.partition = vec![0; 6];
    run(&mut simulation, 30);
    assert!(
        max_used <= 1.0 + 1e-9,
        "{max_used} of the whole quota was used at once"
    );
}
