//! Lending of slow-start quota: each member has an equal share of it, keeps a part of its own whatever happens, and uses
//! the rest, and the shares of dead members, under leases that a majority granted.

use crate::event::Action;
use crate::member::{LeaseHolder, MemberInfo, MemberState, Nanos};
use crate::membership::Membership;
use crate::message::{MemberClaim, MessageBody};
use crate::quota_leases::QuotaLeases;
use crate::rendezvous::owner;
use std::collections::BTreeSet;

/// For how many periods a share is leased.
const LEASE_PERIODS: u64 = 3;
/// The part of a member's share that is never lent.
const OWN_PART: f64 = 0.5;

/// How much of a member's quota this one may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaShare {
    /// The index of the member whose quota it is.
    pub member_index: u32,
    /// How much of that, up to 1.
    pub fraction: f64,
}

#[derive(Clone, Hash)]
pub(crate) struct QuotaLending {
    leases: QuotaLeases,
    /// Whether lending is of use now.
    pub lending: bool,
    /// The cluster size before the one that counts now, until all go by that.
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

    /// This member has another place: all leases are void.
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
    /// Asks all members for leases on this member's own share and on those of dead members that are its to take over.
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

    /// Which members' quota this member may use now.
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
                fraction: 1.0 - OWN_PART,
            })
            .collect();
        let own_part = self.own_part();
        match shares
            .iter_mut()
            .find(|share| share.member_index == me.member_index)
        {
            Some(share) => share.fraction += own_part,
            None => shares.push(QuotaShare {
                member_index: me.member_index,
                fraction: own_part,
            }),
        }
        shares
    }

    /// The part of its own share that this member uses without a lease. Where cluster sizes differ, no more of the whole
    /// than by either.
    fn own_part(&self) -> f64 {
        if self.agrees_on_cluster_size() {
            return OWN_PART;
        }
        let cluster_size = self.table.me.info.cluster_size;
        match self.quota.previous_cluster_size {
            Some(previous) => {
                OWN_PART * (f64::from(cluster_size) / f64::from(previous.max(1))).min(1.0)
            }
            None => 0.0,
        }
    }

    /// Whether a sender goes by this member's cluster size, and is another member of it.
    fn is_other_member(&self, sender: &MemberInfo) -> bool {
        let me = &self.table.me.info;
        sender.cluster_size == me.cluster_size && sender.member_index != me.member_index
    }

    /// A member asks for leases.
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

    /// A member has granted leases.
    pub(crate) fn on_lease_grant(&mut self, sender: &MemberClaim, sequence: u32, shares: &[u32]) {
        if self.is_other_member(&sender.info) {
            let member_index = sender.info.member_index;
            self.quota.leases.on_grant(member_index, sequence, shares);
        }
    }
}
