//! The settings of the program around the decision core.

use reedferry::Nanos;

/// The settings of the program around the decision core.
#[derive(Clone, Debug, Default)]
pub struct NodeSettings {
    /// The names of the request classes on the wire, by class index.
    pub classes: Vec<String>,
    /// Whether new requests of a class are accepted, by class index.
    pub active: Vec<bool>,
    /// The names of the tenants, by tenant index; empty where any tenant is accepted.
    pub tenants: Vec<String>,
    /// The names of the zones, by zone index.
    pub zones: Vec<String>,
    /// The names of the values of a load report, in the order of the report.
    pub load_metrics: Vec<String>,
    /// The time within which a connection to a host must be established.
    pub connect_timeout: Nanos,
    /// The time for which a host may still receive new requests after it starts to drain.
    pub drain_grace: Nanos,
    /// The maximum time that any client waits for its answer.
    pub max_request_timeout: Nanos,
}

impl NodeSettings {
    /// Returns the index of the class of this name that accepts new requests, or `None` if there is none.
    pub fn active_class_index(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|&index| self.classes[index] == name && self.active[index])
    }

    /// Returns the names of all classes, tenants and zones, by whose indices forwarders and planners refer to them. Each list
    /// is preceded by its key.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        let lists = [
            ("offerings", &self.classes),
            ("tenants", &self.tenants),
            ("zones", &self.zones),
        ];
        lists
            .into_iter()
            .flat_map(|(list, names)| std::iter::once(list).chain(names.iter().map(String::as_str)))
    }
}
