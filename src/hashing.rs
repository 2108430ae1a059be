//! A hash that is the same at all nodes, so that they agree on a choice without communicating.

/// Hashes two integers to a number between 0 and 1, both exclusive.
pub(crate) fn hash_to_unit_interval(a: u64, b: u64) -> f64 {
    let mut x = a.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ b.wrapping_add(0xD1B5_4A32_D192_ED03);
    x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^= x >> 31;
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
