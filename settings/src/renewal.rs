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
#[path = "renewal_tests.rs"]
mod tests;
