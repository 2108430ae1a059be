//! The records of all hosts. This module reports to the balancer what lists contain and which message latencies
//! were measured, no more often than the balancer needs it, and draws no conclusions about hosts itself.

use super::host_record::HostRecord;
pub use super::host_record::ListSource;
use super::list::{EndpointList, Member};
use super::zones::ZoneIndex;
use crate::connections::protocol::keys::fnv1a;
use crate::stalls::Stalls;
use reedferry::{Endpoint, EndpointUpdate, Event, HostId, HostState, Nanos, MILLI};
use reedferry_control_plane::HostEntry;
use slog::{info, Logger};
use std::collections::{HashMap, HashSet};

/// The maximum number of hosts of one list that are logged one by one. A list may name thousands at once, and
/// without a limit the log would drop the lines that follow.
const MAX_LOGGED_HOSTS: usize = 64;
/// A message latency is reported if it exceeds the shortest latency objective divided by this number.
const SLOW_THRESHOLD_DIVISOR: Nanos = 3;

/// All hosts that this node knows.
#[derive(Default)]
pub struct Hosts {
    records: Vec<HostRecord>,
    by_id: HashMap<HostId, usize>,
    zones: ZoneIndex,
    /// The number of lists that have been applied.
    pub list_count: u64,
    /// The spans in which this process could not observe hosts.
    pub stalls: Stalls,
    /// The message latency above which the balancer is informed.
    slow_threshold: Nanos,
}

/// Progress and counts while the members of one list are applied.
#[derive(Default)]
struct ListProgress {
    /// The index from which to search for a reusable record; no earlier one is reusable.
    next_reusable: usize,
    /// The number of hosts that are named for the first time.
    new_hosts: usize,
    /// The number of hosts that have begun to drain or are gone, and were not before.
    new_drains: usize,
}

fn host_id(name: &str) -> HostId {
    HostId(fnv1a(name))
}

impl Hosts {
    /// Creates the collection without hosts.
    pub fn new(zones: Vec<String>, shortest_message_latency_objective: Nanos) -> Self {
        Hosts {
            zones: ZoneIndex::new(zones),
            slow_threshold: shortest_message_latency_objective / SLOW_THRESHOLD_DIVISOR,
            ..Hosts::default()
        }
    }

    /// Applies new names of zones and a new shortest latency objective.
    pub fn update_settings(
        &mut self,
        zones: Vec<String>,
        shortest_message_latency_objective: Nanos,
    ) {
        self.zones.update_settings(zones);
        self.slow_threshold = shortest_message_latency_objective / SLOW_THRESHOLD_DIVISOR;
    }

