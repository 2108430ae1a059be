//! Tests which settings are accepted, and what they decode into.

use super::*;
use serde_json::json;

/// Decodes valid settings in which these values replace those at their JSON pointers.
fn decode_with(overrides: &[(&str, serde_json::Value)]) -> Result<Settings, SettingsError> {
    let mut settings = json!({"balancers": 3, "index": 1, "registry_mode": "on_request",
        "offerings": [{"contract_time": 500, "expiry": 2000, "effect": "free", "group": "all", "payoff": 1}],
        "contract": {"cold": 10000, "cold_from": 0.2, "tip_after": 1000, "tip_multiple": 3},
        "reporting": {"fields": [], "via": "silent"}, "extra": {"mode": "proxy"},
        "policy_limits": {"may_probe": true, "most_hand_offs": 3, "peers": false}});
    for (pointer, value) in overrides {
        *settings.pointer_mut(pointer).expect(pointer) = value.clone();
    }
    Settings::from_value(settings)
}

#[test]
fn gossip_and_load_from_probes_are_enabled_by_the_settings() {
    let without = decode_with(&[]).unwrap().balancer;
    assert!(
        !without.gossip_enabled && !without.load_from_probes && without.load_metrics.is_empty()
    );
    let reporting = json!({"fields": ["qps", "util", "x0"], "via": "pull"});
    let with = decode_with(&[
        ("/reporting", reporting),
        ("/policy_limits/peers", json!(true)),
    ])
    .unwrap()
    .balancer;
    assert!(with.gossip_enabled && with.load_from_probes);
    assert_eq!(
        with.load_metrics,
        [LoadMetric::Other, LoadMetric::Utilization, LoadMetric::Load]
    );
}

/// Guards against a node that starts with options of two deployment modes, serves badly and reports no error.
#[test]
fn options_of_two_deployment_modes_are_rejected_with_the_key() {
    let pull = |fields: serde_json::Value| json!({"fields": fields, "via": "pull"});
    for (overrides, key) in [
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
        (vec![("/reporting/via", json!("unknown"))], "reporting.via"),
        (vec![("/registry_mode", json!("unknown"))], "registry_mode"),
        (vec![("/extra/mode", json!("unknown"))], "extra.mode"),
        (
            vec![("/offerings/0/group", json!("unknown"))],
            "offerings.group",
        ),
    ] {
        let error = decode_with(&overrides)
            .err()
            .unwrap_or_else(|| panic!("accepted: {overrides:?}"))
            .to_string();
        assert!(
            error.starts_with(&format!("settings: {key}: ")) && !error.contains('\n'),
            "{error}"
        );
    }
}
