//! Tests of the conditions under which a request may be attempted, repeated and rejected.

use super::*;
use crate::SECOND;

fn class(idempotency: Idempotency, idempotency_group: IdempotencyGroup) -> RequestClass {
    RequestClass {
        idempotency,
        idempotency_group,
        idempotency_window: 100,
        ..RequestClass::default()
    }
}

fn allowed() -> AttemptStart {
    AttemptStart {
        now: 1000 * MILLI,
        deadline: 2000 * MILLI,
        not_after: Nanos::MAX,
        client_waits: true,
        draining_since: None,
        drain_grace: 300 * MILLI,
        endpoints_stale: false,
        host_address_changed: false,
        group_changed: false,
    }
}

/// Returns states that forbid an attempt, each with the expected refusal.
fn forbidden() -> [(AttemptStart, Refusal); 7] {
    let now = allowed().now;
    let mut cases = [
        (allowed(), Refusal::ClientGone),
        (allowed(), Refusal::Expired),
        (allowed(), Refusal::EndpointsStale),
        (allowed(), Refusal::HostAddressChanged),
        (allowed(), Refusal::OutsideGroup),
        (allowed(), Refusal::OutsideWindow),
        (allowed(), Refusal::HostDraining),
    ];
    cases[0].0.client_waits = false;
    cases[1].0.deadline = now;
    cases[2].0.endpoints_stale = true;
    cases[3].0.host_address_changed = true;
    cases[4].0.group_changed = true;
    cases[5].0.not_after = now - 1;
    cases[6].0.draining_since = Some(now - 151 * MILLI);
    cases
}

#[test]
fn an_attempt_starts_only_while_every_condition_holds() {
    assert_eq!(may_start(&allowed()), Ok(()));
    for (start, refusal) in forbidden() {
        assert_eq!(may_start(&start), Err(refusal));
    }
    let last_moment = AttemptStart {
        not_after: allowed().now,
        ..allowed()
    };
    assert_eq!(may_start(&last_moment), Ok(()));
}

/// Guards against a request that is written after the grace period of a draining host, because it
/// was permitted at the last moment and the process stalled before it wrote.
#[test]
fn the_grace_period_covers_a_process_that_stalls_before_it_writes() {
    for grace in [100 * MILLI, 300 * MILLI, 500 * MILLI, SECOND] {
        let usable = usable_grace(grace);
        assert!(usable >= grace / 2);
        assert!(
            usable + MAX_STALL <= grace || usable == grace / 2,
            "{grace}"
        );
    }
    let now = allowed().now;
    let last = AttemptStart {
        draining_since: Some(now - 150 * MILLI),
        ..allowed()
    };
    assert_eq!(may_start(&last), Ok(()), "within the usable grace period");
}

#[test]
fn an_attempt_that_may_have_run_restricts_repeats_by_idempotency() {
    for idempotency_group in [
        IdempotencyGroup::All,
        IdempotencyGroup::Zone,
        IdempotencyGroup::Cell,
    ] {
        let (idempotent, with_key, non_idempotent) = (
            class(Idempotency::Idempotent, idempotency_group),
            class(Idempotency::WithKey, idempotency_group),
            class(Idempotency::NonIdempotent, idempotency_group),
        );
        for class in [&idempotent, &with_key, &non_idempotent] {
            assert_eq!(may_repeat(class, None, 5000), Ok(()));
            assert!(may_reject(class, false));
        }
        assert_eq!(may_repeat(&idempotent, Some(10), 5000), Ok(()));
        assert_eq!(may_repeat(&with_key, Some(10), 109), Ok(()));
        assert_eq!(
            may_repeat(&with_key, Some(10), 110),
            Err(Refusal::OutsideWindow)
        );
        assert_eq!(
            may_repeat(&non_idempotent, Some(10), 11),
            Err(Refusal::MayHaveRun)
        );
        assert!(may_reject(&idempotent, true) && !may_reject(&non_idempotent, true));
        assert_eq!(
            may_reject(&with_key, true),
            idempotency_group == IdempotencyGroup::All
        );
    }
}

#[test]
fn a_repeat_with_an_idempotency_key_stays_in_the_group_that_drops_it() {
    let first = Endpoint {
        zone: 1,
        cell: 4,
        ..Endpoint::default()
    };
    let (same_zone, same_cell) = (Endpoint { cell: 5, ..first }, Endpoint { zone: 2, ..first });
    let elsewhere = Err(Refusal::OutsideGroup);
    for (idempotency_group, other, expected) in [
        (IdempotencyGroup::All, same_zone, Ok(())),
        (IdempotencyGroup::Zone, same_zone, Ok(())),
        (IdempotencyGroup::Zone, same_cell, elsewhere),
        (IdempotencyGroup::Cell, same_zone, elsewhere),
        (IdempotencyGroup::Cell, same_cell, Ok(())),
    ] {
        assert_eq!(
            may_repeat_at(
                &class(Idempotency::WithKey, idempotency_group),
                Some(&first),
                &other
            ),
            expected
        );
        assert_eq!(
            may_repeat_at(
                &class(Idempotency::WithKey, idempotency_group),
                None,
                &other
            ),
            Ok(())
        );
        assert_eq!(
            may_repeat_at(
                &class(Idempotency::Idempotent, idempotency_group),
                Some(&first),
                &other
            ),
            Ok(())
        );
    }
}

/// Guards against a reserve so large that requests with little time get no attempt, and so small
/// that a process woken 70 ms late answers after the deadline.
#[test]
fn the_reserve_before_a_deadline_grows_with_the_time_left_and_is_bounded() {
    let deadline = 100 * SECOND;
    let reserve =
        |time_left, call_interval| deadline - answer_by(deadline, time_left, call_interval);
    assert_eq!(reserve(2 * SECOND, 4 * MILLI), 50 * MILLI);
    assert_eq!(reserve(30 * SECOND, 4 * MILLI), 50 * MILLI);
    assert_eq!(reserve(300 * MILLI, 4 * MILLI), 15 * MILLI);
    assert_eq!(
        reserve(20 * MILLI, 4 * MILLI),
        8 * MILLI,
        "at least two messages"
    );
    assert_eq!(answer_by(MILLI, SECOND, 4 * MILLI), 0);
}
