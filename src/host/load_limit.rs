//! The load limit of a host: how much of its own load a node leaves at a host whose messages come
//! late. It owns how a limit is decreased, and how it rises again while the host is well. It must
//! never choose a host.

use crate::intervals::TICK_INTERVAL;
use crate::time::{Nanos, SECOND};

/// How fast a limit rises, a second.
const RISE_PER_SECOND: f64 = 0.02;
/// For how many seconds that a host is well the rise grows.
const MAX_RISING_SECONDS: f64 = 10.0;
/// What each tick leaves of the sustained load.
const SUSTAINED_LOAD_DECAY: f64 = 0.995;
/// What share of the sustained load a host without a limit is always counted on for.
const SUSTAINED_LOAD_SHARE: f64 = 0.9;
/// What a decrease leaves of the mean load.
const MIN_LIMIT_SHARE: f64 = 0.1;
/// How long a decrease is given before the next.
const DECREASE_INTERVAL: Nanos = 3 * TICK_INTERVAL;
/// Seconds within which a decrease is to let the work queued at a host drain.
const DRAIN_SECONDS: f64 = 2.0;
/// The smallest part by which a limit is decreased.
const MIN_DECREASE: f64 = 0.05;
/// The share of healthy hosts beyond which a limit may be decreased to nothing, and the largest
/// decrease below it.
const HEALTHY_MAJORITY_SHARE: f64 = 0.7;
const MAX_DECREASE_WHEN_FEW_HEALTHY: f64 = 0.5;

/// The load limit of a host, and what it rests on.
#[derive(Default)]
pub(crate) struct LoadLimit {
    pub limit: Option<f64>,
    /// The highest recent load that the host sustained with messages in time.
    pub sustained_load: f64,
    pub decreased_at: Nanos,
    pub latency_ratio_at_decrease: f64,
}

/// What a decrease is computed from.
pub(crate) struct Overload {
    /// Message latency over its objective.
    pub latency_ratio: f64,
    /// That objective, in seconds.
    pub objective_seconds: f64,
    /// The node's own load at the host.
    pub load: f64,
    /// The mean own load of a host, for each unit of size.
    pub mean_load: f64,
    /// The size of this host.
    pub size: f64,
    /// The share of hosts that are well.
    pub healthy_share: f64,
}

impl LoadLimit {
    pub fn is_set(&self) -> bool {
        self.limit.is_some()
    }

    /// The limit; where none is set, `typical`, or near what the host has sustained. Without the
    /// latter, a host that sustains its load well would be restricted by the limits of others.
    pub fn effective(&self, typical: f64) -> f64 {
        self.limit
            .unwrap_or(typical.max(SUSTAINED_LOAD_SHARE * self.sustained_load))
    }

    /// Raises the limit, the faster the longer the host has been well; `least` is half the mean
    /// load of its size.
    pub fn raise(&mut self, now: Nanos, load: f64, latency_measured_at: Nanos, min_limit: f64) {
        let healthy_since = self.decreased_at.max(latency_measured_at).min(now);
        let healthy_seconds = (now - healthy_since) as f64 / SECOND as f64;
        let rise = RISE_PER_SECOND * healthy_seconds.min(MAX_RISING_SECONDS) * TICK_INTERVAL as f64
            / SECOND as f64;
        // Without this, a host whose limit fell in a short fault of all hosts would stay nearly
        // empty long after it.
        self.sustained_load = (SUSTAINED_LOAD_DECAY * self.sustained_load).max(load);
        let raised = self
            .limit
            .map(|limit| limit + rise * limit.max(min_limit).max(self.sustained_load));
        self.limit = raised.filter(|&limit| limit < 4.0 * load + min_limit);
    }

    /// Whether the last decrease has had its time. Prevents a host from being limited to what is
    /// left there once its clients have gone, by the message for which it was limited before.
    pub fn may_decrease(&self, now: Nanos, latency_measured_at: Nanos) -> bool {
        self.latency_ratio_at_decrease <= 0.0
            || now >= self.decreased_at + DECREASE_INTERVAL
                && latency_measured_at > self.decreased_at
    }

    /// Decreases the limit and returns it, unless the load is next to nothing: a late message then
    /// would limit the host to that for long after it is well.
    pub fn decrease(&mut self, now: Nanos, overload: &Overload) -> Option<f64> {
        let max_decrease = if overload.healthy_share > HEALTHY_MAJORITY_SHARE {
            1.0
        } else {
            MAX_DECREASE_WHEN_FEW_HEALTHY
        };
        let queued_seconds = overload.latency_ratio * overload.objective_seconds;
        let decrease_share = (queued_seconds / DRAIN_SECONDS).clamp(MIN_DECREASE, max_decrease);
        // Without this, a host would be limited to nothing by what other nodes placed there, and
        // stay empty long after it is well.
        let min_limit = if decrease_share < 1.0 {
            MIN_LIMIT_SHARE * overload.mean_load * overload.size
        } else {
            0.0
        };
        if overload.load <= min_limit {
            return None;
        }
        let current = self.limit.unwrap_or(overload.load).min(overload.load);
        let limit = (current * (1.0 - decrease_share)).max(min_limit);
        self.limit = Some(limit);
        self.decreased_at = now;
        self.latency_ratio_at_decrease = overload.latency_ratio;
        Some(limit)
    }
}
