//! Ejection of a host: for how long it is left out after a failure.

use crate::time::{Nanos, SECOND};

/// The length of a first ejection; later ones in a row are twice as long.
const EJECTION_TIME: Nanos = 3 * SECOND;

/// Whether a host is ejected.
#[derive(Default)]
pub(crate) struct Ejection {
    pub until: Nanos,
    /// How many times in a row.
    pub count: u32,
}

impl Ejection {
    pub fn is_active(&self, now: Nanos) -> bool {
        now < self.until
    }

    /// Ejects the host, or prolongs its ejection. Returns whether it was in use until now.
    pub fn start(&mut self, now: Nanos, random: f64) -> bool {
        let length = EJECTION_TIME << self.count.min(1);
        let was_in_use = !self.is_active(now);
        if was_in_use {
            self.count += 1;
        }
        // Spread, so that nodes do not take a host back in step.
        self.until = now + (length as f64 * (0.75 + 0.5 * random)) as Nanos;
        was_in_use
    }

    /// A connection has ended well: the next ejection is no longer than a second one in a row.
    pub fn connection_succeeded(&mut self) {
        self.count = self.count.min(1);
    }
}
