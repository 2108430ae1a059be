//! Tests of the staleness deadline of a watch.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SWEEP_INTERVAL: Nanos = 100 * MILLI;
const GRACE: Nanos = 50 * MILLI;

fn staleness_of_node(node: u32, nodes: u32, pushed: bool) -> WatchStaleness {
    WatchStaleness::new(
        &BalancerSettings {
            node_index: node,
            node_count: nodes,
            endpoints_are_polled: !pushed,
            ..BalancerSettings::default()
        },
        GRACE,
        0,
    )
}

/// So many nodes whose watches begin at one moment, as after a change, and fall silent at drawn
/// ones, beside a service that does `rate` calls a second in turn and rejects beyond a queue of one
/// second. Returns the latest that one heard beyond the moment from which it was accountable for
/// what it missed, in milliseconds, and the calls.
fn simulate_silent_watches(seed: u64, nodes: u32, rate: f64, pushed: bool) -> (i64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut service_free_at, mut latest, mut calls) = (0, i64::MIN, 0);
    let mut next = BinaryHeap::new();
    let mut all = Vec::new();
    for node in 0..nodes {
        let mut staleness = staleness_of_node(node, nodes, pushed);
        let started_at = rng.random_range(0..200 * MILLI);
        let (max_wait, fell_silent_at) = (
            staleness.watch_wait(),
            started_at + rng.random_range(0..2 * SECOND),
        );
        staleness.record_answer(started_at);
        staleness.record_watch_start(started_at, max_wait);
        let fall_silent =
            staleness.silence_deadline(started_at, max_wait) + rng.random_range(0..SWEEP_INTERVAL);
        next.push(Reverse((fall_silent, node as usize, 0)));
        all.push((
            staleness,
            (fell_silent_at + NOTIFICATION_TIMEOUT)
                .max(started_at + max_wait + NOTIFICATION_TIMEOUT_AFTER_WAIT),
        ));
    }
    while let Some(Reverse((now, node, what))) = next.pop() {
        let (staleness, deadline) = &mut all[node];
        if what == 1 {
            latest = latest.max(now as i64 - *deadline as i64);
            assert!(staleness.stale_window().start == *deadline + GRACE);
            staleness.record_answer(now);
            continue;
        }
        let mut failure = CallFailure::Silent;
        if what == 2 {
            calls += 1;
            service_free_at = now.max(service_free_at);
            if service_free_at <= now + SECOND {
                service_free_at += (SECOND as f64 / rate) as Nanos;
                next.push(Reverse((service_free_at, node, 1)));
                continue;
            }
            failure = CallFailure::Rejected;
        }
        let at = staleness.record_failure(now, failure);
        let late = if at > now {
            rng.random_range(0..SWEEP_INTERVAL)
        } else {
            0
        };
        next.push(Reverse((at + late, node, 2)));
    }
    (latest / MILLI as i64, calls)
}

/// Guards against watches given up at the very moment from which a node is accountable for what
/// they missed, and all at once.
#[test]
fn watches_that_fall_silent_together_are_renewed_before_what_they_missed_counts_as_told() {
    for (seed, pushed) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
        for nodes in [1, 6, 40, 350, 1100] {
            // Little more than the terms ask of a service: a call of each within ten seconds, and two a second.
            let (latest, calls) =
                simulate_silent_watches(seed, nodes, f64::from(nodes.max(20)) / 10.0, pushed);
            assert!(
                latest < 0,
                "seed {seed}, {nodes} nodes: {latest} ms too late"
            );
            assert!(
                calls as f64 <= 1.2 * f64::from(nodes) + 1.0,
                "seed {seed}, {nodes} nodes: {calls} calls"
            );
        }
    }
}

/// Lets a watch fall silent; returns when that was noticed.
fn fall_silent(staleness: &mut WatchStaleness) -> Nanos {
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    let at = staleness.silence_deadline(10 * SECOND, staleness.watch_wait());
    assert_eq!(
        staleness.record_failure(at, CallFailure::Silent),
        at,
        "at once"
    );
    at
}

