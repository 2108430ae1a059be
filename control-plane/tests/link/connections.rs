//! Tests of connections that are cut, slow or blocked.

use crate::simulation::{Answer, Simulation, MAX_AWAITING_DECISION, REQUEST_TIMEOUT, TICK};
use reedferry::{Event, HostId, IncomingRequest, RequestId, MILLI, SECOND};

#[test]
fn only_the_forwarder_whose_connection_is_cut_stops_following_its_planner() {
    for (cut_to_planner, cut_to_forwarder) in [(true, true), (true, false), (false, true)] {
        let mut simulation = Simulation::new(4, 2, 4);
        simulation.run(200 * MILLI);
        let cut_off = simulation.followed_planner(0);
        let others: Vec<usize> = (1..4).map(|n| simulation.followed_planner(n)).collect();
        for connection in simulation.connections(0, cut_off) {
            connection.cut_to_planner = cut_to_planner;
            connection.cut_to_forwarder = cut_to_forwarder;
        }
        let mut ids = Vec::new();
        for n in 0..60 {
            ids.push(simulation.add_client(n % 4, n % 3));
            simulation.run(10 * MILLI);
        }
        simulation.run(400 * MILLI);
        assert_ne!(simulation.followed_planner(0), cut_off);
        let others_now: Vec<usize> = (1..4).map(|n| simulation.followed_planner(n)).collect();
        assert_eq!(others_now, others);
        assert!(
            simulation.all_established(&ids),
            "cut {cut_to_planner} {cut_to_forwarder}"
        );
        assert!(simulation.max_decision_time(&ids) < 700 * MILLI);
    }
}

#[test]
fn requests_over_the_limit_of_awaited_decisions_are_rejected_at_once() {
    let mut simulation = Simulation::new(1, 1, 3);
    simulation.run(200 * MILLI);
    simulation.add_client(0, 0);
    simulation.run(100 * MILLI);
    // The planner still answers heartbeats, so it stays followed, but requests reach it late.
    simulation.delay = 100 * MILLI;
    let ids: Vec<u64> = (0..500).map(|n| simulation.add_client(0, n % 3)).collect();
    simulation.run(TICK);
    let waiting = ids
        .iter()
        .filter(|id| {
            let client = simulation.client(**id);
            client.answers.is_empty() && client.in_flight.is_none()
        })
        .count();
    assert!(
        waiting <= MAX_AWAITING_DECISION,
        "{waiting} requests await a planner's decision"
    );
    assert!(simulation.count_answers(&ids, Answer::Rejected) >= 400);
    simulation.run(REQUEST_TIMEOUT);
}

#[test]
fn open_connections_are_reported_within_the_limit_of_unsent_bytes() {
    let mut simulation = Simulation::new(1, 2, 4);
    simulation.max_requests_per_forwarder = 50_000;
    (0..2).for_each(|planner| simulation.kill_planner(planner));
    (0..2).for_each(|planner| simulation.start_planner(planner));
    simulation.run(SECOND);
    // Reports 20,000 connections as already open, more than the number of decisions that may be awaited at once.
    let first = simulation.followed_planner(0);
    let count = 20_000;
    for n in 0..count {
        let incoming = IncomingRequest {
            id: RequestId(1_000_000 + n),
            time_left: REQUEST_TIMEOUT,
            ..IncomingRequest::default()
        };
        simulation.forwarders[0]
            .events
            .push(Event::ConnectionFound(incoming, HostId(n % 4 + 1)));
    }
    simulation.run(50 * MILLI);
    assert_eq!(
        simulation.planners[first].running().request_count(),
        count as usize
    );
    let second = 1 - first;
    let set_blocked = |simulation: &mut Simulation, blocked: bool| {
        simulation
            .connections(0, second)
            .for_each(|connection| connection.blocked = blocked);
    };
    set_blocked(&mut simulation, true);
    simulation.kill_planner(first);
    simulation.run(20 * MILLI);
    assert_eq!(simulation.followed_planner(0), second);
    let forwarder = &simulation.forwarders[0];
    let buffered: usize = forwarder
        .connections
        .keys()
        .map(|number| forwarder.core.outgoing(*number).len())
        .sum();
    assert!(buffered > 200 << 10 && buffered < 300 << 10, "{buffered}");
    let id = simulation.add_client(0, 0);
    set_blocked(&mut simulation, false);
    simulation.run(150 * MILLI);
    assert_eq!(simulation.answer(id), Some(Answer::Established));
    assert_eq!(
        simulation.planners[second].running().request_count(),
        count as usize + 1
    );
}
