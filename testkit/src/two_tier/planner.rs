//! Measures a planner alone, and compares it with the decision core alone.

use super::{DECISIONS, OPEN_CONNECTIONS, OPEN_DURING_DECISIONS};
use crate::scripted_forwarder::{placement_request, ScriptedForwarder, SessionError};
use crate::simulated::{Hosts, InvariantChecker};
use crate::two_tier_cluster::node_config;
use crate::{Discovery, Node};
use reedferry::{
    Action, AttemptOutcome, Balancer, BalancerSettings, Endpoint, EndpointUpdate, Event, HostId,
    HostState, Nanos, RequestId, SECOND,
};
use std::collections::VecDeque;
use std::fmt;
use std::net::SocketAddr;
use std::thread::ScopedJoinHandle;
use std::time::{Duration, Instant};

/// The number of forwarders that send requests at full speed: enough that the planner limits the rate, not a forwarder.
const FORWARDERS: u64 = 4;
/// The number of decisions for which a forwarder waits at the same time.
const WINDOW: u64 = 512;
/// The number of rounds in which the core and the planner are measured in turn.
const ROUNDS: u64 = 6;
/// How long the attempts take that are reported to the core, in nanoseconds.
const ATTEMPT_TIME: Nanos = 1_000_000;

/// Why a planner could not be measured.
pub enum MeasureError {
    /// The settings are invalid.
    Settings(String),
    /// A session with the planner ended.
    Session(SessionError),
    /// A forwarder's thread panicked.
    Panicked,
    /// Fewer than 90% of the requests got a host.
    TooFewPlaced { placed: u64, requested: u64 },
}

impl fmt::Display for MeasureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MeasureError::Settings(error) => f.write_str(error),
            MeasureError::Session(error) => error.fmt(f),
            MeasureError::Panicked => f.write_str("a forwarder thread panicked"),
            MeasureError::TooFewPlaced { placed, requested } => {
                write!(f, "only {placed} of {requested} requests got a host")
            }
        }
    }
}

impl From<SessionError> for MeasureError {
    fn from(error: SessionError) -> Self {
        MeasureError::Session(error)
    }
}

/// The results for a planner alone.
pub struct PlannerResult {
    /// Decisions per second of the core alone. It is the best of several rounds, as other load on the machine can only
    /// lower the rate.
    pub core_rate: f64,
    /// Decisions per second of the planner, the best of the same rounds.
    pub planner_rate: f64,
    /// By how many bytes the planner's memory grew when the open connections were reported.
    pub memory_bytes: usize,
    /// How long it took to report the open connections.
    pub report_time: Duration,
    /// The longest time that another forwarder waited for a decision after the reporting ones had disconnected.
    pub max_wait: Duration,
}

/// A decision core in this process. It handles events in the same order as in a planner.
struct CoreLoop {
    core: Balancer,
    actions: Vec<Action>,
    open: VecDeque<(RequestId, HostId)>,
    timers: Vec<(Nanos, u64)>,
}

impl CoreLoop {
    fn new(settings: BalancerSettings, seed: u64, hosts: usize, now: Nanos) -> Self {
        let mut actions = Vec::new();
        let mut core = Balancer::new(settings, seed, now, &mut actions);
        let endpoint = |n| Endpoint {
            id: HostId(n + 1),
            state: HostState::Ready,
            size: 1.0,
            ..Endpoint::default()
        };
        let update = Event::EndpointsUpdated {
            kind: EndpointUpdate::Full,
            endpoints: (0..hosts as u64).map(endpoint).collect(),
        };
        core.handle(now, update, &mut actions);
        CoreLoop {
            core,
            actions,
            open: VecDeque::new(),
            timers: Vec::new(),
        }
    }

    fn handle(&mut self, now: Nanos, event: Event) {
        self.core.handle(now, event, &mut self.actions);
    }

    fn carry_out_actions(&mut self, now: Nanos) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::StartAttempt { id, host, .. } => {
                    let took = ATTEMPT_TIME;
                    self.handle(now, Event::ConnectionEstablished { id, took });
                    self.open.push_back((id, host));
                }
                Action::SetTimer { time, timer } => self.timers.push((time, timer)),
                _ => {}
            }
        }
    }

    fn end_oldest(&mut self, now: Nanos) {
        if let Some((id, host)) = self.open.pop_front() {
            self.handle(
                now,
                Event::AttemptEnded {
                    id,
                    attempt: 0,
                    host,
                    request_over: true,
                    ending: AttemptOutcome::Completed,
                    load_metrics: Vec::new(),
                },
            );
        }
    }

    fn fire_due_timer(&mut self, now: Nanos) {
        if let Some(due) = self.timers.iter().position(|(time, _)| *time <= now) {
            let (_, timer) = self.timers.swap_remove(due);
            self.handle(now, Event::TimerFired { timer });
        }
    }
}

