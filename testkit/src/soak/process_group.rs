//! The processes of a soak, each in a slot, with hosts and two list services of the same content. Owns which faults were
//! applied to them and when; what clients and hosts saw is checked elsewhere.

use super::soak_faults::{FaultTransition, SoakFault, SyscallFaultFamily};
use super::SoakSize;
use crate::discovery::Discovery;
use crate::peers::Peer;
use crate::program::{folder, listener, Node};
use crate::simulated::{HostBehavior, Hosts, InvariantChecker};
use crate::syscalls::{Fault, SyscallInjector};
use crate::tiers;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long a process that is told to stop may take, by the longest deadline.
const STOPS_WITHIN: Duration = Duration::from_millis(2700 + 600);
/// Rules that a process may count as broken as it stood still, and how soon after that it has said so.
const LATE_BY_STANDING_STILL: [&str; 2] = ["answered_late", "attempted_late"];
const SEEN_AFTER: Duration = Duration::from_millis(1000);
/// Lines of the log that are shown of a process that does not serve, or that ended unasked.
const LAST_LINES: usize = 30;
/// How long after a stop the front still deals out clients.
const STILL_DEALT: Duration = Duration::from_millis(300);

/// What clients have to know of a slot, and the checker of its past.
#[derive(Debug, Default)]
pub struct ProcessSlot {
    pub address: Option<SocketAddr>,
    /// From when on the front deals no clients to it.
    pub closed: Option<Instant>,
    /// When processes of it were started, and ended outright.
    pub started: Vec<Instant>,
    pub killed: Vec<Instant>,
    /// When it stood still, had its calls made faulty, or was led to another service.
    pub pauses: Vec<(Instant, Instant)>,
    pub spoilt: Vec<(Instant, Instant)>,
    pub reloaded: Vec<Instant>,
}

pub type ProcessSlots = Arc<Vec<Mutex<ProcessSlot>>>;

/// What was done to hosts and list services.
#[derive(Debug, Default)]
pub struct FaultHistory {
    /// By host: when it was told to drain, and when that was taken back.
    pub drains: HashMap<usize, Vec<(Instant, Option<Instant>)>>,
    pub service: Vec<(Instant, Instant)>,
}

struct Process {
    node: Option<Node>,
    /// Held here where processes of the slot follow each other.
    shared: Option<(TcpListener, PathBuf)>,
    injector: SyscallInjector,
    /// What is wrong with the machine's system calls now, for the processes that start meanwhile too.
    faults: Vec<Fault>,
    service: usize,
    /// Processes that were told to stop, and when, until they end.
    stopping: Vec<(Node, Instant)>,
}

pub struct ProcessGroup {
    pub checker: InvariantChecker,
    pub fault_history: FaultHistory,
    hosts: Hosts,
    services: [Discovery; 2],
    processes: Vec<Process>,
    slots: ProcessSlots,
    seed: u64,
    /// What was seen to go wrong with processes.
    wrong: Vec<String>,
    /// Troubles that last, counted by what they are at.
    lasting: HashMap<String, (u32, Instant)>,
}

impl ProcessGroup {
    pub fn start(seed: u64, size: &SoakSize) -> ProcessGroup {
        let checker = InvariantChecker::default();
        let hosts = Hosts::start(size.hosts, &checker);
        let services = [Discovery::start(), Discovery::start()];
        for host in 0..size.hosts {
            services
                .iter()
                .for_each(|service| service.change(hosts.member(host, "active")));
        }
        let slots: ProcessSlots = Arc::new((0..size.processes).map(|_| Mutex::default()).collect());
        let processes = (0..size.processes)
            .map(|slot| Process {
                node: None,
                shared: (slot % 2 == 1).then(|| (listener(), folder())),
                injector: SyscallInjector::default(),
                faults: Vec::new(),
                service: 0,
                stopping: Vec::new(),
            })
            .collect();
        let mut process_group = ProcessGroup {
            checker,
            fault_history: FaultHistory::default(),
            hosts,
            services,
            processes,
            slots,
            seed,
            wrong: Vec::new(),
            lasting: HashMap::new(),
        };
        (0..size.processes).for_each(|slot| process_group.open(slot));
        process_group
    }

    pub fn slots(&self) -> ProcessSlots {
        self.slots.clone()
    }

    pub fn spoilt(&self) -> u64 {
        self.processes
            .iter()
            .map(|process| process.injector.spoilt())
            .sum()
    }

