//! Which shards this member owns, and where the member of an index is.

use crate::member::{MemberState, Nanos};
use crate::member_table::Member;
use crate::membership::Membership;
use crate::rendezvous::owner;
use std::net::SocketAddr;

impl Membership {
    /// The ids of the members that may own shards, this one among them.
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

    /// Of these shards, those that this member owns.
    pub fn owned_shards(&self, now: Nanos, shards: impl Iterator<Item = u64>) -> Vec<u64> {
        if self.holds_off(now) {
            return Vec::new();
        }
        let members = self.shard_owners();
        shards
            .filter(|shard| owner(*shard, members.iter().copied()) == Some(self.table.my_id))
            .collect()
    }

    /// Where the member of an index receives messages, unless it is dead.
    pub fn address_of(&self, member_index: u32) -> Option<SocketAddr> {
        self.peers()
            .find(|member| {
                member.info.member_index == member_index && member.state != MemberState::Dead
            })
            .map(|member| member.info.address)
    }

    /// The index of the member that receives messages at this address.
    pub fn member_index_at(&self, address: SocketAddr) -> Option<u32> {
        self.peers()
            .find(|member| member.info.address == address)
            .map(|member| member.info.member_index)
    }

    /// The members that go by this one's cluster size.
    fn peers(&self) -> impl Iterator<Item = &Member> {
        let cluster_size = self.table.me.info.cluster_size;
        self.others()
            .filter(move |member| member.info.cluster_size == cluster_size)
    }

    /// Whether all known members, the dead too, go by this member's cluster size; those that left do not count.
    pub fn agrees_on_cluster_size(&self) -> bool {
        self.table.agrees_on_cluster_size()
    }
}
