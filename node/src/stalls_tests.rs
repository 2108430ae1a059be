//! Tests of which spans are recorded as stalls, and for how long.

use super::*;

#[test]
fn only_the_overlap_with_stalls_counts_as_stalled_time() {
    let mut stalls = Stalls::default();
    stalls.record_turn(0, MIN_STALLED_TURN, MIN_STALLED_TURN + MIN_STALLED_WAIT);
    assert_eq!(
        stalls.stalled_time(0, SECOND),
        0,
        "a turn and a wait at the limit are not stalls"
    );
    // A long turn is followed by a long wait.
    stalls.record_turn(SECOND, 2 * SECOND, 2 * SECOND);
    stalls.record_turn(3 * SECOND, 3 * SECOND, 5 * SECOND);
    let (turn, wait) = (SECOND, 2 * SECOND - MAX_POLL_WAIT);
    assert_eq!(stalls.stalled_time(0, 10 * SECOND), turn + wait);
    assert_eq!(
        stalls.stalled_time(SECOND + SECOND / 2, 4 * SECOND),
        SECOND / 2 + SECOND - MAX_POLL_WAIT
    );
    assert_eq!(stalls.stalled_time(2 * SECOND, 3 * SECOND), 0);
    assert_eq!(stalls.adjusted_start(0, 10 * SECOND), turn + wait);
    assert_eq!(stalls.adjusted_start(4 * SECOND, 4 * SECOND), 4 * SECOND);
    // Two turns in a row leave sockets unserved, so the stall lasts from the beginning of the first.
    stalls.record_turn(6 * SECOND, 7 * SECOND, 7 * SECOND);
    stalls.record_turn(6 * SECOND, 8 * SECOND, 8 * SECOND);
    assert_eq!(
        stalls.stalled_time(0, 10 * SECOND),
        turn + wait + 2 * SECOND
    );
}

/// Guards against a list of stalls that grows for as long as a process is stalled.
#[test]
fn old_stalls_are_forgotten_and_their_number_is_bounded() {
    let mut stalls = Stalls::default();
    for turn in 0..2 * MAX_STALLS as u64 {
        let (from, to) = (turn * SECOND / 16, (turn + 1) * SECOND / 16);
        stalls.record_turn(from, to, to);
    }
    assert!(stalls.0.len() <= MAX_STALLS);
    let last = 1000 * SECOND;
    stalls.record_turn(last, last + SECOND, last + SECOND);
    assert_eq!(stalls.0.len(), 1);
}
