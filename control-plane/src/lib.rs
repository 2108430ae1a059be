//! The link between forwarders and planners: its messages and frames, and the logic of both ends without I/O.
//!
//! A [`Forwarder`] owns the requests of its clients; a [`Planner`] places them by the decision core of
//! `reedferry`, one [`reedferry::Balancer`] for each zone. Either takes bytes, events and the caller's clock and
//! returns actions. Neither opens a socket, reads a clock or sees a client's bytes. The design is explained in
//! `docs/design/two-tier.md`.

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

/// Hashes lists of names whose positions stand for the names in messages: two ends work together only where the
/// hashes are equal.
pub fn fingerprint<'a>(names: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    for name in names {
        hash.update(&(name.len() as u64).to_le_bytes());
        hash.update(name.as_bytes());
    }
    hash.digest()
}
