//! The processes of a soak, each in a slot, together with their hosts and two list services that hold the same list.
//! Applies faults to them and records when each was active. What clients and hosts observe is checked by the soak
//! checker.

mod faults;
mod health;
mod restarts;

use super::process_slot::{FaultHistory, ProcessRun, ProcessSlots};
use super::profile::SoakProfile;
use super::restarts::Crowd;
use super::SoakSize;
use crate::discovery::{Discovery, DiscoveryHistory};
use crate::program::{folder, listener, Node};
use crate::simulated::{HostBehavior, Hosts, InvariantChecker};
use crate::syscalls::{Fault, SyscallInjector};
use crate::two_tier_cluster;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use restarts::EndedProcess;

/// The latency objective of a class, in milliseconds, unless its deadline is shorter.
const LATENCY_OBJECTIVE_MILLIS: u64 = 500;

/// All processes of a soak, with the hosts and list services that they use.
pub struct ProcessGroup {
    pub checker: InvariantChecker,
    pub fault_history: FaultHistory,
    hosts: Hosts,
    services: [Discovery; 2],
    processes: Vec<ManagedProcess>,
    slots: ProcessSlots,
    seed: u64,
    profile: SoakProfile,
    /// Descriptions of what processes did against the rules, one per entry.
    failures: Vec<String>,
    /// The log lines of the processes of each slot, with the time at which each was read.
    logs: Vec<Vec<(Instant, String)>>,
    /// The number of processes started so far. The latest one's number identifies it to the list services.
    started: u64,
    /// How long after SIGTERM each process was killed that had not ended by itself.
    kill_times: Vec<Duration>,
    /// The number of processes that exited successfully before they were to be killed.
    ended_in_order: u64,
}

/// The processes of one slot.
struct ManagedProcess {
    running: Option<RunningProcess>,
    /// Present if the processes of the slot inherit the listener from each other.
    shared: Option<SharedListener>,
    injector: SyscallInjector,
    /// The faults of system calls that are active. They also apply to processes that start meanwhile.
    syscall_faults: Vec<Fault>,
    /// The index of the list service that the process uses.
    service: usize,
    /// Processes that were told to stop and have not been waited for.
    stopping: Vec<StoppingProcess>,
    /// Threads that kill processes at the earliest permitted moment after they were told to stop.
    kill_threads: Vec<JoinHandle<EndedProcess>>,
    /// Idle clients that use up the descriptors of the process.
    crowd: Option<Crowd>,
}

/// The listener that processes inherit from each other, and the folder for their hot restarts.
struct SharedListener {
    listener: TcpListener,
    folder: PathBuf,
}

/// A process, with what was recorded when it started.
struct RunningProcess {
    node: Node,
    /// When the process had logged that it started.
    ready_at: Instant,
    /// The index of the process among the runs of its slot.
    run: usize,
    /// The address of each list service that is reserved for this process.
    addresses: [SocketAddr; 2],
}

impl RunningProcess {
    /// Tells the process to stop.
    fn stop(self) -> StoppingProcess {
        let since = Instant::now();
        self.node.stop();
        StoppingProcess {
            process: self,
            since,
        }
    }
}

struct StoppingProcess {
    process: RunningProcess,
    since: Instant,
}

impl ManagedProcess {
    /// Creates a slot without a process. In odd slots, processes replace each other at a shared listener.
    fn new(slot: usize) -> Self {
        let shared = (slot % 2 == 1).then(|| SharedListener {
            listener: listener(),
            folder: folder(),
        });
        ManagedProcess {
            running: None,
            shared,
            injector: SyscallInjector::default(),
            syscall_faults: Vec::new(),
            service: 0,
            stopping: Vec::new(),
            kill_threads: Vec::new(),
            crowd: None,
        }
    }
}

