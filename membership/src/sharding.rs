//! Shard ownership, and lookups between member indexes and addresses.

use crate::member::{MemberState, Nanos};
use crate::member_table::Member;
use crate::membership::Membership;
use crate::rendezvous::owner;
use std::net::SocketAddr;

impl Membership {
    /// Returns the ids of the members that may own shards, including this one if it is eligible.
    pub(crate) fn shard_owners(&self) -> Vec<u64> {
        let me = Some(self.table.my_id)
            .filter(|_| self.table.me.state == MemberState::Active && !self.is_inactive);
        self.table
            .members
            .iter()
            .filter(|(_, member)| member.state.owns_shards())
            .map(|(id, _)| *id)
            .chain(me)
            .collect()
    }

    /// Returns those of the given shards that this member owns; none while it holds off after a stall.
    pub fn owned_shards(&self, now: Nanos, shards: impl Iterator<Item = u64>) -> Vec<u64> {
        if self.holds_off(now) {
            return Vec::new();
        }
        let members = self.shard_owners();
        shards
            .filter(|shard| owner(*shard, members.iter().copied()) == Some(self.table.my_id))
            .collect()
    }

    /// Returns the address of the member with this index, or `None` if it is unknown, dead or uses another cluster
    /// size.
    pub fn address_of(&self, member_index: u32) -> Option<SocketAddr> {
        self.peers()
            .find(|member| {
                member.info.member_index == member_index && member.state != MemberState::Dead
            })
            .map(|member| member.info.address)
    }

    /// Returns the index of the member at this address, or `None` if it is unknown or uses another cluster size. Dead
    /// members are included.
    pub fn member_index_at(&self, address: SocketAddr) -> Option<u32> {
        self.peers()
            .find(|member| member.info.address == address)
            .map(|member| member.info.member_index)
    }

    /// Iterates over the other members that use this member's cluster size, dead ones included.
    fn peers(&self) -> impl Iterator<Item = &Member> {
        let cluster_size = self.table.me.info.cluster_size;
        self.others()
            .filter(move |member| member.info.cluster_size == cluster_size)
    }

    /// Whether all known members, dead ones included, use this member's cluster size. Members that have left are
    /// ignored.
    pub fn agrees_on_cluster_size(&self) -> bool {
        self.table.agrees_on_cluster_size()
    }
}
