//! The coordinator's side (the proposer of Paxos): the requests that this member owns or wants to own.

use crate::messages::{AcceptedRecord, Ballot, ReplicaRequest, ReplicaResponse, RequestRecord};
use crate::placement::replicas_of;
use reedferry_membership::{LeaseHolder, Nanos};
use std::collections::BTreeMap;

/// How often a request is prepared anew after a rejection by a higher ballot. Bounded, so that two members that want
/// the same request do not outbid each other for ever.
const MAX_RETRIES: u32 = 2;
/// How far one rejection may raise the ballot number, so that one member cannot use the numbers up.
const MAX_BALLOT_ADVANCE: u64 = 1024;

/// What came of a request that this member wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// This member owns it.
    Acquired {
        /// The request's key.
        key: u64,
        /// The record accepted last.
        record: RequestRecord,
        /// How long ago a replica accepted that record.
        age: Nanos,
    },
    /// The record is with a majority.
    Committed {
        /// The request's key.
        key: u64,
    },
    /// A higher ballot came first: send this to the replicas.
    Retry {
        /// The request's key.
        key: u64,
        /// The next attempt to prepare.
        request: ReplicaRequest,
    },
    /// Another member owns it by a higher ballot.
    Lost {
        /// The request's key.
        key: u64,
    },
    /// No majority answered in time.
    NoMajority {
        /// The request's key.
        key: u64,
    },
}

#[derive(Clone, Hash)]
enum Phase {
    Preparing {
        promises: BTreeMap<u32, Option<AcceptedRecord>>,
    },
    Owned,
    Committing {
        sequence: u32,
        accepted_by: Vec<u32>,
    },
}

#[derive(Clone, Hash)]
struct Proposal {
    ballot: Ballot,
    phase: Phase,
    /// Replicas that have no capacity or may not vote yet.
    unavailable: Vec<u32>,
    retries: u32,
    deadline: Nanos,
}

impl Proposal {
    fn is_prepared(&self) -> bool {
        !matches!(self.phase, Phase::Preparing { .. })
    }

    fn is_pending(&self) -> bool {
        !matches!(self.phase, Phase::Owned)
    }
}

/// The requests that one member owns or wants to own.
#[derive(Clone, Hash)]
pub struct Coordinator {
    me: LeaseHolder,
    cluster_size: u32,
    /// How long a majority may take.
    majority_timeout: Nanos,
    proposals: BTreeMap<u64, Proposal>,
    /// The sequence number of the last record sent.
    sequence: u32,
    /// The highest ballot number that was used or seen.
    ballot_number: u64,
}

impl Coordinator {
    /// A coordinator that owns nothing yet.
    pub fn new(me: LeaseHolder, cluster_size: u32, majority_timeout: Nanos) -> Coordinator {
        Coordinator {
            me,
            cluster_size,
            majority_timeout,
            proposals: BTreeMap::new(),
            sequence: 0,
            ballot_number: 0,
        }
    }

    fn next_ballot(&mut self) -> Ballot {
        self.ballot_number += 1;
        Ballot {
            number: self.ballot_number,
            holder: self.me,
        }
    }

    /// Wants to own a request, which may be one that it owns already; gives what to send to its replicas.
    pub fn prepare(&mut self, now: Nanos, key: u64) -> ReplicaRequest {
        let ballot = self.next_ballot();
        let proposal = Proposal {
            ballot,
            phase: Phase::Preparing {
                promises: BTreeMap::new(),
            },
            unavailable: Vec::new(),
            retries: 0,
            deadline: now + self.majority_timeout,
        };
        self.proposals.insert(key, proposal);
        ReplicaRequest::Prepare { key, ballot }
    }

    /// Records something of a request before anything runs by it; gives what to send to its replicas, or nothing where
    /// this member does not own the request.
    pub fn commit(
        &mut self,
        now: Nanos,
        key: u64,
        record: RequestRecord,
    ) -> Option<ReplicaRequest> {
        self.sequence = self.sequence.wrapping_add(1);
        let sequence = self.sequence;
        let proposal = self.proposals.get_mut(&key).filter(|p| p.is_prepared())?;
        proposal.phase = Phase::Committing {
            sequence,
            accepted_by: Vec::new(),
        };
        proposal.deadline = now + self.majority_timeout;
        proposal.unavailable.clear();
        Some(ReplicaRequest::Accept {
            key,
            ballot: proposal.ballot,
            sequence,
            record,
        })
    }

    /// Gives a request up; what replicas hold of it stays until it expires.
    pub fn release(&mut self, key: u64) {
        self.proposals.remove(&key);
    }

    /// Whether this member owns a request.
    pub fn owns(&self, key: u64) -> bool {
        self.proposals.get(&key).is_some_and(Proposal::is_prepared)
    }