/// Guards the 6 s after a call that failed, which go before what the wait of a silent watch would
/// leave.
#[test]
fn an_urgent_call_is_retried_until_answered_and_the_node_is_closed_from_when_it_is_accountable() {
    let mut staleness = staleness_of_node(0, 1, false);
    let first = fall_silent(&mut staleness);
    let accountable_from = first - WATCH_SILENCE_TIMEOUT + NOTIFICATION_TIMEOUT_AFTER_WAIT;
    assert_eq!(
        staleness.stale_window(),
        accountable_from + GRACE..accountable_from + GRACE + 10 * SECOND,
        "the call in its place is out"
    );
    let (mut now, mut attempts) = (first, 0);
    let deadline = 10 * SECOND + NOTIFICATION_TIMEOUT + GRACE;
    while now < deadline + 10 * SECOND {
        staleness.record_watch_start(now, MILLI);
        let at = staleness.record_failure(now, CallFailure::Rejected);
        assert_eq!(
            staleness.stale_window(),
            deadline..deadline + 10 * SECOND,
            "it was refused"
        );
        assert!(at > now && at <= now + 2 * SECOND);
        (now, attempts) = (at, attempts + 1);
    }
    assert!((1..30).contains(&attempts), "{attempts} tries");
    assert!(
        staleness.record_failure(now, CallFailure::Rejected) <= now + 4 * SECOND,
        "it goes on for ever"
    );
    staleness.record_answer(now);
    assert_eq!(staleness.stale_window().start, Nanos::MAX, "shut for ever");
}

/// Guards against a node that calls again only after what it may have missed counts as told.
#[test]
fn a_watch_that_was_rejected_or_broke_is_retried_several_times_within_six_seconds() {
    for (failure, node) in [CallFailure::Rejected, CallFailure::Disconnected]
        .into_iter()
        .flat_map(|h| [(h, 0), (h, 349)])
    {
        let mut staleness = staleness_of_node(node, 350, false);
        staleness.record_answer(10 * SECOND);
        staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
        staleness.record_awake(15 * SECOND);
        let (mut now, mut attempts) = (staleness.record_failure(15 * SECOND, failure), 0);
        assert!(now <= 15 * SECOND + MAX_RECONNECT_SPREAD, "{failure:?}");
        while now < 15 * SECOND + NOTIFICATION_TIMEOUT {
            staleness.record_watch_start(now, staleness.watch_wait());
            (now, attempts) = (staleness.record_failure(now, failure), attempts + 1);
        }
        assert!(
            (2..12).contains(&attempts),
            "{failure:?}, node {node}: {attempts} tries"
        );
        let stale_window = staleness.stale_window().start;
        assert!(
            if failure == CallFailure::Rejected {
                stale_window == 21 * SECOND + GRACE
            } else {
                stale_window > now
            },
            "{failure:?}"
        );
    }
}

/// Guards against a service that restarts and is called by all at once, three times by each: for
/// what changed since a version that it never had, for the whole list, and for the next watch.
#[test]
fn a_service_that_restarts_is_called_by_the_nodes_in_turn() {
    for (nodes, most) in [(6, 6), (16, 10), (40, 24), (350, 180)] {
        let mut calls = Vec::new();
        for node in 0..nodes {
            let balancer_settings = BalancerSettings {
                node_index: node,
                node_count: nodes,
                endpoints_are_polled: true,
                max_poll_interval: 4 * SECOND,
                ..BalancerSettings::default()
            };
            let mut staleness = WatchStaleness::new(&balancer_settings, 300 * MILLI, 0);
            staleness.record_answer(SECOND);
            staleness.record_watch_start(SECOND, staleness.watch_wait());
            staleness.record_awake(2 * SECOND);
            let first = staleness.record_failure(2 * SECOND, CallFailure::Disconnected);
            staleness.record_watch_start(first, MILLI);
            let second = staleness.record_failure(first, CallFailure::Malformed);
            staleness.record_watch_start(second, 0);
            staleness.record_answer(second);
            calls.extend([first, second, second]);
        }
        calls.sort_unstable();
        let within = |from: &Nanos| {
            calls
                .iter()
                .filter(|at| *at >= from && **at < from + 300 * MILLI)
                .count()
        };
        let soon = calls
            .iter()
            .filter(|at| **at < 2 * SECOND + 300 * MILLI)
            .count();
        let at_once = calls.iter().map(within).max().unwrap_or(0);
        assert!(
            soon <= most,
            "{nodes} nodes: {soon} calls in the first moment"
        );
        assert!(
            at_once <= most + 3,
            "{nodes} nodes: {at_once} calls in one moment"
        );
        assert!(
            calls.iter().all(|at| *at < 5 * SECOND),
            "{nodes} nodes: late"
        );
    }
}

