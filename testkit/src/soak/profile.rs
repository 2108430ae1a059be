//! The profile of a soak: how its processes are configured and how its clients behave.

use crate::simulated::REQUEST_TIMEOUT;
use std::time::Duration;

/// The request deadline of each class, in the order of [`CLASS_NAMES`](crate::simulated::CLASS_NAMES).
pub type Deadlines = [Duration; 3];

/// How the processes of a soak are configured and how its clients behave.
#[derive(Clone, Copy, Debug)]
pub struct SoakProfile {
    /// The request deadline of each class.
    pub deadlines: Deadlines,
    /// The maximum number of sockets in the node config of a process.
    pub sockets: u64,
    /// The mix of client behaviors of a soak.
    pub clients: ClientMix,
}

/// The mix of client behaviors of a soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMix {
    /// Most follow the protocol and use their connection for two seconds at most.
    Short,
    /// Many use their connection until they are told to move, others send once their process was told to stop.
    UntilMoved,
}

impl Default for SoakProfile {
    fn default() -> Self {
        SoakProfile {
            deadlines: [REQUEST_TIMEOUT; 3],
            sockets: 512,
            clients: ClientMix::Short,
        }
    }
}

impl SoakProfile {
    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines.into_iter().max().unwrap_or_default()
    }
}