    fn node_config(&self, slot: usize) -> Value {
        let service = &self.services[self.processes[slot].service];
        let mut node_config = tiers::node_config(
            &format!("n{slot}"),
            &self.hosts,
            service,
            self.seed + slot as u64,
        );
        node_config["limits"] = json!({"cores": 1.0, "memory_mb": 128, "sockets": 512});
        (
            node_config["settings"]["balancers"],
            node_config["settings"]["index"],
        ) = (json!(self.processes.len()), json!(slot));
        node_config["ops"] = json!("127.0.0.1:0");
        if let Some(address) = self.slots[slot].lock().unwrap().address {
            node_config["listen"] = json!(address.to_string());
        }
        node_config
    }

    /// Starts a process in this slot.
    fn open(&mut self, slot: usize) {
        let node_config = self.node_config(slot);
        let injector = SyscallInjector::default();
        let node = match &self.processes[slot].shared {
            Some((listener, folder)) => {
                Node::start_injected_at(&node_config, listener, folder, &injector)
            }
            None => Node::start_injected(&node_config, &injector),
        };
        let mut noted = self.slots[slot].lock().unwrap();
        (noted.address, noted.closed) = (Some(node.address), None);
        noted.started.push(Instant::now());
        drop(noted);
        let process = &mut self.processes[slot];
        injector.set(&process.faults);
        (process.node, process.injector) = (Some(node), injector);
    }

    /// Begins or ends a fault.
    pub fn apply(&mut self, transition: FaultTransition) {
        let FaultTransition { begins, fault, .. } = transition;
        self.look_for_ended();
        if std::env::var_os("SOAK_VERBOSE").is_some() {
            eprintln!("{} {fault:?}", if begins { "begin" } else { "end" });
        }
        match fault {
            SoakFault::Stop(slot) => self.stop(slot, begins),
            SoakFault::Replace(slot) if begins => self.replace(slot),
            SoakFault::Replace(_) => {}
            SoakFault::ReplaceSpoilt(slot) => {
                self.spoil(slot, begins, SyscallFaultFamily::Channel);
                if begins {
                    self.replace(slot);
                }
            }
            SoakFault::Kill(slot) => self.kill(slot, begins),
            SoakFault::Reload(slot) => self.reload(slot),
            SoakFault::StandStill(slot) => self.suspend(slot, begins),
            SoakFault::StepClock(slot, seconds) if begins => {
                self.processes[slot].injector.step_clock(seconds);
            }
            SoakFault::StepClock(..) => {}
            SoakFault::Calls(slot, family) => self.spoil(slot, begins, family),
            SoakFault::Host(host, behavior) => self.hosts.go(
                host,
                if begins {
                    behavior
                } else {
                    HostBehavior::Accepts
                },
            ),
            SoakFault::Drain(host) => self.drain(host, begins),
            SoakFault::ServiceDown => {
                for service in &self.services {
                    if begins {
                        service.go_down();
                    } else {
                        service.come_up();
                    }
                }
                self.service_lasts("down", begins);
            }
            SoakFault::ServiceSilent => {
                if begins {
                    self.services.iter().for_each(Discovery::fall_silent);
                }
                self.service_lasts("silent", begins);
            }
            SoakFault::ServiceRefuses => {
                self.services
                    .iter()
                    .for_each(|service| service.turn_away(if begins { 7 } else { 0 }));
                self.service_lasts("refuses", begins);
            }
        }
    }

    /// Has system calls of the processes in this slot fail, or no longer.
    fn spoil(&mut self, slot: usize, begins: bool, family: SyscallFaultFamily) {
        let process = &mut self.processes[slot];
        process.faults = if begins { family.faults() } else { Vec::new() };
        process.injector.set(&process.faults);
        self.lasts(format!("calls {slot}"), begins, |process_group, span| {
            process_group.slots[slot].lock().unwrap().spoilt.push(span);
        });
    }

    /// Notes a fault once it is over: several of a kind may overlap.
    fn lasts(
        &mut self,
        what: String,
        begins: bool,
        note: impl FnOnce(&mut ProcessGroup, (Instant, Instant)),
    ) {
        let now = Instant::now();
        let (count, since) = self.lasting.entry(what).or_insert((0, now));
        if begins {
            if *count == 0 {
                *since = now;
            }
            *count += 1;
            return;
        }
        *count = count.saturating_sub(1);
        let span = (*since, now);
        note(self, span);
    }

    fn service_lasts(&mut self, what: &str, begins: bool) {
        self.lasts(format!("service {what}"), begins, |process_group, span| {
            process_group.fault_history.service.push(span);
        });
    }

