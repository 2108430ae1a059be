//! Decodes batches of events. A batch consists of a header, records of a fixed size and a tail that
//! holds the data of variable length to which records refer.

use crate::error::{AdapterError, RecordError};
use crate::fields::{
    f32_at, f64_at, finite_or_zero, host_at, load_metrics_at, u16_at, u32_at, u64_at,
};
use reedferry::{
    AttemptOutcome, Endpoint, EndpointUpdate, Event, HostState, IncomingRequest, Nanos, RequestId,
};
use reedferry_settings::nanos;

/// The size of a batch header, in bytes.
pub const HEADER_BYTES: usize = 20;
/// The size of a record, in bytes.
pub(crate) const RECORD_BYTES: usize = 56;
/// The size of an entry of an endpoint list, in bytes.
const ENDPOINT_BYTES: usize = 24;
/// The flag of a request whose load is known.
const LOAD_KNOWN_FLAG: u16 = 1;
/// The flag of a request that arrives in the middle of its stream.
const MID_STREAM_FLAG: u16 = 8;
/// The load of a request is given in milliseconds of work per second, and the decision core
/// expects processor cores.
const LOAD_UNITS_PER_CORE: f64 = 1e3;
/// Measured load is given in millionths of a processor core.
const MEASURED_UNITS_PER_CORE: f64 = 1e6;

/// The header of a batch.
#[derive(Debug, PartialEq, Eq)]
pub struct Header {
    /// The batch's number.
    pub batch: u32,
    /// The time of the simulator's clock.
    pub now: Nanos,
    /// The size of the body that follows the header, in bytes.
    pub body_bytes: usize,
    /// The number of records in the body.
    pub records: usize,
}

impl Header {
    /// Decodes a header.
    ///
    /// # Errors
    /// Returns [`AdapterError::InvalidClock`] if the clock is negative or not finite.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Result<Self, AdapterError> {
        let batch = u32_at(bytes, 0);
        let clock = f64_at(bytes, 4);
        if !clock.is_finite() || clock < 0.0 {
            return Err(AdapterError::InvalidClock { batch, clock });
        }
        Ok(Header {
            batch,
            now: nanos(clock),
            body_bytes: u32_at(bytes, 12) as usize,
            records: u32_at(bytes, 16) as usize,
        })
    }
}

/// The operation that a record requests.
#[derive(Debug)]
pub enum Command<'a> {
    /// Starts an instance of the decision core.
    Start {
        /// The seed of the instance's random numbers.
        seed: u64,
        /// The settings of the instance, as JSON.
        settings: &'a [u8],
    },
    /// Stops an instance.
    Stop,
    /// Passes an event to an instance.
    Event(Event),
    /// Does nothing: the record holds a measurement that the decision core does not use.
    Ignore,
}

