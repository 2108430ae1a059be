//! Walks what can happen to one non-idempotent request that its client brings to two members, with three replicas that
//! are members too: every order of messages that arrive, are lost or arrive twice, one restart from nothing, one pause.

use super::*;
use reedferry_membership::Nanos;
use reedferry_model_checker::{fingerprint, walk, Bounds, InFlight, World};
use xxhash_rust::xxh3::Xxh3;

const KEY: u64 = 5;
const CLUSTER_SIZE: u32 = 3;
const RETENTION: Nanos = 1000;
const MAJORITY_TIMEOUT: Nanos = 100;
/// Requests in flight of which any may arrive next.
const MAX_REORDERED: usize = 6;

/// What the tests break on purpose.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedBreak {
    Nothing,
    /// A replica that restarts votes at once.
    VotesAfterRestart,
    /// A replica accepts any ballot.
    ForgetsPromises,
    /// A coordinator takes one response for those of all replicas.
    NeedsNoMajority,
}

#[derive(Clone, Hash)]
struct Member {
    coordinator: Coordinator,
    replica: Replica,
    /// Its record is committed and it has not sent the request yet: it may pause there.
    may_send: bool,
}

fn coordinator(member_index: u32, incarnation: u64) -> Coordinator {
    let me = LeaseHolder {
        member_index,
        incarnation,
    };
    Coordinator::new(me, CLUSTER_SIZE, MAJORITY_TIMEOUT)
}

/// How many faults may still happen.
#[derive(Clone, Copy, Debug, Hash)]
struct Faults {
    losses: u32,
    duplicates: u32,
    restarts: u32,
}

const NO_FAULTS: Faults = Faults {
    losses: 0,
    duplicates: 0,
    restarts: 0,
};

#[derive(Clone)]
struct Cluster {
    now: Nanos,
    planted: PlantedBreak,
    members: Vec<Member>,
    in_flight: Vec<InFlight<ReplicaRequest>>,
    /// How often the client may still bring the request, by member.
    arrivals: [u32; 2],
    faults: Faults,
    sent: u32,
}

#[derive(Clone, Debug)]
enum Step {
    /// The client brings the request to a member.
    Arrive(usize),
    /// A replica handles a request, and its response arrives.
    Deliver(usize),
    /// The same, but the response is lost.
    LoseResponse(usize),
    /// The same, but the request arrives once more later.
    Duplicate(usize),
    /// A member that may, sends the request to a host.
    Send(usize),
    Restart(usize),
}

impl Cluster {
    fn new(faults: Faults, planted: PlantedBreak) -> Cluster {
        let member = |member_index: u32| Member {
            coordinator: coordinator(member_index, 1),
            replica: Replica::new(0, RETENTION, 100),
            may_send: false,
        };
        Cluster {
            now: 10 * RETENTION,
            planted,
            members: (0..CLUSTER_SIZE).map(member).collect(),
            in_flight: Vec::new(),
            arrivals: [1, 1],
            faults,
            sent: 0,
        }
    }

    fn broadcast(&mut self, from: usize, request: &ReplicaRequest) {
        for to in replicas_of(KEY, CLUSTER_SIZE) {
            self.in_flight.push(InFlight {
                from,
                to: to as usize,
                message: request.clone(),
            });
        }
    }

    fn on_outcome(&mut self, at: usize, outcome: Option<Outcome>) {
        match outcome {
            Some(Outcome::Acquired { record, .. })
                if record.history.is_empty() && !record.finished =>
            {
                let record = RequestRecord {
                    history: vec![1],
                    finished: false,
                };
                let coordinator = &mut self.members[at].coordinator;
                if let Some(request) = coordinator.commit(self.now, KEY, record) {
                    self.broadcast(at, &request);
                }
            }
            // It may have run: it is given up.
            Some(Outcome::Acquired { .. }) => self.members[at].coordinator.release(KEY),
            Some(Outcome::Committed { .. }) => self.members[at].may_send = true,
            Some(Outcome::Retry { request, .. }) => self.broadcast(at, &request),
            _ => {}
        }
    }

    fn handle_at_replica(&mut self, message: &InFlight<ReplicaRequest>) -> ReplicaResponse {
        let replica = &mut self.members[message.to].replica;
        if self.planted == PlantedBreak::ForgetsPromises {
            replica.forget_promises();
        }
        replica.handle(self.now, &message.message)
    }

    fn deliver_response(&mut self, message: &InFlight<ReplicaRequest>, response: &ReplicaResponse) {
        let responders = match self.planted {
            PlantedBreak::NeedsNoMajority => 0..CLUSTER_SIZE,
            _ => message.to as u32..message.to as u32 + 1,
        };
        for responder in responders {
            let coordinator = &mut self.members[message.from].coordinator;
            let outcome = coordinator.handle(self.now, responder, response.clone());
            self.on_outcome(message.from, outcome);
        }
    }

    fn restart(&mut self, at: usize) {
        let started_at = match self.planted {
            PlantedBreak::VotesAfterRestart => 0,
            _ => self.now,
        };
        self.members[at] = Member {
            coordinator: coordinator(at as u32, 2),
            replica: Replica::new(started_at, RETENTION, 100),
            may_send: false,
        };
        self.faults.restarts = 0;
        // Its client comes again, there or elsewhere.
        self.arrivals[at.min(1)] += 1;
    }
}