/// Guards against a node that rejects all while the list service is down, of which nothing counts
/// as told; and one that takes what a silent watch missed for never told, as the service is gone by
/// then.
#[test]
fn a_service_that_is_down_closes_the_node_only_for_what_was_missed_before() {
    for pushed in [false, true] {
        let mut staleness = staleness_of_node(0, 1, pushed);
        let mut now = SECOND;
        staleness.record_answer(now);
        for _ in 0..50 {
            staleness.record_watch_start(now, MILLI);
            staleness.record_awake(now);
            now = staleness.record_failure(now + MILLI, CallFailure::Disconnected);
            assert!(
                staleness.stale_window().start
                    >= now.min(staleness.call_started_at + NOTIFICATION_TIMEOUT),
                "pushed {pushed}"
            );
            assert!(!staleness.stale_window().contains(&now), "pushed {pushed}");
        }
        let mut staleness = staleness_of_node(0, 1, pushed);
        let mut now = fall_silent(&mut staleness);
        let accountable_from =
            now - WATCH_SILENCE_TIMEOUT + NOTIFICATION_TIMEOUT_AFTER_WAIT + GRACE;
        for _ in 0..5 {
            staleness.record_watch_start(now, MILLI);
            now = staleness.record_failure(now + MILLI, CallFailure::Disconnected);
            assert_eq!(
                staleness.stale_window().start,
                accountable_from,
                "pushed {pushed}"
            );
        }
    }
}

/// Guards against an answer that came garbled, and the drain in it known seconds after it counts as
/// told; such a service stormed.
#[test]
fn an_unreadable_answer_is_retried_at_once_but_not_for_ever() {
    let mut staleness = staleness_of_node(3, 4, false);
    assert_eq!(
        staleness.record_failure(SECOND, CallFailure::Malformed),
        SECOND
    );
    let again = staleness.record_failure(SECOND + MILLI, CallFailure::Malformed);
    assert!(again > SECOND + MILLI && again < SECOND + GRACE);
    assert_eq!(
        staleness.stale_window(),
        SECOND + GRACE..SECOND + GRACE + 10 * SECOND,
        "told when it was written"
    );
    let (mut now, mut attempts) = (again, 0);
    while now < 20 * SECOND {
        (now, attempts) = (
            staleness.record_failure(now, CallFailure::Malformed),
            attempts + 1,
        );
    }
    assert!(attempts < 40, "{attempts} tries");
}

/// Guards against a process that was stalled while its watch ended, and counts what it missed from
/// when it went on.
#[test]
fn what_a_process_missed_while_stalled_counts_from_before_that() {
    let mut staleness = staleness_of_node(0, 1, false);
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    staleness.record_awake(11 * SECOND);
    staleness.record_failure(25 * SECOND, CallFailure::Disconnected);
    assert!(staleness.stale_window().contains(&(25 * SECOND)));
}

/// How a list service stands.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    Well,
    Gone,
    Busy,
    Mute,
    Garbled,
}