/// A batch of events.
pub struct Batch<'a> {
    number: u32,
    records: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Splits the body of a batch into its records and its tail.
    ///
    /// # Errors
    /// Returns [`AdapterError::TooManyRecords`] if the body is too short for its records.
    pub fn new(number: u32, records: usize, body: &'a [u8]) -> Result<Self, AdapterError> {
        let needed = records.saturating_mul(RECORD_BYTES);
        let Some((records, tail)) = body.split_at_checked(needed) else {
            return Err(AdapterError::TooManyRecords {
                batch: number,
                records,
                needed,
                available: body.len(),
            });
        };
        Ok(Batch {
            number,
            records,
            tail,
        })
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len() / RECORD_BYTES
    }

    /// Returns `error` together with the number of the batch and the index of the record.
    pub fn record_error(&self, index: usize, error: RecordError) -> AdapterError {
        AdapterError::Record {
            batch: self.number,
            index,
            error,
        }
    }

    /// Decodes a record and returns the number of its instance and the requested operation.
    ///
    /// # Errors
    /// Returns [`AdapterError::Record`] if the record is malformed.
    pub fn command(&self, index: usize) -> Result<(u32, Command<'a>), AdapterError> {
        let record = &self.records[index * RECORD_BYTES..(index + 1) * RECORD_BYTES];
        let command = self
            .decode(record)
            .map_err(|error| self.record_error(index, error))?;
        Ok((u32_at(record, 1), command))
    }

    fn decode(&self, record: &[u8]) -> Result<Command<'a>, RecordError> {
        let id = RequestId(u64::from(u32_at(record, 5)));
        Ok(Command::Event(match record[0] {
            0 => {
                return Ok(Command::Start {
                    seed: u64_at(record, 5),
                    settings: self.tail_at(record, 13, 1)?,
                })
            }
            1 => self.decode_endpoints_updated(record)?,
            2 => Event::RequestArrived(decode_request(record)),
            3 => Event::ConnectionEstablished {
                id,
                took: nanos(f64_at(record, 16)),
            },
            4 => Event::AttemptEnded {
                id,
                attempt: u32::from(record[25]),
                host: host_at(record, 17),
                request_over: record[23] != 0,
                ending: decode_outcome(record[24])?,
                load_metrics: load_metrics_at(record, 26),
            },
            5 => Event::ClientLeft { id },
            6 => Event::TimerFired {
                timer: u64_at(record, 5),
            },
            7 => Event::ProbeEnded {
                host: host_at(record, 14),
                ending: decode_outcome(record[13])?,
                load_metrics: load_metrics_at(record, 20),
            },
            8 => Event::GossipReceived {
                message: self.tail_at(record, 7, 1)?.to_vec(),
            },
            9 => return Ok(Command::Stop),
            10 => Event::ConnectionFound(decode_request(record), host_at(record, 46)),
            11 => match decode_measurement(record, id) {
                Some(event) => event,
                None => return Ok(Command::Ignore),
            },
            other => return Err(RecordError::UnknownEventCode(other)),
        }))
    }

    /// Returns the part of the tail to which the field at byte `field` refers: its offset in bytes
    /// and its length in items of `unit` bytes.
    fn tail_at(&self, record: &[u8], field: usize, unit: usize) -> Result<&'a [u8], RecordError> {
        let offset = u32_at(record, field) as usize;
        let length = u32_at(record, field + 4) as usize;
        length
            .checked_mul(unit)
            .and_then(|bytes| bytes.checked_add(offset))
            .and_then(|end| self.tail.get(offset..end))
            .ok_or(RecordError::OutsideTail {
                field,
                offset,
                length,
                available: self.tail.len(),
            })
    }

    fn decode_endpoints_updated(&self, record: &[u8]) -> Result<Event, RecordError> {
        let kind = match record[5] {
            0 => EndpointUpdate::Failed,
            2 => EndpointUpdate::Delta,
            3 => EndpointUpdate::Cached,
            4 => EndpointUpdate::Full,
            other => return Err(RecordError::UnknownListKind(other)),
        };
        let entries = self.tail_at(record, 10, ENDPOINT_BYTES)?;
        let endpoints = entries
            .chunks_exact(ENDPOINT_BYTES)
            .map(decode_endpoint)
            .collect::<Result<_, _>>()?;
        Ok(Event::EndpointsUpdated { kind, endpoints })
    }
}

fn decode_endpoint(entry: &[u8]) -> Result<Endpoint, RecordError> {
    let started = f64_at(entry, 16);
    Ok(Endpoint {
        id: host_at(entry, 0),
        zone: u16_at(entry, 6),
        cell: u16_at(entry, 9).into(),
        state: match entry[11] {
            0 => HostState::Gone,
            1 => HostState::Ready,
            2 => HostState::Draining,
            other => return Err(RecordError::UnknownHostState(other)),
        },
        size: f32_at(entry, 12),
        started: (started > 0.0).then(|| nanos(started)),
    })
}

fn decode_request(record: &[u8]) -> IncomingRequest {
    let flags = u16_at(record, 44);
    let non_zero = |number: u64| (number != 0).then_some(number);
    let load = finite_or_zero(f64_at(record, 28)).max(0.0) / LOAD_UNITS_PER_CORE;
    IncomingRequest {
        id: RequestId(u64::from(u32_at(record, 5))),
        class: usize::from(record[9]),
        key: non_zero(u64_at(record, 12)),
        time_left: nanos(f64_at(record, 20)),
        usual_load: (flags & LOAD_KNOWN_FLAG != 0).then_some(load),
        group: non_zero(u64_at(record, 36)),
        mid_stream: flags & MID_STREAM_FLAG != 0,
    }
}

/// Decodes a measurement on an open connection, or returns `None` for a kind that the decision
/// core does not use.
fn decode_measurement(record: &[u8], id: RequestId) -> Option<Event> {
    let value = f32_at(record, 17);
    match record[16] {
        1 => Some(Event::LoadMeasured {
            id,
            load: value / MEASURED_UNITS_PER_CORE,
        }),
        2 => Some(Event::MessageLatency {
            host: host_at(record, 10),
            latency: nanos(value),
        }),
        _ => None,
    }
}

fn decode_outcome(code: u8) -> Result<AttemptOutcome, RecordError> {
    Ok(match code {
        0 => AttemptOutcome::Completed,
        1 => AttemptOutcome::Error,
        2 => AttemptOutcome::Rejected,
        3 => AttemptOutcome::TimedOut,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::ConnectionLost,
        6 => AttemptOutcome::Cancelled,
        7 => AttemptOutcome::NeverSent,
        other => return Err(RecordError::UnknownOutcome(other)),
    })
}

#[cfg(test)]
#[path = "batch_tests.rs"]
mod tests;
