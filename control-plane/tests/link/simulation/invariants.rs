//! The invariants, checked against what hosts and clients observe: each client gets one answer in time, no attempt is
//! made that the idempotency of the class forbids, and no request that is not idempotent is rejected after an attempt
//! that may have run.

use super::{
    cell, Answer, Client, SentAttempt, SimulatedForwarder, Simulation, IDEMPOTENCY_WINDOW,
    IDEMPOTENT, NON_IDEMPOTENT, WITH_KEY,
};
use reedferry::Nanos;

impl Simulation {
    pub(super) fn check_invariants(&mut self) {
        for forwarder in &self.forwarders {
            for (id, client) in &forwarder.clients {
                let violations = [
                    answers_violation(*id, client, forwarder, self.now),
                    attempts_violation(*id, client),
                ];
                self.violations.extend(violations.into_iter().flatten());
            }
        }
        assert!(
            self.violations.is_empty(),
            "{:?}\n{:#?}",
            self.violations,
            self.logs
        );
    }
}

fn answers_violation(
    id: u64,
    client: &Client,
    forwarder: &SimulatedForwarder,
    now: Nanos,
) -> Option<String> {
    if client.answers.len() > 1 {
        return Some(format!("{id} got several answers {:?}", client.answers));
    }
    // A paused forwarder cannot answer in time. That it starts no late attempt is checked when an attempt starts.
    let paused = &forwarder.paused;
    let was_paused = client.arrived_at < paused.end && client.deadline > paused.start;
    if client.answers.is_empty() && now >= client.deadline && !was_paused {
        return Some(format!("{id} has no answer"));
    }
    None
}

fn attempts_violation(id: u64, client: &Client) -> Option<String> {
    let may_have_run: Vec<&SentAttempt> = client
        .attempts
        .iter()
        .filter(|attempt| attempt.may_have_run != Some(false))
        .collect();
    let first = may_have_run.first()?;
    let is_forbidden_repeat = match client.class {
        WITH_KEY => may_have_run.iter().any(|attempt| {
            cell(attempt.host) != cell(first.host) || attempt.at >= first.at + IDEMPOTENCY_WINDOW
        }),
        NON_IDEMPOTENT => may_have_run.len() > 1,
        _ => false,
    };
    let was_rejected = client
        .answers
        .iter()
        .any(|(_, answer)| *answer == Answer::Rejected);
    if is_forbidden_repeat || was_rejected && client.class != IDEMPOTENT {
        return Some(format!(
            "{id} of class {} ran {may_have_run:?} {:?}",
            client.class, client.answers
        ));
    }
    None
}
