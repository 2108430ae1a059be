//! The hosts that planners report, and which of them drain. A report that a host drains or is gone counts from any
//! planner. It holds until the same planner, or an endpoint list that is at least as new, says that the host is ready.
//! What a planner knows only from its own file does not change a host that the list service has confirmed.

use super::drain_reports::DrainReports;
use crate::error::{LinkError, ProtocolViolation};
use crate::messages::{is_valid_name, HostEntry, WireHostState};
use reedferry::{HostId, Nanos, SECOND};
use std::collections::{BTreeSet, HashMap, HashSet};

/// How long a drain report is kept after its planner's session has ended, or after the host is gone. Without an end,
/// a list service that counts its versions anew would leave the host excluded for ever.
const DRAIN_REPORT_RETENTION: Nanos = 3600 * SECOND;
/// The maximum number of hosts, and of hosts with drain reports that are due to expire. Beyond it, the oldest of these
/// reports expire early.
pub const MAX_HOSTS: usize = 65_536;
/// The maximum number of hosts with drain reports.
const MAX_REPORTED_HOSTS: usize = 2 * MAX_HOSTS;

/// The known hosts and the drain reports on them.
#[derive(Default)]
pub struct HostTable {
    /// The known hosts, and whether the list service has confirmed them.
    hosts: HashMap<HostId, bool>,
    drain_reports: HashMap<HostId, DrainReports>,
    /// When the next drain report of a host expires, with the id of the host, for each host with such a report.
    expiries: BTreeSet<(Nanos, u64)>,
}

impl HostTable {
    /// Returns whether no host is known.
    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns whether new attempts may go to the host, that is, whether no report holds that it drains or is gone.
    pub fn accepts_attempts(&self, host: HostId) -> bool {
        !self.drain_reports.contains_key(&host)
    }

    /// Checks the name of a reported host, and that the table has room for the host.
    pub fn check(&self, entry: &HostEntry) -> Result<(), LinkError> {
        if !is_valid_name(&entry.name) {
            return Err(ProtocolViolation::InvalidHostName.into());
        }
        if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(&HostId(entry.id)) {
            return Err(ProtocolViolation::TooManyHosts.into());
        }
        Ok(())
    }

    /// Records a host that [`HostTable::check`] accepted. Returns false if the report does not count: a drain report
    /// that holds comes from a newer version of the endpoint list, or the planner knows the host only from its file.
    pub fn update(
        &mut self,
        now: Nanos,
        session: u64,
        entry: &HostEntry,
    ) -> Result<bool, LinkError> {
        let host = HostId(entry.id);
        let is_confirmed = entry.is_confirmed();
        if !is_confirmed && self.hosts.get(&host) == Some(&true) {
            return Ok(false);
        }
        if entry.state != WireHostState::Ready {
            self.add_drain_report(now, session, entry)?;
        }
        // Removes hosts that are gone. Without this, the table would fill up with former hosts until no report of a
        // new host fits.
        if entry.state == WireHostState::Gone {
            self.hosts.remove(&host);
            return Ok(true);
        }
        self.hosts.insert(host, is_confirmed);
        Ok(entry.state == WireHostState::Draining || self.apply_ready(session, entry))
    }

    fn add_drain_report(
        &mut self,
        now: Nanos,
        session: u64,
        entry: &HostEntry,
    ) -> Result<(), LinkError> {
        let host = HostId(entry.id);
        let is_full = self.drain_reports.len() >= MAX_REPORTED_HOSTS;
        if is_full && !self.drain_reports.contains_key(&host) {
            return Err(ProtocolViolation::TooManyDrainReports.into());
        }
        let is_gone = entry.state == WireHostState::Gone;
        let expires_at = is_gone.then_some(now + DRAIN_REPORT_RETENTION);
        self.change_reports(host, |reports| {
            reports.add(session, entry.list_version, expires_at);
        });
        while self.expiries.len() > MAX_HOSTS {
            self.expire_next();
        }
        Ok(())
    }

    /// Changes the drain reports of a host, and keeps the order of expiries up to date. Returns the host's entry if it
    /// was withheld and no report holds any more.
    fn change_reports(
        &mut self,
        host: HostId,
        change: impl FnOnce(&mut DrainReports),
    ) -> Option<HostEntry> {
        let mut reports = self.drain_reports.remove(&host).unwrap_or_default();
        let previous_expiry = reports.next_expiry();
        change(&mut reports);
        let next_expiry = reports.next_expiry();
        if previous_expiry != next_expiry {
            previous_expiry.map(|at| self.expiries.remove(&(at, host.0)));
            self.expiries.extend(next_expiry.map(|at| (at, host.0)));
        }
        if reports.is_empty() {
            return reports.into_withheld();
        }
        self.drain_reports.insert(host, reports);
        None
    }

    /// Lets the drain report that is due next expire.
    fn expire_next(&mut self) -> Option<HostEntry> {
        let (at, host) = *self.expiries.first()?;
        self.change_reports(HostId(host), |reports| reports.expire(at))
    }

    /// Applies a report that a host is ready, and returns whether no drain report holds any more.
    fn apply_ready(&mut self, session: u64, entry: &HostEntry) -> bool {
        let host = HostId(entry.id);
        if self.accepts_attempts(host) {
            return true;
        }
        self.change_reports(host, |reports| reports.apply_ready(session, entry));
        self.accepts_attempts(host)
    }

    /// Records that a planner's session has ended. Its drain reports hold on, but the planner can no longer correct
    /// them. Returns the entries of the hosts that are ready now.
    pub fn end_session(&mut self, now: Nanos, session: u64) -> Vec<HostEntry> {
        let expires_at = now + DRAIN_REPORT_RETENTION;
        let mut hosts: Vec<HostId> = self.drain_reports.keys().copied().collect();
        hosts.sort_by_key(|host| host.0);
        hosts
            .into_iter()
            .filter_map(|host| {
                self.change_reports(host, |reports| reports.end_session(session, expires_at))
            })
            .collect()
    }

    /// Removes the drain reports that have expired, and returns the entries of the hosts that are ready now.
    pub fn expire(&mut self, now: Nanos) -> Vec<HostEntry> {
        let mut ready = Vec::new();
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            ready.extend(self.expire_next());
        }
        ready
    }

    /// Records that the hosts that are missing from a complete list are gone, and returns them in the order of their
    /// ids.
    pub fn remove_unlisted(
        &mut self,
        now: Nanos,
        session: u64,
        listed: &HashSet<HostId>,
        list_version: u64,
    ) -> Result<Vec<HostEntry>, LinkError> {
        let missing = self.hosts.keys().filter(|host| !listed.contains(host));
        let mut removed: Vec<HostEntry> = missing
            .map(|host| HostEntry {
                id: host.0,
                name: String::new(),
                address: None,
                state: WireHostState::Gone,
                list_version,
            })
            .collect();
        removed.sort_by_key(|entry| entry.id);
        for entry in &removed {
            self.update(now, session, entry)?;
        }
        Ok(removed)
    }
}

#[cfg(test)]
#[path = "host_table_tests.rs"]
mod tests;
