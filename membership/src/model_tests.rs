//! Model checks three members: explores every order in which messages arrive, are lost or are duplicated, with one
//! restart or death.

use crate::member_table::member_id;
use crate::message::{self, MessageWriter};
use crate::simulation::*;
use crate::*;
use reedferry_model_checker::{explore, fingerprint, Bounds, InFlight, Model};
use xxhash_rust::xxh3::Xxh3;

const MEMBERS: usize = 3;
/// How many of the messages in flight may arrive next. There are rarely more.
const MAX_REORDERED: usize = 3;
/// Convergence is checked in one of this many states.
const CONVERGENCE_SAMPLING: u64 = 48;
/// The number of events, and of periods, after which tables must have converged.
const MAX_EVENTS: usize = 4000;
const MAX_PERIODS: Nanos = 40;

/// A bug that a test injects to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedBug {
    NoBug,
    /// A member does not receive claims about itself.
    NeverRefutes,
    /// A suspicion never expires.
    NeverDeclaresDead,
}

/// Three members, the messages in flight between them, and the number of faults that may still happen.
#[derive(Clone)]
struct Fleet {
    now: Nanos,
    bug: InjectedBug,
    nodes: Vec<Option<Membership>>,
    in_flight: Vec<InFlight<Vec<u8>>>,
    losses: u32,
    duplicates: u32,
    restarts: u32,
    /// The latest version of each member (second index) that each other one (first index) has known.
    latest: [[MemberVersion; MEMBERS]; MEMBERS],
    violation: Option<String>,
}

