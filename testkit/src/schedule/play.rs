//! Plays a schedule over processes: begins and ends its faults in time, then checks that the fleet recovered and that no
//! rule was violated.

use super::{FaultSchedule, PlannedFault, ScheduledFault};
use crate::fleet::{Fleet, FleetOptions, ReturningClients, WarmingHosts};
use crate::fleet_view::FleetView;
use crate::network::{FaultyNetwork, LinkFaults};
use crate::Discovery;
use serde_json::Value;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

/// The period of the fleet view.
const PERIOD: Duration = Duration::from_millis(100);
const CLIENTS_PER_NODE: usize = 6;
/// How long the clients come at the start.
const CLIENT_SPREAD: Duration = Duration::from_millis(500);
const HOSTS: usize = 5;
/// Hosts that start cold at the start of the schedule.
const COLD_HOSTS: usize = 2;
/// The revision of the list before the cold hosts, with them, and of the older list.
const FIRST_REVISION: u64 = HOSTS as u64;
const FULL_REVISION: u64 = FIRST_REVISION + COLD_HOSTS as u64;
const OLDER_REVISION: u64 = 3;
/// How long the front takes to notice that a node was killed, and the news of a drain to reach the nodes.
const NOTICE_DELAY: Duration = Duration::from_millis(300);
/// How soon after the last fault the views agree again, in periods.
const PERIODS_TO_AGREE: u32 = 40;
/// How soon after the last fault all clients have a connection again.
const RECONNECT_TIMEOUT: Duration = Duration::from_secs(12);
/// What the list service answers while it is sluggish, in calls a second, and how long calls wait there.
const SLUGGISH_RATE: f64 = 5.0;
const SLUGGISH_QUEUE: Duration = Duration::from_secs(1);
/// A slow node runs for the end of each cycle.
const SLOW_CYCLE_MILLIS: u64 = 100;
const SLOW_SUSPENDED_MILLIS: u64 = 90;

/// Plays a schedule over processes, of another build where one is named, and returns the violations.
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
        violations.push("the views did not agree at the start".into());
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
            "the views do not agree: {:?}",
            playback.fleet.views()
        ));
    }
    violations.extend(wait_for_clients(&returning_clients, clients, ended));
    returning_clients.stop();
    violations.extend(playback.hosts.violations(NOTICE_DELAY));
    violations.extend(playback.fleet.violations(&returning_clients));
    violations
}

/// Waits until all clients have a connection; says how many have where that takes too long after the last fault.
fn wait_for_clients(
    returning_clients: &ReturningClients,
    clients: usize,
    ended: Instant,
) -> Option<String> {
    while returning_clients.connected() < clients {
        if ended.elapsed() > RECONNECT_TIMEOUT {
            let standing = returning_clients.connected();
            return Some(format!("{standing} of {clients} clients stand"));
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

/// A step of a fault, at its moment.
struct Transition {
    at_millis: u64,
    /// The number of the fault in the schedule.
    fault: usize,
    step: Step,
}

impl FaultSchedule {
    /// The steps of all faults in the order of their moments.
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

/// A fleet with its hosts and its list service, and the faults that are on.
struct Playback<'a> {
    schedule: &'a FaultSchedule,
    fleet: Fleet,
    hosts: WarmingHosts,
    service: Discovery,
    /// All hosts as entries of the endpoint list.
    list: Vec<Value>,
    /// By fault: whether it is on.
    active: Vec<bool>,
    /// By node: how many faults suspend it now.
    suspensions: Vec<u32>,
}

impl<'a> Playback<'a> {
    /// Starts the list service, hosts that are warm, and the nodes.
    fn start(schedule: &'a FaultSchedule, program: Option<&PathBuf>) -> Self {
        let nodes = schedule.nodes;
        let service = Discovery::start();
        let hosts = WarmingHosts::new(FleetOptions::TRIAL);
        let list = hosts.members(hosts.start(HOSTS, false));
        list.iter()
            .for_each(|member| service.change(member.clone()));
        // One process more than nodes: the second one of a twin.
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

    /// Restarts processes that another one superseded, as operators would: until then they take no part.
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

    /// Whether this is the first of the faults that suspend a node now: two may overlap.
    fn begin_suspension(&mut self, node: usize) -> bool {
        self.suspensions[node] += 1;
        self.suspensions[node] == 1
    }

    /// Whether this was the last of the faults that suspend a node.
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

    /// Sets the faults of all links by the faults that are on.
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

/// The faults of a link where these are on: cuts add up, of other faults the last one counts.
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
