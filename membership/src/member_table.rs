//! The table of all members known to this one: their info, versions and states, and the updates that still have to be
//! gossiped. It resolves conflicting claims: the higher version wins, and for equal versions the more severe state. It
//! sends no messages itself.

use crate::gossip_queue::GossipQueue;
use crate::member::{MemberInfo, MemberState, MemberVersion, Nanos, MAX_MESSAGE_BYTES};
use crate::message::{MemberClaim, MessageError, TABLE_PARTITIONS};
use crate::suspicion::Suspicions;
use crate::table_digest::TableDigest;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// The maximum distance of an incarnation into the future, in milliseconds. It allows for differences between the
/// members' system clocks.
const MAX_CLOCK_SKEW_MS: u64 = 24 * 3600 * 1000;
/// The minimum encoded size of a claim in a message, in bytes.
const MIN_CLAIM_BYTES: usize = 16;

/// Returns the id of the member with this name: a hash of the name.
pub(crate) fn member_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// What this member knows of another member.
#[derive(Clone, Debug, Hash)]
pub struct Member {
    /// The properties that the member announced.
    pub info: Arc<MemberInfo>,
    /// The version of the latest claim about the member.
    pub version: MemberVersion,
    /// The member's state.
    pub state: MemberState,
    /// When the member entered that state, on this member's clock.
    pub since: Nanos,
}

/// The result of merging a claim into the table.
#[derive(Debug, PartialEq)]
pub(crate) enum MergeOutcome {
    /// The claim contains nothing new.
    Unchanged,
    /// The claim is older than the table's entry, or has the same version and a less severe state.
    Stale,
    /// The claim replaced the table's entry. Contains the previous state, or `None` for a new member.
    Changed(Option<MemberState>),
    /// The claim is about this member itself and was not merged.
    AboutSelf,
    /// The claim contradicts the table or exceeds a limit.
    Invalid(MessageError),
}

#[derive(Clone, Hash)]
pub(crate) struct MemberTable {
    pub me: MemberClaim,
    pub my_id: u64,
    pub members: BTreeMap<u64, Member>,
    pub suspicions: Suspicions,
    pub dead: BTreeSet<u64>,
    updates: GossipQueue,
    /// How many times this member's claim about itself has been sent since it last changed.
    own_times_sent: u32,
    /// The number of known members for each configured cluster size. Without this count, every pass of the event loop
    /// would have to scan all members.
    cluster_sizes: BTreeMap<u32, usize>,
    digest: TableDigest,
    /// The time of the last change to any entry, or of the start.
    pub unchanged_since: Nanos,
    max_members: usize,
}

impl MemberTable {
    pub fn new(info: MemberInfo, incarnation: u64, now: Nanos, max_members: usize) -> MemberTable {
        let my_id = member_id(&info.name);
        let me = MemberClaim {
            info,
            version: MemberVersion {
                incarnation,
                sequence: 0,
            },
            state: MemberState::Active,
            accuser: 0,
        };
        let mut digest = TableDigest::default();
        digest.add(my_id, me.version, me.state);
        MemberTable {
            me,
            my_id,
            members: BTreeMap::new(),
            suspicions: Suspicions::default(),
            dead: BTreeSet::new(),
            updates: GossipQueue::default(),
            own_times_sent: 0,
            cluster_sizes: BTreeMap::new(),
            digest,
            unchanged_since: now,
            max_members,
        }
    }

    pub fn partition_digests(&self) -> &[u32; TABLE_PARTITIONS] {
        self.digest.partitions()
    }

    pub fn digest(&self) -> u64 {
        self.digest.whole()
    }

    /// Returns the number of members that are not dead, including this one.
    pub fn alive_count(&self) -> usize {
        self.members.len() + 1 - self.dead.len()
    }

