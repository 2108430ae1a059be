//! Handling of frames from planners. Greetings and hosts are taken from every planner, decisions and fallback plans
//! only from the planner that is followed.

use super::decisions::AttemptDecision;
use super::{ConnectionState, Forwarder, ForwarderAction, PlannerSession};
use crate::codec;
use crate::error::{LinkError, ProtocolViolation};
use crate::fallback_plan::FallbackPlan;
use crate::messages::{HostEntry, PlannerMessage, Welcome, MAX_NAME_BYTES};
use reedferry::{HostId, Nanos};

impl Forwarder {
    pub(super) fn handle_frame(
        &mut self,
        now: Nanos,
        index: usize,
        body: &[u8],
        out: &mut Vec<ForwarderAction>,
    ) -> Result<(), LinkError> {
        let session = &mut self.sessions[index];
        let number = match session.state {
            ConnectionState::Established(number) => number,
            ConnectionState::Connecting { .. } => return handle_welcome(session, body, now),
            ConnectionState::Disconnected { .. } => {
                return Err(ProtocolViolation::UnsolicitedBytes.into());
            }
        };
        let (header, mut messages) = codec::decode_frame(body)?;
        session.sequence_check.accept(&header, number)?;
        let valid_until = session
            .renew_lease(&header, now, self.config.lease)
            .ok_or(ProtocolViolation::UnknownHeartbeat)?;
        if self.followed == Some(index) {
            self.plan_valid_until = self.plan_valid_until.max(session.lease_until);
        }
        while let Some(message) = messages.next_message()? {
            self.handle_message(now, index, valid_until, message, out)?;
        }
        Ok(())
    }

    /// Handles a message of a planner. A decision in it holds until `valid_until`.
    fn handle_message(
        &mut self,
        now: Nanos,
        index: usize,
        valid_until: Nanos,
        message: PlannerMessage,
        out: &mut Vec<ForwarderAction>,
    ) -> Result<(), LinkError> {
        match message {
            PlannerMessage::Host(entry) => return self.handle_host(now, index, entry, out),
            PlannerMessage::HostsComplete { list_version } => {
                return self.handle_hosts_complete(now, index, list_version, out);
            }
            PlannerMessage::ShuttingDown => self.sessions[index].shutting_down = true,
            // Ignores decisions and plans of a planner that is not followed.
            _ if self.followed != Some(index) => {}
            PlannerMessage::StartAttempt {
                id,
                decision_sequence,
                host,
                time_limit,
            } => {
                let decision = AttemptDecision {
                    id,
                    decision_sequence,
                    host: HostId(host),
                    time_limit,
                    valid_until,
                };
                self.handle_start_attempt(now, &decision, out);
            }
            PlannerMessage::Reject {
                id,
                decision_sequence,
                retry_after,
            } => self.handle_final_answer(id, decision_sequence, Some(retry_after), out),
            PlannerMessage::Fail {
                id,
                decision_sequence,
            } => self.handle_final_answer(id, decision_sequence, None, out),
            PlannerMessage::Migrate { id } => self.handle_migrate(now, id, valid_until, out),
            PlannerMessage::Plan { hosts, allowance } => {
                self.fallback_plan = FallbackPlan::new(&hosts, allowance);
            }
        }
        Ok(())
    }

    fn handle_host(
        &mut self,
        now: Nanos,
        index: usize,
        entry: HostEntry,
        out: &mut Vec<ForwarderAction>,
    ) -> Result<(), LinkError> {
        self.hosts.check(&entry)?;
        let Some(session) = self.sessions[index].session() else {
            return Ok(());
        };
        if let Some(hosts) = self.sessions[index].hosts_in_sync.as_mut() {
            hosts.insert(HostId(entry.id));
        }
        if self.hosts.update(now, session, &entry)? {
            out.push(ForwarderAction::HostLearned(entry));
        }
        Ok(())
    }

    /// Ends the host sync with a planner. If this planner is followed, or none is, known hosts that it did not send
    /// are gone. A list from the planner's own file may be old, so the sync goes on after it.
    fn handle_hosts_complete(
        &mut self,
        now: Nanos,
        index: usize,
        list_version: u64,
        out: &mut Vec<ForwarderAction>,
    ) -> Result<(), LinkError> {
        let planner_session = &mut self.sessions[index];
        let Some(session) = planner_session.session().filter(|_| list_version > 0) else {
            return Ok(());
        };
        let Some(listed) = planner_session.hosts_in_sync.take() else {
            return Ok(());
        };
        if self.followed.is_some_and(|followed| followed != index) {
            return Ok(());
        }
        let removed = self
            .hosts
            .remove_unlisted(now, session, &listed, list_version)?;
        out.extend(removed.into_iter().map(ForwarderAction::HostLearned));
        Ok(())
    }
}

fn handle_welcome(session: &mut PlannerSession, body: &[u8], now: Nanos) -> Result<(), LinkError> {
    match codec::decode_greeting(body)? {
        Welcome::Session(number) => {
            session.establish(number, now);
            Ok(())
        }
        Welcome::Refused(why) => Err(LinkError::RejectedByPeer(
            why.chars().take(MAX_NAME_BYTES).collect(),
        )),
    }
}
