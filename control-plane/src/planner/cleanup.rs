//! The end of sessions and requests. The requests of a lost or closed session are removed from the decision cores.

use super::{Planner, PlannerAction, RecordKey};
use reedferry::{AttemptOutcome, Event, Nanos};

/// The maximum number of orphaned records that are removed from the decision cores in one turn.
const ORPHANS_PER_TURN: usize = 1024;

impl Planner {
    /// Closes a connection and releases its session.
    pub(super) fn close_session(&mut self, key: usize, why: &str, out: &mut Vec<PlannerAction>) {
        let session = &mut self.sessions[key];
        if session.closing {
            return;
        }
        session.closing = true;
        let connection = session.connection;
        if session.number.is_none() {
            out.push(PlannerAction::Log(format!("forwarder rejected why={why}")));
        }
        out.push(PlannerAction::Disconnect { connection });
        self.release_session(key, why, out);
    }

    /// Releases a session's requests and clears its number, after which nothing more is sent in it.
    pub(super) fn release_session(&mut self, key: usize, why: &str, out: &mut Vec<PlannerAction>) {
        self.unfollow(key);
        let session = &mut self.sessions[key];
        session.inbox.clear();
        if session.number.take().is_some() {
            let name = &session.forwarder;
            out.push(PlannerAction::Log(format!(
                "forwarder disconnected name={name} why={why}"
            )));
        }
    }

    /// Records that a forwarder no longer follows this planner. The records of its queued requests are removed, and the
    /// others become orphans.
    pub(super) fn unfollow(&mut self, key: usize) {
        let session = &mut self.sessions[key];
        session.state_sync_until = None;
        if std::mem::take(&mut session.follows) {
            self.zones[session.zone].followers -= 1;
        }
        let mut records: Vec<RecordKey> = std::mem::take(&mut session.requests)
            .into_values()
            .collect();
        records.sort_unstable();
        for record_key in records {
            let Some(record) = self.requests.get_mut(record_key) else {
                continue;
            };
            if record.is_queued {
                self.requests.remove(record_key);
                continue;
            }
            // Leaves the removal to later turns. Without this, removing the tens of thousands of records of one failed
            // forwarder at once would block the planner for longer than the other forwarders' leases.
            record.orphan();
            self.orphans.push_back(record_key);
        }
    }

    /// Removes up to [`ORPHANS_PER_TURN`] orphaned records from the decision cores.
    pub(super) fn remove_orphans(&mut self, now: Nanos, out: &mut Vec<PlannerAction>) {
        for _ in 0..ORPHANS_PER_TURN {
            let Some(record_key) = self.orphans.pop_front() else {
                return;
            };
            self.remove_request(now, record_key, AttemptOutcome::NeverSent, out);
        }
    }

    /// Removes a record and notifies the decision core if it knows the request. `ending` is the outcome to report for
    /// an attempt or an open connection.
    pub(super) fn remove_request(
        &mut self,
        now: Nanos,
        record_key: RecordKey,
        ending: AttemptOutcome,
        out: &mut Vec<PlannerAction>,
    ) {
        let Some(record) = self.requests.remove(record_key) else {
            return;
        };
        self.remove_from_session(record.session(), record.forwarder_id);
        if record.is_queued {
            return;
        }
        let id = record_key.request_id();
        let event = match record.host {
            Some(host) => Event::AttemptEnded {
                id,
                attempt: 0,
                host,
                request_over: true,
                ending,
                load_metrics: Vec::new(),
            },
            None => Event::ClientLeft { id },
        };
        self.notify_core(now, record.zone(), event, out);
    }

    /// Removes a request from the session that holds its record, if there is one.
    pub(super) fn remove_from_session(&mut self, session: Option<usize>, forwarder_id: u64) {
        if let Some(session) = session.and_then(|key| self.sessions.get_mut(key)) {
            session.requests.remove(&forwarder_id);
        }
    }
}
