//! The planner's records of requests, and the ids under which the decision cores know them.

use reedferry::{HostId, RequestId};
use slab::Slab;

/// The key of a record. The generation distinguishes it from earlier records in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordKey {
    slot: u32,
    generation: u32,
}

impl RecordKey {
    /// Returns the id under which the decision core knows the record.
    pub fn request_id(self) -> RequestId {
        RequestId(u64::from(self.generation) << 32 | u64::from(self.slot))
    }

    /// Returns the key of the record that the decision core knows under `id`.
    pub fn from_request_id(id: RequestId) -> Self {
        RecordKey {
            slot: id.0 as u32,
            generation: (id.0 >> 32) as u32,
        }
    }
}

/// A request that a forwarder reported. There is one record for each open connection, so its size is kept small.
pub struct RequestRecord {
    /// The key of the session that holds the record; `None` for an orphan, which the decision core still knows.
    session: Option<u32>,
    zone: u16,
    /// Whether the request waits in its zone's queue, where the decision core does not know it yet.
    pub is_queued: bool,
    /// The number that the next answer must repeat.
    pub decision_sequence: u32,
    /// The forwarder's id of the request.
    pub forwarder_id: u64,
    /// The host of the attempt in flight or the open connection; `None` if there is neither.
    pub host: Option<HostId>,
}

impl RequestRecord {
    /// Creates a record that a session holds and that is not queued.
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

    /// Returns the key of the session that holds the record; `None` for an orphan.
    pub fn session(&self) -> Option<usize> {
        self.session.map(|session| session as usize)
    }

    /// Returns the index of the request's zone.
    pub fn zone(&self) -> usize {
        self.zone.into()
    }

    /// Detaches the record from its session.
    pub fn orphan(&mut self) {
        self.session = None;
    }
}

/// All records of requests, by their keys.
#[derive(Default)]
pub struct RequestTable {
    records: Slab<(u32, RequestRecord)>,
    last_generation: u32,
}

impl RequestTable {
    /// Returns the number of records, including orphans.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Adds a record and returns its key.
    pub fn insert(&mut self, record: RequestRecord) -> RecordKey {
        self.last_generation = self.last_generation.wrapping_add(1);
        let generation = self.last_generation;
        let slot = self.records.insert((generation, record)) as u32;
        RecordKey { slot, generation }
    }

    /// Returns the record; `None` if it was removed.
    pub fn get(&self, key: RecordKey) -> Option<&RequestRecord> {
        self.records
            .get(key.slot as usize)
            .filter(|(generation, _)| *generation == key.generation)
            .map(|(_, record)| record)
    }

    /// Returns the record for modification; `None` if it was removed.
    pub fn get_mut(&mut self, key: RecordKey) -> Option<&mut RequestRecord> {
        self.records
            .get_mut(key.slot as usize)
            .filter(|(generation, _)| *generation == key.generation)
            .map(|(_, record)| record)
    }

    /// Removes and returns a record; `None` if it was removed before.
    pub fn remove(&mut self, key: RecordKey) -> Option<RequestRecord> {
        self.get(key)?;
        Some(self.records.remove(key.slot as usize).1)
    }
}
