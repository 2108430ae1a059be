//! Begins and ends each fault of a soak and records when it was active.

use super::super::is_verbose;
use super::super::process_slot::{Drain, FaultSpan, Reload};
use super::super::soak_faults::{FaultTransition, SoakFault, SyscallFaultFamily};
use super::ProcessGroup;
use crate::discovery::Discovery;
use crate::program::Node;
use crate::simulated::HostBehavior;
use std::time::{Duration, Instant};

/// How long the upstream load balancer keeps sending clients to a process after it was told to stop.
const UPSTREAM_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// The number of calls out of ten that the list services reject under [`SoakFault::ServiceRejects`].
const REJECTED_OF_TEN: usize = 7;
/// The provisional length of a fault that has not ended yet. Longer than any soak.
const FAR_FUTURE: Duration = Duration::from_secs(3600);

impl ProcessGroup {
    /// Begins or ends a fault.
    pub fn apply(&mut self, transition: FaultTransition) {
        self.restart_ended();
        let FaultTransition { begins, fault, .. } = transition;
        if is_verbose() {
            eprintln!("{} {fault:?}", if begins { "begin" } else { "end" });
        }
        if begins {
            self.begin(&fault);
        } else {
            self.end(&fault);
        }
    }

    fn begin(&mut self, fault: &SoakFault) {
        match *fault {
            SoakFault::Stop(slot) => self.begin_stop(slot),
            SoakFault::Replace(slot) => self.replace(slot),
            SoakFault::ReplaceWithMessageFaults(slot) => {
                self.begin_syscall_faults(slot, SyscallFaultFamily::HandoverMessages);
                self.replace(slot);
            }
            SoakFault::Kill(slot) => self.kill(slot),
            SoakFault::Reload(slot) => self.reload(slot),
            SoakFault::Suspend(slot) => self.begin_suspension(slot),
            SoakFault::StepClock(slot, seconds) => {
                self.processes[slot].injector.step_clock(seconds);
            }
            SoakFault::Syscalls(slot, family) => self.begin_syscall_faults(slot, family),
            SoakFault::Host(host, behavior) => self.hosts.set_behavior(host, behavior),
            SoakFault::Drain(host) => self.begin_drain(host),
            SoakFault::ServiceDown => self.services.iter().for_each(Discovery::go_down),
            SoakFault::ServiceSilent => self.services.iter().for_each(Discovery::silence_watches),
            SoakFault::ServiceRejects => self.reject_of_ten(REJECTED_OF_TEN),
        }
    }

    fn end(&mut self, fault: &SoakFault) {
        match *fault {
            SoakFault::Stop(slot) => self.end_stop(slot),
            // Nothing to undo: a replacement and a clock step last, and watches that fell silent stay silent.
            SoakFault::Replace(_) | SoakFault::StepClock(..) | SoakFault::ServiceSilent => {}
            SoakFault::ReplaceWithMessageFaults(slot) | SoakFault::Syscalls(slot, _) => {
                self.end_syscall_faults(slot);
            }
            SoakFault::Kill(slot) => self.end_kill(slot),
            // Each reload switches to the other list service, so a second one undoes the first.
            SoakFault::Reload(slot) => self.reload(slot),
            SoakFault::Suspend(slot) => self.end_suspension(slot),
            SoakFault::Host(host, _) => self.hosts.set_behavior(host, HostBehavior::Accepts),
            SoakFault::Drain(host) => self.end_drain(host),
            SoakFault::ServiceDown => self.services.iter().for_each(Discovery::come_up),
            SoakFault::ServiceRejects => self.reject_of_ten(0),
        }
    }

    fn reject_of_ten(&self, of_ten: usize) {
        self.services
            .iter()
            .for_each(|service| service.reject_of_ten(of_ten));
    }

    fn begin_syscall_faults(&mut self, slot: usize, family: SyscallFaultFamily) {
        let process = &mut self.processes[slot];
        process.syscall_faults = family.faults();
        process.injector.set(&process.syscall_faults);
        let from = Instant::now();
        let to = from + FAR_FUTURE;
        let mut slot = self.slots[slot].lock().unwrap();
        slot.syscall_faults.push(FaultSpan { from, to });
    }

