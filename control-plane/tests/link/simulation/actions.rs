//! Execution of the actions of planners and forwarders.

use super::{
    attempt_ended, planner_index, Answer, Connection, InFlightAttempt, PendingHostAnswer,
    SentAttempt, Simulation, DRAIN_GRACE, HOST_ANSWER_TIME,
};
use reedferry::{Action, AttemptOutcome, Nanos};
use reedferry_control_plane::messages::{HostEntry, WireHostState};
use reedferry_control_plane::{ForwarderAction, PlannerAction};
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Returns the text of a log action; `None` for any other action.
pub fn log_text(action: ForwarderAction) -> Option<String> {
    match action {
        ForwarderAction::Log(text) => Some(text),
        _ => None,
    }
}

impl Simulation {
    pub(super) fn carry_out_planner_actions(&mut self, index: usize, actions: Vec<PlannerAction>) {
        for action in actions {
            match action {
                PlannerAction::SetTimer { time, zone, timer } => {
                    self.planners[index]
                        .timers
                        .push(Reverse((time, zone, timer)));
                }
                PlannerAction::Disconnect { connection } => self.end_connection(connection),
                PlannerAction::Log(text) => self.planners[index].logs.push(text),
                PlannerAction::PollEndpoints
                | PlannerAction::WatchEndpoints
                | PlannerAction::Probe { .. } => {}
            }
        }
    }

    pub fn carry_out_forwarder_action(&mut self, index: usize, action: ForwarderAction) {
        match action {
            ForwarderAction::ConnectPlanner { connection, .. } => self.connect(index, connection),
            ForwarderAction::DisconnectPlanner { connection } => self.disconnect(index, connection),
            ForwarderAction::StartAttempt {
                id,
                host,
                deadline,
                start_by,
            } => {
                assert!(
                    self.now < start_by,
                    "attempt by a decision whose lease is over"
                );
                self.start_attempt(index, id.0, host.0 as usize - 1, deadline);
            }
            ForwarderAction::Perform(action) => self.perform(index, &action),
            ForwarderAction::Log(text) => self.logs.push(text),
            ForwarderAction::HostLearned(entry) => self.learn_host(index, &entry),
        }
    }

    fn connect(&mut self, index: usize, number: u32) {
        let now = self.now;
        let forwarder = &mut self.forwarders[index];
        let planner = planner_index(forwarder.core.planner_name(number).unwrap());
        let Some(core) = self.planners[planner].core.as_mut() else {
            return forwarder
                .core
                .connection_lost(now, number, "refused", &mut Vec::new());
        };
        self.last_connection += 1;
        let connection = Connection {
            planner,
            planner_connection: self.last_connection,
            to_planner: VecDeque::new(),
            to_forwarder: VecDeque::new(),
            cut_to_planner: false,
            cut_to_forwarder: false,
            blocked: false,
        };
        core.accept(now, self.last_connection, &mut Vec::new());
        forwarder.connections.insert(number, connection);
        forwarder.core.connected(number);
    }

    fn disconnect(&mut self, index: usize, number: u32) {
        let Some(connection) = self.forwarders[index].connections.remove(&number) else {
            return;
        };
        let mut out = Vec::new();
        if let Some(core) = self.planners[connection.planner].core.as_mut() {
            core.connection_lost(connection.planner_connection, "closed", &mut out);
        }
        self.carry_out_planner_actions(connection.planner, out);
    }

    /// Sends an attempt to a host, and records a violation if it must not be sent.
    fn start_attempt(&mut self, index: usize, id: u64, host: usize, deadline: Nanos) {
        let now = self.now;
        let forwarder = &mut self.forwarders[index];
        // The drain counts from when the followed planner knew of it or any planner reported it to this forwarder.
        let followed = forwarder.followed_planner();
        let known_drain = followed.and_then(|p| self.planners[p].known_drains.get(&host));
        let reported_drain = forwarder.reported_drains.get(&host);
        let drained_at = known_drain.into_iter().chain(reported_drain).min();
        if drained_at.is_some_and(|at| now > at + DRAIN_GRACE) {
            self.violations
                .push(format!("attempt at host {host} after its drain grace"));
        }
        let client = forwarder.clients.get_mut(&id).unwrap();
        if client.in_flight.is_some() || client.open || !client.answers.is_empty() {
            self.violations.push(format!(
                "{id} has two attempts at once, or one after its answer"
            ));
        }
        if now >= client.deadline {
            self.violations
                .push(format!("{id} has an attempt after its deadline"));
        }
        let number = client.attempts.len() as u32;
        client.in_flight = Some(InFlightAttempt {
            host,
            deadline,
            number,
        });
        client.attempt_started_at = now;
        client.attempts.push(SentAttempt {
            at: now,
            host,
            may_have_run: None,
        });
        self.hosts[host].attempts.push(now);
        forwarder.host_answers.push_back(PendingHostAnswer {
            at: now + HOST_ANSWER_TIME,
            client: id,
            attempt: number,
            host,
        });
    }

    fn perform(&mut self, index: usize, action: &Action) {
        let (id, answer) = match action {
            Action::Reject { id, .. } => (id.0, Answer::Rejected),
            Action::Fail { id } => (id.0, Answer::Failed),
            Action::Migrate { id } => {
                let event = attempt_ended(id.0, 0, 0, true, AttemptOutcome::Cancelled);
                self.forwarders[index].events.push(event);
                self.client(id.0).open = false;
                return;
            }
            _ => return,
        };
        let now = self.now;
        self.client(id).answers.push((now, answer));
    }

    fn learn_host(&mut self, index: usize, entry: &HostEntry) {
        let host = entry.id as usize - 1;
        let reported_drains = &mut self.forwarders[index].reported_drains;
        if entry.state == WireHostState::Ready {
            reported_drains.remove(&host);
        } else {
            reported_drains.entry(host).or_insert(self.now);
        }
    }
}
