//! The faults of a soak, drawn by a seed: each has a beginning and a length, and several streams of them overlap.

use super::SoakSize;
use crate::simulated::HostBehavior;
use crate::syscalls::{Call, Fault, Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::io::Errno;
use std::fmt;
use std::time::Duration;

/// One fault, at a process by its slot, at a host, or at the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakFault {
    /// Told to stop by a signal, and started again once it has stopped.
    Stop(usize),
    /// Another process takes over its listener and its connections.
    Replace(usize),
    /// The same, while messages between the two fail most of the time at both.
    ReplaceWithMessageFaults(usize),
    /// Killed, and started again.
    Kill(usize),
    /// Told to reload its settings, which name the other list service; and back.
    Reload(usize),
    /// Suspended.
    Suspend(usize),
    /// The wall clock of its machine is stepped by so many seconds.
    StepClock(usize, i64),
    /// System calls of this family fail, fall short or are held up.
    Syscalls(usize, SyscallFaultFamily),
    /// A host behaves in this way.
    Host(usize, HostBehavior),
    /// A host drains, and comes back.
    Drain(usize),
    /// The list services are down.
    ServiceDown,
    /// Open watches fall silent.
    ServiceSilent,
    /// The list services reject seven of ten calls.
    ServiceRejects,
}

/// Faults of system calls that come together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyscallFaultFamily {
    /// Calls fail for want of memory.
    NoMemory,
    /// Calls fail for want of descriptors.
    NoDescriptors,
    /// Connects fail for want of a route, a port or an address.
    NoRoute,
    /// Calls are interrupted.
    Interrupted,
    /// Calls move one byte.
    ShortTransfers,
    /// Sends are delayed.
    DelayedSends,
    /// Messages between a process and its successor fail most of the time.
    HandoverMessages,
}

const FAMILIES: [SyscallFaultFamily; 7] = [
    SyscallFaultFamily::NoMemory,
    SyscallFaultFamily::NoDescriptors,
    SyscallFaultFamily::NoRoute,
    SyscallFaultFamily::Interrupted,
    SyscallFaultFamily::ShortTransfers,
    SyscallFaultFamily::DelayedSends,
    SyscallFaultFamily::HandoverMessages,
];

impl SyscallFaultFamily {
    /// The faults that come together.
    pub fn faults(self) -> Vec<Fault> {
        let fails = |call, errno, every| Fault {
            call,
            outcome: Outcome::Fails(errno),
            every,
        };
        match self {
            SyscallFaultFamily::NoMemory => vec![
                fails(Call::EpollAdd, Errno::NOMEM, 3),
                fails(Call::Send, Errno::NOBUFS, 5),
                fails(Call::Receive, Errno::NOMEM, 7),
                fails(Call::Accept, Errno::NOBUFS, 3),
                fails(Call::Open, Errno::NOMEM, 2),
            ],
            SyscallFaultFamily::NoDescriptors => vec![
                fails(Call::Accept, Errno::NFILE, 2),
                fails(Call::Socket, Errno::NFILE, 3),
                fails(Call::Open, Errno::NFILE, 2),
                fails(Call::EpollAdd, Errno::NOSPC, 3),
            ],
            SyscallFaultFamily::NoRoute => vec![
                fails(Call::Connect, Errno::NETUNREACH, 3),
                fails(Call::Connect, Errno::HOSTUNREACH, 5),
                fails(Call::Connect, Errno::ADDRNOTAVAIL, 4),
                fails(Call::Accept, Errno::CONNABORTED, 3),
            ],
            SyscallFaultFamily::Interrupted => vec![
                fails(Call::EpollWait, Errno::INTR, 2),
                fails(Call::Receive, Errno::INTR, 2),
                fails(Call::Send, Errno::INTR, 2),
                fails(Call::Read, Errno::INTR, 2),
            ],
            SyscallFaultFamily::ShortTransfers => vec![
                Fault {
                    call: Call::Send,
                    outcome: Outcome::Short,
                    every: 2,
                },
                Fault {
                    call: Call::Receive,
                    outcome: Outcome::Short,
                    every: 2,
                },
            ],
            SyscallFaultFamily::DelayedSends => {
                let outcome = Outcome::Delayed(Duration::from_millis(140));
                vec![Fault {
                    call: Call::Send,
                    outcome,
                    every: 9,
                }]
            }
            // Two beside each other, so that no more than one in three succeeds.
            SyscallFaultFamily::HandoverMessages => vec![
                fails(Call::SendMessage, Errno::NOBUFS, 2),
                fails(Call::SendMessage, Errno::NOMEM, 3),
                fails(Call::ReceiveMessage, Errno::NOMEM, 2),
                fails(Call::ReceiveMessage, Errno::NOBUFS, 3),
            ],
        }
    }
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, from the start of the soak.
    pub start: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What happens.
    pub fault: SoakFault,
}

