//! What can be wrong with the bench's input, and where.

use std::io;
use thiserror::Error;

/// Why the adapter cannot go on.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input ended within a batch header.
    #[error("input ended after {received} of {expected} bytes of a batch header")]
    TruncatedHeader {
        /// Bytes of it that arrived.
        received: usize,
        /// Bytes of a header.
        expected: usize,
    },
    /// A batch header could not be read.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(#[source] io::Error),
    /// The input ended within the body of a batch.
    #[error("batch {batch}: input ended after {received} of {expected} body bytes")]
    TruncatedBody {
        /// The batch's number.
        batch: u32,
        /// Bytes of it that arrived.
        received: usize,
        /// Bytes that its header announced.
        expected: usize,
    },
    /// The body of a batch could not be read.
    #[error("cannot read batch {batch}: {source}")]
    ReadBody {
        /// The batch's number.
        batch: u32,
        /// Why.
        source: io::Error,
    },
    /// A reply could not be written.
    #[error("cannot write the reply: {0}")]
    WriteReply(#[source] io::Error),
    /// The clock of a batch is no time.
    #[error("batch {batch}: the clock reads {clock}")]
    InvalidClock {
        /// The batch's number.
        batch: u32,
        /// What the clock reads, in milliseconds.
        clock: f64,
    },
    /// A batch has fewer bytes than its records take.
    #[error("batch {batch}: {records} records take {needed} bytes, body has {available}")]
    TooManyRecords {
        /// The batch's number.
        batch: u32,
        /// How many records its header announced.
        records: usize,
        /// The bytes that these take.
        needed: usize,
        /// The bytes that there are.
        available: usize,
    },
    /// A record is malformed, or cannot be handled.
    #[error("batch {batch}, record {index}: {error}")]
    Record {
        /// The batch's number.
        batch: u32,
        /// Which of its records, from 0.
        index: usize,
        /// What is wrong with it.
        error: RecordError,
    },
}

/// What is wrong with one record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// No event has this code.
    #[error("unknown event code {0}")]
    UnknownEventCode(u8),
    /// No kind of endpoint list has this code.
    #[error("unknown list kind {0}")]
    UnknownListKind(u8),
    /// No host state has this code.
    #[error("unknown host state {0}")]
    UnknownHostState(u8),
    /// No outcome of an attempt has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// A field points outside the batch's tail.
    #[error("field at byte {field} points at {offset}+{length}, tail has {available} bytes")]
    OutsideTail {
        /// Where the field stands in the record.
        field: usize,
        /// Where it points in the tail.
        offset: usize,
        /// How many items it announces there.
        length: usize,
        /// The bytes of the tail.
        available: usize,
    },
    /// The event is for an instance that was not started.
    #[error("instance {0} has not been started")]
    NotStarted(u32),
    /// The settings of an instance are invalid.
    #[error("{0}")]
    Settings(String),
}
