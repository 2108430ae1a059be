//! The latency of messages at a host, according to the last measurement.

use crate::intervals::TICK_INTERVAL;
use crate::time::Nanos;

/// The ratio of measured latency to its objective from which messages count as late.
const LATE_RATIO: f64 = 0.6;
/// How long a measurement is valid.
const MAX_AGE: Nanos = 5 * TICK_INTERVAL;

/// The last measured message latency, as a ratio to its objective.
#[derive(Default)]
pub(crate) struct MessageLatency {
    pub ratio: f64,
    pub measured_at: Nanos,
}

impl MessageLatency {
    /// Returns the ratio, or 0 if the measurement is too old.
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
