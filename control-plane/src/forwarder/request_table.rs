//! The forwarder's pending requests. This module owns the requests, the count of those that await a planner's
//! answer, and the deadlines at which they are decided without it.

use super::{PendingRequest, Phase};
use reedferry::Nanos;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// When a request is decided without the planner, if it still awaits the same decision.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DecisionDeadline {
    pub time: Nanos,
    pub id: u64,
    pub decision_sequence: u32,
}

/// All pending requests.
#[derive(Default)]
pub struct RequestTable {
    requests: BTreeMap<u64, PendingRequest>,
    awaiting_answer: usize,
    deadlines: BinaryHeap<Reverse<DecisionDeadline>>,
}

impl RequestTable {
    /// How many requests there are.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// How many requests await a planner's answer.
    pub fn awaiting_answer(&self) -> usize {
        self.awaiting_answer
    }

    /// The request, unless it is settled.
    pub fn get(&self, id: u64) -> Option<&PendingRequest> {
        self.requests.get(&id)
    }

    /// The request, unless it is settled.
    pub fn get_mut(&mut self, id: u64) -> Option<&mut PendingRequest> {
        self.requests.get_mut(&id)
    }

    /// All requests, in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut PendingRequest)> {
        self.requests.iter_mut().map(|(id, request)| (*id, request))
    }

    /// Adds a request.
    pub fn insert(&mut self, request: PendingRequest) {
        self.requests.insert(request.incoming.id.0, request);
    }

    /// Removes a request that is settled.
    pub fn remove(&mut self, id: u64) -> Option<PendingRequest> {
        let request = self.requests.remove(&id)?;
        self.awaiting_answer -= usize::from(request.awaits_answer);
        Some(request)
    }

    /// The planner has been asked for a decision.
    pub fn await_answer(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.known_to_planner = true;
            request.awaits_answer = true;
            self.awaiting_answer += 1;
        }
    }

    /// The planner's answer has come, or is awaited no more.
    pub fn stop_awaiting_answer(&mut self, id: u64) {
        if let Some(request) = self.requests.get_mut(&id) {
            if std::mem::take(&mut request.awaits_answer) {
                self.awaiting_answer -= 1;
            }
        }
    }

    /// No planner knows any request any more. Returns, in the order of their ids, the open connections and the
    /// requests that need a decision; the latter are a decision sequence further.
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

    /// Sets when a request is decided without the planner.
    pub fn push_deadline(&mut self, deadline: DecisionDeadline) {
        self.deadlines.push(Reverse(deadline));
    }

    /// The next deadline.
    pub fn next_decision_deadline(&self) -> Option<Nanos> {
        self.deadlines.peek().map(|Reverse(deadline)| deadline.time)
    }

    /// Takes the next deadline that has passed.
    pub fn pop_passed_deadline(&mut self, now: Nanos) -> Option<DecisionDeadline> {
        self.next_decision_deadline().filter(|time| *time <= now)?;
        self.deadlines.pop().map(|Reverse(deadline)| deadline)
    }
}

/// What a planner that is followed anew does not know.
#[derive(Default)]
pub struct UnreportedRequests {
    pub open_connections: Vec<u64>,
    pub awaiting_decision: Vec<u64>,
}
