//! Encodes replies to batches. A reply consists of a header, one record for each action, and a tail
//! that holds log texts and gossip messages.

use crate::fields::{host_bytes, milliseconds_bytes};
use reedferry::{Action, RequestId};

/// The size of a reply's header, in bytes.
const HEADER_BYTES: usize = 12;
/// The size of a record, in bytes.
const RECORD_BYTES: usize = 24;
/// The address that stands for all other instances.
const BROADCAST_ADDRESS: [u8; 4] = [0xff; 4];

/// The reply to one batch.
pub struct Reply {
    batch: u32,
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Creates an empty reply to the batch with this number.
    pub fn new(batch: u32) -> Self {
        Reply {
            batch,
            records: Vec::new(),
            tail: Vec::new(),
        }
    }

    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u32, action: &Action) {
        let end = self.records.len() + RECORD_BYTES;
        self.records.push(action_code(action));
        self.records.extend(instance.to_be_bytes());
        match action {
            Action::StartAttempt {
                id, host, until, ..
            } => {
                self.push_request_id(*id);
                self.records.extend(host_bytes(*host));
                self.records.extend(milliseconds_bytes(*until));
            }
            Action::Reject { id, retry_after } => {
                self.push_request_id(*id);
                self.records.extend(milliseconds_bytes(*retry_after));
            }
            Action::Fail { id } | Action::Migrate { id } => self.push_request_id(*id),
            Action::CancelAttempt { id, attempt } => {
                self.push_request_id(*id);
                self.records.push(*attempt as u8);
            }
            Action::SetTimer { time, timer } => {
                self.records.extend(milliseconds_bytes(*time));
                self.records.extend(timer.to_be_bytes());
            }
            Action::PollEndpoints => {}
            // The kind of the watch: all changes from now on.
            Action::WatchEndpoints => self.records.push(1),
            Action::Probe { host } => self.records.extend(host_bytes(*host)),
            Action::Gossip { message } => {
                self.records.extend(BROADCAST_ADDRESS);
                self.push_tail(message);
            }
            Action::Log(text) => self.push_tail(text.as_bytes()),
        }
        self.records.resize(end, 0);
    }

    /// Returns the encoded reply.
    pub fn finish(self) -> Vec<u8> {
        let records = self.records.len() / RECORD_BYTES;
        let body_bytes = self.records.len() + self.tail.len();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body_bytes);
        bytes.extend(self.batch.to_be_bytes());
        bytes.extend((records as u32).to_be_bytes());
        bytes.extend((body_bytes as u32).to_be_bytes());
        bytes.extend(self.records);
        bytes.extend(self.tail);
        bytes
    }

    fn push_request_id(&mut self, id: RequestId) {
        self.records.extend((id.0 as u32).to_be_bytes());
    }

    /// Appends bytes to the tail, and their offset and length to the record.
    fn push_tail(&mut self, bytes: &[u8]) {
        let offset = self.tail.len() as u32;
        self.records.extend(offset.to_be_bytes());
        self.records.extend((bytes.len() as u32).to_be_bytes());
        self.tail.extend(bytes);
    }
}

/// Returns the protocol's code of an action.
fn action_code(action: &Action) -> u8 {
    match action {
        Action::Log(_) => 0,
        Action::Reject { .. } => 1,
        Action::PollEndpoints => 2,
        Action::Fail { .. } => 3,
        Action::Probe { .. } => 4,
        Action::StartAttempt { .. } => 5,
        Action::SetTimer { .. } => 6,
        Action::CancelAttempt { .. } => 8,
        Action::Gossip { .. } => 9,
        Action::WatchEndpoints => 10,
        Action::Migrate { .. } => 11,
    }
}

#[cfg(test)]
#[path = "reply_tests.rs"]
mod tests;
