//! A process of the program, plain or traced, and what the system reports about it.

use crate::peers::eventually;
use crate::syscalls::TracedProcess;
use rustix::process::{kill_process, Pid, Signal};
use std::process::{Child, ExitStatus};
use std::time::Duration;

/// The unit of processor times in `/proc`, in milliseconds.
const MILLIS_PER_TICK: u64 = 10;
/// The index of the ticks in user mode in [`Process::stat`]. Those in kernel mode follow.
const USER_TICKS_FIELD: usize = 11;

/// A process of the program, by how it was started.
pub(super) enum Process {
    Plain(Child),
    /// Started under `ptrace`, so that faults can be injected into its system calls.
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
        let pid = Pid::from_raw(self.id() as i32).expect("a process id is positive");
        kill_process(pid, signal).unwrap();
    }

    /// Suspends the process and returns once it is suspended. On a busy machine a signal takes milliseconds to
    /// arrive, and the process would still read what is sent meanwhile.
    pub(super) fn suspend(&self) {
        match self {
            Process::Plain(_) => {
                self.signal(Signal::STOP);
                eventually("the process was not suspended in time", || {
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

    /// Returns the resident memory of the process, in bytes.
    pub(super) fn memory(&self) -> usize {
        self.status_bytes("VmRSS:")
    }

    /// Returns the largest resident memory that the process has had, in bytes.
    pub(super) fn peak_memory(&self) -> usize {
        self.status_bytes("VmHWM:")
    }

    /// Returns the value of a field of `/proc/PID/status` that is given in KiB, in bytes.
    fn status_bytes(&self, field: &str) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let value = status
            .lines()
            .find_map(|line| line.strip_prefix(field))
            .unwrap();
        let kibibytes: usize = value.split_whitespace().next().unwrap().parse().unwrap();
        kibibytes << 10
    }

    /// Returns the fields of `/proc/PID/stat` from the state on; none if the process is gone.
    fn stat(&self) -> Vec<String> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap_or_default();
        // The name may contain any characters; it ends with the last closing parenthesis.
        let after_name = text.rsplit(')').next().unwrap_or("");
        after_name.split_whitespace().map(str::to_string).collect()
    }

    /// Returns the letter by which the system denotes the state of the process, such as `T` for stopped.
    fn state(&self) -> Option<char> {
        self.stat().first().and_then(|state| state.chars().next())
    }

    /// Returns the processor time that the process has used in user and kernel mode.
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

    /// Returns the number of open descriptors of the process.
    pub(super) fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id()))
            .unwrap()
            .count()
    }
}
