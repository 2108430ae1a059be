//! The hosts that planners report, and which of them drain. A report that a host drains or is gone counts from any
//! planner. A report that it is ready again counts only with the same or a newer version of the endpoint list, or once
//! the drain report has expired.

use crate::error::{LinkError, ProtocolViolation};
use crate::messages::{is_valid_name, HostEntry, WireHostState};
use reedferry::{HostId, Nanos, SECOND};
use std::collections::{HashMap, HashSet};

/// The time for which a report that a host drains keeps new attempts from the host, even if the planner that is
/// followed does not know of the drain yet.
const DRAIN_REPORT_LIFETIME: Nanos = 10 * SECOND;
/// The maximum number of hosts, and of drain reports.
pub const MAX_HOSTS: usize = 65_536;
/// The number of drain reports from which on expired ones are removed, and the minimum interval between two removals.
const PRUNE_THRESHOLD: usize = 1024;
const PRUNE_INTERVAL: Nanos = SECOND;

/// A planner's report that a host drains or is gone.
#[derive(Clone, Copy)]
struct DrainReport {
    list_version: u64,
    expires_at: Nanos,
}

/// The known hosts and the drain reports on them.
#[derive(Default)]
pub struct HostTable {
    hosts: HashSet<HostId>,
    drain_reports: HashMap<HostId, DrainReport>,
    pruned_at: Nanos,
}

impl HostTable {
    /// Returns whether no host is known.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns whether new attempts may go to the host, that is, whether no unexpired report says that it drains or is
    /// gone.
    pub fn accepts_attempts(&self, host: HostId, now: Nanos) -> bool {
        self.drain_reports
            .get(&host)
            .is_none_or(|report| now >= report.expires_at)
    }

    /// Checks the name of a reported host, and that the table has room for the host.
    pub fn check(&self, entry: &HostEntry) -> Result<(), LinkError> {
        if !is_valid_name(&entry.name) {
            return Err(ProtocolViolation::InvalidHostName.into());
        }
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains(&HostId(entry.id)) {
            return Err(ProtocolViolation::TooManyHosts.into());
        }
        Ok(())
    }

    /// Records a host that [`HostTable::check`] accepted. Returns false if the host is reported ready but an unexpired
    /// drain report comes from a newer version of the endpoint list.
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
        // Removes hosts that are gone. Without this, the table would fill up with former hosts until no report of a
        // new host fits.
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
        // Lets the report expire. Without this, a report with an absurdly high list version would exclude the host for
        // ever.
        let report = DrainReport {
            list_version,
            expires_at: now + DRAIN_REPORT_LIFETIME,
        };
        self.drain_reports.insert(host, report);
        Ok(())
    }

    /// Removes the hosts that are missing from a complete list, and returns them in the order of their ids.
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
