//! Decodes the settings that a node is given at its start: into the module's [`BalancerSettings`], and into the
//! few [`NodeSettings`] that the program round the module needs beside it. The adapter and the node share it.

pub mod renewal;

use reedferry::{
    BalancerSettings, Idempotency, IdempotencyGroup, LoadMetric, Nanos, RequestClass, SECOND,
};
use serde::Deserialize;

#[derive(Deserialize)]
struct Text {
    #[serde(rename = "balancers")]
    balancers: u32,
    #[serde(rename = "index")]
    index: u32,
    #[serde(default)]
    #[serde(rename = "zone")]
    zone: u16,
    #[serde(default)]
    #[serde(rename = "round")]
    round: f64,
    #[serde(rename = "offerings")]
    classes: Vec<Kind>,
    #[serde(default)]
    #[serde(rename = "charges")]
    charges: Charges,
    #[serde(rename = "contract")]
    contract: Contract,
    #[serde(rename = "policy_limits")]
    policy_limits: Limits,
    #[serde(default)]
    #[serde(rename = "registry_mode")]
    registry_mode: String,
    #[serde(default)]
    #[serde(rename = "reporting")]
    reporting: Reporting,
    #[serde(default)]
    #[serde(rename = "extra")]
    extra: Extra,
    #[serde(default)]
    #[serde(rename = "zones")]
    zones: Vec<String>,
    #[serde(default)]
    #[serde(rename = "tenants")]
    tenants: Vec<Tenant>,
}
#[derive(Deserialize)]
struct Tenant {
    #[serde(rename = "name")]
    name: String,
}
#[derive(Deserialize)]
struct Kind {
    #[serde(default)]
    #[serde(rename = "name")]
    name: String,
    #[serde(rename = "contract_time")]
    latency_objective: f64,
    #[serde(default)]
    #[serde(rename = "expiry")]
    deadline: f64,
    #[serde(rename = "effect")]
    idempotency: String,
    #[serde(default)]
    #[serde(rename = "group")]
    group: String,
    #[serde(rename = "payoff")]
    priority_weight: f64,
    #[serde(default)]
    #[serde(rename = "repeat_window")]
    repeat_window: f64,
}
#[derive(Deserialize, Default)]
#[serde(default)]
struct Charges {
    #[serde(rename = "cross_zone")]
    cross_zone: f64,
    #[serde(rename = "moves")]
    moves: f64,
}
#[derive(Deserialize)]
struct Contract {
    #[serde(default)]
    #[serde(rename = "ask_within")]
    max_poll_interval: f64,
    #[serde(rename = "cold")]
    cold: f64,
    #[serde(rename = "cold_from")]
    warm_up_initial_share: f64,
    #[serde(default)]
    #[serde(rename = "drain_grace")]
    drain_grace: f64,
    #[serde(rename = "tip_after")]
    overload_window: f64,
    #[serde(rename = "tip_multiple")]
    overload_factor: f64,
}
#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    #[serde(rename = "cancel")]
    cancel: bool,
    #[serde(default)]
    #[serde(rename = "connect_timeout")]
    connect_timeout: f64,
    #[serde(default)]
    #[serde(rename = "max_retry_after")]
    max_retry_after: f64,
    #[serde(default)]
    #[serde(rename = "may_probe")]
    may_probe: bool,
    #[serde(default)]
    #[serde(rename = "peers")]
    peers: bool,
    #[serde(rename = "most_hand_offs")]
    max_attempts: u32,
    #[serde(default)]
    #[serde(rename = "retry_after")]
    retry_after: bool,
}
#[derive(Deserialize, Default)]
#[serde(default)]
struct Reporting {
    #[serde(rename = "fields")]
    fields: Vec<String>,
    #[serde(rename = "via")]
    via: String,
}
#[derive(Deserialize, Default)]
#[serde(default)]
struct Extra {
    #[serde(rename = "groups")]
    groups: bool,
    #[serde(rename = "message_aim")]
    message_aim: Vec<Option<f64>>,
    #[serde(rename = "mode")]
    mode: String,
}

/// A null says the same as a missing key.
fn strip_nulls(value: &mut serde_json::Value) {
    match value {
        serde_json::Value::Object(map) => {
            map.retain(|_, v| !v.is_null());
            map.values_mut().for_each(strip_nulls);
        }
        serde_json::Value::Array(list) => list.iter_mut().for_each(strip_nulls),
        _ => {}
    }
}

