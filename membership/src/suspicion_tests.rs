//! Tests of the duration of suspicions.

use super::*;

const PERIOD: Nanos = 1000;
const SUSPECT: u64 = 7;
const ALIVE: usize = 16;
/// The shortest timeout: two periods plus a quarter of the binary logarithm of the fleet's size.
const MIN_TIMEOUT: Nanos = 3 * PERIOD;

fn expiry(suspicions: &Suspicions) -> Option<Nanos> {
    suspicions.next_expiry(ALIVE, PERIOD)
}

#[test]
fn each_confirmation_shortens_a_suspicion() {
    let mut suspicions = Suspicions::default();
    assert_eq!(expiry(&suspicions), None);
    suspicions.start(100, SUSPECT, 1);
    assert_eq!(expiry(&suspicions), Some(100 + 4 * MIN_TIMEOUT));
    let mut last = expiry(&suspicions);
    for accuser in [2, 3, 4] {
        assert!(suspicions.confirm(SUSPECT, accuser));
        assert!(expiry(&suspicions) < last);
        last = expiry(&suspicions);
    }
    assert_eq!(last, Some(100 + MIN_TIMEOUT));
    assert_eq!(suspicions.last_accuser(SUSPECT), 4);
    let expired = |now| suspicions.expired(now, ALIVE, PERIOD);
    assert_eq!(expired(100 + MIN_TIMEOUT - 1), [0; 0]);
    assert_eq!(expired(100 + MIN_TIMEOUT), [SUSPECT]);
}

/// Guards against an accuser that confirms a suspicion twice, and against confirmations for members that are not
/// suspected.
#[test]
fn each_accuser_counts_once_and_only_for_a_suspect() {
    let mut suspicions = Suspicions::default();
    assert!(!suspicions.confirm(SUSPECT, 1));
    suspicions.start(0, SUSPECT, 1);
    assert!(!suspicions.confirm(SUSPECT, 1));
    suspicions.clear(SUSPECT);
    assert!(!suspicions.contains(SUSPECT) && suspicions.len() == 0);
    assert_eq!(suspicions.last_accuser(SUSPECT), 0);
}

#[test]
fn a_stall_of_this_member_postpones_all_suspicions() {
    let mut suspicions = Suspicions::default();
    suspicions.start(0, SUSPECT, 1);
    suspicions.postpone(500);
    assert_eq!(expiry(&suspicions), Some(500 + 4 * MIN_TIMEOUT));
}
