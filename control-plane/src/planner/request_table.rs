//! The planner's records of requests. This module owns the records and the ids by which the decision cores know
//! them.

use reedferry::{HostId, RequestId};
use slab::Slab;

/// Names a record, and tells it from those that had its slot before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKey {
    slot: u32,
    generation: u32,
}

impl RecordKey {
    /// The decision core's id for the record.
    pub fn request_id(self) -> RequestId {
        RequestId(u64::from(self.generation) << 32 | u64::from(self.slot))
    }

    /// The record behind a decision core's id.
    pub fn from_request_id(id: RequestId) -> Self {
        RecordKey {
            slot: id.0 as u32,
            generation: (id.0 >> 32) as u32,
        }
    }
}

/// A request that a forwarder reported. There is one for each open connection, so it is kept small.
pub struct RequestRecord {
    /// None for an orphan, which the decision core still has.
    session: Option<u32>,
    zone: u16,
    /// It waits in its zone's queue, and the decision core does not know it yet.
    pub is_queued: bool,
    /// What an answer is to bear.
    pub decision_sequence: u32,
    /// The forwarder's id for it.
    pub forwarder_id: u64,
    /// The host of its attempt or its connection.
    pub host: Option<HostId>,
}

impl RequestRecord {
    /// A record that a session holds.
    pub fn new(
        session: usize,
        zone: usize,
        forwarder_id: u64,
        decision_sequence: u32,
        host: Option<HostId>,
    ) -> Self {
        RequestRecord {
            session: Some(session as u32),
            zone: zone as u16,
            is_queued: false,
            decision_sequence,
            forwarder_id,
            host,
        }
    }

    /// The session that holds it; none for an orphan.
    pub fn session(&self) -> Option<usize> {
        self.session.map(|session| session as usize)
    }

    /// The zone it is of.
    pub fn zone(&self) -> usize {
        self.zone.into()
    }

    /// No session holds it any more.
    pub fn orphan(&mut self) {
        self.session = None;
    }
}

/// All records.
#[derive(Default)]
pub struct RequestTable {
    records: Slab<(u32, RequestRecord)>,
    last_generation: u32,
}

impl RequestTable {
    /// How many records there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Adds a record.
    pub fn insert(&mut self, record: RequestRecord) -> RecordKey {
        self.last_generation = self.last_generation.wrapping_add(1);
        let generation = self.last_generation;
        let slot = self.records.insert((generation, record)) as u32;
        RecordKey { slot, generation }
    }

    /// The record, unless it was removed.
    pub fn get(&self, key: RecordKey) -> Option<&RequestRecord> {
        self.records
            .get(key.slot as usize)
            .filter(|(generation, _)| *generation == key.generation)
            .map(|(_, record)| record)
    }

    /// The record, unless it was removed.
    pub fn get_mut(&mut self, key: RecordKey) -> Option<&mut RequestRecord> {
        self.records
            .get_mut(key.slot as usize)
            .filter(|(generation, _)| *generation == key.generation)
            .map(|(_, record)| record)
    }

    /// Removes a record.
    pub fn remove(&mut self, key: RecordKey) -> Option<RequestRecord> {
        self.get(key)?;
        Some(self.records.remove(key.slot as usize).1)
    }
}
