//! Simulated forwarders, planners, hosts, clients and the connections between them.

mod actions;
mod clients;
mod invariants;
mod turns;

use reedferry::*;
use reedferry_control_plane::messages::WireHostState;
use reedferry_control_plane::{
    Forwarder, ForwarderConfig, HostEntry, Planner, PlannerAddress, PlannerConfig,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::ops::Range;

pub const START: Nanos = 1_000_000 * SECOND;
pub const TICK: Nanos = MILLI;
pub const DRAIN_GRACE: Nanos = 300 * MILLI;
pub const LEASE: Nanos = 250 * MILLI;
/// The time from a client's arrival to its deadline.
pub const REQUEST_TIMEOUT: Nanos = 2 * SECOND;
pub const IDEMPOTENCY_WINDOW: Nanos = SECOND;
/// The time that a host takes to answer an attempt.
pub const HOST_ANSWER_TIME: Nanos = 3 * MILLI;
/// The maximum number of requests that await a planner's decision at one forwarder.
pub const MAX_AWAITING_DECISION: usize = 64;

/// The indexes of the request classes.
pub const IDEMPOTENT: usize = 0;
pub const WITH_KEY: usize = 1;
pub const NON_IDEMPOTENT: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HostBehavior {
    Accepts,
    Rejects,
    Fails,
    Silent,
}

pub struct SimulatedHost {
    pub behavior: HostBehavior,
    pub draining: bool,
    pub started: Option<Nanos>,
    /// The times at which attempts were sent to the host.
    pub attempts: Vec<Nanos>,
}

/// An answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Established,
    Rejected,
    Failed,
}

#[derive(Clone, Copy, Debug)]
pub struct InFlightAttempt {
    pub host: usize,
    pub deadline: Nanos,
    pub number: u32,
}

#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub at: Nanos,
    pub host: usize,
    /// Whether the host may have executed the attempt; `None` while it is in flight.
    pub may_have_run: Option<bool>,
}

#[derive(Default)]
pub struct Client {
    pub deadline: Nanos,
    pub class: usize,
    pub in_flight: Option<InFlightAttempt>,
    pub open: bool,
    pub answers: Vec<(Nanos, Answer)>,
    pub attempts: Vec<SentAttempt>,
    pub arrived_at: Nanos,
    pub attempt_started_at: Nanos,
}

impl Client {
    fn last_attempt(&mut self) -> &mut SentAttempt {
        self.attempts.last_mut().unwrap()
    }

    /// Ends the attempt in flight without an answer, after which it may have run.
    pub fn lose_attempt(&mut self) -> InFlightAttempt {
        let attempt = self.in_flight.take().unwrap();
        self.last_attempt().may_have_run = Some(true);
        attempt
    }
}

/// The connection of a forwarder to a planner. Bytes in transit carry their time of arrival.
pub struct Connection {
    pub planner: usize,
    /// The planner's number for the connection.
    pub planner_connection: u32,
    pub to_planner: VecDeque<(Nanos, Vec<u8>)>,
    pub to_forwarder: VecDeque<(Nanos, Vec<u8>)>,
    pub cut_to_planner: bool,
    pub cut_to_forwarder: bool,
    /// Whether the socket takes no more bytes from the forwarder.
    pub blocked: bool,
}

/// An answer that a host is about to give to an attempt.
pub struct PendingHostAnswer {
    at: Nanos,
    client: u64,
    attempt: u32,
    host: usize,
}

pub struct SimulatedForwarder {
    pub core: Forwarder,
    pub clients: BTreeMap<u64, Client>,
    /// The connections, by the forwarder's numbers for them.
    pub connections: HashMap<u32, Connection>,
    pub events: Vec<Event>,
    host_answers: VecDeque<PendingHostAnswer>,
    /// The hosts that planners reported as draining or gone, with the time of the first report.
    reported_drains: HashMap<usize, Nanos>,
    /// The start and end of the last pause; empty if there was none.
    pub paused: Range<Nanos>,
}

pub struct SimulatedPlanner {
    /// The planner; `None` while it is not running.
    pub core: Option<Planner>,
    pub paused_until: Nanos,
    timers: BinaryHeap<Reverse<(Nanos, u16, u64)>>,
    pub list_version: u64,
    /// The host states that discovery sent and the planner has not read yet.
    unread_updates: Vec<(usize, HostState)>,
    /// Whether updates of discovery do not reach the planner.
    pub discovery_cut: bool,
    /// The hosts that discovery reported to the planner as draining, with the time of the report.
    known_drains: HashMap<usize, Nanos>,
    pub logs: Vec<String>,
}

