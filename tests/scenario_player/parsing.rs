//! Parses the words of a scenario.

use super::START;
use reedferry::*;

/// Returns the host of this name; its id is made of the bytes of the name.
pub fn host(name: &str) -> HostId {
    HostId(name.bytes().fold(0, |id, byte| id * 256 + u64::from(byte)))
}

pub fn number(text: &str) -> f64 {
    text.parse()
        .unwrap_or_else(|_| panic!("not a number: {text}"))
}

pub fn milliseconds(text: &str) -> Nanos {
    (number(text) * 1e6) as Nanos
}

/// Splits words of the form KEY=VALUE; a KEY alone has the value 1.
pub fn pairs<'a>(words: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    words
        .iter()
        .map(|word| word.split_once('=').unwrap_or((word, "1")))
        .collect()
}

/// Applies words of the form KEY=VALUE to the settings of the node.
pub fn apply_settings(settings: &mut BalancerSettings, words: &[&str]) {
    for (key, value) in pairs(words) {
        match key {
            "nodes" => settings.node_count = number(value) as u32,
            "node" => settings.node_index = number(value) as u32,
            "max-attempts" => settings.max_attempts = number(value) as u32,
            "max-retry-after" => settings.max_retry_after = milliseconds(value),
            "may-cancel" => settings.may_cancel = true,
            "endpoints-polled" => settings.endpoints_are_polled = true,
            "warm-up" => settings.warm_up = milliseconds(value),
            "warm-up-initial-share" => settings.warm_up_initial_share = number(value),
            "groups" => settings.groups_enabled = true,
            "passthrough" => settings.passthrough = true,
            "centralized" => settings.centralized = true,
            "probes" => {
                settings.load_from_probes = true;
                settings.load_metrics = vec![LoadMetric::Utilization, LoadMetric::Load];
            }
            "gossip" => settings.gossip_enabled = true,
            "cross-zone-cost" => settings.cross_zone_cost = number(value),
            "migration-cost" => settings.migration_cost = number(value),
            _ => panic!("unknown setting {key}"),
        }
    }
}

pub fn request_class(words: &[&str]) -> RequestClass {
    let mut class = RequestClass::default();
    for (key, value) in pairs(words) {
        match (key, value) {
            ("idempotency", "idempotent") => class.idempotency = Idempotency::Idempotent,
            ("idempotency", "with-key") => class.idempotency = Idempotency::WithKey,
            ("idempotency", "non-idempotent") => class.idempotency = Idempotency::NonIdempotent,
            ("idempotency-group", "all") => class.idempotency_group = IdempotencyGroup::All,
            ("idempotency-group", "zone") => class.idempotency_group = IdempotencyGroup::Zone,
            ("idempotency-group", "cell") => class.idempotency_group = IdempotencyGroup::Cell,
            ("idempotency-window", _) => class.idempotency_window = milliseconds(value),
            ("priority-weight", _) => class.priority_weight = number(value),
            ("latency-objective", _) => class.latency_objective = milliseconds(value),
            ("message-objective", _) => class.message_latency_objective = milliseconds(value),
            _ => panic!("unknown class setting {key}={value}"),
        }
    }
    class
}

pub fn endpoint_update(kind: &str) -> EndpointUpdate {
    match kind {
        "full" => EndpointUpdate::Full,
        "delta" => EndpointUpdate::Delta,
        "cached" => EndpointUpdate::Cached,
        "failed" => EndpointUpdate::Failed,
        _ => panic!("unknown kind of endpoint update {kind}"),
    }
}

/// Parses an endpoint of the form `HOST[:STATE,KEY=VALUE...]`.
pub fn endpoint(entry: &str) -> Endpoint {
    let (name, rest) = entry.split_once(':').unwrap_or((entry, "ready"));
    let mut endpoint = Endpoint {
        id: host(name),
        state: HostState::Ready,
        size: 1.0,
        ..Endpoint::default()
    };
    for (key, value) in pairs(&rest.split(',').collect::<Vec<_>>()) {
        match key {
            "ready" => {}
            "draining" => endpoint.state = HostState::Draining,
            "gone" => endpoint.state = HostState::Gone,
            "size" => endpoint.size = number(value),
            "zone" => endpoint.zone = number(value) as u16,
            "cell" => endpoint.cell = number(value) as u64,
            "started" => endpoint.started = Some(START + milliseconds(value)),
            _ => panic!("unknown endpoint field {key}"),
        }
    }
    endpoint
}

/// Parses a request that arrives at `now`, and the attempts made for it before.
pub fn request(id: u64, words: &[&str], now: Nanos) -> (IncomingRequest, PriorAttempts) {
    let mut incoming = IncomingRequest {
        id: RequestId(id),
        time_left: 2 * SECOND,
        ..IncomingRequest::default()
    };
    let mut prior = PriorAttempts::default();
    for (key, value) in pairs(words) {
        match key {
            "time-left" => incoming.time_left = milliseconds(value),
            "class" => incoming.class = number(value) as usize,
            "key" => incoming.key = Some(number(value) as u64),
            "group" => incoming.group = Some(number(value) as u64),
            "load" => incoming.usual_load = Some(number(value)),
            "mid-stream" => incoming.mid_stream = true,
            "prior-attempts" => prior.attempts = number(value) as u32,
            "may-have-run" => {
                let (at, ago) = value.split_once('@').expect("HOST@MS");
                prior.may_have_run = Some((host(at), now - milliseconds(ago)));
            }
            "tried" => prior.tried_hosts = value.split('|').map(host).collect(),
            _ => panic!("unknown request field {key}"),
        }
    }
    (incoming, prior)
}

/// Parses the outcome of an attempt or a connection.
pub fn outcome(word: &str) -> AttemptOutcome {
    match word {
        "completed" => AttemptOutcome::Completed,
        "error" => AttemptOutcome::Error,
        "rejected" => AttemptOutcome::Rejected,
        "connect-failed" => AttemptOutcome::ConnectFailed,
        "connection-lost" => AttemptOutcome::ConnectionLost,
        _ => panic!("unknown outcome {word}"),
    }
}
