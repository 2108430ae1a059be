//! What one member knows of all others: who there is, in which state, under which version, and what of it is news. It
//! owns what counts where two claims differ. It must never send anything.

use crate::gossip_queue::GossipQueue;
use crate::member::{MemberInfo, MemberState, MemberVersion, Nanos, MAX_MESSAGE_BYTES};
use crate::message::{MemberClaim, MessageError, TABLE_PARTITIONS};
use crate::suspicion::Suspicions;
use crate::table_digest::TableDigest;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64;

/// How far in the future an incarnation may lie, in milliseconds: clocks differ.
const MAX_CLOCK_SKEW_MS: u64 = 24 * 3600 * 1000;
/// A lower bound of what a claim takes in a message, in bytes.
const MIN_CLAIM_BYTES: usize = 16;

/// The id that a member's name stands for.
pub(crate) fn member_id(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Another member, as this one knows it.
#[derive(Clone, Debug, Hash)]
pub struct Member {
    /// What it said of itself.
    pub info: Arc<MemberInfo>,
    /// The version of that.
    pub version: MemberVersion,
    /// Its state.
    pub state: MemberState,
    /// Since when it has been in that state.
    pub since: Nanos,
}

/// What came of a claim.
#[derive(Debug, PartialEq)]
pub(crate) enum MergeOutcome {
    /// It says what is known.
    Unchanged,
    /// It is older than what is known.
    Stale,
    /// It counts from now on; with the state before, none for a new member.
    Changed(Option<MemberState>),
    /// It is about this member itself.
    AboutSelf,
    /// It cannot be true.
    Invalid(MessageError),
}

#[derive(Clone, Hash)]
pub(crate) struct MemberTable {
    pub me: MemberClaim,
    pub my_id: u64,
    pub members: BTreeMap<u64, Member>,
    pub suspicions: Suspicions,
    pub dead: BTreeSet<u64>,
    news: GossipQueue,
    /// How often this member's claim on itself has been sent.
    own_times_sent: u32,
    /// How many members go by each cluster size. Without it, every member is looked at in each turn of the program.
    cluster_sizes: BTreeMap<u32, usize>,
    digest: TableDigest,
    /// Since when nothing has changed.
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
            news: GossipQueue::default(),
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

    /// How many members are not dead, this one among them.
    pub fn alive_count(&self) -> usize {
        self.members.len() + 1 - self.dead.len()
    }

    pub fn get(&self, id: u64) -> Option<&Member> {
        self.members.get(&id)
    }

    /// Whether a member is known and not dead.
    pub fn is_alive(&self, id: u64) -> bool {
        self.get(id).is_some_and(|m| m.state != MemberState::Dead)
    }

    /// Whether a member is known and neither suspect nor dead.
    pub fn is_healthy(&self, id: u64) -> bool {
        self.get(id).is_some_and(|m| m.state.is_healthy())
    }

    /// The member that is not dead at this address.
    pub fn alive_at(&self, address: SocketAddr) -> Option<u64> {
        self.members
            .iter()
            .find(|(_, m)| m.info.address == address && m.state != MemberState::Dead)
            .map(|(id, _)| *id)
    }

    /// Whether the member of a claim is known to be alive, under that version.
    pub fn knows_alive(&self, claim: &MemberClaim) -> bool {
        self.get(member_id(&claim.info.name))
            .is_some_and(|m| m.state != MemberState::Dead && m.version == claim.version)
    }

    /// Announces something else of this member, under a new version.
    pub fn announce(&mut self, now: Nanos, change: impl FnOnce(&mut MemberClaim)) {
        let id = self.my_id;
        self.digest.remove(id, self.me.version, self.me.state);
        change(&mut self.me);
        self.me.version = self.me.version.next();
        self.digest.add(id, self.me.version, self.me.state);
        self.own_times_sent = 0;
        self.unchanged_since = now;
    }

    /// Takes in what is said of a member. `clock` is the system's clock, in milliseconds.
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
        let is_graver = claim.version == known.version && claim.state.severity() > severity;
        if is_newer || is_graver {
            let previous = known.state;
            self.apply(now, id, claim);
            return MergeOutcome::Changed(Some(previous));
        }
        if claim.version < known.version {
            return MergeOutcome::Stale;
        }
        // Another member that suspects it by itself is news.
        if claim.state == MemberState::Suspect && self.suspicions.confirm(id, claim.accuser) {
            self.news.push(id);
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

    /// A claim counts from now on.
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
        self.news.push(id);
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

    /// Whether all known members, the dead too, go by this member's cluster size; those that left do not count.
    pub fn agrees_on_cluster_size(&self) -> bool {
        let mine = self.me.info.cluster_size;
        self.cluster_sizes
            .keys()
            .all(|size| *size == mine || *size == 0)
    }

    /// What is known of a member, to pass it on.
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

    /// How often a piece of news is sent.
    fn max_times_sent(&self) -> u32 {
        2 * (self.alive_count() as f64 + 1.0).log2().ceil() as u32 + 2
    }

    /// The members there is news of, in the order of sending, no more than fit in a message.
    pub fn news(&self) -> Vec<u64> {
        self.news
            .iter()
            .take(MAX_MESSAGE_BYTES / MIN_CLAIM_BYTES)
            .collect()
    }

    pub fn has_news(&self) -> bool {
        !self.news.is_empty() || self.own_times_sent < self.max_times_sent()
    }

    /// The news of a member went out in a message.
    pub fn mark_sent(&mut self, id: u64) {
        let max_times_sent = self.max_times_sent();
        self.news.mark_sent(id, max_times_sent);
    }

    /// This member's claim on itself went out, as it does in each message.
    pub fn mark_self_sent(&mut self) {
        self.own_times_sent = self.own_times_sent.saturating_add(1);
    }

    /// When the first suspicion expires.
    pub fn next_suspicion_expiry(&self, period: Nanos) -> Option<Nanos> {
        self.suspicions.next_expiry(self.alive_count(), period)
    }

    /// The suspects whose suspicion has expired.
    pub fn expired_suspects(&self, now: Nanos, period: Nanos) -> Vec<u64> {
        self.suspicions.expired(now, self.alive_count(), period)
    }

    /// Forgets the members that have been dead since then or longer.
    pub fn forget_dead_since(&mut self, since: Nanos) {
        let is_old = |id: &&u64| self.get(**id).is_none_or(|member| member.since <= since);
        let old: Vec<u64> = self.dead.iter().filter(is_old).copied().collect();
        for id in old {
            self.forget(id);
        }
    }

    /// Makes room for a new member; gives whether it could.
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
            self.news.remove(id);
        }
        self.dead.remove(&id);
    }
}

#[cfg(test)]
#[path = "member_table_test_support.rs"]
mod test_support;
