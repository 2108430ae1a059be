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

fn allowed() -> Beginning {
    Beginning {
        now: 1000 * MILLI,
        deadline: 2000 * MILLI,
        not_after: Nanos::MAX,
        client_waits: true,
        leaving_since: None,
        drain_grace: 300 * MILLI,
        list_unheard: false,
        host_moved: false,
        group_changed: false,
    }
}

#[test]
fn an_attempt_begins_only_while_every_condition_holds() {
    assert_eq!(may_begin(&allowed()), Ok(()));
    let now = allowed().now;
    for (at, refusal) in [
        (
            Beginning {
                client_waits: false,
                ..allowed()
            },
            Refusal::ClientGone,
        ),
        (
            Beginning {
                deadline: now,
                ..allowed()
            },
            Refusal::Expired,
        ),
        (
            Beginning {
                list_unheard: true,
                ..allowed()
            },
            Refusal::ListNotHeard,
        ),
        (
            Beginning {
                host_moved: true,
                ..allowed()
            },
            Refusal::HostMoved,
        ),
        (
            Beginning {
                group_changed: true,
                ..allowed()
            },
            Refusal::OutsideGroup,
        ),
        (
            Beginning {
                not_after: now - 1,
                ..allowed()
            },
            Refusal::OutsideWindow,
        ),
        (
            Beginning {
                leaving_since: Some(now - 151 * MILLI),
                ..allowed()
            },
            Refusal::HostLeaving,
        ),
    ] {
        assert_eq!(may_begin(&at), Err(refusal));
    }
    assert_eq!(
        may_begin(&Beginning {
            not_after: now,
            ..allowed()
        }),
        Ok(())
    );
}

/// Guards: a line that begins in the last moment of the grace, by a process that is then held up before it writes.
#[test]
fn the_grace_covers_a_process_that_is_held_up_before_it_writes() {
    for grace in [100 * MILLI, 300 * MILLI, 500 * MILLI, SECOND] {
        let usable = usable_grace(grace);
        assert!(usable >= grace / 2);
        assert!(
            usable + LONGEST_STALL <= grace || usable == grace / 2,
            "{grace}"
        );
    }
    let now = allowed().now;
    let last = Beginning {
        leaving_since: Some(now - 150 * MILLI),
        ..allowed()
    };
    assert_eq!(may_begin(&last), Ok(()), "within what is left of the grace");
}

#[test]
fn what_may_have_run_binds_each_effect_in_its_own_way() {
    for idempotency_group in [
        IdempotencyGroup::All,
        IdempotencyGroup::Zone,
        IdempotencyGroup::Cell,
    ] {
        let (free, labelled, once) = (
            class(Idempotency::Idempotent, idempotency_group),
            class(Idempotency::WithKey, idempotency_group),
            class(Idempotency::NonIdempotent, idempotency_group),
        );
        for one in [&free, &labelled, &once] {
            assert_eq!(may_repeat(one, None, 5000), Ok(()));
            assert!(may_dismiss(one, false));
        }
        assert_eq!(may_repeat(&free, Some(10), 5000), Ok(()));
        assert_eq!(may_repeat(&labelled, Some(10), 109), Ok(()));
        assert_eq!(
            may_repeat(&labelled, Some(10), 110),
            Err(Refusal::OutsideWindow)
        );
        assert_eq!(may_repeat(&once, Some(10), 11), Err(Refusal::MayHaveRun));
        assert!(may_dismiss(&free, true) && !may_dismiss(&once, true));
        assert_eq!(
            may_dismiss(&labelled, true),
            idempotency_group == IdempotencyGroup::All
        );
    }
}

#[test]
fn a_labelled_repeat_stays_in_the_group_that_drops_it() {
    let first = Endpoint {
        zone: 1,
        cell: 4,
        ..Endpoint::default()
    };
    let (same_zone, same_cell) = (Endpoint { cell: 5, ..first }, Endpoint { zone: 2, ..first });
    let elsewhere = Err(Refusal::OutsideGroup);
    for (idempotency_group, other, wanted) in [
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
            wanted
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

/// Guards: requests with little time that get no attempt, and answers that a process woken 70 ms late gives too late.
#[test]
fn the_reserve_before_an_expiry_grows_with_the_time_there_was_and_is_bounded() {
    let deadline = 100 * SECOND;
    let reserve = |time_left, round| deadline - answer_by(deadline, time_left, round);
    assert_eq!(reserve(2 * SECOND, 4 * MILLI), 50 * MILLI);
    assert_eq!(reserve(30 * SECOND, 4 * MILLI), 50 * MILLI);
    assert_eq!(reserve(300 * MILLI, 4 * MILLI), 15 * MILLI);
    assert_eq!(
        reserve(20 * MILLI, 4 * MILLI),
        8 * MILLI,
        "two messages at the least"
    );
    assert_eq!(answer_by(MILLI, SECOND, 4 * MILLI), 0);
}
