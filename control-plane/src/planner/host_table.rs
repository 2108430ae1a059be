//! The hosts as they are sent to forwarders. This module owns the host records and the order of their changes,
//! by which each session knows what it has not been sent yet.

use crate::messages::{HostEntry, WireHostState};
use reedferry::{Endpoint, EndpointUpdate, HostId, HostState, Nanos};
use std::collections::{BTreeMap, HashMap};

/// A host, with the change that it was last part of.
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

    /// Whether a session that was sent the changes up to this one lacks the record.
    pub fn is_newer_than(&self, sent_change: u64) -> bool {
        self.change > sent_change
    }
}

/// All hosts, with the order of their last changes.
#[derive(Default)]
pub struct HostTable {
    pub(super) records: HashMap<HostId, HostRecord>,
    pub(super) changes: BTreeMap<u64, HostId>,
    last_change: u64,
    list_version: u64,
}

impl HostTable {
    /// The host, unless it is unknown.
    pub fn get(&self, host: HostId) -> Option<&HostRecord> {
        self.records.get(&host)
    }

    /// The number of the last change; 0 before the first.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// The newest version of the endpoint list.
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// The changes behind one, in order, each with the host as it is now.
    pub fn changes_after(&self, change: u64) -> impl Iterator<Item = (u64, &HostEntry)> {
        self.changes
            .range(change + 1..)
            .map(|(&change, host)| (change, &self.records[host].entry))
    }

    /// Whether the host is known to be warming up.
    pub fn is_warming_up(&self, host: HostId, now: Nanos, warm_up: Nanos) -> bool {
        self.get(host)
            .is_some_and(|record| record.is_warming_up(now, warm_up))
    }

    /// Whether a fallback plan may name the host.
    pub fn is_ready_and_warm(&self, host: HostId, now: Nanos, warm_up: Nanos) -> bool {
        self.get(host).is_some_and(|record| {
            record.endpoint.state == HostState::Ready && !record.is_warming_up(now, warm_up)
        })
    }

    /// Takes in an update of the endpoint list; `entries` are the same hosts as forwarders know them.
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
        for entry in entries {
            let Some(endpoint) = endpoints.get(&HostId(entry.id)).copied() else {
                continue;
            };
            self.list_version = self.list_version.max(entry.list_version);
            self.record_change(entry, endpoint);
        }
        if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            self.mark_missing_as_gone(&endpoints);
        }
    }

    /// Hosts that are not on a complete list are gone.
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

    /// Forgets hosts that are gone once every session has been sent their change. Without this, the table would
    /// grow with each host that there ever was.
    pub fn forget_gone(&mut self, sent_to_all: u64) {
        let changes = &mut self.changes;
        self.records.retain(|_, record| {
            let forget = record.is_gone() && record.change <= sent_to_all;
            if forget {
                changes.remove(&record.change);
            }
            !forget
        });
    }
}