#[derive(Clone, Debug)]
enum Step {
    Wake(usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    Restart(usize),
    Kill(usize),
}

/// Returns the message without the claims about its receiver.
fn without_claims_about(receiver: usize, bytes: &[u8]) -> Vec<u8> {
    let receiver = member_id(&info(receiver).name);
    let (header, claims) = message::read(bytes).unwrap();
    let mut writer = MessageWriter::new(&header);
    for claim in claims {
        if member_id(&claim.info.name) != receiver {
            assert!(writer.push(&claim));
        }
    }
    writer.finish()
}

impl Fleet {
    fn new(bug: InjectedBug) -> Fleet {
        Fleet {
            now: 0,
            bug,
            nodes: Simulation::new(MEMBERS, true, 1).nodes,
            in_flight: Vec::new(),
            losses: 4,
            duplicates: 1,
            restarts: 1,
            latest: [[MemberVersion::default(); MEMBERS]; MEMBERS],
            violation: None,
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        let Some(member) = &mut self.nodes[node] else {
            return;
        };
        if self.bug == InjectedBug::NeverDeclaresDead {
            member.table.suspicions.postpone(Nanos::MAX);
        }
        let mut out = Vec::new();
        member.handle(self.now, event, &mut out);
        for action in out {
            if let Action::Send { to, bytes } = action {
                self.in_flight.push(InFlight {
                    from: node,
                    to: node_at(to),
                    message: bytes,
                });
            }
        }
        for other in member.others() {
            let subject = node_named(&other.info.name);
            let latest = &mut self.latest[node][subject];
            if other.version < *latest {
                self.violation = Some(format!(
                    "n{node} replaced its entry of n{subject} by an older version"
                ));
            }
            *latest = other.version;
        }
    }

    fn wake(&mut self, node: usize) {
        let due = self.nodes[node].as_ref().map(Membership::next_wakeup);
        self.now = self.now.max(due.unwrap_or(self.now));
        self.handle(node, Event::TimerFired);
    }

    fn deliver(&mut self, index: usize) {
        let InFlight { from, to, message } = self.in_flight.remove(index);
        let bytes = match self.bug {
            InjectedBug::NeverRefutes => without_claims_about(to, &message),
            _ => message,
        };
        let event = Event::MessageReceived {
            from: address(from),
            bytes: &bytes,
        };
        self.handle(to, event);
    }

    /// Returns the running member with the earliest wakeup.
    fn next_to_wake(&self) -> Option<usize> {
        (0..MEMBERS)
            .filter(|node| self.nodes[*node].is_some())
            .min_by_key(|node| self.nodes[*node].as_ref().map(Membership::next_wakeup))
    }

    /// Runs the members without any further faults.
    fn run_without_faults(&mut self) {
        let until = self.now + MAX_PERIODS * PERIOD;
        for _ in 0..MAX_EVENTS {
            if !self.in_flight.is_empty() {
                self.deliver(0);
                continue;
            }
            let Some(next) = self.next_to_wake() else {
                return;
            };
            let due = self.nodes[next].as_ref().map(Membership::next_wakeup);
            if due.is_none_or(|due| due > until) {
                return;
            }
            self.wake(next);
        }
    }

    fn divergence(&self) -> Option<String> {
        let running: Vec<&Membership> = self.nodes.iter().flatten().collect();
        let digest = running[0].digest();
        let agrees = |member: &&Membership| {
            member.digest() == digest && member.table.alive_count() == running.len()
        };
        if running.iter().all(agrees) {
            return None;
        }
        let known = |member: &&Membership| {
            let others = member.others();
            others
                .map(|other| (other.info.name.clone(), other.state, other.version))
                .collect::<Vec<_>>()
        };
        let known: Vec<_> = running.iter().map(known).collect();
        Some(format!("tables do not converge: {known:?}"))
    }
}

impl Model for Fleet {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = self.next_to_wake().map(Step::Wake).into_iter().collect();
        for index in 0..self.in_flight.len().min(MAX_REORDERED) {
            steps.push(Step::Deliver(index));
            steps.extend((self.losses > 0).then_some(Step::Lose(index)));
            steps.extend((self.duplicates > 0).then_some(Step::Duplicate(index)));
        }
        if self.restarts > 0 {
            steps.extend([Step::Restart(2), Step::Kill(2)]);
        }
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Wake(node) => self.wake(node),
            Step::Deliver(index) => self.deliver(index),
            Step::Lose(index) => {
                self.in_flight.remove(index);
                self.losses -= 1;
            }
            Step::Duplicate(index) => {
                let copy = self.in_flight[index].clone();
                self.in_flight.push(copy);
                self.duplicates -= 1;
            }
            Step::Restart(node) => {
                let started_at = self.now + SECOND / 100;
                self.nodes[node] = Some(new_member(node, started_at, &[0, 1, 2]));
                self.latest[node] = [MemberVersion::default(); MEMBERS];
                self.restarts = 0;
            }
            Step::Kill(node) => {
                self.nodes[node] = None;
                self.restarts = 0;
            }
        }
    }

    fn fingerprint(&self) -> u64 {
        let faults = (self.losses, self.duplicates, self.restarts);
        fingerprint::<Xxh3>(&(&self.nodes, &self.in_flight, faults))
    }

    /// Requires eventual convergence from every state: if all messages arrive from here on, the running members know
    /// each other as alive and the others as dead, and their tables converge.
    fn violation(&self) -> Option<String> {
        if self.violation.is_some() || !self.fingerprint().is_multiple_of(CONVERGENCE_SAMPLING) {
            return self.violation.clone();
        }
        let mut fleet = self.clone();
        fleet.run_without_faults();
        fleet.divergence()
    }
}

const BOUNDS: Bounds = Bounds {
    max_depth: 14,
    max_states: 30_000,
};

/// Guards against a running member that stays declared dead, against versions that decrease, and against tables that
/// never converge.
#[test]
fn three_members_converge_after_any_losses_duplicates_and_a_restart() {
    match explore(Fleet::new(InjectedBug::NoBug), BOUNDS) {
        Ok(coverage) => assert!(coverage.states >= 20_000, "{coverage:?}"),
        Err(found) => panic!("{}: {:?}", found.violation, found.steps),
    }
}

/// Guards against a search that finds no violation whatever is broken.
#[test]
fn injected_bugs_are_found() {
    for bug in [InjectedBug::NeverRefutes, InjectedBug::NeverDeclaresDead] {
        assert!(explore(Fleet::new(bug), BOUNDS).is_err(), "{bug:?}");
    }
}
