//! Handling of events of client connections: requests that arrive, attempts that succeed or end, and clients that
//! leave.

use super::shutdown::Shutdown;
use super::{Forwarder, ForwarderAction, ForwarderMessage, PendingRequest, Phase};
use reedferry::{Action, AttemptOutcome, Event, IncomingRequest, Nanos, RequestId};

impl Forwarder {
    pub(super) fn dispatch_event(
        &mut self,
        now: Nanos,
        event: Event,
        out: &mut Vec<ForwarderAction>,
    ) {
        match event {
            Event::RequestArrived(incoming) => self.handle_request(now, incoming, out),
            Event::ConnectionFound(incoming, host) => {
                self.requests
                    .insert(PendingRequest::open(incoming, host, now));
                self.queue_open_connection(now, incoming.id.0);
            }
            Event::ConnectionEstablished { id, took } => self.handle_established(now, id.0, took),
            Event::AttemptEnded {
                id,
                request_over,
                ending,
                ..
            } => self.handle_attempt_ended(now, id.0, request_over, ending, out),
            Event::ClientLeft { id } => self.handle_client_left(id.0, out),
            Event::LoadMeasured { id, load } => {
                let is_known = |request: &PendingRequest| request.known_to_planner;
                if self.requests.get(id.0).is_some_and(is_known) && !self.is_backlogged() {
                    self.report(&ForwarderMessage::LoadMeasured { id: id.0, load });
                }
            }
            Event::MessageLatency { host, latency } => {
                if self.state_sync.complete && !self.is_backlogged() {
                    let host = host.0;
                    self.report(&ForwarderMessage::MessageLatency { host, latency });
                }
            }
            Event::ShutdownStarted { from, by } => {
                self.shutdown = Some(Shutdown::new(from, by));
                out.push(ForwarderAction::Log(format!(
                    "shutting down requests={}",
                    self.requests.len()
                )));
            }
            // These do not concern a forwarder, which follows no endpoint list, sends no probes and has no peers.
            Event::EndpointsUpdated { .. }
            | Event::RequestTakenOver(..)
            | Event::TimerFired { .. }
            | Event::ProbeEnded { .. }
            | Event::GossipReceived { .. }
            | Event::SlowStartSlotsAssigned(_)
            | Event::ProbeTargetsAssigned(_)
            | Event::ShutdownCancelled
            | Event::ConnectionHandedOver(..)
            | Event::SettingsChanged(..)
            | Event::SuccessorChanged(_)
            | Event::StateInherited(_) => {}
        }
    }

    fn handle_request(
        &mut self,
        now: Nanos,
        incoming: IncomingRequest,
        out: &mut Vec<ForwarderAction>,
    ) {
        let id = incoming.id.0;
        self.requests.insert(PendingRequest::new(incoming, now));
        if self.shutdown.is_some() {
            self.answer_locally(id, out);
        } else {
            self.request_decision(now, id, out);
        }
    }

    fn handle_established(&mut self, now: Nanos, id: u64, took: Nanos) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Phase::Attempting(host) = request.phase else {
            return;
        };
        request.phase = Phase::Open(host);
        if request.known_to_planner {
            self.report(&ForwarderMessage::ConnectionEstablished { id, took });
        } else {
            self.queue_open_connection(now, id);
        }
    }

    fn handle_attempt_ended(
        &mut self,
        now: Nanos,
        id: u64,
        request_over: bool,
        outcome: AttemptOutcome,
        out: &mut Vec<ForwarderAction>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if request_over || request.client_left || request.is_open() {
            self.report_request_over(id, outcome);
            self.requests.remove(id);
            return;
        }
        if request.phase == Phase::AwaitingDecision {
            return;
        }
        request.attempt_failed(outcome);
        let answer_by = request.answer_by(&self.config.balancer_settings);
        if request.known_to_planner && now < answer_by && self.can_ask_planner(now) {
            self.request_next_decision(now, id, outcome);
        } else {
            self.report_request_over(id, outcome);
            self.request_decision(now, id, out);
        }
    }

    /// Reports to the planner that a request is over if the planner knows it, and marks the request as unknown to the
    /// planner. The forwarder may keep the request and ask for a new decision on it.
    fn report_request_over(&mut self, id: u64, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if std::mem::take(&mut request.known_to_planner) {
            let decision_sequence = request.decision_sequence;
            self.report(&ForwarderMessage::AttemptEnded {
                id,
                decision_sequence,
                outcome: outcome.into(),
                request_over: true,
            });
        }
    }

    fn handle_client_left(&mut self, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let was_known = request.known_to_planner;
        if let Phase::Attempting(_) = request.phase {
            request.client_left = true;
            if self.config.balancer_settings.may_cancel {
                out.push(ForwarderAction::Perform(Action::CancelAttempt {
                    id: RequestId(id),
                    attempt: request.attempts - 1,
                }));
            }
        } else {
            self.requests.remove(id);
        }
        if was_known {
            self.report(&ForwarderMessage::ClientLeft { id });
        }
    }
}
