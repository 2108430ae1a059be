//! Tests that each key of the settings is decoded. The keys and values must not change, because existing settings use them.

use reedferry::{Idempotency, IdempotencyGroup, LoadMetric, MILLI};
use reedferry_settings::Settings;
use serde_json::json;

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one document with all keys, and the decoded value of each"
)]
fn each_key_of_the_settings_is_decoded() {
    let class = |name: &str, idempotency: &str, group: &str| {
        json!({"name": name, "contract_time": 500, "expiry": 2000, "effect": idempotency, "group": group,
            "payoff": 1.5, "repeat_window": 700})
    };
    let settings = json!({"balancers": 3, "index": 2, "zone": 1, "round": 4.0, "zones": ["a", "b"],
        "offerings": [class("x", "free", "all"), class("y", "guarded", "zone"),
            class("z", "single_shot", "cell")],
        "charges": {"cross_zone": 0.25, "moves": 0.5},
        "contract": {"ask_within": 9000, "cold": 10000, "cold_from": 0.2, "drain_grace": 300,
            "tip_after": 1000, "tip_multiple": 3},
        "policy_limits": {"cancel": true, "connect_timeout": 260, "max_retry_after": 1100, "may_probe": true,
            "peers": true, "most_hand_offs": 5, "retry_after": true},
        "registry_mode": "on_request", "reporting": {"fields": ["x0", "util", "x1", "qps"], "via": "pull"},
        "extra": {"groups": true, "message_aim": [100, null, 120], "mode": "pass"},
        "tenants": [{"name": "acme"}]});
    let Settings {
        balancer: balancer_settings,
        node: node_settings,
    } = Settings::from_value(settings).unwrap();
    assert_eq!(
        (
            balancer_settings.node_index,
            balancer_settings.node_count,
            balancer_settings.zone
        ),
        (2, 3, 1)
    );
    assert_eq!(
        (
            balancer_settings.min_call_interval,
            balancer_settings.max_attempts,
            balancer_settings.may_cancel
        ),
        (4 * MILLI, 5, true)
    );
    assert_eq!(
        (
            balancer_settings.max_request_timeout,
            balancer_settings.max_retry_after
        ),
        (2000 * MILLI, 1100 * MILLI)
    );
    assert_eq!(
        (
            balancer_settings.endpoints_are_polled,
            balancer_settings.max_poll_interval
        ),
        (true, 9000 * MILLI)
    );
    assert_eq!(
        (
            balancer_settings.warm_up,
            balancer_settings.warm_up_initial_share
        ),
        (10_000 * MILLI, 0.2)
    );
    assert_eq!(
        (
            balancer_settings.overload_window,
            balancer_settings.overload_factor
        ),
        (1000 * MILLI, 3.0)
    );
    assert_eq!(
        (
            balancer_settings.passthrough,
            balancer_settings.groups_enabled,
            balancer_settings.centralized
        ),
        (true, true, false)
    );
    assert_eq!(
        (
            balancer_settings.cross_zone_cost,
            balancer_settings.migration_cost
        ),
        (0.25, 0.5)
    );
    assert_eq!(
        (
            balancer_settings.load_from_probes,
            balancer_settings.gossip_enabled
        ),
        (true, true)
    );
    assert_eq!(
        balancer_settings.load_metrics,
        [
            LoadMetric::Load,
            LoadMetric::Utilization,
            LoadMetric::Backlog,
            LoadMetric::Other
        ]
    );
    assert!(balancer_settings.slow_start_slots.is_empty());
    let idempotencies: Vec<_> = balancer_settings
        .classes
        .iter()
        .map(|class| (class.idempotency, class.idempotency_group))
        .collect();
    assert_eq!(
        idempotencies,
        [
            (Idempotency::Idempotent, IdempotencyGroup::All),
            (Idempotency::WithKey, IdempotencyGroup::Zone),
            (Idempotency::NonIdempotent, IdempotencyGroup::Cell)
        ]
    );
    let message_objectives: Vec<_> = balancer_settings
        .classes
        .iter()
        .map(|class| class.message_latency_objective / MILLI)
        .collect();
    assert_eq!(message_objectives, [100, 500, 120]);
    let first = &balancer_settings.classes[0];
    assert_eq!(
        (first.idempotency_window, first.priority_weight),
        (700 * MILLI, 1.5)
    );
    assert_eq!((first.latency_objective, first.active), (500 * MILLI, true));
    assert_eq!(
        (
            node_settings.classes.join(" "),
            node_settings.zones.join(" ")
        ),
        ("x y z".into(), "a b".into())
    );
    assert_eq!(
        (
            node_settings.tenants.join(" "),
            node_settings.load_metrics.join(" ")
        ),
        ("acme".into(), "x0 util x1 qps".into())
    );
    assert_eq!(
        (node_settings.connect_timeout, node_settings.drain_grace),
        (260 * MILLI, 300 * MILLI)
    );
    assert_eq!(
        (node_settings.max_request_timeout, node_settings.active),
        (2000 * MILLI, vec![true; 3])
    );
}
