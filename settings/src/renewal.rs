//! New settings in place of those in force. It owns which offering keeps which index for as long as the program
//! runs: an index never changes its meaning while an attachment goes by it, so what is under way keeps its
//! offering and its terms, whatever the settings say by now. It must never take half of a file up, nor
//! decide what new terms mean for what is held.

use crate::Terms;
use reedferry::{Charter, Offering};
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
    (charter, terms): (&mut Charter, &mut Terms),
    (mut fresh, mut named): (Charter, Terms),
    held: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let mut offerings = std::mem::take(&mut charter.offerings);
    let mut names = std::mem::take(&mut terms.offerings);
    let wanted: Vec<_> = std::mem::take(&mut named.offerings)
        .into_iter()
        .zip(fresh.offerings)
        .collect();
    offerings
        .iter_mut()
        .for_each(|offering| offering.offered = false);
    let mut others = Vec::new();
    for (name, offering) in wanted {
        let same = |n: &usize| names[*n] == name && offerings[*n].same_terms(&offering);
        match (0..offerings.len()).find(same) {
            Some(n) => offerings[n].offered = true,
            None => others.push((name, offering)),
        }
    }
    let mut changed = Vec::new();
    for (name, offering) in others {
        let free = (0..offerings.len()).find(|&n| !offerings[n].offered && !held(n));
        let place = free.unwrap_or(offerings.len());
        if place == offerings.len() {
            offerings.push(offering);
            names.push(name);
        } else {
            (offerings[place], names[place]) = (offering, name);
        }
        changed.push(place);
    }
    named.offered = offerings.iter().map(|offering| offering.offered).collect();
    (fresh.offerings, named.offerings) = (offerings, names);
    (*charter, *terms) = (fresh, named);
    changed
}

/// Makes room for what another process holds and may pass on, by its own terms: what is not offered here under the same name
/// and terms is kept beside, and no more of it may come. Guards: one customer's connection that goes by another's terms.
pub fn keep((charter, terms): (&mut Charter, &mut Terms), held: Vec<(String, Offering)>) {
    for (name, offering) in held {
        if place((&charter.offerings, &terms.offerings), &name, &offering).is_none() {
            charter.offerings.push(Offering {
                offered: false,
                ..offering
            });
            terms.offerings.push(name);
            terms.offered.push(false);
        }
    }
}

/// The place of an offering of this name that means the same, offered or not.
pub fn place(
    (offerings, names): (&[Offering], &[String]),
    name: &str,
    of: &Offering,
) -> Option<usize> {
    (0..offerings.len()).find(|&n| names[n] == name && offerings[n].same_terms(of))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::from_value;
    use serde_json::json;

    fn told(offerings: &[(&str, &str)], attempts: u32) -> (Charter, Terms) {
        let offering = |(name, effect): &(&str, &str)| json!({"name": name, "contract_time": 500, "expiry": 2000, "effect": effect, "payoff": 1});
        let offerings: Vec<Value> = offerings.iter().map(offering).collect();
        from_value(json!({"balancers": 1, "index": 0, "offerings": offerings,
            "contract": {"cold": 10000, "cold_from": 0.2, "tip_after": 1000, "tip_multiple": 3},
            "policy_limits": {"most_hand_offs": attempts}}))
        .unwrap()
    }

    /// Guards: an attachment under way that is taken for one of another offering, or under stricter or more
    /// lenient terms than it came by.
    #[test]
    fn an_index_keeps_its_meaning_while_it_is_held() {
        let (mut charter, mut terms) = told(&[("a", "free"), ("b", "free")], 5);
        let renewed =
            |charter: &mut Charter, terms: &mut Terms, to: &[(&str, &str)], held: &[usize]| {
                renew((charter, terms), told(to, 2), |n| held.contains(&n))
            };
        // `a` vanishes while it is held, `b` becomes stricter, `c` is new.
        let to = [("b", "single_shot"), ("c", "free")];
        assert_eq!(renewed(&mut charter, &mut terms, &to, &[0, 1]), [2, 3]);
        assert_eq!(terms.offerings, ["a", "b", "b", "c"]);
        assert_eq!(
            (
                terms.offering("a"),
                terms.offering("b"),
                terms.offering("c")
            ),
            (None, Some(2), Some(3))
        );
        assert_eq!(charter.offerings[1].effect, reedferry::Effect::Redoable);
        assert_eq!(charter.offerings[2].effect, reedferry::Effect::Irreversible);
        assert_eq!(charter.most_hand_offs, 2);
        // `a` comes again while one of its first time is held: the same terms, the same index.
        assert_eq!(
            renewed(
                &mut charter,
                &mut terms,
                &[("a", "free"), ("c", "free")],
                &[0]
            ),
            [0; 0]
        );
        assert_eq!(
            (
                terms.offering("a"),
                terms.offering("b"),
                terms.offering("c")
            ),
            (Some(0), None, Some(3))
        );
        // What nobody holds is used again, so that the table stays short.
        for n in 0..1000 {
            let names = [format!("x{n}"), format!("y{n}")];
            renewed(
                &mut charter,
                &mut terms,
                &[(&names[0], "free"), (&names[1], "guarded")],
                &[],
            );
            assert_eq!(charter.offerings.len(), 4);
            assert_eq!(charter.offerings.iter().filter(|o| o.offered).count(), 2);
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
