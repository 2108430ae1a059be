//! The ejection of a host: how long it receives no requests after a failure.

use crate::time::{Nanos, SECOND};

/// The mean length of a first ejection. Further ones in a row are twice as long.
const EJECTION_TIME: Nanos = 3 * SECOND;

/// The ejection state of a host.
#[derive(Default)]
pub(crate) struct Ejection {
    pub until: Nanos,
    /// The number of ejections in a row.
    pub count: u32,
}

impl Ejection {
    pub fn is_active(&self, now: Nanos) -> bool {
        now < self.until
    }

    /// Starts an ejection or prolongs a running one. Returns whether the host was in use before.
    pub fn start(&mut self, now: Nanos, random: f64) -> bool {
        let length = EJECTION_TIME << self.count.min(1);
        let was_in_use = !self.is_active(now);
        if was_in_use {
            self.count += 1;
        }
        // The length is random within a quarter of its mean, so that the nodes do not all start to
        // use the host again at the same time.
        self.until = now + (length as f64 * (0.75 + 0.5 * random)) as Nanos;
        was_in_use
    }

    /// Records that a connection ended well: the next ejection counts at most as the second in a
    /// row.
    pub fn connection_succeeded(&mut self) {
        self.count = self.count.min(1);
    }
}
