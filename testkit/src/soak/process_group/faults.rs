//! How each fault of a soak begins and ends, and when it was on.

use super::super::process_slot::{Drain, FaultSpan};
use super::super::soak_faults::{FaultTransition, SoakFault, SyscallFaultFamily};
use super::{ActiveFaults, ProcessGroup, StoppingProcess};
use crate::discovery::Discovery;
use crate::program::Node;
use crate::simulated::HostBehavior;
use std::time::{Duration, Instant};

/// How long after a stop the front still sends clients.
const FRONT_NOTICE_DELAY: Duration = Duration::from_millis(300);
/// Of ten calls so many are rejected by list services under [`SoakFault::ServiceRefuses`].
const REJECTED_OF_TEN: usize = 7;
/// The end of a suspension that has not ended yet: later than any soak.
const FAR_FUTURE: Duration = Duration::from_secs(3600);

impl ProcessGroup {
    /// Begins or ends a fault.
    pub fn apply(&mut self, transition: FaultTransition) {
        self.restart_ended();
        let FaultTransition { begins, fault, .. } = transition;
        if std::env::var_os("SOAK_VERBOSE").is_some() {
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
            SoakFault::ReplaceSpoilt(slot) => {
                self.begin_syscall_faults(slot, SyscallFaultFamily::Channel);
                self.replace(slot);
            }
            SoakFault::Kill(slot) => self.kill(slot),
            SoakFault::Reload(slot) => self.reload(slot),
            SoakFault::StandStill(slot) => self.begin_suspension(slot),
            SoakFault::StepClock(slot, seconds) => {
                self.processes[slot].injector.step_clock(seconds);
            }
            SoakFault::Calls(slot, family) => self.begin_syscall_faults(slot, family),
            SoakFault::Host(host, behavior) => self.hosts.go(host, behavior),
            SoakFault::Drain(host) => self.begin_drain(host),
            SoakFault::ServiceDown => {
                self.services.iter().for_each(Discovery::go_down);
                self.note_begin("service down".into());
            }
            SoakFault::ServiceSilent => {
                self.services.iter().for_each(Discovery::fall_silent);
                self.note_begin("service silent".into());
            }
            SoakFault::ServiceRefuses => {
                self.services
                    .iter()
                    .for_each(|service| service.turn_away(REJECTED_OF_TEN));
                self.note_begin("service refuses".into());
            }
        }
    }

    fn end(&mut self, fault: &SoakFault) {
        match *fault {
            SoakFault::Stop(slot) => self.end_stop(slot),
            SoakFault::Replace(_) | SoakFault::StepClock(..) => {}
            SoakFault::ReplaceSpoilt(slot) | SoakFault::Calls(slot, _) => {
                self.end_syscall_faults(slot);
            }
            SoakFault::Kill(slot) => self.end_kill(slot),
            // The other list service takes its turn.
            SoakFault::Reload(slot) => self.reload(slot),
            SoakFault::StandStill(slot) => self.end_suspension(slot),
            SoakFault::Host(host, _) => self.hosts.go(host, HostBehavior::Accepts),
            SoakFault::Drain(host) => self.end_drain(host),
            SoakFault::ServiceDown => {
                self.services.iter().for_each(Discovery::come_up);
                self.note_service_fault("service down");
            }
            SoakFault::ServiceSilent => self.note_service_fault("service silent"),
            SoakFault::ServiceRefuses => {
                self.services
                    .iter()
                    .for_each(|service| service.turn_away(0));
                self.note_service_fault("service refuses");
            }
        }
    }

    /// Notes that a fault is on: several of a kind may overlap.
    fn note_begin(&mut self, kind: String) {
        let now = Instant::now();
        let active = self.active_faults.entry(kind).or_insert(ActiveFaults {
            count: 0,
            since: now,
        });
        if active.count == 0 {
            active.since = now;
        }
        active.count += 1;
    }

