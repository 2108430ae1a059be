//! Leases on quota shares, each held by at most one member at a time and granted by a majority of a cluster of fixed
//! size. Each member tracks the grants that it gave and received by its own monotonic clock. This module is independent
//! of what the quota is for and of which members are alive.

use crate::member::{LeaseHolder, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// The clocks of two machines drift apart by less than one part in this number.
const CLOCK_DRIFT_DIVISOR: Nanos = 16;
/// How many times a lease is renewed within its length.
const RENEWALS_PER_LEASE: Nanos = 3;

#[derive(Clone, Hash)]
struct Grant {
    holder: LeaseHolder,
    expires_at: Nanos,
}

/// A request for leases, to be sent to all members.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseRequest {
    pub sequence: u32,
    pub shares: Vec<u32>,
}

/// One member's side of all leases, as holder and as grantor. A share is identified by the index of the member to which
/// the quota belongs.
#[derive(Clone, Hash)]
pub struct QuotaLeases {
    me: LeaseHolder,
    cluster_size: u32,
    length: Nanos,
    /// When this member started. It does not know of grants that it gave before.
    started_at: Nanos,
    /// The grants that this member gave to others and to itself, by share.
    granted: BTreeMap<u32, Grant>,
    /// The shares that this member wants, and when each member's grant of them expires.
    wanted: BTreeMap<u32, BTreeMap<u32, Nanos>>,
    /// When each recent request was sent, by its sequence number.
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

    /// Replaces the set of wanted shares and releases the others.
    pub fn set_wanted(&mut self, shares: &BTreeSet<u32>) {
        self.wanted.retain(|share, _| shares.contains(share));
        for share in shares {
            self.wanted.entry(*share).or_default();
        }
    }

    /// Returns the request that is due now, or `None`.
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
        // This member's own vote counts like any other.
        let granted = self.on_request(now, self.me, &shares);
        self.on_grant(self.me.member_index, self.sequence, &granted);
        Some(LeaseRequest {
            sequence: self.sequence,
            shares,
        })
    }

    /// Returns when the next request is due, or `None` if no shares are wanted.
    pub fn next_request_at(&self) -> Option<Nanos> {
        (!self.wanted.is_empty()).then_some(self.next_request_at)
    }

    /// Handles a request for leases on these shares. Returns the shares that are granted.
    pub fn on_request(&mut self, now: Nanos, holder: LeaseHolder, shares: &[u32]) -> Vec<u32> {
        let may_have_forgotten = now < self.started_at.saturating_add(self.length);
        // Without this check, a share could be leased to two members after a restart, as the earlier grant is
        // forgotten.
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

    /// Handles a member's grant of these shares. Unknown sequence numbers are ignored.
    pub fn on_grant(&mut self, member_index: u32, sequence: u32, shares: &[u32]) {
        let Some(&requested_at) = self.requested_at.get(&sequence) else {
            return;
        };
        // The lease is counted from the request, which was sent before the grant began, and shortened by the clock
        // drift. Without this, a late answer would extend the lease beyond the end of the grant.
        let expires_at = requested_at + self.length - self.length / CLOCK_DRIFT_DIVISOR;
        for share in shares.iter().filter(|_| member_index < self.cluster_size) {
            if let Some(grants) = self.wanted.get_mut(share) {
                let expiry = grants.entry(member_index).or_insert(expires_at);
                *expiry = expires_at.max(*expiry);
            }
        }
    }

    /// Returns the shares that a majority has currently granted to this member.
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
