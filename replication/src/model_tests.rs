//! Model checks a non-idempotent request that its client sends to two of three members, all of which are replicas:
//! explores every order in which messages arrive, are lost or are duplicated, with one restart without state and one
//! pause.

use super::*;
use reedferry_membership::Nanos;
use reedferry_model_checker::{explore, fingerprint, Bounds, InFlight, Model};
use xxhash_rust::xxh3::Xxh3;

const KEY: u64 = 5;
const CLUSTER_SIZE: u32 = 3;
const RETENTION: Nanos = 1000;
const MAJORITY_TIMEOUT: Nanos = 100;
/// How long the client waits for its answer.
const TIME_LEFT: Nanos = 500;
/// How many of the requests in flight may arrive next.
const MAX_REORDERED: usize = 6;

/// A bug that a test injects to show that it is found.
#[derive(Clone, Copy, Debug, PartialEq)]
enum InjectedBug {
    NoBug,
    /// A restarted replica votes at once.
    VotesAfterRestart,
    /// A replica accepts any ballot.
    ForgetsPromises,
    /// A coordinator counts one response as those of all replicas.
    NeedsNoMajority,
    /// Of two records of one ballot, a coordinator believes the older one.
    BelievesOlderRecord,
    /// A replica accepts an earlier record of a ballot after a later one.
    AcceptsEarlierRecord,
}

#[derive(Clone, Hash)]
struct Member {
    coordinator: Coordinator,
    replica: Replica,
    /// Whether its record is committed and the request is not sent yet. The member may pause in this state.
    may_send: bool,
}

fn coordinator(member_index: u32, incarnation: u64) -> Coordinator {
    let me = LeaseHolder {
        member_index,
        incarnation,
    };
    Coordinator::new(me, CLUSTER_SIZE, MAJORITY_TIMEOUT)
}

/// Makes the older of two records look like the later one.
fn reverse_sequence(response: &mut ReplicaResponse) {
    if let ReplicaResponse::Promised {
        accepted: Some(accepted),
        ..
    } = response
    {
        accepted.sequence = u64::MAX - accepted.sequence;
    }
}

/// The number of faults that may still happen.
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
    bug: InjectedBug,
    members: Vec<Member>,
    in_flight: Vec<InFlight<ReplicaRequest>>,
    /// How many more times the client may send the request to each member.
    arrivals: [u32; 2],
    faults: Faults,
    sent: u32,
}

#[derive(Clone, Debug)]
enum Step {
    /// The client sends the request to a member.
    Arrive(usize),
    /// A replica handles a request, and its response arrives.
    Deliver(usize),
    /// A replica handles a request, and its response is lost.
    LoseResponse(usize),
    /// A replica handles a request and its response arrives, and the request will arrive once more.
    Duplicate(usize),
    /// A member whose record is committed sends the request to a host.
    Send(usize),
    Restart(usize),
}

impl Cluster {
    fn new(faults: Faults, bug: InjectedBug) -> Cluster {
        let member = |member_index: u32| Member {
            coordinator: coordinator(member_index, 1),
            replica: Replica::new(0, RETENTION, 100),
            may_send: false,
        };
        Cluster {
            now: 10 * RETENTION,
            bug,
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
            // The request may have run already, so this member gives it up.
            Some(Outcome::Acquired { .. }) => self.members[at].coordinator.release(KEY),
            Some(Outcome::Committed { .. }) => self.members[at].may_send = true,
            Some(Outcome::Retry { request, .. }) => self.broadcast(at, &request),
            _ => {}
        }
    }

    fn handle_at_replica(&mut self, message: &InFlight<ReplicaRequest>) -> ReplicaResponse {
        let replica = &mut self.members[message.to].replica;
        if self.bug == InjectedBug::ForgetsPromises {
            replica.forget_promises();
        }
        if self.bug == InjectedBug::AcceptsEarlierRecord {
            replica.forget_sequences();
        }
        replica.handle(self.now, &message.message)
    }

