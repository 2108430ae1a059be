//! reedferry decides which host each long-lived connection goes to.
//!
//! The library takes [`Event`]s in and gives [`Action`]s out. It does no I/O, keeps no clock and
//! knows no protocol; whoever speaks a protocol translates it to these types. Hosts are chosen in
//! [`choice`]; whether a request may be attempted, repeated or dismissed at all is decided in [`permission`]; the rest is the
//! interface: settings, events and actions.
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

/// One short line for a change of mode.
macro_rules! log {
    ($out:expr, $($text:tt)*) => { $out.push(Action::Log(format!($($text)*))) };
}

mod action;
pub mod calls;
mod ceilings;
pub mod choice;
mod endpoint;
mod event;
pub mod gossip;
mod inherited_state;
mod ledger;
pub mod permission;
mod records;
mod request;
mod settings;
mod slow_start;
mod time;

pub use action::Action;
pub use choice::Balancer;
pub use endpoint::{Endpoint, EndpointUpdate, HostId, HostState};
pub use event::Event;
pub use inherited_state::{ClientStatistics, HostSnapshot, InheritedState};
pub use request::{AttemptOutcome, IncomingRequest, PriorAttempts, RequestId};
pub use settings::{BalancerSettings, Idempotency, IdempotencyGroup, LoadMetric, RequestClass};
pub use time::{Nanos, MILLI, SECOND};
