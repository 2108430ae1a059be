//! Lending of quota in fleets in simulated time.

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

/// Prevents shares of dead members that stay unused, and more than the whole used in any partition of a fleet, whatever it believes.
#[test]
fn shares_of_the_dead_are_lent_and_never_more_than_the_whole_is_used() {
    let mut simulation = Simulation::new(6, true, 21);
    for member in simulation.nodes.iter_mut().flatten() {
        member.table.me.info.cluster_size = 6;
    }
    let part_used = |simulation: &Simulation| -> f64 {
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
            max_used = max_used.max(part_used(simulation));
        }
        part_used(simulation)
    };
    run(&mut simulation, 6);
    // They all learn of the cluster size that they share.
    change_cluster_size(&mut simulation, 6, 7);
    change_cluster_size(&mut simulation, 6, 6);
    for node in 0..6 {
        simulation.handle(node, Event::QuotaLendingChanged(true));
    }
    let near = |share: f64, expected: f64| {
        assert!(
            (share - expected).abs() < 1e-9,
            "{share} used, not {expected}"
        );
    };
    near(run(&mut simulation, 12), 1.0);
    simulation.kill(2);
    near(run(&mut simulation, 20), 0.5 * 5.0 / 6.0 + 0.5);
    // The smaller partition uses its own halves alone; the larger one what is lent, too.
    simulation.partition = vec![0, 0, 0, 1, 1, 1];
    near(run(&mut simulation, 20), 0.5 * 5.0 / 6.0);
    simulation.partition = vec![0, 0, 0, 0, 0, 1];
    near(run(&mut simulation, 30), 0.5 * 5.0 / 6.0 + 0.5);
    simulation.partition = vec![0; 6];
    run(&mut simulation, 15);
    // One that goes on after six periods has its lease run out on its own clock.
    simulation.stalled_until[4] = simulation.now + 6 * PERIOD;
    run(&mut simulation, 12);
    // A cluster that shrinks in a partition, and grows again.
    simulation.partition = vec![0, 0, 0, 0, 1, 1];
    run(&mut simulation, 5);
    change_cluster_size(&mut simulation, 2, 4);
    run(&mut simulation, 10);
    change_cluster_size(&mut simulation, 2, 6);
    simulation.partition = vec![0; 6];
    run(&mut simulation, 30);
    assert!(
        max_used <= 1.0 + 1e-9,
        "{max_used} of the whole were used at a time"
    );
}
