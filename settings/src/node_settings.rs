//! The settings of the program around the decision core.

use reedferry::Nanos;

/// The settings of the program around the decision core.
#[derive(Clone, Debug, Default)]
pub struct NodeSettings {
    /// The names of the request classes on the wire, in the order of the indices that stand for them.
    pub classes: Vec<String>,
    /// Whether new requests of each class are accepted.
    pub active: Vec<bool>,
    /// The names of the tenants, in the order of their indices.
    pub tenants: Vec<String>,
    /// The names of the zones, in the order of their indices.
    pub zones: Vec<String>,
    /// The names of the values of a load report, in order.
    pub load_metrics: Vec<String>,
    /// How long a connection to a host may take to be established.
    pub connect_timeout: Nanos,
    /// How long after its drain began a host may still get new requests.
    pub drain_grace: Nanos,
    /// The longest time that any client waits for its answer.
    pub max_request_timeout: Nanos,
}

impl NodeSettings {
    /// The index of a class of which new requests are accepted.
    pub fn active_class_index(&self, name: &str) -> Option<usize> {
        (0..self.classes.len()).find(|&index| self.classes[index] == name && self.active[index])
    }

    /// All names whose indices stand for them, each list behind its own name.
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
