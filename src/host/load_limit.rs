//! The load limit of a host: how much load a node leaves at a host that delivers messages late. It
//! decides how far a limit is decreased, and how it rises again while the host is healthy. It never
//! chooses a host.

use crate::intervals::TICK_INTERVAL;
use crate::time::{Nanos, SECOND};

/// The share by which a limit rises per second, for each second that the host has been healthy.
const RISE_PER_SECOND: f64 = 0.02;
/// The number of healthy seconds after which the rise gets no faster.
const MAX_RISING_SECONDS: f64 = 10.0;
/// The factor by which the sustained load decays in each tick.
const SUSTAINED_LOAD_DECAY: f64 = 0.995;
/// The share of its sustained load that a host without a limit can always take.
const SUSTAINED_LOAD_SHARE: f64 = 0.9;
/// The lower bound of a decreased limit, as a share of the mean load.
const MIN_LIMIT_SHARE: f64 = 0.1;
/// The minimum time between two decreases.
const DECREASE_INTERVAL: Nanos = 3 * TICK_INTERVAL;
/// The time in seconds within which a decrease should let the work queued at a host drain.
const DRAIN_SECONDS: f64 = 2.0;
/// The smallest share by which a limit is decreased.
const MIN_DECREASE: f64 = 0.05;
/// The share of healthy hosts above which a limit may be decreased to 0.
const HEALTHY_MAJORITY_SHARE: f64 = 0.7;
/// The largest share by which a limit is decreased if the share of healthy hosts is not above
/// [`HEALTHY_MAJORITY_SHARE`].
const MAX_DECREASE_WHEN_FEW_HEALTHY: f64 = 0.5;

/// The load limit of a host, and the state from which it is computed.
#[derive(Default)]
pub(crate) struct LoadLimit {
    /// The upper bound of this node's load at the host; `None` if there is none.
    pub limit: Option<f64>,
    /// The highest recent load that the host sustained while its messages were in time.
    pub sustained_load: f64,
    pub decreased_at: Nanos,
    /// The message latency divided by its objective at the last decrease; 0 before the first.
    pub latency_ratio_at_decrease: f64,
}

/// The inputs of a decrease.
pub(crate) struct Overload {
    /// The message latency divided by its objective.
    pub latency_ratio: f64,
    /// That objective in seconds.
    pub objective_seconds: f64,
    /// This node's load at the host.
    pub load: f64,
    /// This node's mean load at a host, per unit of size.
    pub mean_load: f64,
    /// The size of the host.
    pub size: f64,
    /// The share of hosts that are healthy.
    pub healthy_share: f64,
}

impl LoadLimit {
    pub fn is_set(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns the limit. If none is set, returns `typical`, or a share of the sustained load if
    /// that is higher: otherwise a host that sustains its load would be restricted by the limits of
    /// other hosts.
    pub fn effective(&self, typical: f64) -> f64 {
        self.limit
            .unwrap_or(typical.max(SUSTAINED_LOAD_SHARE * self.sustained_load))
    }

    /// Raises the limit, faster the longer the host has been healthy, and removes it once it is far
    /// above the load. `min_limit` is half the mean load of a host of this size.
    pub fn raise(&mut self, now: Nanos, load: f64, latency_measured_at: Nanos, min_limit: f64) {
        let healthy_since = self.decreased_at.max(latency_measured_at).min(now);
        let healthy_seconds = (now - healthy_since) as f64 / SECOND as f64;
        let rise = RISE_PER_SECOND * healthy_seconds.min(MAX_RISING_SECONDS) * TICK_INTERVAL as f64
            / SECOND as f64;
        // The limit rises in proportion to the sustained load. Otherwise a host whose limit was
        // decreased by a short fault of all hosts would stay nearly empty long after it.
        self.sustained_load = (SUSTAINED_LOAD_DECAY * self.sustained_load).max(load);
        let raised = self
            .limit
            .map(|limit| limit + rise * limit.max(min_limit).max(self.sustained_load));
        self.limit = raised.filter(|&limit| limit < 4.0 * load + min_limit);
    }

    /// Returns whether the last decrease has had time to take effect and the latency was measured
    /// again since. Without this, once its clients have left, a host would be limited to the little
    /// load that remains, by the late message that already caused the last decrease.
    pub fn may_decrease(&self, now: Nanos, latency_measured_at: Nanos) -> bool {
        self.latency_ratio_at_decrease <= 0.0
            || now >= self.decreased_at + DECREASE_INTERVAL
                && latency_measured_at > self.decreased_at
    }

    /// Decreases the limit and returns it. Returns `None` if the load is too low to be decreased:
    /// otherwise one late message would limit a nearly empty host to that load long after it is
    /// healthy.
    pub fn decrease(&mut self, now: Nanos, overload: &Overload) -> Option<f64> {
        let max_decrease = if overload.healthy_share > HEALTHY_MAJORITY_SHARE {
            1.0
        } else {
            MAX_DECREASE_WHEN_FEW_HEALTHY
        };
        let queued_seconds = overload.latency_ratio * overload.objective_seconds;
        let decrease_share = (queued_seconds / DRAIN_SECONDS).clamp(MIN_DECREASE, max_decrease);
        // The limit keeps a minimum. Otherwise load that other nodes placed at the host would
        // decrease its limit to 0, and it would stay empty long after it is healthy.
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
