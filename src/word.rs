//! The byte form of what nodes tell each other: what a report says of a host's load. It owns the form and
//! its bounds. It must never take in a message that is malformed, too long, of another version or out of
//! range, nor give a host more than the three bytes that its name is mixed down to.

use crate::types::HostId;

/// The longest message that goes out or is taken in.
pub const LONGEST: usize = 256;
const VERSION: u8 = 1;
const RECORD: usize = 4;
/// Steps that a load of one is told in, and the mark of a host that gave no answer.
const FINE: f64 = 64.0;
const SILENT: u8 = u8::MAX;

/// What is told of one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    pub tag: u32,
    /// Load asked for over what it can do; none where it did not answer.
    pub load: Option<f64>,
}

/// A host's name mixed down to 24 bits.
pub fn tag(host: HostId) -> u32 {
    let mixed = (host.0 ^ host.0 >> 29).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    ((mixed ^ mixed >> 32).wrapping_mul(0x94D0_49BB_1331_11EB) >> 40) as u32
}

/// What does not fit is left out.
pub fn encode(words: &[Word]) -> Vec<u8> {
    let mut bytes = vec![VERSION];
    for word in words.iter().take((LONGEST - 1) / RECORD) {
        bytes.extend(&word.tag.to_be_bytes()[1..]);
        let level = |load: f64| (load.max(0.0) * FINE).round().min(f64::from(SILENT - 1)) as u8;
        bytes.push(word.load.map_or(SILENT, level));
    }
    bytes
}

/// None where any of it is not in order.
pub fn decode(bytes: &[u8]) -> Option<Vec<Word>> {
    let (version, records) = bytes.split_first()?;
    if *version != VERSION || bytes.len() > LONGEST || records.is_empty() || records.len() % RECORD != 0 {
        return None;
    }
    let word = |r: &[u8]| Word {
        tag: u32::from_be_bytes([0, r[0], r[1], r[2]]),
        load: (r[3] != SILENT).then(|| f64::from(r[3]) / FINE),
    };
    Some(records.chunks_exact(RECORD).map(word).collect())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_told_comes_back_within_its_steps() {
        let words = [
            Word { tag: tag(HostId(7)), load: Some(0.71) },
            Word { tag: 1, load: None },
            Word { tag: 2, load: Some(1e9) },
        ];
        let heard = decode(&encode(&words)).unwrap();
        assert_eq!((heard[0].tag, heard[1].load), (words[0].tag, None));
        assert!((heard[0].load.unwrap() - 0.71).abs() < 0.01 && heard[2].load == Some(254.0 / 64.0));
        assert_eq!(encode(&[words[0]; 1000]).len(), 253);
    }

    /// Guards: a peer of another build, or bytes of nobody's, taken for loads.
    #[test]
    fn what_is_not_in_order_is_no_message() {
        let good = encode(&[Word { tag: 9, load: Some(0.5) }]);
        assert!(decode(&good).is_some());
        let newer = [&[VERSION + 1], &good[1..]].concat();
        let long = [&[VERSION], [0u8; 256].as_slice()].concat();
        for bad in [&[][..], &[VERSION], &good[..4], &newer, &long, &[good.as_slice(), &[0]].concat()] {
            assert_eq!(decode(bad), None, "{bad:?}");
        }
    }
}