impl SimulatedPlanner {
    fn stopped() -> Self {
        SimulatedPlanner {
            core: None,
            paused_until: 0,
            timers: BinaryHeap::new(),
            list_version: 1,
            unread_updates: Vec::new(),
            discovery_cut: false,
            known_drains: HashMap::new(),
            logs: Vec::new(),
        }
    }

    /// Returns the planner, which must be running.
    pub fn running(&mut self) -> &mut Planner {
        self.core.as_mut().unwrap()
    }
}

pub struct Simulation {
    pub now: Nanos,
    pub balancer_settings: BalancerSettings,
    pub forwarders: Vec<SimulatedForwarder>,
    pub planners: Vec<SimulatedPlanner>,
    pub hosts: Vec<SimulatedHost>,
    last_connection: u32,
    violations: Vec<String>,
    /// The forwarders' log lines.
    pub logs: Vec<String>,
    last_client: u64,
    /// The time that bytes take from one end of a connection to the other.
    pub delay: Nanos,
    planner_starts: u64,
    pub max_requests_per_forwarder: usize,
}

fn balancer_settings() -> BalancerSettings {
    let class = |idempotency, idempotency_group| RequestClass {
        idempotency,
        idempotency_group,
        idempotency_window: IDEMPOTENCY_WINDOW,
        ..RequestClass::default()
    };
    BalancerSettings {
        classes: vec![
            class(Idempotency::Idempotent, IdempotencyGroup::All),
            class(Idempotency::WithKey, IdempotencyGroup::Cell),
            class(Idempotency::NonIdempotent, IdempotencyGroup::All),
        ],
        may_cancel: true,
        max_retry_after: SECOND,
        ..BalancerSettings::default()
    }
}

fn host_state(draining: bool) -> HostState {
    if draining {
        HostState::Draining
    } else {
        HostState::Ready
    }
}

/// Returns the cell of a host.
fn cell(host: usize) -> usize {
    host % 2
}

impl Simulation {
    pub fn new(forwarders: usize, planners: usize, hosts: usize) -> Self {
        let host = || SimulatedHost {
            behavior: HostBehavior::Accepts,
            draining: false,
            started: None,
            attempts: Vec::new(),
        };
        let mut simulation = Simulation {
            now: START,
            balancer_settings: balancer_settings(),
            forwarders: Vec::new(),
            planners: (0..planners).map(|_| SimulatedPlanner::stopped()).collect(),
            hosts: (0..hosts).map(|_| host()).collect(),
            last_connection: 0,
            violations: Vec::new(),
            logs: Vec::new(),
            last_client: 0,
            delay: 0,
            planner_starts: 0,
            max_requests_per_forwarder: 10_000,
        };
        (0..planners).for_each(|planner| simulation.start_planner(planner));
        for forwarder in 0..forwarders {
            let forwarder = simulation.new_forwarder(forwarder);
            simulation.forwarders.push(forwarder);
        }
        simulation
    }

    fn new_forwarder(&self, index: usize) -> SimulatedForwarder {
        let config = ForwarderConfig {
            name: format!("f{index}"),
            balancer_settings: self.balancer_settings.clone(),
            fingerprint: 1,
            epoch: 1,
            lease: LEASE,
            decision_timeout: 400 * MILLI,
            max_awaiting_decision: MAX_AWAITING_DECISION,
            failback_delay: SECOND,
        };
        let planners = Self::planner_addresses(0..self.planners.len());
        SimulatedForwarder {
            core: Forwarder::new(config, planners, index as u64, START),
            clients: BTreeMap::new(),
            connections: HashMap::new(),
            events: Vec::new(),
            host_answers: VecDeque::new(),
            reported_drains: HashMap::new(),
            paused: 0..0,
        }
    }

    pub fn planner_addresses(planners: Range<usize>) -> Vec<PlannerAddress> {
        planners
            .map(|planner| PlannerAddress {
                name: format!("p{planner}"),
                address: ([127, 0, 0, 1], planner as u16 + 1).into(),
            })
            .collect()
    }

    pub fn start_planner(&mut self, index: usize) {
        let config = PlannerConfig {
            name: format!("p{index}"),
            balancer_settings: self.balancer_settings.clone(),
            zone_count: 1,
            planner_index: index as u32,
            planner_count: self.planners.len() as u32,
            fingerprint: 1,
            silence_timeout: SECOND,
            settle_time: 50 * MILLI,
            max_requests_per_forwarder: self.max_requests_per_forwarder,
        };
        self.planner_starts += 1;
        let mut out = Vec::new();
        let mut core = Planner::new(config, self.planner_starts, self.now, &mut out);
        let list_version = self.planners[index].list_version;
        let (endpoints, entries) = (0..self.hosts.len())
            .map(|host| self.endpoint(host, list_version))
            .unzip();
        core.update_hosts(self.now, EndpointUpdate::Full, endpoints, entries, &mut out);
        let draining = (0..self.hosts.len()).filter(|host| self.hosts[*host].draining);
        let known_drains = draining.map(|host| (host, self.now)).collect();
        let planner = &mut self.planners[index];
        planner.core = Some(core);
        planner.known_drains = known_drains;
        planner.timers.clear();
        self.carry_out_planner_actions(index, out);
    }

