//! The processes of a soak, each in a slot, with hosts and two list services of the same content. Owns which faults were
//! applied to them and when; what clients and hosts saw is checked elsewhere.

mod faults;
mod health;

use super::process_slot::{FaultHistory, ProcessSlots};
use super::SoakSize;
use crate::discovery::Discovery;
use crate::program::{folder, listener, Node};
use crate::simulated::{HostBehavior, Hosts, InvariantChecker};
use crate::syscalls::{Fault, SyscallInjector};
use crate::tiers;
use serde_json::{json, Value};
use std::collections::HashMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// All processes of a soak, with what they talk to.
pub struct ProcessGroup {
    pub checker: InvariantChecker,
    pub fault_history: FaultHistory,
    hosts: Hosts,
    services: [Discovery; 2],
    processes: Vec<ManagedProcess>,
    slots: ProcessSlots,
    seed: u64,
    /// What processes did that they must not.
    failures: Vec<String>,
    /// By what they are at: faults that are on.
    active_faults: HashMap<String, ActiveFaults>,
}

/// The processes of one slot.
struct ManagedProcess {
    node: Option<Node>,
    /// Present where processes of the slot inherit the listener from each other.
    shared: Option<SharedListener>,
    injector: SyscallInjector,
    /// The faults of system calls that are on, also for processes that start meanwhile.
    syscall_faults: Vec<Fault>,
    /// The number of the list service that it uses.
    service: usize,
    /// Processes that were told to stop, until they end.
    stopping: Vec<StoppingProcess>,
}

/// What processes that replace each other share.
struct SharedListener {
    listener: TcpListener,
    folder: PathBuf,
}

struct StoppingProcess {
    node: Node,
    since: Instant,
}

impl StoppingProcess {
    /// Tells a process to stop.
    fn stop(node: Node) -> Self {
        let since = Instant::now();
        node.stop();
        StoppingProcess { node, since }
    }
}

/// Faults of one kind at one place that overlap.
struct ActiveFaults {
    count: u32,
    since: Instant,
}

impl ManagedProcess {
    /// A slot without a process. The processes of every second slot replace each other at a shared listener.
    fn new(slot: usize) -> Self {
        let shared = (slot % 2 == 1).then(|| SharedListener {
            listener: listener(),
            folder: folder(),
        });
        ManagedProcess {
            node: None,
            shared,
            injector: SyscallInjector::default(),
            syscall_faults: Vec::new(),
            service: 0,
            stopping: Vec::new(),
        }
    }
}

impl ProcessGroup {
    /// Starts hosts, list services and a process in each slot.
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
        let mut process_group = ProcessGroup {
            checker,
            fault_history: FaultHistory::default(),
            hosts,
            services,
            processes: (0..size.processes).map(ManagedProcess::new).collect(),
            slots,
            seed,
            failures: Vec::new(),
            active_faults: HashMap::new(),
        };
        (0..size.processes).for_each(|slot| process_group.start_process(slot));
        process_group
    }

    pub fn slots(&self) -> ProcessSlots {
        self.slots.clone()
    }

    /// How many system calls were made faulty in the processes that run now.
    pub fn faulty_syscalls(&self) -> u64 {
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
        node_config["settings"]["balancers"] = json!(self.processes.len());
        node_config["settings"]["index"] = json!(slot);
        node_config["ops"] = json!("127.0.0.1:0");
        if let Some(address) = self.slots[slot].lock().unwrap().address {
            node_config["listen"] = json!(address.to_string());
        }
        node_config
    }

    /// Starts a process in this slot.
    fn start_process(&mut self, slot: usize) {
        let node_config = self.node_config(slot);
        let process = &mut self.processes[slot];
        let injector = SyscallInjector::default();
        let node = match &process.shared {
            Some(SharedListener { listener, folder }) => {
                Node::start_injected_at(&node_config, listener, folder, &injector)
            }
            None => Node::start_injected(&node_config, &injector),
        };
        {
            let mut slot = self.slots[slot].lock().unwrap();
            slot.address = Some(node.address);
            slot.closed = None;
            slot.started.push(Instant::now());
        }
        injector.set(&process.syscall_faults);
        process.node = Some(node);
        process.injector = injector;
    }

    /// Ends all faults; every slot has its process then.
    pub fn clear_all_faults(&mut self) {
        for slot in 0..self.processes.len() {
            self.processes[slot].syscall_faults.clear();
            self.processes[slot].injector.clear();
            self.end_suspension(slot);
            self.end_stop(slot);
        }
        for host in 0..self.hosts.addresses.len() {
            self.hosts.go(host, HostBehavior::Accepts);
            self.end_drain(host);
        }
        for service in &self.services {
            service.come_up();
            service.turn_away(0);
        }
    }

    /// Stops all processes, and returns what any of them did that it must not.
    pub fn stop_all(&mut self) -> Vec<String> {
        for process in &mut self.processes {
            if let Some(node) = process.node.take() {
                process.stopping.push(StoppingProcess::stop(node));
            }
        }
        (0..self.processes.len()).for_each(|slot| self.wait_for_stopped(slot));
        std::mem::take(&mut self.failures)
    }
}
