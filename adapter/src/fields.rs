//! Fields of records: big-endian numbers at fixed offsets.

use reedferry::{HostId, Nanos};

/// How many values a load report has at the most.
const MAX_LOAD_METRICS: usize = 4;
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: f64 = 1e6;

fn bytes<const N: usize>(record: &[u8], offset: usize) -> [u8; N] {
    record[offset..offset + N]
        .try_into()
        .expect("a slice of N bytes")
}

pub fn u16_at(record: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes(bytes(record, offset))
}

pub fn u32_at(record: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes(bytes(record, offset))
}

pub fn u64_at(record: &[u8], offset: usize) -> u64 {
    u64::from_be_bytes(bytes(record, offset))
}

/// The number, or 0 where it is not finite.
pub fn finite_or_zero(number: f64) -> f64 {
    if number.is_finite() {
        number
    } else {
        0.0
    }
}

pub fn f32_at(record: &[u8], offset: usize) -> f64 {
    finite_or_zero(f64::from(f32::from_be_bytes(bytes(record, offset))))
}

pub fn f64_at(record: &[u8], offset: usize) -> f64 {
    f64::from_be_bytes(bytes(record, offset))
}

/// A host: its four address bytes and its port.
pub fn host_at(record: &[u8], offset: usize) -> HostId {
    let (address, port) = (u32_at(record, offset), u16_at(record, offset + 4));
    HostId(u64::from(address) << 16 | u64::from(port))
}

/// The six bytes of a host, as [`host_at`] reads them.
pub fn host_bytes(host: HostId) -> [u8; 6] {
    bytes(&host.0.to_be_bytes(), 2)
}

/// A load report: the number of its values, then these.
pub fn load_metrics_at(record: &[u8], offset: usize) -> Vec<f64> {
    let count = usize::from(record[offset]).min(MAX_LOAD_METRICS);
    (0..count)
        .map(|index| f32_at(record, offset + 1 + 4 * index))
        .collect()
}

/// A time as the bench's milliseconds.
pub fn milliseconds_bytes(time: Nanos) -> [u8; 8] {
    (time as f64 / NANOS_PER_MILLI).to_be_bytes()
}
