//! The forwarder's table of pending requests. This module keeps the number of requests that await a planner's answer
//! consistent with the table, and orders the deadlines after which requests are decided without the planner.

use super::{PendingRequest, Phase};
use reedferry::Nanos;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// The time at which a request is decided without the planner if it still awaits the same decision.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DecisionDeadline {
    pub time: Nanos,
    pub id: u64,
    pub decision_sequence: u32,
}

/// All pending requests, by their ids.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<u64, PendingRequest>,
    awaiting_answer: usize,
    deadlines: BinaryHeap<Reverse<DecisionDeadline>>,
}

impl RequestTable {
    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests that await a planner's answer.
    pub fn awaiting_answer(&self) -> usize {
        self.awaiting_answer
    }

    /// Returns the request; `None` if it is unknown or settled.
    pub fn get(&self, id: u64) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// Returns the request for modification; `None` if it is unknown or settled.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// Iterates over all requests in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut PendingRequest)> {
        self.requests.iter_mut().map(|(id, request)| (*id, request))
    }

    /// Adds a request.
    pub fn insert(&mut self, request: PendingRequest) {
        self.requests.insert(request.incoming.id.0, request);
    }

    /// Removes and returns a request that is settled.
    pub fn remove(&mut self, id: u64) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.awaiting_answer -= usize::from(request.awaits_answer);
        Some(request)
    }

    /// Records that the planner was asked for a decision on the request.
    pub fn await_answer(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.known_to_planner = true;
            request.awaits_answer = true;
            self.awaiting_answer += 1;
        }
    }

    /// Records that the planner's answer has arrived or is no longer awaited.
    pub fn stop_awaiting_answer(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            if std::mem::take(&mut request.awaits_answer) {
                self.awaiting_answer -= 1;
            }
        }
    }

    /// Marks all requests as unknown to the planner. Returns the open connections and the requests that need a
    /// decision, both in the order of their ids. The decision sequence of the latter grows by one, which voids earlier
    /// answers.
    pub fn reset_planner_state(&mut self) -> UnreportedRequests {
        self.awaiting_answer = 0;
        let mut unreported = UnreportedRequests::default();
        for (&id, request) in &mut self.requests {
            request.known_to_planner = false;
            request.awaits_answer = false;
            match request.phase {
                Phase::Open(_) => unreported.open_connections.push(id),
                Phase::Attempting(_) => {}
                Phase::AwaitingDecision => {
                    request.decision_sequence += 1;
                    unreported.awaiting_decision.push(id);
                }
            }
        }
        unreported
    }

    /// Adds the deadline after which a request is decided without the planner.
    pub fn push_deadline(&mut self, deadline: DecisionDeadline) {
        self.deadlines.push(Reverse(deadline));
    }

    /// Returns the time of the earliest deadline; `None` if there is none.
    pub fn next_decision_deadline(&self) -> Option<Nanos> {
        self.deadlines.peek().map(|Reverse(deadline)| deadline.time)
    }

    /// Removes and returns the earliest deadline if it has passed.
    pub fn pop_passed_deadline(&mut self, now: Nanos) -> Option<DecisionDeadline> {
        self.next_decision_deadline().filter(|time| *time <= now)?;
        self.deadlines.pop().map(|Reverse(deadline)| deadline)
    }
}

/// The ids of the requests that a newly followed planner does not know.
#[derive(Default)]
pub struct UnreportedRequests {
    pub open_connections: Vec<u64>,
    pub awaiting_decision: Vec<u64>,
}
