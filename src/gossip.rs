//! The byte form of the gossip that nodes exchange: one host's load. It owns the form and its
//! bounds. It must never accept a message that is malformed, of another version or out of range,
//! nor panic on any bytes.

use crate::endpoint::HostId;

/// The longest message that the transport between nodes carries, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
const VERSION: u8 = 1;
/// Steps into which a load of one is divided; the last level stands for all beyond.
const STEPS_PER_UNIT_LOAD: f64 = 64.0;

/// A host's id hashed down to 24 bits.
pub fn host_tag(host: HostId) -> u32 {
    let mixed = (host.0 ^ host.0 >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    ((mixed ^ mixed >> 32).wrapping_mul(0x94D0_49BB_1331_11EB) >> 40) as u32
}

/// Encodes a host's load, as demanded load over capacity.
pub fn encode(host: HostId, load: f64) -> Vec<u8> {
    let [_, a, b, c] = host_tag(host).to_be_bytes();
    vec![
        VERSION,
        a,
        b,
        c,
        (load * STEPS_PER_UNIT_LOAD).round().clamp(0.0, 255.0) as u8,
    ]
}

/// The host's tag and its load; `None` where any byte is malformed.
pub fn decode(bytes: &[u8]) -> Option<(u32, f64)> {
    let &[VERSION, a, b, c, level] = bytes else {
        return None;
    };
    Some((
        u32::from_be_bytes([0, a, b, c]),
        f64::from(level) / STEPS_PER_UNIT_LOAD,
    ))
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
