//! The failure rate of connection set-ups over all hosts. Where it is high, the cause is a resource
//! that all set-ups share, such as a session store, and no single host is at fault.

use crate::action::Action;

/// The number of set-ups over which the moving mean of the rate is taken.
const SAMPLES: f64 = 8.0;
/// The rate above which failures are common, and so have a shared cause.
const COMMON_RATE: f64 = 0.3;

/// The share of recent set-ups that failed.
#[derive(Default)]
pub(crate) struct SetupFailures {
    rate: f64,
    /// The index of the host of the last set-up that failed.
    last_failed_host: Option<usize>,
}

impl SetupFailures {
    pub fn rate(&self) -> f64 {
        self.rate
    }

    pub fn inherit(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Returns whether set-ups fail so often that no single host can be at fault.
    pub fn are_common(&self) -> bool {
        self.rate > COMMON_RATE
    }

    pub fn setup_succeeded(&mut self, requests: usize, actions: &mut Vec<Action>) {
        self.record(0.0, requests, actions);
    }

    /// Records a failed set-up, unless the previous failure was at the same host: failures of one
    /// host alone are its own fault. Without this exception, a host that fails fast, and so
    /// attracts clients, would be mistaken for a failing session store and stay in use.
    pub fn setup_failed(
        &mut self,
        host: Option<usize>,
        requests: usize,
        actions: &mut Vec<Action>,
    ) {
        if std::mem::replace(&mut self.last_failed_host, host) != host {
            self.record(1.0, requests, actions);
        }
    }

    fn record(&mut self, failed: f64, requests: usize, actions: &mut Vec<Action>) {
        let before = self.are_common();
        self.rate += (failed - self.rate) / SAMPLES;
        if before != self.are_common() {
            log!(
                actions,
                "setup failures common={} rate={:.2} requests={requests}",
                !before,
                self.rate
            );
        }
    }
}
