//! The invariant checker: records what hosts and clients observed and checks the rules on requests by these records.
//! It must not use anything that a node reports about itself.

use super::{
    ClientObservation, HostBehavior, ObservedAttempt, DRAIN_GRACE, REPEAT_WINDOW, REQUEST_TIMEOUT,
    SOCKET_SLACK,
};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The index of requests with an idempotency key in [`CLASS_NAMES`](super::CLASS_NAMES).
const CLASS_WITH_KEY: usize = 1;
/// The index of requests that are not idempotent in [`CLASS_NAMES`](super::CLASS_NAMES).
const CLASS_NON_IDEMPOTENT: usize = 2;

/// Checks the rules by what hosts and clients observed. Clones share one record.
#[derive(Clone, Default)]
pub struct InvariantChecker(Arc<Mutex<Record>>);

#[derive(Default)]
struct Record {
    attempts: Vec<ObservedAttempt>,
    observations: Vec<ClientObservation>,
    /// The last drain of each host, by its number.
    drains: HashMap<usize, Drain>,
}

struct Drain {
    /// When the list service was told to announce the drain.
    announced: Instant,
    /// When the host was announced as active again; `None` if it was not.
    revoked: Option<Instant>,
}

impl InvariantChecker {
    /// Returns all attempts that reached hosts.
    pub fn reached(&self) -> Vec<ObservedAttempt> {
        self.0.lock().unwrap().attempts.clone()
    }

    /// Returns what each client observed that has ended.
    pub fn observations(&self) -> Vec<ClientObservation> {
        self.0.lock().unwrap().observations.clone()
    }

    /// Records an attempt and returns its index.
    pub(super) fn note_attempt(&self, attempt: ObservedAttempt) -> usize {
        let mut record = self.0.lock().unwrap();
        record.attempts.push(attempt);
        record.attempts.len() - 1
    }

    /// Records that the node has abandoned an attempt now.
    pub(super) fn note_abandoned(&self, attempt: usize) {
        self.0.lock().unwrap().attempts[attempt].abandoned_at = Some(Instant::now());
    }

    pub(super) fn note_client(&self, observation: ClientObservation) {
        self.0.lock().unwrap().observations.push(observation);
    }

    /// Records that the list service was told that a host drains, or that it is active again.
    pub fn note_drain(&self, host: usize, drains: bool) {
        let mut record = self.0.lock().unwrap();
        if drains {
            let drain = Drain {
                announced: Instant::now(),
                revoked: None,
            };
            record.drains.insert(host, drain);
        } else if let Some(drain) = record.drains.get_mut(&host) {
            drain.revoked = Some(Instant::now());
        }
    }

    /// Returns what each client observed, with the time from its request to its first attempt, or `None` if no
    /// attempt reached a host.
    pub fn first_attempts(&self) -> Vec<(ClientObservation, Option<Duration>)> {
        let record = self.0.lock().unwrap();
        let mut first: HashMap<&str, Instant> = HashMap::new();
        for attempt in &record.attempts {
            first
                .entry(&attempt.name)
                .and_modify(|at| *at = attempt.at.min(*at))
                .or_insert(attempt.at);
        }
        let delay = |client: &ClientObservation| {
            let first_attempt = first.get(client.name.as_str())?;
            Some(first_attempt.saturating_duration_since(client.asked))
        };
        record
            .observations
            .iter()
            .map(|client| (client.clone(), delay(client)))
            .collect()
    }

    /// Returns all violations of the rules, one per entry. Only clients that have ended are checked. `busy` is how
    /// much a busy machine may delay the announcement of a drain and what hosts record.
    pub fn broken(&self, busy: Duration) -> Vec<String> {
        let record = self.0.lock().unwrap();
        let slack = SOCKET_SLACK + busy;
        let mut violations: Vec<String> = record
            .attempts
            .iter()
            .filter_map(|attempt| record.check_drain(attempt, slack))
            .collect();
        let mut by_name: HashMap<&str, Vec<&ObservedAttempt>> = HashMap::new();
        for attempt in &record.attempts {
            by_name.entry(&attempt.name).or_default().push(attempt);
        }
        for client in &record.observations {
            let mut attempts = by_name
                .get(client.name.as_str())
                .cloned()
                .unwrap_or_default();
            attempts.sort_by_key(|attempt| attempt.at);
            violations.extend(check_answers(client, &attempts, slack));
            violations.extend(check_echo(client));
            violations.extend(check_repeats(client, &attempts, slack));
            violations.extend(check_one_at_a_time(client, &attempts, slack));
        }
        violations
    }
}

