//! Tests of the schedule on which nodes poll or watch the endpoint list.

use super::*;
use crate::time::MILLI;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A simulated event at one node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum NodeEvent {
    Tick,
    List,
    Failure,
}

/// The result of a simulated fleet start.
struct FleetStart {
    /// The number of calls in each second.
    calls_by_second: Vec<usize>,
    /// The number of calls that the service rejected.
    rejected: usize,
    /// When each node received its first list, the earliest first.
    lists_received: Vec<Nanos>,
}

impl FleetStart {
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

/// Simulates the start of `nodes` nodes at once. The discovery service answers `rate` calls per
/// second one after the other, rejects calls that would wait longer than one second, and rejects
/// all calls until `down_until`.
fn simulate_start(nodes: usize, rate: f64, down_until: Nanos) -> FleetStart {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut pollers: Vec<EndpointPoller> = (0..nodes).map(|_| EndpointPoller::default()).collect();
    let mut received = vec![None; nodes];
    let (mut calls_by_second, mut rejected, mut free_at) = (vec![0; 120], 0, 0);
    let mut queue = BinaryHeap::new();
    for node in 0..nodes {
        queue.push((
            Reverse(rng.random_range(0..SECOND / 2)),
            node,
            NodeEvent::Tick,
        ));
    }
    while let Some((Reverse(now), node, next)) = queue.pop() {
        if now >= 100 * SECOND {
            break;
        }
        let poller = &mut pollers[node];
        let has_hosts = received[node].is_some();
        let schedule = schedule(node, nodes, has_hosts);
        match next {
            NodeEvent::Tick => {
                queue.push((Reverse(now + SECOND / 2), node, NodeEvent::Tick));
                let Some(call) = poller.due_call(now, schedule) else {
                    continue;
                };
                assert_eq!(call == EndpointCall::Poll, !has_hosts, "node {node}");
                calls_by_second[(now / SECOND) as usize] += 1;
                free_at = now.max(free_at);
                queue.push(if now < down_until || free_at > now + SECOND {
                    rejected += 1;
                    (Reverse(now + 1), node, NodeEvent::Failure)
                } else {
                    free_at += (SECOND as f64 / rate) as Nanos;
                    (Reverse(free_at), node, NodeEvent::List)
                });
            }
            NodeEvent::List => {
                poller.received(now, schedule);
                received[node] = received[node].or(Some(now));
            }
            NodeEvent::Failure => _ = poller.failed(now, rng.random(), schedule),
        }
    }
    let mut lists_received: Vec<Nanos> = received.into_iter().flatten().collect();
    lists_received.sort_unstable();
    FleetStart {
        calls_by_second,
        rejected,
        lists_received,
    }
}

/// Guards against thousands of nodes that all call in the same second, and retry over and over
/// while they are rejected.
#[test]
fn thousands_of_nodes_without_hosts_get_their_lists_in_turn() {
    for nodes in [200, 1000, 5000] {
        // The settings require one call of each node within 10 s; this service answers twice that
        // rate.
        let start = simulate_start(nodes, nodes as f64 / 5.0, 0);
        let (calls, rejected) = (start.calls(), start.rejected);
        assert_eq!(start.lists_received.len(), nodes);
        let last = *start.lists_received.last().unwrap();
        assert!(
            last <= 6 * SECOND + SECOND / 2,
            "{nodes} nodes: last list at {last:?} ns"
        );
        assert!(calls <= 22 * nodes / 10, "{nodes} nodes: {calls} calls");
        assert!(
            20 * rejected <= calls,
            "{nodes} nodes: {rejected} of {calls} calls rejected"
        );
        let max = start.calls_by_second.iter().max().unwrap();
        assert!(
            *max as f64 <= 1.2 * nodes as f64 / 5.0,
            "{nodes} nodes: {max} calls in one second"
        );
    }
}

/// Guards against rejected nodes that get their list too late, because the watches of nodes that
/// have one take up a service of low capacity.
#[test]
fn a_service_of_low_capacity_sends_all_lists_before_it_serves_watches() {
    let start = simulate_start(300, 40.0, 0);
    let (calls, rejected) = (start.calls(), start.rejected);
    assert!(
        start.lists_received[296] <= 9_750 * MILLI,
        "99% of nodes had a list only after {:?} ns",
        start.lists_received[296]
    );
    assert!(
        calls <= 690 && rejected <= 90,
        "{calls} calls, {rejected} rejected"
    );
}

/// Guards against all nodes calling at once when a service is back after a long outage.
#[test]
fn a_service_back_after_an_outage_is_not_called_by_all_nodes_at_once() {
    let start = simulate_start(1000, 200.0, 20 * SECOND);
    assert_eq!(start.lists_received.len(), 1000);
    let last = *start.lists_received.last().unwrap();
    assert!(last <= 30 * SECOND, "last list at {last:?} ns");
    let max = start.calls_by_second[6..].iter().max().unwrap();
    assert!(*max <= 600, "{max} calls in one second");
}

/// Guards against all nodes calling at once when a service restarts and ends their watches.
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
        let called = called.expect("no call within a quarter of the maximum poll interval");
        calls_by_tenth[(called as usize - 1) / 10] += 1;
    }
    assert!(
        calls_by_tenth.iter().all(|count| (30..=50).contains(count)),
        "{calls_by_tenth:?}"
    );
}
