//! How processes of a soak of restarts are told to stop, are killed at the earliest moment of the protocol, and follow
//! each other.

use super::super::process_slot::FaultSpan;
use super::super::restarts::{Crowd, RestartEvent, Termination, KILL_DELAY};
use super::{ProcessGroup, RunningProcess};
use crate::simulated::HostBehavior;
use crate::syscalls::{Call, Fault, Outcome};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// No signal comes so soon after a process is ready.
const MIN_AGE_BEFORE_SIGNAL: Duration = Duration::from_secs(1);
/// How long a send is delayed: less than the 0.15 s that the pages allow between clock and write.
const SEND_DELAY: Duration = Duration::from_millis(140);
/// One send in so many is.
const SENDS_PER_DELAY: u64 = 40;
/// The end of what has not ended yet: later than any soak.
const FAR_FUTURE: Duration = Duration::from_secs(3600);
/// How many more idle clients come than a process may have descriptors.
const CROWD_BEYOND_LIMIT: u64 = 32;

/// A process that was told to stop and is dead, whether or not it ended by itself.
pub(super) struct KilledProcess {
    process: RunningProcess,
    told_to_stop: Instant,
    /// When it was killed, unless it had ended.
    killed_at: Option<Instant>,
}

impl ProcessGroup {
    /// Has an event of a soak of restarts happen.
    pub fn play(&mut self, event: &RestartEvent) {
        match *event {
            RestartEvent::Terminate(slot, termination) => self.terminate(slot, termination),
            RestartEvent::Restart(slot) => self.restart(slot),
            RestartEvent::Replace(slot, termination) => self.hand_over(slot, termination),
            RestartEvent::Reload(slot) => {
                if self.may_be_signalled(slot) {
                    self.reload(slot);
                }
            }
            RestartEvent::HostHangs(host, true) => {
                self.hosts.set_behavior(host, HostBehavior::Hangs);
            }
            RestartEvent::HostHangs(host, false) => {
                self.hosts.set_behavior(host, HostBehavior::Accepts);
            }
            RestartEvent::HostDrains(host, true) => self.begin_drain(host),
            RestartEvent::HostDrains(host, false) => self.end_drain(host),
            RestartEvent::SendsDelayed(slot, true) => self.begin_send_delays(slot),
            RestartEvent::SendsDelayed(slot, false) => self.end_send_delays(slot),
            RestartEvent::Crowd(slot, true) => self.begin_crowd(slot),
            RestartEvent::Crowd(slot, false) => self.end_crowd(slot),
        }
    }

    fn may_be_signalled(&self, slot: usize) -> bool {
        let process = self.processes[slot].running.as_ref();
        process.is_some_and(|process| process.ready_at.elapsed() >= MIN_AGE_BEFORE_SIGNAL)
    }

    /// Tells the process of a slot to stop; the front sends clients for a while.
    fn terminate(&mut self, slot: usize, termination: Termination) {
        if !self.may_be_signalled(slot) {
            return;
        }
        if termination.reload_first {
            self.reload(slot);
        }
        if let Some(process) = self.processes[slot].running.take() {
            let closed = Instant::now() + termination.upstream_delay;
            self.slots[slot].lock().unwrap().closed = Some(closed);
            self.kill_after_stop(slot, process, termination);
        }
    }

    fn restart(&mut self, slot: usize) {
        if self.processes[slot].running.is_none() {
            self.wait_for_killed(slot);
            self.start_process(slot);
        }
    }

    /// Starts the next process beside the one in this slot, which is told to stop once that one serves.
    fn hand_over(&mut self, slot: usize, termination: Termination) {
        if !self.may_be_signalled(slot) {
            return;
        }
        if termination.reload_first {
            self.reload(slot);
        }
        self.wait_for_killed(slot);
        if let Some(process) = self.processes[slot].running.take() {
            self.start_process(slot);
            self.kill_after_stop(slot, process, termination);
        }
    }

