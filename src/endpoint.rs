//! The endpoint list: the hosts that discovery names, and how updates to that list arrive.

use crate::time::Nanos;
use serde::{Deserialize, Serialize};

/// The identity of a host; the module only compares and hashes it.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostId(pub u64);

/// The state in which discovery lists a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// Takes new connections.
    Ready,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Is no longer there.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// Which host this is.
    pub id: HostId,
    /// The zone that it stands in.
    pub zone: u16,
    /// The cell (deployment unit) that it belongs to.
    pub cell: u64,
    /// Whether it takes connections.
    pub state: HostState,
    /// Its capacity relative to other hosts; 0 where none is given.
    pub size: f64,
    /// When it started, where discovery reports that.
    pub started: Option<Nanos>,
}

/// What kind of update to the endpoint list has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// Only the entries that changed.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as last seen before the start; may be stale.
    Cached,
    /// A poll failed or the watch was lost.
    Failed,
}
