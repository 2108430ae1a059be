//! The record of one host: where the list says it is, since when it drains, and how it answers.

use super::list::Member;
use super::message_latency::LatencyTracker;
use super::start_times::{self, ClaimSource};
use reedferry::{HostId, HostState, Nanos};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long the record of a host that is gone is kept.
const RECORD_RETENTION: Nanos = 3600 * reedferry::SECOND;

/// Where a list comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListSource {
    /// It was kept by this process or another, or given at the start.
    Cached,
    /// The list service has just sent it.
    Service {
        /// What is known of the time its news is from.
        claims: ClaimSource,
        /// From when it counts as told.
        effective_from: Nanos,
    },
}

impl ListSource {
    fn claims(self) -> ClaimSource {
        match self {
            ListSource::Cached => ClaimSource::FullList,
            ListSource::Service { claims, .. } => claims,
        }
    }

    /// From when what the list tells counts as told.
    pub(super) fn effective_from(self, now: Nanos) -> Nanos {
        match self {
            ListSource::Cached => now,
            ListSource::Service { effective_from, .. } => effective_from,
        }
    }
}

/// One host.
pub struct HostRecord {
    /// Its name in the list.
    pub name: String,
    /// The hash of its name.
    pub id: HostId,
    /// Where it is reached.
    pub address: Option<SocketAddr>,
    /// Since when it is told to be draining or gone.
    pub drain_since: Option<Nanos>,
    /// When the list last put it into another group.
    pub group_changed_at: Option<Nanos>,
    /// When the list last put it at another address.
    pub address_changed_at: Option<Nanos>,
    /// What the list says of it.
    pub(super) listed: Option<Member>,
    /// What the list said last of one that is gone.
    pub(super) last_listed: Option<Member>,
    /// Held by every connection that knows this record by its index.
    pub lease: Rc<()>,
    pub(super) latency: LatencyTracker,
}

impl HostRecord {
    /// The record of a host of which nothing but its name is known.
    pub(super) fn new(name: String, id: HostId, now: Nanos) -> Self {
        HostRecord {
            name,
            id,
            address: None,
            drain_since: None,
            group_changed_at: None,
            address_changed_at: None,
            listed: None,
            last_listed: None,
            lease: Rc::new(()),
            latency: LatencyTracker::new(now),
        }
    }

    /// Whether the record may be reused for another host: its own is long gone, and no connection holds it.
    pub(super) fn is_reusable(&self, now: Nanos) -> bool {
        let long_gone = self
            .drain_since
            .is_some_and(|left| now > left + RECORD_RETENTION);
        long_gone && Rc::strong_count(&self.lease) == 1
    }

    /// A complete list does not name it.
    pub(super) fn remove_from_list(&mut self, effective_from: Nanos) {
        self.drain_since.get_or_insert(effective_from);
        self.last_listed = self.listed.take().or(self.last_listed.take());
    }

    /// Applies what a list says of it, and returns that with what is known from before.
    pub(super) fn apply_member(
        &mut self,
        now: Nanos,
        source: ListSource,
        member: Member,
    ) -> Member {
        let address = member.address.or(self.address);
        if self.address.is_some() && self.address != address {
            self.address_changed_at = Some(now);
        }
        self.address = address;
        let before = self.listed.take().or(self.last_listed.take());
        let same_group = |was: &Member| was.zone == member.zone && was.cell == member.cell;
        let regrouped = before.as_ref().is_some_and(|was| !same_group(was));
        if member.state != HostState::Gone && regrouped {
            self.group_changed_at = Some(now);
        }
        let mut member = match (member.state, before) {
            // No more is said of a host that is gone: without this, a retry would be matched against
            // another group than that host's.
            (HostState::Gone, Some(was)) => Member {
                state: HostState::Gone,
                ..was
            },
            (_, Some(was)) if was.started == member.started => Member {
                accepted_start: member.accepted_start.or(was.accepted_start),
                ..member
            },
            _ => member,
        };
        member.accepted_start.get_or_insert_with(|| {
            start_times::plausible_start(member.started, source.claims(), now)
        });
        match member.state {
            HostState::Gone => self.last_listed = Some(member.clone()),
            _ => self.listed = Some(member.clone()),
        }
        match member.state {
            HostState::Ready => self.drain_since = None,
            _ => _ = self.drain_since.get_or_insert(source.effective_from(now)),
        }
        member
    }
}