impl Record {
    /// Rule 3: no attempt reaches a draining host after the grace time.
    fn check_drain(&self, attempt: &ObservedAttempt, slack: Duration) -> Option<String> {
        let drain = self.drains.get(&attempt.host)?;
        let violated =
            attempt.at > drain.announced + DRAIN_GRACE + slack && drain.revoked.is_none();
        violated.then(|| {
            format!(
                "rule 3: {} reached host {} {:?} after its drain was announced",
                attempt.name,
                attempt.host,
                attempt.at - drain.announced
            )
        })
    }
}

/// Rule 1: each request gets exactly one answer, in time, and no attempt begins after it.
fn check_answers(
    client: &ClientObservation,
    attempts: &[&ObservedAttempt],
    slack: Duration,
) -> Option<String> {
    let name = &client.name;
    match &client.answers[..] {
        [] => Some(format!("rule 1: {name} got no answer")),
        [(at, _)] if *at > client.asked + REQUEST_TIMEOUT + SOCKET_SLACK => Some(format!(
            "rule 1: {name} was answered {:?} after the request",
            *at - client.asked
        )),
        [(at, answer)] => {
            let late = attempts.iter().find(|attempt| attempt.at > *at + slack)?;
            Some(format!(
                "rule 1: {name} was attempted {:?} after {answer}",
                late.at - *at
            ))
        }
        several => Some(format!("rule 1: {name} got {} answers", several.len())),
    }
}

/// Checks that the open connection forwarded what was sent on it.
fn check_echo(client: &ClientObservation) -> Option<String> {
    (client.echoed == Some(false))
        .then(|| format!("{}: the open connection did not return a line", client.name))
}

/// Rule 2: a request that may have run is only repeated at hosts and within the time that its class allows.
fn check_repeats(
    client: &ClientObservation,
    attempts: &[&ObservedAttempt],
    slack: Duration,
) -> Option<String> {
    let name = &client.name;
    // Attempts that were accepted, failed, not answered or disconnected may have run. Rejected ones have not.
    let may_have_run: Vec<&ObservedAttempt> = attempts
        .iter()
        .copied()
        .filter(|attempt| attempt.behavior != HostBehavior::Rejects)
        .collect();
    let first = may_have_run.first()?;
    let rejected = client
        .answers
        .iter()
        .any(|(_, answer)| answer.starts_with("BUSY"));
    match client.class {
        CLASS_NON_IDEMPOTENT if may_have_run.len() > 1 => Some(format!(
            "rule 2: {name} may have run {} times",
            may_have_run.len()
        )),
        CLASS_NON_IDEMPOTENT if rejected => Some(format!(
            "rule 2: {name} was rejected although it may have run"
        )),
        CLASS_WITH_KEY
            if may_have_run
                .iter()
                .any(|attempt| attempt.host % 2 != first.host % 2) =>
        {
            Some(format!(
                "rule 2: {name} was repeated outside its idempotency group"
            ))
        }
        CLASS_WITH_KEY
            if may_have_run
                .iter()
                .any(|attempt| attempt.at > first.at + REPEAT_WINDOW + slack) =>
        {
            Some(format!(
                "rule 2: {name} was repeated after its repeat window"
            ))
        }
        _ => None,
    }
}

/// Rule 2: an unanswered attempt is abandoned before the next one is sent.
fn check_one_at_a_time(
    client: &ClientObservation,
    attempts: &[&ObservedAttempt],
    slack: Duration,
) -> Vec<String> {
    attempts
        .windows(2)
        .filter(|pair| {
            let (previous, next) = (pair[0], pair[1]);
            previous.behavior == HostBehavior::Silent
                && previous
                    .abandoned_at
                    .is_none_or(|abandoned_at| abandoned_at > next.at + slack)
        })
        .map(|_| format!("rule 2: {} had two attempts in flight", client.name))
        .collect()
}
