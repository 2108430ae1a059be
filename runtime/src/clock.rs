//! The clock. Owns the one reading of the system's wall clock at the start. Must never go back,
//! whatever the system's time does.

use crate::Nanos;
use rustix::event::Timespec;
use rustix::time::{clock_gettime, ClockId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

const NANOS_PER_SECOND: Nanos = 1_000_000_000;

/// Unix time that never goes back: the machine's monotonic clock, and how far the wall clock was
/// ahead of it at the start. Clones are one clock.
#[derive(Clone, Debug)]
pub struct Clock {
    /// How far this clock is ahead of the monotonic one.
    offset: Rc<Cell<Nanos>>,
}

/// The machine's monotonic clock, which is one for all its processes.
fn monotonic() -> Nanos {
    nanoseconds(clock_gettime(ClockId::Monotonic))
}

fn nanoseconds(time: Timespec) -> Nanos {
    time.tv_sec as Nanos * NANOS_PER_SECOND + time.tv_nsec as Nanos
}

/// A span of time as the system takes it.
pub(crate) fn timespec(span: Nanos) -> Timespec {
    Timespec {
        tv_sec: (span / NANOS_PER_SECOND) as i64,
        tv_nsec: (span % NANOS_PER_SECOND) as _,
    }
}

/// The processor time that the calling thread has used.
pub fn processor_time() -> Nanos {
    nanoseconds(clock_gettime(ClockId::ThreadCPUTime))
}

impl Clock {
    /// A clock that goes by the wall clock of this moment.
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_nanos() as Nanos);
        Clock {
            offset: Rc::new(Cell::new(unix.saturating_sub(monotonic()))),
        }
    }

    /// The time in nanoseconds since 1970.
    pub fn read(&self) -> Nanos {
        self.offset.get() + monotonic()
    }

    /// How far it is ahead of the machine's steady clock.
    pub fn offset(&self) -> Nanos {
        self.offset.get()
    }

    /// Goes by the clock of another process of this machine, which is so far ahead of the monotonic
    /// one. Without this, times that pass between two processes would be read by the one's wall
    /// clock and compared with the other's after a step. To be called before anything was timed by
    /// it.
    pub fn set_offset(&self, offset: Nanos) {
        self.offset.set(offset);
    }
}

#[cfg(test)]
#[path = "clock_tests.rs"]
mod tests;
