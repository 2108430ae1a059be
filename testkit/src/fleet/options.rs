//! The options that all processes and hosts of a fleet share.

use std::time::Duration;

/// How hosts warm up, when they are overloaded, and how often nodes poll the list service.
#[derive(Clone, Copy)]
pub struct FleetOptions {
    /// How long a host warms up after its start.
    pub warm_up: Duration,
    /// The share of its warm capacity that a host has at its start, 0 to 1.
    pub warm_up_initial_share: f64,
    /// The window in which connections to a host are counted to find an overload.
    pub overload_window: Duration,
    /// The multiple of `current capacity * overload_window / warm_up` that a host bears within one window.
    pub overload_factor: f64,
    /// The longest interval between two calls of one node to the list service.
    pub max_poll_interval: Duration,
    /// The number of connections that fill a warm host.
    pub warm_capacity: f64,
}

impl FleetOptions {
    /// The options of tests with more than ten nodes. The warm capacity is about six times the mean number of
    /// connections per host in these tests, while nodes count on four times the mean only: with small numbers, chance
    /// and a busy machine make connections arrive in bunches.
    pub const TRIAL: FleetOptions = FleetOptions {
        warm_up: Duration::from_secs(5),
        warm_up_initial_share: 0.2,
        overload_window: Duration::from_millis(500),
        overload_factor: 3.0,
        max_poll_interval: Duration::from_secs(4),
        warm_capacity: 120.0,
    };

    /// Returns how many connections a host of this age may be sent within one overload window.
    pub fn budget(&self, age: Duration) -> f64 {
        let progress = (age.as_secs_f64() / self.warm_up.as_secs_f64()).min(1.0);
        let capacity_share =
            self.warm_up_initial_share + (1.0 - self.warm_up_initial_share) * progress;
        self.overload_factor
            * capacity_share
            * self.warm_capacity
            * self.overload_window.as_secs_f64()
            / self.warm_up.as_secs_f64()
    }
}
