//! Decodes the settings that a node is given at its start: into the module's [`Charter`], and into the
//! few [`Terms`] that the program round the module needs beside it. The adapter and the node share it.

pub mod renewal;

use reedferry::{Charter, Circle, Effect, Gauge, Nanos, Offering, SECOND};
use serde::Deserialize;

#[derive(Deserialize)]
struct Text {
    balancers: u32,
    index: u32,
    #[serde(default)]
    zone: u16,
    #[serde(default)]
    round: f64,
    offerings: Vec<Kind>,
    #[serde(default)]
    charges: Charges,
    contract: Contract,
    policy_limits: Limits,
    #[serde(default)]
    registry_mode: String,
    #[serde(default)]
    reporting: Reporting,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    tenants: Vec<Tenant>,
}
#[derive(Deserialize)]
struct Tenant {
    name: String,
}
#[derive(Deserialize)]
struct Kind {
    #[serde(default)]
    name: String,
    contract_time: f64,
    #[serde(default)]
    expiry: f64,
    effect: String,
    #[serde(default)]
    group: String,
    payoff: f64,
    #[serde(default)]
    repeat_window: f64,
}
#[derive(Deserialize, Default)]
#[serde(default)]
struct Charges {
    cross_zone: f64,
    moves: f64,
}
#[derive(Deserialize)]
struct Contract {
    #[serde(default)]
    ask_within: f64,
    cold: f64,
    cold_from: f64,
    #[serde(default)]
    drain_grace: f64,
    tip_after: f64,
    tip_multiple: f64,
}
#[derive(Deserialize)]
struct Limits {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    connect_timeout: f64,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    peers: bool,
    most_hand_offs: u32,
    #[serde(default)]
    retry_after: bool,
}
#[derive(Deserialize, Default)]
#[serde(default)]
struct Reporting {
    fields: Vec<String>,
    via: String,
}
#[derive(Deserialize, Default)]
#[serde(default)]
struct Extra {
    groups: bool,
    message_aim: Vec<Option<f64>>,
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
pub struct Terms {
    /// The names on the wire, in the order of the indices that stand for them.
    pub offerings: Vec<String>,
    /// Whether more may come of each.
    pub offered: Vec<bool>,
    pub tenants: Vec<String>,
    pub zones: Vec<String>,
    /// The values of a load report, in order.
    pub gauges: Vec<String>,
    pub connect_within: Nanos,
    pub drain_grace: Nanos,
    /// The longest time that any client waits for its answer.
    pub longest_expiry: Nanos,
}

impl Terms {
    /// The place of an offering that may still come.
    pub fn offering(&self, name: &str) -> Option<usize> {
        (0..self.offerings.len()).find(|&n| self.offerings[n] == name && self.offered[n])
    }

    /// All names whose places in their lists stand for them, each list behind its own name.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let lists = [
            ("offerings", &self.offerings),
            ("tenants", &self.tenants),
            ("zones", &self.zones),
        ];
        lists
            .into_iter()
            .flat_map(|(of, all)| std::iter::once(of).chain(all.iter().map(String::as_str)))
    }
}

