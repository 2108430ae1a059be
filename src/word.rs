//! The byte form of what nodes tell each other: one host's load. It owns the form and its bounds. It must
//! never take in a message that is malformed, of another version or out of range, nor panic on any bytes.

use crate::types::HostId;

/// The longest message that the way between nodes carries.
pub const LONGEST: usize = 256;
const VERSION: u8 = 1;
/// Steps that a load of one is told in; the last step stands for all beyond.
const FINE: f64 = 64.0;

/// A host's name mixed down to 24 bits.
pub fn tag(host: HostId) -> u32 {
    let mixed = (host.0 ^ host.0 >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    ((mixed ^ mixed >> 32).wrapping_mul(0x94D0_49BB_1331_11EB) >> 40) as u32
}

/// Tells a host's load, asked for over what it can do.
pub fn encode(host: HostId, load: f64) -> Vec<u8> {
    let [_, a, b, c] = tag(host).to_be_bytes();
    vec![
        VERSION,
        a,
        b,
        c,
        (load * FINE).round().clamp(0.0, 255.0) as u8,
    ]
}

/// The host's tag and its load; none where anything is not in order.
pub fn decode(bytes: &[u8]) -> Option<(u32, f64)> {
    let &[VERSION, a, b, c, level] = bytes else {
        return None;
    };
    Some((u32::from_be_bytes([0, a, b, c]), f64::from(level) / FINE))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_told_comes_back_within_its_steps() {
        for (load, least, most) in [
            (0.71, 0.70, 0.72),
            (0.0, 0.0, 0.0),
            (1e9, 3.9, 4.0),
            (-3.0, 0.0, 0.0),
        ] {
            let message = encode(HostId(7), load);
            let (named, heard) = decode(&message).unwrap();
            assert!(
                named == tag(HostId(7)) && (least..=most).contains(&heard),
                "{load} {heard}"
            );
            assert!(message.len() <= LONGEST);
        }
        assert!(decode(&encode(HostId(7), f64::NAN)).is_some_and(|(_, load)| load == 0.0));
    }

    /// Guards: a peer of another build, or bytes of nobody's, taken for loads.
    #[test]
    fn what_is_not_in_order_is_no_message() {
        let good = encode(HostId(9), 0.5);
        let newer = [&[VERSION + 1], &good[1..]].concat();
        let long = [good.as_slice(), &[0; 252]].concat();
        for bad in [
            &[][..],
            &[VERSION],
            &good[..4],
            &newer,
            &long,
            &[good.as_slice(), &good].concat(),
        ] {
            assert_eq!(decode(bad), None, "{bad:?}");
        }
    }
}
