//! The descriptor budget. Owns the count of open descriptors. Must never let new work use up the reserve: a
//! client that the machine has accepted already still gets its answer from it.

use rustix::process::{getrlimit, setrlimit, Resource};
use std::cell::Cell;
use std::rc::Rc;

/// Descriptors that are open from the start: standard streams, the poller, the signals' pairs and a little
/// more.
const BASE_DESCRIPTORS: usize = 12;

/// How many descriptors the program may have open, and has.
pub struct DescriptorBudget {
    in_use: Rc<Cell<usize>>,
    limit: usize,
    reserve: usize,
}

impl DescriptorBudget {
    /// A budget of so many descriptors, or of what the system allows.
    pub fn new(limit: usize) -> Self {
        let limit = granted(limit);
        DescriptorBudget {
            in_use: Rc::new(Cell::new(BASE_DESCRIPTORS)),
            limit: limit.max(2 * BASE_DESCRIPTORS),
            reserve: (limit / 8).clamp(16, 128).min(limit / 2),
        }
    }

    /// Sets so many descriptors aside for one part alone: the others can't use them up, nor it
    /// theirs.
    pub fn split_off(&self, count: usize) -> DescriptorBudget {
        self.in_use.set(self.in_use.get() + count);
        DescriptorBudget {
            in_use: Rc::new(Cell::new(0)),
            limit: count,
            reserve: 0,
        }
    }

    /// Whether so many more may be opened for new work.
    pub fn has_capacity(&self, count: usize) -> bool {
        self.in_use.get() + count + self.reserve <= self.limit
    }

    /// Whether the reserve itself runs out.
    pub fn nearly_exhausted(&self) -> bool {
        self.in_use.get() + self.reserve / 2 > self.limit
    }

    /// How many are open.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Whether no more may be opened, for whatever purpose.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.limit
    }

    /// Counts a descriptor that has been opened.
    pub(crate) fn count_one(&self) -> CountedDescriptor {
        self.in_use.set(self.in_use.get() + 1);
        CountedDescriptor {
            in_use: Rc::clone(&self.in_use),
        }
    }
}

/// A descriptor that counts as open until this is dropped.
pub(crate) struct CountedDescriptor {
    in_use: Rc<Cell<usize>>,
}

impl Drop for CountedDescriptor {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}

/// How many descriptors the system lets the program have, of those it is to have.
fn granted(limit: usize) -> usize {
    let mut system = getrlimit(Resource::Nofile);
    let wanted = system
        .maximum
        .map_or(limit as u64, |most| most.min(limit as u64));
    if system.current.is_some_and(|now| now < wanted) {
        // Where raising the limit is not allowed, what is there must do.
        system.current = Some(wanted);
        _ = setrlimit(Resource::Nofile, system);
    }
    getrlimit(Resource::Nofile)
        .current
        .map_or(limit, |now| (now as usize).min(limit))
}
