//! The coordinator (the proposer of Paxos): the requests that this member owns or is trying to own.

use crate::messages::{
    AcceptedRecord, Ballot, RejectReason, ReplicaRequest, ReplicaResponse, RequestRecord,
};
use crate::placement::replicas_of;
use reedferry_membership::{LeaseHolder, Nanos};
use std::collections::BTreeMap;

/// The maximum number of retries of a prepare that was rejected because of a higher ballot. The limit keeps two members
/// that want the same request from outbidding each other without end.
const MAX_RETRIES: u32 = 2;
/// The maximum increase of the ballot number by one rejection. It keeps one member from using up the numbers.
const MAX_BALLOT_ADVANCE: u64 = 1024;

/// The result of preparing or committing a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// This member owns the request.
    Acquired {
        /// The request's key.
        key: u64,
        /// The record that was accepted last, or the default record if there is none.
        record: RequestRecord,
        /// How long ago a replica accepted that record, in nanoseconds; 0 if there is none.
        age: Nanos,
    },
    /// A majority has accepted the record.
    Committed {
        /// The request's key.
        key: u64,
    },
    /// A higher ballot was promised to another member; send this request to the replicas.
    Retry {
        /// The request's key.
        key: u64,
        /// The prepare request under a new ballot.
        request: ReplicaRequest,
    },
    /// Another member took over the request, or outbid every retry, with a higher ballot.
    Lost {
        /// The request's key.
        key: u64,
    },
    /// No majority answered in time, or too few replicas are able to.
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
        sequence: u64,
        accepted_by: Vec<u32>,
    },
}

#[derive(Clone, Hash)]
struct Proposal {
    ballot: Ballot,
    phase: Phase,
    /// The replicas that rejected the ballot because they have no capacity or may not vote yet.
    unavailable: Vec<u32>,
    retries: u32,
    deadline: Nanos,
    /// Until when the client waits for its answer.
    client_deadline: Nanos,
}

impl Proposal {
    fn is_prepared(&self) -> bool {
        !matches!(self.phase, Phase::Preparing { .. })
    }

    fn is_pending(&self) -> bool {
        !matches!(self.phase, Phase::Owned)
    }
}

/// The requests that one member owns or is trying to own.
#[derive(Clone, Hash)]
pub struct Coordinator {
    me: LeaseHolder,
    cluster_size: u32,
    /// How long a majority may take to answer, in nanoseconds.
    majority_timeout: Nanos,
    proposals: BTreeMap<u64, Proposal>,
    /// The sequence number of the last record sent.
    sequence: u64,
    /// The highest ballot number that was used or seen.
    ballot_number: u64,
}

impl Coordinator {
    /// Creates a coordinator that owns no requests. `majority_timeout` is in nanoseconds.
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

    /// Starts to acquire a request, which this member may own already and whose client still waits for `time_left`
    /// nanoseconds. Gives up at `answer_by`, when the client has to be answered, if no majority has answered by then.
    /// Returns the message to send to the request's replicas.
    pub fn prepare(
        &mut self,
        now: Nanos,
        key: u64,
        time_left: Nanos,
        answer_by: Nanos,
    ) -> ReplicaRequest {
        let ballot = self.next_ballot();
        let proposal = Proposal {
            ballot,
            phase: Phase::Preparing {
                promises: BTreeMap::new(),
            },
            unavailable: Vec::new(),
            retries: 0,
            deadline: answer_by.min(now + self.majority_timeout),
            client_deadline: now.saturating_add(time_left),
        };
        self.proposals.insert(key, proposal);
        ReplicaRequest::Prepare {
            key,
            ballot,
            time_left,
        }
    }

    /// Starts to commit a record of a request. An attempt that the record describes may be sent only after
    /// [`Outcome::Committed`]. Returns the message to send to the request's replicas, or `None` if this member does not
    /// own the request.
    pub fn commit(
        &mut self,
        now: Nanos,
        key: u64,
        record: RequestRecord,
    ) -> Option<ReplicaRequest> {
        self.sequence += 1;
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
            time_left: proposal.client_deadline.saturating_sub(now),
        })
    }

    /// Gives up a request. The replicas keep their records until these expire.
    pub fn release(&mut self, key: u64) {
        self.proposals.remove(&key);
    }

    /// Whether this member owns the request.
    pub fn owns(&self, key: u64) -> bool {
        self.proposals.get(&key).is_some_and(Proposal::is_prepared)
    }

    /// Returns when the pending prepare or commit of a request is given up, or `None` if none is pending.
    pub fn deadline(&self, key: u64) -> Option<Nanos> {
        let proposal = self.proposals.get(&key).filter(|p| p.is_pending())?;
        Some(proposal.deadline)
    }

    /// Gives up the requests for which no majority answered in time, and returns their outcomes.
    pub fn expire(&mut self, now: Nanos) -> Vec<Outcome> {
        let is_late = |proposal: &Proposal| proposal.is_pending() && now >= proposal.deadline;
        let keys: Vec<u64> = self
            .proposals
            .iter()
            .filter(|(_, proposal)| is_late(proposal))
            .map(|(key, _)| *key)
            .collect();
        for key in &keys {
            self.proposals.remove(key);
        }
        keys.into_iter()
            .map(|key| Outcome::NoMajority { key })
            .collect()
    }

    /// Handles a member's response. Responses that are late, for another ballot or not from a replica of the request
    /// are ignored, except that any higher ballot in a rejection raises the number of this member's next ballot.
    pub fn handle(
        &mut self,
        now: Nanos,
        member_index: u32,
        response: ReplicaResponse,
    ) -> Option<Outcome> {
        let (key, ballot) = response.key_and_ballot();
        if let ReplicaResponse::Rejected {
            reason: RejectReason::HigherBallot(promised),
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
            ReplicaResponse::Rejected { reason, .. } => match reason {
                RejectReason::HigherBallot(_) => Some(self.on_higher_ballot(now, key)),
                // The rejected record is not the latest one that this member has sent.
                RejectReason::LaterRecord(_) => None,
                RejectReason::Unavailable => self.on_unavailable(key, member_index, replicas.len()),
            },
        }
    }

    /// Handles a rejection by a higher ballot. A prepare is retried, as the member with that ballot may be gone by now;
    /// a commit is lost.
    fn on_higher_ballot(&mut self, now: Nanos, key: u64) -> Outcome {
        let may_retry =
            |proposal: &&mut Proposal| !proposal.is_prepared() && proposal.retries < MAX_RETRIES;
        if self.proposals.get_mut(&key).filter(may_retry).is_none() {
            self.proposals.remove(&key);
            return Outcome::Lost { key };
        }
        let ballot = self.next_ballot();
        let mut time_left = 0;
        if let Some(proposal) = self.proposals.get_mut(&key) {
            proposal.retry(ballot);
            time_left = proposal.client_deadline.saturating_sub(now);
        }
        Outcome::Retry {
            key,
            request: ReplicaRequest::Prepare {
                key,
                ballot,
                time_left,
            },
        }
    }

    /// Records that a replica cannot vote, and gives up once too few are left for a majority.
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
            .max_by_key(|accepted| (accepted.ballot, accepted.sequence));
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
        accepted_sequence: u64,
        replicas: usize,
    ) -> Option<Outcome> {
        let Phase::Committing {
            sequence,
            accepted_by,
        } = &mut self.phase
        else {
            return None;
        };
        if accepted_sequence != *sequence {
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