    /// The next deadline.
    pub fn next_deadline(&self) -> Option<Nanos> {
        let pending = self.proposals.values().filter(|p| p.is_pending());
        pending.map(|proposal| proposal.deadline).min()
    }

    /// Gives up the requests that no majority answered in time.
    pub fn expire(&mut self, now: Nanos) -> Vec<Outcome> {
        let late = |proposal: &Proposal| proposal.is_pending() && now >= proposal.deadline;
        let keys: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| late(proposal))
            .map(|(key, _)| *key)
            .collect();
        for key in &keys {
            self.proposals.remove(key);
        }
        keys.into_iter()
            .map(|key| Outcome::NoMajority { key })
            .collect()
    }

    /// Takes in a member's response. One that is late, of another ballot or of no replica is ignored.
    pub fn handle(
        &mut self,
        now: Nanos,
        member_index: u32,
        response: ReplicaResponse,
    ) -> Option<Outcome> {
        let (key, ballot) = response.key_and_ballot();
        if let ReplicaResponse::Rejected {
            promised: Some(promised),
            ..
        } = response
        {
            let highest = self.ballot_number + MAX_BALLOT_ADVANCE;
            self.ballot_number = self.ballot_number.max(promised.number.min(highest));
        }
        let replicas = replicas_of(key, self.cluster_size);
        let proposal = self
            .proposals
            .get_mut(&key)
            .filter(|proposal| proposal.ballot == ballot && now < proposal.deadline)?;
        if !replicas.contains(&member_index) {
            return None;
        }
        match response {
            ReplicaResponse::Promised { accepted, .. } => {
                proposal.on_promised(key, member_index, accepted, replicas.len())
            }
            ReplicaResponse::Accepted { sequence, .. } => {
                proposal.on_accepted(key, member_index, sequence, replicas.len())
            }
            ReplicaResponse::Rejected {
                promised: Some(_), ..
            } => Some(self.on_higher_ballot(key)),
            ReplicaResponse::Rejected { promised: None, .. } => {
                self.on_unavailable(key, member_index, replicas.len())
            }
        }
    }

    /// The member that came first may be gone by now, so a prepare is retried; a commit is lost.
    fn on_higher_ballot(&mut self, key: u64) -> Outcome {
        let may_retry =
            |proposal: &&mut Proposal| !proposal.is_prepared() && proposal.retries < MAX_RETRIES;
        if self.proposals.get_mut(&key).filter(may_retry).is_none() {
            self.proposals.remove(&key);
            return Outcome::Lost { key };
        }
        let ballot = self.next_ballot();
        if let Some(proposal) = self.proposals.get_mut(&key) {
            proposal.retry(ballot);
        }
        Outcome::Retry {
            key,
            request: ReplicaRequest::Prepare { key, ballot },
        }
    }

    /// Too few may be left for a majority.
    fn on_unavailable(&mut self, key: u64, member_index: u32, replicas: usize) -> Option<Outcome> {
        let unavailable = &mut self.proposals.get_mut(&key)?.unavailable;
        if !unavailable.contains(&member_index) {
            unavailable.push(member_index);
        }
        if is_majority(replicas - unavailable.len(), replicas) {
            return None;
        }
        self.proposals.remove(&key);
        Some(Outcome::NoMajority { key })
    }
}

impl Proposal {
    fn on_promised(
        &mut self,
        key: u64,
        member_index: u32,
        accepted: Option<AcceptedRecord>,
        replicas: usize,
    ) -> Option<Outcome> {
        let Phase::Preparing { promises } = &mut self.phase else {
            return None;
        };
        promises.insert(member_index, accepted);
        if !is_majority(promises.len(), replicas) {
            return None;
        }
        let latest = promises
            .values()
            .flatten()
            .max_by_key(|accepted| (accepted.ballot, accepted.age));
        let (record, age) = latest
            .map(|accepted| (accepted.record.clone(), accepted.age))
            .unwrap_or_default();
        self.phase = Phase::Owned;
        Some(Outcome::Acquired { key, record, age })
    }

    fn on_accepted(
        &mut self,
        key: u64,
        member_index: u32,
        of_sequence: u32,
        replicas: usize,
    ) -> Option<Outcome> {
        let Phase::Committing {
            sequence,
            accepted_by,
        } = &mut self.phase
        else {
            return None;
        };
        if of_sequence != *sequence {
            return None;
        }
        if !accepted_by.contains(&member_index) {
            accepted_by.push(member_index);
        }
        if !is_majority(accepted_by.len(), replicas) {
            return None;
        }
        self.phase = Phase::Owned;
        Some(Outcome::Committed { key })
    }

    fn retry(&mut self, ballot: Ballot) {
        if let Phase::Preparing { promises } = &mut self.phase {
            promises.clear();
        }
        self.unavailable.clear();
        self.retries += 1;
        self.ballot = ballot;
    }
}

fn is_majority(count: usize, of: usize) -> bool {
    2 * count > of
}
