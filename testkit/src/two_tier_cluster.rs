//! Both tiers as processes on loopback: forwarders and planners, a relay between each pair, simulated hosts and
//! discovery. Starts them and injects the faults that tests draw. It does not check any rule; the invariant checker
//! does.

use crate::program::Node;
use crate::relay::Relay;
use crate::simulated::{
    HostBehavior, Hosts, InvariantChecker, CLASS_NAMES, DRAIN_GRACE, REPEAT_WINDOW, REQUEST_TIMEOUT,
};
use crate::Discovery;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};

/// The lease that forwarders are configured with.
pub const LEASE: Duration = Duration::from_millis(250);
/// The number of kinds of faults that [`TwoTierCluster::inject_fault`] can inject.
pub const FAULT_KINDS: u64 = 10;
/// The delay of a planner's messages where that is the fault, in milliseconds.
const LATE_MILLIS: u64 = 120;
const POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The text that forwarders log when they follow a planner, up to the number in the planner's name.
const FOLLOWING: &str = "following planner=p";

/// Forwarders and planners with their relays, hosts and discovery.
pub struct TwoTierCluster {
    /// Records what hosts and clients see, and checks the rules.
    pub checker: InvariantChecker,
    /// The simulated hosts.
    pub hosts: Hosts,
    /// The stand-in for the list service.
    pub discovery: Discovery,
    /// The planners by number; `None` where none runs.
    pub planners: Vec<Option<Node>>,
    /// The forwarders by number.
    pub forwarders: Vec<Node>,
    /// The relays on the links, by forwarder, then by planner.
    pub relays: Vec<Vec<Relay>>,
    /// The endpoint list in the files of planners that are started from now on.
    pub known_members: Value,
    /// The revision of that list.
    pub known_revision: u64,
    /// By forwarder: the planner that its last log line on this says it follows.
    followed_planners: Vec<usize>,
    seed: u64,
}

/// Returns the planner that is followed according to a log line; `None` if the line is about something else.
fn followed_planner(line: &str) -> Option<usize> {
    let (_, rest) = line.split_once(FOLLOWING)?;
    rest.split(' ').next()?.parse().ok()
}

/// Returns the config of one program that uses these hosts and this list service.
pub fn node_config(name: &str, hosts: &Hosts, discovery: &Discovery, seed: u64) -> Value {
    let idempotencies = ["free", "guarded", "single_shot"];
    let classes: Vec<Value> = CLASS_NAMES
        .iter()
        .zip(idempotencies)
        .map(|(name, idempotency)| {
            json!({"name": name, "contract_time": 500, "expiry": REQUEST_TIMEOUT.as_millis() as u64, "effect": idempotency,
            "group": "cell", "repeat_window": REPEAT_WINDOW.as_millis() as u64, "payoff": 1})
        })
        .collect();
    json!({"name": name, "listen": "127.0.0.1:0", "discovery": discovery.address.to_string(),
        "seed": seed.to_string(), "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 16384},
        "known": {"revision": 0, "complete": true, "members": hosts.members()},
        "settings": {"balancers": 1, "index": 0, "zone": 0, "zones": ["a"], "round": 4.0, "offerings": classes,
            "tenants": [{"name": "acme"}],
            "contract": {"ask_within": 1000.0, "cold": 1000.0, "cold_from": 0.5,
                "drain_grace": DRAIN_GRACE.as_millis() as u64, "tip_after": 1000.0, "tip_multiple": 3.0},
            "policy_limits": {"cancel": true, "connect_timeout": 250.0, "max_retry_after": 1000.0,
                "may_probe": false, "most_hand_offs": 3, "retry_after": true},
            "registry_mode": "on_request", "extra": {"message_aim": [100.0, 100.0, 100.0], "mode": "proxy"}}})
}

/// Returns the list of planners in the form of an operator config.
fn planner_list(addresses: impl Iterator<Item = SocketAddr>) -> String {
    addresses
        .enumerate()
        .map(|(n, address)| format!("[[planner]]\nname = \"p{n}\"\naddress = \"{address}\"\n"))
        .collect()
}

/// Returns a list of `count` planners for the planners' own configs. Planners do not connect to each other, so the
/// addresses are never used.
fn nominal_planner_list(count: usize) -> String {
    planner_list((0..count).map(|n| SocketAddr::from(([127, 0, 0, 1], n as u16 + 1))))
}

impl TwoTierCluster {
    /// Starts this many forwarders, planners and hosts, and waits until each forwarder follows a planner.
    pub fn start(forwarders: usize, planners: usize, hosts: usize, seed: u64) -> Self {
        let checker = InvariantChecker::default();
        let hosts = Hosts::start(hosts, &checker);
        let discovery = Discovery::start();
        (0..hosts.addresses.len()).for_each(|h| discovery.change(hosts.member(h, "active")));
        let hosts_as_listed = hosts.members();
        let mut cluster = TwoTierCluster {
            checker,
            hosts,
            discovery,
            planners: (0..planners).map(|_| None).collect(),
            forwarders: Vec::new(),
            relays: Vec::new(),
            known_revision: 0,
            known_members: hosts_as_listed,
            followed_planners: Vec::new(),
            seed,
        };
        (0..planners).for_each(|planner| cluster.start_planner(planner));
        (0..forwarders).for_each(|forwarder| cluster.start_forwarder(forwarder));
        let followed =
            |forwarder: &Node| followed_planner(&forwarder.wait_for_log(FOLLOWING)).unwrap_or(0);
        cluster.followed_planners = cluster.forwarders.iter().map(followed).collect();
        cluster
    }

