//! The descriptor budget, which counts and limits open descriptors. New work cannot use the
//! reserve, so clients whose connections the kernel has already established can still be answered.

use rustix::process::{getrlimit, setrlimit, Resource};
use std::cell::Cell;
use std::rc::Rc;

/// The number of descriptors that are open from the start: the standard streams, the poller, the
/// socket pairs of the signals and a few more.
const BASE_DESCRIPTORS: usize = 12;

/// Counts the open descriptors of the program, or of one component, and limits their number.
pub struct DescriptorBudget {
    in_use: Rc<Cell<usize>>,
    limit: usize,
    reserve: usize,
}

impl DescriptorBudget {
    /// Creates a budget of `limit` descriptors, or of as many as the system allows if that is less.
    pub fn new(limit: usize) -> Self {
        let limit = raise_descriptor_limit(limit);
        DescriptorBudget {
            in_use: Rc::new(Cell::new(BASE_DESCRIPTORS)),
            limit: limit.max(2 * BASE_DESCRIPTORS),
            reserve: (limit / 8).clamp(16, 128).min(limit / 2),
        }
    }

    /// Sets `count` descriptors aside for one component and returns a separate budget for them:
    /// neither that component nor the others can use up each other's descriptors.
    pub fn split_off(&self, count: usize) -> DescriptorBudget {
        self.in_use.set(self.in_use.get() + count);
        DescriptorBudget {
            in_use: Rc::new(Cell::new(0)),
            limit: count,
            reserve: 0,
        }
    }

    /// Returns whether new work may open `count` more descriptors, which leaves the reserve unused.
    pub fn has_capacity(&self, count: usize) -> bool {
        self.in_use.get() + count + self.reserve <= self.limit
    }

    /// Returns whether more than half of the reserve is in use.
    pub fn nearly_exhausted(&self) -> bool {
        self.in_use.get() + self.reserve / 2 > self.limit
    }

    /// Returns the number of open descriptors, including those set aside for components.
    pub fn in_use(&self) -> usize {
        self.in_use.get()
    }

    /// Returns whether the limit is reached, so that no descriptor may be opened for any purpose.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.in_use.get() >= self.limit
    }

    /// Counts a descriptor as open until the returned guard is dropped.
    pub(crate) fn count_descriptor(&self) -> CountedDescriptor {
        self.in_use.set(self.in_use.get() + 1);
        CountedDescriptor {
            in_use: Rc::clone(&self.in_use),
        }
    }
}

/// Guard that counts one descriptor as open until it is dropped.
pub(crate) struct CountedDescriptor {
    in_use: Rc<Cell<usize>>,
}

impl Drop for CountedDescriptor {
    fn drop(&mut self) {
        self.in_use.set(self.in_use.get() - 1);
    }
}

/// Raises the system's soft limit on open descriptors towards `limit`, as far as the hard limit
/// allows, and returns how many of `limit` descriptors the program may open.
fn raise_descriptor_limit(limit: usize) -> usize {
    let mut rlimit = getrlimit(Resource::Nofile);
    let wanted = rlimit
        .maximum
        .map_or(limit as u64, |hard_limit| hard_limit.min(limit as u64));
    if rlimit.current.is_some_and(|soft_limit| soft_limit < wanted) {
        // If the limit cannot be raised, the current one applies.
        rlimit.current = Some(wanted);
        _ = setrlimit(Resource::Nofile, rlimit);
    }
    getrlimit(Resource::Nofile)
        .current
        .map_or(limit, |soft_limit| (soft_limit as usize).min(limit))
}
