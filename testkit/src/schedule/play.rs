//! Plays a schedule against processes: begins and ends each fault at its time, then checks that the fleet recovered and
//! that no rule was violated.

use super::{FaultSchedule, PlannedFault, ScheduledFault};
use crate::fleet::{Fleet, FleetOptions, ReturningClients, WarmingHosts};
use crate::fleet_view::FleetView;
use crate::network::{FaultyNetwork, LinkFaults};
use crate::Discovery;
use serde_json::Value;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// The period of the membership protocol.
const PERIOD: Duration = Duration::from_millis(100);
const CLIENTS_PER_NODE: usize = 6;
/// The time within which the clients start.
const CLIENT_SPREAD: Duration = Duration::from_millis(500);
const HOSTS: usize = 5;
/// The number of further hosts, which start cold when the schedule begins.
const COLD_HOSTS: usize = 2;
/// The revision of the endpoint list before the cold hosts are added.
const FIRST_REVISION: u64 = HOSTS as u64;
/// The revision of the endpoint list with the cold hosts.
const FULL_REVISION: u64 = FIRST_REVISION + COLD_HOSTS as u64;
/// The revision of the older list that [`ScheduledFault::Older`] restores, which is also the number of its hosts.
const OLDER_REVISION: u64 = 3;
/// How long the front takes to notice that a node was killed, and how long the announcement of a drain may take to
/// reach the nodes.
const NOTICE_DELAY: Duration = Duration::from_millis(300);
/// The number of periods within which the views must agree, at the start and after the last fault.
const PERIODS_TO_AGREE: u32 = 40;
/// The time after the last fault within which all clients must have a connection again.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(12);
/// How many calls the list service answers per second while it is sluggish.
const SLUGGISH_RATE: f64 = 5.0;
/// How long calls wait at the list service while it is sluggish.
const SLUGGISH_QUEUE: Duration = Duration::from_secs(1);
/// The length of a cycle in which a slow node is suspended and then runs.
const SLOW_CYCLE_MILLIS: u64 = 100;
/// How long a slow node is suspended, from the start of each cycle.
const SLOW_SUSPENDED_MILLIS: u64 = 90;

/// Plays a schedule against processes and returns the violations. `program` names another build of the program; with
/// `None` the current one runs.
pub fn play(schedule: &FaultSchedule, program: Option<&PathBuf>) -> Vec<String> {
    let mut playback = Playback::start(schedule, program);
    let clients = CLIENTS_PER_NODE * schedule.nodes;
    let mut returning_clients = ReturningClients::start(
        clients,
        &playback.fleet.front,
        CLIENT_SPREAD,
        None,
        schedule.seed,
    );
    let mut violations = Vec::new();
    if !playback.views_agree_in_time() {
        violations.push("the views of the members did not agree at the start".into());
    }
    let start = Instant::now();
    playback.start_cold_hosts();
    for transition in schedule.transitions() {
        let at = start + Duration::from_millis(transition.at_millis);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        playback.apply(&transition);
    }
    let ended = Instant::now();
    playback.restart_superseded();
    if !playback.views_agree_in_time() {
        violations.push(format!(
            "the views of the members do not agree: {:?}",
            playback.fleet.views()
        ));
    }
    violations.extend(wait_for_clients(&returning_clients, clients, ended));
    returning_clients.stop();
    violations.extend(playback.hosts.violations(NOTICE_DELAY));
    violations.extend(playback.fleet.violations(&returning_clients));
    violations
}

/// Waits until all clients have a connection. Returns a violation if that takes longer than [`RECONNECT_TIMEOUT`] after
/// `ended`, the end of the last fault.
fn wait_for_clients(
    returning_clients: &ReturningClients,
    clients: usize,
    ended: Instant,
) -> Option<String> {
    while returning_clients.connected() < clients {
        if ended.elapsed() > RECONNECT_TIMEOUT {
            let connected = returning_clients.connected();
            return Some(format!("{connected} of {clients} clients are connected"));
        }
        thread::sleep(Duration::from_millis(20));
    }
    None
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Begin,
    End,
}

/// The begin or end of a fault, with its time.
struct Transition {
    /// When the step happens, in milliseconds from the start of the schedule.
    at_millis: u64,
    /// The index of the fault in the schedule.
    fault: usize,
    step: Step,
}