    fn stop(&mut self, slot: usize, begins: bool) {
        if begins {
            let Some(node) = self.processes[slot].node.take() else {
                return;
            };
            let now = Instant::now();
            self.unsuspend(slot, &node);
            self.slots[slot].lock().unwrap().closed = Some(now + STILL_DEALT);
            node.stop();
            self.processes[slot].stopping.push((node, now));
            return;
        }
        self.wait_for_stopped(slot);
        if self.processes[slot].node.is_none() {
            self.open(slot);
        }
    }

    /// Waits until all processes of a slot that were told to stop have ended.
    fn wait_for_stopped(&mut self, slot: usize) {
        for (mut node, since) in std::mem::take(&mut self.processes[slot].stopping) {
            while node.runs() && since.elapsed() < STOPS_WITHIN {
                thread::sleep(Duration::from_millis(5));
            }
            if node.runs() {
                self.wrong.push(format!(
                    "seat {slot}: still runs {:?} after it was told to stop",
                    since.elapsed()
                ));
            } else if !node.wait().success() {
                self.wrong
                    .push(format!("seat {slot}: ended with {}", node.wait()));
            }
            self.look_at_log(slot, &node);
        }
    }

    /// Whether a process says with this line that it broke a rule because it stood still: a call to send began in time by the
    /// clock that was read before it, and was made when the process went on.
    fn is_late_by_standing_still(&self, slot: usize, at: Instant, line: &str) -> bool {
        let late = LATE_BY_STANDING_STILL
            .iter()
            .any(|rule| line.contains(rule));
        let spans = &self.slots[slot].lock().unwrap().pauses;
        late && spans
            .iter()
            .any(|(from, to)| *from <= at && at <= *to + SEEN_AFTER)
    }

    /// A process that ended ill, or broke a rule, leaves that in its log. Gives the lines that are excused.
    fn look_at_log(&mut self, slot: usize, node: &Node) -> Vec<String> {
        let mut excused = Vec::new();
        for (at, line) in node.drain_log_timed() {
            if !line.contains("panicked") && !line.contains("rule violated") {
                continue;
            }
            if self.is_late_by_standing_still(slot, at, &line) {
                excused.push(line);
            } else {
                self.wrong.push(format!("seat {slot}: {line}"));
            }
        }
        excused
    }

    /// Another process takes the place of the one in this slot.
    fn replace(&mut self, slot: usize) {
        if self.processes[slot].shared.is_none() || self.processes[slot].node.is_none() {
            return;
        }
        let Some(mut before) = self.processes[slot].node.take() else {
            return;
        };
        self.unsuspend(slot, &before);
        self.open(slot);
        if self.ended_unasked(slot, &mut before) {
            return;
        }
        before.stop();
        self.processes[slot].stopping.push((before, Instant::now()));
    }

    /// Starts a process anew in each slot in which one has ended unasked.
    fn look_for_ended(&mut self) {
        for slot in 0..self.processes.len() {
            let Some(mut node) = self.processes[slot].node.take() else {
                continue;
            };
            if self.ended_unasked(slot, &mut node) {
                self.open(slot);
            } else {
                self.processes[slot].node = Some(node);
            }
        }
    }

    /// Whether a process that nobody told to stop has ended, which is wrong.
    fn ended_unasked(&mut self, slot: usize, node: &mut Node) -> bool {
        if node.runs() {
            return false;
        }
        let log = node.drain_log();
        let end = &log[log.len().saturating_sub(LAST_LINES)..];
        self.wrong.push(format!(
            "seat {slot}: ended unasked with {}: {end:#?}",
            node.wait()
        ));
        true
    }

    fn kill(&mut self, slot: usize, begins: bool) {
        if begins {
            let Some(mut node) = self.processes[slot].node.take() else {
                return;
            };
            let mut noted = self.slots[slot].lock().unwrap();
            (noted.closed, _) = (Some(Instant::now()), noted.killed.push(Instant::now()));
            drop(noted);
            node.kill();
            self.look_at_log(slot, &node);
        } else if self.processes[slot].node.is_none() {
            self.wait_for_stopped(slot);
            self.open(slot);
        }
    }

    fn reload(&mut self, slot: usize) {
        self.processes[slot].service = 1 - self.processes[slot].service;
        let node_config = self.node_config(slot).to_string();
        if let Some(node) = &self.processes[slot].node {
            node.reload(&node_config);
            self.slots[slot]
                .lock()
                .unwrap()
                .reloaded
                .push(Instant::now());
        }
    }