    /// Sends SIGTERM, and SIGKILL at the earliest moment, by a thread of its own: nothing else is to delay it.
    fn kill_after_stop(&mut self, slot: usize, process: RunningProcess, termination: Termination) {
        let lifetime = self.profile.longest_deadline() + KILL_DELAY;
        let told_to_stop = Instant::now();
        process.node.stop();
        {
            let mut slot = self.slots[slot].lock().unwrap();
            slot.runs[process.run].told_to_stop = Some(told_to_stop);
            slot.stops.push(FaultSpan {
                from: told_to_stop,
                to: told_to_stop + lifetime,
            });
        }
        let kill_thread = move || kill_when_due(process, told_to_stop, lifetime, termination);
        self.processes[slot]
            .kill_threads
            .push(thread::spawn(kill_thread));
    }

    /// Waits until all processes of a slot that were told to stop are dead.
    pub(super) fn wait_for_killed(&mut self, slot: usize) {
        let kill_threads: Vec<JoinHandle<KilledProcess>> =
            self.processes[slot].kill_threads.drain(..).collect();
        for kill_thread in kill_threads {
            let mut killed = kill_thread.join().expect("a kill thread panicked");
            match killed.killed_at {
                Some(at) => self.kill_times.push(at - killed.told_to_stop),
                None if killed.process.node.wait().success() => self.ended_in_order += 1,
                None => {
                    let status = killed.process.node.wait();
                    self.failures
                        .push(format!("seat {slot}: ended with {status}"));
                }
            }
            self.note_end(slot, &killed.process);
        }
    }

    fn begin_send_delays(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        process.syscall_faults = vec![Fault {
            call: Call::Send,
            outcome: Outcome::Delayed(SEND_DELAY),
            every: SENDS_PER_DELAY,
        }];
        process.injector.set(&process.syscall_faults);
        let from = Instant::now();
        let to = from + FAR_FUTURE;
        let mut slot = self.slots[slot].lock().unwrap();
        slot.send_delays.push(FaultSpan { from, to });
    }

    fn end_send_delays(&mut self, slot: usize) {
        self.end_syscall_faults(slot);
        if let Some(span) = self.slots[slot].lock().unwrap().send_delays.last_mut() {
            span.to = Instant::now();
        }
    }

    fn begin_crowd(&mut self, slot: usize) {
        let Some(process) = &self.processes[slot].running else {
            return;
        };
        let size = (self.profile.sockets + CROWD_BEYOND_LIMIT) as usize;
        self.processes[slot].crowd = Some(Crowd::start(process.node.address, size));
        let from = Instant::now();
        let to = from + FAR_FUTURE;
        self.slots[slot]
            .lock()
            .unwrap()
            .crowds
            .push(FaultSpan { from, to });
    }

    fn end_crowd(&mut self, slot: usize) {
        if self.processes[slot].crowd.take().is_none() {
            return;
        }
        if let Some(crowd) = self.slots[slot].lock().unwrap().crowds.last_mut() {
            crowd.to = Instant::now();
        }
    }

    /// Ends all that a soak of restarts plays; every slot has its process then.
    pub fn end_restarts(&mut self) {
        for slot in 0..self.processes.len() {
            self.end_crowd(slot);
            self.wait_for_killed(slot);
        }
        self.clear_all_faults();
    }

    /// How long after SIGTERM processes were killed, for those that had not ended by themselves.
    pub fn kill_times(&self) -> &[Duration] {
        &self.kill_times
    }

    /// How many processes ended by themselves, in order, before they were to be killed.
    pub fn ended_in_order(&self) -> u64 {
        self.ended_in_order
    }
}

/// Waits until a process may be killed, and kills it. A second SIGTERM comes in between where that is so planned.
fn kill_when_due(
    mut process: RunningProcess,
    told_to_stop: Instant,
    lifetime: Duration,
    termination: Termination,
) -> KilledProcess {
    let sleep_until = |at: Instant| thread::sleep(at.saturating_duration_since(Instant::now()));
    if let Some(second_after) = termination.second_after {
        sleep_until(told_to_stop + second_after.min(lifetime));
        if process.node.runs() {
            process.node.stop();
        }
    }
    sleep_until(told_to_stop + lifetime);
    let killed_at = process.node.runs().then(Instant::now);
    if killed_at.is_some() {
        process.node.kill();
    }
    KilledProcess {
        process,
        told_to_stop,
        killed_at,
    }
}
