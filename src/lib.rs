//! reedferry decides which host each long-lived connection goes to.
//!
//! The library takes [`Event`]s in and gives [`Action`]s out. It does no I/O, keeps no clock and
//! knows no protocol; whoever speaks a protocol translates it to these types. Hosts are chosen in
//! [`choice`]; whether a request may be attempted, repeated or dismissed at all is decided in [`permission`]; the types
//! stand in [`types`].
//!
//! ```
//! use reedferry::{Action, Arrival, AttachmentId, Balancer, Charter, Event, HostId, Listing, Offering};
//! use reedferry::{RollKind, Standing};
//!
//! let charter = Charter { offerings: vec![Offering::default()], ..Charter::default() };
//! let mut out = Vec::new();
//! let mut node = Balancer::new(charter, 7, 0, &mut out);
//! let host = Listing { id: HostId(1), standing: Standing::Ready, size: 1.0, ..Listing::default() };
//! node.handle(0, Event::Roll { kind: RollKind::Cached, hosts: vec![host] }, &mut out);
//! let arrival = Arrival { id: AttachmentId(5), time_left: 2_000_000_000, ..Arrival::default() };
//! node.handle(1_000_000, Event::Arrived(arrival), &mut out);
//! assert!(out.iter().any(|a| matches!(a, Action::HandOff { host: HostId(1), .. })));
//! ```

/// One short line for a change of mode.
macro_rules! log {
    ($out:expr, $($text:tt)*) => { $out.push(Action::Log(format!($($text)*))) };
}

pub mod calls;
mod ceilings;
pub mod choice;
mod ledger;
pub mod permission;
mod records;
mod slow_start;
pub mod types;
pub mod word;

pub use choice::Balancer;
pub use types::*;
