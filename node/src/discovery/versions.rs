//! Which lists of a service are believed, and whether the next call to it may wait for news: a plain value. It owns
//! the version reached. It must never know a connection or a host.

/// What a list is worth that has come.
#[derive(Debug, PartialEq)]
pub enum Worth {
    News,
    /// A whole list from before what is known: believed, but for the drains that it does not know of.
    Older,
    /// From before what is known, by a call that waited long: nothing.
    Stale,
    /// Changes from before what is known: not believed, and the whole list is wanted next.
    Backwards,
}

#[derive(Default)]
pub struct Versions {
    /// None before the service has given its whole list.
    known: Option<u64>,
    /// The version reached before the service counted backwards.
    passed: Option<u64>,
    /// The service may have started anew and count afresh, below what is known here.
    doubted: bool,
}

impl Versions {
    pub fn new(known: Option<u64>) -> Self {
        Versions {
            known,
            ..Versions::default()
        }
    }

    pub fn known(&self) -> Option<u64> {
        self.known
    }

    /// Whether a call may wait there for what comes after the version known. Guards: one that waits at a service that
    /// has started anew, with versions that the one known here is far beyond.
    pub fn may_wait(&self) -> bool {
        self.known.is_some() && !self.doubted
    }

    /// A call broke off, or has had no answer in time.
    pub fn broke(&mut self) {
        self.doubted = true;
    }

    /// A list has come, of the watch or of a call beside it.
    pub fn told(&mut self, watch: bool, revision: u64, complete: bool) -> Worth {
        let before = self.known.is_some_and(|known| revision < known);
        if before && !watch {
            return Worth::Stale;
        }
        if before && !complete {
            self.passed = self.passed.max(self.known.take());
            return Worth::Backwards;
        }
        let older = complete
            && self
                .passed
                .max(self.known)
                .is_some_and(|known| revision < known);
        (self.known, self.passed, self.doubted) = (Some(revision), None, self.doubted && !watch);
        if older {
            Worth::Older
        } else {
            Worth::News
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards: drains forgotten by an older list, whether it comes at once or after changes that run backwards.
    #[test]
    fn an_older_whole_list_is_known_as_such_and_older_changes_are_not_believed() {
        let mut versions = Versions::new(Some(9));
        assert_eq!(versions.told(true, 4, true), Worth::Older);
        assert_eq!(
            (versions.told(true, 5, false), versions.known()),
            (Worth::News, Some(5))
        );
        assert_eq!(versions.told(false, 4, true), Worth::Stale);
        assert_eq!(
            (versions.told(true, 2, false), versions.known()),
            (Worth::Backwards, None)
        );
        assert!(!versions.may_wait(), "there is nothing to wait for");
        // A call beside the watch may come first.
        assert_eq!(versions.told(false, 3, true), Worth::Older);
        assert_eq!(versions.told(true, 3, true), Worth::News);
    }

    /// Guards: a wait at a service that started anew, though a call beside the watch or a refusal came in between.
    #[test]
    fn doubt_lasts_until_the_watch_is_answered() {
        let mut versions = Versions::default();
        assert!(!versions.may_wait());
        versions.told(false, 3, true);
        assert!(versions.may_wait());
        versions.broke();
        versions.told(false, 3, true);
        assert!(!versions.may_wait());
        versions.told(true, 3, false);
        assert!(versions.may_wait());
    }
}
