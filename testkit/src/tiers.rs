//! Both tiers as processes on loopback: forwarders and planners, a relay between each pair, acting hosts and
//! discovery, and beside them as many single nodes on the same settings. It owns how they are started, and
//! the faults that tests draw. It never judge: that is the invariant checker's.

use crate::program::Node;
use crate::relay::Relay;
use crate::simulated::{
    HostBehavior, Hosts, InvariantChecker, CLASS_NAMES, DRAIN_GRACE, REQUEST_TIMEOUT, WINDOW,
};
use crate::Discovery;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a planner's word holds in these trials.
pub const LEASE: Duration = Duration::from_millis(250);

pub struct Tiers {
    pub checker: InvariantChecker,
    pub hosts: Hosts,
    pub discovery: Discovery,
    pub planners: Vec<Option<Node>>,
    pub forwarders: Vec<Node>,
    /// By forwarder, then by planner.
    pub relays: Vec<Vec<Relay>>,
    /// The planner that each forwarder was last heard to follow.
    follows: Vec<usize>,
    seed: u64,
}

/// The planner that a log line says is followed.
fn followed(line: &str) -> Option<usize> {
    line.split("follows planner=p")
        .nth(1)?
        .split(' ')
        .next()?
        .parse()
        .ok()
}

/// The node config of one program among these hosts.
pub fn node_config(name: &str, hosts: &Hosts, discovery: &Discovery, seed: u64) -> Value {
    let idempotencies = ["free", "guarded", "single_shot"];
    let classes: Vec<Value> = CLASS_NAMES
        .iter()
        .zip(idempotencies)
        .map(|(name, idempotency)| {
            json!({"name": name, "contract_time": 500, "expiry": REQUEST_TIMEOUT.as_millis() as u64, "effect": idempotency,
            "group": "cell", "repeat_window": WINDOW.as_millis() as u64, "payoff": 1})
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

/// The list of planners as an operator writes it.
pub fn listed(planners: &[(String, SocketAddr)]) -> String {
    let one = |(name, address): &(String, SocketAddr)| {
        format!("[[planner]]\nname = \"{name}\"\naddress = \"{address}\"\n")
    };
    planners.iter().map(one).collect()
}

fn nominal(count: usize) -> String {
    let address = |n: usize| SocketAddr::from(([127, 0, 0, 1], n as u16 + 1));
    listed(
        &(0..count)
            .map(|n| (format!("p{n}"), address(n)))
            .collect::<Vec<_>>(),
    )
}

impl Tiers {
    pub fn start(forwarders: usize, planners: usize, hosts: usize, seed: u64) -> Self {
        let checker = InvariantChecker::default();
        let hosts = Hosts::start(hosts, &checker);
        let discovery = Discovery::start();
        (0..hosts.addresses.len()).for_each(|h| discovery.change(hosts.member(h, "active")));
        let mut tiers = Tiers {
            checker,
            hosts,
            discovery,
            planners: (0..planners).map(|_| None).collect(),
            forwarders: Vec::new(),
            relays: Vec::new(),
            follows: Vec::new(),
            seed,
        };
        (0..planners).for_each(|n| tiers.start_planner(n));
        for n in 0..forwarders {
            let to = |p: &Option<Node>| Relay::to(p.as_ref().unwrap().address);
            tiers.relays.push(tiers.planners.iter().map(to).collect());
            let node_config = node_config(
                &format!("f{n}"),
                &tiers.hosts,
                &tiers.discovery,
                seed + n as u64,
            );
            let text = tiers.operator_config(n, planners);
            tiers
                .forwarders
                .push(Node::start_as("forward", &text, &node_config));
        }
        let first = |f: &Node| followed(&f.logs("follows planner")).unwrap_or(0);
        tiers.follows = tiers.forwarders.iter().map(first).collect();
        tiers
    }

    /// A forwarder's file with the first so many planners.
    pub fn operator_config(&self, forwarder: usize, planners: usize) -> String {
        let relays = self.relays[forwarder].iter().take(planners).enumerate();
        let list: Vec<(String, SocketAddr)> =
            relays.map(|(n, r)| (format!("p{n}"), r.address)).collect();
        let lease = LEASE.as_millis();
        format!(
            "papers = \"PAPERS\"\n[forward]\nlease = \"{lease}ms\"\nsettle = \"500ms\"\n{}",
            listed(&list)
        )
    }

    pub fn start_planner(&mut self, n: usize) {
        let node_config = node_config(
            &format!("plan-{n}"),
            &self.hosts,
            &self.discovery,
            self.seed ^ (n as u64 + 99),
        );
        let list = nominal(self.planners.len());
        let text = format!(
            "papers = \"PAPERS\"\n[plan]\nname = \"p{n}\"\nlisten = \"127.0.0.1:0\"\n{list}"
        );
        let node = Node::start_as("plan", &text, &node_config);
        self.relays
            .iter()
            .for_each(|all| all[n].lead_to(node.address));
        self.planners[n] = Some(node);
    }

    /// The planner that most forwarders follow now.
    pub fn busiest(&mut self) -> usize {
        for (forwarder, follows) in self.forwarders.iter().zip(&mut self.follows) {
            *follows = forwarder
                .drain_log()
                .iter()
                .rev()
                .find_map(|line| followed(line))
                .unwrap_or(*follows);
        }
        let count = |p: &usize| self.follows.iter().filter(|f| *f == p).count();
        (0..self.planners.len()).max_by_key(count).unwrap_or(0)
    }

    pub fn kill_planner(&mut self, n: usize) {
        self.planners[n] = None;
        // A process that is gone ends its connections; the relays pass that on.
    }

    pub fn doors(&self) -> Vec<SocketAddr> {
        self.forwarders.iter().map(|f| f.address).collect()
    }

    pub fn drain(&self, host: usize, drains: bool) {
        self.checker.drains(host, drains);
        self.discovery.change(
            self.hosts
                .member(host, if drains { "leaving" } else { "active" }),
        );
    }

    /// Waits until so many planners answer every forwarder again.
    pub fn heal(&mut self) {
        for n in 0..self.planners.len() {
            self.planners[n].iter().for_each(Node::unsuspend);
            if !self.planners[n].as_mut().is_some_and(Node::runs) {
                self.start_planner(n);
            }
        }
        self.relays.iter().flatten().for_each(|r| {
            r.up.clear();
            r.down.clear();
        });
        (0..self.hosts.addresses.len()).for_each(|h| self.hosts.go(h, HostBehavior::Accepts));
    }

    /// One of the faults that are known, by number; `a` and `b` draw whom it meets. Tells what it did.
    pub fn fault(&mut self, kind: u64, a: usize, b: usize) -> String {
        use std::sync::atomic::Ordering::SeqCst;
        let (f, p, h) = (
            a % self.forwarders.len(),
            b % self.planners.len(),
            a % self.hosts.addresses.len(),
        );
        let relay = &self.relays[f][p];
        match kind % FAULTS {
            0 => {
                self.kill_planner(p);
                format!("planner {p} killed")
            }
            1 => {
                self.planners[p].iter().for_each(Node::suspend);
                format!("planner {p} stopped")
            }
            2 => {
                relay.up.cut.store(true, SeqCst);
                relay.down.cut.store(true, SeqCst);
                format!("link {f}-{p} cut")
            }
            3 => {
                relay.up.cut.store(true, SeqCst);
                format!("link {f}-{p} cut upwards")
            }
            4 => {
                relay.down.cut.store(true, SeqCst);
                format!("link {f}-{p} cut downwards")
            }
            5 => {
                self.relays
                    .iter()
                    .for_each(|all| all[p].down.delay.store(120, SeqCst));
                format!("planner {p} heard late")
            }
            6 => {
                relay.down.garble.store(true, SeqCst);
                format!("link {f}-{p} garbled")
            }
            7 => {
                self.planners[p].iter().for_each(Node::stop);
                format!("planner {p} asked to stop")
            }
            8 => {
                self.hosts.go(
                    h,
                    [
                        HostBehavior::Rejects,
                        HostBehavior::Fails,
                        HostBehavior::Silent,
                        HostBehavior::Disconnects,
                    ][b % 4],
                );
                format!("host {h} goes wrong, {}", b % 4)
            }
            _ => {
                self.drain(h, true);
                format!("host {h} drains")
            }
        }
    }
}

pub const FAULTS: u64 = 10;

/// Waits until it holds, and tells how long that took; none where it never did.
pub fn until(within: Duration, mut holds: impl FnMut() -> bool) -> Option<Duration> {
    let from = Instant::now();
    while !holds() {
        if from.elapsed() > within {
            return None;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    Some(from.elapsed())
}
