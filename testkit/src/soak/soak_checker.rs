//! The invariant checker of a soak. It checks the rules on requests by what clients and hosts observed. Missing
//! answers are excused if a process was killed, late or missing answers and late attempts if it was suspended, and
//! resets while a crowd uses up its descriptors.

use super::clients::{ClientBehavior, ClientObservation, Received};
use super::notification::notified_at;
use super::process_slot::{FaultHistory, ProcessSlots};
use super::profile::Deadlines;
use crate::discovery::DiscoveryHistory;
use crate::simulated::{HostBehavior, ObservedAttempt, DRAIN_GRACE, REPEAT_WINDOW, SOCKET_SLACK};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How late a busy machine may record an observation, and how late a process with delayed system calls may act.
const BUSY_SLACK: Duration = Duration::from_millis(350);
/// How long a process may take to send a misbehaving client an error or to close its connection.
const MISBEHAVING_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// How long after a client has closed its connection an attempt may still begin.
const ABANDON_TIMEOUT: Duration = Duration::from_millis(100);
/// How long before its request a kill or a suspension may still affect a client.
const FAULT_LOOKBACK: Duration = Duration::from_secs(3);
/// How long before the request a suspension may have ended and still excuse that the request was read late.
const READ_LOOKBACK: Duration = Duration::from_secs(1);

/// The index of requests with an idempotency key in [`CLASS_NAMES`](crate::simulated::CLASS_NAMES).
const CLASS_WITH_KEY: usize = 1;
/// The index of requests that are not idempotent in [`CLASS_NAMES`](crate::simulated::CLASS_NAMES).
const CLASS_NON_IDEMPOTENT: usize = 2;

/// What clients and hosts observed in a soak, and the faults that were applied.
pub struct SoakChecker<'a> {
    pub observations: Vec<ClientObservation>,
    pub attempts: Vec<ObservedAttempt>,
    pub slots: ProcessSlots,
    pub fault_history: &'a FaultHistory,
    /// The histories of the two list services.
    pub services: [DiscoveryHistory; 2],
    /// The request deadline of each class.
    pub deadlines: Deadlines,
}

