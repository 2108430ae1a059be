//! Tests for the poller and its timers.

use super::*;

#[test]
fn left_over_sockets_come_first_and_each_socket_appears_once() {
    let readiness = |slot, read, write| Readiness {
        token: PollToken {
            component: 4,
            slot,
            generation: 9,
        },
        readable: read,
        writable: write,
    };
    let left = vec![readiness(7, true, false), readiness(2, false, true)];
    let merged = merge_readiness(
        left,
        vec![
            readiness(2, true, false),
            readiness(5, true, false),
            readiness(7, true, true),
        ],
    );
    let all: Vec<(u32, bool, bool)> = merged
        .iter()
        .map(|r| (r.token.slot, r.readable, r.writable))
        .collect();
    assert_eq!(all, [(7, true, true), (2, true, true), (5, true, false)]);
}

#[test]
fn tokens_are_returned_unchanged_and_timers_expire_in_order() {
    let token = PollToken {
        component: 3,
        slot: 0xab_cdef,
        generation: u32::MAX,
    };
    assert_eq!(PollToken::from_bits(token.to_bits()), token);
    let mut poller = Poller::new().unwrap();
    for (time, data) in [(20, 1), (10, 2), (20, 3)] {
        poller.set_timer(time, token, data);
    }
    let all: Vec<u64> = std::iter::from_fn(|| poller.pop_expired(20))
        .map(|(_, data)| data)
        .collect();
    assert_eq!(all, [2, 1, 3]);
    assert!(poller.pop_expired(u64::MAX).is_none());
}
