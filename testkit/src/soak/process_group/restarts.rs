//! Plays the events of a soak of restarts: tells processes to stop, kills them at the earliest moment that the
//! protocol permits, and starts their successors.

use super::super::process_slot::FaultSpan;
use super::super::restarts::{Crowd, RestartEvent, Termination, KILL_DELAY};
use super::{ProcessGroup, RunningProcess};
use crate::simulated::HostBehavior;
use crate::syscalls::{Call, Fault, Outcome};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long after a process is ready the protocol forbids signals to it.
const MIN_AGE_BEFORE_SIGNAL: Duration = Duration::from_secs(1);
/// How long a send is delayed: less than the 0.15 s that the documentation allows between clock and write.
const SEND_DELAY: Duration = Duration::from_millis(140);
/// One send in this many is delayed.
const SENDS_PER_DELAY: u64 = 40;
/// The provisional length of a fault that has not ended yet. Longer than any soak.
const FAR_FUTURE: Duration = Duration::from_secs(3600);
/// How many more idle clients a crowd has than the node config allows sockets.
const CROWD_BEYOND_LIMIT: u64 = 32;

/// A process that was told to stop and has ended, by itself or by SIGKILL.
pub(super) struct EndedProcess {
    process: RunningProcess,
    told_to_stop: Instant,
    /// When the process was killed; `None` if it had ended by itself.
    killed_at: Option<Instant>,
}

impl ProcessGroup {
    /// Carries out an event of a soak of restarts.
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

    /// Tells the process of a slot to stop. The upstream load balancer keeps sending clients for a while.
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
            self.wait_for_kill_threads(slot);
            self.start_process(slot);
        }
    }

    /// Starts a successor beside the process in this slot, and tells the process to stop once the successor serves.
    fn hand_over(&mut self, slot: usize, termination: Termination) {
        if !self.may_be_signalled(slot) {
            return;
        }
        if termination.reload_first {
            self.reload(slot);
        }
        self.wait_for_kill_threads(slot);
        if let Some(process) = self.processes[slot].running.take() {
            self.start_process(slot);
            self.kill_after_stop(slot, process, termination);
        }
    }

    /// Sends SIGTERM, and SIGKILL at the earliest permitted moment. SIGKILL comes from a separate thread, so that
    /// other events of the soak do not delay it.
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

    /// Waits until all processes of a slot that were told to stop have ended.
    pub(super) fn wait_for_kill_threads(&mut self, slot: usize) {
        let kill_threads: Vec<JoinHandle<EndedProcess>> =
            self.processes[slot].kill_threads.drain(..).collect();
        for kill_thread in kill_threads {
            let mut ended = kill_thread.join().expect("a kill thread panicked");
            match ended.killed_at {
                Some(at) => self.kill_times.push(at - ended.told_to_stop),
                None if ended.process.node.wait().success() => self.ended_in_order += 1,
                None => {
                    let status = ended.process.node.wait();
                    self.failures
                        .push(format!("slot {slot}: ended with {status}"));
                }
            }
            self.note_end(slot, &ended.process);
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

    /// Ends all faults of a soak of restarts. Every slot has a running process afterwards.
    pub fn end_restarts(&mut self) {
        for slot in 0..self.processes.len() {
            self.end_crowd(slot);
            self.wait_for_kill_threads(slot);
        }
        self.clear_all_faults();
    }

    /// Returns how long after SIGTERM each process was killed that had not ended by itself.
    pub fn kill_times(&self) -> &[Duration] {
        &self.kill_times
    }

    /// Returns the number of processes that exited successfully before they were to be killed.
    pub fn ended_in_order(&self) -> u64 {
        self.ended_in_order
    }
}

/// Waits until a process may be killed and kills it if it still runs. Sends a second SIGTERM before that if planned.
fn kill_when_due(
    mut process: RunningProcess,
    told_to_stop: Instant,
    lifetime: Duration,
    termination: Termination,
) -> EndedProcess {
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
    EndedProcess {
        process,
        told_to_stop,
        killed_at,
    }
}
