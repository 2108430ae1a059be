//! The hosts as the node reaches them, one record each. Must never judge a host: it reports to the decision
//! module what lists say and what was measured, and no more often than that asks for.

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

/// Hosts of one list that are logged one by one. Without a limit, the log would drop what is said next, as
/// thousands are named at once.
const MAX_LOGGED_HOSTS: usize = 64;
/// Which part of the shortest latency objective a message latency has to exceed to be reported.
const SLOW_THRESHOLD_DIVISOR: Nanos = 3;

/// All hosts that this node has heard of.
#[derive(Default)]
pub struct Hosts {
    records: Vec<HostRecord>,
    by_id: HashMap<HostId, usize>,
    zones: ZoneIndex,
    /// How many lists have come.
    pub list_count: u64,
    /// When this process could not see what hosts did.
    pub stalls: Stalls,
    /// The message latency from which the decision module is told.
    slow_threshold: Nanos,
}

/// How far the members of one list have been applied.
#[derive(Default)]
struct ListProgress {
    /// No record before this one is reusable.
    next_reusable: usize,
    /// Hosts named for the first time.
    new_hosts: usize,
    /// Hosts that drain or are gone, and were not before.
    new_drains: usize,
}

fn host_id(name: &str) -> HostId {
    HostId(fnv1a(name))
}

impl Hosts {
    /// No hosts yet.
    pub fn new(zones: Vec<String>, shortest_message_latency_objective: Nanos) -> Self {
        Hosts {
            zones: ZoneIndex::new(zones),
            slow_threshold: shortest_message_latency_objective / SLOW_THRESHOLD_DIVISOR,
            ..Hosts::default()
        }
    }

    /// Goes by other names of zones, and another latency from which the decision module is told.
    pub fn update_settings(
        &mut self,
        zones: Vec<String>,
        shortest_message_latency_objective: Nanos,
    ) {
        self.zones.update_settings(zones);
        self.slow_threshold = shortest_message_latency_objective / SLOW_THRESHOLD_DIVISOR;
    }

    /// How many records there are.
    pub fn count(&self) -> usize {
        self.records.len()
    }

    /// The ids of the hosts that the list names.
    pub fn ids(&self) -> impl Iterator<Item = u64> + '_ {
        self.records
            .iter()
            .filter(|record| record.listed.is_some())
            .map(|record| record.id.0)
    }

    /// The index of a host's record.
    pub fn index(&self, id: HostId) -> Option<usize> {
        self.by_id.get(&id).copied()
    }

    /// The record at an index.
    pub fn record(&self, host: usize) -> &HostRecord {
        &self.records[host]
    }

    /// Has a list that is older than what was told here keep the drains that were: a host that has not
    /// restarted since still drains. Returns how many that are.
    pub fn keep_drains(&self, list: &mut EndpointList) -> usize {
        let mut kept = 0;
        for member in &mut list.members {
            if member.state != HostState::Ready {
                continue;
            }
            let host = self.index(host_id(&member.name));
            let listed = host.and_then(|host| self.records[host].listed.as_ref());
            let drains =
                |was: &Member| was.state == HostState::Draining && was.started == member.started;
            if listed.is_some_and(drains) {
                member.state = HostState::Draining;
                kept += 1;
            }
        }
        kept
    }

    /// Applies a list, and returns what the decision module is to be told.
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

    /// Applies what a planner says of one host. An entry whose id is not that of its name is ignored.
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

    /// Puts a record at an index, in place of the one there.
    fn insert(&mut self, index: usize, record: HostRecord) {
        self.by_id.insert(record.id, index);
        match self.records.get_mut(index) {
            Some(old) => _ = self.by_id.remove(&std::mem::replace(old, record).id),
            None => self.records.push(record),
        }
    }

    /// The index of the host of this name, listed or not, for a connection that is open there.
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

    /// What the list says of the hosts that it names.
    pub fn members(&self) -> Vec<Member> {
        self.records
            .iter()
            .filter_map(|record| record.listed.clone())
            .collect()
    }

    /// What the list said last of those that are gone, and known still.
    pub fn former_members(&self) -> Vec<Member> {
        let gone = |was: &Member| Member {
            state: HostState::Gone,
            ..was.clone()
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
        let known_to_drain = self.records[host].drain_since.is_some();
        let member = self.records[host].apply_member(now, source, member);
        if !known_to_drain {
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

    /// Logs that a host drains or is gone, and since when this counts as told.
    fn log_drain(&self, now: Nanos, host: usize, progress: &mut ListProgress, log: &Logger) {
        let record = &self.records[host];
        let Some(told_at) = record.drain_since else {
            return;
        };
        progress.new_drains += 1;
        if progress.new_drains <= MAX_LOGGED_HOSTS {
            let told_ms_ago = now.saturating_sub(told_at) / MILLI;
            info!(log, "host drains"; "name" => &record.name, "told_ms_ago" => told_ms_ago);
        }
    }

    /// A record for a host that is named for the first time. Those of hosts long gone are reused, as a node
    /// runs for months.
    fn add_host(
        &mut self,
        now: Nanos,
        id: HostId,
        name: &str,
        progress: &mut ListProgress,
        log: &Logger,
    ) -> usize {
        let rest = self.records.iter().skip(progress.next_reusable);
        let reusable = rest.into_iter().position(|record| record.is_reusable(now));
        let index = reusable.map_or(self.records.len(), |n| progress.next_reusable + n);
        progress.next_reusable = index;
        progress.new_hosts += 1;
        if progress.new_hosts <= MAX_LOGGED_HOSTS {
            info!(log, "host listed"; "name" => name, "hash" => format!("{:x}", id.0));
        }
        self.insert(index, HostRecord::new(name.to_string(), id, now));
        index
    }

    /// A line that was sent at `sent_at` has been answered. What lay unread while this process was stalled
    /// does not count: without that, hosts would be taken for slow, and clients rejected.
    pub fn record_answer(&mut self, host: usize, sent_at: Nanos, now: Nanos) {
        let latency = now.saturating_sub(self.stalls.adjusted_start(sent_at, now));
        let tracker = &mut self.records[host].latency;
        tracker.record_answer(sent_at, latency, self.slow_threshold);
    }

    /// Whether the host has answered a line that was sent later than `at`.
    pub fn has_answered_since(&self, host: usize, at: Nanos) -> bool {
        self.records[host].latency.has_answered_since(at)
    }

    /// A line that was sent at `sent_at` is not answered yet.
    pub fn record_unanswered(&mut self, host: usize, sent_at: Nanos, now: Nanos) {
        let visible_since = self.stalls.adjusted_start(sent_at, now);
        self.records[host].latency.record_unanswered(visible_since);
    }

    /// Reports the message latency of each host: at once when work piles up, else once a second while it is
    /// long, and once more when it is not.
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