/// Milliseconds as whole nanoseconds; nothing below zero, nothing past what can be added up.
pub fn nanos(ms: f64) -> Nanos {
    (ms * 1e6).round().clamp(0.0, 9e18) as Nanos
}

/// What the program round the module needs of the settings.
#[derive(Clone, Debug, Default)]
pub struct NodeSettings {
    /// The names on the wire, in the order of the indices that stand for them.
    pub classes: Vec<String>,
    /// Whether more may come of each.
    pub active: Vec<bool>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// The values of a load report, in order.
    pub load_metrics: Vec<String>,
    pub connect_within: Nanos,
    pub drain_grace: Nanos,
    /// The longest time that any client waits for its answer.
    pub max_request_timeout: Nanos,
}

impl NodeSettings {
    /// The place of an offering that may still come.
    pub fn class(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|&n| self.classes[n] == name && self.active[n])
    }

    /// All names whose places in their lists stand for them, each list behind its own name.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let lists = [
            ("offerings", &self.classes),
            ("tenants", &self.tenants),
            ("zones", &self.zones),
        ];
        lists
            .into_iter()
            .flat_map(|(of, all)| std::iter::once(of).chain(all.iter().map(String::as_str)))
    }
}

/// The module's charter alone.
pub fn balancer_settings(text: &[u8]) -> Result<BalancerSettings, String> {
    decode(text).map(|(balancer_settings, _)| balancer_settings)
}

impl Text {
    /// What the settings alone contradict each other in, or say in a word that nobody knows: a mix of two
    /// shapes of deployment, which would start and then do something that neither of them means.
    fn contradiction(&self) -> Option<String> {
        let words = [
            (
                "registry_mode",
                &self.registry_mode,
                &["", "pushed", "on_request"][..],
            ),
            (
                "reporting.via",
                &self.reporting.via,
                &["", "silent", "piggyback", "pull"],
            ),
            ("extra.mode", &self.extra.mode, &["", "proxy", "pass"]),
        ];
        let groups = self.classes.iter().map(|o| {
            (
                "offerings.group",
                &o.group,
                &["", "all", "zone", "cell"][..],
            )
        });
        if let Some((key, word, _)) = words
            .into_iter()
            .chain(groups)
            .find(|(_, w, all)| !all.contains(&w.as_str()))
        {
            return Some(format!("{key}: unknown word {word:?}"));
        }
        let reporting = &self.reporting;
        let (pulled, silent) = (
            reporting.via == "pull",
            matches!(reporting.via.as_str(), "" | "silent"),
        );
        if pulled && !self.policy_limits.may_probe {
            return Some(
                "reporting.via: reports by probe, but policy_limits.may_probe is false".into(),
            );
        }
        if pulled
            && !reporting
                .fields
                .iter()
                .any(|name| load_metric(name) != LoadMetric::Other)
        {
            return Some(
                "reporting.fields: reports by probe with neither x0, util nor x1 among them".into(),
            );
        }
        if silent && !reporting.fields.is_empty() {
            return Some(
                "reporting.fields: report fields, but reporting.via names no way to get them"
                    .into(),
            );
        }
        None
    }
}

fn load_metric(name: &str) -> LoadMetric {
    match name {
        "x0" => LoadMetric::Load,
        "util" => LoadMetric::Utilization,
        "x1" => LoadMetric::Backlog,
        _ => LoadMetric::Other,
    }
}

/// What a node that is to serve by the settings can't work with, though they can be read: whoever would have
/// nothing, or nothing in time, and what can't be told apart.
///
/// # Errors
/// One line that names the key.
pub fn sound(settings: &serde_json::Value) -> Result<(), String> {
    let over = |value: &serde_json::Value, key: &str, place: &str| match value
        .get(key)
        .and_then(serde_json::Value::as_f64)
    {
        Some(figure) if figure <= 0.0 => {
            Err(format!("settings: {place}{key}: {figure} is not over 0"))
        }
        _ => Ok(()),
    };
    let empty = Vec::new();
    let classes = settings["offerings"].as_array().unwrap_or(&empty);
    for (n, class) in classes.iter().enumerate() {
        for key in ["contract_time", "expiry"] {
            over(class, key, &format!("offerings.{n}."))?;
        }
        let same =
            |other: &serde_json::Value| !other["name"].is_null() && other["name"] == class["name"];
        if classes[..n].iter().any(same) {
            return Err(format!(
                "settings: offerings.{n}.name: {} stands there twice",
                class["name"]
            ));
        }
    }
    over(
        &settings["policy_limits"],
        "most_hand_offs",
        "policy_limits.",
    )
}

