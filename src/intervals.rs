//! Intervals that several components of the balancer share.

use crate::time::{Nanos, SECOND};

/// The number of steps for which the load of a connection is predicted.
pub(crate) const LOOK_AHEAD_STEPS: u64 = 10;
/// The length of one look-ahead step.
pub(crate) const LOOK_AHEAD_STEP: Nanos = 3 * SECOND;
/// The length of all look-ahead steps, in nanoseconds.
pub(crate) const LOOK_AHEAD_NANOS: f64 = (LOOK_AHEAD_STEPS * LOOK_AHEAD_STEP) as f64;
/// The interval at which the balancer acts without an event from the caller.
pub(crate) const TICK_INTERVAL: Nanos = SECOND / 2;
/// The factor by which decaying sums and rates are multiplied with every tick.
pub(crate) const DECAY_PER_TICK: f64 = 0.98;
/// How long the record of a client, or of a host that is gone, is kept.
pub(crate) const RECORD_MAX_AGE: Nanos = 3600 * SECOND;