/// A fault begins or ends.
#[derive(Clone, Debug)]
pub struct FaultTransition {
    /// When, from the start.
    pub at: Duration,
    /// Whether the fault begins or ends.
    pub begins: bool,
    /// Which fault.
    pub fault: SoakFault,
}

/// All faults of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSchedule {
    /// What it was drawn from.
    pub seed: u64,
    /// The faults by the time at which they begin.
    pub planned: Vec<PlannedFault>,
}

/// How long a process takes to stop, by the longest deadline.
const MIN_STOP_DURATION_MILLIS: u64 = 2800;
/// How long other faults last at the least.
const MIN_DURATION_MILLIS: u64 = 200;
/// How much longer than the least a fault may last.
const DURATION_SPREAD_MILLIS: u64 = 2800;
/// A quiet time at the start, and the longest one between two faults of one stream.
const MAX_GAP_MILLIS: u64 = 500;

impl SoakSchedule {
    /// Draws a schedule; the same seed and size draw the same.
    pub fn draw(seed: u64, size: &SoakSize) -> SoakSchedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let span_millis = size.span.as_millis() as u64;
        let mut planned = Vec::new();
        for _ in 0..size.overlap {
            let mut start_millis = MAX_GAP_MILLIS + rng.random_range(0..MAX_GAP_MILLIS);
            while start_millis < span_millis {
                let fault = SoakSchedule::draw_fault(&mut rng, size);
                // A process that was told to stop takes its time, and nobody is to wait for it.
                let min_millis = match fault {
                    SoakFault::Stop(_) => MIN_STOP_DURATION_MILLIS,
                    _ => MIN_DURATION_MILLIS,
                };
                let duration_millis =
                    rng.random_range(min_millis..min_millis + DURATION_SPREAD_MILLIS);
                planned.push(PlannedFault {
                    start: Duration::from_millis(start_millis),
                    duration: Duration::from_millis(duration_millis),
                    fault,
                });
                // The next may begin while this one lasts.
                start_millis += rng.random_range(100..=duration_millis + MAX_GAP_MILLIS);
            }
        }
        planned.sort_by_key(|planned| planned.start);
        SoakSchedule { seed, planned }
    }

    fn draw_fault(rng: &mut ChaCha8Rng, size: &SoakSize) -> SoakFault {
        let slot = rng.random_range(0..size.processes);
        let host = rng.random_range(0..size.hosts);
        match rng.random_range(0..20) {
            // Where a listener is shared the next process is there first: those are replaced, never stopped alone.
            0 | 1 => SoakFault::Stop(slot - slot % 2),
            2 => SoakFault::Replace(slot),
            // One whose listener is shared, where there is any.
            3 => SoakFault::ReplaceWithMessageFaults((slot | 1).min(size.processes - 1)),
            4 => SoakFault::Kill(slot),
            5 | 6 => SoakFault::Reload(slot),
            7 | 8 => SoakFault::Suspend(slot),
            9 => SoakFault::StepClock(slot, [3600, -3600, 5, -5][rng.random_range(0..4)]),
            10..=14 => SoakFault::Syscalls(slot, FAMILIES[rng.random_range(0..FAMILIES.len())]),
            15 => {
                let behaviors = [
                    HostBehavior::Rejects,
                    HostBehavior::Fails,
                    HostBehavior::Silent,
                    HostBehavior::Disconnects,
                ];
                SoakFault::Host(host, behaviors[rng.random_range(0..behaviors.len())])
            }
            16 | 17 => SoakFault::Drain(host),
            18 => SoakFault::ServiceDown,
            _ => [SoakFault::ServiceSilent, SoakFault::ServiceRejects][rng.random_range(0..2)]
                .clone(),
        }
    }

    /// All beginnings and ends in their order.
    pub fn transitions(&self) -> Vec<FaultTransition> {
        let mut transitions: Vec<FaultTransition> = self
            .planned
            .iter()
            .flat_map(PlannedFault::transitions)
            .collect();
        transitions.sort_by_key(|transition| transition.at);
        transitions
    }
}

impl PlannedFault {
    fn transitions(&self) -> [FaultTransition; 2] {
        let end = self.start + self.duration;
        [(self.start, true), (end, false)].map(|(at, begins)| FaultTransition {
            at,
            begins,
            fault: self.fault.clone(),
        })
    }
}

impl fmt::Display for SoakSchedule {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        for planned in &self.planned {
            let (start, duration) = (planned.start.as_millis(), planned.duration.as_millis());
            writeln!(out, "  at {start} for {duration} {:?}", planned.fault)?;
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "soak_faults_tests.rs"]
mod tests;
