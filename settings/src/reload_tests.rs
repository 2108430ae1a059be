//! Tests which class index keeps its meaning over a reload, and which missing key is reported.

use super::*;
use serde_json::json;

fn settings(classes: &[(&str, &str)], attempts: u32) -> Settings {
    let class = |(name, idempotency): &(&str, &str)| json!({"name": name, "contract_time": 500, "expiry": 2000, "effect": idempotency, "payoff": 1});
    let classes: Vec<Value> = classes.iter().map(class).collect();
    Settings::from_value(json!({"balancers": 1, "index": 0, "offerings": classes,
        "contract": {"cold": 10000, "cold_from": 0.2, "tip_after": 1000, "tip_multiple": 3},
        "policy_limits": {"most_hand_offs": attempts}}))
    .unwrap()
}

/// Guards against a request in flight that is handled under a different class, or under changed parameters of its own class,
/// after a reload.
#[test]
fn an_index_keeps_its_meaning_while_it_is_referenced() {
    let Settings {
        balancer: mut balancer_settings,
        node: mut node_settings,
    } = settings(&[("a", "free"), ("b", "free")], 5);
    let reload = |balancer_settings: &mut BalancerSettings,
                  node_settings: &mut NodeSettings,
                  to: &[(&str, &str)],
                  referenced: &[usize]| {
        apply(balancer_settings, node_settings, settings(to, 2), |index| {
            referenced.contains(&index)
        })
    };
    // `a` is removed while it is referenced, `b` is no longer idempotent, `c` is new.
    let to = [("b", "single_shot"), ("c", "free")];
    assert_eq!(
        reload(&mut balancer_settings, &mut node_settings, &to, &[0, 1]),
        [2, 3]
    );
    assert_eq!(node_settings.classes, ["a", "b", "b", "c"]);
    assert_eq!(
        (
            node_settings.active_class_index("a"),
            node_settings.active_class_index("b"),
            node_settings.active_class_index("c")
        ),
        (None, Some(2), Some(3))
    );
    assert_eq!(
        balancer_settings.classes[1].idempotency,
        reedferry::Idempotency::Idempotent
    );
    assert_eq!(
        balancer_settings.classes[2].idempotency,
        reedferry::Idempotency::NonIdempotent
    );
    assert_eq!(balancer_settings.max_attempts, 2);
    // `a` is added again with the same parameters while its old index is referenced: it gets that index again.
    assert_eq!(
        reload(
            &mut balancer_settings,
            &mut node_settings,
            &[("a", "free"), ("c", "free")],
            &[0]
        ),
        [0; 0]
    );
    assert_eq!(
        (
            node_settings.active_class_index("a"),
            node_settings.active_class_index("b"),
            node_settings.active_class_index("c")
        ),
        (Some(0), None, Some(3))
    );
}

/// Guards against a class table that grows with each reload.
#[test]
fn an_unreferenced_index_is_reused() {
    let Settings {
        balancer: mut balancer_settings,
        node: mut node_settings,
    } = settings(&[("a", "free"), ("b", "free")], 5);
    let newer = [("b", "single_shot"), ("c", "free")];
    apply(
        &mut balancer_settings,
        &mut node_settings,
        settings(&newer, 2),
        |_| true,
    );
    assert_eq!(balancer_settings.classes.len(), 4);
    for n in 0..1000 {
        let names = [format!("x{n}"), format!("y{n}")];
        let newer = settings(&[(&names[0], "free"), (&names[1], "guarded")], 2);
        apply(&mut balancer_settings, &mut node_settings, newer, |_| false);
        assert_eq!(balancer_settings.classes.len(), 4);
        let active = balancer_settings.classes.iter().filter(|c| c.active);
        assert_eq!(active.count(), 2);
    }
}

#[test]
fn a_missing_key_is_reported_with_its_path() {
    let current = json!({"a": {"b": 1, "c": [{"d": 1, "e": 2}]}, "f": []});
    for (newer, missing) in [
        (
            json!({"a": {"b": 2, "c": [{"d": 1, "e": 2, "g": 3}, {"d": 4, "e": 5}]}, "f": [7]}),
            None,
        ),
        (json!({"a": {"b": 2, "c": []}, "f": [], "h": 1}), None),
        (json!({"a": {"b": 2, "c": []}}), Some("f")),
        (json!({"a": {"c": []}, "f": []}), Some("a.b")),
        (json!({"a": {"b": null, "c": []}, "f": []}), Some("a.b")),
        (
            json!({"a": {"b": 2, "c": [{"d": 1, "e": 2}, {"d": 1}]}, "f": []}),
            Some("a.c.1.e"),
        ),
    ] {
        assert_eq!(missing_key(&current, &newer).as_deref(), missing);
    }
}
