//! How late messages at a host are, by the last measurement.

use crate::intervals::TICK_INTERVAL;
use crate::time::Nanos;

/// The ratio of measured latency to its objective from which messages count as late.
const LATE_RATIO: f64 = 0.6;
/// How long a measurement counts.
const MAX_AGE: Nanos = 5 * TICK_INTERVAL;

/// The last measured message latency over its objective.
#[derive(Default)]
pub(crate) struct MessageLatency {
    pub ratio: f64,
    pub measured_at: Nanos,
}

impl MessageLatency {
    /// The ratio, or 0 where its measurement is too old.
    pub fn ratio(&self, now: Nanos) -> f64 {
        f64::from(u8::from(now < self.measured_at + MAX_AGE)) * self.ratio
    }

    pub fn is_late(&self, now: Nanos) -> bool {
        self.ratio(now) >= LATE_RATIO
    }

    pub fn measured(&mut self, now: Nanos, latency: Nanos, objective: Nanos) {
        self.ratio = latency as f64 / objective.max(1) as f64;
        self.measured_at = now;
    }
}
