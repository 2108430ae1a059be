//! A fleet whose processes run the membership protocol over a faulty network: how they are started, how their views are
//! read, and the measurement of both. No rule is checked by what a process says of itself.

use crate::fleet::{Fleet, FleetOptions};
use crate::network::FaultyNetwork;
use crate::two_tier::Report;
use crate::Discovery;
use serde_json::{json, Map, Value};
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
        let (face, process_addresses) = (
            self.network.public_addresses[node],
            self.network.process_addresses[node],
        );
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| self.network.public_addresses[*seed].to_string())
            .collect();
        let period = self.period.as_millis();
        format!(
            "papers = \"PAPERS\"\n[node]\n[fleet]\naddress = \"{face}\"\nlisten = \"{process_addresses}\"\nseeds = {seeds:?}\n\
             period = \"{period}ms\"\n"
        )
    }
}

impl Fleet {
    /// What a node's operators see of the fleet.
    pub fn status(&self, node: usize) -> Option<Value> {
        let (status, text) = self.nodes[node].as_ref()?.call("GET /status/fleet");
        assert_eq!(status, 200, "{text}");
        serde_json::from_str(&text).ok()
    }

    /// How each node that runs holds each other one, by the names, those that are gone left out.
    pub fn held(&self) -> Vec<(usize, HashMap<String, String>)> {
        let held = |node: usize| {
            let status = self.status(node)?;
            let members = status["members"].as_array()?.iter();
            let of = |m: &Value| {
                Some((
                    m["name"].as_str()?.to_string(),
                    m["state"].as_str()?.to_string(),
                ))
            };
            Some((
                node,
                members
                    .filter_map(of)
                    .filter(|(_, state)| state != "gone")
                    .collect(),
            ))
        };
        (0..self.cluster_size).filter_map(held).collect()
    }

    /// Whether each that runs holds all that run, and them alone, to be at work.
    pub fn agrees(&self) -> bool {
        let held = self.held();
        let well = |(node, fleet_view): &(usize, HashMap<String, String>)| {
            let others = held.iter().filter(|(other, _)| other != node);
            let there = |(other, _): &(usize, _)| {
                fleet_view
                    .get(&format!("n{other}"))
                    .is_some_and(|s| s == "at work")
            };
            fleet_view.len() + 1 == held.len() && others.into_iter().all(there)
        };
        held.iter().all(well)
    }

    /// How long it takes until they agree, at the most so long.
    pub fn agrees_within(&self, most: Duration) -> Option<Duration> {
        let from = Instant::now();
        while !self.agrees() {
            if from.elapsed() > most {
                return None;
            }
            // To ask all costs them time.
            thread::sleep(
                Duration::from_millis(self.nodes.len() as u64).max(Duration::from_millis(10)),
            );
        }
        Some(from.elapsed())
    }

    /// Whom nodes that run have held gone since the log was looked at last.
    pub fn members_declared_dead(&self) -> Vec<String> {
        let lines = self.nodes.iter().enumerate().flat_map(|(node, one)| {
            let lines = one
                .iter()
                .flat_map(crate::Node::drain_log)
                .filter(|l| l.contains("member gone"));
            lines
                .map(move |line| format!("n{node}: {line}"))
                .collect::<Vec<_>>()
        });
        lines.collect()
    }

    /// Processor time that all have taken.
    fn cpu_time(&self) -> Duration {
        self.nodes.iter().flatten().map(crate::Node::cpu_time).sum()
    }
}

