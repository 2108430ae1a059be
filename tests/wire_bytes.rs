//! Tests the exact bytes of gossip messages, which must not change because an older and a newer
//! build share a fleet.

use reedferry::gossip::{decode, encode};
use reedferry::HostId;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn a_gossiped_load_keeps_its_bytes() {
    for (host, load, bytes) in [
        (7, 0.71, "016360fa2d"),
        (0, 0.0, "0100000000"),
        (u64::MAX, 9.0, "01c36713ff"),
        (0x0a01_0012_1388, 1.0, "01dc70ec40"),
    ] {
        let message = encode(HostId(host), load);
        assert_eq!(hex(&message), bytes, "host {host:x}");
        assert!(decode(&message).is_some());
    }
}
