//! Leases on quota that one member may use at a time, granted by a majority of a cluster of fixed size. It owns what
//! this member has granted to others and what others have granted to it, each by its own steady clock. It must never
//! know what the quota is of, nor who is alive.

use crate::member::{LeaseHolder, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// The clocks of two machines drift apart by less than one part in so many.
const MAX_CLOCK_DRIFT: Nanos = 16;
/// A lease is renewed so many times in its length.
const RENEWALS_PER_LEASE: Nanos = 3;

#[derive(Clone, Hash)]
struct Grant {
    holder: LeaseHolder,
    expires_at: Nanos,
}

/// A request to all members for leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    pub sequence: u32,
    pub shares: Vec<u32>,
}

/// One member's side of all leases. A share is named by the index of the member whose quota it is.
#[derive(Clone, Hash)]
pub struct QuotaLeases {
    me: LeaseHolder,
    cluster_size: u32,
    length: Nanos,
    /// What this member granted before then it does not know.
    started_at: Nanos,
    /// Grants to others and to itself, by share.
    granted: BTreeMap<u32, Grant>,
    /// The shares that this member wants, and until when each member has granted them.
    wanted: BTreeMap<u32, BTreeMap<u32, Nanos>>,
    /// When each request was sent, by its sequence number.
    requested_at: BTreeMap<u32, Nanos>,
    sequence: u32,
    next_request_at: Nanos,
}

impl QuotaLeases {
    pub fn new(me: LeaseHolder, cluster_size: u32, length: Nanos, now: Nanos) -> QuotaLeases {
        QuotaLeases {
            me,
            cluster_size,
            length,
            started_at: now,
            granted: BTreeMap::new(),
            wanted: BTreeMap::new(),
            requested_at: BTreeMap::new(),
            sequence: 0,
            next_request_at: now,
        }
    }

    /// Wants these shares from here on, and releases others.
    pub fn set_wanted(&mut self, shares: &BTreeSet<u32>) {
        self.wanted.retain(|share, _| shares.contains(share));
        for share in shares {
            self.wanted.entry(*share).or_default();
        }
    }

    /// The request to all members that is due now, if one is.
    pub fn take_due_request(&mut self, now: Nanos) -> Option<LeaseRequest> {
        if self.wanted.is_empty() || now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + self.length / RENEWALS_PER_LEASE;
        self.sequence = self.sequence.wrapping_add(1);
        self.requested_at.insert(self.sequence, now);
        let length = self.length;
        self.requested_at
            .retain(|_, sent| now < sent.saturating_add(length));
        let shares: Vec<u32> = self.wanted.keys().copied().collect();
        // Its own vote counts like any other.
        let granted = self.on_request(now, self.me, &shares);
        self.on_grant(self.me.member_index, self.sequence, &granted);
        Some(LeaseRequest {
            sequence: self.sequence,
            shares,
        })
    }

    /// When the next request is due.
    pub fn next_request_at(&self) -> Option<Nanos> {
        (!self.wanted.is_empty()).then_some(self.next_request_at)
    }

    /// A member asks for leases on these shares; gives those that are granted.
    pub fn on_request(&mut self, now: Nanos, holder: LeaseHolder, shares: &[u32]) -> Vec<u32> {
        let may_have_forgotten = now < self.started_at.saturating_add(self.length);
        // Without this, a share is granted twice as this member has forgotten the first grant.
        if may_have_forgotten || holder.member_index >= self.cluster_size {
            return Vec::new();
        }
        let mut granted = Vec::new();
        for share in shares.iter().filter(|share| **share < self.cluster_size) {
            let current = self.granted.get(share);
            let is_taken =
                current.is_some_and(|grant| now < grant.expires_at && grant.holder != holder);
            if !is_taken {
                let expires_at = now + self.length;
                self.granted.insert(*share, Grant { holder, expires_at });
                granted.push(*share);
            }
        }
        granted
    }

    /// A member has granted these shares.
    pub fn on_grant(&mut self, member_index: u32, sequence: u32, shares: &[u32]) {
        let Some(&requested_at) = self.requested_at.get(&sequence) else {
            return;
        };
        // Counted from the request, which was sent before the grant began. Without this, a late answer is used when the
        // grant has expired.
        let expires_at = requested_at + self.length - self.length / MAX_CLOCK_DRIFT;
        for share in shares.iter().filter(|_| member_index < self.cluster_size) {
            if let Some(grants) = self.wanted.get_mut(share) {
                let expiry = grants.entry(member_index).or_insert(expires_at);
                *expiry = expires_at.max(*expiry);
            }
        }
    }

    /// The shares that a majority has granted to this member now.
    pub fn held(&self, now: Nanos) -> impl Iterator<Item = u32> + '_ {
        let valid = move |grants: &BTreeMap<u32, Nanos>| {
            grants.values().filter(|expiry| now < **expiry).count()
        };
        self.wanted
            .iter()
            .filter(move |(_, grants)| 2 * valid(grants) > self.cluster_size as usize)
            .map(|(share, _)| *share)
    }
}

#[cfg(test)]
#[path = "quota_leases_model_tests.rs"]
mod model_tests;
