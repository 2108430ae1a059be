//! Decisions on requests: asking the planner for them, carrying them out, and deciding locally where the planner
//! cannot be asked or does not answer in time.

use super::request_table::DecisionDeadline;
use super::{Forwarder, ForwarderAction, ForwarderMessage, PendingRequest, Phase};
use rand::Rng;
use reedferry::{Action, AttemptOutcome, HostId, Idempotency, Nanos, RequestId};

/// A planner's decision to start an attempt.
pub(super) struct AttemptDecision {
    pub id: u64,
    /// The number of the report that it answers.
    pub decision_sequence: u32,
    pub host: HostId,
    pub time_limit: Nanos,
    pub valid_until: Nanos,
}

impl Forwarder {
    /// Asks the planner to decide on a request, or decides locally if the planner cannot be asked.
    pub(super) fn request_decision(&mut self, now: Nanos, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if !self.config.may_attempt(request, now) {
            return self.answer_locally(id, out);
        }
        // A backlog during the state sync does not count, because requests are parked until the sync is complete.
        let is_backlogged = self.state_sync.complete && self.is_backlogged();
        let awaiting = self.requests.awaiting_answer() + self.state_sync.parked.len();
        let is_full = awaiting >= self.config.max_awaiting_decision;
        if !self.can_ask_planner(now) || is_backlogged || is_full {
            return self.decide_locally(now, id, out);
        }
        let message = ForwarderMessage::RequestPlacement {
            id,
            decision_sequence: request.decision_sequence,
            request: request.placement_request(now),
            prior_attempts: request.prior_attempts(now),
        };
        self.set_decision_deadline(now, id);
        if !self.state_sync.complete {
            return self.state_sync.parked.push(id);
        }
        self.report(&message);
        self.requests.await_answer(id);
    }

