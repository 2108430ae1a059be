//! Fault schedules: what happens to a fleet, when and for how long. They are drawn by a seed, written as small text
//! files, played over processes and shrunk by leaving faults out. What is checked is what hosts and clients saw, and
//! whether the views agree at the end.

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
    /// Killed, and started again from nothing under the same name and address when it is over.
    Kill(usize),
    /// Suspended, and continued when it is over.
    Pause(usize),
    /// Suspended and continued ten times a second, so that it runs a tenth of the time.
    Slow(usize),
    /// Started a second time under the same name, and ended when it is over.
    StartTwin(usize),
    /// The part of each node; nodes in different parts do not hear each other.
    Partition(Vec<usize>),
    /// The second does not hear the first.
    DropOneWay(usize, usize),
    /// Faults on all links.
    Lossy(LinkFaults),
    /// The list service is down.
    Down,
    /// The list service accepts calls and answers none.
    Hang,
    /// It begins answers and goes silent.
    Silent,
    /// It answers five calls a second.
    Sluggish,
    /// It rejects so many of ten calls.
    Refuse(usize),
    /// It restarts with an older list.
    Older,
}

/// A fault, when it begins and how long it lasts.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, from the start of the schedule.
    pub start_millis: u64,
    /// How long it lasts.
    pub duration_millis: u64,
    /// What happens.
    pub fault: ScheduledFault,
}

/// Faults over time for a fleet of some size.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// What the schedule, and the chance within it, was drawn from.
    pub seed: u64,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// The faults in the order in which they were drawn.
    pub faults: Vec<PlannedFault>,
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