pub fn decode(text: &[u8]) -> Result<(BalancerSettings, NodeSettings), String> {
    let value = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    from_value(value)
}

pub fn from_value(
    mut value: serde_json::Value,
) -> Result<(BalancerSettings, NodeSettings), String> {
    strip_nulls(&mut value);
    let node_settings: Text =
        serde_json::from_value(value).map_err(|e| format!("settings: {e}"))?;
    if node_settings.classes.is_empty() {
        return Err("settings: no offering is listed".into());
    }
    if let Some(why) = node_settings.contradiction() {
        return Err(format!("settings: {why}"));
    }
    let mut classes = Vec::new();
    for (n, kind) in node_settings.classes.iter().enumerate() {
        classes.push(RequestClass {
            idempotency: match kind.idempotency.as_str() {
                "free" => Idempotency::Idempotent,
                "guarded" => Idempotency::WithKey,
                "single_shot" => Idempotency::NonIdempotent,
                other => {
                    return Err(format!(
                        "settings: offering {n} has the unknown effect {other:?}"
                    ))
                }
            },
            idempotency_group: match kind.group.as_str() {
                "zone" => IdempotencyGroup::Zone,
                "cell" => IdempotencyGroup::Cell,
                _ => IdempotencyGroup::All,
            },
            idempotency_window: nanos(kind.repeat_window),
            priority_weight: kind.priority_weight,
            latency_objective: nanos(kind.latency_objective),
            message_latency_objective: nanos(
                node_settings
                    .extra
                    .message_aim
                    .get(n)
                    .copied()
                    .flatten()
                    .unwrap_or(kind.latency_objective),
            ),
            active: true,
        });
    }
    let limits = &node_settings.policy_limits;
    let max_request_timeout = nanos(
        node_settings
            .classes
            .iter()
            .map(|o| o.deadline)
            .fold(0.0, f64::max),
    );
    let balancer_settings = BalancerSettings {
        max_request_timeout,
        node_index: node_settings.index,
        node_count: node_settings.balancers.max(1),
        zone: node_settings.zone,
        centralized: false,
        min_call_interval: nanos(node_settings.round),
        classes,
        max_attempts: limits.max_attempts,
        may_cancel: limits.cancel,
        max_retry_after: if limits.retry_after {
            nanos(limits.max_retry_after)
        } else {
            0
        },
        endpoints_are_polled: node_settings.registry_mode == "on_request",
        max_poll_interval: nanos(node_settings.contract.max_poll_interval),
        warm_up: nanos(node_settings.contract.cold),
        warm_up_initial_share: node_settings.contract.warm_up_initial_share,
        overload_factor: node_settings.contract.overload_factor,
        overload_window: nanos(node_settings.contract.overload_window),
        passthrough: node_settings.extra.mode == "pass",
        groups_enabled: node_settings.extra.groups,
        cross_zone_cost: node_settings.charges.cross_zone,
        migration_cost: node_settings.charges.moves,
        load_from_probes: limits.may_probe && node_settings.reporting.via == "pull",
        gossip_enabled: limits.peers,
        load_metrics: node_settings
            .reporting
            .fields
            .iter()
            .map(|name| load_metric(name))
            .collect(),
        slow_start_slots: Vec::new(),
    };
    let connect_within = match nanos(limits.connect_timeout) {
        0 => SECOND / 4,
        within => within,
    };
    let node_settings = NodeSettings {
        max_request_timeout,
        active: vec![true; node_settings.classes.len()],
        classes: node_settings.classes.into_iter().map(|o| o.name).collect(),
        tenants: node_settings.tenants.into_iter().map(|t| t.name).collect(),
        zones: node_settings.zones,
        load_metrics: node_settings.reporting.fields,
        connect_within,
        drain_grace: nanos(node_settings.contract.drain_grace),
    };
    Ok((balancer_settings, node_settings))
}

#[cfg(test)]
#[path = "lib_tests.rs"]
mod tests;
