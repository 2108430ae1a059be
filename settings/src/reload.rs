//! New settings in place of those in force. This module owns which request class keeps which index for as long as the program
//! runs: an index never changes its meaning while a connection refers to it, so what is under way keeps its class and its
//! terms, whatever the settings say by now. It must never take up half of a file, nor decide what new terms mean for
//! what is under way.

use crate::{NodeSettings, Settings};
use reedferry::{BalancerSettings, RequestClass};
use serde_json::Value;

/// The key, with its place, that stands in the document in force and is missing in a newer one.
pub fn missing_key(current: &Value, newer: &Value) -> Option<String> {
    match (current, newer) {
        (Value::Object(current), Value::Object(newer)) => {
            current.iter().find_map(|(key, value)| {
                // A null says the same as a missing key.
                let newer_value = newer
                    .get(key)
                    .filter(|newer_value| value.is_null() || !newer_value.is_null());
                let Some(newer_value) = newer_value else {
                    return Some(key.clone());
                };
                missing_key(value, newer_value).map(|rest| format!("{key}.{rest}"))
            })
        }
        // Any of the entries shows which keys one has.
        (Value::Array(current), Value::Array(newer)) => {
            let example = current.first()?;
            newer.iter().enumerate().find_map(|(index, entry)| {
                Some(format!("{index}.{}", missing_key(example, entry)?))
            })
        }
        _ => None,
    }
}

/// Takes up new settings, and returns the indices that stand for another class than before. `is_referenced` says whether any
/// connection refers to an index.
pub fn apply(
    balancer_settings: &mut BalancerSettings,
    node_settings: &mut NodeSettings,
    newer: Settings,
    is_referenced: impl Fn(usize) -> bool,
) -> Vec<usize> {
    let Settings {
        mut balancer,
        mut node,
    } = newer;
    let mut classes = std::mem::take(&mut balancer_settings.classes);
    let mut names = std::mem::take(&mut node_settings.classes);
    let newer_classes = std::mem::take(&mut balancer.classes);
    let newer_names = std::mem::take(&mut node.classes);
    for class in &mut classes {
        class.active = false;
    }
    let mut unmatched = Vec::new();
    for (name, class) in newer_names.into_iter().zip(newer_classes) {
        match find_class(&classes, &names, &name, &class) {
            Some(index) => classes[index].active = true,
            None => unmatched.push((name, class)),
        }
    }
    let mut changed = Vec::new();
    for (name, class) in unmatched {
        let free = (0..classes.len()).find(|&n| !classes[n].active && !is_referenced(n));
        let index = free.unwrap_or(classes.len());
        if index == classes.len() {
            classes.push(class);
            names.push(name);
        } else {
            classes[index] = class;
            names[index] = name;
        }
        changed.push(index);
    }
    node.active = classes.iter().map(|class| class.active).collect();
    balancer.classes = classes;
    node.classes = names;
    *balancer_settings = balancer;
    *node_settings = node;
    changed
}

/// Adds the classes that a predecessor's connections refer to, by its own terms: what is not configured here under the same name
/// and terms is kept beside, and accepts no new requests. Without this, one customer's connection could go by another's terms.
pub fn keep_classes(
    balancer_settings: &mut BalancerSettings,
    node_settings: &mut NodeSettings,
    referenced: Vec<(String, RequestClass)>,
) {
    for (name, class) in referenced {
        let classes = &mut balancer_settings.classes;
        if find_class(classes, &node_settings.classes, &name, &class).is_none() {
            classes.push(RequestClass {
                active: false,
                ..class
            });
            node_settings.classes.push(name);
            node_settings.active.push(false);
        }
    }
}

/// The index of a class of this name and terms, whether it accepts new requests or not.
pub fn find_class(
    classes: &[RequestClass],
    names: &[String],
    name: &str,
    class: &RequestClass,
) -> Option<usize> {
    (0..classes.len())
        .find(|&index| names[index] == name && classes[index].equals_ignoring_active(class))
}

#[cfg(test)]
#[path = "reload_tests.rs"]
mod tests;
