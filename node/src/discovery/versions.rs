//! Decides which lists of a service are accepted by their revisions, and whether the next call may wait for
//! changes. This module tracks the revision reached and handles neither connections nor hosts.

/// How the revision of a received list compares with the known one.
#[derive(Debug, PartialEq)]
pub enum Freshness {
    /// The list is at least as new as the known revision.
    Current,
    /// A full list with an older revision: accepted, but the drains that are known stay in force.
    Older,
    /// A list with an older revision that arrived by a call beside the watch: ignored.
    Stale,
    /// Changes with an older revision: rejected, and the full list is requested next.
    Regressed,
}

/// The revision reached at one service.
#[derive(Default)]
pub struct ListVersions {
    /// The known revision, or `None` until the service has sent its full list.
    known: Option<u64>,
    /// The highest revision known before the service sent changes with an older one; `None` if it never did, or
    /// has sent an accepted list since.
    highest_before_reset: Option<u64>,
    /// Whether the service may have restarted and may now count revisions from below the known one.
    maybe_restarted: bool,
}

impl ListVersions {
    /// Creates the state of a node that knows the list up to this revision, or no list if it is `None`.
    pub fn new(known: Option<u64>) -> Self {
        ListVersions {
            known,
            ..ListVersions::default()
        }
    }

    /// Returns the known revision, or `None` until the service has sent its full list.
    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// Returns whether a call may wait for a revision beyond the known one. It may not if the service may have
    /// restarted: its new revisions may be far below the known one, and the call would wait in vain.
    pub fn may_long_poll(&self) -> bool {
        self.known.is_some() && !self.maybe_restarted
    }

    /// Records that a call broke or had no answer in time.
    pub fn record_failure(&mut self) {
        self.maybe_restarted = true;
    }

    /// Compares a list with the known revision and takes over its revision if the list is accepted. `watch` tells
    /// whether it answers the watch or a call beside it.
    pub fn assess(&mut self, watch: bool, revision: u64, complete: bool) -> Freshness {
        let is_older = self.known.is_some_and(|known| revision < known);
        if is_older && !watch {
            return Freshness::Stale;
        }
        if is_older && !complete {
            self.highest_before_reset = self.highest_before_reset.max(self.known.take());
            return Freshness::Regressed;
        }
        let older_than_highest = complete
            && self
                .highest_before_reset
                .max(self.known)
                .is_some_and(|known| revision < known);
        self.known = Some(revision);
        self.highest_before_reset = None;
        self.maybe_restarted &= !watch;
        if older_than_highest {
            Freshness::Older
        } else {
            Freshness::Current
        }
    }
}

#[cfg(test)]
#[path = "versions_tests.rs"]
mod tests;
