//! Replaces the settings in use with new ones. This module assigns the indices of request classes for as long as the program
//! runs. An index never changes its meaning while a connection refers to it, so requests in flight keep their class and its
//! parameters whatever the new settings say. This module must never apply a part of a file, nor decide what new parameters
//! mean for requests in flight.

use crate::{NodeSettings, Settings};
use reedferry::{BalancerSettings, RequestClass};
use serde_json::Value;

/// Returns the path of the first key that the current document has and the newer one lacks, or `None` if it lacks none.
pub fn missing_key(current: &Value, newer: &Value) -> Option<String> {
    match (current, newer) {
        (Value::Object(current), Value::Object(newer)) => {
            current.iter().find_map(|(key, value)| {
                // A null means the same as a missing key.
                let newer_value = newer
                    .get(key)
                    .filter(|newer_value| value.is_null() || !newer_value.is_null());
                let Some(newer_value) = newer_value else {
                    return Some(key.clone());
                };
                missing_key(value, newer_value).map(|rest| format!("{key}.{rest}"))
            })
        }
        // All entries of an array have the same keys, so the first one serves as the example for each newer entry.
        (Value::Array(current), Value::Array(newer)) => {
            let example = current.first()?;
            newer.iter().enumerate().find_map(|(index, entry)| {
                Some(format!("{index}.{}", missing_key(example, entry)?))
            })
        }
        _ => None,
    }
}

/// Applies new settings, and returns the class indices that are new or now stand for a different class. `is_referenced` returns
/// whether any connection refers to an index; such an index is not reused for a different class.
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
        let free_index = (0..classes.len()).find(|&n| !classes[n].active && !is_referenced(n));
        let index = free_index.unwrap_or(classes.len());
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

/// Adds the classes that the connections of a predecessor refer to. A class that is not configured here under the same name and
/// with the same parameters is added with the predecessor's parameters, and accepts no new requests. Otherwise a connection
/// that was taken over could be handled under the class of a different customer.
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

/// Returns the index of the class with this name and these parameters, whether it accepts new requests or not.
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
