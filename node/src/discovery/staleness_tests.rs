//! Tests of by when a node has to have heard.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const LOOK: Nanos = 100 * MILLI;
const GRACE: Nanos = 50 * MILLI;

fn one(node: u32, nodes: u32, pushed: bool) -> WatchStaleness {
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

/// So many nodes whose watches begin at one moment, as after a change, and fall silent at drawn ones, beside a
/// service that does `rate` calls a second in turn and turns away beyond a queue of one second. Gives the
/// latest that one heard beyond the moment from which it was held to what it missed, in milliseconds, and the calls.
fn silence(seed: u64, nodes: u32, rate: f64, pushed: bool) -> (i64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut free, mut latest, mut calls) = (0, i64::MIN, 0);
    let mut next = BinaryHeap::new();
    let mut all = Vec::new();
    for node in 0..nodes {
        let mut staleness = one(node, nodes, pushed);
        let since = rng.random_range(0..200 * MILLI);
        let (hold, fell) = (
            staleness.watch_wait(),
            since + rng.random_range(0..2 * SECOND),
        );
        staleness.record_answer(since);
        staleness.record_watch_start(since, hold);
        let noticed = staleness.silence_deadline(since, hold) + rng.random_range(0..LOOK);
        next.push(Reverse((noticed, node as usize, 0)));
        all.push((
            staleness,
            (fell + NOTIFICATION_TIMEOUT).max(since + hold + NOTIFICATION_TIMEOUT_AFTER_WAIT),
        ));
    }
    while let Some(Reverse((now, node, what))) = next.pop() {
        let (staleness, told) = &mut all[node];
        if what == 1 {
            latest = latest.max(now as i64 - *told as i64);
            assert!(staleness.stale_window().start == *told + GRACE);
            staleness.record_answer(now);
            continue;
        }
        let mut how = CallFailure::Silent;
        if what == 2 {
            calls += 1;
            free = now.max(free);
            if free <= now + SECOND {
                free += (SECOND as f64 / rate) as Nanos;
                next.push(Reverse((free, node, 1)));
                continue;
            }
            how = CallFailure::Rejected;
        }
        let at = staleness.record_failure(now, how);
        let late = if at > now {
            rng.random_range(0..LOOK)
        } else {
            0
        };
        next.push(Reverse((at + late, node, 2)));
    }
    (latest / MILLI as i64, calls)
}

