//! The order in which reported sockets are served.

use super::*;
use reedferry_runtime::Mark;

#[test]
fn what_a_turn_had_no_time_for_goes_first_in_the_next() {
    let one = |slot| Readiness {
        mark: Mark {
            part: 4,
            slot,
            stamp: 1,
        },
        read: true,
        write: false,
    };
    let clock = Clock::start();
    let mut ready = Ready::default();
    ready.add(vec![one(1), one(2), one(3)]);
    assert_eq!(
        ready.next(clock.read(), &clock).map(|r| r.mark.slot),
        Some(1)
    );
    // A turn that began long ago.
    assert!(ready
        .next(clock.read() - 2 * LONGEST_TURN, &clock)
        .is_none());
    assert!(ready.is_behind());
    ready.add(vec![one(4), one(2)]);
    ready.order_by(|one| u8::from(one.mark.slot != 4));
    let now = clock.read();
    let rest: Vec<u32> = std::iter::from_fn(|| ready.next(now, &clock))
        .map(|r| r.mark.slot)
        .collect();
    assert_eq!(rest, [4, 2, 3]);
    assert!(!ready.is_behind());
}
