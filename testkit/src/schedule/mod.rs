//! Fault schedules: which faults happen to a fleet, when and for how long. Schedules are drawn from a seed, written as
//! small text files, played against processes, and shrunk by leaving faults out. A run is checked by what hosts and
//! clients saw, and by whether the views of the members agree at the end.

mod draw;
mod play;
mod shrink;
mod text;

pub use play::play;
pub use shrink::shrink;
pub use text::ScheduleError;

use crate::network::LinkFaults;

/// A fault of a process, of the network or of the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduledFault {
    /// The node is killed, and started again without its state under the same name and address at the end.
    Kill(usize),
    /// The node is suspended, and continued at the end.
    Pause(usize),
    /// The node is suspended and continued ten times per second, so that it runs a tenth of the time.
    Slow(usize),
    /// A second process is started under the name of the node, and killed at the end.
    StartTwin(usize),
    /// The network is partitioned; holds the part of each node. Nothing passes between different parts.
    Partition(Vec<usize>),
    /// Nothing passes from the first node to the second.
    DropOneWay(usize, usize),
    /// All links have these faults.
    Lossy(LinkFaults),
    /// The list service is down.
    Down,
    /// The list service accepts calls and answers none.
    Hang,
    /// The list service begins each answer and never finishes it.
    Silent,
    /// The list service answers five calls per second.
    Sluggish,
    /// The list service rejects this number of every ten calls.
    Refuse(usize),
    /// The list service restarts with an older list, and gets the current one back at the end.
    Older,
}

/// A fault with its start and duration.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When the fault begins, in milliseconds from the start of the schedule.
    pub start_millis: u64,
    /// How long the fault lasts, in milliseconds.
    pub duration_millis: u64,
    /// The fault.
    pub fault: ScheduledFault,
}

/// The faults that are injected into a fleet of a given size.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// The seed of the schedule and of all random draws while it is played.
    pub seed: u64,
    /// The number of nodes of the fleet.
    pub nodes: usize,
    /// The faults in the order in which they were drawn.
    pub faults: Vec<PlannedFault>,
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
