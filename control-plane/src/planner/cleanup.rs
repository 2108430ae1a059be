//! The end of sessions and of requests: what a lost or closed session held is taken off the decision cores.

use super::{Planner, PlannerAction, RecordKey};
use reedferry::{AttemptOutcome, Event, Nanos};

/// Orphaned records that are taken off the decision cores in one turn.
const ORPHANS_PER_TURN: usize = 1024;

impl Planner {
    /// Closes a connection; its session counts no more.
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

    /// Takes a session's requests off it, and its number.
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

    /// The forwarder no longer has this planner decide: its requests become orphans.
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
        for key in records {
            let Some(record) = self.requests.get_mut(key) else {
                continue;
            };
            if record.is_queued {
                self.requests.remove(key);
                continue;
            }
            // Without this, a planner would block over tens of thousands of records of one dead forwarder for longer
            // than the others' leases.
            record.orphan();
            self.orphans.push_back(key);
        }
    }

    /// Takes some of the orphaned records off the decision cores.
    pub(super) fn remove_orphans(&mut self, now: Nanos, out: &mut Vec<PlannerAction>) {
        for _ in 0..ORPHANS_PER_TURN {
            let Some(key) = self.orphans.pop_front() else {
                return;
            };
            self.remove_request(now, key, AttemptOutcome::NeverSent, out);
        }
    }

    /// Removes a record, and notifies the decision core if it knows the request.
    pub(super) fn remove_request(
        &mut self,
        now: Nanos,
        key: RecordKey,
        ending: AttemptOutcome,
        out: &mut Vec<PlannerAction>,
    ) {
        let Some(record) = self.requests.remove(key) else {
            return;
        };
        self.forget_in_session(record.session(), record.forwarder_id);
        if record.is_queued {
            return;
        }
        let id = key.request_id();
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

    /// The session that held a record, if any, holds it no more.
    pub(super) fn forget_in_session(&mut self, session: Option<usize>, forwarder_id: u64) {
        if let Some(session) = session.and_then(|key| self.sessions.get_mut(key)) {
            session.requests.remove(&forwarder_id);
        }
    }
}
