//! Load shedding: how much of what arrives is rejected because recent connections met late
//! messages.

use crate::action::Action;
use crate::intervals::FADE_PER_TICK;
use crate::time::{Nanos, SECOND};

/// How many connections the rate is blended over.
const SAMPLES: f64 = 3.0;
/// The share of recent connections with late messages from which some requests are rejected.
const MIN_LATE_RATE: f64 = 0.3;
/// How fast the share of rejected requests grows beyond that.
const SHED_FACTOR: f64 = 8.0;
/// For how long a node may reject all that arrives because of late messages.
const MAX_REJECTING: Nanos = 2 * SECOND;

/// The state of load shedding.
#[derive(Default)]
pub(crate) struct LoadShedding {
    /// The share of recent connections that met late messages at their host.
    late_rate: f64,
    /// Since when all that arrived was rejected for that.
    rejecting_since: Option<Nanos>,
}

impl LoadShedding {
    pub fn late_rate(&self) -> f64 {
        self.late_rate
    }

    pub fn inherit(&mut self, late_rate: f64) {
        self.late_rate = late_rate;
    }

    /// Whether so many recent connections met late messages that some requests are rejected.
    pub fn is_active(&self) -> bool {
        self.late_rate > MIN_LATE_RATE
    }

    /// The share of requests to reject, by how little of the hosts' load this node sees (from 0 to
    /// 1).
    pub fn rejected_share(&self, unseen_share: f64) -> f64 {
        SHED_FACTOR * unseen_share * (self.late_rate - MIN_LATE_RATE) / (1.0 - MIN_LATE_RATE)
    }

    /// Whether the next request is placed though others are rejected. Prevents a node from
    /// rejecting all for tens of seconds after its hosts have recovered, as rejected requests never
    /// show that.
    pub fn should_admit_trial(&self, now: Nanos) -> bool {
        self.rejecting_since
            .is_some_and(|since| now >= since + MAX_REJECTING)
    }

    pub fn request_rejected(&mut self, now: Nanos) {
        self.rejecting_since.get_or_insert(now);
    }

    pub fn request_placed(&mut self) {
        self.rejecting_since = None;
    }

    /// A connection met late messages, or none, at its host.
    pub fn latency_observed(&mut self, late: bool, requests: usize, actions: &mut Vec<Action>) {
        let before = self.is_active();
        self.late_rate += (f64::from(u8::from(late)) - self.late_rate) / SAMPLES;
        if before != self.is_active() {
            log!(
                actions,
                "load shedding active={} late_rate={:.2} requests={requests}",
                !before,
                self.late_rate
            );
        }
    }

    /// Without this, a node that rejects nearly all would hear of nothing and go on for ever.
    pub fn tick(&mut self) {
        self.late_rate *= FADE_PER_TICK;
    }
}
