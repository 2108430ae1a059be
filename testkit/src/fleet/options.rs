//! The options that all processes and hosts of a fleet share: how hosts warm up and when they are overloaded.

use std::time::Duration;

/// How hosts warm up, when they are overloaded, and how often nodes poll the list service.
#[derive(Clone, Copy)]
pub struct FleetOptions {
    /// How long a host warms up.
    pub warm_up: Duration,
    /// The share of its capacity that a host has at its start.
    pub warm_up_initial_share: f64,
    /// The window in which a host's overload is counted.
    pub overload_window: Duration,
    /// How many times its current capacity a host bears within one window.
    pub overload_factor: f64,
    /// The longest interval between two calls of a node to the list service.
    pub max_poll_interval: Duration,
    /// Connections that fill a warm host.
    pub full: f64,
}

impl FleetOptions {
    /// The options of tests with more than ten nodes. A warm host bears six times its capacity here, where nodes count
    /// on four: with small numbers, chance and a busy machine make connections arrive in bunches.
    pub const TRIAL: FleetOptions = FleetOptions {
        warm_up: Duration::from_secs(5),
        warm_up_initial_share: 0.2,
        overload_window: Duration::from_millis(500),
        overload_factor: 3.0,
        max_poll_interval: Duration::from_secs(4),
        full: 120.0,
    };

    /// How many connections a host of this age may be sent within one overload window.
    pub fn budget(&self, age: Duration) -> f64 {
        let progress = (age.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        let capacity_share =
            self.warm_up_initial_share + (1.0 - self.warm_up_initial_share) * progress;
        self.overload_factor * capacity_share * self.full * self.overload_window.as_secs_f64()
            / self.warm_up.as_secs_f64()
    }
}
