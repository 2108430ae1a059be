//! The rate at which requests arrive.

use crate::time::{Nanos, SECOND};

/// An exponentially decaying count of arrivals, with a time constant of one second.
#[derive(Default)]
pub(crate) struct ArrivalRate {
    /// The decayed count at the time of the last arrival.
    count: f64,
    last_arrival: Nanos,
}

impl ArrivalRate {
    /// Returns the arrival rate over about the last second, in requests per second.
    pub fn per_second(&self, now: Nanos) -> f64 {
        self.count * (-(now.saturating_sub(self.last_arrival) as f64) / SECOND as f64).exp()
    }

    /// Returns the number of requests that arrive within `span` at the current rate.
    pub fn within(&self, now: Nanos, span: Nanos) -> f64 {
        self.per_second(now) * span as f64 / SECOND as f64
    }

    pub fn request_arrived(&mut self, now: Nanos) {
        self.count = self.per_second(now) + 1.0;
        self.last_arrival = now;
    }
}
