//! Controls a traced process from a test. What a fault does to a call is carried out by the tracer.

use super::{Call, Fault, Outcome};
use std::process::ExitStatus;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How long a process may take to be suspended.
const MAX_SUSPEND_TIME: Duration = Duration::from_secs(10);

#[derive(Default)]
struct State {
    faults: Vec<CountedFault>,
    faulty_calls: u64,
    /// How far the process's wall clock is ahead of the real one, in nanoseconds.
    clock_offset_nanos: i64,
    /// Whether a test has asked to suspend the process.
    suspend_requested: bool,
    /// Whether the process is suspended.
    suspended: bool,
    exited: Option<ExitStatus>,
}

/// A fault, and how many calls of its kind there were since it was set.
struct CountedFault {
    fault: Fault,
    calls: u64,
}

/// Controls a traced process from a test: the faults of its system calls, its wall clock and its suspension. Clones
/// control the same process.
#[derive(Clone, Default)]
pub struct SyscallInjector(Arc<(Mutex<State>, Condvar)>);

impl SyscallInjector {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0 .0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// From now on injects these faults and no others.
    pub fn set(&self, faults: &[Fault]) {
        let counted = |fault: &Fault| CountedFault {
            fault: *fault,
            calls: 0,
        };
        self.state().faults = faults.iter().map(counted).collect();
    }

    /// From now on injects no faults.
    pub fn clear(&self) {
        self.set(&[]);
    }

    /// Returns the number of calls that faults have affected so far.
    pub fn injected(&self) -> u64 {
        self.state().faulty_calls
    }

    /// Steps the wall clock that the process reads. Steps add up.
    pub fn step_clock(&self, seconds: i64) {
        self.state().clock_offset_nanos += seconds * 1_000_000_000;
    }

    /// Requests that the process stays stopped when SIGSTOP next stops it, or resumes it.
    pub(super) fn request_suspend(&self, suspend_requested: bool) {
        let mut state = self.state();
        state.suspend_requested = suspend_requested;
        state.suspended &= suspend_requested;
        drop(state);
        self.0 .1.notify_all();
    }

    /// Counts a call and returns what happens to it; `None` if nothing does.
    pub(super) fn outcome(&self, call: Call) -> Option<Outcome> {
        let mut state = self.state();
        let mut outcome = None;
        let of_kind = |counted: &&mut CountedFault| counted.fault.call == call;
        for counted in state.faults.iter_mut().filter(of_kind) {
            counted.calls += 1;
            if counted.calls.is_multiple_of(counted.fault.every.max(1)) {
                outcome = outcome.or(Some(counted.fault.outcome));
            }
        }
        state.faulty_calls += u64::from(outcome.is_some());
        outcome
    }

    /// Keeps the process stopped while a test asks for its suspension.
    pub(super) fn wait_while_suspended(&self) {
        let (_, changed) = &*self.0;
        let suspend_requested = |state: &mut State| {
            state.suspended = state.suspend_requested;
            changed.notify_all();
            state.suspend_requested
        };
        drop(changed.wait_while(self.state(), suspend_requested));
    }

    /// Waits until the process is suspended or has ended.
    pub(super) fn wait_until_suspended(&self) {
        let (_, changed) = &*self.0;
        let runs = |state: &mut State| !state.suspended && state.exited.is_none();
        let waited = changed.wait_timeout_while(self.state(), MAX_SUSPEND_TIME, runs);
        let (_state, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        assert!(
            !timeout.timed_out(),
            "the process was not suspended in time"
        );
    }

    /// Returns how far the process's wall clock is ahead of the real one, in nanoseconds.
    pub(super) fn clock_offset_nanos(&self) -> i64 {
        self.state().clock_offset_nanos
    }

    /// Records that the process has ended.
    pub(super) fn record_exit(&self, status: ExitStatus) {
        self.state().exited = Some(status);
        self.0 .1.notify_all();
    }

    /// Returns whether the process has ended.
    pub(super) fn has_exited(&self) -> bool {
        self.state().exited.is_some()
    }

    /// Waits for the end of the process.
    pub(super) fn wait_for_exit(&self) -> ExitStatus {
        let (_, changed) = &*self.0;
        let state = changed.wait_while(self.state(), |state| state.exited.is_none());
        state
            .unwrap_or_else(PoisonError::into_inner)
            .exited
            .expect("the wait ended without an exit status")
    }
}