    fn unsuspend(&self, slot: usize, node: &Node) {
        node.unsuspend();
        if let Some(last) = self.slots[slot].lock().unwrap().pauses.last_mut() {
            last.1 = last.1.min(Instant::now());
        }
    }

    fn suspend(&mut self, slot: usize, begins: bool) {
        let Some(node) = &self.processes[slot].node else {
            return;
        };
        if begins {
            node.suspend();
            let (now, far) = (Instant::now(), Instant::now() + Duration::from_secs(3600));
            self.slots[slot].lock().unwrap().pauses.push((now, far));
        } else {
            self.unsuspend(slot, node);
        }
    }

    fn drain(&mut self, host: usize, begins: bool) {
        let drains = self.fault_history.drains.entry(host).or_default();
        let open = drains.iter().any(|(_, back)| back.is_none());
        match (begins, open) {
            (true, false) => drains.push((Instant::now(), None)),
            (false, true) => drains
                .iter_mut()
                .for_each(|one| _ = one.1.get_or_insert(Instant::now())),
            _ => return,
        }
        let phase = if begins { "leaving" } else { "active" };
        self.services
            .iter()
            .for_each(|service| service.change(self.hosts.member(host, phase)));
    }

    /// All faults are over; every slot has its process.
    pub fn clear_all_faults(&mut self) {
        for slot in 0..self.processes.len() {
            self.processes[slot].faults.clear();
            self.processes[slot].injector.clear();
            self.suspend(slot, false);
            self.stop(slot, false);
        }
        for host in 0..self.hosts.addresses.len() {
            self.hosts.go(host, HostBehavior::Accepts);
            self.drain(host, false);
        }
        for service in &self.services {
            service.come_up();
            service.turn_away(0);
        }
    }

    /// Which processes don't serve again in time.
    pub fn recovery_failures(&mut self, within: Duration) -> Vec<String> {
        let from = Instant::now();
        let answer = |slot: usize, tries: usize| {
            let Some(node) = &self.processes[slot].node else {
                return "no process".to_string();
            };
            let mut client = Peer::connect(node.address);
            client.say(&format!("OPEN r{slot}-{tries} 7f c=free,t=acme,d=1000"));
            client.hear()
        };
        let mut late = Vec::new();
        for slot in 0..self.processes.len() {
            let mut tries = 0;
            loop {
                let received = answer(slot, tries);
                if received.starts_with("UP") {
                    break;
                }
                tries += 1;
                if from.elapsed() > within {
                    let node = self.processes[slot].node.as_ref();
                    let log = node.map_or(Vec::new(), Node::drain_log);
                    let last = log[log.len().saturating_sub(LAST_LINES)..].join("\n    ");
                    late.push(format!(
                        "seat {slot}: does not serve {within:?} after all troubles are over, but says {received} at try {tries}\n    {last}"
                    ));
                    break;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        late
    }

    /// What the processes themselves count as broken, beyond what their logs excuse.
    pub fn violations(&mut self) -> Vec<String> {
        let mut found = Vec::new();
        for slot in 0..self.processes.len() {
            let Some(node) = self.processes[slot].node.take() else {
                continue;
            };
            let excused = self.look_at_log(slot, &node);
            let (_, text) = node.call("GET /status/metrics");
            let counted = text.lines().filter(|line| is_beyond(line, &excused));
            found.extend(counted.map(|line| format!("seat {slot}: {line}")));
            self.processes[slot].node = Some(node);
        }
        found
    }

    /// Stops all processes, and tells what went wrong with any.
    pub fn stop_all(&mut self) -> Vec<String> {
        let now = Instant::now();
        for process in &mut self.processes {
            if let Some(node) = process.node.take() {
                node.stop();
                process.stopping.push((node, now));
            }
        }
        (0..self.processes.len()).for_each(|slot| self.wait_for_stopped(slot));
        std::mem::take(&mut self.wrong)
    }
}

/// Whether a line of a process's figures counts a rule as broken more often than so many lines of its log excuse.
fn is_beyond(figure: &str, excused: &[String]) -> bool {
    let Some((rule, count)) = figure
        .strip_prefix("app.violations.")
        .and_then(|rest| rest.split_once(':'))
    else {
        return false;
    };
    let count = count.trim_end_matches("|c").parse().unwrap_or(usize::MAX);
    count > excused.iter().filter(|line| line.contains(rule)).count()
}
