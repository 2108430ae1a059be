//! Handles messages about requests: they are added, placed, answered and migrated. Final answers
//! are given here and in `placement.rs`.

use super::Balancer;
use crate::action::Action;
use crate::connection::Connection;
use crate::messages::{HostMessage, RequestMessage};
use crate::request::{AttemptOutcome, IncomingRequest};
use crate::request_table::FirstRun;
use crate::time::Nanos;

impl Balancer {
    pub(super) fn handle_request(
        &mut self,
        now: Nanos,
        message: RequestMessage,
        actions: &mut Vec<Action>,
    ) {
        match message {
            RequestMessage::Arrived(incoming) => {
                self.arrival_rate.request_arrived(now);
                let slot = self.requests.insert(now, incoming, &self.settings);
                self.place(now, slot, actions);
            }
            RequestMessage::TakenOver {
                incoming,
                attempts,
                may_have_run,
                tried_hosts,
            } => {
                let slot = self.requests.insert(now, incoming, &self.settings);
                self.restore_attempts(slot, attempts, may_have_run, tried_hosts);
                self.place(now, slot, actions);
            }
            RequestMessage::ConnectionFound {
                incoming,
                host,
                since,
            } => self.add_open_connection(now, incoming, host, since),
            RequestMessage::ConnectionEstablished { slot } => {
                self.request_established(slot, actions);
            }
            RequestMessage::AttemptEnded {
                slot,
                request_over,
                outcome,
            } => self.request_attempt_ended(now, slot, request_over, outcome, actions),
            RequestMessage::ClientLeft { slot } => self.client_left(slot, actions),
            RequestMessage::Migrate { slot } => self.migrate(slot, actions),
            RequestMessage::LatencyObserved { late } => {
                let requests = self.requests.len();
                self.load_shedding.latency_observed(late, requests, actions);
            }
            RequestMessage::GossipSent { bytes } => self.gossip_budget.spend(bytes),
            RequestMessage::ShutdownStarted { from, by } => {
                self.shutdown_started(from, by, actions);
            }
            RequestMessage::ShutdownCancelled => self.shutdown_cancelled(actions),
            RequestMessage::MigrationTimer => self.migration_timer_fired(now, actions),
            RequestMessage::SuccessorChanged(has_state) => {
                self.shutdown.has_successor = has_state;
            }
            RequestMessage::StateInherited(state) => self.state_inherited(state),
            RequestMessage::Tick => self.load_shedding.tick(),
        }
    }

    fn restore_attempts(
        &mut self,
        slot: usize,
        attempts: u32,
        may_have_run: Option<(usize, Nanos)>,
        tried_hosts: Vec<usize>,
    ) {
        let first_run = may_have_run.map(|(host, sent_at)| FirstRun {
            host,
            endpoint: self
                .hosts
                .get(host)
                .map(|host| host.endpoint)
                .unwrap_or_default(),
            sent_at,
        });
        if let Some(request) = self.requests.get_mut(slot) {
            request.attempts = attempts;
            request.first_run = first_run;
            request.tried_hosts = tried_hosts;
        }
    }

    fn add_open_connection(
        &mut self,
        now: Nanos,
        incoming: IncomingRequest,
        host: usize,
        since: Nanos,
    ) {
        let slot = self.requests.insert(now, incoming, &self.settings);
        let Some(request) = self.requests.get_mut(slot) else {
            return;
        };
        request.established = true;
        request.answered = true;
        request.host = Some(host);
        let connection = Connection {
            established: true,
            ..Connection::new(since, slot, &incoming, &self.history, &self.settings)
        };
        self.send_host(host, HostMessage::ConnectionAdded(connection));
    }

    fn request_established(&mut self, slot: usize, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(slot) {
            request.established = true;
            request.answered = true;
            if let Some(host) = request.error_host {
                self.send_host(host, HostMessage::ErrorConfirmed);
            }
        }
        let requests = self.requests.len();
        self.setup_failures.setup_succeeded(requests, actions);
    }

    fn request_attempt_ended(
        &mut self,
        now: Nanos,
        slot: usize,
        request_over: bool,
        outcome: AttemptOutcome,
        actions: &mut Vec<Action>,
    ) {
        let requests = self.requests.len();
        let Some(request) = self.requests.get_mut(slot) else {
            return;
        };
        let host = request.host.take();
        request.answered |= request_over;
        // Rejections and failures to connect are faults of the host, not of a shared session store,
        // and a request that fails at several hosts counts once. Without this, malformed requests
        // would look like a failing store.
        let first_failure = matches!(outcome, AttemptOutcome::Error | AttemptOutcome::TimedOut)
            && request.tried_hosts.is_empty();
        if !request.established && first_failure {
            self.setup_failures.setup_failed(host, requests, actions);
        }
        if request.answered {
            return self.requests.remove(slot);
        }
        if let Some(host) = host {
            request.attempt_failed(host, outcome);
        }
        self.place(now, slot, actions);
    }

    fn client_left(&mut self, slot: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(slot) else {
            return;
        };
        request.answered = true;
        if request.host.is_none() {
            self.requests.remove(slot);
        } else if self.settings.may_cancel && !request.established {
            actions.push(Action::CancelAttempt {
                id: request.id,
                attempt: request.attempts - 1,
            });
        }
    }

    fn migrate(&mut self, slot: usize, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(slot) else {
            return;
        };
        if request.established && !request.migrating {
            request.migrating = true;
            actions.push(Action::Migrate { id: request.id });
        }
    }
}
