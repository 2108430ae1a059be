//! How many requests have arrived lately.

use crate::time::{Nanos, SECOND};

/// An exponentially fading count of arrivals.
#[derive(Default)]
pub(crate) struct ArrivalRate {
    /// As of the last arrival.
    count: f64,
    last_arrival: Nanos,
}

impl ArrivalRate {
    /// How many requests arrived within about the last second.
    pub fn per_second(&self, now: Nanos) -> f64 {
        self.count * (-(now.saturating_sub(self.last_arrival) as f64) / SECOND as f64).exp()
    }

    /// How many requests arrive within `span` at this rate.
    pub fn within(&self, now: Nanos, span: Nanos) -> f64 {
        self.per_second(now) * span as f64 / SECOND as f64
    }

    pub fn request_arrived(&mut self, now: Nanos) {
        self.count = self.per_second(now) + 1.0;
        self.last_arrival = now;
    }
}
