//! Work in hand that survives its node, round the core of `wards/`: what is labelled or irreversible waits here for its
//! ward before the module hears of it, and its hand-offs for their record before a byte of them leaves. It owns what
//! waits, and the form of histories. It must never hold up what is redoable, nor decide what becomes of an attachment
//! whose ward it has.

use crate::context::{mark, Context, WARDS};
use crate::peers::fleet::Fleet;
use reedferry::{
    Action, AttemptOutcome, Event, HostId, Idempotency, IncomingRequest, Nanos, PriorAttempts,
    RequestId, SECOND,
};
use reedferry_replication::{
    guardians, Answer, Guardian, Holder, Keeper, Outcome, Question, Record,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::warn;
use std::collections::{HashMap, HashSet};

/// What the operator's file says of wards.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplicationConfig {
    /// How long a record matters, how long a majority may take, and how many records are kept for others.
    pub life: Nanos,
    pub within: Nanos,
    pub most: usize,
}

/// When a client that can't be served now may come back.
const COME_BACK: Nanos = SECOND;
/// Hosts tried that a record names.
const MOST_TRIED: usize = 16;

#[derive(Serialize, Deserialize)]
enum Word {
    Question(Question),
    Answer(Answer),
}

/// What passed of an attachment, as guardians keep it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct History {
    attempts: u32,
    /// The host of the first hand-off that may have run, and how long ago that was when this was written.
    ran: Option<(u64, Nanos)>,
    tried: Vec<u64>,
}

/// What passed of an attachment, with what this node knows of it.
struct Passed {
    history: History,
    /// When the first hand-off that may have run went, by this node's clock, and which it is; 0 for one of another node.
    ran_at: Nanos,
    ran_by: u32,
}

impl Passed {
    fn handed_off(&mut self, now: Nanos, host: u64) {
        let history = &mut self.history;
        history.attempts += 1;
        if history.ran.is_none() {
            (self.ran_at, self.ran_by) = (now, history.attempts);
        }
        let first = history.ran.map_or(host, |(ran, _)| ran);
        history.ran = Some((first, now.saturating_sub(self.ran_at)));
        if history.tried.len() < MOST_TRIED {
            history.tried.push(host);
        }
    }

    /// Guards: an earlier hand-off to the same host, which may have run, forgotten as a later one did not.
    fn never_ran(&mut self, host: u64) {
        let history = &mut self.history;
        if history.attempts == self.ran_by && history.ran.is_some_and(|(ran, _)| ran == host) {
            history.ran = None;
        }
    }
}

/// An attachment under a ward.
struct Held {
    id: RequestId,
    incoming: IncomingRequest,
    came: Nanos,
    passed: Passed,
    /// The hand-off that waits for its record, and since when.
    waits: Option<(Action, Nanos)>,
}

/// Counts since the start.
#[derive(Default)]
struct Figures {
    written: u64,
    taken_over: u64,
    turned_away: u64,
}

pub struct Wards {
    node_settings: ReplicationConfig,
    keeper: Keeper,
    guardian: Guardian,
    place: u32,
    roster: u32,
    held: HashMap<u64, Held>,
    keys: HashMap<RequestId, u64>,
    /// Answered here, and not to be handed off by what the module orders in the same turn.
    refused: HashSet<RequestId>,
    out: Vec<(u32, Word)>,
    ready: Vec<Action>,
    figures: Figures,
    /// Whether a majority was missing last.
    missing: bool,
}

impl Wards {
    pub fn new(
        context: &Context,
        node_settings: &ReplicationConfig,
        place: u32,
        roster: u32,
        life: u64,
    ) -> Wards {
        Wards {
            node_settings: node_settings.clone(),
            keeper: Keeper::new(Holder { place, life }, roster, node_settings.within),
            guardian: Guardian::new(context.now, node_settings.life, node_settings.most),
            place,
            roster,
            held: HashMap::new(),
            keys: HashMap::new(),
            refused: HashSet::new(),
            out: Vec::new(),
            ready: Vec::new(),
            figures: Figures::default(),
            missing: false,
        }
    }

    /// What operators see.
    pub fn figures(&self) -> serde_json::Value {
        let Figures {
            written,
            taken_over,
            turned_away,
        } = &self.figures;
        let (kept, held) = (self.guardian.count(), self.held.len());
        json!({"kept_for_others": kept, "held": held, "written_ahead": written, "taken_over": taken_over,
            "turned_away": turned_away})
    }

    fn ask(&mut self, context: &mut Context, key: u64, question: &Question) {
        for place in guardians(key, self.roster) {
            self.out.push((place, Word::Question(question.clone())));
        }
        context
            .poller
            .set_timer(context.now + self.node_settings.within, mark(WARDS), 0);
    }

