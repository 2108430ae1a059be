//! Several processes of the program beside a list service whose watches fall silent, break or are spoilt, while hosts
//! drain under load. Judged by what hosts and the list service saw, against when each node counts as told.

use reedferry_rig::acting::{Clients, Hosts, Referee, GRACE, SOCKETS};
use reedferry_rig::program::papers_of;
use reedferry_rig::{Discovery, Node};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What a busy machine adds to what is seen from outside.
const BUSY: Duration = Duration::from_millis(250);
const NODES: usize = 6;
const HOSTS: usize = 4;
/// Hosts that drain.
const DRAIN: usize = 1;

/// A list service, hosts and processes that follow it. Their places are the last of twice as many, as those watch for
/// shorter times.
struct Site {
    service: Discovery,
    referee: Referee,
    hosts: Hosts,
    nodes: Vec<Node>,
}

impl Site {
    fn new(mode: &str) -> Self {
        let (service, referee) = (Discovery::start(), Referee::default());
        let hosts = Hosts::start(HOSTS, &referee);
        let start = |node: usize| {
            let mut papers = papers_of(hosts.members(), service.address);
            papers["name"] = json!(format!("n{node}"));
            let settings = &mut papers["settings"];
            settings["balancers"] = json!(2 * NODES);
            settings["index"] = json!(NODES + node);
            settings["registry_mode"] = json!(mode);
            settings["contract"]["ask_within"] = json!(10_000.0);
            settings["offerings"][0]["name"] = json!("free");
            Node::start(&papers)
        };
        let nodes = (0..NODES).map(start).collect();
        Site { service, referee, hosts, nodes }
    }

    /// By when each node counts as told of what a silence from then on hides, by the wait that it asked for.
    fn told(&self, silent: Instant) -> Vec<Instant> {
        let calls: Vec<(Instant, String)> =
            self.service.seen().0.into_iter().zip(self.service.asked()).collect();
        let wait = |path: &str| path.split("hold_ms=").nth(1).and_then(|ms| ms.parse().ok()).unwrap_or(0);
        // Nodes that come later in the fleet wait less.
        let mut out: Vec<(u64, Instant)> = calls.iter().map(|(at, path)| (wait(path), *at)).collect();
        out.sort();
        let out = &out[out.len() - NODES..];
        out.iter().rev().map(|(wait, at)| (*at + ms(wait + 2000)).max(silent + ms(6000))).collect()
    }

    fn drain(&self) {
        (0..DRAIN).for_each(|host| self.service.change(self.hosts.member(host, "leaving")));
    }

    /// Clients at each node until then; gives what reached hosts that drain, node by node.
    fn load(&self, until: Instant) -> Vec<Vec<Instant>> {
        thread::scope(|scope| {
            for (n, node) in self.nodes.iter().enumerate() {
                let (address, referee) = (node.address, &self.referee);
                scope.spawn(move || {
                    let mut clients = Clients::new(vec![address], referee, n as u64 + 1);
                    clients.load(8.0, until.saturating_duration_since(Instant::now()), &[0], ms(20));
                    clients.end();
                });
            }
        });
        let mut reached = vec![Vec::new(); NODES];
        for one in self.referee.reached().iter().filter(|one| one.host < DRAIN) {
            let node = one.name.split('-').next().and_then(|n| usize::from_str_radix(n, 16).ok());
            reached[node.unwrap() - 1].push(one.at);
        }
        reached
    }
}

/// Guards: a watch that has fallen silent given up at the very moment from which the node is held to what it missed,
/// and taken up again seconds later; nodes that all call then, at a service that takes a few calls a second.
#[test]
fn watches_of_all_fall_silent_together_and_a_host_drains_right_after() {
    thread::scope(|scope| {
        for mode in ["on_request", "pushed"] {
            scope.spawn(move || {
                let site = Site::new(mode);
                site.service.calls(NODES);
                site.service.bound(2.0, ms(1000));
                site.service.fall_silent();
                let silent = Instant::now();
                site.drain();
                let told = site.told(silent);
                let last = *told.iter().max().unwrap();
                let reached = site.load(last + ms(2000));
                assert!(reached.iter().any(|node| !node.is_empty()), "{mode}: too tame");
                for (node, (reached, told)) in reached.iter().zip(&told).enumerate() {
                    let late = reached.iter().filter(|at| **at > *told + GRACE + SOCKETS + BUSY);
                    assert_eq!(
                        late.count(),
                        0,
                        "{mode}, node {node}: {:?}",
                        reached.last().unwrap().saturating_duration_since(*told)
                    );
                }
                let calls = site.service.seen().0.len();
                assert!(calls <= 4 * NODES, "{mode}: {calls} calls");
                assert_eq!(site.referee.broken(ms(60_000)), Vec::<String>::new(), "{mode}");
            });
        }
    });
}
