//! The settings of one balancer: request classes, limits, and the features that the deployment
//! allows.

use crate::time::{Nanos, MILLI, SECOND};
use serde::{Deserialize, Serialize};

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// The request may be repeated at any host.
    #[default]
    Idempotent,
    /// The request carries an idempotency key, by which the hosts of its [`IdempotencyGroup`] drop
    /// repeats.
    WithKey,
    /// The request must never run twice.
    NonIdempotent,
}

/// The hosts that share idempotency keys and so drop repeats of each other's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencyGroup {
    /// All hosts share keys.
    #[default]
    All,
    /// Hosts of the same zone share keys.
    Zone,
    /// Hosts of the same cell share keys.
    Cell,
}

/// A class of requests with the same guarantees and objectives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Whether requests of the class may be repeated.
    pub idempotency: Idempotency,
    /// The hosts that drop repeats of a request with an idempotency key.
    pub idempotency_group: IdempotencyGroup,
    /// How long that group remembers an idempotency key.
    pub idempotency_window: Nanos,
    /// The priority of the class relative to other classes.
    pub priority_weight: f64,
    /// The time within which a connection should be set up.
    pub latency_objective: Nanos,
    /// The time within which a message on an open connection should be delivered.
    pub message_latency_objective: Nanos,
    /// Whether new requests of the class may arrive; if not, some may still be in flight.
    pub active: bool,
}

impl RequestClass {
    /// Returns whether both classes are equal in all fields except `active`.
    pub fn equals_ignoring_active(&self, other: &RequestClass) -> bool {
        *self
            == RequestClass {
                active: self.active,
                ..other.clone()
            }
    }
}

impl Default for RequestClass {
    fn default() -> Self {
        RequestClass {
            idempotency: Idempotency::Idempotent,
            idempotency_group: IdempotencyGroup::All,
            idempotency_window: 0,
            priority_weight: 1.0,
            latency_objective: SECOND / 2,
            message_latency_objective: SECOND / 4,
            active: true,
        }
    }
}

/// The quantity that a value of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// The demanded load divided by the capacity.
    Load,
    /// The core utilization, which does not distinguish a full host from an overloaded one.
    Utilization,
    /// The queued work, in seconds.
    Backlog,
    /// Any other quantity; the balancer ignores it.
    Other,
}

/// The settings under which a balancer decides.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// The index of this node in the fleet, from 0.
    pub node_index: u32,
    /// The number of nodes in the fleet.
    pub node_count: u32,
    /// The zone of this node.
    pub zone: u16,
    /// Whether this balancer decides for many nodes; it then uses all hosts instead of a subset.
    pub centralized: bool,
    /// The minimum time between two calls of the balancer.
    pub min_call_interval: Nanos,
    /// The request classes; a request names its class by index.
    pub classes: Vec<RequestClass>,
    /// The maximum number of attempts for a request.
    pub max_attempts: u32,
    /// The maximum time that any client waits for its answer.
    pub max_request_timeout: Nanos,
    /// Whether an attempt in flight may be cancelled.
    pub may_cancel: bool,
    /// The longest Retry-After that a client respects; 0 where clients do not receive it.
    pub max_retry_after: Nanos,
    /// Whether the endpoint list arrives only when the balancer requests it.
    pub endpoints_are_polled: bool,
    /// The maximum time that a node may neither watch nor poll the endpoint list.
    pub max_poll_interval: Nanos,
    /// How long a host takes to reach its full capacity after its start.
    pub warm_up: Nanos,
    /// The share of its capacity that a host has at its start, from 0 to 1.
    pub warm_up_initial_share: f64,
    /// The multiple of its share of the load that a warming host may receive within an overload
    /// window before it counts as overloaded.
    pub overload_factor: f64,
    /// The length of the overload window.
    pub overload_window: Nanos,
    /// Whether packets flow through this node, so that a connection may reach another node in
    /// mid-stream.
    pub passthrough: bool,
    /// Whether members of a group are best placed on the same host.
    pub groups_enabled: bool,
    /// The cost of a connection to another zone.
    pub cross_zone_cost: f64,
    /// The cost of migrating a connection.
    pub migration_cost: f64,
    /// The quantities that the values of a load report measure, in the order of the report.
    pub load_metrics: Vec<LoadMetric>,
    /// Whether probes are allowed; they are then the only source of load reports.
    pub load_from_probes: bool,
    /// Whether nodes may gossip.
    pub gossip_enabled: bool,
    /// The slow-start slots that this node may use: the indices of the nodes that own them, and the
    /// share of each slot, from 0 to 1. An empty list stands for the whole of the node's own slots.
    pub slow_start_slots: Vec<(u32, f64)>,
}

impl BalancerSettings {
    /// Returns the classes of which new requests may arrive.
    pub fn active(&self) -> impl Iterator<Item = &RequestClass> {
        self.classes.iter().filter(|class| class.active)
    }

    /// Returns the shortest message latency objective of all active classes; one second where none
    /// is active.
    pub fn shortest_message_latency_objective(&self) -> Nanos {
        self.active()
            .map(|class| class.message_latency_objective)
            .min()
            .unwrap_or(SECOND)
    }
}

impl Default for BalancerSettings {
    fn default() -> Self {
        BalancerSettings {
            node_index: 0,
            node_count: 1,
            zone: 0,
            centralized: false,
            min_call_interval: MILLI,
            classes: Vec::new(),
            max_attempts: 3,
            max_request_timeout: 3 * SECOND,
            may_cancel: false,
            max_retry_after: 0,
            endpoints_are_polled: false,
            max_poll_interval: 10 * SECOND,
            warm_up: 10 * SECOND,
            warm_up_initial_share: 0.2,
            overload_factor: 3.0,
            overload_window: SECOND,
            passthrough: false,
            groups_enabled: false,
            cross_zone_cost: 0.0,
            migration_cost: 0.0,
            load_metrics: Vec::new(),
            load_from_probes: false,
            gossip_enabled: false,
            slow_start_slots: Vec::new(),
        }
    }
}
