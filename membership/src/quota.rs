//! Lending of slow-start quota. Every member has an equal share. It may use a fixed fraction of its own without a
//! lease, or less while members disagree on the cluster size. The rest, and the shares of dead members, may only be
//! used under a lease that a majority has granted.

use crate::event::Action;
use crate::member::{LeaseHolder, MemberInfo, MemberState, Nanos};
use crate::membership::Membership;
use crate::message::{MemberClaim, MessageBody};
use crate::quota_leases::QuotaLeases;
use crate::rendezvous::owner;
use std::collections::BTreeSet;

/// The length of a lease, in periods.
const LEASE_PERIODS: u64 = 3;
/// The fraction of a member's share that is never lent.
const RESERVED_FRACTION: f64 = 0.5;

/// A fraction of a member's quota that this member may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// The index of the member to which the quota belongs.
    pub member_index: u32,
    /// The usable fraction of that quota, from 0 to 1.
    pub fraction: f64,
}

#[derive(Clone, Hash)]
pub(crate) struct QuotaLending {
    leases: QuotaLeases,
    /// Whether this member requests leases; see [`crate::Event::QuotaLendingChanged`].
    pub lending: bool,
    /// The cluster size before this member's latest change of placement, or `None` if all members have agreed on the
    /// cluster size since.
    previous_cluster_size: Option<u32>,
}

impl QuotaLending {
    pub fn new(info: &MemberInfo, incarnation: u64, period: Nanos, now: Nanos) -> QuotaLending {
        QuotaLending {
            leases: new_leases(info, incarnation, period, now),
            lending: false,
            previous_cluster_size: None,
        }
    }

    /// Starts over after a change of this member's index or of the cluster size, which voids all leases.
    pub fn restart(
        &mut self,
        info: &MemberInfo,
        incarnation: u64,
        previous_cluster_size: u32,
        period: Nanos,
        now: Nanos,
    ) {
        self.previous_cluster_size = Some(previous_cluster_size);
        self.leases = new_leases(info, incarnation, period, now);
    }

    pub fn next_request_at(&self) -> Option<Nanos> {
        self.leases.next_request_at().filter(|_| self.lending)
    }
}

fn new_leases(info: &MemberInfo, incarnation: u64, period: Nanos, now: Nanos) -> QuotaLeases {
    let me = LeaseHolder {
        member_index: info.member_index,
        incarnation,
    };
    QuotaLeases::new(me, info.cluster_size, LEASE_PERIODS * period, now)
}

impl Membership {
    /// Requests leases from all members when they are due: on the lendable part of this member's own share, and on the
    /// shares of those dead members that are assigned to it.
    pub(crate) fn request_leases(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let mut shares = BTreeSet::new();
        if self.agrees_on_cluster_size() && self.table.me.state == MemberState::Active {
            self.quota.previous_cluster_size = None;
            shares = self.shares_to_lease();
        }
        self.quota.leases.set_wanted(&shares);
        let Some(request) = self.quota.leases.take_due_request(now) else {
            return;
        };
        let members = self.table.members.keys().copied();
        let alive: Vec<u64> = members.filter(|id| !self.table.dead.contains(id)).collect();
        for id in alive {
            let body = MessageBody::LeaseRequest {
                sequence: request.sequence,
                shares: request.shares.clone(),
            };
            self.send(id, body, None, out);
        }
    }

    fn shares_to_lease(&self) -> BTreeSet<u32> {
        let me = &self.table.me.info;
        let alive: BTreeSet<u32> = self
            .others()
            .filter(|member| member.state != MemberState::Dead)
            .map(|member| member.info.member_index)
            .collect();
        let members = self.shard_owners();
        let is_mine = |share: &u32| {
            let owner = owner(u64::from(*share), members.iter().copied());
            owner == Some(self.table.my_id)
        };
        let mut shares: BTreeSet<u32> = (0..me.cluster_size)
            .filter(|share| !alive.contains(share) && *share != me.member_index)
            .filter(is_mine)
            .collect();
        shares.insert(me.member_index);
        shares
    }

    /// Returns the quota that this member may use now, by the member to which it belongs.
    pub fn quota_shares(&self, now: Nanos) -> Vec<QuotaShare> {
        let me = &self.table.me.info;
        if self.is_inactive {
            return Vec::new();
        }
        let mut shares: Vec<QuotaShare> = self
            .quota
            .leases
            .held(now)
            .filter(|share| *share < me.cluster_size)
            .map(|member_index| QuotaShare {
                member_index,
                fraction: 1.0 - RESERVED_FRACTION,
            })
            .collect();
        let reserved_fraction = self.reserved_fraction();
        match shares
            .iter_mut()
            .find(|share| share.member_index == me.member_index)
        {
            Some(share) => share.fraction += reserved_fraction,
            None => shares.push(QuotaShare {
                member_index: me.member_index,
                fraction: reserved_fraction,
            }),
        }
        shares
    }

    /// Returns the fraction of its own share that this member uses without a lease. While members disagree on the
    /// cluster size, it uses no more of the total quota than under the size before its latest change, and none if its
    /// own size has not changed.
    fn reserved_fraction(&self) -> f64 {
        if self.agrees_on_cluster_size() {
            return RESERVED_FRACTION;
        }
        let cluster_size = self.table.me.info.cluster_size;
        match self.quota.previous_cluster_size {
            Some(previous) => {
                RESERVED_FRACTION * (f64::from(cluster_size) / f64::from(previous.max(1))).min(1.0)
            }
            None => 0.0,
        }
    }

    /// Whether the sender uses this member's cluster size and has another index.
    fn is_other_member(&self, sender: &MemberInfo) -> bool {
        let me = &self.table.me.info;
        sender.cluster_size == me.cluster_size && sender.member_index != me.member_index
    }

    /// Handles a member's request for leases.
    pub(crate) fn on_lease_request(
        &mut self,
        now: Nanos,
        sender: &MemberClaim,
        sequence: u32,
        shares: &[u32],
        out: &mut Vec<Action>,
    ) {
        if self.is_other_member(&sender.info) {
            let holder = LeaseHolder {
                member_index: sender.info.member_index,
                incarnation: sender.version.incarnation,
            };
            let shares = self.quota.leases.on_request(now, holder, shares);
            let body = MessageBody::LeaseGrant { sequence, shares };
            self.send_to(sender.info.address, body, None, out);
        }
    }

    /// Handles leases that a member has granted.
    pub(crate) fn on_lease_grant(&mut self, sender: &MemberClaim, sequence: u32, shares: &[u32]) {
        if self.is_other_member(&sender.info) {
            let member_index = sender.info.member_index;
            self.quota.leases.on_grant(member_index, sequence, shares);
        }
    }
}
