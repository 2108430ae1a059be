//! When a host has started, as this node counts time: a plain value. Owns which claims of hosts are
//! believed. Must never know a list or a host.
//!
//! A claim is the wall clock of the host's machine when it started; the node compares it with its
//! own, which was read at the node's start and counted on since. Either may have been stepped, by
//! seconds or an hour. A claim that can't be true counts for the moment at which it was learned:
//! the host is then taken for less warmed up than it is, never for more.

use reedferry::{Nanos, SECOND};

/// How late what a list tells may be, by the protocol.
const MAX_UPDATE_DELAY: Nanos = 6 * SECOND;

/// How a claim was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimSource {
    /// With a list of which this node does not know since when it holds: any claim that lies in the
    /// past may be true.
    FullList,
    /// As a change, by a node that knew all that there was up to `known_until`: the host has
    /// started since, but for the delay of changes.
    Update {
        /// Up to when the node knew all that there was.
        known_until: Nanos,
    },
}

/// Since when the host has run, where it claims this; none for long ago.
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
