//! The interface of the decision module: what it is told and what it orders.

use serde::{Deserialize, Serialize};

/// Whole nanoseconds, on the caller's clock.
pub type Nanos = u64;
pub const MILLI: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000_000_000;

/// A host's name; the module only compares and hashes it.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostId(pub u64);

/// An attachment's name, returned untouched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Idempotency {
    #[default]
    Idempotent,
    WithKey,
    NonIdempotent,
}

/// Which hosts drop each other's repeats of a labelled attachment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum IdempotencyGroup {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestClass {
    pub idempotency: Idempotency,
    pub idempotency_group: IdempotencyGroup,
    /// How long the circle remembers a labelled attachment.
    pub idempotency_window: Nanos,
    pub priority_weight: f64,
    pub latency_objective: Nanos,
    /// Within what time a message on the open connection is wanted.
    pub message_latency_objective: Nanos,
    /// Whether more of it may come; if not, some may be under way.
    pub active: bool,
}

impl RequestClass {
    /// Whether it means the same, offered or not.
    pub fn same_terms(&self, other: &RequestClass) -> bool {
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

/// What a load report's value says of its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Load asked for over what the host can do.
    Load,
    /// How busy its cores are, which cannot tell full from overrun.
    Utilization,
    /// Seconds of work piled up.
    Backlog,
    /// Anything the module has no use for.
    Other,
}

/// The terms a node works under, handed to it once at its start.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    pub node_index: u32,
    pub node_count: u32,
    pub zone: u16,
    /// It decides for many nodes, and leaves no host to others.
    pub centralized: bool,
    /// The least time between two calls of the module.
    pub min_call_interval: Nanos,
    pub classes: Vec<RequestClass>,
    pub max_attempts: u32,
    /// The longest time that any client waits for its answer.
    pub max_request_timeout: Nanos,
    pub may_cancel: bool,
    /// The longest wait a client heeds; 0 where advice is not passed on.
    pub max_retry_after: Nanos,
    /// The roll comes only when asked for.
    pub endpoints_are_polled: bool,
    pub max_poll_interval: Nanos,
    pub warm_up: Nanos,
    pub warm_up_initial_share: f64,
    pub overload_factor: f64,
    pub overload_window: Nanos,
    /// Packets flow through: a connection may reach another node midway.
    pub passthrough: bool,
    pub groups_enabled: bool,
    pub cross_zone_cost: f64,
    pub migration_cost: f64,
    pub load_metrics: Vec<LoadMetric>,
    /// Load reports come only by probes, and probes are allowed.
    pub load_from_probes: bool,
    /// Nodes may tell each other things.
    pub gossip_enabled: bool,
    /// Whose turns at cold hosts are this node's to use, and how much of each; its own alone where none are told.
    pub slow_start_slots: Vec<(u32, f64)>,
}

impl BalancerSettings {
    /// What may still come.
    pub fn active(&self) -> impl Iterator<Item = &RequestClass> {
        self.classes.iter().filter(|o| o.active)
    }

    /// The shortest time within which any offering wants a message.
    pub fn shortest_message_latency_objective(&self) -> Nanos {
        self.active()
            .map(|o| o.message_latency_objective)
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

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    Ready,
    Draining,
    #[default]
    Gone,
}

/// One line of the roll of hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    pub id: HostId,
    pub zone: u16,
    pub cell: u64,
    pub state: HostState,
    pub size: f64,
    pub started: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    Delta,
    Full,
    /// The whole roll as last seen before the start; may be stale.
    Cached,
    /// A call failed or the subscription was lost.
    Failed,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest {
    pub id: RequestId,
    pub class: usize,
    pub key: Option<u64>,
    pub group: Option<u64>,
    pub time_left: Nanos,
    /// Its usual load, as a share of a core.
    pub usual_load: Option<f64>,
    /// Already open, and now arriving midway at this node.
    pub mid_stream: bool,
}

/// What became of an attachment before this node took it up.
#[derive(Clone, Debug, Default)]
pub struct PriorAttempts {
    pub attempts: u32,
    /// The host of the first hand-off that may have run, and when that was sent.
    pub may_have_run: Option<(HostId, Nanos)>,
    /// The hosts that it was handed to.
    pub tried_hosts: Vec<HostId>,
}

/// What is remembered of a client: how long its connections last, what the last one weighed, and when that
/// was seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientStatistics {
    pub mean_duration: Option<f64>,
    pub last_load: Option<f64>,
    pub last_seen: Nanos,
}

/// What a process that another replaces has learned, and what that one is to hold to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InheritedState {
    /// By their keys.
    pub clients: Vec<(u64, ClientStatistics)>,
    pub mean_duration: Option<f64>,
    pub open_time: f64,
    pub ended_connections: f64,
    /// The usual load of each offering, in the order of the one who leaves it, and of all.
    pub class_loads: Vec<Option<f64>>,
    pub mean_load: Option<f64>,
    pub load_samples: u32,
    pub mean_setup_time: f64,
    pub hosts: Vec<HostSnapshot>,
    pub setup_failure_rate: f64,
    pub late_message_rate: f64,
}