    fn deliver_response(&mut self, message: &InFlight<ReplicaRequest>, response: &ReplicaResponse) {
        let responders = match self.bug {
            InjectedBug::NeedsNoMajority => 0..CLUSTER_SIZE,
            _ => message.to as u32..message.to as u32 + 1,
        };
        for responder in responders {
            let coordinator = &mut self.members[message.from].coordinator;
            let outcome = coordinator.handle(self.now, responder, response.clone());
            self.on_outcome(message.from, outcome);
        }
    }

    /// Has a replica handle a request of a member, and returns the outcome of its response.
    fn ask(&mut self, from: usize, replica: u32, request: &ReplicaRequest) -> Option<Outcome> {
        let message = InFlight {
            from,
            to: replica as usize,
            message: request.clone(),
        };
        let mut response = self.handle_at_replica(&message);
        if self.bug == InjectedBug::BelievesOlderRecord {
            reverse_sequence(&mut response);
        }
        let coordinator = &mut self.members[from].coordinator;
        coordinator.handle(self.now, replica, response)
    }

    fn restart(&mut self, at: usize) {
        let started_at = match self.bug {
            InjectedBug::VotesAfterRestart => 0,
            _ => self.now,
        };
        self.members[at] = Member {
            coordinator: coordinator(at as u32, 2),
            replica: Replica::new(started_at, RETENTION, 100),
            may_send: false,
        };
        self.faults.restarts = 0;
        // The client sends the request again, to this member or another one.
        self.arrivals[at.min(1)] += 1;
    }
}

impl Model for Cluster {
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

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Arrive(at) => {
                self.arrivals[at] -= 1;
                let request = self.members[at].coordinator.prepare(
                    self.now,
                    KEY,
                    TIME_LEFT,
                    self.now + TIME_LEFT,
                );
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
        // The order in which requests were sent is left out, as any of them may arrive first.
        let mut in_flight: Vec<u64> = self.in_flight.iter().map(fingerprint::<Xxh3>).collect();
        in_flight.sort_unstable();
        let remaining = (self.arrivals, self.faults, self.sent);
        fingerprint::<Xxh3>(&(self.now, &self.members, in_flight, remaining))
    }

    fn violation(&self) -> Option<String> {
        (self.sent > 1).then(|| format!("sent {} times", self.sent))
    }
}

const BOUNDS: Bounds = Bounds {
    max_depth: 40,
    max_states: 60_000,
};

/// Guards against a request that takes effect twice, in any order of two prepares, lost requests and responses, a
/// duplicated request, a restart without state, and a pause between the commit and the attempt.
#[test]
fn a_non_idempotent_request_is_sent_at_most_once() {
    for (losses, duplicates, restarts) in [(0, 0, 0), (1, 0, 0), (0, 1, 0), (0, 0, 1)] {
        let faults = Faults {
            losses,
            duplicates,
            restarts,
        };
        match explore(Cluster::new(faults, InjectedBug::NoBug), BOUNDS) {
            // Two attempts take twelve steps without losses, and one more with a restart, which is tested separately.
            Ok(coverage) => assert!(
                coverage.complete || coverage.depth >= 10,
                "{faults:?}: {coverage:?}"
            ),
            Err(found) => panic!("{faults:?}: {}: {:?}", found.violation, found.steps),
        }
    }
}

/// Lets one member send the request with the votes of some replicas, then optionally restarts a replica, and then lets
/// another member try with the votes of other replicas. Returns how many times the request was sent.
fn send_from_two_members(
    bug: InjectedBug,
    first: &[usize],
    restart: Option<usize>,
    second: &[usize],
) -> u32 {
    let faults = Faults {
        restarts: 1,
        ..NO_FAULTS
    };
    let mut cluster = Cluster::new(faults, bug);
    let replicas = replicas_of(KEY, CLUSTER_SIZE);
    let run = |cluster: &mut Cluster, member: usize, reachable: &[usize]| {
        cluster.arrivals = [1, 1];
        cluster.apply(&Step::Arrive(member));
        let arrives = |message: &InFlight<ReplicaRequest>| {
            reachable
                .iter()
                .any(|n| replicas[*n] as usize == message.to)
        };
        while let Some(index) = cluster.in_flight.iter().position(arrives) {
            cluster.apply(&Step::Deliver(index));
        }
        if cluster.members[member].may_send {
            cluster.apply(&Step::Send(member));
        }
        cluster.in_flight.clear();
    };
    run(&mut cluster, 0, first);
    if let Some(replica) = restart {
        cluster.apply(&Step::Restart(replicas[replica] as usize));
    }
    run(&mut cluster, 1, second);
    cluster.sent
}

