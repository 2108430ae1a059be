//! The faults of a soak, drawn from a seed. Each has a start and a duration, and several streams of them overlap.

use super::SoakSize;
use crate::simulated::HostBehavior;
use crate::syscalls::{Call, Fault, Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::io::Errno;
use std::fmt;
use std::time::Duration;

/// A fault at a process (by its slot), at a host (by its number) or at both list services.
#[derive(Clone, Debug, PartialEq)]
pub enum SoakFault {
    /// The process is told to stop by a signal; a new one is started once it has ended.
    Stop(usize),
    /// Another process takes over the process's listener and connections.
    Replace(usize),
    /// Like `Replace`, while most of the messages between the two processes fail at both.
    ReplaceWithMessageFaults(usize),
    /// The process is killed; a new one is started later.
    Kill(usize),
    /// The process reloads its settings, which name the other list service; later it reloads back.
    Reload(usize),
    /// The process is suspended.
    Suspend(usize),
    /// The wall clock that the process reads is stepped by this many seconds.
    StepClock(usize, i64),
    /// System calls of the process fail, transfer less than asked for or are delayed.
    Syscalls(usize, SyscallFaultFamily),
    /// A host behaves in this way instead of accepting requests.
    Host(usize, HostBehavior),
    /// A host drains and becomes active again.
    Drain(usize),
    /// The list services are down.
    ServiceDown,
    /// Watches that are open are never answered.
    ServiceSilent,
    /// The list services reject seven of ten calls.
    ServiceRejects,
}

/// A set of faults of system calls that are active together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyscallFaultFamily {
    /// Calls fail because memory is exhausted.
    NoMemory,
    /// Calls fail because file descriptors or `epoll` watches are exhausted.
    NoDescriptors,
    /// Connects fail because there is no route to the host or no free local address, and accepted connections are
    /// aborted.
    NoRoute,
    /// Calls are interrupted.
    Interrupted,
    /// Sends and receives transfer one byte.
    ShortTransfers,
    /// Sends are delayed.
    DelayedSends,
    /// Most messages between a process and its successor fail.
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
    /// Returns the faults of this family.
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
            // Two faults per call together let at most one call in three succeed.
            SyscallFaultFamily::HandoverMessages => vec![
                fails(Call::SendMessage, Errno::NOBUFS, 2),
                fails(Call::SendMessage, Errno::NOMEM, 3),
                fails(Call::ReceiveMessage, Errno::NOMEM, 2),
                fails(Call::ReceiveMessage, Errno::NOBUFS, 3),
            ],
        }
    }
}

/// A fault and the time during which it is active.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When the fault begins, from the start of the soak.
    pub start: Duration,
    /// How long the fault lasts.
    pub duration: Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// The beginning or the end of a fault.
#[derive(Clone, Debug)]
pub struct FaultTransition {
    /// The time from the start of the soak.
    pub at: Duration,
    /// Whether the fault begins; otherwise it ends.
    pub begins: bool,
    /// The fault.
    pub fault: SoakFault,
}

/// All faults of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSchedule {
    /// The seed from which the schedule was drawn.
    pub seed: u64,
    /// The faults in the order in which they begin.
    pub planned: Vec<PlannedFault>,
}

/// The least duration of a stop, in milliseconds: how long a process takes to stop with the longest deadline.
const MIN_STOP_DURATION_MILLIS: u64 = 2800;
/// The least duration of other faults, in milliseconds.
const MIN_DURATION_MILLIS: u64 = 200;
/// How much longer than its least duration a fault may last, in milliseconds, exclusive.
const DURATION_SPREAD_MILLIS: u64 = 2800;
/// The least time before the first fault, and the longest time from the end of a fault to the start of the next one in
/// the same stream, in milliseconds.
const MAX_GAP_MILLIS: u64 = 500;

impl SoakSchedule {
    /// Draws a schedule. The same seed and size draw the same schedule.
    pub fn draw(seed: u64, size: &SoakSize) -> SoakSchedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let span_millis = size.span.as_millis() as u64;
        let mut planned = Vec::new();
        for _ in 0..size.overlap {
            let mut start_millis = MAX_GAP_MILLIS + rng.random_range(0..MAX_GAP_MILLIS);
            while start_millis < span_millis {
                let fault = SoakSchedule::draw_fault(&mut rng, size);
                // Ending the fault waits for the process. The longer duration keeps that from delaying other faults.
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
                // The next fault of the stream may begin while this one lasts.
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
            // The processes of an odd slot share a listener. A stop without a successor is drawn for even slots only.
            0 | 1 => SoakFault::Stop(slot - slot % 2),
            2 => SoakFault::Replace(slot),
            // Chooses a slot with a shared listener, if there is one.
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

    /// Returns the beginnings and ends of all faults in the order of their times.
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
