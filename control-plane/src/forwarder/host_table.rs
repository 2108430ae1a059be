//! The hosts as planners report them. This module owns which hosts there are and which of them drain: whichever
//! planner says that a host drains is believed; that it is ready again is believed of one that knows a version
//! of the endpoint list no older.

use crate::error::{LinkError, ProtocolViolation};
use crate::messages::{is_valid_name, HostEntry, WireHostState};
use reedferry::{HostId, Nanos, SECOND};
use std::collections::{HashMap, HashSet};

/// How long any planner's report that a host drains keeps new attempts from it, where the planner that is followed
/// does not know so yet.
const DRAIN_REPORT_LIFETIME: Nanos = 10 * SECOND;
/// The most hosts.
pub const MAX_HOSTS: usize = 65_536;
/// Drain reports from which on expired ones are looked for, and how often.
const PRUNE_THRESHOLD: usize = 1024;
const PRUNE_INTERVAL: Nanos = SECOND;

/// A planner's report that a host drains or is gone.
#[derive(Clone, Copy)]
struct DrainReport {
    list_version: u64,
    expires_at: Nanos,
}

/// All hosts.
#[derive(Default)]
pub struct HostTable {
    hosts: HashSet<HostId>,
    drain_reports: HashMap<HostId, DrainReport>,
    pruned_at: Nanos,
}

impl HostTable {
    /// Whether no host is known.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Whether new attempts may go to the host.
    pub fn accepts_attempts(&self, host: HostId, now: Nanos) -> bool {
        self.drain_reports
            .get(&host)
            .is_none_or(|report| now >= report.expires_at)
    }

    /// Checks that a reported host is within bounds.
    pub fn check(&self, entry: &HostEntry) -> Result<(), LinkError> {
        if !is_valid_name(&entry.name) {
            return Err(ProtocolViolation::InvalidHostName.into());
        }
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains(&HostId(entry.id)) {
            return Err(ProtocolViolation::TooManyHosts.into());
        }
        Ok(())
    }

    /// Takes in a host that [`HostTable::check`] let pass; false if an older drain report outweighs it.
    pub fn update(&mut self, now: Nanos, entry: &HostEntry) -> Result<bool, LinkError> {
        let host = HostId(entry.id);
        if entry.state != WireHostState::Ready {
            self.add_drain_report(now, host, entry.list_version)?;
        } else if let Some(report) = self.drain_reports.get(&host).copied() {
            if entry.list_version < report.list_version && now < report.expires_at {
                return Ok(false);
            }
            self.drain_reports.remove(&host);
        }
        // Without the removal, the table would fill up with hosts of long ago until no planner's report fits.
        if entry.state == WireHostState::Gone {
            self.hosts.remove(&host);
        } else {
            self.hosts.insert(host);
        }
        Ok(true)
    }

    fn add_drain_report(
        &mut self,
        now: Nanos,
        host: HostId,
        list_version: u64,
    ) -> Result<(), LinkError> {
        if self.drain_reports.len() >= PRUNE_THRESHOLD && now >= self.pruned_at + PRUNE_INTERVAL {
            self.drain_reports
                .retain(|_, report| now < report.expires_at);
            self.pruned_at = now;
        }
        if self.drain_reports.len() >= MAX_HOSTS {
            return Err(ProtocolViolation::TooManyDrainReports.into());
        }
        // It expires: without that, an absurdly high list version would bar a host for ever.
        let report = DrainReport {
            list_version,
            expires_at: now + DRAIN_REPORT_LIFETIME,
        };
        self.drain_reports.insert(host, report);
        Ok(())
    }

    /// Removes the hosts that a complete list lacks, and returns them in the order of their ids.
    pub fn remove_unlisted(&mut self, listed: &HashSet<HostId>) -> Vec<HostId> {
        let mut removed: Vec<HostId> = self.hosts.difference(listed).copied().collect();
        removed.sort_by_key(|host| host.0);
        for host in &removed {
            self.hosts.remove(host);
            self.drain_reports.remove(host);
        }
        removed
    }
}
