//! Model checks the leases on one share that two members want and a third one votes on: explores every order in which
//! messages are delayed, lost or duplicated, with one restart.

use super::*;
use reedferry_model_checker::{explore, fingerprint, Bounds, InFlight, Model};
use xxhash_rust::xxh3::Xxh3;

const CLUSTER_SIZE: u32 = 3;
const LENGTH: Nanos = 48;
/// The contested share, the number of members that want it (the first ones), and the index of the member that votes.
const SHARE: u32 = 0;
const CONTENDERS: u32 = 2;
const DECIDER: usize = 2;
/// How many of the messages in flight may arrive next.
const MAX_REORDERED: usize = 5;

/// A bug that a test injects to show that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedBug {
    NoBug,
    /// A restarted member grants leases at once.
    GrantsAfterRestart,
    /// A lease is counted from the answer instead of the request.
    CountsFromAnswer,
}

#[derive(Clone, Debug, Hash)]
enum Message {
    Request { sequence: u32, shares: Vec<u32> },
    Grant { sequence: u32, shares: Vec<u32> },
}

/// Three members, the messages in flight between them, and a clock that advances in steps.
#[derive(Clone)]
struct Cluster {
    now: Nanos,
    bug: InjectedBug,
    members: Vec<QuotaLeases>,
    in_flight: Vec<InFlight<Message>>,
    restarts: u32,
    duplicates: u32,
}

#[derive(Clone, Debug)]
enum Step {
    /// Advances the clock; members send the requests that are due.
    AdvanceTime,
    Deliver(usize),
    Duplicate(usize),
    Restart(usize),
}

fn new_leases(member_index: u32, incarnation: u64, started_at: Nanos) -> QuotaLeases {
    let me = LeaseHolder {
        member_index,
        incarnation,
    };
    QuotaLeases::new(me, CLUSTER_SIZE, LENGTH, started_at)
}

impl Cluster {
    /// Creates a cluster whose members started long ago, so that they grant leases.
    fn new(bug: InjectedBug) -> Cluster {
        let mut members: Vec<QuotaLeases> =
            (0..CLUSTER_SIZE).map(|n| new_leases(n, 1, 0)).collect();
        for member in &mut members[..CONTENDERS as usize] {
            member.set_wanted(&BTreeSet::from([SHARE]));
        }
        Cluster {
            now: 10 * LENGTH,
            bug,
            members,
            in_flight: Vec::new(),
            restarts: 1,
            duplicates: 1,
        }
    }

    fn advance_time(&mut self) {
        self.now += LENGTH / 2;
        for from in 0..self.members.len() {
            if let Some(request) = self.members[from].take_due_request(self.now) {
                // Each contender has its own vote, so the third member's decides.
                self.in_flight.push(InFlight {
                    from,
                    to: DECIDER,
                    message: Message::Request {
                        sequence: request.sequence,
                        shares: request.shares,
                    },
                });
            }
        }
    }

    fn deliver(&mut self, message: InFlight<Message>) {
        let InFlight { from, to, message } = message;
        let member = &mut self.members[to];
        match message {
            Message::Request { sequence, shares } => {
                let holder = LeaseHolder {
                    member_index: from as u32,
                    incarnation: 1,
                };
                let shares = member.on_request(self.now, holder, &shares);
                self.in_flight.push(InFlight {
                    from: to,
                    to: from,
                    message: Message::Grant { sequence, shares },
                });
            }
            Message::Grant { sequence, shares } => {
                let requested_at = member.requested_at.get_mut(&sequence);
                if self.bug == InjectedBug::CountsFromAnswer {
                    requested_at.into_iter().for_each(|at| *at = self.now);
                }
                member.on_grant(from as u32, sequence, &shares);
            }
        }
    }

    fn restart(&mut self, member: usize) {
        let started_at = match self.bug {
            InjectedBug::GrantsAfterRestart => 0,
            _ => self.now,
        };
        self.members[member] = new_leases(member as u32, 2, started_at);
        self.restarts = 0;
    }
}

impl Model for Cluster {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::AdvanceTime];
        for index in 0..self.in_flight.len().min(MAX_REORDERED) {
            steps.push(Step::Deliver(index));
            steps.extend((self.duplicates > 0).then_some(Step::Duplicate(index)));
        }
        steps.extend((self.restarts > 0).then_some(Step::Restart(DECIDER)));
        steps
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::AdvanceTime => self.advance_time(),
            Step::Deliver(index) => {
                let message = self.in_flight.remove(index);
                self.deliver(message);
            }
            Step::Duplicate(index) => {
                self.duplicates -= 1;
                let message = self.in_flight[index].clone();
                self.deliver(message);
            }
            Step::Restart(member) => self.restart(member),
        }
    }

    fn fingerprint(&self) -> u64 {
        let faults = (self.restarts, self.duplicates);
        fingerprint::<Xxh3>(&(self.now, &self.members, &self.in_flight, faults))
    }

    fn violation(&self) -> Option<String> {
        let holds = |member: &&QuotaLeases| member.held(self.now).any(|share| share == SHARE);
        let holders = self.members.iter().filter(holds).count();
        (holders > 1).then(|| format!("{holders} members hold one share"))
    }
}

const BOUNDS: Bounds = Bounds {
    max_depth: 13,
    max_states: 40_000,
};

/// Guards against a share of the slow-start quota that two members use at once, in any order of losses, duplicates,
/// delays and a restart.
#[test]
fn no_share_is_ever_leased_to_two_members() {
    match explore(Cluster::new(InjectedBug::NoBug), BOUNDS) {
        Ok(coverage) => assert!(coverage.states >= 30_000, "{coverage:?}"),
        Err(found) => panic!("{}: {:?}", found.violation, found.steps),
    }
}

/// Guards against a search that misses a member that forgets its grants, or one that counts a lease from the answer.
#[test]
fn injected_bugs_are_found() {
    for bug in [
        InjectedBug::GrantsAfterRestart,
        InjectedBug::CountsFromAnswer,
    ] {
        assert!(explore(Cluster::new(bug), BOUNDS).is_err(), "{bug:?}");
    }
}