    pub fn get(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Whether the member is known and not dead.
    pub fn is_alive(&self, id: u64) -> bool {
        self.get(id).is_some_and(|m| m.state != MemberState::Dead)
    }

    /// Whether the member is known and neither suspect nor dead.
    pub fn is_healthy(&self, id: u64) -> bool {
        self.get(id).is_some_and(|m| m.state.is_healthy())
    }

    /// Returns the id of the other member at this address that is not dead, or `None` if there is none.
    pub fn alive_at(&self, address: SocketAddr) -> Option<u64> {
        self.members
            .iter()
            .find(|(_, m)| m.info.address == address && m.state != MemberState::Dead)
            .map(|(id, _)| *id)
    }

    /// Whether the table has the claim's member under the same version and not as dead.
    pub fn knows_alive(&self, claim: &MemberClaim) -> bool {
        self.get(member_id(&claim.info.name))
            .is_some_and(|m| m.state != MemberState::Dead && m.version == claim.version)
    }

    /// Applies a change to this member's claim about itself and announces it under the next version.
    pub fn announce(&mut self, now: Nanos, change: impl FnOnce(&mut MemberClaim)) {
        let id = self.my_id;
        self.digest.remove(id, self.me.version, self.me.state);
        change(&mut self.me);
        self.me.version = self.me.version.next();
        self.digest.add(id, self.me.version, self.me.state);
        self.own_times_sent = 0;
        self.unchanged_since = now;
    }

    /// Merges a claim into the table. `clock` is the system clock, in milliseconds since the Unix epoch.
    pub fn merge(&mut self, now: Nanos, claim: &MemberClaim, clock: u64) -> MergeOutcome {
        let id = member_id(&claim.info.name);
        if id == self.my_id {
            return MergeOutcome::AboutSelf;
        }
        if claim.version.incarnation > clock.saturating_add(MAX_CLOCK_SKEW_MS) {
            return MergeOutcome::Invalid(MessageError::FarFuture);
        }
        if self.members.contains_key(&id) {
            self.merge_known(now, id, claim)
        } else {
            self.merge_new(now, id, claim)
        }
    }

    fn merge_new(&mut self, now: Nanos, id: u64, claim: &MemberClaim) -> MergeOutcome {
        if claim.state == MemberState::Dead {
            return MergeOutcome::Unchanged;
        }
        if self.members.len() >= self.max_members && !self.forget_oldest_dead() {
            return MergeOutcome::Invalid(MessageError::TooManyMembers);
        }
        let member = Member {
            info: Arc::new(claim.info.clone()),
            version: claim.version,
            state: MemberState::Active,
            since: now,
        };
        self.insert(id, member);
        self.apply(now, id, claim);
        MergeOutcome::Changed(None)
    }

    fn merge_known(&mut self, now: Nanos, id: u64, claim: &MemberClaim) -> MergeOutcome {
        let Some(known) = self.members.get(&id) else {
            return MergeOutcome::Unchanged;
        };
        if known.info.name != claim.info.name {
            return MergeOutcome::Invalid(MessageError::IdCollision);
        }
        let is_newer = claim.version > known.version;
        let same_incarnation = claim.version.incarnation == known.version.incarnation;
        if is_newer && same_incarnation && claim.info.address != known.info.address {
            return MergeOutcome::Invalid(MessageError::TwoAddresses);
        }
        let severity = known.state.severity();
        let is_more_severe = claim.version == known.version && claim.state.severity() > severity;
        if is_newer || is_more_severe {
            let previous = known.state;
            self.apply(now, id, claim);
            return MergeOutcome::Changed(Some(previous));
        }
        if claim.version < known.version {
            return MergeOutcome::Stale;
        }
        // A suspicion by a further accuser shortens the timeout, so it is gossiped as an update.
        if claim.state == MemberState::Suspect && self.suspicions.confirm(id, claim.accuser) {
            self.updates.push(id);
        }
        if severity > claim.state.severity() {
            MergeOutcome::Stale
        } else {
            MergeOutcome::Unchanged
        }
    }

    fn insert(&mut self, id: u64, member: Member) {
        self.digest.add(id, member.version, member.state);
        self.count_cluster_size(member.info.cluster_size);
        self.members.insert(id, member);
    }

    /// Replaces a member's entry with the claim, and updates the digest, the update queue and the suspicion to match.
    fn apply(&mut self, now: Nanos, id: u64, claim: &MemberClaim) {
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        let (version, state) = (member.version, member.state);
        let cluster_size = member.info.cluster_size;
        if *member.info != claim.info {
            member.info = Arc::new(claim.info.clone());
        }
        member.version = claim.version;
        member.state = claim.state;
        if state != claim.state {
            member.since = now;
        }
        self.uncount_cluster_size(cluster_size);
        self.count_cluster_size(claim.info.cluster_size);
        self.digest.remove(id, version, state);
        self.digest.add(id, claim.version, claim.state);
        self.updates.push(id);
        self.unchanged_since = now;
        if claim.state == MemberState::Suspect {
            self.suspicions.start(now, id, claim.accuser);
        } else {
            self.suspicions.clear(id);
        }
        if claim.state == MemberState::Dead {
            self.dead.insert(id);
        } else {
            self.dead.remove(&id);
        }
    }

    fn count_cluster_size(&mut self, cluster_size: u32) {
        *self.cluster_sizes.entry(cluster_size).or_default() += 1;
    }

    fn uncount_cluster_size(&mut self, cluster_size: u32) {
        let count = self.cluster_sizes.entry(cluster_size).or_default();
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.cluster_sizes.remove(&cluster_size);
        }
    }

