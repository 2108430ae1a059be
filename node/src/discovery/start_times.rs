//! Decides which start times claimed by hosts are plausible, independently of lists and host records.
//!
//! A claim is the wall clock of the host's machine when the host started. The node compares it with its
//! own clock, which was read when the node started and has advanced monotonically since. Either wall clock
//! may have been stepped by seconds or by an hour. An implausible claim is replaced by the moment at which
//! it was learned, so that a host may count as less warmed up than it is, but never as more.

use reedferry::{Nanos, SECOND};

/// The longest delay with which a change may be delivered, by the protocol.
const MAX_UPDATE_DELAY: Nanos = 6 * SECOND;

/// The kind of list that a claim came with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimSource {
    /// A list whose age is unknown to this node: any claim that lies in the past is plausible.
    FullList,
    /// A change, received by a node that knew all changes up to `known_until`: the host started after that,
    /// or before it by at most the delay of a change.
    Update {
        /// The moment up to which the node knew all changes.
        known_until: Nanos,
    },
}

/// Returns when the host started, or `None` if it claims no start time and thus counts as started long ago. An
/// implausible claim yields `now`.
pub fn plausible_start(claim: Option<Nanos>, source: ClaimSource, now: Nanos) -> Option<Nanos> {
    let claim = claim?;
    let possible = match source {
        ClaimSource::FullList => claim <= now,
        ClaimSource::Update { known_until } => {
            claim <= now && claim >= known_until.saturating_sub(MAX_UPDATE_DELAY)
        }
    };
    Some(if possible { claim } else { now })
}

#[cfg(test)]
#[path = "start_times_tests.rs"]
mod tests;
