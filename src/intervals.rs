//! Intervals that several parts of the decision module share.

use crate::time::{Nanos, SECOND};

/// How many steps ahead the load of a connection is predicted.
pub(crate) const LOOK_AHEAD_STEPS: u64 = 10;
/// The length of one such step.
pub(crate) const LOOK_AHEAD_STEP: Nanos = 3 * SECOND;
/// The length of all of them.
pub(crate) const LOOK_AHEAD_NANOS: f64 = (LOOK_AHEAD_STEPS * LOOK_AHEAD_STEP) as f64;
/// How often the balancer acts without an event from outside.
pub(crate) const TICK_INTERVAL: Nanos = SECOND / 2;
/// What each tick leaves of a mean that fades.
pub(crate) const FADE_PER_TICK: f64 = 0.98;
/// How long a client, or a host that is gone, is remembered.
pub(crate) const RECORD_MAX_AGE: Nanos = 3600 * SECOND;
