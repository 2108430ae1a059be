//! What planners have reported about one host that drains or is gone. Each report keeps the version of the endpoint
//! list that it came with, and holds until a list that is at least as new, or the planner that made it, says otherwise.
//!
//! Invariant: of the planners whose sessions have ended, at most one report is kept.

use crate::messages::HostEntry;
use reedferry::Nanos;

/// A planner's report that a host drains or is gone.
#[derive(Clone, Copy, Debug)]
struct DrainReport {
    /// The session in which the report came; `None` once the session has ended.
    session: Option<u64>,
    list_version: u64,
    /// When the report ceases to hold; `None` as long as the planner may still correct it.
    expires_at: Option<Nanos>,
}

/// A report that a host is ready, which does not count yet.
struct WithheldEntry {
    session: u64,
    entry: HostEntry,
}

/// The reports that hold for one host.
#[derive(Default)]
pub struct DrainReports {
    reports: Vec<DrainReport>,
    /// The last report that the host is ready, if it came with too old a list.
    withheld: Option<WithheldEntry>,
}

impl DrainReports {
    /// Returns whether no report holds any more.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Adds a report, which replaces the one of the same session and any of an ended session that came with no newer a
    /// list.
    pub fn add(&mut self, session: u64, list_version: u64, expires_at: Option<Nanos>) {
        self.reports.retain(|report| match report.session {
            Some(reporter) => reporter != session,
            None => report.list_version > list_version,
        });
        self.reports.push(DrainReport {
            session: Some(session),
            list_version,
            expires_at,
        });
        if self.withheld.as_ref().is_some_and(|w| w.session == session) {
            self.withheld = None;
        }
    }

    /// Applies a report that the host is ready. It ends the reports that came with no newer a list and, if it comes
    /// from the list service itself, the earlier report of the same session.
    pub fn apply_ready(&mut self, session: u64, entry: &HostEntry) {
        let is_confirmed = entry.is_confirmed();
        self.reports.retain(|report| {
            let is_corrected = is_confirmed && report.session == Some(session);
            !is_corrected && report.list_version > entry.list_version
        });
        if is_confirmed {
            let entry = entry.clone();
            self.withheld = Some(WithheldEntry { session, entry });
        }
    }

    /// Records that a session has ended, so that its planner can no longer correct its report, which holds until
    /// `expires_at`. A report from a planner's file ends with the session.
    pub fn end_session(&mut self, session: u64, expires_at: Nanos) {
        let Some(position) = self
            .reports
            .iter()
            .position(|report| report.session == Some(session))
        else {
            return;
        };
        let ended = self.reports.remove(position);
        if ended.list_version == 0 {
            return;
        }
        let earlier = self.reports.iter().position(|r| r.session.is_none());
        let earlier = earlier.map_or(0, |at| self.reports.remove(at).list_version);
        self.reports.push(DrainReport {
            session: None,
            list_version: ended.list_version.max(earlier),
            expires_at: Some(expires_at),
        });
    }

    /// Returns when the next report expires.
    pub fn next_expiry(&self) -> Option<Nanos> {
        self.reports.iter().filter_map(|r| r.expires_at).min()
    }

    /// Removes the reports that expire at `now` or earlier.
    pub fn expire(&mut self, now: Nanos) {
        self.reports
            .retain(|report| report.expires_at.is_none_or(|at| now < at));
    }

    /// Returns the report that the host is ready, to be called once no other report holds.
    pub fn into_withheld(self) -> Option<HostEntry> {
        self.withheld.map(|withheld| withheld.entry)
    }
}
