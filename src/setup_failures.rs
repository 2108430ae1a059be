//! How often connection set-ups fail, whatever the host: where most do, the cause is what all
//! set-ups share, such as a session store, and no single host is to blame.

use crate::action::Action;

/// How many set-ups the rate is blended over.
const SAMPLES: f64 = 8.0;
/// The rate from which the cause is common.
const COMMON_RATE: f64 = 0.3;

/// The share of recent set-ups that failed.
#[derive(Default)]
pub(crate) struct SetupFailures {
    rate: f64,
    /// The host of the last set-up that failed.
    last_failed_host: Option<usize>,
}

impl SetupFailures {
    pub fn rate(&self) -> f64 {
        self.rate
    }

    pub fn inherit(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Whether set-ups fail so often that no single host can be to blame.
    pub fn are_common(&self) -> bool {
        self.rate > COMMON_RATE
    }

    pub fn setup_succeeded(&mut self, requests: usize, actions: &mut Vec<Action>) {
        self.record(0.0, requests, actions);
    }

    /// What one host alone fails is its own fault. Without this, one that fails fast, and so draws
    /// clients, would be taken for a store that fails, and left in use.
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