/// Guards against any order of silence, reset, rejection and garbled lists in which a node sends
/// something to a host that drains, as it does not know by when it had to have heard. A change may
/// come in any moment in which the service is there.
#[test]
#[expect(clippy::too_many_lines, reason = "one simulation, step by step")]
fn whatever_the_service_does_a_node_is_closed_wherever_it_may_have_missed_a_change_that_counts_as_told(
) {
    let mut closed = 0;
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = [1, 6, 40, 350][seed as usize % 4];
        let mut staleness = staleness_of_node(rng.random_range(0..nodes), nodes, false);
        let (mut service, mut until) = (Service::Well, rng.random_range(0..5 * SECOND));
        // The call that is out: since when, how long it may wait, and whether it is heard.
        let mut call: Option<(Nanos, Nanos, bool)> = None;
        let (mut next, mut missed, mut refused) = (0, None, false);
        // A silent watch is kept until the call in its place has come to something.
        let (mut kept, mut seen) = (false, true);
        for now in (0..120 * SECOND).step_by(10 * MILLI as usize) {
            if now >= until {
                let all = [
                    Service::Well,
                    Service::Gone,
                    Service::Busy,
                    Service::Mute,
                    Service::Garbled,
                ];
                (service, until) = (
                    all[rng.random_range(0..5)],
                    now + rng.random_range(0..9 * SECOND),
                );
                // Nobody can know that it was there between two tries.
                missed = missed.filter(|_| service != Service::Gone || seen);
                seen &= service != Service::Gone;
                if let Some((_, _, heard)) = &mut call {
                    *heard &= service != Service::Mute;
                }
            }
            let failed = match (&call, service) {
                (None, _) if now < next => None,
                (None, Service::Busy) => Some(CallFailure::Rejected),
                (None | Some(_), Service::Gone) => Some(CallFailure::Disconnected),
                (None, Service::Garbled) => Some(CallFailure::Malformed),
                (None, Service::Well | Service::Mute) => {
                    let max_wait = if refused {
                        MILLI
                    } else {
                        staleness.watch_wait()
                    };
                    staleness.record_watch_start(now, max_wait);
                    if service == Service::Well {
                        // What was missed comes at once.
                        staleness.record_answer(now);
                        staleness.record_watch_start(now, staleness.watch_wait());
                        (missed, kept) = (None, false);
                    }
                    call = Some((now, max_wait, service == Service::Well));
                    None
                }
                (Some((started_at, max_wait, heard)), _)
                    if now >= staleness.silence_deadline(*started_at, *max_wait) =>
                {
                    // A watch that is well is answered before that, with nothing.
                    if *heard {
                        None
                    } else {
                        Some(CallFailure::Silent)
                    }
                }
                _ => None,
            };
            seen |= service != Service::Gone && (failed.is_some() || call.is_some());
            if let Some(failure) = failed {
                if call.is_none() {
                    staleness.record_watch_start(
                        now,
                        if failure == CallFailure::Malformed {
                            staleness.watch_wait()
                        } else {
                            MILLI
                        },
                    );
                }
                if failure == CallFailure::Malformed {
                    missed = missed
                        .or(Some(now))
                        .map(|at: Nanos| at.min(now.saturating_sub(NOTIFICATION_TIMEOUT)));
                }
                if failure == CallFailure::Disconnected && call.is_some() {
                    // A watch that was silent and then broke can't be told from one that was well until then.
                    missed = None;
                }
                kept = failure == CallFailure::Silent
                    && call.is_some_and(|(_, max_wait, _)| max_wait > CALL_SILENCE_TIMEOUT);
                (call, refused) = (None, failure != CallFailure::Silent || refused);
                next = staleness.record_failure(now, failure);
            }
            if let Some((started_at, max_wait, true)) = call {
                if now >= started_at + max_wait {
                    staleness.record_answer(now);
                    staleness.record_watch_start(now, staleness.watch_wait());
                    call = Some((now, staleness.watch_wait(), true));
                }
                refused = false;
            }
            staleness.record_awake(now);
            // What it does not hear from now on.
            if !call.is_some_and(|(_, _, heard)| heard) && service != Service::Gone {
                missed = missed.or(Some(now));
            }
            let waits =
                kept || call.is_some_and(|(_, max_wait, _)| max_wait > CALL_SILENCE_TIMEOUT);
            let deadline = missed
                .filter(|_| !waits)
                .is_some_and(|at| now > at + NOTIFICATION_TIMEOUT + GRACE + 20 * MILLI);
            let stale_window = staleness.stale_window();
            closed += u64::from(stale_window.contains(&now));
            assert!(
                !deadline || now >= stale_window.start,
                "seed {seed}, at {} ms: {service:?}, {stale_window:?}",
                now / MILLI
            );
        }
    }
    assert!(closed > 0, "too tame");
}

/// Guards against a node that hears seconds late that a service is back, whose lists are pushed.
#[test]
fn a_pushing_service_that_is_gone_is_retried_within_the_grace_and_a_busy_one_less_often() {
    for (failure, most) in [
        (CallFailure::Disconnected, GRACE),
        (CallFailure::Rejected, 2 * SECOND),
        (CallFailure::Silent, 0),
    ] {
        let mut staleness = staleness_of_node(5, 9, true);
        assert_eq!(staleness.record_failure(0, failure), 0);
        let mut now = 0;
        for _ in 0..30 {
            let at = staleness.record_failure(now, failure);
            assert!(
                at <= now + most && (at > now || failure == CallFailure::Silent),
                "{failure:?}"
            );
            now = at;
        }
        assert!(
            failure != CallFailure::Rejected || now > 10 * SECOND,
            "a storm at a busy service"
        );
    }
    let mut staleness = staleness_of_node(5, 9, true);
    staleness.record_service_switch(0);
    let (mut now, mut attempts) = (MILLI, 0);
    while now < NOTIFICATION_TIMEOUT_AFTER_SWITCH {
        now = staleness.record_failure(now, CallFailure::Rejected);
        attempts += 1;
    }
    assert!((4..30).contains(&attempts), "{attempts}");
}

