//! Draws random settings, request classes and endpoints.

use crate::world::START;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use reedferry::*;

fn class(rng: &mut ChaCha8Rng) -> RequestClass {
    RequestClass {
        idempotency: *[
            Idempotency::Idempotent,
            Idempotency::WithKey,
            Idempotency::NonIdempotent,
        ]
        .choose(rng)
        .unwrap(),
        idempotency_group: *[
            IdempotencyGroup::All,
            IdempotencyGroup::Zone,
            IdempotencyGroup::Cell,
        ]
        .choose(rng)
        .unwrap(),
        idempotency_window: rng.random_range(0..3 * SECOND),
        priority_weight: *[0.0, 0.1, 1.0, 30.0].choose(rng).unwrap(),
        latency_objective: *[MILLI, 100 * MILLI, SECOND].choose(rng).unwrap(),
        message_latency_objective: *[0, MILLI, 100 * MILLI, SECOND].choose(rng).unwrap(),
        active: true,
    }
}

pub fn settings(rng: &mut ChaCha8Rng) -> BalancerSettings {
    let nodes = *[1, 2, 7, 300, 900].choose(rng).unwrap();
    let load_metrics = [
        vec![],
        vec![LoadMetric::Utilization, LoadMetric::Load],
        vec![LoadMetric::Backlog],
    ];
    BalancerSettings {
        node_index: rng.random_range(0..nodes),
        node_count: nodes,
        centralized: rng.random_bool(0.1),
        classes: (0..rng.random_range(1..4)).map(|_| class(rng)).collect(),
        max_attempts: rng.random_range(1..5),
        may_cancel: rng.random(),
        max_retry_after: *[0, SECOND].choose(rng).unwrap(),
        endpoints_are_polled: rng.random(),
        max_poll_interval: *[SECOND, 10 * SECOND].choose(rng).unwrap(),
        warm_up: *[0, SECOND, 20 * SECOND].choose(rng).unwrap(),
        warm_up_initial_share: *[0.0, 0.2, 1.0].choose(rng).unwrap(),
        overload_window: *[0, 100 * MILLI, SECOND, 5 * SECOND].choose(rng).unwrap(),
        passthrough: rng.random_bool(0.2),
        groups_enabled: rng.random(),
        cross_zone_cost: *[0.0, 0.1].choose(rng).unwrap(),
        load_metrics: load_metrics.choose(rng).unwrap().clone(),
        load_from_probes: rng.random(),
        gossip_enabled: rng.random(),
        ..BalancerSettings::default()
    }
}

pub fn endpoint(rng: &mut ChaCha8Rng, host: u64, now: Nanos) -> Endpoint {
    let states = [
        HostState::Ready,
        HostState::Ready,
        HostState::Ready,
        HostState::Draining,
        HostState::Gone,
    ];
    let started = *[None, None, Some(now), Some(now + SECOND), Some(START)]
        .choose(rng)
        .unwrap();
    Endpoint {
        id: HostId(host),
        zone: rng.random_range(0..2),
        cell: rng.random_range(0..2),
        state: *states.choose(rng).unwrap(),
        size: *[0.0, 0.001, 1.0, 1.0, 64.0, f64::NAN].choose(rng).unwrap(),
        started,
    }
}
