//! Tests of the encoding of gossip messages.

use super::*;

#[test]
fn an_encoded_load_decodes_to_within_a_step() {
    for (load, least, greatest) in [
        (0.71, 0.70, 0.72),
        (0.0, 0.0, 0.0),
        (1e9, 3.9, 4.0),
        (-3.0, 0.0, 0.0),
    ] {
        let message = encode(HostId(7), load);
        let (tag, decoded) = decode(&message).unwrap();
        assert!(
            tag == host_tag(HostId(7)) && (least..=greatest).contains(&decoded),
            "{load} {decoded}"
        );
        assert!(message.len() <= MAX_MESSAGE_BYTES);
    }
    assert!(decode(&encode(HostId(7), f64::NAN)).is_some_and(|(_, load)| load == 0.0));
}

/// Guards against taking messages of another build, or foreign bytes, for loads.
#[test]
fn malformed_messages_do_not_decode() {
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
