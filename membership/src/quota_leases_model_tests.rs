//! Walks what can happen to leases on one share that two members want and a third decides: every order of messages
//! that arrive late, are lost or arrive twice, and a restart.

use super::*;
use reedferry_model_checker::{fingerprint, walk, Bounds, InFlight, World};
use xxhash_rust::xxh3::Xxh3;

const CLUSTER_SIZE: u32 = 3;
const LENGTH: Nanos = 48;
/// The share that is wanted, the first members that want it, and the one that decides.
const SHARE: u32 = 0;
const CONTENDERS: u32 = 2;
const DECIDER: usize = 2;
/// Messages in flight of which any may arrive next.
const MAX_REORDERED: usize = 5;

/// What the tests break on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedBreak {
    Nothing,
    /// A member that restarts grants at once.
    GrantsAfterRestart,
    /// A grant is counted from the answer.
    CountsFromAnswer,
}

#[derive(Clone, Debug, Hash)]
enum Message {
    Request { sequence: u32, shares: Vec<u32> },
    Grant { sequence: u32, shares: Vec<u32> },
}

/// Three members, with what is under way between them and a clock that steps.
#[derive(Clone)]
struct Cluster {
    now: Nanos,
    planted: PlantedBreak,
    members: Vec<QuotaLeases>,
    in_flight: Vec<InFlight<Message>>,
    restarts: u32,
    duplicates: u32,
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes; members send the requests that are due.
    Pass,
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
    /// Long after the members started.
    fn new(planted: PlantedBreak) -> Cluster {
        let mut members: Vec<QuotaLeases> =
            (0..CLUSTER_SIZE).map(|n| new_leases(n, 1, 0)).collect();
        for member in &mut members[..CONTENDERS as usize] {
            member.set_wanted(&BTreeSet::from([SHARE]));
        }
        Cluster {
            now: 10 * LENGTH,
            planted,
            members,
            in_flight: Vec::new(),
            restarts: 1,
            duplicates: 1,
        }
    }

    fn pass(&mut self) {
        self.now += LENGTH / 2;
        for from in 0..self.members.len() {
            if let Some(request) = self.members[from].take_due_request(self.now) {
                // Each has its own vote; the third member decides.
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
                if self.planted == PlantedBreak::CountsFromAnswer {
                    requested_at.into_iter().for_each(|at| *at = self.now);
                }
                member.on_grant(from as u32, sequence, &shares);
            }
        }
    }

    fn restart(&mut self, member: usize) {
        let started_at = match self.planted {
            PlantedBreak::GrantsAfterRestart => 0,
            _ => self.now,
        };
        self.members[member] = new_leases(member as u32, 2, started_at);
        self.restarts = 0;
    }
}

impl World for Cluster {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Pass];
        for index in 0..self.in_flight.len().min(MAX_REORDERED) {
            steps.push(Step::Deliver(index));
            steps.extend((self.duplicates > 0).then_some(Step::Duplicate(index)));
        }
        steps.extend((self.restarts > 0).then_some(Step::Restart(DECIDER)));
        steps
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Pass => self.pass(),
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
        (holders > 1).then(|| format!("{holders} hold one share"))
    }
}

const BOUNDS: Bounds = Bounds {
    max_depth: 13,
    max_worlds: 40_000,
};

/// Prevents a share of the slow-start quota used by two, by any order of losses, duplicates, delays and a restart.
#[test]
fn no_share_is_ever_leased_to_two() {
    match walk(Cluster::new(PlantedBreak::Nothing), BOUNDS) {
        Ok(coverage) => assert!(coverage.worlds >= 30_000, "{coverage:?}"),
        Err(found) => panic!("{}: {:?}", found.violation, found.steps),
    }
}

/// Prevents a search that does not find a member that forgets its grants, or one that counts them from the answer.
#[test]
fn planted_breaks_are_found() {
    for planted in [
        PlantedBreak::GrantsAfterRestart,
        PlantedBreak::CountsFromAnswer,
    ] {
        assert!(walk(Cluster::new(planted), BOUNDS).is_err(), "{planted:?}");
    }
}
