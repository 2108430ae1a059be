//! Tests of hosts in slow start, whose quota all planners together must not exceed.

use crate::simulation::Simulation;
use reedferry::{Nanos, MILLI};
use std::collections::VecDeque;

/// The number of connections that are open at a time: 25 per warm host, for which the decision core assumes a capacity
/// of four times as many.
const OPEN_CONNECTIONS: usize = 200;

/// A steady load: each step opens a connection, and closes the oldest one beyond [`OPEN_CONNECTIONS`].
#[derive(Default)]
struct Load {
    open: VecDeque<(usize, u64)>,
}

impl Load {
    fn step(&mut self, simulation: &mut Simulation, n: usize) {
        self.open
            .push_back((n % 4, simulation.add_client(n % 4, 0)));
        simulation.run(2 * MILLI);
        if self.open.len() > OPEN_CONNECTIONS {
            let (forwarder, id) = self.open.pop_front().unwrap();
            if simulation.is_open(id) {
                simulation.close_client(forwarder, id);
            }
        }
    }
}

/// Returns the maximum number of attempts in one overload window that a single node makes at a host of this age.
fn single_node_quota(simulation: &Simulation, age: Nanos) -> f64 {
    let settings = &simulation.balancer_settings;
    let warm_host_rate = 100.0 / settings.warm_up as f64;
    let warm_up_progress = age as f64 / settings.warm_up as f64;
    let initial_share = settings.warm_up_initial_share;
    let warm_up_share = initial_share + (1.0 - initial_share) * warm_up_progress;
    settings.overload_factor * warm_up_share * warm_host_rate * settings.overload_window as f64
}

#[test]
fn warming_hosts_stay_within_quota_when_planners_are_killed_or_restarted() {
    for (killed, restarted) in [(false, false), (true, false), (true, true)] {
        let mut simulation = Simulation::new(4, 3, 9);
        simulation.run(1200 * MILLI);
        let mut load = Load::default();
        (0..1000).for_each(|n| load.step(&mut simulation, n));
        let started = simulation.now;
        simulation.hosts[0].started = Some(started);
        simulation.hosts[0].attempts.clear();
        simulation.set_draining(0, false);
        if killed {
            simulation.kill_planner(0);
        }
        for n in 0..2500 {
            load.step(&mut simulation, n);
            // Restarts all planners repeatedly. A planner must not place on a warming host in the first second after
            // the planner's start.
            if restarted && n % 300 == 150 {
                (0..3).for_each(|planner| simulation.kill_planner(planner));
                (0..3).for_each(|planner| simulation.start_planner(planner));
            }
        }
        let attempts = &simulation.hosts[0].attempts;
        for (n, at) in attempts.iter().enumerate() {
            let window_end = at + simulation.balancer_settings.overload_window;
            let in_window = attempts[n..]
                .iter()
                .take_while(|t| **t < window_end)
                .count();
            let age = at - started;
            let quota = single_node_quota(&simulation, age);
            assert!(
                in_window as f64 <= 0.7 * quota,
                "{in_window} of {quota:.1} at {age}, killed {killed} restarted {restarted}"
            );
        }
        assert_eq!(
            attempts.is_empty(),
            restarted,
            "a warming host gets attempts, but none from a planner that has just started"
        );
    }
}