impl FaultSchedule {
    /// Returns the transitions of all faults in the order of their times.
    fn transitions(&self) -> Vec<Transition> {
        let mut transitions: Vec<Transition> = self
            .faults
            .iter()
            .enumerate()
            .flat_map(|(number, planned)| planned.transitions(number))
            .collect();
        transitions.sort_by_key(|transition| (transition.at_millis, transition.fault));
        transitions
    }
}

impl PlannedFault {
    /// Returns the transitions of this fault; a slow node has several pairs of them.
    fn transitions(&self, fault: usize) -> Vec<Transition> {
        let end_millis = self.start_millis + self.duration_millis;
        let from_to = |from: u64, to: u64| {
            [(from, Step::Begin), (to, Step::End)].map(|(at_millis, step)| Transition {
                at_millis,
                fault,
                step,
            })
        };
        match self.fault {
            ScheduledFault::Slow(_) => (self.start_millis..end_millis)
                .step_by(SLOW_CYCLE_MILLIS as usize)
                .flat_map(|cycle| from_to(cycle, cycle + SLOW_SUSPENDED_MILLIS))
                .collect(),
            _ => from_to(self.start_millis, end_millis).into(),
        }
    }
}

/// A fleet with its hosts and its list service while a schedule is played, and the active faults.
struct Playback<'a> {
    schedule: &'a FaultSchedule,
    fleet: Fleet,
    hosts: WarmingHosts,
    service: Discovery,
    /// All hosts as entries of the endpoint list.
    list: Vec<Value>,
    /// By fault: whether it is active.
    active: Vec<bool>,
    /// By node: the number of active faults that suspend it.
    suspensions: Vec<u32>,
}

impl<'a> Playback<'a> {
    /// Starts the list service, the warm hosts, and the nodes.
    fn start(schedule: &'a FaultSchedule, program: Option<&PathBuf>) -> Self {
        let nodes = schedule.nodes;
        let service = Discovery::start();
        let hosts = WarmingHosts::new(FleetOptions::TRIAL);
        let list = hosts.members(hosts.start(HOSTS, false));
        list.iter()
            .for_each(|member| service.change(member.clone()));
        // The network has one process more than there are nodes: the second process of [`ScheduledFault::StartTwin`].
        let fleet_view = FleetView {
            network: FaultyNetwork::new(nodes + 1, schedule.seed),
            period: PERIOD,
            seeds: vec![0, 1],
        };
        let mut fleet = Fleet::new(nodes + 1, service.address, FleetOptions::TRIAL)
            .with_cluster_size(nodes)
            .with_view(fleet_view);
        if let Some(program) = program {
            fleet = fleet.with_program(program.clone());
        }
        fleet.start(&(0..nodes).collect::<Vec<_>>(), &list, FIRST_REVISION);
        Playback {
            schedule,
            fleet,
            hosts,
            service,
            list,
            active: vec![false; schedule.faults.len()],
            suspensions: vec![0; nodes],
        }
    }

    fn start_cold_hosts(&mut self) {
        let cold = self.hosts.start(COLD_HOSTS, true);
        for member in self.hosts.members(cold) {
            self.service.change(member.clone());
            self.list.push(member);
        }
    }

    fn views_agree_in_time(&self) -> bool {
        self.fleet
            .agrees_within(PERIOD * PERIODS_TO_AGREE)
            .is_some()
    }

    /// Restarts the processes that another one of the same name has superseded, as an operator would. Until then they
    /// take no part in the fleet.
    fn restart_superseded(&mut self) {
        for node in 0..self.schedule.nodes {
            let status = self.fleet.status(node);
            if status.is_some_and(|status| status["superseded"] == true) {
                self.fleet.kill(node, NOTICE_DELAY);
                self.start_node(node);
            }
        }
    }

    fn start_node(&mut self, node: usize) {
        self.fleet.start(&[node], &self.list, FULL_REVISION);
    }