/// The replicas that get a record of an owner, by their place among the replicas of the key, in the order of arrival.
type Arrivals<'a> = &'a [(usize, Attempt)];

#[derive(Clone, Copy, PartialEq)]
enum Attempt {
    First,
    Second,
}

/// Lets one member commit two attempts under one ballot, whose records arrive as given, and then lets another member
/// acquire the request from two replicas. Returns how many attempts it learns of.
fn attempts_known_after_takeover(bug: InjectedBug, arrivals: Arrivals, asked: [usize; 2]) -> usize {
    let mut cluster = Cluster::new(NO_FAULTS, bug);
    let replicas = replicas_of(KEY, CLUSTER_SIZE);
    let prepare = cluster.members[0].coordinator.prepare(
        cluster.now,
        KEY,
        TIME_LEFT,
        cluster.now + TIME_LEFT,
    );
    for replica in &replicas {
        cluster.ask(0, *replica, &prepare);
    }
    let mut commit = |history: Vec<u8>| {
        let record = RequestRecord {
            history,
            finished: false,
        };
        let coordinator = &mut cluster.members[0].coordinator;
        coordinator.commit(cluster.now, KEY, record).unwrap()
    };
    let records = [commit(vec![1]), commit(vec![1, 2])];
    for (replica, attempt) in arrivals {
        cluster.now += 1;
        let request = &records[usize::from(*attempt == Attempt::Second)];
        cluster.ask(0, replicas[*replica], request);
    }
    let prepare = cluster.members[1].coordinator.prepare(
        cluster.now,
        KEY,
        TIME_LEFT,
        cluster.now + TIME_LEFT,
    );
    let outcomes = asked.map(|replica| cluster.ask(1, replicas[replica], &prepare));
    outcomes
        .into_iter()
        .flatten()
        .find_map(|outcome| match outcome {
            Outcome::Acquired { record, .. } => Some(record.history.len()),
            _ => None,
        })
        .expect("the request was not acquired")
}

/// Guards against a member that takes a request over and does not know of its last attempt, which has been on record at
/// a majority: the request could run outside its idempotency group.
#[test]
fn the_last_record_of_a_ballot_is_known_after_a_takeover() {
    use Attempt::{First, Second};
    let missed: Arrivals = &[(0, First), (1, First), (1, Second), (2, Second)];
    let delayed: Arrivals = &[(0, First), (1, Second), (2, Second), (1, First)];
    for arrivals in [missed, delayed] {
        for asked in [[0, 1], [1, 0], [1, 2], [0, 2]] {
            let known = |bug| attempts_known_after_takeover(bug, arrivals, asked);
            assert_eq!(known(InjectedBug::NoBug), 2, "{asked:?}");
        }
    }
    let known = |bug, arrivals| attempts_known_after_takeover(bug, arrivals, [0, 1]);
    assert_eq!(known(InjectedBug::BelievesOlderRecord, missed), 1);
    assert_eq!(known(InjectedBug::AcceptsEarlierRecord, delayed), 1);
}

/// Guards against tests that pass whatever is broken.
#[test]
fn injected_bugs_are_found() {
    let sent = |bug, restart| send_from_two_members(bug, &[0, 1], restart, &[1, 2]);
    assert_eq!(sent(InjectedBug::NoBug, None), 1);
    assert_eq!(sent(InjectedBug::NoBug, Some(1)), 1);
    assert_eq!(sent(InjectedBug::VotesAfterRestart, Some(1)), 2);
    for bug in [InjectedBug::NeedsNoMajority, InjectedBug::ForgetsPromises] {
        let found = explore(Cluster::new(NO_FAULTS, bug), BOUNDS);
        assert!(found.is_err(), "{bug:?}: {found:?}");
    }
}
