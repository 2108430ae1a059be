//! What passes between forwarders and planners: the frames, and both ends of the link as plain values.
//!
//! A [`Forwarder`] owns what it owes to its clients; a [`Planner`] places what forwarders ask for, by the
//! decision module of `reedferry`, one [`reedferry::Balancer`] a zone. Either takes bytes, events and the
//! caller's clock in and gives deeds out. Neither opens a socket, reads a clock or knows a client's line.
//! Why things are as they are stands in `docs/design/two-tier.md`.

pub mod duty;
pub mod following;
pub mod forwarder;
pub mod frames;
pub mod plan;
pub mod planner;

pub use forwarder::{Forwarder, ForwarderAction, ForwarderConfig, PlannerAddress};
pub use frames::{HostEntry, LinkError};
pub use planner::{Planner, PlannerAction, PlannerConfig};

/// What two ends must have in common to work together: names stand for their places in a list.
pub fn fingerprint<'a>(names: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = xxhash_rust::xxh3::Xxh3::new();
    for name in names {
        hash.update(&(name.len() as u64).to_le_bytes());
        hash.update(name.as_bytes());
    }
    hash.digest()
}
