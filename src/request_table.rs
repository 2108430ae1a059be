//! The requests that are not over yet: those without a final answer, and those whose connection is
//! open. The module owns their records and the slots that these occupy. It does not select hosts.

use crate::endpoint::Endpoint;
use crate::request::{AttemptOutcome, IncomingRequest, RequestId};
use crate::settings::BalancerSettings;
use crate::time::Nanos;
use std::collections::HashMap;

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    /// The index of the attempt's host.
    pub host: usize,
    /// The host's entry in the endpoint list when the attempt was sent.
    pub endpoint: Endpoint,
    pub sent_at: Nanos,
}

/// A request, with its attempts and the connection that resulted from one of them.
#[derive(Default)]
pub(crate) struct Request {
    pub id: RequestId,
    pub incoming: IncomingRequest,
    pub deadline: Nanos,
    pub attempts: u32,
    /// The maximum number of attempts, from the settings that were in force on arrival.
    pub max_attempts: u32,
    /// The index of the host of the attempt in flight or the open connection.
    pub host: Option<usize>,
    pub established: bool,
    /// Whether the request has its final answer or its client has left.
    pub answered: bool,
    /// Whether the client has been asked to reconnect elsewhere.
    pub migrating: bool,
    pub first_run: Option<FirstRun>,
    /// When the last attempt was sent; on arrival, the time of arrival.
    pub sent_at: Nanos,
    /// The entry in the endpoint list of the last attempt's host when it was sent.
    pub sent_to: Endpoint,
    pub tried_hosts: Vec<usize>,
    /// The number of attempts that ended with an error.
    pub errors: u32,
    /// The index of the host of the last attempt that ended with an error.
    pub error_host: Option<usize>,
}

impl Request {
    /// Records an attempt that was sent to the host with this index.
    pub fn attempt_started(&mut self, host: usize, endpoint: Endpoint, now: Nanos) {
        self.attempts += 1;
        self.host = Some(host);
        self.sent_at = now;
        self.sent_to = endpoint;
    }

    /// Records that the attempt at this host has ended and the request has no answer yet.
    pub fn attempt_failed(&mut self, host: usize, outcome: AttemptOutcome) {
        self.tried_hosts.push(host);
        if outcome == AttemptOutcome::Error {
            self.errors += 1;
            self.error_host = Some(host);
        }
        if !outcome.never_ran() {
            self.first_run.get_or_insert(FirstRun {
                host,
                endpoint: self.sent_to,
                sent_at: self.sent_at,
            });
        }
    }
}

/// All requests that are not over, by slot and by id.
#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<Option<Request>>,
    free_slots: Vec<usize>,
    slot_by_id: HashMap<RequestId, usize>,
}

impl RequestTable {
    /// Returns the number of requests that are not over.
    pub fn len(&self) -> usize {
        self.slot_by_id.len()
    }

    pub fn slot(&self, id: RequestId) -> Option<usize> {
        self.slot_by_id.get(&id).copied()
    }

    pub fn get(&self, slot: usize) -> Option<&Request> {
        self.slots[slot].as_ref()
    }

    pub fn get_mut(&mut self, slot: usize) -> Option<&mut Request> {
        self.slots[slot].as_mut()
    }

    /// Returns the slots of open connections whose clients have not been asked to reconnect.
    pub fn connected_slots(&self) -> Vec<usize> {
        let connected = |slot: &usize| {
            self.get(*slot)
                .is_some_and(|request| request.established && !request.migrating)
        };
        (0..self.slots.len()).filter(connected).collect()
    }

    /// Adds a request that has arrived and returns its slot. A class index out of range is replaced
    /// by that of the last class.
    pub fn insert(
        &mut self,
        now: Nanos,
        mut incoming: IncomingRequest,
        settings: &BalancerSettings,
    ) -> usize {
        incoming.class = incoming.class.min(settings.classes.len().saturating_sub(1));
        let id = incoming.id;
        let request = Request {
            id,
            incoming,
            deadline: now.saturating_add(incoming.time_left),
            sent_at: now,
            max_attempts: settings.max_attempts,
            ..Request::default()
        };
        let slot = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push(None);
            self.slots.len() - 1
        });
        self.slots[slot] = Some(request);
        self.slot_by_id.insert(id, slot);
        slot
    }

    /// Removes a request that is over.
    pub fn remove(&mut self, slot: usize) {
        if let Some(request) = self.slots[slot].take() {
            self.slot_by_id.remove(&request.id);
            self.free_slots.push(slot);
        }
    }
}
