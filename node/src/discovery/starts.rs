//! When a host has started, as this node counts time: a plain value. It owns which claims of hosts are believed. It must
//! never know a list or a host.
//!
//! A claim is the wall clock of the host's machine when it started; the node compares it with its own, which was read at
//! the node's start and counted on since. Either may have been stepped, by seconds or an hour. A claim that can't be true
//! counts for the moment in which it was learned: the host is then taken for colder than it is, never for warmer.

use reedferry::{Nanos, SECOND};

/// How late what a list tells may be, by the protocol.
const LATEST_NEWS: Nanos = 6 * SECOND;

/// How a claim was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Learned {
    /// With a list of which this node does not know since when it holds: any claim that lies in the past may be true.
    WithWholeList,
    /// As news to one that had heard all that there was up to then: the host has started since, but for what news may be
    /// late.
    AsNews { heard_until: Nanos },
}

/// Since when the host has run, where it claims this; none for long ago.
pub fn believed(claim: Option<Nanos>, learned: Learned, now: Nanos) -> Option<Nanos> {
    let claim = claim?;
    let possible = match learned {
        Learned::WithWholeList => claim <= now,
        Learned::AsNews { heard_until } => {
            claim <= now && claim >= heard_until.saturating_sub(LATEST_NEWS)
        }
    };
    Some(if possible { claim } else { now })
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: Nanos = 1_000_000 * SECOND;
    const HOUR: Nanos = 3600 * SECOND;

    #[test]
    fn a_claim_that_can_be_true_is_believed() {
        let news = Learned::AsNews {
            heard_until: NOW - SECOND,
        };
        for learned in [Learned::WithWholeList, news] {
            assert_eq!(believed(None, learned, NOW), None);
            for age in [0, SECOND, 6 * SECOND] {
                assert_eq!(believed(Some(NOW - age), learned, NOW), Some(NOW - age));
            }
        }
        assert_eq!(
            believed(Some(NOW - HOUR), Learned::WithWholeList, NOW),
            Some(NOW - HOUR)
        );
    }

    /// Guards: a cold host taken for warm, and a warm one taken for cold for as long as clocks differ.
    #[test]
    fn one_that_can_not_counts_from_when_it_was_learned() {
        let news = Learned::AsNews { heard_until: NOW };
        assert_eq!(believed(Some(NOW + HOUR), news, NOW), Some(NOW));
        assert_eq!(
            believed(Some(NOW + 5 * SECOND), Learned::WithWholeList, NOW),
            Some(NOW)
        );
        assert_eq!(believed(Some(NOW - HOUR), news, NOW), Some(NOW));
        assert_eq!(believed(Some(NOW - 7 * SECOND), news, NOW), Some(NOW));
    }
}
