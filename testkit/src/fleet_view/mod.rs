//! A fleet whose processes run the membership protocol on a faulty network. Starts the processes, reads their views of
//! the members, and measures how these converge. What a process says of itself is never used to check a rule.

mod measure;

pub use measure::measure;

use crate::fleet::{Fleet, FleetOptions};
use crate::network::FaultyNetwork;
use crate::{Discovery, Node};
use serde_json::Value;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

/// The network and settings by which the processes of a fleet run the membership protocol.
pub struct FleetView {
    /// The network between the processes.
    pub network: FaultyNetwork,
    /// The period of the membership protocol.
    pub period: Duration,
    /// The numbers of the seeds: the nodes that the others contact first.
    pub seeds: Vec<usize>,
}

impl FleetView {
    /// Returns the operator config of a node.
    pub fn operator_config(&self, node: usize) -> String {
        let public_address = self.network.public_addresses[node];
        let process_address = self.network.process_addresses[node];
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| self.network.public_addresses[*seed].to_string())
            .collect();
        let period = self.period.as_millis();
        format!(
            "papers = \"PAPERS\"\n[node]\n[fleet]\naddress = \"{public_address}\"\nlisten = \"{process_address}\"\nseeds = {seeds:?}\n\
             period = \"{period}ms\"\n"
        )
    }
}

/// The states of the other members as one node sees them, by name, without those that are gone.
type MemberStates = HashMap<String, String>;

impl Fleet {
    /// Returns a node's status page of the fleet; `None` if the node does not run or the page is not JSON.
    pub fn status(&self, node: usize) -> Option<Value> {
        let (status, text) = self.nodes[node].as_ref()?.call("GET /status/fleet");
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).ok()
    }

    /// Returns the number and the view of each running node.
    pub fn views(&self) -> Vec<(usize, MemberStates)> {
        (0..self.cluster_size)
            .filter_map(|node| Some((node, self.view(node)?)))
            .collect()
    }

    fn view(&self, node: usize) -> Option<MemberStates> {
        let status = self.status(node)?;
        let member_state = |member: &Value| {
            let name = member["name"].as_str()?.to_string();
            let state = member["state"].as_str()?.to_string();
            (state != "gone").then_some((name, state))
        };
        let members = status["members"].as_array()?;
        Some(members.iter().filter_map(member_state).collect())
    }

    /// Returns whether each running node sees exactly the other running nodes, all of them in the state "at work".
    pub fn agrees(&self) -> bool {
        let views = self.views();
        views.iter().all(|(node, view)| {
            let at_work = |other: &usize| {
                view.get(&format!("n{other}"))
                    .is_some_and(|state| state == "at work")
            };
            let mut others = views.iter().map(|(other, _)| other);
            view.len() + 1 == views.len() && others.all(|other| other == node || at_work(other))
        })
    }

    /// Waits until the views agree, and returns how long that took; `None` if it takes longer than the timeout.
    pub fn agrees_within(&self, timeout: Duration) -> Option<Duration> {
        let start = Instant::now();
        while !self.agrees() {
            if start.elapsed() > timeout {
                return None;
            }
            // Reading the views takes processor time from all nodes, so larger fleets are read less often.
            let millis = (self.nodes.len() as u64).max(10);
            thread::sleep(Duration::from_millis(millis));
        }
        Some(start.elapsed())
    }

    /// Returns the log lines by which running nodes have declared members dead since their logs were last read.
    pub fn members_declared_dead(&self) -> Vec<String> {
        let mut declarations = Vec::new();
        for (node, process) in self.nodes.iter().enumerate() {
            let log = process.iter().flat_map(Node::drain_log);
            let lines = log.filter(|line| line.contains("member gone"));
            declarations.extend(lines.map(|line| format!("n{node}: {line}")));
        }
        declarations
    }

    /// Returns the processor time that all running nodes have taken.
    fn cpu_time(&self) -> Duration {
        self.nodes.iter().flatten().map(Node::cpu_time).sum()
    }
}

/// Starts a fleet of `nodes` processes that run the membership protocol, with a list service of its own.
pub fn start_fleet(nodes: usize, period: Duration, seed: u64) -> (Discovery, Fleet) {
    let service = Discovery::start();
    let fleet_view = FleetView {
        network: FaultyNetwork::new(nodes + 1, seed),
        period,
        seeds: (0..3.min(nodes)).collect(),
    };
    let mut fleet = Fleet::new(nodes, service.address, FleetOptions::TRIAL).with_view(fleet_view);
    fleet.start(&(0..nodes).collect::<Vec<_>>(), &[], 0);
    (service, fleet)
}
