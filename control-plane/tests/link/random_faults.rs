//! A property test of combinations of random faults.

use crate::simulation::{HostBehavior, Simulation, REQUEST_TIMEOUT, TICK};
use proptest::prelude::*;
use reedferry::{Nanos, MILLI};

const FAULT_KINDS: usize = 11;

/// Injects a fault of the given kind. `a` and `b` select the affected processes and hosts and the details of the
/// fault.
fn inject_fault(simulation: &mut Simulation, kind: usize, a: usize, b: usize) {
    let forwarder = a % simulation.forwarders.len();
    let planner = a % simulation.planners.len();
    let connected_planner = b % simulation.planners.len();
    let host = a % simulation.hosts.len();
    let pause = |step: Nanos, min: Nanos, choices: u64| (min + step * (b as u64 % choices)) * MILLI;
    match kind {
        0 => simulation.kill_planner(planner),
        1 => simulation.pause_planner(planner, pause(300, 100, 7)),
        2 => simulation
            .connections(forwarder, connected_planner)
            .for_each(|connection| connection.cut_to_planner = true),
        3 => simulation
            .connections(forwarder, connected_planner)
            .for_each(|connection| connection.cut_to_forwarder = true),
        4 => simulation.set_draining(host, !b.is_multiple_of(3)),
        5 => {
            let behaviors = [
                HostBehavior::Accepts,
                HostBehavior::Rejects,
                HostBehavior::Fails,
                HostBehavior::Silent,
            ];
            simulation.hosts[host].behavior = behaviors[b % 4];
        }
        6 => simulation.delay = (b as u64 % 5) * 20 * MILLI,
        7 => simulation.planners[planner].discovery_cut = b.is_multiple_of(2),
        8 => {
            if simulation.planners[planner].core.is_none() {
                simulation.start_planner(planner);
            }
        }
        10 => {
            let now = simulation.now;
            let paused = &mut simulation.forwarders[forwarder].paused;
            let start = if paused.end > 0 { paused.start } else { now };
            *paused = start..now + pause(300, 50, 5);
        }
        _ => {
            if let Some(core) = simulation.planners[planner].core.as_mut() {
                core.shut_down(&mut Vec::new());
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        // A fixed seed, so that each run draws the same faults.
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The invariants, which are checked at every tick, hold under any combination of faults.
    #[test]
    fn random_faults_break_no_invariant(
        faults in prop::collection::vec((0..FAULT_KINDS, any::<usize>(), any::<usize>(), 0u64..120), 1..14),
        arrival_interval in 1u64..8,
    ) {
        let mut simulation = Simulation::new(3, 2, 5);
        simulation.run(200 * MILLI);
        let mut ticks = 0;
        for (kind, a, b, duration) in faults {
            inject_fault(&mut simulation, kind, a, b);
            for _ in 0..duration {
                ticks += 1;
                if ticks % arrival_interval == 0 {
                    let id = simulation.add_client(ticks as usize % 3, ticks as usize % 7 % 3);
                    if id.is_multiple_of(5) && id > 20 && simulation.is_open(id - 15) {
                        let forwarder = simulation
                            .forwarders
                            .iter()
                            .position(|f| f.clients.contains_key(&(id - 15)))
                            .unwrap();
                        simulation.close_client(forwarder, id - 15);
                    }
                }
                simulation.run(TICK);
            }
        }
        simulation.run(REQUEST_TIMEOUT + 100 * MILLI);
    }
}