    fn start_forwarder(&mut self, index: usize) {
        let relay_to = |planner: &Option<Node>| {
            let planner = planner.as_ref().expect("planners are started first");
            Relay::to(planner.address)
        };
        self.relays
            .push(self.planners.iter().map(relay_to).collect());
        let name = format!("f{index}");
        let seed = self.seed + index as u64;
        let node_config = node_config(&name, &self.hosts, &self.discovery, seed);
        let operator_config = self.operator_config(index, self.planners.len());
        let forwarder = Node::start_as("forward", &operator_config, &node_config);
        self.forwarders.push(forwarder);
    }

    /// Returns a forwarder's operator config, which lists the first `planners` planners.
    pub fn operator_config(&self, forwarder: usize, planners: usize) -> String {
        let relays = self.relays[forwarder].iter().take(planners);
        let list = planner_list(relays.map(|relay| relay.address));
        let lease = LEASE.as_millis();
        format!("papers = \"PAPERS\"\n[forward]\nlease = \"{lease}ms\"\nsettle = \"500ms\"\n{list}")
    }

    /// Starts a planner, and points the forwarders' relays to it.
    pub fn start_planner(&mut self, index: usize) {
        let name = format!("plan-{index}");
        let seed = self.seed ^ (index as u64 + 99);
        let mut node_config = node_config(&name, &self.hosts, &self.discovery, seed);
        node_config["known"]["revision"] = self.known_revision.into();
        node_config["known"]["members"] = self.known_members.clone();
        let list = nominal_planner_list(self.planners.len());
        let operator_config = format!(
            "papers = \"PAPERS\"\n[plan]\nname = \"p{index}\"\nlisten = \"127.0.0.1:0\"\n{list}"
        );
        let planner = Node::start_as("plan", &operator_config, &node_config);
        for relays in &self.relays {
            relays[index].set_target(planner.address);
        }
        self.planners[index] = Some(planner);
    }

    /// Returns the planner that most forwarders follow now.
    pub fn busiest_planner(&mut self) -> usize {
        for (forwarder, followed) in self.forwarders.iter().zip(&mut self.followed_planners) {
            let lines = forwarder.drain_log();
            let last = lines.iter().rev().find_map(|line| followed_planner(line));
            *followed = last.unwrap_or(*followed);
        }
        let followers = |planner: &usize| {
            let followed = self.followed_planners.iter();
            followed.filter(|followed| *followed == planner).count()
        };
        (0..self.planners.len()).max_by_key(followers).unwrap_or(0)
    }

    /// Kills a planner. Its connections end with the process, and the relays forward their ends.
    pub fn kill_planner(&mut self, index: usize) {
        self.planners[index] = None;
    }

    /// Returns the addresses of the forwarders, to which clients connect.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        self.forwarders.iter().map(|f| f.address).collect()
    }

    /// Makes discovery announce that a host drains, or that it is active again.
    pub fn set_draining(&self, host: usize, draining: bool) {
        self.checker.note_drain(host, draining);
        let phase = if draining { "leaving" } else { "active" };
        self.discovery.change(self.hosts.member(host, phase));
    }

    /// Ends all faults but drains: all planners run, relays forward everything, and hosts accept.
    pub fn heal(&mut self) {
        for index in 0..self.planners.len() {
            self.planners[index].iter().for_each(Node::unsuspend);
            if !self.planners[index].as_mut().is_some_and(Node::runs) {
                self.start_planner(index);
            }
        }
        for relay in self.relays.iter().flatten() {
            relay.up.clear();
            relay.down.clear();
        }
        (0..self.hosts.addresses.len())
            .for_each(|host| self.hosts.set_behavior(host, HostBehavior::Accepts));
    }

    /// Injects a fault of this kind, and returns its description. `a` and `b` are random numbers that select the
    /// forwarder, planner or host.
    pub fn inject_fault(&mut self, kind: u64, a: usize, b: usize) -> String {
        let forwarder = a % self.forwarders.len();
        let planner = b % self.planners.len();
        let host = a % self.hosts.addresses.len();
        let relay = &self.relays[forwarder][planner];
        match kind % FAULT_KINDS {
            0 => {
                self.kill_planner(planner);
                format!("planner {planner} killed")
            }
            1 => {
                self.planners[planner].iter().for_each(Node::suspend);
                format!("planner {planner} suspended")
            }
            2 => {
                relay.up.cut.store(true, SeqCst);
                relay.down.cut.store(true, SeqCst);
                format!("link {forwarder}-{planner} cut in both directions")
            }
            3 => {
                relay.up.cut.store(true, SeqCst);
                format!("link {forwarder}-{planner} cut to the planner")
            }
            4 => {
                relay.down.cut.store(true, SeqCst);
                format!("link {forwarder}-{planner} cut to the forwarder")
            }
            5 => {
                for relays in &self.relays {
                    relays[planner].down.delay.store(LATE_MILLIS, SeqCst);
                }
                format!("messages of planner {planner} delayed")
            }
            6 => {
                relay.down.corrupt.store(true, SeqCst);
                format!("link {forwarder}-{planner} corrupted")
            }
            7 => {
                self.planners[planner].iter().for_each(Node::stop);
                format!("planner {planner} asked to stop")
            }
            8 => {
                let behaviors = [
                    HostBehavior::Rejects,
                    HostBehavior::Fails,
                    HostBehavior::Silent,
                    HostBehavior::Disconnects,
                ];
                self.hosts.set_behavior(host, behaviors[b % 4]);
                format!("host {host} fails in way {}", b % 4)
            }
            _ => {
                self.set_draining(host, true);
                format!("host {host} drains")
            }
        }
    }
}

/// Waits until the condition holds, and returns how long that took; `None` if it does not hold within the timeout.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> Option<Duration> {
    let started = Instant::now();
    while !condition() {
        if started.elapsed() > timeout {
            return None;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Some(started.elapsed())
}
