//! Tests of the order in which ready sockets are served.

use super::*;
use reedferry_runtime::PollToken;

#[test]
fn sockets_that_a_turn_had_no_time_for_are_served_first_in_the_next() {
    let ready_at = |slot| Readiness {
        token: PollToken {
            component: 4,
            slot,
            generation: 1,
        },
        readable: true,
        writable: false,
    };
    let clock = Clock::start();
    let mut ready = Ready::default();
    ready.add(vec![ready_at(1), ready_at(2), ready_at(3)]);
    assert_eq!(
        ready
            .next(clock.read(), &clock)
            .map(|readiness| readiness.token.slot),
        Some(1)
    );
    // A turn that began long ago serves nothing more.
    assert!(ready.next(clock.read() - 2 * MAX_TURN, &clock).is_none());
    assert!(ready.has_unserved());
    ready.add(vec![ready_at(4), ready_at(2)]);
    ready.order_by(|readiness| u8::from(readiness.token.slot != 4));
    let now = clock.read();
    let rest: Vec<u32> = std::iter::from_fn(|| ready.next(now, &clock))
        .map(|readiness| readiness.token.slot)
        .collect();
    assert_eq!(rest, [4, 2, 3]);
    assert!(!ready.has_unserved());
}
