//! Tests for the clock.

use super::*;

#[test]
fn clones_share_an_offset_from_the_wall_clock_or_from_another_process() {
    let clock = Clock::start();
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_nanos() as Nanos;
    assert!(clock.read().abs_diff(unix) < 1_000_000_000);
    let (other, hour) = (clock.clone(), 3600 * 1_000_000_000);
    let before = clock.read();
    other.set_offset(clock.offset() - hour);
    let after = clock.read();
    assert!((before - hour..before).contains(&after), "{before} {after}");
    assert!(other.read() >= after);
}
