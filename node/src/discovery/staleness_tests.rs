//! Tests of the staleness window, the timeouts and the retries of a watch.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

#[path = "staleness_rule_tests.rs"]
mod rules;

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

/// Simulates `nodes` nodes whose watches begin almost together, as after a change, and fall silent at random
/// moments. The service handles `rate` calls per second one after another and rejects calls once its queue is one
/// second long. Returns the greatest delay in milliseconds of an answer beyond the moment from which its node was
/// accountable (negative if all were in time), and the number of calls.
fn simulate_silent_watches(seed: u64, nodes: u32, rate: f64, pushed: bool) -> (i64, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let (mut service_free_at, mut latest, mut calls) = (0, i64::MIN, 0);
    // Steps: 0, the watch counts as silent; 1, a call is answered; 2, a call is sent.
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
        let silence_deadline =
            staleness.silence_deadline(started_at, max_wait) + rng.random_range(0..SWEEP_INTERVAL);
        next.push(Reverse((silence_deadline, node as usize, 0)));
        all.push((
            staleness,
            (fell_silent_at + NOTIFICATION_TIMEOUT)
                .max(started_at + max_wait + NOTIFICATION_TIMEOUT_AFTER_WAIT),
        ));
    }
    while let Some(Reverse((now, node, step))) = next.pop() {
        let (staleness, deadline) = &mut all[node];
        if step == 1 {
            latest = latest.max(now as i64 - *deadline as i64);
            assert!(staleness.stale_window().start == *deadline + GRACE);
            staleness.record_answer(now);
            continue;
        }
        let mut failure = CallFailure::Silent;
        if step == 2 {
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

/// Guards against watches that time out only when their nodes become accountable for what was missed, and against
/// all nodes calling the service again at the same time.
#[test]
fn watches_silent_together_are_renewed_before_the_nodes_become_accountable() {
    for (seed, pushed) in (0..20).flat_map(|seed| [(seed, false), (seed, true)]) {
        for nodes in [1, 6, 40, 350, 1100] {
            // Little more than the protocol requires of a service: one call of each node within ten seconds, and
            // at least two calls per second.
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

/// Lets a watch fall silent, and returns when it counts as silent.
fn fall_silent(staleness: &mut WatchStaleness) -> Nanos {
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    let at = staleness.silence_deadline(10 * SECOND, staleness.watch_wait());
    assert_eq!(
        staleness.record_failure(at, CallFailure::Silent),
        at,
        "a silent watch is repeated at once"
    );
    at
}

/// Guards against a node that goes by the later deadline of a silent watch after another call has failed, for which
/// it has only 6 s.
#[test]
fn a_rejected_call_is_retried_until_answered_and_shortens_the_deadline() {
    let mut staleness = staleness_of_node(0, 1, false);
    let first = fall_silent(&mut staleness);
    let accountable_from = first - WATCH_SILENCE_TIMEOUT + NOTIFICATION_TIMEOUT_AFTER_WAIT;
    assert_eq!(
        staleness.stale_window(),
        accountable_from + GRACE..accountable_from + GRACE + 10 * SECOND,
        "only the watch was silent; its replacement is in flight"
    );
    let (mut now, mut attempts) = (first, 0);
    let deadline = 10 * SECOND + NOTIFICATION_TIMEOUT + GRACE;
    // The node noticed the silence after the deadline, and is stale for no shorter time.
    let stale_until = first + 10 * SECOND;
    while now < stale_until {
        staleness.record_watch_start(now, MILLI);
        let at = staleness.record_failure(now, CallFailure::Rejected);
        assert_eq!(
            staleness.stale_window(),
            deadline..stale_until,
            "the replacement was rejected"
        );
        assert!(at > now && at <= now + 2 * SECOND);
        (now, attempts) = (at, attempts + 1);
    }
    assert!((1..30).contains(&attempts), "{attempts} attempts");
    assert!(
        staleness.record_failure(now, CallFailure::Rejected) <= now + 4 * SECOND,
        "the pause after the stale window is too long"
    );
    staleness.record_answer(now);
    assert_eq!(staleness.stale_window().start, Nanos::MAX, "still stale");
}

/// Guards against a node that calls again only after it has become accountable for what it may have missed.
#[test]
fn a_watch_that_was_rejected_or_broke_is_retried_repeatedly_within_six_seconds() {
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
            "{failure:?}, node {node}: {attempts} attempts"
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

/// Guards against a restarted service that all nodes call at once, three times each: for the changes since a
/// revision that it never had, for the full list, and for the next watch.
#[test]
fn calls_to_a_restarted_service_are_spread_over_the_nodes() {
    for (nodes, max_calls) in [(6, 6), (16, 10), (40, 24), (350, 180)] {
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
        let initial_calls = calls
            .iter()
            .filter(|at| **at < 2 * SECOND + 300 * MILLI)
            .count();
        let max_concurrent = calls.iter().map(within).max().unwrap_or(0);
        assert!(
            initial_calls <= max_calls,
            "{nodes} nodes: {initial_calls} calls in the first 300 ms"
        );
        assert!(
            max_concurrent <= max_calls + 3,
            "{nodes} nodes: {max_concurrent} calls within 300 ms"
        );
        assert!(
            calls.iter().all(|at| *at < 5 * SECOND),
            "{nodes} nodes: a call came too late"
        );
    }
}

/// Guards against a node that rejects all work while the list service is down, although nothing new counts as
/// delivered then; and against one that forgets what a silent watch missed because the service went down afterwards.
#[test]
fn a_service_that_is_down_makes_the_list_stale_only_for_what_was_missed_before() {
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

/// Guards against a busy service that accepts calls and resets them, and is taken for one that is not there.
#[test]
fn a_call_that_is_reset_once_its_connection_is_up_has_reached_the_service() {
    let mut staleness = staleness_of_node(0, 1, false);
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    staleness.record_awake(15 * SECOND);
    let mut now = staleness.record_failure(15 * SECOND, CallFailure::Disconnected);
    let accountable_from = 15 * SECOND + NOTIFICATION_TIMEOUT;
    while now < accountable_from + SECOND {
        staleness.record_watch_start(now, MILLI);
        staleness.record_connected(now + MILLI);
        now = staleness.record_failure(now + SECOND, CallFailure::Disconnected);
        assert_eq!(staleness.stale_window().start, accountable_from + GRACE);
    }
    // A service that is gone afterwards does not undo what counts as delivered.
    staleness.record_watch_start(now, MILLI);
    staleness.record_failure(now, CallFailure::Disconnected);
    assert_eq!(staleness.stale_window().start, accountable_from + GRACE);
}

/// Guards against a node that counts as notified at once when a service that was gone is back and busy: only what
/// changed since the last call that did not reach it can have been missed.
#[test]
fn a_busy_service_that_was_gone_before_counts_from_its_return() {
    let mut staleness = staleness_of_node(0, 1, false);
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    staleness.record_awake(11 * SECOND);
    let mut now = staleness.record_failure(11 * SECOND, CallFailure::Disconnected);
    let mut before = now;
    while now < 30 * SECOND {
        staleness.record_watch_start(now, MILLI);
        before = now;
        now = staleness.record_failure(now, CallFailure::Disconnected);
    }
    staleness.record_watch_start(now, MILLI);
    staleness.record_connected(now + MILLI);
    staleness.record_failure(now + SECOND, CallFailure::Disconnected);
    let stale_from = staleness.stale_window().start;
    assert!(stale_from <= before + NOTIFICATION_TIMEOUT + GRACE);
    assert!(stale_from > 30 * SECOND, "{stale_from}");
}

/// Returns the state of a node whose pushed watch broke at 15 s.
fn pushed_watch_broken_at_15_s() -> WatchStaleness {
    let mut staleness = staleness_of_node(0, 1, true);
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    staleness.record_awake(15 * SECOND);
    let retry_at = staleness.record_failure(15 * SECOND, CallFailure::Disconnected);
    assert_eq!(retry_at, 15 * SECOND, "a pushed watch is renewed at once");
    staleness.record_watch_start(15 * SECOND, MILLI);
    staleness
}

/// Guards against a node that goes by its old list for seconds while its renewed call for a pushed list waits.
#[test]
fn a_broken_pushed_watch_counts_at_once_while_the_renewed_call_waits() {
    let at_once = 15 * SECOND + GRACE;
    let mut staleness = pushed_watch_broken_at_15_s();
    staleness.record_connected(15 * SECOND + MILLI);
    assert_eq!(staleness.stale_window().start, at_once);
    assert_eq!(staleness.effective_from(16 * SECOND), 15 * SECOND);
    // A call that is turned away after its turn has shown that the service is up.
    for failure in [
        CallFailure::Disconnected,
        CallFailure::Rejected,
        CallFailure::Silent,
    ] {
        let mut staleness = pushed_watch_broken_at_15_s();
        staleness.record_connected(15 * SECOND + MILLI);
        staleness.record_failure(16 * SECOND, failure);
        assert_eq!(staleness.stale_window().start, at_once, "{failure:?}");
        staleness.record_watch_start(17 * SECOND, MILLI);
        staleness.record_failure(17 * SECOND, CallFailure::Disconnected);
        assert_eq!(staleness.stale_window().start, at_once, "{failure:?}");
    }
    staleness.record_answer(17 * SECOND);
    assert_eq!(staleness.stale_window().start, Nanos::MAX);
}

/// Guards against a node that takes no notice of a pushed watch which is sent again, as the service closed its
/// connection while it was idle, and which then waits for its turn.
#[test]
fn a_pushed_watch_that_is_sent_again_counts_at_once_while_it_waits() {
    let mut staleness = staleness_of_node(0, 1, true);
    let answered_at = 10 * SECOND;
    staleness.record_answer(answered_at);
    staleness.record_watch_start(answered_at, staleness.watch_wait());
    staleness.record_awake(answered_at + 100 * MILLI);
    let ended_at = answered_at + 100 * MILLI;
    staleness.record_watch_resent(ended_at);
    staleness.record_watch_start(ended_at, MILLI);
    // As long as no connection comes up, the service may be down.
    assert!(staleness.stale_window().start > ended_at + NOTIFICATION_TIMEOUT);
    staleness.record_connected(ended_at + MILLI);
    assert_eq!(staleness.stale_window().start, ended_at + GRACE);
    staleness.record_answer(ended_at + SECOND);
    assert_eq!(staleness.stale_window().start, Nanos::MAX);
}

/// Guards against a call that this machine could not make, and that is taken for a sign that the service was not there.
#[test]
fn a_call_that_this_machine_could_not_make_says_nothing_of_a_pushing_service() {
    let mut staleness = pushed_watch_broken_at_15_s();
    staleness.record_failure(15 * SECOND, CallFailure::Rejected);
    staleness.record_watch_start(16 * SECOND, MILLI);
    staleness.record_failure(16 * SECOND, CallFailure::Rejected);
    staleness.record_watch_start(17 * SECOND, MILLI);
    staleness.record_connected(17 * SECOND + MILLI);
    assert_eq!(staleness.stale_window().start, 15 * SECOND + GRACE);
}

/// Guards against a node that rejects all work while a pushing service is down: nothing new counts as delivered then.
#[test]
fn a_broken_pushed_watch_counts_later_where_the_service_is_down() {
    let later = 15 * SECOND + NOTIFICATION_TIMEOUT + GRACE;
    assert_eq!(pushed_watch_broken_at_15_s().stale_window().start, later);
    // A service that is down may accept a call and end it at once.
    for failure in [CallFailure::Disconnected, CallFailure::Rejected] {
        let mut staleness = pushed_watch_broken_at_15_s();
        staleness.record_connected(15 * SECOND + MILLI);
        staleness.record_failure(15 * SECOND + 2 * MILLI, failure);
        assert_eq!(staleness.stale_window().start, later, "{failure:?}");
    }
    // What it has counts from the last call that did not reach it.
    let mut staleness = pushed_watch_broken_at_15_s();
    staleness.record_failure(15 * SECOND, CallFailure::Disconnected);
    staleness.record_watch_start(20 * SECOND, MILLI);
    staleness.record_failure(20 * SECOND, CallFailure::Disconnected);
    staleness.record_watch_start(21 * SECOND, MILLI);
    staleness.record_connected(21 * SECOND + MILLI);
    assert_eq!(staleness.stale_window().start, 20 * SECOND + GRACE);
}

/// Guards against a pushed list that counts before the time that a switch to another service allows.
#[test]
fn a_pushed_list_of_another_service_counts_four_seconds_after_the_switch() {
    let mut staleness = staleness_of_node(0, 1, true);
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    staleness.record_awake(10 * SECOND);
    staleness.record_service_switch(10 * SECOND);
    let from = 10 * SECOND + NOTIFICATION_TIMEOUT_AFTER_SWITCH + GRACE;
    staleness.record_watch_start(10 * SECOND, 0);
    staleness.record_connected(10 * SECOND + MILLI);
    assert_eq!(staleness.stale_window().start, from);
    staleness.record_failure(11 * SECOND, CallFailure::Rejected);
    staleness.record_watch_start(12 * SECOND, 0);
    staleness.record_connected(12 * SECOND + MILLI);
    assert_eq!(staleness.stale_window().start, from);
}

/// Guards against a node that goes by the last answer of the previous service when a call to the new one fails: its
/// stale window then begins before the switch, and is over before the new service's list counts as delivered.
#[test]
fn a_failed_call_after_a_switch_counts_from_the_switch() {
    for failure in [
        CallFailure::Silent,
        CallFailure::Rejected,
        CallFailure::Disconnected,
    ] {
        let mut staleness = staleness_of_node(0, 1, false);
        staleness.record_answer(10 * SECOND);
        staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
        staleness.record_awake(24 * SECOND);
        staleness.record_service_switch(24 * SECOND);
        staleness.record_watch_start(24 * SECOND, 0);
        staleness.record_failure(26 * SECOND, failure);
        let from = 24 * SECOND + NOTIFICATION_TIMEOUT_AFTER_SWITCH + GRACE;
        assert_eq!(staleness.stale_window().start, from, "{failure:?}");
        assert!(staleness.stale_window().contains(&(from + 7 * SECOND)));
    }
}

/// Guards against a drain in an unreadable answer that becomes known seconds after the node is accountable for it,
/// and against retrying such a service without a pause.
#[test]
fn an_unreadable_answer_is_retried_at_once_and_then_with_pauses() {
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
        "the content counts as delivered when it was written"
    );
    let (mut now, mut attempts) = (again, 0);
    while now < 20 * SECOND {
        (now, attempts) = (
            staleness.record_failure(now, CallFailure::Malformed),
            attempts + 1,
        );
    }
    assert!(attempts < 40, "{attempts} attempts");
}

/// Guards against a process that was stalled while its watch ended, and counts what it missed only from when it
/// resumed.
#[test]
fn what_a_process_missed_while_stalled_counts_from_before_the_stall() {
    let mut staleness = staleness_of_node(0, 1, false);
    staleness.record_answer(10 * SECOND);
    staleness.record_watch_start(10 * SECOND, staleness.watch_wait());
    staleness.record_awake(11 * SECOND);
    staleness.record_failure(25 * SECOND, CallFailure::Disconnected);
    assert!(staleness.stale_window().contains(&(25 * SECOND)));
}

/// The condition of a list service.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Service {
    Healthy,
    Down,
    Busy,
    Silent,
    Malformed,
}

/// Guards against a sequence of silence, resets, rejections and unreadable lists after which a node sends new work
/// to a draining host because it misjudges from when it is accountable. A change may occur at any moment at which
/// the service is up.
#[test]
#[expect(clippy::too_many_lines, reason = "one simulation, step by step")]
fn a_node_is_stale_whenever_it_may_have_missed_a_change_it_is_accountable_for() {
    let mut stale_steps = 0;
    for seed in 0..400 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = [1, 6, 40, 350][seed as usize % 4];
        let mut staleness = staleness_of_node(rng.random_range(0..nodes), nodes, false);
        let (mut service, mut until) = (Service::Healthy, rng.random_range(0..5 * SECOND));
        // The call in flight: when it was sent, how long it may wait, and whether the node receives its answer.
        let mut call: Option<(Nanos, Nanos, bool)> = None;
        let (mut next, mut missed, mut rejected) = (0, None, false);
        // A silent watch is kept until its replacement has been answered or has failed.
        let (mut kept, mut reached) = (false, true);
        for now in (0..120 * SECOND).step_by(10 * MILLI as usize) {
            if now >= until {
                let all = [
                    Service::Healthy,
                    Service::Down,
                    Service::Busy,
                    Service::Silent,
                    Service::Malformed,
                ];
                (service, until) = (
                    all[rng.random_range(0..5)],
                    now + rng.random_range(0..9 * SECOND),
                );
                // The node can't know that the service was up between two attempts.
                missed = missed.filter(|_| service != Service::Down || reached);
                reached &= service != Service::Down;
                if let Some((_, _, received)) = &mut call {
                    *received &= service != Service::Silent;
                }
            }
            let failed = match (&call, service) {
                (None, _) if now < next => None,
                (None, Service::Busy) => Some(CallFailure::Rejected),
                (None | Some(_), Service::Down) => Some(CallFailure::Disconnected),
                (None, Service::Malformed) => Some(CallFailure::Malformed),
                (None, Service::Healthy | Service::Silent) => {
                    let max_wait = if rejected {
                        MILLI
                    } else {
                        staleness.watch_wait()
                    };
                    staleness.record_watch_start(now, max_wait);
                    if service == Service::Healthy {
                        // The changes that were missed arrive at once.
                        staleness.record_answer(now);
                        staleness.record_watch_start(now, staleness.watch_wait());
                        (missed, kept) = (None, false);
                    }
                    call = Some((now, max_wait, service == Service::Healthy));
                    None
                }
                (Some((started_at, max_wait, received)), _)
                    if now >= staleness.silence_deadline(*started_at, *max_wait) =>
                {
                    // A healthy watch is answered before this deadline, without changes.
                    if *received {
                        None
                    } else {
                        Some(CallFailure::Silent)
                    }
                }
                _ => None,
            };
            reached |= service != Service::Down && (failed.is_some() || call.is_some());
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
                    // A watch that was silent before it broke looks the same as one that was healthy until then.
                    missed = None;
                }
                kept = failure == CallFailure::Silent
                    && call.is_some_and(|(_, max_wait, _)| max_wait > CALL_SILENCE_TIMEOUT);
                (call, rejected) = (None, failure != CallFailure::Silent || rejected);
                next = staleness.record_failure(now, failure);
            }
            if let Some((started_at, max_wait, true)) = call {
                if now >= started_at + max_wait {
                    staleness.record_answer(now);
                    staleness.record_watch_start(now, staleness.watch_wait());
                    call = Some((now, staleness.watch_wait(), true));
                }
                rejected = false;
            }
            staleness.record_awake(now);
            // From now on, changes are missed.
            if !call.is_some_and(|(_, _, received)| received) && service != Service::Down {
                missed = missed.or(Some(now));
            }
            let waits =
                kept || call.is_some_and(|(_, max_wait, _)| max_wait > CALL_SILENCE_TIMEOUT);
            let must_be_stale = missed
                .filter(|_| !waits)
                .is_some_and(|at| now > at + NOTIFICATION_TIMEOUT + GRACE + 20 * MILLI);
            let stale_window = staleness.stale_window();
            stale_steps += u64::from(stale_window.contains(&now));
            assert!(
                !must_be_stale || now >= stale_window.start,
                "seed {seed}, at {} ms: {service:?}, {stale_window:?}",
                now / MILLI
            );
        }
    }
    assert!(stale_steps > 0, "no simulated node was ever stale");
}

/// Guards against a node that notices seconds late that a pushing service is back.
#[test]
fn a_pushing_service_is_retried_within_the_grace_if_down_and_less_often_if_busy() {
    for (failure, max_pause) in [
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
                at <= now + max_pause && (at > now || failure == CallFailure::Silent),
                "{failure:?}"
            );
            now = at;
        }
        assert!(
            failure != CallFailure::Rejected || now > 10 * SECOND,
            "a busy service was retried too often"
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

/// Guards against a call to a slow service that times out before it can be answered, and against giving every
/// service that much time.
#[test]
fn a_slow_service_is_given_more_time_within_bounds() {
    let mut staleness = staleness_of_node(0, 1, false);
    let usual = (
        staleness.silence_deadline(0, 0),
        staleness.silence_deadline(0, 10 * SECOND),
    );
    for (latency, expected) in [
        (100 * MILLI, usual),
        (2 * SECOND, (3 * SECOND, 13 * SECOND)),
        (
            60 * SECOND,
            (MAX_ANSWER_TIMEOUT, 10 * SECOND + MAX_ANSWER_TIMEOUT),
        ),
        (0, usual),
    ] {
        staleness.record_latency(10 * SECOND + latency, 10 * SECOND, 0);
        assert_eq!(
            (
                staleness.silence_deadline(0, 0),
                staleness.silence_deadline(0, 10 * SECOND)
            ),
            expected,
            "{latency}"
        );
    }
    // An answer within the wait doesn't change the measured latency, and a switch to another service resets it.
    staleness.record_latency(15 * SECOND, 10 * SECOND, 0);
    staleness.record_latency(31 * SECOND, 30 * SECOND, 20 * SECOND);
    assert_eq!(staleness.silence_deadline(0, 0), MAX_ANSWER_TIMEOUT);
    staleness.record_service_switch(40 * SECOND);
    assert_eq!(staleness.silence_deadline(0, 0), usual.0);
}

/// Guards against a node that rejects new work although answers arrive late, and against one that accepts it
/// although the late answer is older than what it missed.
#[test]
fn a_late_answer_counts_from_when_its_call_was_sent() {
    let mut staleness = staleness_of_node(0, 1, false);
    let at = fall_silent(&mut staleness);
    let accountable_from = staleness.stale_window().start;
    staleness.record_watch_start(at, 0);
    // The late answer to the silent call shows nothing beyond what was known when that call was sent.
    staleness.record_late_answer(10 * SECOND);
    assert_eq!(staleness.stale_window().start, accountable_from);
    staleness.record_failure(at + 2 * SECOND, CallFailure::Silent);
    staleness.record_late_answer(at);
    assert_eq!(
        staleness.stale_window().start,
        at + NOTIFICATION_TIMEOUT + GRACE
    );
    // Unreadable content counts as delivered when it was written, whatever the answer to an earlier call shows.
    let malformed_at = at + 3 * SECOND;
    staleness.record_failure(malformed_at, CallFailure::Malformed);
    assert_eq!(staleness.stale_window().start, malformed_at + GRACE);
    staleness.record_late_answer(malformed_at - MILLI);
    assert_eq!(staleness.stale_window().start, malformed_at + GRACE);
    staleness.record_late_answer(malformed_at);
    assert_eq!(
        staleness.stale_window().start,
        malformed_at + NOTIFICATION_TIMEOUT + GRACE
    );
}

/// Guards against new work for draining hosts while the first pushed list is in flight, and against a new process
/// that rejects new work for long because its service is down or silent.
#[test]
fn a_new_process_is_stale_after_its_grace_until_the_first_pushed_list_or_failure() {
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