    /// Returns the number of records, including those of hosts that are gone.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// Returns the ids of the hosts that the current list names.
    pub fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.records
            .iter()
            .filter(|record| record.listed.is_some())
            .map(|record| record.id.0)
    }

    /// Returns the index of a host's record, or `None` if the host is unknown.
    pub fn index(&self, id: HostId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// Returns the record at an index.
    pub fn record(&self, host: usize) -> &HostRecord {
        &self.records[host]
    }

    /// Marks hosts as draining in a list that is older than the known one, if they were known to drain or to be gone
    /// and have not restarted since. Returns the number of these hosts.
    pub fn keep_drains(&self, list: &mut EndpointList) -> usize {
        let mut kept = 0;
        for member in &mut list.members {
            if member.state != HostState::Ready {
                continue;
            }
            let host = self.index(host_id(&member.name));
            let drained = host.and_then(|host| self.records[host].drained_entry());
            if drained.is_some_and(|old| member.started <= old.started) {
                member.state = HostState::Draining;
                kept += 1;
            }
        }
        kept
    }

    /// Applies a list, and returns the event for the balancer.
    pub fn apply_list(
        &mut self,
        now: Nanos,
        list: EndpointList,
        source: ListSource,
        log: &Logger,
    ) -> Event {
        let kind = match (source, list.complete) {
            (ListSource::Cached, _) => EndpointUpdate::Cached,
            (_, true) => EndpointUpdate::Full,
            _ => EndpointUpdate::Delta,
        };
        if list.complete {
            let named: HashSet<HostId> = list.members.iter().map(|m| host_id(&m.name)).collect();
            let unnamed = self.records.iter_mut().filter(|r| !named.contains(&r.id));
            unnamed.for_each(|record| record.remove_from_list(source.effective_from(now)));
        }
        self.list_count += 1;
        let mut progress = ListProgress::default();
        let endpoints = list
            .members
            .into_iter()
            .map(|member| self.apply_member(now, source, member, &mut progress, log))
            .collect();
        if progress.new_hosts > MAX_LOGGED_HOSTS {
            info!(log, "more hosts listed"; "count" => progress.new_hosts - MAX_LOGGED_HOSTS);
        }
        Event::EndpointsUpdated { kind, endpoints }
    }

    /// Applies a planner's entry for one host. An entry without a name marks a known host as draining. An entry
    /// whose id doesn't match its name is ignored.
    pub fn apply_planner_entry(&mut self, now: Nanos, entry: HostEntry, log: &Logger) {
        let id = HostId(entry.id);
        if let Some(host) = self.index(id).filter(|_| entry.name.is_empty()) {
            self.records[host].drain_since.get_or_insert(now);
        } else if host_id(&entry.name) == id {
            let member = Member {
                name: entry.name,
                address: entry.address,
                state: entry.state.into(),
                accepted_start: Some(None),
                ..Member::default()
            };
            let mut progress = ListProgress::default();
            self.apply_member(now, ListSource::Cached, member, &mut progress, log);
        }
    }

    /// Stores a record at an index, and replaces the one that is there.
    fn insert(&mut self, index: usize, record: HostRecord) {
        self.by_id.insert(record.id, index);
        match self.records.get_mut(index) {
            Some(old) => _ = self.by_id.remove(&std::mem::replace(old, record).id),
            None => self.records.push(record),
        }
    }

    /// Returns the index of the host of this name, to which a connection is open. An unknown host gets a record that
    /// counts as draining from `now`.
    pub fn index_or_insert(&mut self, now: Nanos, name: &str) -> usize {
        let id = host_id(name);
        self.index(id).unwrap_or_else(|| {
            let record = HostRecord {
                drain_since: Some(now),
                ..HostRecord::new(name.to_string(), id, now)
            };
            self.insert(self.records.len(), record);
            self.records.len() - 1
        })
    }

    /// Returns the entries of the current list.
    pub fn members(&self) -> Vec<Member> {
        self.records
            .iter()
            .filter_map(|record| record.listed.clone())
            .collect()
    }

    /// Returns the last entries of the hosts that are gone and still have a record.
    pub fn former_members(&self) -> Vec<Member> {
        let gone = |old: &Member| Member {
            state: HostState::Gone,
            ..old.clone()
        };
        self.records
            .iter()
            .filter_map(|record| record.last_listed.as_ref().map(gone))
            .collect()
    }

    /// Applies one member of a list.
    fn apply_member(
        &mut self,
        now: Nanos,
        source: ListSource,
        member: Member,
        progress: &mut ListProgress,
        log: &Logger,
    ) -> Endpoint {
        let id = host_id(&member.name);
        let host = self
            .index(id)
            .unwrap_or_else(|| self.add_host(now, id, &member.name, progress, log));
        let was_draining = self.records[host].drain_since.is_some();
        let member = self.records[host].apply_member(now, source, member);
        if !was_draining {
            self.log_drain(now, host, progress, log);
        }
        Endpoint {
            id,
            zone: self.zones.index(&member.zone),
            cell: member.cell,
            state: member.state,
            size: member.size,
            started: member.accepted_start.flatten(),
        }
    }

    /// Logs that a host drains or is gone, and since when this counts as delivered.
    fn log_drain(&self, now: Nanos, host: usize, progress: &mut ListProgress, log: &Logger) {
        let record = &self.records[host];
        let Some(drain_since) = record.drain_since else {
            return;
        };
        progress.new_drains += 1;
        if progress.new_drains <= MAX_LOGGED_HOSTS {
            let told_ms_ago = now.saturating_sub(drain_since) / MILLI;
            info!(log, "host drains"; "name" => &record.name, "told_ms_ago" => told_ms_ago);
        }
    }

    /// Adds a record for a host that is named for the first time, and returns its index. Records of hosts that are
    /// long gone are reused, so that the number of records stays bounded in a node that runs for months.
    fn add_host(
        &mut self,
        now: Nanos,
        id: HostId,
        name: &str,
        progress: &mut ListProgress,
        log: &Logger,
    ) -> usize {
        let remaining = self.records.iter().skip(progress.next_reusable);
        let reusable = remaining
            .into_iter()
            .position(|record| record.is_reusable(now));
        let index = reusable.map_or(self.records.len(), |n| progress.next_reusable + n);
        progress.next_reusable = index;
        progress.new_hosts += 1;
        if progress.new_hosts <= MAX_LOGGED_HOSTS {
            info!(log, "host listed"; "name" => name, "hash" => format!("{:x}", id.0));
        }
        self.insert(index, HostRecord::new(name.to_string(), id, now));
        index
    }

    /// Records that a line that was sent at `sent_at` has been answered. Time in which this process was stalled is
    /// subtracted from the latency. Otherwise hosts would count as slow and clients would be rejected.
    pub fn record_answer(&mut self, host: usize, sent_at: Nanos, now: Nanos) {
        let latency = now.saturating_sub(self.stalls.adjusted_start(sent_at, now));
        let tracker = &mut self.records[host].latency;
        tracker.record_answer(sent_at, latency, self.slow_threshold);
    }

    /// Returns whether the host has answered a line that was sent later than `at`.
    pub fn has_answered_since(&self, host: usize, at: Nanos) -> bool {
        self.records[host].latency.has_answered_since(at)
    }

    /// Records that a line that was sent at `sent_at` is not answered yet.
    pub fn record_unanswered(&mut self, host: usize, sent_at: Nanos, now: Nanos) {
        let visible_since = self.stalls.adjusted_start(sent_at, now);
        self.records[host].latency.record_unanswered(visible_since);
    }

    /// Adds an event for each host whose message latency has to be reported: at once when a backlog forms, once per
    /// second while the latency is high, and once more when it is back to normal.
    pub fn report_latencies(&mut self, now: Nanos, events: &mut Vec<Event>) {
        for record in &mut self.records {
            if let Some(latency) = record.latency.report(now, self.slow_threshold) {
                events.push(Event::MessageLatency {
                    host: record.id,
                    latency,
                });
            }
            record.latency.clear_unanswered();
        }
    }
}

#[cfg(test)]
#[path = "hosts_tests.rs"]
mod tests;