/// Starts a fleet that keeps a view, with a list service of its own.
pub fn started(nodes: usize, period: Duration, seed: u64) -> (Discovery, Fleet) {
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

/// What one size showed, in periods.
struct Shown {
    /// Milliseconds to start one, sixteen at a time, and megabytes that one takes.
    start: f64,
    memory: f64,
    settled: f64,
    letters: f64,
    core: f64,
    found: Vec<f64>,
    known: Vec<f64>,
    healed: Vec<f64>,
    wrongly: usize,
}

#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn play(nodes: usize, period: Duration, seed: u64, kills: usize, faults: bool) -> Option<Shown> {
    let begun = Instant::now();
    let (_service, mut fleet) = started(nodes, period, seed);
    let start = begun.elapsed().as_secs_f64() * 1000.0 / nodes as f64;
    let in_periods = |span: Duration| span.as_secs_f64() / period.as_secs_f64();
    let settled = in_periods(fleet.agrees_within(period * 100)?);
    let passed = |fleet: &Fleet| fleet.fleet_view().network.passed().sent.iter().sum::<u64>();
    // News is told for some periods more.
    thread::sleep(period * (15 + nodes as u32 / 4));
    let (from, before, cpu_time) = (Instant::now(), passed(&fleet), fleet.cpu_time());
    thread::sleep(period * 20);
    let quiet = from.elapsed();
    let letters = (passed(&fleet) - before) as f64 / nodes as f64 / in_periods(quiet);
    let memory = fleet
        .nodes
        .iter()
        .flatten()
        .map(crate::Node::memory)
        .sum::<usize>() as f64
        / nodes as f64
        / 1e6;
    let core = (fleet.cpu_time() - cpu_time).as_secs_f64() / nodes as f64 / quiet.as_secs_f64();
    let (mut found, mut known, mut healed, mut wrongly) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for kill in 0..kills {
        let node = (seed as usize * 7 + kill * 5 + 3) % nodes;
        fleet.members_declared_dead();
        let at = Instant::now();
        fleet.kill(node, Duration::ZERO);
        let within = period.mul_f64(2.0 + 2.0 * (nodes as f64).log2());
        let mut suspect: Vec<(usize, Instant)> = Vec::new();
        let mut gone: HashMap<usize, Instant> = HashMap::new();
        while gone.len() < nodes - 1 && at.elapsed() < within * 2 {
            thread::sleep(Duration::from_millis(20));
            for (from, one) in fleet
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(n, one)| Some((n, one.as_ref()?)))
            {
                for (when, line) in one.drain_log_timed() {
                    let of_it = format!("{line},").contains(&format!("name: n{node},"));
                    if of_it && line.contains("member suspect") {
                        suspect.push((from, when));
                    } else if of_it && line.contains("member gone") {
                        gone.insert(from, when);
                    } else if line.contains("member gone") {
                        wrongly += 1;
                    }
                }
            }
        }
        let first = suspect
            .iter()
            .map(|s| s.1)
            .chain(gone.values().copied())
            .min();
        found.push(first.map_or(f64::INFINITY, |t| {
            in_periods(t.saturating_duration_since(at))
        }));
        let last = gone.values().max().filter(|_| gone.len() == nodes - 1);
        known.push(last.map_or(f64::INFINITY, |t| {
            in_periods(t.saturating_duration_since(at))
        }));
        fleet.start(&[node], &[], 0);
        fleet.agrees_within(period * 100)?;
    }
    if faults {
        for (periods, parts) in [(10, 2), (30, 2), (30, 3)] {
            fleet.fleet_view().network.split(|node| node % parts);
            thread::sleep(period * periods);
            fleet.fleet_view().network.heal();
            healed.push(
                fleet
                    .agrees_within(period * 100)
                    .map_or(f64::INFINITY, in_periods),
            );
        }
        fleet.members_declared_dead();
        let link_faults = crate::network::LinkFaults {
            loss: 0.2,
            duplicate: 0.1,
            delay: period / 10,
            ..Default::default()
        };
        fleet.fleet_view().network.set(|_, _| link_faults);
        thread::sleep(period * 50);
        wrongly += fleet.members_declared_dead().len();
    }
    Some(Shown {
        start,
        memory,
        settled,
        letters,
        core,
        found,
        known,
        healed,
        wrongly,
    })
}

fn middle(mut all: Vec<f64>) -> f64 {
    all.sort_by(f64::total_cmp);
    all.get(all.len() / 2).copied().unwrap_or(f64::INFINITY)
}

/// Starts a fleet and spoils its ways and ends some of it; and a few processes beside it, for what a gossip message costs.
pub fn measure(nodes: usize, period: Duration, seed: u64) -> Report {
    let (mut figures, mut broken) = (Map::new(), Vec::new());
    let few = play(nodes.min(20), period, seed, 0, false);
    let Some((few, now)) = few.zip(play(nodes, period, seed, 3, true)) else {
        return Report {
            figures,
            broken: vec!["views never agreed".into()],
        };
    };
    let within = 2.0 + 2.0 * (nodes as f64).log2();
    let known = now.known.iter().copied().fold(0.0, f64::max);
    let healed = now.healed.iter().copied().fold(0.0, f64::max);
    let mut put = |what: &str, value: Value| figures.insert(what.into(), value);
    put("period, ms", json!(period.as_millis() as u64));
    put("start of a process, ms", json!(now.start));
    put("memory of a process, MB", json!(now.memory));
    put("settled after the start, periods", json!(now.settled));
    put("death found first, periods", json!(now.found));
    put("death known to all, periods", json!(now.known));
    put("agreed after a cut, periods", json!(now.healed));
    put("wrongly held gone", json!(now.wrongly));
    put("letters a node and period", json!(now.letters));
    put("letters a node and period, 20 nodes", json!(few.letters));
    put("share of a core a node", json!(now.core));
    let mut promised = |holds: bool, what: String| {
        if !holds {
            broken.push(what);
        }
    };
    let found = middle(now.found);
    promised(
        found <= 2.0,
        format!("a death found after {found:.1} periods at the median"),
    );
    promised(
        known <= within,
        format!("a death known to all after {known:.1} periods of {within:.1}"),
    );
    promised(
        healed <= 10.0,
        format!("views agree {healed:.1} periods after a cut"),
    );
    promised(
        now.wrongly == 0,
        format!("{} wrongly held gone", now.wrongly),
    );
    let level = now.letters / few.letters;
    promised(
        (level - 1.0).abs() <= 0.1,
        format!("{level:.2} times the letters of 20 nodes"),
    );
    promised(now.core <= 0.01, format!("{:.4} of a core each", now.core));
    Report { figures, broken }
}
