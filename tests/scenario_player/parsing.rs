//! The words of a scenario.

use super::START;
use reedferry::*;

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

/// Words of the form KEY=VALUE; a KEY alone has the value 1.
pub fn pairs<'a>(words: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    words
        .iter()
        .map(|word| word.split_once('=').unwrap_or((word, "1")))
        .collect()
}

/// Applies words to the settings of the node.
pub fn apply_settings(settings: &mut BalancerSettings, words: &[&str]) {
    for (key, value) in pairs(words) {
        match key {
            "nodes" => settings.node_count = number(value) as u32,
            "node" => settings.node_index = number(value) as u32,
            "hand-offs" => settings.max_attempts = number(value) as u32,
            "advice" => settings.max_retry_after = milliseconds(value),
            "call-off" => settings.may_cancel = true,
            "on-request" => settings.endpoints_are_polled = true,
            "cold" => settings.warm_up = milliseconds(value),
            "cold-from" => settings.warm_up_initial_share = number(value),
            "groups" => settings.groups_enabled = true,
            "pass" => settings.passthrough = true,
            "gathers" => settings.centralized = true,
            "probes" => {
                settings.load_from_probes = true;
                settings.load_metrics = vec![LoadMetric::Utilization, LoadMetric::Load];
            }
            "peers" => settings.gossip_enabled = true,
            "cross-zone" => settings.cross_zone_cost = number(value),
            "moves" => settings.migration_cost = number(value),
            _ => panic!("unknown word {key}"),
        }
    }
}

pub fn request_class(words: &[&str]) -> RequestClass {
    let mut class = RequestClass::default();
    for (key, value) in pairs(words) {
        match (key, value) {
            ("effect", "redoable") => class.idempotency = Idempotency::Idempotent,
            ("effect", "labelled") => class.idempotency = Idempotency::WithKey,
            ("effect", "irreversible") => class.idempotency = Idempotency::NonIdempotent,
            ("circle", "all") => class.idempotency_group = IdempotencyGroup::All,
            ("circle", "zone") => class.idempotency_group = IdempotencyGroup::Zone,
            ("circle", "cell") => class.idempotency_group = IdempotencyGroup::Cell,
            ("window", _) => class.idempotency_window = milliseconds(value),
            ("payoff", _) => class.priority_weight = number(value),
            ("contract", _) => class.latency_objective = milliseconds(value),
            ("message", _) => class.message_latency_objective = milliseconds(value),
            _ => panic!("unknown word {key}={value}"),
        }
    }
    class
}

pub fn endpoint_update(kind: &str) -> EndpointUpdate {
    match kind {
        "full" => EndpointUpdate::Full,
        "changes" => EndpointUpdate::Delta,
        "cached" => EndpointUpdate::Cached,
        "failed" => EndpointUpdate::Failed,
        _ => panic!("unknown roll {kind}"),
    }
}

/// HOST[:WORD,KEY=VALUE...]
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
            _ => panic!("unknown word {key}"),
        }
    }
    endpoint
}

/// A request that arrives at `now`, and what was attempted for it before.
pub fn request(id: u64, words: &[&str], now: Nanos) -> (IncomingRequest, PriorAttempts) {
    let mut incoming = IncomingRequest {
        id: RequestId(id),
        time_left: 2 * SECOND,
        ..IncomingRequest::default()
    };
    let mut prior = PriorAttempts::default();
    for (key, value) in pairs(words) {
        match key {
            "left" => incoming.time_left = milliseconds(value),
            "offering" => incoming.class = number(value) as usize,
            "key" => incoming.key = Some(number(value) as u64),
            "group" => incoming.group = Some(number(value) as u64),
            "load" => incoming.usual_load = Some(number(value)),
            "midway" => incoming.mid_stream = true,
            "past" => prior.attempts = number(value) as u32,
            "ran" => {
                let (at, ago) = value.split_once('@').expect("a host and how long ago");
                prior.may_have_run = Some((host(at), now - milliseconds(ago)));
            }
            "tried" => prior.tried_hosts = value.split('|').map(host).collect(),
            _ => panic!("unknown word {key}"),
        }
    }
    (incoming, prior)
}

/// The outcome of an attempt, but of one that breaks: that depends on the request.
pub fn outcome(word: &str) -> AttemptOutcome {
    match word {
        "done" => AttemptOutcome::Completed,
        "error" => AttemptOutcome::Error,
        "refused" => AttemptOutcome::Rejected,
        "unconnected" => AttemptOutcome::ConnectFailed,
        "broken" => AttemptOutcome::ConnectionLost,
        _ => panic!("unknown ending {word}"),
    }
}
