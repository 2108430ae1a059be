//! Hosts in slow start: all planners together stay within their quota.

use crate::simulation::Simulation;
use reedferry::{Nanos, MILLI};
use std::collections::VecDeque;

/// Connections that are open at a time: 25 at a warm host, which the decision core takes to bear four times that.
const OPEN_CONNECTIONS: usize = 200;

/// A steady load of connections.
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

/// The most attempts in a window at a host of this age, for a single node.
fn single_node_quota(simulation: &Simulation, age: Nanos) -> f64 {
    let settings = &simulation.balancer_settings;
    let warm_host_rate = 100.0 / settings.warm_up as f64;
    let warmed_part = age as f64 / settings.warm_up as f64;
    let initial_share = settings.warm_up_initial_share;
    let warmth = initial_share + (1.0 - initial_share) * warmed_part;
    settings.overload_factor * warmth * warm_host_rate * settings.overload_window as f64
}

#[test]
fn warming_hosts_stay_within_their_quota_with_all_planners_with_one_fewer_and_with_restarted_ones()
{
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
            // All of them, repeatedly: none may place on a warming host before its first second is over.
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
            "a warming host gets its part, but of no planner that has just started"
        );
    }
}