/// Returns the decisions per second of the core alone.
fn core_rate(settings: BalancerSettings, hosts: usize, seed: u64) -> f64 {
    let start = 1_000 * SECOND;
    let mut core = CoreLoop::new(settings, seed, hosts, start);
    let started = Instant::now();
    for n in 0..DECISIONS {
        let now = start + started.elapsed().as_nanos() as u64;
        let incoming = placement_request(n).to_incoming(RequestId(n + 1));
        core.handle(now, Event::RequestArrived(incoming));
        core.carry_out_actions(now);
        if core.open.len() > OPEN_DURING_DECISIONS {
            core.end_oldest(now);
        }
        core.fire_due_timer(now);
    }
    DECISIONS as f64 / started.elapsed().as_secs_f64()
}

/// What forwarders need to connect to the planner.
struct PlannerLink {
    address: SocketAddr,
    fingerprint: u64,
}

impl PlannerLink {
    fn follow(&self, name: &str) -> Result<ScriptedForwarder, SessionError> {
        ScriptedForwarder::follow(self.address, "p0", name, self.fingerprint)
    }

    /// Returns the decisions per second for several forwarders at once.
    fn rate(&self) -> Result<f64, MeasureError> {
        let request_decisions = |n: u64| -> Result<u64, SessionError> {
            let max_open = OPEN_DURING_DECISIONS / FORWARDERS as usize;
            self.follow(&format!("s{n}"))?.request_decisions(
                DECISIONS / FORWARDERS,
                WINDOW,
                max_open,
            )
        };
        let (started, request_decisions) = (Instant::now(), &request_decisions);
        let placed: u64 = std::thread::scope(|scope| {
            let threads: Vec<_> = (0..FORWARDERS)
                .map(|n| scope.spawn(move || request_decisions(n)))
                .collect();
            let join = |thread: ScopedJoinHandle<'_, Result<u64, SessionError>>| {
                thread
                    .join()
                    .map_err(|_| MeasureError::Panicked)?
                    .map_err(MeasureError::from)
            };
            threads
                .into_iter()
                .map(join)
                .sum::<Result<u64, MeasureError>>()
        })?;
        let rate = DECISIONS as f64 / started.elapsed().as_secs_f64();
        if placed * 10 < DECISIONS * 9 {
            return Err(MeasureError::TooFewPlaced {
                placed,
                requested: DECISIONS,
            });
        }
        Ok(rate)
    }
}

/// Measures a planner alone.
pub fn measure(hosts: usize, seed: u64) -> Result<PlannerResult, MeasureError> {
    let checker = InvariantChecker::default();
    let simulated_hosts = Hosts::start(hosts, &checker);
    let discovery = Discovery::start();
    (0..hosts).for_each(|host| discovery.change(simulated_hosts.member(host, "active")));
    let node_config = node_config("plan", &simulated_hosts, &discovery, seed);
    let operator_config =
        "papers = \"PAPERS\"\n[plan]\nname = \"p0\"\nlisten = \"127.0.0.1:0\"\nsettle = \"0s\"\n\
        [[planner]]\nname = \"p0\"\naddress = \"127.0.0.1:1\"\n";
    let node = Node::start_as("plan", operator_config, &node_config);
    let reedferry_settings::Settings {
        balancer: balancer_settings,
        node: node_settings,
    } = reedferry_settings::Settings::from_value(node_config["settings"].clone())
        .map_err(|error| MeasureError::Settings(error.to_string()))?;
    let planner = PlannerLink {
        address: node.address,
        fingerprint: reedferry_control_plane::fingerprint(node_settings.names()),
    };
    let (mut best_core_rate, mut best_planner_rate) = (0.0, 0.0);
    for round in 0..ROUNDS {
        let core_rate = core_rate(balancer_settings.clone(), hosts, seed + round);
        best_core_rate = f64::max(best_core_rate, core_rate);
        best_planner_rate = f64::max(best_planner_rate, planner.rate()?);
    }
    let host_ids: Vec<u64> = (0..hosts).map(|h| host_id(&format!("s-{h}"))).collect();
    let (memory_before, started) = (node.memory(), Instant::now());
    // Two forwarders report the connections, as they are too many requests for one forwarder.
    let mut reporting = [planner.follow("t1")?, planner.follow("t2")?];
    for forwarder in &mut reporting {
        forwarder.report_open_connections(OPEN_CONNECTIONS / 2, &host_ids)?;
    }
    let report_time = started.elapsed();
    let memory_bytes = node.memory().saturating_sub(memory_before);
    let mut other = planner.follow("t3")?;
    other.request_decisions(10, 1, 10)?;
    // Both disconnect at once. Another forwarder continues to send requests, and must not wait long for any decision.
    drop(reporting);
    Ok(PlannerResult {
        core_rate: best_core_rate,
        planner_rate: best_planner_rate,
        memory_bytes,
        report_time,
        max_wait: max_wait(&mut other)?,
    })
}

/// Sends requests one after the other for a second, and returns the longest wait for a decision.
fn max_wait(forwarder: &mut ScriptedForwarder) -> Result<Duration, SessionError> {
    let (started, mut max_wait) = (Instant::now(), Duration::ZERO);
    while started.elapsed() < Duration::from_secs(1) {
        let requested_at = Instant::now();
        forwarder.request_decisions(1, 1, 10)?;
        max_wait = max_wait.max(requested_at.elapsed());
    }
    Ok(max_wait)
}

/// Returns the id that the program derives from a host's name: its 64-bit FNV-1a hash.
fn host_id(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
