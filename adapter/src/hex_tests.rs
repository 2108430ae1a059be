//! Bytes written as hexadecimal digits, for tests.

pub fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
        .collect()
}

/// A record or another part of a fixed size, filled up with zeros.
pub fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut all = hex(text);
    all.resize(size, 0);
    all
}
