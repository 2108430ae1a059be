//! The events that the caller reports to a [`Balancer`](crate::Balancer).

use crate::endpoint::{Endpoint, EndpointUpdate, HostId};
use crate::inherited_state::InheritedState;
use crate::request::{AttemptOutcome, IncomingRequest, PriorAttempts, RequestId};
use crate::settings::BalancerSettings;
use crate::time::Nanos;

/// An event that the caller reports to the balancer.
#[derive(Clone, Debug)]
pub enum Event {
    /// An update to the endpoint list has arrived.
    EndpointsUpdated {
        /// Whether the update is partial, complete, cached or a failure.
        kind: EndpointUpdate,
        /// The endpoints that the update names; empty for a failure.
        endpoints: Vec<Endpoint>,
    },
    /// A request has arrived.
    RequestArrived(IncomingRequest),
    /// A request that another process accepted but did not answer is taken over, with the attempts
    /// made for it so far.
    RequestTakenOver(IncomingRequest, PriorAttempts),
    /// A connection to this host was already open when the node started.
    ConnectionFound(IncomingRequest, HostId),
    /// The predecessor has handed over an open connection to this host; the time is when it was
    /// opened.
    ConnectionHandedOver(IncomingRequest, HostId, Nanos),
    /// The attempt in flight for a request has succeeded: its connection is open.
    ConnectionEstablished {
        /// The request.
        id: RequestId,
        /// How long the connection set-up took.
        took: Nanos,
    },
    /// An attempt, or the connection that resulted from it, has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The index of the attempt within the request, from 0.
        attempt: u32,
        /// The host of that attempt.
        host: HostId,
        /// Whether the request has its final answer.
        request_over: bool,
        /// How the attempt ended.
        ending: AttemptOutcome,
        /// The host's load report; empty where none came with the end.
        load_metrics: Vec<f64>,
    },
    /// The load of an open connection was measured.
    LoadMeasured {
        /// The request.
        id: RequestId,
        /// The load, as a share of a core.
        load: f64,
    },
    /// The latency of messages at a host was measured.
    MessageLatency {
        /// The host.
        host: HostId,
        /// How long the delivery of a message took.
        latency: Nanos,
    },
    /// The client of a request has disconnected or cancelled it.
    ClientLeft {
        /// The request.
        id: RequestId,
    },
    /// A timer of [`Action::SetTimer`](crate::Action::SetTimer) has fired.
    TimerFired {
        /// The number given with the action.
        timer: u64,
    },
    /// This node was asked to stop. New connections go to other nodes after `from`, and all clients
    /// of this node must be gone by `by`.
    ShutdownStarted {
        /// The time from which clients may be migrated.
        from: Nanos,
        /// The time by which all clients must be gone.
        by: Nanos,
    },
    /// The shutdown was cancelled: the node resumes normal operation.
    ShutdownCancelled,
    /// New settings replace the old ones; the list holds the indices of classes that are new or
    /// replace another class. Requests in flight keep their class, which must still be in the new
    /// settings, and their maximum number of attempts.
    SettingsChanged(Box<BalancerSettings>, Vec<usize>),
    /// Whether a successor process has this one's state and takes over its clients; `false` when
    /// the successor is gone again.
    SuccessorChanged(bool),
    /// The predecessor has handed over the state that it has learned.
    StateInherited(Box<InheritedState>),
    /// A probe has ended.
    ProbeEnded {
        /// The probed host.
        host: HostId,
        /// How the probe ended.
        ending: AttemptOutcome,
        /// The load report; empty where none came.
        load_metrics: Vec<f64>,
    },
    /// Replaces the slow-start slots that this node may use: the indices of the nodes that own
    /// them, and the share of each slot, from 0 to 1.
    SlowStartSlotsAssigned(Vec<(u32, f64)>),
    /// Replaces the hosts that this node probes; it probes each of them once per probe interval.
    ProbeTargetsAssigned(Vec<HostId>),
    /// A gossip message of another node has arrived.
    GossipReceived {
        /// The unvalidated bytes, in the form of [`gossip`](crate::gossip).
        message: Vec<u8>,
    },
}

impl Event {
    /// Returns the request that the event is about; `None` for events that introduce a request or
    /// concern none.
    pub fn request(&self) -> Option<RequestId> {
        match self {
            Event::ConnectionEstablished { id, .. }
            | Event::AttemptEnded { id, .. }
            | Event::LoadMeasured { id, .. }
            | Event::ClientLeft { id } => Some(*id),
            _ => None,
        }
    }

    /// Returns the single host that the event names; `None` where it names none or a list.
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
