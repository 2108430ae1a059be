//! Decides which host each long-lived connection goes to.
//!
//! The caller reports [`Event`]s to a [`Balancer`] and carries out the [`Action`]s that it appends.
//! The library does no I/O, reads no clock and implements no protocol; the caller translates its
//! protocol to these types. `balancer` selects hosts. [`permission`] decides whether a request may
//! be attempted, repeated or rejected at all. The other public items are the settings, events and
//! actions that form the interface.
//!
//! ```
//! use reedferry::{Action, Balancer, BalancerSettings, Endpoint, EndpointUpdate, Event, HostId};
//! use reedferry::{HostState, IncomingRequest, RequestClass, RequestId};
//!
//! let classes = vec![RequestClass::default()];
//! let settings = BalancerSettings { classes, ..BalancerSettings::default() };
//! let mut actions = Vec::new();
//! let mut balancer = Balancer::new(settings, 7, 0, &mut actions);
//!
//! let endpoint = Endpoint { id: HostId(1), state: HostState::Ready, size: 1.0, ..Endpoint::default() };
//! let update = Event::EndpointsUpdated { kind: EndpointUpdate::Cached, endpoints: vec![endpoint] };
//! balancer.handle(0, update, &mut actions);
//!
//! let request = IncomingRequest { id: RequestId(5), time_left: 2_000_000_000, ..IncomingRequest::default() };
//! balancer.handle(1_000_000, Event::RequestArrived(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::StartAttempt { host: HostId(1), .. })));
//! ```

/// Appends an [`Action::Log`] with the formatted line to the actions.
macro_rules! log {
    ($actions:expr, $($text:tt)*) => { $actions.push($crate::Action::Log(format!($($text)*))) };
}

mod action;
mod arrival_rate;
mod balancer;
mod connection;
mod connection_history;
mod endpoint;
mod endpoint_poller;
mod event;
pub mod gossip;
mod gossip_budget;
mod hashing;
mod host;
mod inherited_state;
mod intervals;
mod load_shedding;
mod messages;
pub mod permission;
mod recent_setups;
mod request;
mod request_table;
mod settings;
mod setup_failures;
mod time;
mod weight_optimizer;

pub use action::Action;
pub use balancer::{Balancer, HostCounts};
pub use endpoint::{Endpoint, EndpointUpdate, HostId, HostState};
pub use event::Event;
pub use inherited_state::{ClientStatistics, HostSnapshot, InheritedState};
pub use request::{AttemptOutcome, IncomingRequest, PriorAttempts, RequestId};
pub use settings::{BalancerSettings, Idempotency, IdempotencyGroup, LoadMetric, RequestClass};
pub use time::{Nanos, MILLI, SECOND};
