//! What clients have to know of the processes of a soak, and the checker of their past.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// From when to when a fault was on.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    pub from: Instant,
    pub to: Instant,
}

/// A reload of a process's settings, which names a list service.
#[derive(Clone, Copy, Debug)]
pub struct Reload {
    pub at: Instant,
    /// The number of the list service that it is to use from then on.
    pub service: usize,
}

/// One process, from its start to its end.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    /// What the list services know it by.
    pub caller: u64,
    /// The number of the list service that it was started with.
    pub first_service: usize,
    pub started: Instant,
    pub ended: Option<Instant>,
    pub reloads: Vec<Reload>,
    /// When it was told to stop.
    pub told_to_stop: Option<Instant>,
}

impl ProcessRun {
    pub fn new(caller: u64, first_service: usize, started: Instant) -> ProcessRun {
        ProcessRun {
            caller,
            first_service,
            started,
            ended: None,
            reloads: Vec::new(),
            told_to_stop: None,
        }
    }

    /// The number of the list service that it was told to use, at a moment.
    pub fn service_at(&self, at: Instant) -> usize {
        let reloads = self.reloads.iter().rev();
        reloads
            .into_iter()
            .find(|reload| reload.at <= at)
            .map_or(self.first_service, |reload| reload.service)
    }

    /// Whether it ran at a moment, give or take this much.
    pub fn ran_at(&self, at: Instant, slack: Duration) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended + slack)
    }
}

/// The address of the processes that follow each other in a slot, and what was done to them.
#[derive(Debug, Default)]
pub struct ProcessSlot {
    pub address: Option<SocketAddr>,
    /// From when on the front sends no clients to it.
    pub closed: Option<Instant>,
    /// The processes of it, by their start.
    pub runs: Vec<ProcessRun>,
    /// When processes of it were killed.
    pub killed: Vec<Instant>,
    /// When processes of it were told to stop, and when each was killed for it.
    pub stops: Vec<FaultSpan>,
    /// When idle clients crowded it.
    pub crowds: Vec<FaultSpan>,
    /// When single sends of its process were delayed, in a soak of restarts.
    pub send_delays: Vec<FaultSpan>,
    /// When its system calls were faulty.
    pub syscall_faults: Vec<FaultSpan>,
    /// When its process was suspended.
    pub suspensions: Vec<FaultSpan>,
}

pub type ProcessSlots = Arc<Vec<Mutex<ProcessSlot>>>;

/// A drain of a host.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When the list services began to announce it.
    pub announced: Instant,
    /// When they ceased to.
    pub revoked: Option<Instant>,
}

/// What was done to hosts.
#[derive(Debug, Default)]
pub struct FaultHistory {
    /// By host.
    pub drains: HashMap<usize, Vec<Drain>>,
}
