//! Hashes of names and keys that are the same on every node.

/// Returns the 64-bit FNV-1a hash of a text. Every node computes the same ids of hosts and groups from their
/// names without asking the others.
pub fn fnv1a(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the number for a key or group in a line: the value of up to 16 hexadecimal digits, or the hash of
/// any other text. Returns `None` for an empty text, `-` and zero, which mean that there is no key or group.
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
