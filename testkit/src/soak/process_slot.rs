//! What clients have to know of the processes of a soak, and the checker of their past.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// From when to when a fault was on.
#[derive(Clone, Copy, Debug)]
pub struct FaultSpan {
    pub from: Instant,
    pub to: Instant,
}

/// The address of the processes that follow each other in a slot, and what was done to them.
#[derive(Debug, Default)]
pub struct ProcessSlot {
    pub address: Option<SocketAddr>,
    /// From when on the front sends no clients to it.
    pub closed: Option<Instant>,
    /// When processes of it were started.
    pub started: Vec<Instant>,
    /// When processes of it were killed.
    pub killed: Vec<Instant>,
    /// When its process was suspended.
    pub suspensions: Vec<FaultSpan>,
    /// When its system calls were faulty.
    pub syscall_faults: Vec<FaultSpan>,
    /// When it was told to use the other list service.
    pub reloaded: Vec<Instant>,
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

/// What was done to hosts and list services.
#[derive(Debug, Default)]
pub struct FaultHistory {
    /// By host.
    pub drains: HashMap<usize, Vec<Drain>>,
    /// When the list services were faulty.
    pub service_faults: Vec<FaultSpan>,
}