    pub(super) fn end_syscall_faults(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        process.syscall_faults.clear();
        process.injector.set(&process.syscall_faults);
        // Ends the spans of all faults of system calls in this slot: the injector has just been cleared of all of
        // them.
        let now = Instant::now();
        for span in &mut self.slots[slot].lock().unwrap().syscall_faults {
            span.to = span.to.min(now);
        }
    }

    /// Tells the process of a slot to stop. The upstream load balancer keeps sending clients for a while.
    fn begin_stop(&mut self, slot: usize) {
        let Some(process) = self.processes[slot].running.take() else {
            return;
        };
        self.resume_process(slot, &process.node);
        self.slots[slot].lock().unwrap().closed = Some(Instant::now() + UPSTREAM_NOTICE_DELAY);
        self.processes[slot].stopping.push(process.stop());
    }

    /// Waits until the stopping processes of a slot have ended, then starts a process if none runs.
    pub(super) fn end_stop(&mut self, slot: usize) {
        self.wait_for_stopped(slot);
        if self.processes[slot].running.is_none() {
            self.start_process(slot);
        }
    }

    /// Starts a successor of the process in this slot, then tells the process to stop. Does nothing in a slot without
    /// a shared listener.
    fn replace(&mut self, slot: usize) {
        if self.processes[slot].shared.is_none() {
            return;
        }
        let Some(mut predecessor) = self.processes[slot].running.take() else {
            return;
        };
        self.resume_process(slot, &predecessor.node);
        self.start_process(slot);
        if !self.ended_unexpectedly(slot, &mut predecessor) {
            self.processes[slot].stopping.push(predecessor.stop());
        }
    }

    fn kill(&mut self, slot: usize) {
        let Some(mut process) = self.processes[slot].running.take() else {
            return;
        };
        {
            let mut slot = self.slots[slot].lock().unwrap();
            slot.closed = Some(Instant::now());
            slot.killed.push(Instant::now());
        }
        process.node.kill();
        self.note_end(slot, &process);
    }

    fn end_kill(&mut self, slot: usize) {
        if self.processes[slot].running.is_none() {
            self.wait_for_stopped(slot);
            self.start_process(slot);
        }
    }

    /// Reloads the process of a slot with a config that names the other list service.
    pub(super) fn reload(&mut self, slot: usize) {
        let service = 1 - self.processes[slot].service;
        self.processes[slot].service = service;
        if let Some(process) = &self.processes[slot].running {
            let node_config = self.node_config(slot, process.addresses[service]);
            let at = Instant::now();
            self.slots[slot].lock().unwrap().runs[process.run]
                .reloads
                .push(Reload { at, service });
            process.node.reload(&node_config.to_string());
        }
    }

    fn begin_suspension(&mut self, slot: usize) {
        let Some(process) = &self.processes[slot].running else {
            return;
        };
        process.node.suspend();
        let now = Instant::now();
        self.slots[slot]
            .lock()
            .unwrap()
            .suspensions
            .push(FaultSpan {
                from: now,
                to: now + FAR_FUTURE,
            });
    }

    pub(super) fn end_suspension(&mut self, slot: usize) {
        if let Some(process) = &self.processes[slot].running {
            self.resume_process(slot, &process.node);
        }
    }

    fn resume_process(&self, slot: usize, node: &Node) {
        node.unsuspend();
        if let Some(last) = self.slots[slot].lock().unwrap().suspensions.last_mut() {
            last.to = last.to.min(Instant::now());
        }
    }

    pub(super) fn begin_drain(&mut self, host: usize) {
        let drains = self.fault_history.drains.entry(host).or_default();
        if drains.iter().any(|drain| drain.revoked.is_none()) {
            return;
        }
        drains.push(Drain {
            announced: Instant::now(),
            revoked: None,
        });
        self.announce(host, "leaving");
    }

    pub(super) fn end_drain(&mut self, host: usize) {
        let drains = self.fault_history.drains.entry(host).or_default();
        let Some(drain) = drains.iter_mut().find(|drain| drain.revoked.is_none()) else {
            return;
        };
        drain.revoked = Some(Instant::now());
        self.announce(host, "active");
    }

    fn announce(&self, host: usize, phase: &str) {
        self.services
            .iter()
            .for_each(|service| service.change(self.hosts.member(host, phase)));
    }
}