/// The module's charter alone.
pub fn charter(text: &[u8]) -> Result<Charter, String> {
    decode(text).map(|(charter, _)| charter)
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
        let groups = self.offerings.iter().map(|o| {
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
                .any(|name| gauge(name) != Gauge::Other)
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

fn gauge(name: &str) -> Gauge {
    match name {
        "x0" => Gauge::Load,
        "util" => Gauge::Busy,
        "x1" => Gauge::Backlog,
        _ => Gauge::Other,
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
        .and_then(|v| v.as_f64())
    {
        Some(figure) if figure <= 0.0 => {
            Err(format!("settings: {place}{key}: {figure} is not over 0"))
        }
        _ => Ok(()),
    };
    let empty = Vec::new();
    let offerings = settings["offerings"].as_array().unwrap_or(&empty);
    for (n, offering) in offerings.iter().enumerate() {
        for key in ["contract_time", "expiry"] {
            over(offering, key, &format!("offerings.{n}."))?;
        }
        let same = |other: &serde_json::Value| {
            !other["name"].is_null() && other["name"] == offering["name"]
        };
        if offerings[..n].iter().any(same) {
            return Err(format!(
                "settings: offerings.{n}.name: {} stands there twice",
                offering["name"]
            ));
        }
    }
    over(
        &settings["policy_limits"],
        "most_hand_offs",
        "policy_limits.",
    )
}

pub fn decode(text: &[u8]) -> Result<(Charter, Terms), String> {
    let value = serde_json::from_slice(text).map_err(|e| format!("settings: {e}"))?;
    from_value(value)
}

pub fn from_value(mut value: serde_json::Value) -> Result<(Charter, Terms), String> {
    strip_nulls(&mut value);
    let terms: Text = serde_json::from_value(value).map_err(|e| format!("settings: {e}"))?;
    if terms.offerings.is_empty() {
        return Err("settings: no offering is listed".into());
    }
    if let Some(why) = terms.contradiction() {
        return Err(format!("settings: {why}"));
    }
    let mut offerings = Vec::new();
    for (n, kind) in terms.offerings.iter().enumerate() {
        offerings.push(Offering {
            effect: match kind.effect.as_str() {
                "free" => Effect::Redoable,
                "guarded" => Effect::Labelled,
                "single_shot" => Effect::Irreversible,
                other => {
                    return Err(format!(
                        "settings: offering {n} has the unknown effect {other:?}"
                    ))
                }
            },
            circle: match kind.group.as_str() {
                "zone" => Circle::Zone,
                "cell" => Circle::Cell,
                _ => Circle::All,
            },
            window: nanos(kind.repeat_window),
            payoff: kind.payoff,
            contract_time: nanos(kind.contract_time),
            message_time: nanos(
                terms
                    .extra
                    .message_aim
                    .get(n)
                    .copied()
                    .flatten()
                    .unwrap_or(kind.contract_time),
            ),
            offered: true,
        });
    }
    let limits = &terms.policy_limits;
    let longest_expiry = nanos(terms.offerings.iter().map(|o| o.expiry).fold(0.0, f64::max));
    let charter = Charter {
        longest_expiry,
        node: terms.index,
        nodes: terms.balancers.max(1),
        zone: terms.zone,
        gathers: false,
        round: nanos(terms.round),
        offerings,
        most_hand_offs: limits.most_hand_offs,
        may_call_off: limits.cancel,
        longest_advice: if limits.retry_after {
            nanos(limits.max_retry_after)
        } else {
            0
        },
        roll_on_request: terms.registry_mode == "on_request",
        ask_within: nanos(terms.contract.ask_within),
        cold: nanos(terms.contract.cold),
        cold_from: terms.contract.cold_from,
        tip_multiple: terms.contract.tip_multiple,
        tip_after: nanos(terms.contract.tip_after),
        pass: terms.extra.mode == "pass",
        groups: terms.extra.groups,
        cross_zone_charge: terms.charges.cross_zone,
        move_charge: terms.charges.moves,
        probe_for_gauges: limits.may_probe && terms.reporting.via == "pull",
        peers: limits.peers,
        gauges: terms
            .reporting
            .fields
            .iter()
            .map(|name| gauge(name))
            .collect(),
        turns: Vec::new(),
    };
    let connect_within = match nanos(limits.connect_timeout) {
        0 => SECOND / 4,
        within => within,
    };
    let terms = Terms {
        longest_expiry,
        offered: vec![true; terms.offerings.len()],
        offerings: terms.offerings.into_iter().map(|o| o.name).collect(),
        tenants: terms.tenants.into_iter().map(|t| t.name).collect(),
        zones: terms.zones,
        gauges: terms.reporting.fields,
        connect_within,
        drain_grace: nanos(terms.contract.drain_grace),
    };
    Ok((charter, terms))
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    /// Settings of the kept shape, with these put over them.
    fn told(over: &[(&str, serde_json::Value)]) -> Result<(Charter, Terms), String> {
        let mut settings = json!({"balancers": 3, "index": 1, "registry_mode": "on_request",
            "offerings": [{"contract_time": 500, "expiry": 2000, "effect": "free", "group": "all", "payoff": 1}],
            "contract": {"cold": 10000, "cold_from": 0.2, "tip_after": 1000, "tip_multiple": 3},
            "reporting": {"fields": [], "via": "silent"}, "extra": {"mode": "proxy"},
            "policy_limits": {"may_probe": true, "most_hand_offs": 3, "peers": false}});
        for (place, value) in over {
            *settings.pointer_mut(place).expect(place) = value.clone();
        }
        from_value(settings)
    }

    #[test]
    fn the_settings_alone_say_which_shape_is_in_force() {
        let (old, _) = told(&[]).unwrap();
        assert!(!old.peers && !old.probe_for_gauges && old.gauges.is_empty());
        let reporting = json!({"fields": ["qps", "util", "x0"], "via": "pull"});
        let (new, _) = told(&[
            ("/reporting", reporting),
            ("/policy_limits/peers", json!(true)),
        ])
        .unwrap();
        assert!(new.peers && new.probe_for_gauges);
        assert_eq!(new.gauges, [Gauge::Other, Gauge::Busy, Gauge::Load]);
    }

    /// Guards: a node that starts with half of one shape and half of another, and serves badly in silence.
    #[test]
    fn a_mix_is_refused_and_the_key_named() {
        let pull = |fields: serde_json::Value| json!({"fields": fields, "via": "pull"});
        for (over, key) in [
            (
                vec![
                    ("/reporting", pull(json!(["x0"]))),
                    ("/policy_limits/may_probe", json!(false)),
                ],
                "reporting.via",
            ),
            (vec![("/reporting", pull(json!([])))], "reporting.fields"),
            (
                vec![("/reporting", pull(json!(["qps", "eps"])))],
                "reporting.fields",
            ),
            (
                vec![("/reporting/fields", json!(["x0"]))],
                "reporting.fields",
            ),
            (
                vec![("/reporting/via", json!("by pigeon"))],
                "reporting.via",
            ),
            (
                vec![("/registry_mode", json!("sometimes"))],
                "registry_mode",
            ),
            (vec![("/extra/mode", json!("both"))], "extra.mode"),
            (
                vec![("/offerings/0/group", json!("town"))],
                "offerings.group",
            ),
        ] {
            let why = told(&over)
                .err()
                .unwrap_or_else(|| panic!("taken: {over:?}"));
            assert!(
                why.starts_with(&format!("settings: {key}: ")) && !why.contains('\n'),
                "{why}"
            );
        }
    }
}
