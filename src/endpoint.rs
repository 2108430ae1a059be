//! The endpoint list: the hosts that discovery reports, and the kinds of updates to that list.

use crate::time::Nanos;
use serde::{Deserialize, Serialize};

/// Identifies a host. The caller assigns it; the balancer only compares and hashes it.
#[derive(Serialize, Deserialize, Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct HostId(pub u64);

/// The state that discovery reports for a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// The host accepts new connections.
    Ready,
    /// The host serves its open connections but accepts no new ones.
    Draining,
    /// The host no longer exists.
    #[default]
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The identity of the host.
    pub id: HostId,
    /// The zone of the host.
    pub zone: u16,
    /// The cell (deployment unit) of the host.
    pub cell: u64,
    /// Whether the host accepts connections.
    pub state: HostState,
    /// The capacity of the host relative to other hosts; 0 where none is given.
    pub size: f64,
    /// When the host started; `None` where discovery does not report it.
    pub started: Option<Nanos>,
}

/// The kind of an update to the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The update holds only the entries that changed.
    Delta,
    /// The update holds the whole list.
    Full,
    /// The update holds the whole list as it was last seen before the start; it may be stale.
    Cached,
    /// A poll failed or the watch was lost; the list is unchanged.
    Failed,
}