    /// Reports the failure of an attempt to the planner that decided it, and awaits the planner's next decision.
    pub(super) fn request_next_decision(&mut self, now: Nanos, id: u64, outcome: AttemptOutcome) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let message = ForwarderMessage::AttemptEnded {
            id,
            decision_sequence: request.decision_sequence,
            outcome: outcome.into(),
            request_over: false,
        };
        self.set_decision_deadline(now, id);
        self.report(&message);
        self.requests.await_answer(id);
    }

    /// Sets the time at which a request is decided locally unless the planner has decided it.
    fn set_decision_deadline(&mut self, now: Nanos, id: u64) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let answer_by = request.answer_by(&self.config.balancer_settings);
        self.requests.push_deadline(DecisionDeadline {
            time: answer_by.min(now + self.config.decision_timeout),
            id,
            decision_sequence: request.decision_sequence,
        });
    }

    /// Decides locally the requests that the planner has not decided in time. After a pause of this process, requests
    /// whose answer is not due before the end of the pause grace wait until then.
    pub(super) fn decide_overdue(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        while let Some(deadline) = self.requests.pop_passed_deadline(now) {
            let Some(request) = self.requests.get(deadline.id) else {
                continue;
            };
            if request.phase != Phase::AwaitingDecision
                || request.decision_sequence != deadline.decision_sequence
            {
                continue;
            }
            let answer_by = request.answer_by(&self.config.balancer_settings);
            if now < self.pause_grace_until && answer_by > self.pause_grace_until {
                self.requests.push_deadline(DecisionDeadline {
                    time: self.pause_grace_until,
                    ..deadline
                });
            } else {
                self.decide_locally(now, deadline.id, out);
            }
        }
    }

    /// Starts the attempt that the planner decided if the decision is still valid.
    pub(super) fn handle_start_attempt(
        &mut self,
        now: Nanos,
        decision: &AttemptDecision,
        out: &mut Vec<ForwarderAction>,
    ) {
        let id = decision.id;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        // Ignores a decision that arrives after the request was decided locally or reported again.
        if !request.awaits_answer_to(decision.decision_sequence) {
            return;
        }
        if !self.config.may_attempt(request, now) {
            return self.answer_locally(id, out);
        }
        self.requests.stop_awaiting_answer(id);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        // Asks the planner for another decision if this one has expired or its host no longer accepts attempts.
        // Without this, an attempt could reach a host after its drain.
        if now >= decision.valid_until || !self.hosts.accepts_attempts(decision.host) {
            request.decision_sequence += 1;
            return self.request_next_decision(now, id, AttemptOutcome::NeverSent);
        }
        request.attempt_started(decision.host, now);
        let answer_by = request.answer_by(&self.config.balancer_settings);
        out.push(ForwarderAction::StartAttempt {
            id: RequestId(id),
            host: decision.host,
            deadline: now.saturating_add(decision.time_limit).min(answer_by),
            start_by: decision.valid_until,
        });
    }

    /// Gives the client the planner's final answer: a rejection if `retry_after` is given and a retry is safe,
    /// otherwise a failure.
    pub(super) fn handle_final_answer(
        &mut self,
        id: u64,
        decision_sequence: u32,
        retry_after: Option<Nanos>,
        out: &mut Vec<ForwarderAction>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if !request.awaits_answer_to(decision_sequence) {
            return;
        }
        let may_reject = request.may_reject(self.config.class_of(request));
        self.requests.remove(id);
        let id = RequestId(id);
        let max_retry_after = self.config.balancer_settings.max_retry_after;
        out.push(ForwarderAction::Perform(
            match retry_after.filter(|_| may_reject) {
                Some(retry_after) => Action::Reject {
                    id,
                    retry_after: retry_after.min(max_retry_after),
                },
                None => Action::Fail { id },
            },
        ));
    }

    /// Asks a client with an open connection to reconnect if the planner's decision still holds.
    pub(super) fn handle_migrate(
        &mut self,
        now: Nanos,
        id: u64,
        valid_until: Nanos,
        out: &mut Vec<ForwarderAction>,
    ) {
        let is_open = self.requests.get(id).is_some_and(PendingRequest::is_open);
        if is_open && now < valid_until {
            let id = RequestId(id);
            out.push(ForwarderAction::Perform(Action::Migrate { id }));
        }
    }

    /// Decides on a request without a planner: starts a first attempt by the fallback plan if possible, and otherwise
    /// gives the final answer.
    pub(super) fn decide_locally(&mut self, now: Nanos, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(host) = self.draw_from_plan(now, id) else {
            return self.answer_locally(id, out);
        };
        self.requests.stop_awaiting_answer(id);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.decision_sequence += 1;
        request.attempt_started(host, now);
        let was_known = std::mem::take(&mut request.known_to_planner);
        let answer_by = request.answer_by(&self.config.balancer_settings);
        let class = self.config.class_of(request);
        let deadline = if class.idempotency == Idempotency::NonIdempotent {
            answer_by
        } else {
            answer_by.min(now + class.latency_objective)
        };
        out.push(ForwarderAction::StartAttempt {
            id: RequestId(id),
            host,
            deadline,
            start_by: self.plan_valid_until,
        });
        if was_known {
            self.report(&ForwarderMessage::RequestClosed { id });
        }
        self.local_decisions.by_plan += 1;
    }

    /// Draws a host for a request's first attempt from the fallback plan. Returns `None` for later attempts, if the
    /// plan has expired, is used up or has no usable host, and during a shutdown.
    fn draw_from_plan(&mut self, now: Nanos, id: u64) -> Option<HostId> {
        let request = self.requests.get(id)?;
        let answer_by = request.answer_by(&self.config.balancer_settings);
        let plan_holds = now < self.plan_valid_until.min(answer_by);
        if request.attempts > 0 || !plan_holds || self.shutdown.is_some() {
            return None;
        }
        let hosts = &self.hosts;
        self.fallback_plan
            .draw(&mut self.rng, |host| hosts.accepts_attempts(host))
    }

    /// Gives the final answer at once and without a planner: a rejection if a retry is safe, otherwise a failure.
    pub(super) fn answer_locally(&mut self, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(request) = self.requests.remove(id) else {
            return;
        };
        if request.known_to_planner {
            self.report(&ForwarderMessage::RequestClosed { id });
        }
        // Adds jitter, so that the clients do not all retry at the same time. The number is drawn for a failure too,
        // so that the random sequence does not depend on the answer.
        let max_retry_after = self.config.balancer_settings.max_retry_after;
        let retry_after = (max_retry_after as f64 * self.rng.random_range(0.25..1.0)) as Nanos;
        let may_reject = request.may_reject(self.config.class_of(&request));
        let id = RequestId(id);
        out.push(ForwarderAction::Perform(if may_reject {
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        }));
        self.local_decisions.answered += 1;
    }
}
