//! The settings of one balancer: request classes, limits, and what the deployment allows.

use crate::time::{Nanos, MILLI, SECOND};
use serde::{Deserialize, Serialize};

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    /// A repeat does no harm.
    #[default]
    Idempotent,
    /// Carries an idempotency key: hosts of its [`IdempotencyGroup`] drop repeats.
    WithKey,
    /// Must never run twice.
    NonIdempotent,
}

/// Which hosts drop each other's repeats of a request with an idempotency key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencyGroup {
    /// All hosts.
    #[default]
    All,
    /// Hosts of the same zone.
    Zone,
    /// Hosts of the same cell.
    Cell,
}

/// A class of requests with the same guarantees and objectives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Which hosts drop repeats of a request with a key.
    pub idempotency_group: IdempotencyGroup,
    /// How long that group remembers an idempotency key.
    pub idempotency_window: Nanos,
    /// The priority of its requests relative to other classes.
    pub priority_weight: f64,
    /// Within what time a connection is to be set up.
    pub latency_objective: Nanos,
    /// Within what time a message on the open connection is to be delivered.
    pub message_latency_objective: Nanos,
    /// Whether more of its requests may arrive; if not, some may still be in flight.
    pub active: bool,
}

impl RequestClass {
    /// Whether both mean the same, active or not.
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

/// What a value of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Demanded load over capacity.
    Load,
    /// Core utilization, which does not distinguish full from overloaded.
    Utilization,
    /// Seconds of queued work.
    Backlog,
    /// Anything that the module has no use for.
    Other,
}

/// The settings under which a balancer decides.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// This node's number in the fleet, from 0.
    pub node_index: u32,
    /// How many nodes the fleet has.
    pub node_count: u32,
    /// The zone that this node stands in.
    pub zone: u16,
    /// It decides for many nodes, and leaves no host to others.
    pub centralized: bool,
    /// The least time between two calls of the module.
    pub min_call_interval: Nanos,
    /// The request classes; a request names its class by index.
    pub classes: Vec<RequestClass>,
    /// How many attempts a request may have.
    pub max_attempts: u32,
    /// The longest time that any client waits for its answer.
    pub max_request_timeout: Nanos,
    /// Whether an attempt in flight may be cancelled.
    pub may_cancel: bool,
    /// The longest Retry-After that a client respects; 0 where it is not passed on.
    pub max_retry_after: Nanos,
    /// The endpoint list arrives only when it is asked for.
    pub endpoints_are_polled: bool,
    /// The longest that a node may neither watch nor poll the endpoint list.
    pub max_poll_interval: Nanos,
    /// How long a host takes to reach its full capacity after its start.
    pub warm_up: Nanos,
    /// The share of its capacity that a host has at its start.
    pub warm_up_initial_share: f64,
    /// By how much more than its share a warming host may be sent within a window before it is
    /// overloaded.
    pub overload_factor: f64,
    /// The window within which that is measured.
    pub overload_window: Nanos,
    /// Packets flow through this node: a connection may reach another node in mid-stream.
    pub passthrough: bool,
    /// Whether members of a group are best placed on the same host.
    pub groups_enabled: bool,
    /// The cost of a connection to another zone.
    pub cross_zone_cost: f64,
    /// The cost of migrating a connection.
    pub migration_cost: f64,
    /// What the values of a load report measure, in their order.
    pub load_metrics: Vec<LoadMetric>,
    /// Load reports come only by probes, and probes are allowed.
    pub load_from_probes: bool,
    /// Nodes may gossip.
    pub gossip_enabled: bool,
    /// Whose slow-start slots this node may use, and how much of each; its own alone where none are
    /// assigned.
    pub slow_start_slots: Vec<(u32, f64)>,
}

impl BalancerSettings {
    /// The classes of which more requests may arrive.
    pub fn active(&self) -> impl Iterator<Item = &RequestClass> {
        self.classes.iter().filter(|class| class.active)
    }

    /// The shortest message latency objective of any active class.
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