    /// Notes that a fault is over, and returns since when faults of its kind have been on.
    fn note_end(&mut self, kind: String) -> FaultSpan {
        let now = Instant::now();
        let active = self.active_faults.entry(kind).or_insert(ActiveFaults {
            count: 0,
            since: now,
        });
        active.count = active.count.saturating_sub(1);
        FaultSpan {
            from: active.since,
            to: now,
        }
    }

    fn note_service_fault(&mut self, kind: &str) {
        let span = self.note_end(kind.into());
        self.fault_history.service_faults.push(span);
    }

    fn begin_syscall_faults(&mut self, slot: usize, family: SyscallFaultFamily) {
        let process = &mut self.processes[slot];
        process.syscall_faults = family.faults();
        process.injector.set(&process.syscall_faults);
        self.note_begin(format!("calls {slot}"));
    }

    fn end_syscall_faults(&mut self, slot: usize) {
        let process = &mut self.processes[slot];
        process.syscall_faults.clear();
        process.injector.set(&process.syscall_faults);
        let span = self.note_end(format!("calls {slot}"));
        self.slots[slot].lock().unwrap().syscall_faults.push(span);
    }

    /// Tells the process of a slot to stop; the front still sends clients for a while.
    fn begin_stop(&mut self, slot: usize) {
        let Some(node) = self.processes[slot].node.take() else {
            return;
        };
        self.continue_process(slot, &node);
        self.slots[slot].lock().unwrap().closed = Some(Instant::now() + FRONT_NOTICE_DELAY);
        self.processes[slot]
            .stopping
            .push(StoppingProcess::stop(node));
    }

    /// Starts a process again once those that were told to stop have ended.
    pub(super) fn end_stop(&mut self, slot: usize) {
        self.wait_for_stopped(slot);
        if self.processes[slot].node.is_none() {
            self.start_process(slot);
        }
    }

    /// Has another process take over from the one in this slot.
    fn replace(&mut self, slot: usize) {
        if self.processes[slot].shared.is_none() {
            return;
        }
        let Some(mut predecessor) = self.processes[slot].node.take() else {
            return;
        };
        self.continue_process(slot, &predecessor);
        self.start_process(slot);
        if !self.ended_unexpectedly(slot, &mut predecessor) {
            self.processes[slot]
                .stopping
                .push(StoppingProcess::stop(predecessor));
        }
    }

    fn kill(&mut self, slot: usize) {
        let Some(mut node) = self.processes[slot].node.take() else {
            return;
        };
        {
            let mut slot = self.slots[slot].lock().unwrap();
            slot.closed = Some(Instant::now());
            slot.killed.push(Instant::now());
        }
        node.kill();
        self.check_log(slot, &node);
    }

    fn end_kill(&mut self, slot: usize) {
        if self.processes[slot].node.is_none() {
            self.wait_for_stopped(slot);
            self.start_process(slot);
        }
    }

    /// Has the process of a slot use the other list service.
    fn reload(&mut self, slot: usize) {
        self.processes[slot].service = 1 - self.processes[slot].service;
        let node_config = self.node_config(slot).to_string();
        if let Some(node) = &self.processes[slot].node {
            node.reload(&node_config);
            let mut slot = self.slots[slot].lock().unwrap();
            slot.reloaded.push(Instant::now());
        }
    }

    fn begin_suspension(&mut self, slot: usize) {
        let Some(node) = &self.processes[slot].node else {
            return;
        };
        node.suspend();
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
        if let Some(node) = &self.processes[slot].node {
            self.continue_process(slot, node);
        }
    }

    fn continue_process(&self, slot: usize, node: &Node) {
        node.unsuspend();
        if let Some(last) = self.slots[slot].lock().unwrap().suspensions.last_mut() {
            last.to = last.to.min(Instant::now());
        }
    }

    fn begin_drain(&mut self, host: usize) {
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
