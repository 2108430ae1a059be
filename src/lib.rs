//! reedferry decides which host each long-lived connection goes to.
//!
//! The library takes [`Event`]s in and gives [`Action`]s out. It does no I/O, keeps no clock and
//! knows no protocol; whoever speaks a protocol translates it to these types. Every decision is
//! taken in [`choice`]; the types stand in [`types`].
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

pub mod calls;
pub mod choice;
mod ledger;
mod records;
pub mod types;
pub mod word;

pub use choice::Balancer;
pub use types::*;