    /// An event on its way to the module: one that waits for a ward does not get there yet.
    pub fn before(
        &mut self,
        context: &mut Context,
        idempotencies: &[Idempotency],
        event: Event,
    ) -> Option<Event> {
        match &event {
            Event::RequestArrived(incoming)
                if idempotencies.get(incoming.class) != Some(&Idempotency::Idempotent) =>
            {
                // Without a key nobody can bring it again; and this is one whose ward has come.
                let Some(client) = incoming
                    .key
                    .filter(|_| !self.keys.contains_key(&incoming.id))
                else {
                    return Some(event);
                };
                let key = client.rotate_left(17)
                    ^ (incoming.class as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
                if self.held.contains_key(&key) {
                    self.turn_away(incoming.id);
                    return None;
                }
                let (id, incoming, came) = (incoming.id, *incoming, context.now);
                self.held.insert(
                    key,
                    Held {
                        id,
                        incoming,
                        came,
                        passed: Passed {
                            history: History::default(),
                            ran_at: context.now,
                            ran_by: 0,
                        },
                        waits: None,
                    },
                );
                self.keys.insert(id, key);
                let question = self.keeper.claim(context.now, key);
                self.ask(context, key, &question);
                return None;
            }
            Event::ConnectionEstablished { id, .. } => self.answered(context, *id),
            Event::ClientLeft { id } => {
                // Its history stays on record: it may come again.
                if let Some(key) = self.keys.remove(id) {
                    self.held.remove(&key);
                    self.keeper.drop(key);
                }
            }
            Event::AttemptEnded {
                id, host, ending, ..
            } if ending.never_ran() => {
                if let Some(held) = self.keys.get(id).and_then(|key| self.held.get_mut(key)) {
                    held.passed.never_ran(host.0);
                }
            }
            _ => {}
        }
        Some(event)
    }

    /// An action on its way out: a hand-off waits until it is on record.
    pub fn ahead(&mut self, context: &mut Context, action: Action) -> Option<Action> {
        match &action {
            Action::StartAttempt { id, .. } if self.refused.contains(id) => return None,
            Action::StartAttempt { id, host, .. } => {
                let Some(&key) = self.keys.get(id) else {
                    return Some(action);
                };
                let host = host.0;
                let held = self.held.get_mut(&key)?;
                held.passed.handed_off(context.now, host);
                let history = &held.passed.history;
                let record = Record {
                    history: postcard::to_allocvec(history).unwrap_or_default(),
                    over: false,
                };
                held.waits = Some((action, context.now));
                match self.keeper.keep(context.now, key, record) {
                    Some(question) => self.ask(context, key, &question),
                    None => self.refuse(context, key),
                }
                return None;
            }
            Action::Reject { id, .. } | Action::Fail { id } => self.answered(context, *id),
            _ => {}
        }
        Some(action)
    }

    /// It has had its final answer: what comes under its key from here on is another one.
    fn answered(&mut self, context: &mut Context, id: RequestId) {
        let Some(key) = self.keys.remove(&id) else {
            return;
        };
        self.held.remove(&key);
        if let Some(question) = self.keeper.keep(
            context.now,
            key,
            Record {
                history: Vec::new(),
                over: true,
            },
        ) {
            self.ask(context, key, &question);
        }
    }

    /// Answers one that the module knows nothing of.
    fn turn_away(&mut self, id: RequestId) {
        self.figures.turned_away += 1;
        self.ready.push(Action::Reject {
            id,
            retry_after: COME_BACK,
        });
    }

    /// The ward is not to be had: what has not run is dismissed, the rest given up; nothing more is handed off.
    fn refuse(&mut self, context: &mut Context, key: u64) {
        let Some(held) = self.held.remove(&key) else {
            return;
        };
        self.keys.remove(&held.id);
        self.keeper.drop(key);
        let waits = held.waits.map(|(action, _)| action);
        if let Some(Action::StartAttempt { id, host, .. }) = waits {
            let (attempt, ending, load_metrics) = (
                held.passed.history.attempts,
                AttemptOutcome::NeverSent,
                Vec::new(),
            );
            context.events.push(Event::AttemptEnded {
                id,
                attempt,
                host,
                request_over: true,
                ending,
                load_metrics,
            });
            context.events.push(Event::ClientLeft { id });
            self.refused.insert(id);
        }
        // What waits has not run; what went before it may have.
        let before = held.passed.history.attempts > 1 && held.passed.history.ran.is_some();
        if before {
            self.ready.push(Action::Fail { id: held.id });
        } else {
            self.turn_away(held.id);
        }
    }

    fn came(&mut self, context: &mut Context, outcome: Outcome) {
        match outcome {
            Outcome::Owned { key, record, age } => {
                let Some(held) = self.held.get_mut(&key) else {
                    return;
                };
                let waited = context.now.saturating_sub(held.came);
                let incoming = IncomingRequest {
                    time_left: held.incoming.time_left.saturating_sub(waited),
                    ..held.incoming
                };
                let known = if record.over {
                    None
                } else {
                    postcard::from_bytes::<History>(&record.history).ok()
                };
                held.passed.history = known.unwrap_or_default();
                if held.passed.history.attempts == 0 {
                    return context.events.push(Event::RequestArrived(incoming));
                }
                self.figures.taken_over += 1;
                let History {
                    attempts,
                    ran,
                    tried,
                } = &held.passed.history;
                // No two clocks are compared: so long before it was written, since then there, and on the way here.
                let ago = ran.map_or(0, |(_, before)| before) + age + self.node_settings.within;
                held.passed.ran_at = context.now.saturating_sub(ago);
                let ran = ran.map(|(host, _)| (HostId(host), held.passed.ran_at));
                let tried = tried.iter().map(|host| HostId(*host)).collect();
                context.events.push(Event::RequestTakenOver(
                    incoming,
                    PriorAttempts {
                        attempts: *attempts,
                        may_have_run: ran,
                        tried_hosts: tried,
                    },
                ));
            }
            Outcome::Written { key } => {
                let Some(held) = self.held.get_mut(&key) else {
                    return self.keeper.drop(key);
                };
                let Some((action, since)) = held.waits.take() else {
                    return;
                };
                // Guards: a hand-off by a record that another has taken up, after a stand-still.
                if context.now >= since + self.node_settings.within {
                    held.waits = Some((action, since));
                    return self.refuse(context, key);
                }
                self.figures.written += 1;
                self.missing = false;
                self.ready.push(action);
            }
            Outcome::Again { key, question } => self.ask(context, key, &question),
            Outcome::Lost { key } => self.refuse(context, key),
            Outcome::NoMajority { key } => {
                if !std::mem::replace(&mut self.missing, true) && self.held.contains_key(&key) {
                    warn!(
                        context.log,
                        "no majority of guardians; labelled and irreversible work is sent away"
                    );
                }
                self.refuse(context, key);
            }
        }
    }

    /// Takes in what others say, and what this node says to itself; sends what is to go.
    pub fn turn(&mut self, context: &mut Context, fleet: &mut Fleet) {
        for (place, bytes) in fleet.letters() {
            match postcard::from_bytes(&bytes) {
                Ok(Word::Question(question)) => {
                    let answer = self.guardian.answer(context.now, &question);
                    self.out.push((place, Word::Answer(answer)));
                }
                Ok(Word::Answer(answer)) => self.hear(context, place, answer),
                // The sum over it was right: another version.
                Err(_) => {}
            }
        }
        // Guards: guardians of two rosters that each make a majority.
        if !fleet.goes_by(self.roster) {
            return self.out.clear();
        }
        while !self.out.is_empty() {
            for (place, word) in std::mem::take(&mut self.out) {
                match word {
                    Word::Question(question) if place == self.place => {
                        let answer = self.guardian.answer(context.now, &question);
                        self.hear(context, place, answer);
                    }
                    word => {
                        fleet.send_letter(place, &postcard::to_allocvec(&word).unwrap_or_default());
                    }
                }
            }
        }
    }

    fn hear(&mut self, context: &mut Context, place: u32, answer: Answer) {
        if let Some(outcome) = self.keeper.heard(context.now, place, answer) {
            self.came(context, outcome);
        }
    }

    /// A time has come.
    pub fn due(&mut self, context: &mut Context) {
        for outcome in self.keeper.due(context.now) {
            self.came(context, outcome);
        }
        self.guardian.sweep(context.now);
    }

    /// What is to be carried out now, past the module.
    pub fn ready(&mut self) -> Vec<Action> {
        self.refused.clear();
        std::mem::take(&mut self.ready)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards: a labelled line that may have run at a host, sent outside its circle as a second try there was refused.
    #[test]
    fn what_may_have_run_is_not_forgotten_by_a_later_hand_off_that_did_not() {
        let mut passed = Passed {
            history: History::default(),
            ran_at: 0,
            ran_by: 0,
        };
        passed.handed_off(SECOND, 5);
        passed.never_ran(5);
        assert_eq!(passed.history.ran, None);
        passed.handed_off(2 * SECOND, 6);
        passed.handed_off(5 * SECOND, 6);
        passed.never_ran(6);
        assert_eq!(
            (passed.history.ran, passed.history.attempts),
            (Some((6, 3 * SECOND)), 3)
        );
    }
}

#[cfg(test)]
#[path = "ward_bytes_tests.rs"]
mod bytes_tests;
