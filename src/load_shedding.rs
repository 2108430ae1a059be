//! Load shedding: computes which share of the arriving requests is rejected because the messages of
//! recent connections were late.

use crate::action::Action;
use crate::intervals::DECAY_PER_TICK;
use crate::time::{Nanos, SECOND};

/// The number of connections over which the moving mean of the late rate is taken.
const SAMPLES: f64 = 3.0;
/// The share of recent connections with late messages above which requests are rejected.
const MIN_LATE_RATE: f64 = 0.3;
/// The factor from the excess of the late rate to the share of rejected requests.
const SHED_FACTOR: f64 = 8.0;
/// The maximum time for which a node rejects all requests because of late messages.
const MAX_REJECTING: Nanos = 2 * SECOND;

/// The state of load shedding.
#[derive(Default)]
pub(crate) struct LoadShedding {
    /// The share of recent connections whose host delivered messages late.
    late_rate: f64,
    /// When the first request was rejected since one was last placed; `None` where none was.
    rejecting_since: Option<Nanos>,
}

impl LoadShedding {
    pub fn late_rate(&self) -> f64 {
        self.late_rate
    }

    pub fn inherit(&mut self, late_rate: f64) {
        self.late_rate = late_rate;
    }

    /// Returns whether so many recent connections had late messages that requests are rejected.
    pub fn is_active(&self) -> bool {
        self.late_rate > MIN_LATE_RATE
    }

    /// Returns the share of requests to reject; 1 or more rejects all of them. `unseen_share` is
    /// the share of the hosts' load that this node does not see, from 0 to 1.
    pub fn rejected_share(&self, unseen_share: f64) -> f64 {
        SHED_FACTOR * unseen_share * (self.late_rate - MIN_LATE_RATE) / (1.0 - MIN_LATE_RATE)
    }

    /// Returns whether the next request is placed as a trial although shedding is active. Prevents
    /// a node from rejecting all requests for tens of seconds after its hosts have recovered,
    /// because rejected requests never reveal the recovery.
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

    /// Records whether the host of a connection delivered messages late.
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

    /// Decays the late rate. Otherwise a node that rejects nearly all requests would get no new
    /// observations and go on rejecting forever.
    pub fn tick(&mut self) {
        self.late_rate *= DECAY_PER_TICK;
    }
}