/// Guards: watches given up at the very moment from which a node is held to what they missed, and all at once.
#[test]
fn watches_that_fall_silent_together_are_taken_up_before_what_they_missed_counts_as_told() {
    for (seed, pushed) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
        for nodes in [1, 6, 40, 350, 1100] {
            // Little more than the terms ask of a service: a call of each within ten seconds, and two a second.
            let (latest, calls) = silence(seed, nodes, f64::from(nodes.max(20)) / 10.0, pushed);
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

/// One whose watch fell silent and was noticed; gives when that was.
fn noticed(staleness: &mut WatchStaleness) -> Nanos {
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

/// Guards: the 6 s after a call that failed, which go before what the wait of a silent watch would leave.
#[test]
fn what_presses_is_tried_until_it_is_heard_and_shuts_the_node_from_the_moment_it_is_held() {
    let mut staleness = one(0, 1, false);
    let first = noticed(&mut staleness);
    let held = first - WATCH_SILENCE_TIMEOUT + NOTIFICATION_TIMEOUT_AFTER_WAIT;
    assert_eq!(
        staleness.stale_window(),
        held + GRACE..held + GRACE + 10 * SECOND,
        "the call in its place is out"
    );
    let (mut now, mut tries) = (first, 0);
    let told = 10 * SECOND + NOTIFICATION_TIMEOUT + GRACE;
    while now < told + 10 * SECOND {
        staleness.record_watch_start(now, MILLI);
        let at = staleness.record_failure(now, CallFailure::Rejected);
        assert_eq!(
            staleness.stale_window(),
            told..told + 10 * SECOND,
            "it was refused"
        );
        assert!(at > now && at <= now + 2 * SECOND);
        (now, tries) = (at, tries + 1);
    }
    assert!((1..30).contains(&tries), "{tries} tries");
    assert!(
        staleness.record_failure(now, CallFailure::Rejected) <= now + 4 * SECOND,
        "it goes on for ever"
    );
    staleness.record_answer(now);
    assert_eq!(staleness.stale_window().start, Nanos::MAX, "shut for ever");
}

/// Guards: a node that calls again only after what it may have missed counts as told.
#[test]
fn a_watch_that_was_refused_or_broke_is_called_again_several_times_within_six_seconds() {
    for (how, node) in [CallFailure::Rejected, CallFailure::Disconnected]
        .into_iter()
        .flat_map(|h| [(h, 0), (h, 349)])
    {
        let mut staleness = one(node, 350, false);
        staleness.record_answer(10 * SECOND);
        staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
        staleness.record_awake(15 * SECOND);
        let (mut now, mut tries) = (staleness.record_failure(15 * SECOND, how), 0);
        assert!(now <= 15 * SECOND + MAX_RECONNECT_SPREAD, "{how:?}");
        while now < 15 * SECOND + NOTIFICATION_TIMEOUT {
            staleness.record_watch_start(now, staleness.watch_wait());
            (now, tries) = (staleness.record_failure(now, how), tries + 1);
        }
        assert!(
            (2..12).contains(&tries),
            "{how:?}, node {node}: {tries} tries"
        );
        let deaf = staleness.stale_window().start;
        assert!(
            if how == CallFailure::Rejected {
                deaf == 21 * SECOND + GRACE
            } else {
                deaf > now
            },
            "{how:?}"
        );
    }
}

/// Guards: a service that starts anew and is called by all at once, three times by each: for what changed since a version
/// that it never had, for the whole list, and for the next watch.
#[test]
fn a_service_that_starts_anew_is_called_by_the_nodes_in_turn() {
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

/// Guards: a node that dismisses all while the list service is not there, of which nothing is told; and one that takes what
/// a silent watch missed for never told, as the service is gone by then.
#[test]
fn a_service_that_is_not_there_shuts_nothing_but_what_was_missed_before() {
    for pushed in [false, true] {
        let mut staleness = one(0, 1, pushed);
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
        let mut staleness = one(0, 1, pushed);
        let mut now = noticed(&mut staleness);
        let held = now - WATCH_SILENCE_TIMEOUT + NOTIFICATION_TIMEOUT_AFTER_WAIT + GRACE;
        for _ in 0..5 {
            staleness.record_watch_start(now, MILLI);
            now = staleness.record_failure(now + MILLI, CallFailure::Disconnected);
            assert_eq!(staleness.stale_window().start, held, "pushed {pushed}");
        }
    }
}

/// Guards: an answer that came garbled, and the drain in it heard of seconds after it counts as told; such a
/// service stormed.
#[test]
fn what_cannot_be_read_is_asked_for_again_at_once_but_not_for_ever() {
    let mut staleness = one(3, 4, false);
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
    let (mut now, mut tries) = (again, 0);
    while now < 20 * SECOND {
        (now, tries) = (
            staleness.record_failure(now, CallFailure::Malformed),
            tries + 1,
        );
    }
    assert!(tries < 40, "{tries} tries");
}

/// Guards: a process that stood still while its watch ended, and counts what it missed from when it went on.
#[test]
fn what_a_process_missed_while_it_stood_still_counts_from_before_that() {
    let mut staleness = one(0, 1, false);
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

/// Guards: any order of silence, reset, refusal and garbled lists in which a node hands something to a host that drains, as
/// it does not know by when it had to have heard. A change may come in any moment in which the service is there.
#[test]
fn whatever_the_service_does_a_node_is_shut_wherever_it_may_have_missed_a_change_that_counts_as_told(
) {
    let mut shut = 0;
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = [1, 6, 40, 350][seed as usize % 4];
        let mut staleness = one(rng.random_range(0..nodes), nodes, false);
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
                    let hold = if refused {
                        MILLI
                    } else {
                        staleness.watch_wait()
                    };
                    staleness.record_watch_start(now, hold);
                    if service == Service::Well {
                        // What was missed comes at once.
                        staleness.record_answer(now);
                        staleness.record_watch_start(now, staleness.watch_wait());
                        (missed, kept) = (None, false);
                    }
                    call = Some((now, hold, service == Service::Well));
                    None
                }
                (Some((since, hold, heard)), _)
                    if now >= staleness.silence_deadline(*since, *hold) =>
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
            if let Some(how) = failed {
                if call.is_none() {
                    staleness.record_watch_start(
                        now,
                        if how == CallFailure::Malformed {
                            staleness.watch_wait()
                        } else {
                            MILLI
                        },
                    );
                }
                if how == CallFailure::Malformed {
                    missed = missed
                        .or(Some(now))
                        .map(|at: Nanos| at.min(now.saturating_sub(NOTIFICATION_TIMEOUT)));
                }
                if how == CallFailure::Disconnected && call.is_some() {
                    // A watch that was silent and then broke can't be told from one that was well until then.
                    missed = None;
                }
                kept = how == CallFailure::Silent
                    && call.is_some_and(|(_, hold, _)| hold > CALL_SILENCE_TIMEOUT);
                (call, refused) = (None, how != CallFailure::Silent || refused);
                next = staleness.record_failure(now, how);
            }
            if let Some((since, hold, true)) = call {
                if now >= since + hold {
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
            let waits = kept || call.is_some_and(|(_, hold, _)| hold > CALL_SILENCE_TIMEOUT);
            let told = missed
                .filter(|_| !waits)
                .is_some_and(|at| now > at + NOTIFICATION_TIMEOUT + GRACE + 20 * MILLI);
            let deaf = staleness.stale_window();
            shut += u64::from(deaf.contains(&now));
            assert!(
                !told || now >= deaf.start,
                "seed {seed}, at {} ms: {service:?}, {deaf:?}",
                now / MILLI
            );
        }
    }
    assert!(shut > 0, "too tame");
}

/// Guards: a node that hears seconds late that a service is back, whose lists are pushed.
#[test]
fn a_pushed_service_that_is_gone_is_looked_for_within_the_grace_and_a_busy_one_less_often() {
    for (how, most) in [
        (CallFailure::Disconnected, GRACE),
        (CallFailure::Rejected, 2 * SECOND),
        (CallFailure::Silent, 0),
    ] {
        let mut staleness = one(5, 9, true);
        assert_eq!(staleness.record_failure(0, how), 0);
        let mut now = 0;
        for _ in 0..30 {
            let at = staleness.record_failure(now, how);
            assert!(
                at <= now + most && (at > now || how == CallFailure::Silent),
                "{how:?}"
            );
            now = at;
        }
        assert!(
            how != CallFailure::Rejected || now > 10 * SECOND,
            "a storm at a busy service"
        );
    }
    let mut staleness = one(5, 9, true);
    staleness.record_service_switch(0);
    let (mut now, mut tries) = (MILLI, 0);
    while now < NOTIFICATION_TIMEOUT_AFTER_SWITCH {
        now = staleness.record_failure(now, CallFailure::Rejected);
        tries += 1;
    }
    assert!((4..30).contains(&tries), "{tries}");
}

/// Guards: a service that is known to be slow given up before it can answer, and any other waited for as long.
#[test]
fn a_slow_service_is_waited_for_as_long_as_it_takes_within_bounds() {
    let mut staleness = one(0, 1, false);
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

/// Guards: a node shut though it hears late; one that is open though what it heard is from before what it missed.
#[test]
fn what_is_heard_late_counts_from_when_its_call_began() {
    let mut staleness = one(0, 1, false);
    let at = noticed(&mut staleness);
    let held = staleness.stale_window().start;
    staleness.record_watch_start(at, 0);
    // The answer of the call that fell silent says no more than was known when it went out.
    staleness.record_late_answer(10 * SECOND);
    assert_eq!(staleness.stale_window().start, held);
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

/// Guards: new work for hosts that drain while the first pushed list is on its way; a new process that is shut for long where
/// its agent is down or silent.
#[test]
fn a_new_process_is_shut_from_its_grace_on_until_its_first_pushed_list_or_its_failure() {
    for (pushed, first) in [
        (true, GRACE),
        (
            false,
            MAX_WATCH_WAIT + NOTIFICATION_TIMEOUT_AFTER_WAIT + GRACE,
        ),
    ] {
        for how in [
            CallFailure::Silent,
            CallFailure::Disconnected,
            CallFailure::Rejected,
        ] {
            let mut staleness = one(0, 1, pushed);
            staleness.record_watch_start(0, MAX_WATCH_WAIT);
            assert_eq!(staleness.stale_window().start, first);
            staleness.record_failure(2 * SECOND, how);
            assert!(
                staleness.stale_window().start >= NOTIFICATION_TIMEOUT + GRACE,
                "{how:?}: {:?}",
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