    /// Whether all known members, dead ones included, use this member's cluster size. Members that have left are
    /// ignored.
    pub fn agrees_on_cluster_size(&self) -> bool {
        let mine = self.me.info.cluster_size;
        self.cluster_sizes
            .keys()
            .all(|size| *size == mine || *size == 0)
    }

    /// Returns the current claim about a member, for sending to others, or `None` for an unknown id.
    pub fn claim(&self, id: u64) -> Option<MemberClaim> {
        if id == self.my_id {
            return Some(self.me.clone());
        }
        let member = self.members.get(&id)?;
        Some(MemberClaim {
            info: (*member.info).clone(),
            version: member.version,
            state: member.state,
            accuser: self.suspicions.last_accuser(id),
        })
    }

    /// Returns how many times an update is sent: with n live members, 2 * ceil(log2(n + 1)) + 2.
    fn max_times_sent(&self) -> u32 {
        2 * (self.alive_count() as f64 + 1.0).log2().ceil() as u32 + 2
    }

    /// Returns the members with pending updates in sending order, at most as many as can fit in one message.
    pub fn updates(&self) -> Vec<u64> {
        self.updates
            .iter()
            .take(MAX_MESSAGE_BYTES / MIN_CLAIM_BYTES)
            .collect()
    }

    pub fn has_updates(&self) -> bool {
        !self.updates.is_empty() || self.own_times_sent < self.max_times_sent()
    }

    /// Records that the update about a member was sent once more.
    pub fn mark_sent(&mut self, id: u64) {
        let max_times_sent = self.max_times_sent();
        self.updates.mark_sent(id, max_times_sent);
    }

    /// Records that this member's claim about itself was sent, which every message includes.
    pub fn mark_self_sent(&mut self) {
        self.own_times_sent = self.own_times_sent.saturating_add(1);
    }

    /// Returns when the earliest suspicion expires, or `None` if nobody is suspected.
    pub fn next_suspicion_expiry(&self, period: Nanos) -> Option<Nanos> {
        self.suspicions.next_expiry(self.alive_count(), period)
    }

    /// Returns the suspects whose suspicion has expired.
    pub fn expired_suspects(&self, now: Nanos, period: Nanos) -> Vec<u64> {
        self.suspicions.expired(now, self.alive_count(), period)
    }

    /// Removes the members that have been dead since this time or earlier.
    pub fn forget_dead_since(&mut self, since: Nanos) {
        let is_old = |id: &&u64| self.get(**id).is_none_or(|member| member.since <= since);
        let old: Vec<u64> = self.dead.iter().filter(is_old).copied().collect();
        for id in old {
            self.forget(id);
        }
    }

    /// Removes the member that has been dead for the longest time. Returns whether there was one.
    fn forget_oldest_dead(&mut self) -> bool {
        let died_at = |id: &&u64| self.get(**id).map(|member| member.since);
        let oldest = self.dead.iter().min_by_key(died_at).copied();
        if let Some(id) = oldest {
            self.forget(id);
        }
        oldest.is_some()
    }

    fn forget(&mut self, id: u64) {
        if let Some(member) = self.members.remove(&id) {
            self.uncount_cluster_size(member.info.cluster_size);
            self.updates.remove(id);
        }
        self.dead.remove(&id);
    }
}

#[cfg(test)]
#[path = "member_table_test_support.rs"]
mod test_support;