/// How a node regards one host.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSnapshot {
    pub id: HostId,
    pub newcomer: bool,
    /// Since when it is told to be draining, where it is.
    pub draining_since: Nanos,
    pub connect_failed_at: Option<Nanos>,
    pub ejected_until: Nanos,
    pub ejections: u32,
    pub latency_ratio: f64,
    pub latency_measured_at: Nanos,
    pub load_limit: Option<f64>,
    pub sustained_load: f64,
    pub limit_decreased_at: Nanos,
    pub latency_ratio_at_decrease: f64,
    pub reported_load: f64,
    pub reported_at: Nanos,
}

/// How a hand-off ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Completed,
    Error,
    Rejected,
    TimedOut,
    ConnectFailed,
    ConnectionLost,
    Cancelled,
    NeverSent,
    /// This machine knew no way to the host when it was called: its own trouble, or the host's where that lasts.
    NoRoute,
    /// It goes on in another process.
    HandedOver,
}

impl AttemptOutcome {
    /// The word for it in log lines.
    pub fn word(self) -> &'static str {
        match self {
            AttemptOutcome::Completed => "done",
            AttemptOutcome::Error => "error",
            AttemptOutcome::Rejected => "refused",
            AttemptOutcome::TimedOut => "silent",
            AttemptOutcome::ConnectFailed => "unconnected",
            AttemptOutcome::ConnectionLost => "broken",
            AttemptOutcome::Cancelled => "called-off",
            AttemptOutcome::NeverSent => "never-sent",
            AttemptOutcome::NoRoute => "unroutable",
            AttemptOutcome::HandedOver => "passed-on",
        }
    }

    /// Whether this ending proves that the hand-off never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NeverSent
                | AttemptOutcome::NoRoute
        )
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    EndpointsUpdated {
        kind: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    },
    RequestArrived(IncomingRequest),
    /// One that another node took and could not bring to its answer.
    RequestTakenOver(IncomingRequest, PriorAttempts),
    /// A connection that was open before this node started.
    ConnectionFound(IncomingRequest, HostId),
    /// One that the process before this one has passed on, and since when it is open.
    ConnectionHandedOver(IncomingRequest, HostId, Nanos),
    ConnectionEstablished {
        id: RequestId,
        took: Nanos,
    },
    AttemptEnded {
        id: RequestId,
        attempt: u32,
        host: HostId,
        request_over: bool,
        ending: AttemptOutcome,
        load_metrics: Vec<f64>,
    },
    LoadMeasured {
        id: RequestId,
        load: f64,
    },
    MessageLatency {
        host: HostId,
        latency: Nanos,
    },
    ClientLeft {
        id: RequestId,
    },
    TimerFired {
        timer: u64,
    },
    /// This node is asked to stop: new connections come to others after `from`, and its clients are to
    /// be gone by `by`.
    ShutdownStarted {
        from: Nanos,
        by: Nanos,
    },
    /// It is to stay after all, and to work as before.
    ShutdownCancelled,
    /// New terms in place of the old, and which offerings of them stand where another stood. What is under
    /// way goes by its own offering, which is still there, and keeps its count of hand-offs.
    SettingsChanged(Box<BalancerSettings>, Vec<usize>),
    /// Another process takes this one's place: it has its legacy, and takes in the clients; or has gone again.
    SuccessorChanged(bool),
    /// What the process before this one has learned.
    StateInherited(Box<InheritedState>),
    ProbeEnded {
        host: HostId,
        ending: AttemptOutcome,
        load_metrics: Vec<f64>,
    },
    /// Whose turns at cold hosts this node may use from here on, and how much of each.
    SlowStartSlotsAssigned(Vec<(u32, f64)>),
    /// The hosts that are this node's to look at from here on, each in each turn.
    ProbeTargetsAssigned(Vec<HostId>),
    /// Another node's message, as it came.
    GossipReceived {
        message: Vec<u8>,
    },
}

impl Event {
    /// The attachment that is already known and that the event speaks of.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Event::ConnectionEstablished { id, .. }
            | Event::AttemptEnded { id, .. }
            | Event::LoadMeasured { id, .. }
            | Event::ClientLeft { id } => Some(*id),
            _ => None,
        }
    }

    /// The host that the event names.
    pub fn host(&self) -> Option<HostId> {
        match self {
            Event::ConnectionFound(_, host) | Event::ConnectionHandedOver(_, host, _) => {
                Some(*host)
            }
            Event::AttemptEnded { host, .. }
            | Event::MessageLatency { host, .. }
            | Event::ProbeEnded { host, .. } => Some(*host),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// `until` is how long its answer is waited for, `by` the latest moment in which its line may go out.
    StartAttempt {
        id: RequestId,
        host: HostId,
        until: Nanos,
        by: Nanos,
    },
    /// Final: a retry is harmless; come back after the wait (0: no advice).
    Reject {
        id: RequestId,
        retry_after: Nanos,
    },
    /// Final: nothing is promised.
    Fail {
        id: RequestId,
    },
    /// Ends an open connection politely; its client comes again.
    Migrate {
        id: RequestId,
    },
    CancelAttempt {
        id: RequestId,
        attempt: u32,
    },
    SetTimer {
        time: Nanos,
        timer: u64,
    },
    PollEndpoints,
    WatchEndpoints,
    Probe {
        host: HostId,
    },
    /// To all other nodes; any of them may never hear it.
    Gossip {
        message: Vec<u8>,
    },
    Log(String),
}