impl SoakChecker<'_> {
    /// Returns the number of clients whose connection was opened.
    pub fn served(&self) -> usize {
        self.observations
            .iter()
            .filter(|client| client.received.starts_with("UP"))
            .count()
    }

    /// Returns all violations of the rules, one per entry.
    pub fn violations(&self) -> Vec<String> {
        let mut by_name: HashMap<&str, Vec<&ObservedAttempt>> = HashMap::new();
        for attempt in &self.attempts {
            by_name.entry(&attempt.name).or_default().push(attempt);
        }
        let mut violations = Vec::new();
        for client in &self.observations {
            let mut attempts = by_name
                .get(client.name.as_str())
                .cloned()
                .unwrap_or_default();
            attempts.sort_by_key(|attempt| attempt.at);
            let found = [
                self.check_answer(client),
                check_repeats(client, &attempts),
                self.check_late_attempt(client, &attempts),
                self.check_drain(client, &attempts),
            ];
            violations.extend(found.into_iter().flatten().map(|violation| {
                format!(
                    "{} at slot {}, {:?}, class {}: {violation}",
                    client.name, client.slot, client.behavior, client.class
                )
            }));
        }
        violations
    }

    /// Returns whether a process of the client's slot was killed while the client used it.
    fn was_killed(&self, client: &ClientObservation) -> bool {
        let slot = self.slots[client.slot].lock().unwrap();
        let until = client.ended_at.unwrap_or(client.received_at);
        slot.killed
            .iter()
            .any(|at| *at + BUSY_SLACK > client.asked - FAULT_LOOKBACK && *at < until + BUSY_SLACK)
    }

    /// Returns whether the process of the client's slot was suspended at any time between `from` and `to`.
    fn was_suspended(&self, client: &ClientObservation, from: Instant, to: Instant) -> bool {
        let slot = self.slots[client.slot].lock().unwrap();
        slot.suspensions
            .iter()
            .any(|span| span.from < to && span.to + BUSY_SLACK > from)
    }

    /// Returns whether a crowd was at the client's slot while it waited for its answer.
    fn was_crowded(&self, client: &ClientObservation) -> bool {
        let slot = self.slots[client.slot].lock().unwrap();
        slot.crowds
            .iter()
            .any(|span| span.from <= client.received_at && client.asked <= span.to + BUSY_SLACK)
    }

    /// Rule 1: each request gets exactly one final answer, in time.
    fn check_answer(&self, client: &ClientObservation) -> Option<String> {
        if client.behavior == ClientBehavior::LeavesEarly || self.was_killed(client) {
            return None;
        }
        if let Some(second) = &client.second_answer {
            return Some(format!(
                "rule 1: {second} received after {:?}",
                client.received
            ));
        }
        let took = client.received_at - client.asked;
        let suspended =
            self.was_suspended(client, client.asked - FAULT_LOOKBACK, client.received_at);
        match &client.received {
            Received::End if client.behavior.violates_protocol() => {}
            Received::Line(_) => {}
            // A process without free descriptors may close a new connection before it has read from it, which resets
            // it.
            Received::Reset if self.was_crowded(client) => {}
            // The client's wait timed out while the process was suspended, or right after.
            Received::Timeout
                if self.was_suspended(
                    client,
                    client.received_at - MISBEHAVING_CLIENT_TIMEOUT,
                    client.received_at,
                ) => {}
            other => {
                return Some(format!(
                    "rule 1: {other:?} instead of an answer after {took:?}"
                ))
            }
        }
        let timeout = if client.behavior.violates_protocol() {
            MISBEHAVING_CLIENT_TIMEOUT
        } else {
            self.deadlines[client.class] + SOCKET_SLACK
        };
        if took > timeout + BUSY_SLACK && !suspended {
            return Some(format!("rule 1: {:?} after {took:?}", client.received));
        }
        match &client.ended {
            None => None,
            Some(Received::Line(line)) if line == "MOVE" => None,
            Some(Received::Timeout) if suspended => None,
            Some(other) => Some(format!("an open connection ended with {other:?}")),
        }
    }

    /// Rule 1: no attempt begins after the answer, after the deadline or after the client has closed its connection.
    fn check_late_attempt(
        &self,
        client: &ClientObservation,
        attempts: &[&ObservedAttempt],
    ) -> Option<String> {
        let last = attempts.last()?;
        if let Some(closed_at) = client
            .closed_at
            .filter(|closed_at| last.at > *closed_at + ABANDON_TIMEOUT + BUSY_SLACK)
        {
            return Some(format!(
                "attempted {:?} after the client closed its connection",
                last.at - closed_at
            ));
        }
        let slack = SOCKET_SLACK + BUSY_SLACK;
        if matches!(client.received, Received::Line(_)) && last.at > client.received_at + slack {
            return Some(format!(
                "rule 1: attempted {:?} after the answer",
                last.at - client.received_at
            ));
        }
        // The deadline of a request counts from when it was read, which a suspension delays.
        let from = client.asked - READ_LOOKBACK;
        if last.at > client.asked + self.deadlines[client.class] + slack
            && !self.was_suspended(client, from, last.at)
        {
            return Some(format!(
                "rule 1: attempted {:?} after the request",
                last.at - client.asked
            ));
        }
        None
    }

    /// Rule 3: no attempt reaches a draining host later than the grace time after the process was notified.
    fn check_drain(
        &self,
        client: &ClientObservation,
        attempts: &[&ObservedAttempt],
    ) -> Option<String> {
        attempts.iter().find_map(|attempt| {
            let drains = self.fault_history.drains.get(&attempt.host)?;
            let drain = drains.iter().find(|drain| {
                attempt.at > drain.announced
                    && drain.revoked.is_none_or(|revoked| attempt.at < revoked)
            })?;
            let late = attempt.at - drain.announced;
            let notified = self.notified_at(client.slot, drain.announced, attempt.at);
            let allowed = notified.saturating_duration_since(drain.announced)
                + DRAIN_GRACE
                + SOCKET_SLACK
                + BUSY_SLACK;
            (late > allowed).then(|| {
                format!(
                    "rule 3: sent to host {} {late:?} after its drain was announced",
                    attempt.host
                )
            })
        })
    }

    /// Returns when the processes of a slot that may have made an attempt at `at` count as notified of what the list
    /// services had at `announced`. This is the latest such time, as the attempt does not show which process made it.
    fn notified_at(&self, slot: usize, announced: Instant, at: Instant) -> Instant {
        let slot = self.slots[slot].lock().unwrap();
        slot.runs
            .iter()
            .filter(|run| run.ran_at(at, BUSY_SLACK))
            .map(|run| notified_at(run, &self.services, &slot.syscall_faults, announced))
            .max()
            .unwrap_or(announced)
    }
}

/// Rule 2: a request that may have run is only repeated at hosts and within the time that its class allows.
fn check_repeats(client: &ClientObservation, attempts: &[&ObservedAttempt]) -> Option<String> {
    let may_have_run: Vec<&ObservedAttempt> = attempts
        .iter()
        .copied()
        .filter(|attempt| attempt.behavior != HostBehavior::Rejects)
        .collect();
    let first = may_have_run.first()?;
    let window_end = first.at + REPEAT_WINDOW + SOCKET_SLACK + BUSY_SLACK;
    match client.class {
        CLASS_NON_IDEMPOTENT if may_have_run.len() > 1 => {
            Some(format!("rule 2: may have run {} times", may_have_run.len()))
        }
        CLASS_NON_IDEMPOTENT if client.received.starts_with("BUSY") => {
            Some("rule 2: rejected although it may have run".into())
        }
        CLASS_WITH_KEY
            if may_have_run
                .iter()
                .any(|attempt| attempt.host % 2 != first.host % 2) =>
        {
            Some("rule 2: repeated outside its idempotency group".into())
        }
        CLASS_WITH_KEY if may_have_run.iter().any(|attempt| attempt.at > window_end) => {
            Some("rule 2: repeated after its repeat window".into())
        }
        _ => None,
    }
}
