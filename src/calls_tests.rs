//! Tests of when a node calls the list service.

use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BinaryHeap;

/// So many nodes that start at once beside a service that does `rate` calls a second in turn and turns away
/// beyond a queue of one second: calls by second, those turned away, and when each node had its list.
fn start(nodes: usize, rate: f64, down: Nanos) -> (Vec<usize>, usize, Vec<Nanos>) {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let pace = |n: usize| Pace {
        max_poll_interval: 10 * SECOND,
        place: Some((n as f64 + 0.5) / nodes as f64),
    };
    let mut calls: Vec<Calls> = (0..nodes).map(|_| Calls::default()).collect();
    let mut list = vec![None; nodes];
    let (mut by_second, mut refused, mut free) = (vec![0; 120], 0, 0);
    // The next moment of each node, and what comes to it then: its look-around, or the answer to its call.
    let mut next = BinaryHeap::new();
    for node in 0..nodes {
        next.push((std::cmp::Reverse(rng.random_range(0..SECOND / 2)), node, 0));
    }
    while let Some((std::cmp::Reverse(now), node, what)) = next.pop() {
        if now >= 100 * SECOND {
            break;
        }
        let (one, knows) = (&mut calls[node], list[node].is_some());
        match what {
            0 => {
                next.push((std::cmp::Reverse(now + SECOND / 2), node, 0));
                let Some(call) = one.due(now, knows, pace(node)) else {
                    continue;
                };
                assert_eq!(call == Call::Ask, !knows, "node {node}");
                by_second[(now / SECOND) as usize] += 1;
                free = now.max(free);
                let answer = if now < down || free > now + SECOND {
                    refused += 1;
                    (std::cmp::Reverse(now + 1), node, 2)
                } else {
                    free += (SECOND as f64 / rate) as Nanos;
                    (std::cmp::Reverse(free), node, 1)
                };
                next.push(answer);
            }
            1 => {
                one.told(now, knows, pace(node));
                list[node] = list[node].or(Some(now));
            }
            _ => _ = one.failed(now, rng.random(), knows, pace(node)),
        }
    }
    let mut had: Vec<Nanos> = list.into_iter().flatten().collect();
    had.sort_unstable();
    (by_second, refused, had)
}

/// Guards: thousands of nodes that call in the same second, and again and again while they are turned away.
#[test]
fn thousands_that_know_nothing_get_their_lists_in_turn() {
    for nodes in [200, 1000, 5000] {
        // What the terms ask of the service is a call of each node within ten seconds; this one does twice that.
        let (by_second, refused, had) = start(nodes, nodes as f64 / 5.0, 0);
        let calls: usize = by_second.iter().sum();
        assert_eq!(had.len(), nodes);
        assert!(
            *had.last().unwrap() <= 6 * SECOND + SECOND / 2,
            "{nodes}: last at {:?}",
            had.last()
        );
        assert!(calls <= 22 * nodes / 10, "{nodes}: {calls} calls");
        assert!(
            20 * refused <= calls,
            "{nodes}: {refused} of {calls} turned away"
        );
        let most = by_second.iter().max().unwrap();
        assert!(
            *most as f64 <= 1.2 * nodes as f64 / 5.0,
            "{nodes}: {most} calls in a second"
        );
    }
}

/// Guards: those who were turned away coming too late, behind the second calls of those who were not.
#[test]
fn a_service_that_can_do_less_gives_all_their_lists_before_it_is_followed() {
    let (by_second, refused, had) = start(300, 40.0, 0);
    let calls: usize = by_second.iter().sum();
    assert!(
        had[296] <= 9_750 * MILLI,
        "99% had theirs after {:?}",
        had[296]
    );
    assert!(
        calls <= 690 && refused <= 90,
        "{calls} calls, {refused} turned away"
    );
}

/// Guards: a service that is down for long and finds all nodes at its door at once when it is back.
#[test]
fn a_service_that_was_down_is_not_called_in_step() {
    let (by_second, _, had) = start(1000, 200.0, 20 * SECOND);
    assert_eq!(had.len(), 1000);
    assert!(*had.last().unwrap() <= 30 * SECOND, "{:?}", had.last());
    let most = by_second[6..].iter().max().unwrap();
    assert!(*most <= 600, "{most} calls in a second");
}

/// Guards: a service that starts anew and is called by all at once.
#[test]
fn watches_that_end_together_are_taken_up_in_turn() {
    let pace = |n: usize| Pace {
        max_poll_interval: 10 * SECOND,
        place: Some((n as f64 + 0.5) / 1000.0),
    };
    let mut by_tenth = [0; 25];
    for node in 0..1000 {
        let mut calls = Calls::default();
        calls.due(0, true, pace(node));
        calls.told(0, true, pace(node));
        calls.failed(0, 0.5, true, pace(node));
        let at = (0..=250).find(|tick| calls.due(tick * SECOND / 100, true, pace(node)).is_some());
        by_tenth[(at.expect("it calls within a quarter of the time") as usize - 1) / 10] += 1;
    }
    assert!(
        by_tenth.iter().all(|count| (30..=50).contains(count)),
        "{by_tenth:?}"
    );
}
