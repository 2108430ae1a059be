//! The requests that this node has not yet brought to their end. It owns their records and the
//! slots that these take. It must never choose a host.

use crate::endpoint::Endpoint;
use crate::request::{AttemptOutcome, IncomingRequest, RequestId};
use crate::settings::BalancerSettings;
use crate::time::Nanos;
use std::collections::HashMap;

/// The first attempt of a request that may have run.
#[derive(Clone, Copy)]
pub(crate) struct FirstRun {
    /// The index of its host.
    pub host: usize,
    /// How that host was listed when the attempt was sent.
    pub endpoint: Endpoint,
    pub sent_at: Nanos,
}

/// A request, its attempts, and the connection that one of them has become.
#[derive(Default)]
pub(crate) struct Request {
    pub id: RequestId,
    pub incoming: IncomingRequest,
    pub deadline: Nanos,
    pub attempts: u32,
    /// How many it may have, by the settings under which it arrived.
    pub max_attempts: u32,
    /// The host of the attempt in flight, or of the open connection.
    pub host: Option<usize>,
    pub established: bool,
    /// It has its final answer.
    pub answered: bool,
    /// Its client has been asked to reconnect elsewhere.
    pub migrating: bool,
    pub first_run: Option<FirstRun>,
    /// When the last attempt was sent, and how its host was listed then.
    pub sent_at: Nanos,
    pub sent_to: Endpoint,
    pub tried_hosts: Vec<usize>,
    /// Attempts that ended with an error, and the last host where one did.
    pub errors: u32,
    pub error_host: Option<usize>,
}

impl Request {
    /// An attempt was sent to the host with this index.
    pub fn attempt_started(&mut self, host: usize, endpoint: Endpoint, now: Nanos) {
        self.attempts += 1;
        self.host = Some(host);
        self.sent_at = now;
        self.sent_to = endpoint;
    }

    /// The attempt at this host has ended, and the request has no answer yet.
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

/// All open requests, by slot and by id.
#[derive(Default)]
pub(crate) struct RequestTable {
    slots: Vec<Option<Request>>,
    free_slots: Vec<usize>,
    slot_by_id: HashMap<RequestId, usize>,
}

impl RequestTable {
    /// How many requests are open.
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

    /// The slots of open connections whose clients have not been asked to reconnect.
    pub fn connected_slots(&self) -> Vec<usize> {
        let connected = |slot: &usize| {
            self.get(*slot)
                .is_some_and(|request| request.established && !request.migrating)
        };
        (0..self.slots.len()).filter(connected).collect()
    }

    /// Adds a request that has arrived, under these settings, and returns its slot.
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
