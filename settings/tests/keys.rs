//! The keys of the settings, each with a value of its own: settings of today are read tomorrow.

use reedferry::{Circle, Effect, Gauge, MILLI};
use serde_json::json;

#[test]
fn each_key_of_the_settings_is_read() {
    let offering = |name: &str, effect: &str, group: &str| {
        json!({"name": name, "contract_time": 500, "expiry": 2000, "effect": effect, "group": group,
            "payoff": 1.5, "repeat_window": 700})
    };
    let settings = json!({"balancers": 3, "index": 2, "zone": 1, "round": 4.0, "zones": ["a", "b"],
        "offerings": [offering("x", "free", "all"), offering("y", "guarded", "zone"),
            offering("z", "single_shot", "cell")],
        "charges": {"cross_zone": 0.25, "moves": 0.5},
        "contract": {"ask_within": 9000, "cold": 10000, "cold_from": 0.2, "drain_grace": 300,
            "tip_after": 1000, "tip_multiple": 3},
        "policy_limits": {"cancel": true, "connect_timeout": 260, "max_retry_after": 1100, "may_probe": true,
            "peers": true, "most_hand_offs": 5, "retry_after": true},
        "registry_mode": "on_request", "reporting": {"fields": ["x0", "util", "x1", "qps"], "via": "pull"},
        "extra": {"groups": true, "message_aim": [100, null, 120], "mode": "pass"},
        "tenants": [{"name": "acme"}]});
    let (charter, terms) = reedferry_settings::from_value(settings).unwrap();
    assert_eq!((charter.node, charter.nodes, charter.zone), (2, 3, 1));
    assert_eq!(
        (charter.round, charter.most_hand_offs, charter.may_call_off),
        (4 * MILLI, 5, true)
    );
    assert_eq!(
        (charter.longest_expiry, charter.longest_advice),
        (2000 * MILLI, 1100 * MILLI)
    );
    assert_eq!(
        (charter.roll_on_request, charter.ask_within),
        (true, 9000 * MILLI)
    );
    assert_eq!((charter.cold, charter.cold_from), (10_000 * MILLI, 0.2));
    assert_eq!(
        (charter.tip_after, charter.tip_multiple),
        (1000 * MILLI, 3.0)
    );
    assert_eq!(
        (charter.pass, charter.groups, charter.gathers),
        (true, true, false)
    );
    assert_eq!(
        (charter.cross_zone_charge, charter.move_charge),
        (0.25, 0.5)
    );
    assert_eq!((charter.probe_for_gauges, charter.peers), (true, true));
    assert_eq!(
        charter.gauges,
        [Gauge::Load, Gauge::Busy, Gauge::Backlog, Gauge::Other]
    );
    assert!(charter.turns.is_empty());
    let effects: Vec<_> = charter
        .offerings
        .iter()
        .map(|o| (o.effect, o.circle))
        .collect();
    assert_eq!(
        effects,
        [
            (Effect::Redoable, Circle::All),
            (Effect::Labelled, Circle::Zone),
            (Effect::Irreversible, Circle::Cell)
        ]
    );
    let aims: Vec<_> = charter
        .offerings
        .iter()
        .map(|o| o.message_time / MILLI)
        .collect();
    assert_eq!(aims, [100, 500, 120]);
    let first = &charter.offerings[0];
    assert_eq!((first.window, first.payoff), (700 * MILLI, 1.5));
    assert_eq!((first.contract_time, first.offered), (500 * MILLI, true));
    assert_eq!(
        (terms.offerings.join(" "), terms.zones.join(" ")),
        ("x y z".into(), "a b".into())
    );
    assert_eq!(
        (terms.tenants.join(" "), terms.gauges.join(" ")),
        ("acme".into(), "x0 util x1 qps".into())
    );
    assert_eq!(
        (terms.connect_within, terms.drain_grace),
        (260 * MILLI, 300 * MILLI)
    );
    assert_eq!(
        (terms.longest_expiry, terms.offered),
        (2000 * MILLI, vec![true; 3])
    );
}