impl World for Cluster {
    type Step = Step;

    fn steps(&self) -> Vec<Step> {
        let mut steps: Vec<Step> = (0..2)
            .filter(|member| self.arrivals[*member] > 0)
            .map(Step::Arrive)
            .collect();
        for index in 0..self.in_flight.len().min(MAX_REORDERED) {
            steps.push(Step::Deliver(index));
            steps.extend((self.faults.losses > 0).then_some(Step::LoseResponse(index)));
            steps.extend((self.faults.duplicates > 0).then_some(Step::Duplicate(index)));
        }
        let may_send = |member: &usize| self.members[*member].may_send;
        steps.extend((0..2).filter(may_send).map(Step::Send));
        let may_restart = |_: &usize| self.faults.restarts > 0;
        steps.extend((0..3).filter(may_restart).map(Step::Restart));
        steps
    }

    fn take(&mut self, step: &Step) {
        match *step {
            Step::Arrive(at) => {
                self.arrivals[at] -= 1;
                let request = self.members[at].coordinator.prepare(self.now, KEY);
                self.broadcast(at, &request);
            }
            Step::Deliver(index) => {
                let message = self.in_flight.remove(index);
                let response = self.handle_at_replica(&message);
                self.deliver_response(&message, &response);
            }
            Step::LoseResponse(index) => {
                let message = self.in_flight.remove(index);
                self.handle_at_replica(&message);
                self.faults.losses -= 1;
            }
            Step::Duplicate(index) => {
                self.faults.duplicates -= 1;
                let message = self.in_flight[index].clone();
                let response = self.handle_at_replica(&message);
                self.deliver_response(&message, &response);
            }
            Step::Send(at) => {
                self.members[at].may_send = false;
                self.sent += 1;
            }
            Step::Restart(at) => self.restart(at),
        }
    }

    fn fingerprint(&self) -> u64 {
        // In whichever order they went: any may arrive first.
        let mut in_flight: Vec<u64> = self.in_flight.iter().map(fingerprint::<Xxh3>).collect();
        in_flight.sort_unstable();
        let left = (self.arrivals, self.faults, self.sent);
        fingerprint::<Xxh3>(&(self.now, &self.members, in_flight, left))
    }

    fn violation(&self) -> Option<String> {
        (self.sent > 1).then(|| format!("handed off {} times", self.sent))
    }
}

const BOUNDS: Bounds = Bounds {
    max_depth: 40,
    max_worlds: 60_000,
};

/// Prevents an effect that is had twice, by any order of two prepares, requests and responses lost, a request that
/// arrives twice, a restart from nothing and a pause between the commit and the attempt.
#[test]
fn what_is_not_idempotent_is_sent_once_whatever_happens() {
    for (losses, duplicates, restarts) in [(0, 0, 0), (1, 0, 0), (0, 1, 0), (0, 0, 1)] {
        let faults = Faults {
            losses,
            duplicates,
            restarts,
        };
        match walk(Cluster::new(faults, PlantedBreak::Nothing), BOUNDS) {
            // Two attempts take twelve steps where nothing is lost; one more with a restart, which is tried apart.
            Ok(coverage) => assert!(
                coverage.complete || coverage.depth >= 10,
                "{faults:?}: {coverage:?}"
            ),
            Err(found) => panic!("{faults:?}: {}: {:?}", found.violation, found.steps),
        }
    }
}

/// One member sends by the votes of some replicas; then, after a restart of a replica, the other tries with some.
fn one_after_the_other(
    planted: PlantedBreak,
    first: &[usize],
    restart: Option<usize>,
    second: &[usize],
) -> u32 {
    let faults = Faults {
        restarts: 1,
        ..NO_FAULTS
    };
    let mut cluster = Cluster::new(faults, planted);
    let replicas = replicas_of(KEY, CLUSTER_SIZE);
    let run = |cluster: &mut Cluster, member: usize, reachable: &[usize]| {
        cluster.arrivals = [1, 1];
        cluster.take(&Step::Arrive(member));
        let arrives = |message: &InFlight<ReplicaRequest>| {
            reachable
                .iter()
                .any(|n| replicas[*n] as usize == message.to)
        };
        while let Some(index) = cluster.in_flight.iter().position(arrives) {
            cluster.take(&Step::Deliver(index));
        }
        if cluster.members[member].may_send {
            cluster.take(&Step::Send(member));
        }
        cluster.in_flight.clear();
    };
    run(&mut cluster, 0, first);
    if let Some(replica) = restart {
        cluster.take(&Step::Restart(replicas[replica] as usize));
    }
    run(&mut cluster, 1, second);
    cluster.sent
}

/// Prevents a proof that holds whatever is broken.
#[test]
fn planted_breaks_are_found() {
    let sent = |planted, restart| one_after_the_other(planted, &[0, 1], restart, &[1, 2]);
    assert_eq!(sent(PlantedBreak::Nothing, None), 1);
    assert_eq!(sent(PlantedBreak::Nothing, Some(1)), 1);
    assert_eq!(sent(PlantedBreak::VotesAfterRestart, Some(1)), 2);
    for planted in [PlantedBreak::NeedsNoMajority, PlantedBreak::ForgetsPromises] {
        let found = walk(Cluster::new(NO_FAULTS, planted), BOUNDS);
        assert!(found.is_err(), "{planted:?}: {found:?}");
    }
}
