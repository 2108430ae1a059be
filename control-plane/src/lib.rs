//! The protocol between forwarders and planners: its messages and frames, and the logic of both ends without I/O.
//!
//! A [`Forwarder`] owns the requests of its clients. A [`Planner`] chooses the hosts for these requests with the
//! decision core of `reedferry`, running one [`reedferry::Balancer`] for each zone. Both take bytes, events and the
//! time from the caller and return actions. Neither opens a socket, reads a clock or sees a client's bytes. The
//! design is explained in `docs/design/two-tier.md`.

pub mod codec;
mod conversions;
mod error;
mod fallback_plan;
pub mod forwarder;
pub mod messages;
mod pending_request;
pub mod planner;
mod planner_session;

pub use error::{LinkError, ProtocolViolation, SessionRejection};
pub use forwarder::{Forwarder, ForwarderAction, ForwarderConfig};
pub use messages::HostEntry;
pub use planner::{Planner, PlannerAction, PlannerConfig};
pub use planner_session::PlannerAddress;

/// Returns a hash of the lists of names that messages refer to by index. A session begins only if both ends have
/// the same hash.
pub fn fingerprint<'a>(names: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    for name in names {
        hash.update(&(name.len() as u64).to_le_bytes());
        hash.update(name.as_bytes());
    }
    hash.digest()
}
