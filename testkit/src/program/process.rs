//! A process of the program, plain or traced, and what the system says of it.

use crate::peers::eventually;
use crate::syscalls::TracedProcess;
use rustix::process::{kill_process, Pid, Signal};
use std::process::{Child, ExitStatus};
use std::time::Duration;

/// The unit of processor times in `/proc`.
const MILLIS_PER_TICK: u64 = 10;
/// Where the ticks in user mode stand in [`Process::stat`]; those in kernel mode follow them.
const USER_TICKS_FIELD: usize = 11;

/// How a process of the program was started.
pub(super) enum Process {
    Plain(Child),
    /// With system calls that a test can make faulty.
    Traced(TracedProcess),
}

impl Process {
    fn id(&self) -> u32 {
        match self {
            Process::Plain(child) => child.id(),
            Process::Traced(traced) => traced.id(),
        }
    }

    pub(super) fn wait(&mut self) -> ExitStatus {
        match self {
            Process::Plain(child) => child.wait().unwrap(),
            Process::Traced(traced) => traced.wait(),
        }
    }

    pub(super) fn runs(&mut self) -> bool {
        match self {
            Process::Plain(child) => child.try_wait().unwrap().is_none(),
            Process::Traced(traced) => traced.runs(),
        }
    }

    pub(super) fn kill(&mut self) {
        match self {
            Process::Plain(child) => _ = child.kill(),
            Process::Traced(traced) => traced.kill(),
        }
        _ = self.wait();
    }

    pub(super) fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.id() as i32).expect("a process has a number");
        kill_process(pid, signal).unwrap();
    }

    /// Suspends it, and returns once it is: a signal takes milliseconds on a busy machine, and what is sent meanwhile
    /// would still be read.
    pub(super) fn suspend(&self) {
        match self {
            Process::Plain(_) => {
                self.signal(Signal::STOP);
                eventually("the process does not stand still", || {
                    self.state() == Some('T')
                });
            }
            Process::Traced(traced) => traced.suspend(),
        }
    }

    pub(super) fn unsuspend(&self) {
        match self {
            Process::Plain(_) => self.signal(Signal::CONT),
            Process::Traced(traced) => traced.unsuspend(),
        }
    }

    /// Its resident memory, in bytes.
    pub(super) fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .unwrap();
        let kibibytes: usize = resident.split_whitespace().next().unwrap().parse().unwrap();
        kibibytes << 10
    }

    /// The fields of its `/proc/PID/stat`, from its state on.
    fn stat(&self) -> Vec<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        // The name may hold anything; it ends with the last bracket.
        let after_name = text.rsplit(')').next().unwrap_or("");
        after_name.split_whitespace().map(str::to_string).collect()
    }

    /// Whether it runs, sleeps, is suspended and so on, by the letter of the system.
    fn state(&self) -> Option<char> {
        self.stat().first().and_then(|state| state.chars().next())
    }

    /// Processor time that it has taken, in user and in kernel mode.
    pub(super) fn cpu_time(&self) -> Duration {
        let ticks: u64 = self
            .stat()
            .iter()
            .skip(USER_TICKS_FIELD)
            .take(2)
            .filter_map(|field| field.parse::<u64>().ok())
            .sum();
        Duration::from_millis(MILLIS_PER_TICK * ticks)
    }

    /// How many descriptors it has open.
    pub(super) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id()))
            .unwrap()
            .count()
    }
}
