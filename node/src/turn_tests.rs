//! Tests of how the time before a log line is attributed.

use super::*;

#[test]
fn lateness_is_split_into_the_previous_turn_and_a_late_wake_up() {
    let mut turn = Turn::default();
    // The previous turn ended 30 ms after the deadline of the timer, and this one began 20 ms later.
    turn.begin(Some(100 * MILLI), 130 * MILLI, 150 * MILLI);
    let breakdown = turn.time_breakdown(155 * MILLI);
    assert_eq!(
        (breakdown.behind, breakdown.overslept),
        (30 * MILLI, 20 * MILLI)
    );
    assert_eq!((breakdown.turn, turn.lateness()), (5 * MILLI, 50 * MILLI));
    // The process was waiting and was woken 40 ms late.
    turn.begin(Some(200 * MILLI), 160 * MILLI, 240 * MILLI);
    assert_eq!((turn.behind, turn.overslept), (0, 40 * MILLI));
    // A socket became ready before the timer was due.
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
