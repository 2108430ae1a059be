//! Walks what can happen to three members: every order of messages that arrive, are lost or arrive twice, and a restart.

use crate::member_table::member_id;
use crate::message::{self, MessageWriter};
use crate::simulation::*;
use crate::*;
use reedferry_model_checker::{fingerprint, walk, Bounds, InFlight, World};
use xxhash_rust::xxh3::Xxh3;

const MEMBERS: usize = 3;
/// Messages in flight of which any may arrive next; there are rarely more.
const MAX_REORDERED: usize = 3;
/// Convergence is checked in one of so many states.
const CONVERGENCE_SAMPLING: u64 = 48;
/// Events and periods after which tables must have converged.
const MAX_EVENTS: usize = 4000;
const MAX_PERIODS: Nanos = 40;

/// What the tests break on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedBreak {
    Nothing,
    /// A member does not hear what others say of it.
    NeverRefutes,
    /// A suspicion never expires.
    NeverDeclaresDead,
}

/// Three members, what is under way between them, and how many faults may still happen.
#[derive(Clone)]
struct Fleet {
    now: Nanos,
    planted: PlantedBreak,
    nodes: Vec<Option<Membership>>,
    in_flight: Vec<InFlight<Vec<u8>>>,
    losses: u32,
    duplicates: u32,
    restarts: u32,
    /// The latest version that each (first index) has known of each.
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

/// The message without the claims on its receiver.
fn without_claims_on(receiver: usize, bytes: &[u8]) -> Vec<u8> {
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
    fn new(planted: PlantedBreak) -> Fleet {
        Fleet {
            now: 0,
            planted,
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
        if self.planted == PlantedBreak::NeverDeclaresDead {
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
                self.violation = Some(format!("n{node} knows n{subject} by an older version"));
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
        let bytes = match self.planted {
            PlantedBreak::NeverRefutes => without_claims_on(to, &message),
            _ => message,
        };
        let event = Event::MessageReceived {
            from: address(from),
            bytes: &bytes,
        };
        self.handle(to, event);
    }

    /// The member that is to be woken first.
    fn next_to_wake(&self) -> Option<usize> {
        (0..MEMBERS)
            .filter(|node| self.nodes[*node].is_some())
            .min_by_key(|node| self.nodes[*node].as_ref().map(Membership::next_wakeup))
    }

    /// Lets time pass without any further faults.
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
        Some(format!("tables differ for ever: {known:?}"))
    }
}

impl World for Fleet {
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

    fn take(&mut self, step: &Step) {
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

    /// Whatever has happened: if all messages arrive from here on, the members that run know each other to be alive and
    /// the others to be dead, and their tables converge.
    fn violation(&self) -> Option<String> {
        if self.violation.is_some() || !self.fingerprint().is_multiple_of(CONVERGENCE_SAMPLING) {
            return self.violation.clone();
        }
        let mut world = self.clone();
        world.run_without_faults();
        world.divergence()
    }
}

const BOUNDS: Bounds = Bounds {
    max_depth: 14,
    max_worlds: 30_000,
};

/// Prevents a running member declared dead for ever, versions that run back, tables that exchange all and differ.
#[test]
fn no_order_of_losses_duplicates_and_a_restart_keeps_three_members_apart() {
    match walk(Fleet::new(PlantedBreak::Nothing), BOUNDS) {
        Ok(coverage) => assert!(coverage.worlds >= 20_000, "{coverage:?}"),
        Err(found) => panic!("{}: {:?}", found.violation, found.steps),
    }
}

/// Prevents a search that finds nothing whatever is broken.
#[test]
fn planted_breaks_are_found() {
    for planted in [PlantedBreak::NeverRefutes, PlantedBreak::NeverDeclaresDead] {
        assert!(walk(Fleet::new(planted), BOUNDS).is_err(), "{planted:?}");
    }
}