/// Guards against a service that is known to be slow given up before it can answer, and any other
/// waited for as long.
#[test]
fn a_slow_service_is_waited_for_as_long_as_it_takes_within_bounds() {
    let mut staleness = staleness_of_node(0, 1, false);
    let usual = (
        staleness.silence_deadline(0, 0),
        staleness.silence_deadline(0, 10 * SECOND),
    );
    for (took, wanted) in [
        (100 * MILLI, usual),
        (2 * SECOND, (3 * SECOND, 13 * SECOND)),
        (
            60 * SECOND,
            (MAX_ANSWER_TIMEOUT, 10 * SECOND + MAX_ANSWER_TIMEOUT),
        ),
        (0, usual),
    ] {
        staleness.record_latency(10 * SECOND + took, 10 * SECOND, 0);
        assert_eq!(
            (
                staleness.silence_deadline(0, 0),
                staleness.silence_deadline(0, 10 * SECOND)
            ),
            wanted,
            "{took}"
        );
    }
    // News tells nothing of that; another service has a pace of its own.
    staleness.record_latency(15 * SECOND, 10 * SECOND, 0);
    staleness.record_latency(31 * SECOND, 30 * SECOND, 20 * SECOND);
    assert_eq!(staleness.silence_deadline(0, 0), MAX_ANSWER_TIMEOUT);
    staleness.record_service_switch(40 * SECOND);
    assert_eq!(staleness.silence_deadline(0, 0), usual.0);
}

/// Guards against a node closed to new work though it hears late; one that is open though what it
/// heard is from before what it missed.
#[test]
fn a_late_answer_counts_from_when_its_call_was_sent() {
    let mut staleness = staleness_of_node(0, 1, false);
    let at = fall_silent(&mut staleness);
    let accountable_from = staleness.stale_window().start;
    staleness.record_watch_start(at, 0);
    // The answer of the call that fell silent says no more than was known when it went out.
    staleness.record_late_answer(10 * SECOND);
    assert_eq!(staleness.stale_window().start, accountable_from);
    staleness.record_failure(at + 2 * SECOND, CallFailure::Silent);
    staleness.record_late_answer(at);
    assert_eq!(
        staleness.stale_window().start,
        at + NOTIFICATION_TIMEOUT + GRACE
    );
    // What came garbled counts as told when it was written, whatever an earlier call brings.
    let garbled = at + 3 * SECOND;
    staleness.record_failure(garbled, CallFailure::Malformed);
    assert_eq!(staleness.stale_window().start, garbled + GRACE);
    staleness.record_late_answer(garbled - MILLI);
    assert_eq!(staleness.stale_window().start, garbled + GRACE);
    staleness.record_late_answer(garbled);
    assert_eq!(
        staleness.stale_window().start,
        garbled + NOTIFICATION_TIMEOUT + GRACE
    );
}

/// Guards against new work for hosts that drain while the first pushed list is on its way; a new
/// process that is closed to new work for long where its service is down or silent.
#[test]
fn a_new_process_is_closed_from_its_grace_on_until_its_first_pushed_list_or_its_failure() {
    for (pushed, first) in [
        (true, GRACE),
        (
            false,
            MAX_WATCH_WAIT + NOTIFICATION_TIMEOUT_AFTER_WAIT + GRACE,
        ),
    ] {
        for failure in [
            CallFailure::Silent,
            CallFailure::Disconnected,
            CallFailure::Rejected,
        ] {
            let mut staleness = staleness_of_node(0, 1, pushed);
            staleness.record_watch_start(0, MAX_WATCH_WAIT);
            assert_eq!(staleness.stale_window().start, first);
            staleness.record_failure(2 * SECOND, failure);
            assert!(
                staleness.stale_window().start >= NOTIFICATION_TIMEOUT + GRACE,
                "{failure:?}: {:?}",
                staleness.stale_window()
            );
            staleness.record_answer(3 * SECOND);
            staleness.record_watch_start(3 * SECOND, MAX_WATCH_WAIT);
            assert_eq!(
                staleness.stale_window().start,
                3 * SECOND + MAX_WATCH_WAIT + NOTIFICATION_TIMEOUT_AFTER_WAIT + GRACE
            );
        }
    }
}
