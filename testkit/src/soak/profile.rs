//! What a soak plays: how its processes are configured, and how its clients behave.

use crate::simulated::REQUEST_TIMEOUT;
use std::time::Duration;

/// By class, in the order of [`CLASS_NAMES`](crate::simulated::CLASS_NAMES).
pub type Deadlines = [Duration; 3];

/// How processes are configured and clients behave.
#[derive(Clone, Copy, Debug)]
pub struct SoakProfile {
    /// How long requests of each class may wait.
    pub deadlines: Deadlines,
    /// How many descriptors a process may have.
    pub sockets: u64,
    /// Which clients come.
    pub clients: ClientMix,
}

/// Which clients come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientMix {
    /// Most behave, and hold their connection for a second or two at the most.
    Short,
    /// Many use their connection until they are told to move; others rest while a process is told to stop.
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
    /// The longest deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.deadlines.into_iter().max().unwrap_or_default()
    }
}
