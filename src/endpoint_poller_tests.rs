//! Tests of when a node polls or watches the endpoint list.

use super::*;
use crate::time::MILLI;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What happens to a node next.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Tick,
    List,
    Failure,
}

/// How a fleet's start went.
struct Start {
    calls_by_second: Vec<usize>,
    rejected: usize,
    /// When each node had its list, the earliest first.
    lists_received: Vec<Nanos>,
}

impl Start {
    fn calls(&self) -> usize {
        self.calls_by_second.iter().sum()
    }
}

fn schedule(node: usize, nodes: usize, has_hosts: bool) -> PollSchedule {
    PollSchedule {
        max_poll_interval: 10 * SECOND,
        position: Some((node as f64 + 0.5) / nodes as f64),
        has_hosts,
    }
}

/// So many nodes that start at once beside a service that answers `rate` calls a second in turn,
/// rejects those beyond a queue of one second, and is down until `down`.
fn start(nodes: usize, rate: f64, down: Nanos) -> Start {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut pollers: Vec<EndpointPoller> = (0..nodes).map(|_| EndpointPoller::default()).collect();
    let mut received = vec![None; nodes];
    let (mut calls_by_second, mut rejected, mut free_at) = (vec![0; 120], 0, 0);
    let mut queue = BinaryHeap::new();
    for node in 0..nodes {
        queue.push((Reverse(rng.random_range(0..SECOND / 2)), node, Next::Tick));
    }
    while let Some((Reverse(now), node, next)) = queue.pop() {
        if now >= 100 * SECOND {
            break;
        }
        let poller = &mut pollers[node];
        let has_hosts = received[node].is_some();
        let schedule = schedule(node, nodes, has_hosts);
        match next {
            Next::Tick => {
                queue.push((Reverse(now + SECOND / 2), node, Next::Tick));
                let Some(call) = poller.due_call(now, schedule) else {
                    continue;
                };
                assert_eq!(call == EndpointCall::Poll, !has_hosts, "node {node}");
                calls_by_second[(now / SECOND) as usize] += 1;
                free_at = now.max(free_at);
                queue.push(if now < down || free_at > now + SECOND {
                    rejected += 1;
                    (Reverse(now + 1), node, Next::Failure)
                } else {
                    free_at += (SECOND as f64 / rate) as Nanos;
                    (Reverse(free_at), node, Next::List)
                });
            }
            Next::List => {
                poller.received(now, schedule);
                received[node] = received[node].or(Some(now));
            }
            Next::Failure => _ = poller.failed(now, rng.random(), schedule),
        }
    }
    let mut lists_received: Vec<Nanos> = received.into_iter().flatten().collect();
    lists_received.sort_unstable();
    Start {
        calls_by_second,
        rejected,
        lists_received,
    }
}

/// Prevents thousands of nodes from calling in the same second, and again and again while they are
/// rejected.
#[test]
fn thousands_without_hosts_get_their_lists_in_turn() {
    for nodes in [200, 1000, 5000] {
        // What the settings ask of the service is a call of each node within ten seconds; this one
        // answers twice that.
        let start = start(nodes, nodes as f64 / 5.0, 0);
        let (calls, rejected) = (start.calls(), start.rejected);
        assert_eq!(start.lists_received.len(), nodes);
        let last = *start.lists_received.last().unwrap();
        assert!(last <= 6 * SECOND + SECOND / 2, "{nodes}: last at {last:?}");
        assert!(calls <= 22 * nodes / 10, "{nodes}: {calls} calls");
        assert!(
            20 * rejected <= calls,
            "{nodes}: {rejected} of {calls} rejected"
        );
        let max = start.calls_by_second.iter().max().unwrap();
        assert!(
            *max as f64 <= 1.2 * nodes as f64 / 5.0,
            "{nodes}: {max} calls in a second"
        );
    }
}

/// Prevents those that were rejected from coming too late, behind the second calls of those that
/// were not.
#[test]
fn a_service_of_less_capacity_gives_all_their_lists_before_it_is_watched() {
    let start = start(300, 40.0, 0);
    let (calls, rejected) = (start.calls(), start.rejected);
    assert!(
        start.lists_received[296] <= 9_750 * MILLI,
        "99% had theirs after {:?}",
        start.lists_received[296]
    );
    assert!(
        calls <= 690 && rejected <= 90,
        "{calls} calls, {rejected} rejected"
    );
}

/// Prevents a service that was down for long from being called by all nodes at once when it is
/// back.
#[test]
fn a_service_that_was_down_is_not_called_in_step() {
    let start = start(1000, 200.0, 20 * SECOND);
    assert_eq!(start.lists_received.len(), 1000);
    let last = *start.lists_received.last().unwrap();
    assert!(last <= 30 * SECOND, "{last:?}");
    let max = start.calls_by_second[6..].iter().max().unwrap();
    assert!(*max <= 600, "{max} calls in a second");
}

/// Prevents a service that restarts from being called by all nodes at once.
#[test]
fn watches_that_end_together_are_resumed_in_turn() {
    let mut calls_by_tenth = [0; 25];
    for node in 0..1000 {
        let schedule = schedule(node, 1000, true);
        let mut poller = EndpointPoller::default();
        poller.due_call(0, schedule);
        poller.received(0, schedule);
        poller.failed(0, 0.5, schedule);
        let is_due = |tick: &u64| poller.due_call(tick * SECOND / 100, schedule).is_some();
        let called = (0..=250).find(is_due);
        let called = called.expect("it calls within a quarter of the time");
        calls_by_tenth[(called as usize - 1) / 10] += 1;
    }
    assert!(
        calls_by_tenth.iter().all(|count| (30..=50).contains(count)),
        "{calls_by_tenth:?}"
    );
}
