//! Decodes and encodes the fields of records: big-endian numbers at fixed offsets.

use reedferry::{HostId, Nanos};

/// The maximum number of values in a load report.
const MAX_LOAD_METRICS: usize = 4;
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: f64 = 1e6;

fn array_at<const N: usize>(record: &[u8], offset: usize) -> [u8; N] {
    record[offset..offset + N]
        .try_into()
        .expect("a slice of N bytes")
}

pub fn u16_at(record: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes(array_at(record, offset))
}

pub fn u32_at(record: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes(array_at(record, offset))
}

pub fn u64_at(record: &[u8], offset: usize) -> u64 {
    u64::from_be_bytes(array_at(record, offset))
}

/// Returns the number, or 0 if it is not finite.
pub fn finite_or_zero(number: f64) -> f64 {
    if number.is_finite() {
        number
    } else {
        0.0
    }
}

pub fn f32_at(record: &[u8], offset: usize) -> f64 {
    finite_or_zero(f64::from(f32::from_be_bytes(array_at(record, offset))))
}

pub fn f64_at(record: &[u8], offset: usize) -> f64 {
    f64::from_be_bytes(array_at(record, offset))
}

/// Decodes a host, which consists of four address bytes and two port bytes.
pub fn host_at(record: &[u8], offset: usize) -> HostId {
    let (address, port) = (u32_at(record, offset), u16_at(record, offset + 4));
    HostId(u64::from(address) << 16 | u64::from(port))
}

/// Encodes a host as the six bytes that [`host_at`] decodes.
pub fn host_bytes(host: HostId) -> [u8; 6] {
    array_at(&host.0.to_be_bytes(), 2)
}

/// Decodes a load report, which consists of the number of its values and the values. Values beyond
/// the maximum number are ignored.
pub fn load_metrics_at(record: &[u8], offset: usize) -> Vec<f64> {
    let count = usize::from(record[offset]).min(MAX_LOAD_METRICS);
    (0..count)
        .map(|index| f32_at(record, offset + 1 + 4 * index))
        .collect()
}

/// Encodes a time in milliseconds, the unit of the protocol.
pub fn milliseconds_bytes(time: Nanos) -> [u8; 8] {
    (time as f64 / NANOS_PER_MILLI).to_be_bytes()
}
