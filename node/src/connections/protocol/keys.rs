//! Hashes of names and keys, the same at every node.

/// FNV-1a. Every node computes the same host and group ids from their names, without talking to others.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// The number for a key or group in a line: a hexadecimal number as it stands, any other text by its hash.
/// None for an empty text, `-` and zero, which mean that there is none.
pub fn key_from_text(text: &str) -> Option<u64> {
    if text.is_empty() || text == "-" {
        return None;
    }
    let hexadecimal = text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let value = if hexadecimal {
        u64::from_str_radix(text, 16).unwrap_or(0)
    } else {
        fnv1a(text)
    };
    (value != 0).then_some(value)
}