    /// Returns a host in the form in which discovery describes it, and in that in which planners do.
    fn endpoint(&self, index: usize, list_version: u64) -> (Endpoint, HostEntry) {
        let host = &self.hosts[index];
        let state = host_state(host.draining);
        let id = index as u64 + 1;
        let endpoint = Endpoint {
            id: HostId(id),
            cell: (cell(index) as u16).into(),
            state,
            size: 1.0,
            started: host.started,
            ..Endpoint::default()
        };
        let entry = HostEntry {
            id,
            name: format!("s-{index}"),
            address: Some(([127, 0, 0, 2], index as u16 + 1).into()),
            state: WireHostState::from(state),
            list_version,
        };
        (endpoint, entry)
    }

    /// Ends the connection that its planner knows under this number.
    fn end_connection(&mut self, planner_connection: u32) {
        for forwarder in &mut self.forwarders {
            let Some(number) = forwarder
                .connections
                .iter()
                .find(|(_, c)| c.planner_connection == planner_connection)
                .map(|(number, _)| *number)
            else {
                continue;
            };
            let connection = forwarder.connections.remove(&number).unwrap();
            let mut planner_actions = Vec::new();
            if let Some(core) = self.planners[connection.planner].core.as_mut() {
                core.connection_lost(planner_connection, "ended", &mut planner_actions);
            }
            let mut actions = Vec::new();
            forwarder
                .core
                .connection_lost(self.now, number, "ended", &mut actions);
            self.logs
                .extend(actions.into_iter().filter_map(actions::log_text));
            return self.carry_out_planner_actions(connection.planner, planner_actions);
        }
    }

    pub fn kill_planner(&mut self, index: usize) {
        self.planners[index].core = None;
        self.planners[index].known_drains.clear();
        self.planners[index].unread_updates.clear();
        let connections: Vec<u32> = self
            .forwarders
            .iter()
            .flat_map(|forwarder| forwarder.connections.values())
            .filter(|connection| connection.planner == index)
            .map(|connection| connection.planner_connection)
            .collect();
        connections
            .into_iter()
            .for_each(|connection| self.end_connection(connection));
    }

    pub fn pause_planner(&mut self, index: usize, duration: Nanos) {
        self.planners[index].paused_until = self.now + duration;
    }

    /// Iterates over the connections of a forwarder to a planner.
    pub fn connections(
        &mut self,
        forwarder: usize,
        planner: usize,
    ) -> impl Iterator<Item = &mut Connection> {
        self.forwarders[forwarder]
            .connections
            .values_mut()
            .filter(move |connection| connection.planner == planner)
    }

    /// Cuts all present connections in the direction from planner to forwarder.
    pub fn cut_all_to_forwarders(&mut self) {
        self.forwarders
            .iter_mut()
            .flat_map(|forwarder| forwarder.connections.values_mut())
            .for_each(|connection| connection.cut_to_forwarder = true);
    }

    /// Sets whether a host drains. Discovery reports the change to the running planners that it reaches.
    pub fn set_draining(&mut self, host: usize, draining: bool) {
        self.hosts[host].draining = draining;
        for planner in self
            .planners
            .iter_mut()
            .filter(|planner| !planner.discovery_cut && planner.core.is_some())
        {
            planner.unread_updates.push((host, host_state(draining)));
            if draining {
                planner.known_drains.entry(host).or_insert(self.now);
            } else {
                planner.known_drains.remove(&host);
            }
        }
    }

    /// Returns the index of the planner that a forwarder follows, which must exist.
    pub fn followed_planner(&self, forwarder: usize) -> usize {
        self.forwarders[forwarder]
            .followed_planner()
            .expect("the forwarder follows no planner")
    }
}

impl SimulatedForwarder {
    /// Returns the index of the planner that the forwarder follows; `None` if it follows none.
    pub fn followed_planner(&self) -> Option<usize> {
        self.core.followed_planner().map(planner_index)
    }
}

/// Returns the index of the planner of this name.
fn planner_index(name: &str) -> usize {
    name[1..].parse().unwrap()
}

pub fn attempt_ended(
    id: u64,
    attempt: u32,
    host: usize,
    request_over: bool,
    ending: AttemptOutcome,
) -> Event {
    Event::AttemptEnded {
        id: RequestId(id),
        attempt,
        host: HostId(host as u64 + 1),
        request_over,
        ending,
        load_metrics: Vec::new(),
    }
}
