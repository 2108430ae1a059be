//! The hosts that are sent to forwarders. This module numbers the changes of hosts in order. Each session remembers
//! the number of the last change that it was sent, and so finds the hosts that it still lacks.

use crate::messages::{HostEntry, WireHostState};
use reedferry::{Endpoint, EndpointUpdate, HostId, HostState, Nanos};
use std::collections::{BTreeMap, HashMap};

/// A host with the number of its last change.
pub struct HostRecord {
    pub entry: HostEntry,
    endpoint: Endpoint,
    change: u64,
}

impl HostRecord {
    fn is_gone(&self) -> bool {
        self.endpoint.state == HostState::Gone
    }

    fn is_warming_up(&self, now: Nanos, warm_up: Nanos) -> bool {
        self.endpoint
            .started
            .is_some_and(|started| now < started.saturating_add(warm_up))
    }

    /// Returns whether a session that was sent all changes up to `sent_change` lacks this version of the host.
    pub fn is_newer_than(&self, sent_change: u64) -> bool {
        self.change > sent_change
    }
}

/// All hosts, by their ids and by the numbers of their last changes.
#[derive(Default)]
pub struct HostTable {
    pub(super) records: HashMap<HostId, HostRecord>,
    pub(super) changes: BTreeMap<u64, HostId>,
    last_change: u64,
    list_version: u64,
    /// Whether some hosts are known only from this process's own file.
    has_unconfirmed: bool,
}

impl HostTable {
    /// Returns the host; `None` if it is unknown.
    pub fn get(&self, host: HostId) -> Option<&HostRecord> {
        self.records.get(&host)
    }

    /// Returns the number of the last change; 0 before the first.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the version of the last list from the list service; 0 before the first.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Iterates in order over the changes after the given one, each with the present state of its host. Only the last
    /// change of each host is kept.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = (u64, &HostEntry)> {
        self.changes
            .range(change + 1..)
            .map(|(&change, host)| (change, &self.records[host].entry))
    }

    /// Returns whether the host is known and still warming up.
    pub fn is_warming_up(&self, host: HostId, now: Nanos, warm_up: Nanos) -> bool {
        self.get(host)
            .is_some_and(|record| record.is_warming_up(now, warm_up))
    }

    /// Returns whether the host is known, ready and not warming up, and may therefore be part of a fallback plan.
    pub fn is_ready_and_warm(&self, host: HostId, now: Nanos, warm_up: Nanos) -> bool {
        self.get(host).is_some_and(|record| {
            record.endpoint.state == HostState::Ready && !record.is_warming_up(now, warm_up)
        })
    }

    /// Applies an update of the endpoint list. `entries` describe the same hosts for forwarders; entries without an
    /// endpoint are ignored.
    pub fn update(
        &mut self,
        kind: EndpointUpdate,
        endpoints: &[Endpoint],
        entries: Vec<HostEntry>,
    ) {
        let endpoints: HashMap<HostId, Endpoint> = endpoints
            .iter()
            .map(|endpoint| (endpoint.id, *endpoint))
            .collect();
        let is_cached = kind == EndpointUpdate::Cached;
        self.has_unconfirmed |= is_cached;
        for entry in entries {
            let Some(endpoint) = endpoints.get(&HostId(entry.id)).copied() else {
                continue;
            };
            let list_version = if is_cached { 0 } else { entry.list_version };
            let entry = HostEntry {
                list_version,
                ..entry
            };
            self.list_version = list_version;
            self.record_change(entry, endpoint);
        }
        if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.mark_missing_as_gone(&endpoints);
        }
    }

    /// Records that the list service has sent its list of this version, which confirms the hosts that are known from
    /// this process's own file, unless an update that follows changes them.
    pub fn confirm(&mut self, list_version: u64) {
        self.list_version = list_version;
        if !std::mem::take(&mut self.has_unconfirmed) {
            return;
        }
        let mut unconfirmed: Vec<(HostEntry, Endpoint)> = self
            .records
            .values()
            .filter(|record| !record.entry.is_confirmed())
            .map(|record| (record.entry.clone(), record.endpoint))
            .collect();
        unconfirmed.sort_by_key(|(entry, _)| entry.id);
        for (entry, endpoint) in unconfirmed {
            let entry = HostEntry {
                list_version,
                ..entry
            };
            self.record_change(entry, endpoint);
        }
    }

    /// Marks the hosts that are missing from a complete list as gone.
    fn mark_missing_as_gone(&mut self, listed: &HashMap<HostId, Endpoint>) {
        let mut missing: Vec<(HostEntry, Endpoint)> = self
            .records
            .values()
            .filter(|record| !listed.contains_key(&record.endpoint.id) && !record.is_gone())
            .map(|record| (record.entry.clone(), record.endpoint))
            .collect();
        missing.sort_by_key(|(entry, _)| entry.id);
        for (entry, endpoint) in missing {
            let entry = HostEntry {
                state: WireHostState::Gone,
                list_version: self.list_version,
                ..entry
            };
            let endpoint = Endpoint {
                state: HostState::Gone,
                ..endpoint
            };
            self.record_change(entry, endpoint);
        }
    }

    fn record_change(&mut self, entry: HostEntry, endpoint: Endpoint) {
        self.last_change += 1;
        let change = self.last_change;
        let record = HostRecord {
            entry,
            endpoint,
            change,
        };
        if let Some(replaced) = self.records.insert(endpoint.id, record) {
            self.changes.remove(&replaced.change);
        }
        self.changes.insert(change, endpoint.id);
    }

    /// Removes the hosts that are gone and whose last change every session has been sent, that is, changes up to
    /// `sent_to_all`. Without this, the table would grow with every host that ever existed.
    pub fn remove_gone(&mut self, sent_to_all: u64) {
        let changes = &mut self.changes;
        self.records.retain(|_, record| {
            let is_obsolete = record.is_gone() && record.change <= sent_to_all;
            if is_obsolete {
                changes.remove(&record.change);
            }
            !is_obsolete
        });
    }
}
