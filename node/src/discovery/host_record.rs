//! The record of one host: its address and group in the list, when its drain began, and its message latency.

use super::list::Member;
use super::message_latency::LatencyTracker;
use super::start_times::{self, ClaimSource};
use reedferry::{HostId, HostState, Nanos};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long after the start of its drain the record of a host is kept.
const RECORD_RETENTION: Nanos = 3600 * reedferry::SECOND;

/// The origin of a list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListSource {
    /// The list was stored by this or another process, or is part of the configuration.
    Cached,
    /// The list service has just sent the list.
    Service {
        /// How the plausibility of start times in the list is judged.
        claims: ClaimSource,
        /// The moment from which the content of the list counts as delivered.
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

    /// Returns the moment from which the content of the list counts as delivered.
    pub(super) fn effective_from(self, now: Nanos) -> Nanos {
        match self {
            ListSource::Cached => now,
            ListSource::Service { effective_from, .. } => effective_from,
        }
    }
}

/// The record of one host.
pub struct HostRecord {
    /// The name of the host in the list.
    pub name: String,
    /// The hash of the name.
    pub id: HostId,
    /// The address of the host; `None` if no list has given one.
    pub address: Option<SocketAddr>,
    /// The moment from which the host counts as draining or gone; `None` if it is ready.
    pub drain_since: Option<Nanos>,
    /// When a list last moved the host to another zone or cell.
    pub group_changed_at: Option<Nanos>,
    /// When a list last changed the host's address.
    pub address_changed_at: Option<Nanos>,
    /// The entry of the host in the current list; `None` if the list doesn't name it.
    pub(super) listed: Option<Member>,
    /// The last entry of a host that is gone.
    pub(super) last_listed: Option<Member>,
    /// A reference that every connection holds that refers to this record by its index, so that the record is not
    /// reused.
    pub lease: Rc<()>,
    pub(super) latency: LatencyTracker,
}

impl HostRecord {
    /// Creates the record of a host of which only the name is known.
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

    /// Returns whether the record may be reused for another host: its own host has been draining or gone for more
    /// than [`RECORD_RETENTION`], and no connection holds the record.
    pub(super) fn is_reusable(&self, now: Nanos) -> bool {
        let long_gone = self
            .drain_since
            .is_some_and(|left| now > left + RECORD_RETENTION);
        long_gone && Rc::strong_count(&self.lease) == 1
    }

    /// Returns the last entry of a host that drains or is gone; `None` if the host is ready.
    pub(super) fn drained_entry(&self) -> Option<&Member> {
        match &self.listed {
            Some(member) => Some(member).filter(|member| member.state == HostState::Draining),
            None => self.last_listed.as_ref(),
        }
    }

    /// Records that a full list no longer names the host.
    pub(super) fn remove_from_list(&mut self, effective_from: Nanos) {
        self.drain_since.get_or_insert(effective_from);
        self.last_listed = self.listed.take().or(self.last_listed.take());
    }

    /// Applies the host's entry in a list, and returns it completed with what was known before.
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
        let previous = self.listed.take().or(self.last_listed.take());
        let same_group = |old: &Member| old.zone == member.zone && old.cell == member.cell;
        let group_changed = previous.as_ref().is_some_and(|old| !same_group(old));
        if member.state != HostState::Gone && group_changed {
            self.group_changed_at = Some(now);
        }
        let mut member = match (member.state, previous) {
            // The entry of a host that is gone has no other fields, so the previous ones are kept. Otherwise a
            // retry would be matched against another group than that of the host.
            (HostState::Gone, Some(old)) => Member {
                state: HostState::Gone,
                ..old
            },
            (_, Some(old)) if old.started == member.started => Member {
                accepted_start: member.accepted_start.or(old.accepted_start),
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
