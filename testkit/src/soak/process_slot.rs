//! The state of a slot that clients and the checker share: where its process listens, and the history of its
//! processes and their faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The time during which a fault was active. `to` lies far in the future while it has not ended.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    pub from: Instant,
    pub to: Instant,
}

/// A reload of the settings of a process, which names a list service.
#[derive(Clone, Copy, Debug)]
pub struct Reload {
    pub at: Instant,
    /// The index of the list service that the process has to use from then on.
    pub service: usize,
}

/// The history of one process.
#[derive(Clone, Debug)]
pub struct ProcessRun {
    /// The caller number under which the list services record the process's calls.
    pub caller: u64,
    /// The index of the list service in the config that the process was started with.
    pub first_service: usize,
    pub started: Instant,
    pub ended: Option<Instant>,
    pub reloads: Vec<Reload>,
    /// When the process was told to stop, in a soak of restarts; `None` if it was not.
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

    /// Returns the index of the list service that the process was configured to use at `at`.
    pub fn service_at(&self, at: Instant) -> usize {
        let reloads = self.reloads.iter().rev();
        reloads
            .into_iter()
            .find(|reload| reload.at <= at)
            .map_or(self.first_service, |reload| reload.service)
    }

    /// Returns whether the process was running at `at`, or had ended less than `slack` before.
    pub fn ran_at(&self, at: Instant, slack: Duration) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended + slack)
    }
}

/// The address of the consecutive processes of a slot, and the faults that were applied to them.
#[derive(Debug, Default)]
pub struct ProcessSlot {
    pub address: Option<SocketAddr>,
    /// From when on the upstream load balancer sends no clients to the slot; `None` while it does.
    pub closed: Option<Instant>,
    /// The processes of the slot in the order of their starts.
    pub runs: Vec<ProcessRun>,
    /// When processes of the slot were killed without having been told to stop.
    pub killed: Vec<Instant>,
    /// From when a process was told to stop until the earliest permitted kill, for each stop of a soak of restarts.
    pub stops: Vec<FaultSpan>,
    /// When a crowd of idle clients used up the descriptors of the process.
    pub crowds: Vec<FaultSpan>,
    /// When some sends of the process were delayed, in a soak of restarts.
    pub send_delays: Vec<FaultSpan>,
    /// When faults were injected into system calls of the process.
    pub syscall_faults: Vec<FaultSpan>,
    /// When the process was suspended.
    pub suspensions: Vec<FaultSpan>,
}

pub type ProcessSlots = Arc<Vec<Mutex<ProcessSlot>>>;

/// A drain of a host.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// When the list services began to announce the drain.
    pub announced: Instant,
    /// When the list services announced the host as active again; `None` if they have not.
    pub revoked: Option<Instant>,
}

/// The faults that were applied to hosts.
#[derive(Debug, Default)]
pub struct FaultHistory {
    /// The drains of each host, by its number.
    pub drains: HashMap<usize, Vec<Drain>>,
}
