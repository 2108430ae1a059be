//! The clock. It reads the system's wall clock once, at the start, and advances with the monotonic
//! clock, so it never goes back when the system's time is changed.

use crate::Nanos;
use rustix::event::Timespec;
use rustix::time::{clock_gettime, ClockId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// Unix time that never goes back: the time of the machine's monotonic clock plus a fixed offset,
/// by which the wall clock was ahead at the start. Clones share the offset.
#[derive(Clone, Debug)]
pub struct Clock {
    /// The time by which this clock is ahead of the monotonic clock.
    offset: Rc<Cell<Nanos>>,
}

/// Returns the time of the monotonic clock, which all processes of the machine share.
fn monotonic() -> Nanos {
    nanoseconds(clock_gettime(ClockId::Monotonic))
}

fn nanoseconds(time: Timespec) -> Nanos {
    time.tv_sec as Nanos * NANOS_PER_SECOND + time.tv_nsec as Nanos
}

/// Converts a duration to the type that system calls expect.
pub(crate) fn timespec(duration: Nanos) -> Timespec {
    Timespec {
        tv_sec: (duration / NANOS_PER_SECOND) as i64,
        tv_nsec: (duration % NANOS_PER_SECOND) as _,
    }
}

/// Returns the processor time that the calling thread has used.
pub fn processor_time() -> Nanos {
    nanoseconds(clock_gettime(ClockId::ThreadCPUTime))
}

impl Clock {
    /// Starts a clock at the current time of the wall clock.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_nanos() as Nanos);
        Clock {
            offset: Rc::new(Cell::new(unix.saturating_sub(monotonic()))),
        }
    }

    /// Returns the current time in nanoseconds since the Unix epoch.
    pub fn read(&self) -> Nanos {
        self.offset.get() + monotonic()
    }

    /// Returns the time by which this clock is ahead of the monotonic clock.
    pub fn offset(&self) -> Nanos {
        self.offset.get()
    }

    /// Adopts the offset of another process on this machine, so that both clocks read the same
    /// time. With separate offsets, a step of the wall clock between the starts of the two
    /// processes would make the times that they exchange incomparable. Call this before the clock
    /// is used to time anything.
    pub fn set_offset(&self, offset: Nanos) {
        self.offset.set(offset);
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
