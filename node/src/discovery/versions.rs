//! Which lists of a service are believed, and whether the next call to it may wait for news: a
//! plain value. Owns the version reached. Must never know a connection or a host.

/// How a list that has come compares with what is known.
#[derive(Debug, PartialEq)]
pub enum Freshness {
    /// It is the newest.
    Current,
    /// A whole list from before what is known: believed, but for the drains that it does not know
    /// of.
    Older,
    /// From before what is known, by a call that waited long: ignored.
    Stale,
    /// Changes from before what is known: not believed, and the whole list is wanted next.
    Backwards,
}

/// The version reached at one service.
#[derive(Default)]
pub struct ListVersions {
    /// None before the service has given its whole list.
    known: Option<u64>,
    /// The version reached before the service counted backwards.
    highest_before_reset: Option<u64>,
    /// The service may have restarted and count afresh, below what is known here.
    maybe_restarted: bool,
}

impl ListVersions {
    /// For a node that knows the list up to this version.
    pub fn new(known: Option<u64>) -> Self {
        ListVersions {
            known,
            ..ListVersions::default()
        }
    }

    /// The version reached; none before the service has given its whole list.
    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// Whether a call may wait for what comes after the version known. Without this, one would wait
    /// at a service that has restarted, with versions that the one known here is far beyond.
    pub fn may_long_poll(&self) -> bool {
        self.known.is_some() && !self.maybe_restarted
    }

    /// A call broke, or had no answer in time.
    pub fn record_failure(&mut self) {
        self.maybe_restarted = true;
    }

    /// Assesses a list, of the watch or of a call beside it, and goes by it where it is believed.
    pub fn assess(&mut self, watch: bool, revision: u64, complete: bool) -> Freshness {
        let before = self.known.is_some_and(|known| revision < known);
        if before && !watch {
            return Freshness::Stale;
        }
        if before && !complete {
            self.highest_before_reset = self.highest_before_reset.max(self.known.take());
            return Freshness::Backwards;
        }
        let older = complete
            && self
                .highest_before_reset
                .max(self.known)
                .is_some_and(|known| revision < known);
        self.known = Some(revision);
        self.highest_before_reset = None;
        self.maybe_restarted &= !watch;
        if older {
            Freshness::Older
        } else {
            Freshness::Current
        }
    }
}

#[cfg(test)]
#[path = "versions_tests.rs"]
mod tests;
