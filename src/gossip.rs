//! The encoding of the gossip that nodes exchange: one message holds one host's load. Decoding
//! rejects malformed messages and other versions, and never panics.

use crate::endpoint::HostId;

/// The maximum length of a message that the transport between nodes carries, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// The first byte of every message.
const VERSION: u8 = 1;
/// The number of steps into which a load of 1 is divided; the highest level, 255, also stands for
/// all higher loads.
const STEPS_PER_UNIT_LOAD: f64 = 64.0;

/// Returns the hash of a host's id, in 24 bits.
pub fn host_tag(host: HostId) -> u32 {
    let mixed = (host.0 ^ host.0 >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    ((mixed ^ mixed >> 32).wrapping_mul(0x94D0_49BB_1331_11EB) >> 40) as u32
}

/// Encodes a host's load, which is its demanded load divided by its capacity.
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

/// Decodes a message to the host's tag and its load; `None` where the version or the length is
/// wrong.
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
