//! Remembers the ids of requests that may have run and must not run twice, after their connection has ended. Clients
//! use an id once, but one that leaves and comes again with the same id must not have its request run a second time.
//!
//! Ids are kept as hashes, for a limited time and up to a limited number. At the limit, requests that would have to be
//! remembered are rejected before any attempt.

use reedferry::{Nanos, SECOND};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_128;

/// The minimum time for which an id is remembered.
const MIN_RETENTION: Nanos = 10 * SECOND;
/// How many times the longest timeout of a request an id is remembered, if that is longer.
const RETENTION_TIMEOUTS: Nanos = 2;
/// The number of remembered ids from which on no further request is admitted that would have to be remembered.
const MAX_IDS: usize = 65_536;

/// The hash of a request's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct IdHash(u128);

impl IdHash {
    /// Returns the hash of an id.
    pub fn of(id: &str) -> Self {
        IdHash(xxh3_128(id.as_bytes()))
    }
}

/// What one process of an upgrade tells the other about the id of a request that must not run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdNotice {
    /// An attempt of the request is about to start, or may have run.
    Attempted(IdHash),
    /// The request has ended, and no attempt can have run.
    NotRun(IdHash),
}

/// Returns for how long an id is remembered if a request waits for its answer for `max_timeout` at most.
pub(super) fn retention(max_timeout: Nanos) -> Nanos {
    max_timeout
        .saturating_mul(RETENTION_TIMEOUTS)
        .max(MIN_RETENTION)
}

/// The remembered ids.
#[derive(Debug, Default)]
pub(super) struct AttemptedIds {
    /// Until when each id is remembered.
    expiries: HashMap<IdHash, Nanos>,
    /// The ids in the order in which they were recorded, with the time until which each was to be remembered then.
    order: VecDeque<(Nanos, IdHash)>,
}

impl AttemptedIds {
    /// Remembers an id until `expires_at`.
    pub(super) fn remember(&mut self, now: Nanos, id: IdHash, expires_at: Nanos) {
        self.expire(now);
        self.expiries.insert(id, expires_at);
        self.order.push_back((expires_at, id));
    }

    /// Forgets an id.
    pub(super) fn forget(&mut self, id: IdHash) {
        self.expiries.remove(&id);
    }

    /// Returns the remembered ids.
    pub(super) fn ids(&self) -> impl Iterator<Item = IdHash> + '_ {
        self.expiries.keys().copied()
    }

    /// Returns whether an id is remembered.
    pub(super) fn contains(&mut self, now: Nanos, id: IdHash) -> bool {
        self.expire(now);
        self.expiries.contains_key(&id)
    }

    /// Returns whether no further request may be admitted that would have to be remembered.
    pub(super) fn is_full(&mut self, now: Nanos) -> bool {
        self.expire(now);
        self.order.len() >= MAX_IDS
    }

    /// Forgets the ids whose time is over.
    fn expire(&mut self, now: Nanos) {
        while let Some((at, id)) = self.order.pop_front_if(|(at, _)| *at <= now) {
            // The id may have been recorded again since.
            if self.expiries.get(&id) == Some(&at) {
                self.expiries.remove(&id);
            }
        }
    }
}

#[cfg(test)]
#[path = "attempted_ids_tests.rs"]
mod tests;
