//! Test helpers that decode bytes from hexadecimal digits.

/// Decodes hexadecimal digits and ignores all other characters.
pub fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|d| u8::from_str_radix(std::str::from_utf8(d).unwrap(), 16).unwrap())
        .collect()
}

/// Decodes hexadecimal digits and pads the bytes with zeros to `size`.
pub fn padded(text: &str, size: usize) -> Vec<u8> {
    let mut bytes = hex(text);
    bytes.resize(size, 0);
    bytes
}
