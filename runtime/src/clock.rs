//! The clock. It owns the one reading of the system's wall clock at the start. It must never go back, whatever the
//! system's time does.

use crate::Nanos;
use rustix::time::{clock_gettime, ClockId};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Unix time that never goes back: how far the wall clock was ahead of the steady one at the start, and the steady clock.
/// Clones are one clock.
#[derive(Clone, Debug)]
pub struct Clock {
    offset: Rc<Cell<Nanos>>,
}

/// The machine's steady clock, which is one for all its processes.
fn steady() -> Nanos {
    let time = clock_gettime(ClockId::Monotonic);
    time.tv_sec as Nanos * 1_000_000_000 + time.tv_nsec as Nanos
}

/// The processor time that the calling thread has used.
pub fn processor_time() -> Nanos {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as Nanos * 1_000_000_000 + time.tv_nsec as Nanos
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_nanos() as Nanos);
        Clock {
            offset: Rc::new(Cell::new(unix.saturating_sub(steady()))),
        }
    }

    /// Nanoseconds since 1970.
    pub fn read(&self) -> Nanos {
        self.offset.get() + steady()
    }

    /// How far it is ahead of the machine's steady clock.
    pub fn offset(&self) -> Nanos {
        self.offset.get()
    }

    /// Goes by the clock of another process of this machine, which is so far ahead of the steady one. Guards: times that
    /// pass between two processes, read by the one's wall clock and compared with the other's after a step. To be called
    /// before anything was timed by it.
    pub fn set_offset(&self, ahead: Nanos) {
        self.offset.set(ahead);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn clones_are_one_clock_that_counts_on_from_the_wall_clock_or_from_that_of_another_process() {
        let clock = Clock::start();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_nanos() as Nanos;
        assert!(clock.read().abs_diff(unix) < 1_000_000_000);
        let (other, hour) = (clock.clone(), 3600 * 1_000_000_000);
        let before = clock.read();
        other.set_offset(clock.offset() - hour);
        let after = clock.read();
        assert!((before - hour..before).contains(&after), "{before} {after}");
        assert!(other.read() >= after);
    }
}
