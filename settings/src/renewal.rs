//! New settings in place of those in force. It owns which offering keeps which index for as long as the program
//! runs: an index never changes its meaning while an attachment goes by it, so what is under way keeps its
//! offering and its terms, whatever the settings say by now. It must never take half of a file up, nor
//! decide what new terms mean for what is held.

use crate::NodeSettings;
use reedferry::{BalancerSettings, RequestClass};
use serde_json::Value;

/// The key that stands in what is in force and is missing in what is to follow it, with its place.
pub fn missing(before: &Value, after: &Value) -> Option<String> {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => before.iter().find_map(|(key, value)| {
            // A null says the same as a missing key.
            let then = after
                .get(key)
                .filter(|then| value.is_null() || !then.is_null());
            let Some(then) = then else {
                return Some(key.clone());
            };
            missing(value, then).map(|rest| format!("{key}.{rest}"))
        }),
        // Any of the entries shows which keys one has.
        (Value::Array(before), Value::Array(after)) => {
            let one = before.first()?;
            after
                .iter()
                .enumerate()
                .find_map(|(n, then)| Some(format!("{n}.{}", missing(one, then)?)))
        }
        _ => None,
    }
}

/// Takes new terms up, and gives the indices that stand for another offering than before. `held` says
/// whether any attachment goes by an index.
pub fn renew(
    (balancer_settings, node_settings): (&mut BalancerSettings, &mut NodeSettings),
    (mut fresh, mut named): (BalancerSettings, NodeSettings),
    held: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut classes = std::mem::take(&mut balancer_settings.classes);
    let mut names = std::mem::take(&mut node_settings.classes);
    let wanted: Vec<_> = std::mem::take(&mut named.classes)
        .into_iter()
        .zip(fresh.classes)
        .collect();
    classes.iter_mut().for_each(|class| class.active = false);
    let mut others = Vec::new();
    for (name, class) in wanted {
        let same = |n: &usize| names[*n] == name && classes[*n].same_terms(&class);
        match (0..classes.len()).find(same) {
            Some(n) => classes[n].active = true,
            None => others.push((name, class)),
        }
    }
    let mut changed = Vec::new();
    for (name, class) in others {
        let free = (0..classes.len()).find(|&n| !classes[n].active && !held(n));
        let place = free.unwrap_or(classes.len());
        if place == classes.len() {
            classes.push(class);
            names.push(name);
        } else {
            (classes[place], names[place]) = (class, name);
        }
        changed.push(place);
    }
    named.active = classes.iter().map(|class| class.active).collect();
    (fresh.classes, named.classes) = (classes, names);
    (*balancer_settings, *node_settings) = (fresh, named);
    changed
}

/// Makes room for what another process holds and may pass on, by its own terms: what is not offered here under the same name
/// and terms is kept beside, and no more of it may come. Guards: one customer's connection that goes by another's terms.
pub fn keep(
    (balancer_settings, node_settings): (&mut BalancerSettings, &mut NodeSettings),
    held: Vec<(String, RequestClass)>,
) {
    for (name, class) in held {
        if place(
            (&balancer_settings.classes, &node_settings.classes),
            &name,
            &class,
        )
        .is_none()
        {
            balancer_settings.classes.push(RequestClass {
                active: false,
                ..class
            });
            node_settings.classes.push(name);
            node_settings.active.push(false);
        }
    }
}

/// The place of an offering of this name that means the same, offered or not.
pub fn place(
    (classes, names): (&[RequestClass], &[String]),
    name: &str,
    of: &RequestClass,
) -> Option<usize> {
    (0..classes.len()).find(|&n| names[n] == name && classes[n].same_terms(of))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::from_value;
    use serde_json::json;

    fn told(classes: &[(&str, &str)], attempts: u32) -> (BalancerSettings, NodeSettings) {
        let class = |(name, idempotency): &(&str, &str)| json!({"name": name, "contract_time": 500, "expiry": 2000, "effect": idempotency, "payoff": 1});
        let classes: Vec<Value> = classes.iter().map(class).collect();
        from_value(json!({"balancers": 1, "index": 0, "offerings": classes,
            "contract": {"cold": 10000, "cold_from": 0.2, "tip_after": 1000, "tip_multiple": 3},
            "policy_limits": {"most_hand_offs": attempts}}))
        .unwrap()
    }

    /// Guards: an attachment under way that is taken for one of another offering, or under stricter or more
    /// lenient terms than it came by.
    #[test]
    fn an_index_keeps_its_meaning_while_it_is_held() {
        let (mut balancer_settings, mut node_settings) = told(&[("a", "free"), ("b", "free")], 5);
        let renewed = |balancer_settings: &mut BalancerSettings,
                       node_settings: &mut NodeSettings,
                       to: &[(&str, &str)],
                       held: &[usize]| {
            renew((balancer_settings, node_settings), told(to, 2), |n| {
                held.contains(&n)
            })
        };
        // `a` vanishes while it is held, `b` becomes stricter, `c` is new.
        let to = [("b", "single_shot"), ("c", "free")];
        assert_eq!(
            renewed(&mut balancer_settings, &mut node_settings, &to, &[0, 1]),
            [2, 3]
        );
        assert_eq!(node_settings.classes, ["a", "b", "b", "c"]);
        assert_eq!(
            (
                node_settings.class("a"),
                node_settings.class("b"),
                node_settings.class("c")
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
        // `a` comes again while one of its first time is held: the same terms, the same index.
        assert_eq!(
            renewed(
                &mut balancer_settings,
                &mut node_settings,
                &[("a", "free"), ("c", "free")],
                &[0]
            ),
            [0; 0]
        );
        assert_eq!(
            (
                node_settings.class("a"),
                node_settings.class("b"),
                node_settings.class("c")
            ),
            (Some(0), None, Some(3))
        );
        // What nobody holds is used again, so that the table stays short.
        for n in 0..1000 {
            let names = [format!("x{n}"), format!("y{n}")];
            renewed(
                &mut balancer_settings,
                &mut node_settings,
                &[(&names[0], "free"), (&names[1], "guarded")],
                &[],
            );
            assert_eq!(balancer_settings.classes.len(), 4);
            assert_eq!(
                balancer_settings
                    .classes
                    .iter()
                    .filter(|o| o.active)
                    .count(),
                2
            );
        }
    }

    #[test]
    fn a_key_that_is_gone_is_named_with_its_place() {
        let before = json!({"a": {"b": 1, "c": [{"d": 1, "e": 2}]}, "f": []});
        for (after, gone) in [
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
            assert_eq!(missing(&before, &after).as_deref(), gone);
        }
    }
}
