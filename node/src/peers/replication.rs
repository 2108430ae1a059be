//! Replication of requests in flight, on top of the state machines of `reedferry_replication`. A request that is not
//! idempotent waits here for its lease before the balancer learns of it, and each of its attempts waits until its record
//! is committed before any byte of it is sent. This module owns the waiting requests and attempts. It never delays
//! idempotent requests, and leaves the decisions about a request whose lease this node holds to the balancer.

use crate::connections::AnswerReceipt;
use crate::context::{token, Context, REPLICATION_TIMER};
use crate::peers::attempt_history::{AttemptHistory, AttemptTracker};
use crate::peers::membership::ReplicationDatagram;
use crate::peers::{Fleet, ReplicationConfig};
use reedferry::permission::answer_by;
use reedferry::{
    Action, AttemptOutcome, Event, HostId, Idempotency, IncomingRequest, Nanos, PriorAttempts,
    RequestId, SECOND,
};
use reedferry_replication::{
    replicas_of, Coordinator, LeaseHolder, Outcome, Replica, ReplicaRequest, ReplicaResponse,
    RequestRecord,
};
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::warn;
use std::collections::{HashMap, HashSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a client whose request is rejected here is asked to wait before it retries, in nanoseconds.
const RETRY_AFTER: Nanos = SECOND;

/// A message between nodes about replicated records. The order of the variants is the wire format.
#[derive(Serialize, Deserialize)]
enum ReplicationMessage {
    Request(ReplicaRequest),
    Response(ReplicaResponse),
}

/// A request whose lease this node holds or is acquiring.
struct ReplicatedRequest {
    id: RequestId,
    incoming: IncomingRequest,
    arrived_at: Nanos,
    attempts: AttemptTracker,
    /// Whether the final answer has been given to the client, which may not have received it yet.
    answered: bool,
    /// The attempt that waits for its record; `None` if there is none.
    uncommitted: Option<UncommittedAttempt>,
}

/// An attempt that is not started until its record is committed.
struct UncommittedAttempt {
    action: Action,
    /// When the commit of the record started.
    since: Nanos,
}

/// Counters since the start of this process.
#[derive(Default)]
struct Counters {
    /// Attempts whose record was committed.
    committed: u64,
    /// Requests acquired whose record contained earlier attempts.
    taken_over: u64,
    /// Requests rejected here.
    rejected: u64,
}

/// The requests that this node replicates, and the records that it holds as a replica.
pub struct RequestReplication {
    config: ReplicationConfig,
    coordinator: Coordinator,
    replica: Replica,
    member_index: u32,
    cluster_size: u32,
    /// The requests by record key.
    requests: HashMap<u64, ReplicatedRequest>,
    /// The record keys of those requests by request id.
    keys: HashMap<RequestId, u64>,
    /// Requests abandoned in this turn, whose attempts that the balancer starts in the same turn are discarded.
    abandoned: HashSet<RequestId>,
    /// The messages to send, each with the member index of its receiver.
    outbox: Vec<(u32, ReplicationMessage)>,
    /// Actions that are ready to be carried out without passing through the balancer again.
    released: Vec<Action>,
    counters: Counters,
    /// Whether a majority of replicas was missing since a record was last committed, so that the failure is logged only once.
    majority_missing: bool,
}

impl RequestReplication {
    /// Creates a replication without requests or records.
    pub fn new(
        context: &Context,
        config: &ReplicationConfig,
        member_index: u32,
        cluster_size: u32,
        incarnation: u64,
    ) -> RequestReplication {
        let me = LeaseHolder {
            member_index,
            incarnation,
        };
        RequestReplication {
            config: config.clone(),
            coordinator: Coordinator::new(me, cluster_size, config.majority_timeout),
            replica: Replica::new(context.now, config.retention, config.max_records),
            member_index,
            cluster_size,
            requests: HashMap::new(),
            keys: HashMap::new(),
            abandoned: HashSet::new(),
            outbox: Vec::new(),
            released: Vec::new(),
            counters: Counters::default(),
            majority_missing: false,
        }
    }

    /// Returns the part of `/status/fleet` about replication.
    pub fn status(&self, now: Nanos) -> serde_json::Value {
        json!({"votes": self.replica.votes(now), "kept_for_others": self.replica.count(),
            "held": self.requests.len(), "written_ahead": self.counters.committed, "taken_over": self.counters.taken_over,
            "turned_away": self.counters.rejected})
    }

    fn broadcast(&mut self, context: &mut Context, key: u64, request: &ReplicaRequest) {
        for replica in replicas_of(key, self.cluster_size) {
            self.outbox
                .push((replica, ReplicationMessage::Request(request.clone())));
        }
        if let Some(deadline) = self.coordinator.deadline(key) {
            context
                .poller
                .set_timer(deadline, token(REPLICATION_TIMER), 0);
        }
    }

    /// Processes an event before the balancer does, and returns it. Returns `None` for an arriving request that must wait for its
    /// lease or is rejected.
    pub fn intercept_event(
        &mut self,
        context: &mut Context,
        idempotencies: &[Idempotency],
        event: Event,
    ) -> Option<Event> {
        match &event {
            Event::RequestArrived(incoming)
                if idempotencies.get(incoming.class) != Some(&Idempotency::Idempotent) =>
            {
                return self.acquire(context, *incoming).then_some(event);
            }
            Event::ConnectionEstablished { id, .. } => self.on_answered(context, *id),
            Event::ClientLeft { id } => self.forget(*id),
            Event::AttemptEnded {
                id, host, ending, ..
            } if ending.never_ran() => {
                let key = self.keys.get(id);
                if let Some(request) = key.and_then(|key| self.requests.get_mut(key)) {
                    request.attempts.on_attempt_never_ran(host.0);
                }
            }
            _ => {}
        }
        Some(event)
    }

    /// Starts to acquire the lease of a request that has arrived. Returns `true` if the balancer may handle the request at
    /// once: either it has no key, so that no client can send it again, or its id is recorded because its lease was acquired.
    fn acquire(&mut self, context: &mut Context, incoming: IncomingRequest) -> bool {
        let id = incoming.id;
        let Some(client_key) = incoming.key.filter(|_| !self.keys.contains_key(&id)) else {
            return true;
        };
        let class_name = context.settings.classes.get(incoming.class);
        let key = record_key(client_key, class_name.map_or("", String::as_str));
        if self.requests.get(&key).is_some_and(|r| !r.answered) {
            self.reject(id);
            return false;
        }
        if let Some(answered) = self.requests.remove(&key) {
            self.keys.remove(&answered.id);
        }
        let request = ReplicatedRequest {
            id,
            incoming,
            arrived_at: context.now,
            attempts: AttemptTracker::new(context.now),
            answered: false,
            uncommitted: None,
        };
        self.requests.insert(key, request);
        self.keys.insert(id, key);
        let deadline = context.now.saturating_add(incoming.time_left);
        let answer_by = answer_by(deadline, incoming.time_left, 0);
        let prepare = self
            .coordinator
            .prepare(context.now, key, incoming.time_left, answer_by);
        self.broadcast(context, key, &prepare);
        false
    }

    /// Processes an action of the balancer before it is carried out, and returns it. Returns `None` for an attempt that must
    /// wait for its record or whose request was abandoned in this turn.
    pub fn intercept_action(&mut self, context: &mut Context, action: Action) -> Option<Action> {
        match &action {
            Action::StartAttempt { id, .. } if self.abandoned.contains(id) => return None,
            Action::StartAttempt { id, host, .. } => {
                let Some(&key) = self.keys.get(id) else {
                    return Some(action);
                };
                let host = host.0;
                self.commit_attempt(context, key, host, action);
                return None;
            }
            Action::Reject { id, .. } => self.finish(context, *id),
            Action::Fail { id } => self.on_answered(context, *id),
            _ => {}
        }
        Some(action)
    }

    fn commit_attempt(&mut self, context: &mut Context, key: u64, host: u64, action: Action) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        request.attempts.on_attempt_started(context.now, host);
        let record = RequestRecord {
            history: postcard::to_allocvec(&request.attempts.history).unwrap_or_default(),
            finished: false,
        };
        request.uncommitted = Some(UncommittedAttempt {
            action,
            since: context.now,
        });
        match self.coordinator.commit(context.now, key, record) {
            Some(accept) => self.broadcast(context, key, &accept),
            None => self.abandon(context, key),
        }
    }

    /// Records that the final answer of a request has been given. If an attempt may have run, the replicas keep the record
    /// until the client is known to have the answer: a client that has been cut off sends its request again.
    fn on_answered(&mut self, context: &mut Context, id: RequestId) {
        let key = self.keys.get(&id);
        let Some(request) = key.and_then(|key| self.requests.get_mut(key)) else {
            return;
        };
        if request.attempts.history.may_have_run.is_none() {
            return self.finish(context, id);
        }
        request.answered = true;
    }

    /// Handles what is known about the answer to a request.
    pub fn on_answer_receipt(&mut self, context: &mut Context, receipt: AnswerReceipt) {
        match receipt {
            AnswerReceipt::Received(id) => {
                let key = self.keys.get(&id);
                let request = key.and_then(|key| self.requests.get(key));
                if request.is_some_and(|request| request.answered) {
                    self.finish(context, id);
                }
            }
            AnswerReceipt::Unconfirmed(id) => self.forget(id),
        }
    }

    /// Gives up a request of which this node has nothing more to record. The replicas keep the record, because the client
    /// may send the request again.
    fn forget(&mut self, id: RequestId) {
        if let Some(key) = self.keys.remove(&id) {
            self.requests.remove(&key);
            self.coordinator.release(key);
        }
    }

    /// Records that a request is over: its client has the final answer, or no attempt can have run. From now on its key
    /// stands for a new request.
    fn finish(&mut self, context: &mut Context, id: RequestId) {
        let Some(key) = self.keys.remove(&id) else {
            return;
        };
        self.requests.remove(&key);
        let record = RequestRecord {
            history: Vec::new(),
            finished: true,
        };
        if let Some(accept) = self.coordinator.commit(context.now, key, record) {
            self.broadcast(context, key, &accept);
        }
    }

    /// Rejects a request without involving the balancer.
    fn reject(&mut self, id: RequestId) {
        self.counters.rejected += 1;
        self.released.push(Action::Reject {
            id,
            retry_after: RETRY_AFTER,
        });
    }

    /// Gives up a request whose lease this node cannot acquire or keep, so that no further attempt starts. Rejects the request
    /// if it can't have run, and fails it otherwise.
    fn abandon(&mut self, context: &mut Context, key: u64) {
        let Some(request) = self.requests.remove(&key) else {
            return;
        };
        self.keys.remove(&request.id);
        self.coordinator.release(key);
        let history = &request.attempts.history;
        let uncommitted = request.uncommitted.map(|attempt| attempt.action);
        if let Some(Action::StartAttempt { id, host, .. }) = uncommitted {
            context.events.push(Event::AttemptEnded {
                id,
                attempt: history.attempts,
                host,
                request_over: true,
                ending: AttemptOutcome::NeverSent,
                load_metrics: Vec::new(),
            });
            context.events.push(Event::ClientLeft { id });
            self.abandoned.insert(id);
        }
        // The attempt that waits for its record has not run, but an earlier one may have.
        if history.attempts > 1 && history.may_have_run.is_some() {
            self.released.push(Action::Fail { id: request.id });
        } else {
            self.reject(request.id);
        }
    }

    fn on_outcome(&mut self, context: &mut Context, outcome: Outcome) {
        match outcome {
            Outcome::Acquired { key, record, age } => self.on_acquired(context, key, &record, age),
            Outcome::Committed { key } => self.on_committed(context, key),
            Outcome::Retry { key, request } => self.broadcast(context, key, &request),
            Outcome::Lost { key } => self.abandon(context, key),
            Outcome::NoMajority { key } => {
                let was_missing = std::mem::replace(&mut self.majority_missing, true);
                if !was_missing && self.requests.contains_key(&key) {
                    warn!(
                        context.log,
                        "no majority of replicas; requests that are not idempotent are rejected"
                    );
                }
                self.abandon(context, key);
            }
        }
    }

    /// Passes a request whose lease was acquired to the balancer, together with its earlier attempts from the record.
    fn on_acquired(&mut self, context: &mut Context, key: u64, record: &RequestRecord, age: Nanos) {
        let Some(request) = self.requests.get_mut(&key) else {
            return;
        };
        let waited = context.now.saturating_sub(request.arrived_at);
        let incoming = IncomingRequest {
            time_left: request.incoming.time_left.saturating_sub(waited),
            ..request.incoming
        };
        let recorded = (!record.finished)
            .then(|| postcard::from_bytes::<AttemptHistory>(&record.history).ok())
            .flatten();
        request.attempts.history = recorded.unwrap_or_default();
        let history = &request.attempts.history;
        if history.attempts == 0 {
            return context.events.push(Event::RequestArrived(incoming));
        }
        self.counters.taken_over += 1;
        // Adds up durations instead of comparing the clocks of two nodes: the run's age when the record was written, the
        // record's age at the replica, and the longest time that the response may have taken.
        let age_at_write = history.may_have_run.map_or(0, |run| run.age);
        let run_age = age_at_write + age + self.config.majority_timeout;
        let run_at = context.now.saturating_sub(run_age);
        request.attempts.possible_run_at = run_at;
        let prior = PriorAttempts {
            attempts: history.attempts,
            may_have_run: history.may_have_run.map(|run| (HostId(run.host), run_at)),
            tried_hosts: history.tried_hosts.iter().copied().map(HostId).collect(),
        };
        context
            .events
            .push(Event::RequestTakenOver(incoming, prior));
    }

    fn on_committed(&mut self, context: &mut Context, key: u64) {
        let Some(request) = self.requests.get_mut(&key) else {
            return self.coordinator.release(key);
        };
        let Some(attempt) = request.uncommitted.take() else {
            return;
        };
        // Abandons a commit that took too long: if this node was stalled, another one may have taken the request over.
        if context.now >= attempt.since + self.config.majority_timeout {
            request.uncommitted = Some(attempt);
            return self.abandon(context, key);
        }
        self.counters.committed += 1;
        self.majority_missing = false;
        self.released.push(attempt.action);
    }

    /// Handles the messages received from other nodes, sends the queued ones, and handles directly those to this node.
    pub fn exchange_messages(&mut self, context: &mut Context, fleet: &mut Fleet) {
        for ReplicationDatagram { from, bytes } in fleet.take_replication_messages() {
            match decode(&bytes) {
                Ok(ReplicationMessage::Request(request)) => {
                    let response = self.replica.handle(context.now, &request);
                    self.outbox
                        .push((from, ReplicationMessage::Response(response)));
                }
                Ok(ReplicationMessage::Response(response)) => {
                    self.on_response(context, from, response);
                }
                // The checksum was correct, so the message is of another version. It is ignored.
                Err(_) => {}
            }
        }
        // Discards the queued messages while members disagree on the cluster size. Otherwise the sets of replicas by two
        // different sizes could each form a majority.
        if !fleet.agrees_on_cluster_size(self.cluster_size) {
            return self.outbox.clear();
        }
        while !self.outbox.is_empty() {
            for (to, message) in std::mem::take(&mut self.outbox) {
                match message {
                    ReplicationMessage::Request(request) if to == self.member_index => {
                        let response = self.replica.handle(context.now, &request);
                        self.on_response(context, to, response);
                    }
                    message => {
                        let bytes = postcard::to_allocvec(&message).unwrap_or_default();
                        fleet.send_replication_message(to, &bytes);
                    }
                }
            }
        }
    }

    fn on_response(&mut self, context: &mut Context, from: u32, response: ReplicaResponse) {
        if let Some(outcome) = self.coordinator.handle(context.now, from, response) {
            self.on_outcome(context, outcome);
        }
    }

    /// Gives up the requests whose deadline has passed.
    pub fn on_timer(&mut self, context: &mut Context) {
        for outcome in self.coordinator.expire(context.now) {
            self.on_outcome(context, outcome);
        }
    }

    /// Drops the records that have expired, whether or not this node has requests of its own.
    pub fn sweep(&mut self, now: Nanos) {
        self.replica.sweep(now);
    }

    /// Takes the actions that are ready to be carried out. Also forgets the requests abandoned in this turn, whose attempts
    /// have been discarded by now.
    pub fn take_released_actions(&mut self) -> Vec<Action> {
        self.abandoned.clear();
        std::mem::take(&mut self.released)
    }
}

/// Decodes a message. One of an earlier version may lack the last number, which counts as zero then: how long a client still
/// waits, or the sequence number of a record. Without this, nodes of that version would get no votes from those of this one.
fn decode(bytes: &[u8]) -> postcard::Result<ReplicationMessage> {
    postcard::from_bytes(bytes).or_else(|_| postcard::from_bytes(&[bytes, &[0]].concat()))
}

/// Returns the key of a request's record. It depends on the class as well, because two classes may use the same idempotency
/// key. All nodes have to compute the same key, so it depends on the name of the class and not on its index: each process
/// numbers the classes on its own, and again at each reload. The terms of the class don't count either, as nodes reload one
/// after another, and the record has to be found in between.
fn record_key(client_key: u64, class_name: &str) -> u64 {
    xxh3_64_with_seed(class_name.as_bytes(), client_key)
}

#[cfg(test)]
#[path = "replication_bytes_tests.rs"]
mod bytes_tests;