impl ProcessGroup {
    /// Starts hosts, list services and a process in each slot.
    pub fn start(seed: u64, size: &SoakSize, profile: SoakProfile) -> ProcessGroup {
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
            profile,
            failures: Vec::new(),
            logs: vec![Vec::new(); size.processes],
            started: 0,
            kill_times: Vec::new(),
            ended_in_order: 0,
        };
        (0..size.processes).for_each(|slot| process_group.start_process(slot));
        process_group
    }

    pub fn slots(&self) -> ProcessSlots {
        self.slots.clone()
    }

    /// Returns the number of faults injected into system calls, for the latest process of each slot.
    pub fn faulty_syscalls(&self) -> u64 {
        self.processes
            .iter()
            .map(|process| process.injector.injected())
            .sum()
    }

    /// Returns the node config of a process in this slot that uses the list service at the address `service`.
    fn node_config(&self, slot: usize, service: SocketAddr) -> Value {
        let mut node_config = two_tier_cluster::node_config(
            &format!("n{slot}"),
            &self.hosts,
            &self.services[0],
            self.seed + slot as u64,
        );
        node_config["discovery"] = json!(service.to_string());
        let sockets = self.profile.sockets;
        node_config["limits"] = json!({"cores": 1.0, "memory_mb": 128, "sockets": sockets});
        for (class, deadline) in self.profile.deadlines.iter().enumerate() {
            let millis = deadline.as_millis() as u64;
            let offering = &mut node_config["settings"]["offerings"][class];
            offering["expiry"] = json!(millis);
            offering["contract_time"] = json!(millis.min(LATENCY_OBJECTIVE_MILLIS));
        }
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
        self.started += 1;
        let caller = self.started;
        let addresses = [0, 1].map(|service: usize| self.services[service].listen_for(caller));
        let service = self.processes[slot].service;
        let node_config = self.node_config(slot, addresses[service]);
        let process = &mut self.processes[slot];
        let injector = SyscallInjector::default();
        let started = Instant::now();
        let node = match &process.shared {
            Some(SharedListener { listener, folder }) => {
                Node::start_injected_at(&node_config, listener, folder, &injector)
            }
            None => Node::start_injected(&node_config, &injector),
        };
        let run = {
            let mut slot = self.slots[slot].lock().unwrap();
            slot.address = Some(node.address);
            slot.closed = None;
            slot.runs.push(ProcessRun::new(caller, service, started));
            slot.runs.len() - 1
        };
        injector.set(&process.syscall_faults);
        process.injector = injector;
        process.running = Some(RunningProcess {
            node,
            ready_at: Instant::now(),
            run,
            addresses,
        });
    }

    /// Returns the histories of the two list services.
    pub fn discovery_history(&self) -> [DiscoveryHistory; 2] {
        [0, 1].map(|service: usize| self.services[service].history())
    }

    /// Returns the log lines of the processes of a slot that were read so far.
    pub fn log(&self, slot: usize) -> &[(Instant, String)] {
        &self.logs[slot]
    }

    /// Ends all faults. Every slot has a running process afterwards.
    pub fn clear_all_faults(&mut self) {
        for slot in 0..self.processes.len() {
            self.processes[slot].syscall_faults.clear();
            self.processes[slot].injector.clear();
            self.end_suspension(slot);
            self.end_stop(slot);
        }
        for host in 0..self.hosts.addresses.len() {
            self.hosts.set_behavior(host, HostBehavior::Accepts);
            self.end_drain(host);
        }
        for service in &self.services {
            service.come_up();
            service.reject_of_ten(0);
        }
    }

    /// Stops all processes. Returns what processes did against the rules since the start.
    pub fn stop_all(&mut self) -> Vec<String> {
        for process in &mut self.processes {
            if let Some(running) = process.running.take() {
                process.stopping.push(running.stop());
            }
        }
        (0..self.processes.len()).for_each(|slot| self.wait_for_stopped(slot));
        std::mem::take(&mut self.failures)
    }
}
