//! How the time before a log line is attributed.

use super::*;

#[test]
fn lateness_is_told_apart_by_who_had_the_time() {
    let mut turn = Turn::default();
    // The turn before ended 30 ms after what was due, and this one began 20 ms after that.
    turn.begin(Some(100 * MILLI), 130 * MILLI, 150 * MILLI);
    let breakdown = turn.time_breakdown(155 * MILLI);
    assert_eq!(
        (breakdown.behind, breakdown.overslept),
        (30 * MILLI, 20 * MILLI)
    );
    assert_eq!((breakdown.turn, turn.lateness()), (5 * MILLI, 50 * MILLI));
    // Woken 40 ms late.
    turn.begin(Some(200 * MILLI), 160 * MILLI, 240 * MILLI);
    assert_eq!((turn.behind, turn.overslept), (0, 40 * MILLI));
    // In time, by what had become ready before.
    turn.begin(Some(900 * MILLI), 250 * MILLI, 260 * MILLI);
    assert_eq!((turn.behind, turn.overslept), (0, 0));
}

#[test]
fn the_processor_time_of_two_turns_is_counted() {
    let mut turn = Turn::default();
    turn.begin(None, 0, 0);
    turn.begin(None, 1, 1);
    let before = turn.time_breakdown(1).processor;
    let mut sum = 0u64;
    while turn.time_breakdown(1).processor < before + 2 * MILLI {
        sum = std::hint::black_box(sum.wrapping_add(1));
    }
    assert!(sum > 0);
}
