//! A fleet whose processes run the membership protocol over a faulty network: how they are started, how their views are
//! read, and the measurement of both. No rule is checked by what a process says of itself.

mod measure;

pub use measure::measure;

use crate::fleet::{Fleet, FleetOptions};
use crate::network::FaultyNetwork;
use crate::{Discovery, Node};
use serde_json::Value;
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

/// What a fleet needs to keep a view.
pub struct FleetView {
    /// The network between the processes.
    pub network: FaultyNetwork,
    /// The unit of the fleet view's times.
    pub period: Duration,
    /// The numbers of the nodes that others contact first.
    pub seeds: Vec<usize>,
}

impl FleetView {
    /// The operator config of a node.
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

/// The states of the other members that a node sees, by their names; those that are gone are left out.
type MemberStates = HashMap<String, String>;

impl Fleet {
    /// What a node's operators see of the fleet.
    pub fn status(&self, node: usize) -> Option<Value> {
        let (status, text) = self.nodes[node].as_ref()?.call("GET /status/fleet");
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).ok()
    }

    /// The view of each node that runs: the states of the other members by their names, those that are gone left out.
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

    /// Whether each node that runs sees all that run, and them alone, to be at work.
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

    /// How long it takes until the views agree; nothing where it takes longer than the timeout.
    pub fn agrees_within(&self, timeout: Duration) -> Option<Duration> {
        let start = Instant::now();
        while !self.agrees() {
            if start.elapsed() > timeout {
                return None;
            }
            // Each look takes processor time from all nodes.
            let millis = (self.nodes.len() as u64).max(10);
            thread::sleep(Duration::from_millis(millis));
        }
        Some(start.elapsed())
    }

    /// The log lines by which nodes that run have declared members dead since their logs were read last.
    pub fn members_declared_dead(&self) -> Vec<String> {
        let mut declarations = Vec::new();
        for (node, process) in self.nodes.iter().enumerate() {
            let log = process.iter().flat_map(Node::drain_log);
            let lines = log.filter(|line| line.contains("member gone"));
            declarations.extend(lines.map(|line| format!("n{node}: {line}")));
        }
        declarations
    }

    /// Processor time that all nodes that run have taken.
    fn cpu_time(&self) -> Duration {
        self.nodes.iter().flatten().map(Node::cpu_time).sum()
    }
}

/// Starts a fleet that keeps a view, with a list service of its own.
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
