//! Errors in the simulator's input, with the position at which they occur.

use std::io;
use thiserror::Error;

/// Why the adapter stops.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input ended inside a batch header.
    #[error("input ended after {received} of {expected} bytes of a batch header")]
    TruncatedHeader {
        /// The number of header bytes that arrived.
        received: usize,
        /// The size of a header, in bytes.
        expected: usize,
    },
    /// A batch header could not be read.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(#[source] io::Error),
    /// The input ended inside the body of a batch.
    #[error("batch {batch}: input ended after {received} of {expected} body bytes")]
    TruncatedBody {
        /// The batch's number.
        batch: u32,
        /// The number of body bytes that arrived.
        received: usize,
        /// The size of the body according to the header, in bytes.
        expected: usize,
    },
    /// The body of a batch could not be read.
    #[error("cannot read batch {batch}: {source}")]
    ReadBody {
        /// The batch's number.
        batch: u32,
        /// The error of the read.
        source: io::Error,
    },
    /// A reply could not be written.
    #[error("cannot write the reply: {0}")]
    WriteReply(#[source] io::Error),
    /// The clock of a batch is negative or not finite.
    #[error("batch {batch}: invalid clock {clock}, expected a finite number of at least 0")]
    InvalidClock {
        /// The batch's number.
        batch: u32,
        /// The value of the clock, in milliseconds.
        clock: f64,
    },
    /// The body of a batch is too short for its records.
    #[error("batch {batch}: {records} records need {needed} bytes, the body has {available}")]
    TooManyRecords {
        /// The batch's number.
        batch: u32,
        /// The number of records according to the header.
        records: usize,
        /// The size of these records, in bytes.
        needed: usize,
        /// The size of the body, in bytes.
        available: usize,
    },
    /// A record is malformed or cannot be handled.
    #[error("batch {batch}, record {index}: {error}")]
    Record {
        /// The batch's number.
        batch: u32,
        /// The index of the record in the batch, starting at 0.
        index: usize,
        /// The error in the record.
        error: RecordError,
    },
}

/// An error in a single record.
#[derive(Debug, Error)]
pub enum RecordError {
    /// No event has this code.
    #[error("unknown event code {0}, expected 0 to 11")]
    UnknownEventCode(u8),
    /// No kind of endpoint list has this code.
    #[error("unknown list kind {0}, expected 0, 2, 3 or 4")]
    UnknownListKind(u8),
    /// No host state has this code.
    #[error("unknown host state {0}, expected 0, 1 or 2")]
    UnknownHostState(u8),
    /// No outcome of an attempt has this code.
    #[error("unknown outcome {0}, expected 0 to 7")]
    UnknownOutcome(u8),
    /// A field refers to data outside the tail of the batch.
    #[error(
        "field at byte {field}: offset {offset} with length {length} is outside the tail of \
         {available} bytes"
    )]
    OutsideTail {
        /// The offset of the field in the record, in bytes.
        field: usize,
        /// The offset in the tail to which the field refers, in bytes.
        offset: usize,
        /// The number of items at that offset.
        length: usize,
        /// The size of the tail, in bytes.
        available: usize,
    },
    /// The event is for an instance that has not been started or was stopped.
    #[error("instance {0} has not been started or was stopped")]
    NotStarted(u32),
    /// The settings of an instance are invalid.
    #[error("{0}")]
    Settings(String),
}