    fn apply(&mut self, transition: &Transition) {
        let begins = transition.step == Step::Begin;
        self.active[transition.fault] = begins;
        let fault = &self.schedule.faults[transition.fault].fault;
        match fault {
            ScheduledFault::Kill(node) if begins => self.fleet.kill(*node, NOTICE_DELAY),
            ScheduledFault::Kill(node) => self.start_node(*node),
            ScheduledFault::Pause(node) if begins => {
                if self.begin_suspension(*node) {
                    self.fleet.suspend(*node);
                }
            }
            ScheduledFault::Pause(node) => {
                if self.end_suspension(*node) {
                    self.fleet.unsuspend(*node);
                }
            }
            ScheduledFault::Slow(node) if begins => {
                if self.begin_suspension(*node) {
                    self.fleet.pause(*node);
                }
            }
            ScheduledFault::Slow(node) => {
                if self.end_suspension(*node) {
                    self.fleet.resume(*node);
                }
            }
            ScheduledFault::StartTwin(node) if begins => {
                self.fleet.start_twin(*node, &self.list, FULL_REVISION);
            }
            ScheduledFault::StartTwin(_) => self.fleet.kill(self.schedule.nodes, Duration::ZERO),
            ScheduledFault::Partition(_)
            | ScheduledFault::DropOneWay(..)
            | ScheduledFault::Lossy(_) => self.apply_link_faults(),
            ScheduledFault::Down
            | ScheduledFault::Hang
            | ScheduledFault::Silent
            | ScheduledFault::Sluggish
            | ScheduledFault::Refuse(_)
            | ScheduledFault::Older => self.apply_to_service(fault, begins),
        }
    }

    /// Counts a fault that suspends a node. Returns whether it is the only active one, as such faults may overlap.
    fn begin_suspension(&mut self, node: usize) -> bool {
        self.suspensions[node] += 1;
        self.suspensions[node] == 1
    }

    /// Removes a fault that suspends a node. Returns whether no other one is active.
    fn end_suspension(&mut self, node: usize) -> bool {
        self.suspensions[node] -= 1;
        self.suspensions[node] == 0
    }

    fn apply_to_service(&self, fault: &ScheduledFault, begins: bool) {
        let service = &self.service;
        match fault {
            ScheduledFault::Down if begins => service.go_down(),
            ScheduledFault::Down => service.come_up(),
            ScheduledFault::Hang | ScheduledFault::Silent if begins => {
                service.hang(*fault == ScheduledFault::Silent);
            }
            ScheduledFault::Hang | ScheduledFault::Silent => service.stop_hanging(),
            ScheduledFault::Sluggish if begins => service.limit_rate(SLUGGISH_RATE, SLUGGISH_QUEUE),
            ScheduledFault::Sluggish => service.lift_rate_limit(),
            ScheduledFault::Refuse(of_ten) => {
                service.reject_of_ten(if begins { *of_ten } else { 0 });
            }
            ScheduledFault::Older if begins => {
                let older_list = &self.list[..OLDER_REVISION as usize];
                service.restart(OLDER_REVISION, older_list);
            }
            ScheduledFault::Older => self
                .list
                .iter()
                .for_each(|member| service.change(member.clone())),
            _ => {}
        }
    }

    /// Sets the faults of all links as the active faults require.
    fn apply_link_faults(&self) {
        let active: Vec<&ScheduledFault> = self
            .schedule
            .faults
            .iter()
            .zip(&self.active)
            .filter(|(_, active)| **active)
            .map(|(planned, _)| &planned.fault)
            .collect();
        self.fleet
            .fleet_view()
            .network
            .set_faults(|from, to| link_faults(&active, from, to));
    }
}

/// Returns the faults of a link while these faults are active. The link is cut if any fault cuts it; the other link
/// faults are those of the last [`ScheduledFault::Lossy`].
fn link_faults(active: &[&ScheduledFault], from: usize, to: usize) -> LinkFaults {
    let mut combined = LinkFaults::default();
    for fault in active {
        match fault {
            ScheduledFault::Partition(parts) => combined.cut |= parts.get(from) != parts.get(to),
            ScheduledFault::DropOneWay(sender, receiver) => {
                combined.cut |= (*sender, *receiver) == (from, to);
            }
            ScheduledFault::Lossy(lossy) => {
                combined = LinkFaults {
                    cut: combined.cut,
                    ..*lossy
                }
            }
            _ => {}
        }
    }
    combined
}
