//! The invariant checker of a soak: the four rules, by what clients and hosts saw. Answers owed by a process that was
//! killed are excused, and so is lateness while a process was suspended; nothing else is.

use super::clients::{ClientBehavior, ClientObservation, Received};
use super::process_group::{FaultHistory, ProcessSlots};
use crate::simulated::{
    HostBehavior, ObservedAttempt, DRAIN_GRACE, REQUEST_TIMEOUT, SOCKET_SLACK, WINDOW,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How late what is seen here may be noted on a busy machine, and a process with calls that are held up may act.
const BUSY: Duration = Duration::from_millis(350);
/// When a change counts as told whatever the list service did, once it could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// Within what time a node that was started without a call has to ask.
const ASK_WITHIN: Duration = Duration::from_secs(1);
/// Within what time bad clients are to have their error or their end.
const BAD_CLIENTS: Duration = Duration::from_secs(3);
/// How long after a client has gone an attempt may still begin.
const GONE: Duration = Duration::from_millis(100);

pub struct SoakChecker<'a> {
    pub observations: Vec<ClientObservation>,
    pub reached: Vec<ObservedAttempt>,
    pub slots: ProcessSlots,
    pub fault_history: &'a FaultHistory,
}

impl SoakChecker<'_> {
    pub fn served(&self) -> usize {
        let up = |one: &&ClientObservation| matches!(&one.received, Received::Line(said) if said.starts_with("UP"));
        self.observations.iter().filter(up).count()
    }

    /// What broke a rule, each in a line.
    pub fn broken(&self) -> Vec<String> {
        let mut by_name: HashMap<&str, Vec<&ObservedAttempt>> = HashMap::new();
        for one in &self.reached {
            by_name.entry(&one.name).or_default().push(one);
        }
        let mut broken = Vec::new();
        for client in &self.observations {
            let mut attempts = by_name
                .get(client.name.as_str())
                .cloned()
                .unwrap_or_default();
            attempts.sort_by_key(|one| one.at);
            let (answer, repeats) = (self.answer(client), self.repeats(client, &attempts));
            let wrong = [
                answer,
                repeats,
                self.late(client, &attempts),
                self.drained(client, &attempts),
            ];
            let of = |why| {
                format!(
                    "{} at seat {}, {:?}, offering {}: {why}",
                    client.name, client.slot, client.behavior, client.class
                )
            };
            broken.extend(wrong.into_iter().flatten().map(of));
        }
        broken
    }

    /// Whether a process of its slot was ended outright while it lived there.
    fn excused(&self, client: &ClientObservation) -> bool {
        let slot = self.slots[client.slot].lock().unwrap();
        let until = client.ended_at.unwrap_or(client.received_at);
        slot.killed
            .iter()
            .any(|t| *t + BUSY > client.asked - Duration::from_secs(3) && *t < until + BUSY)
    }

    /// Until when the process of its slot stood still, after this.
    fn stood_still(&self, client: &ClientObservation, from: Instant, to: Instant) -> bool {
        let slot = self.slots[client.slot].lock().unwrap();
        slot.pauses
            .iter()
            .any(|(began, ended)| *began < to && *ended + BUSY > from)
    }

    /// Rule 1: one final answer, in time.
    fn answer(&self, client: &ClientObservation) -> Option<String> {
        if client.behavior == ClientBehavior::Leaves || self.excused(client) {
            return None;
        }
        if let Some(second) = &client.second {
            return Some(format!("rule 1: {second} behind {:?}", client.received));
        }
        let took = client.received_at - client.asked;
        let pauses = self.stood_still(
            client,
            client.asked - Duration::from_secs(3),
            client.received_at,
        );
        let bad = matches!(
            client.behavior,
            ClientBehavior::Half | ClientBehavior::Pipelines
        );
        match &client.received {
            Received::End if bad => {}
            Received::Line(_) => {}
            // It gave up waiting while the process stood still, or right after.
            Received::Nothing
                if self.stood_still(
                    client,
                    client.received_at - BAD_CLIENTS,
                    client.received_at,
                ) => {}
            other => return Some(format!("rule 1: no answer but {other:?} after {took:?}")),
        }
        let within = if bad {
            BAD_CLIENTS
        } else {
            REQUEST_TIMEOUT + SOCKET_SLACK
        } + BUSY;
        if took > within && !pauses {
            return Some(format!("rule 1: {:?} after {took:?}", client.received));
        }
        match &client.ended {
            None => None,
            Some(Received::Line(said)) if said == "MOVE" => None,
            Some(Received::Nothing) if pauses => None,
            Some(other) => Some(format!("an open connection ended with {other:?}")),
        }
    }

    /// Rule 2: no effect twice.
    fn repeats(&self, client: &ClientObservation, attempts: &[&ObservedAttempt]) -> Option<String> {
        let ran: Vec<&&ObservedAttempt> = attempts
            .iter()
            .filter(|one| one.behavior != HostBehavior::Rejects)
            .collect();
        let dismissed =
            matches!(&client.received, Received::Line(said) if said.starts_with("BUSY"));
        let first = ran.first()?;
        match client.class {
            2 if ran.len() > 1 => Some(format!("rule 2: may have run {} times", ran.len())),
            2 if dismissed => Some("rule 2: dismissed though it may have run".into()),
            1 if ran.iter().any(|one| one.host % 2 != first.host % 2) => {
                Some("rule 2: left its group".into())
            }
            1 if ran
                .iter()
                .any(|one| one.at > first.at + WINDOW + SOCKET_SLACK + BUSY) =>
            {
                Some("rule 2: repeated past its window".into())
            }
            _ => None,
        }
    }

    /// Rule 1: nothing is sent after the answer or the deadline, nor for a client that has gone.
    fn late(&self, client: &ClientObservation, attempts: &[&ObservedAttempt]) -> Option<String> {
        let last = attempts.last()?;
        if let Some(left) = client.left.filter(|left| last.at > *left + GONE + BUSY) {
            return Some(format!(
                "attempted {:?} after its client had gone",
                last.at - left
            ));
        }
        let answered = matches!(client.received, Received::Line(_))
            && last.at > client.received_at + SOCKET_SLACK + BUSY;
        if answered {
            return Some(format!(
                "rule 1: attempted {:?} after its answer",
                last.at - client.received_at
            ));
        }
        // Its time counts from when it was read: a process that stood still had not read it.
        let from = client.asked - Duration::from_secs(1);
        if last.at > client.asked + REQUEST_TIMEOUT + SOCKET_SLACK + BUSY
            && !self.stood_still(client, from, last.at)
        {
            return Some(format!(
                "rule 1: attempted {:?} after it asked",
                last.at - client.asked
            ));
        }
        None
    }

    /// Rule 3: nothing new to hosts that drain, beyond the grace.
    fn drained(&self, client: &ClientObservation, attempts: &[&ObservedAttempt]) -> Option<String> {
        attempts.iter().find_map(|one| {
            let drains = self.fault_history.drains.get(&one.host)?;
            let (since, _) = drains
                .iter()
                .find(|(since, back)| one.at > *since && back.is_none_or(|back| one.at < back))?;
            let late = one.at - *since;
            let told = self.told(client.slot, *since, one.at);
            let allowed =
                told.saturating_duration_since(*since) + DRAIN_GRACE + SOCKET_SLACK + BUSY;
            (late > allowed)
                .then(|| format!("rule 3: sent to host {} {late:?} after its drain", one.host))
        })
    }

    /// When a process of this slot counts as told of what the list service had at `since`.
    fn told(&self, slot: usize, since: Instant, at: Instant) -> Instant {
        let slot = self.slots[slot].lock().unwrap();
        let started = slot.started.iter().copied().filter(|t| *t < at).max();
        let mut told = since.max(started.map_or(since, |t| t + ASK_WITHIN));
        // A call that failed, for whatever reason, or a change of the service that is followed.
        let failed = self.fault_history.service.iter().chain(&slot.spoilt);
        for (_, ended) in failed.filter(|(began, ended)| *began < at && *ended + TOLD > since) {
            told = told.max((*ended).max(since) + TOLD);
        }
        for reloaded in slot.reloaded.iter().filter(|t| **t < at) {
            told = told.max(*reloaded + Duration::from_secs(4));
        }
        told
    }
}
