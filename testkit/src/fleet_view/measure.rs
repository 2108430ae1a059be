//! Measures the membership protocol: how fast the views converge after a start, a death and a partition, and what the
//! protocol costs a node. Owns the bounds and the figures.

use super::start_fleet;
use crate::fleet::Fleet;
use crate::network::LinkFaults;
use crate::two_tier::Report;
use crate::Node;
use serde_json::{json, Map, Value};
use std::collections::HashMap;
use std::thread;
use std::time::{Duration, Instant};

/// The size of the small fleet with which the cost of gossip is compared.
const SMALL_FLEET: usize = 20;
/// The number of nodes of the large fleet that are killed, one after the other.
const KILLS: usize = 3;
/// How long the views may take to agree before the measurement is given up, in periods.
const MAX_PERIODS_TO_AGREE: u32 = 100;
/// How long a fleet without changes is observed, in periods.
const QUIET_PERIODS: u32 = 20;
/// How long a fleet with lossy links is observed, in periods.
const LOSSY_PERIODS: u32 = 50;
/// The partitions: how many periods each lasts, and into how many parts it divides the network.
const PARTITIONS: [(u32, usize); 3] = [(10, 2), (30, 2), (30, 3)];

// The bounds of the measurement; times are in periods, limits are inclusive.
const MAX_MEDIAN_DETECTION: f64 = 2.0;
const MAX_HEALING: f64 = 10.0;
const MAX_GOSSIP_DEVIATION: f64 = 0.1;
const MAX_CORE_SHARE: f64 = 0.01;

/// Returns the number of periods within which all nodes must know of a death.
fn max_spreading(nodes: usize) -> f64 {
    2.0 + 2.0 * (nodes as f64).log2()
}

/// The results for a fleet of one size; times are in periods unless stated otherwise.
struct Measurement {
    /// The time to start a process, in milliseconds.
    start_millis: f64,
    /// The memory of a process, in megabytes.
    memory_megabytes: f64,
    /// The time until all views agreed after the start.
    settled: f64,
    /// The number of gossip messages per node and period.
    gossip_messages: f64,
    /// The share of a processor core that a node takes, 0 to 1.
    core_share: f64,
    /// By kill: the time until the first node suspected the killed one or declared it dead.
    detected: Vec<f64>,
    /// By kill: the time until all nodes had declared the killed one dead; infinite if not all did.
    spread: Vec<f64>,
    /// By partition: the time from its end until the views agreed again; infinite if they never did.
    healed: Vec<f64>,
    /// The number of declarations that a running node is dead.
    wrongly_declared_dead: usize,
}

/// A fleet under measurement.
struct Scenario {
    fleet: Fleet,
    nodes: usize,
    period: Duration,
    wrongly_declared_dead: usize,
}

/// What a fleet costs while its membership does not change.
struct QuietCost {
    gossip_messages: f64,
    memory_megabytes: f64,
    core_share: f64,
}

/// How long the news of a death took, in periods: to the first node, and to all nodes.
struct Spreading {
    detected: f64,
    spread: f64,
}

impl Scenario {
    fn in_periods(&self, span: Duration) -> f64 {
        span.as_secs_f64() / self.period.as_secs_f64()
    }

    /// Waits until the views agree, and returns how many periods that took; `None` if they never did.
    fn periods_to_agree(&self) -> Option<f64> {
        let took = self
            .fleet
            .agrees_within(self.period * MAX_PERIODS_TO_AGREE)?;
        Some(self.in_periods(took))
    }

    fn sent(&self) -> u64 {
        self.fleet.fleet_view().network.traffic().sent.iter().sum()
    }

    fn measure_quiet(&self) -> QuietCost {
        let nodes = self.nodes as f64;
        // Changes are still gossiped for some periods after the views agree.
        thread::sleep(self.period * (15 + self.nodes as u32 / 4));
        let (start, sent, cpu_time) = (Instant::now(), self.sent(), self.fleet.cpu_time());
        thread::sleep(self.period * QUIET_PERIODS);
        let quiet = start.elapsed();
        let gossip_messages = (self.sent() - sent) as f64 / nodes / self.in_periods(quiet);
        let running = self.fleet.nodes.iter().flatten();
        let memory: usize = running.map(Node::memory).sum();
        let cpu_taken = self.fleet.cpu_time() - cpu_time;
        QuietCost {
            gossip_messages,
            memory_megabytes: memory as f64 / nodes / 1e6,
            core_share: cpu_taken.as_secs_f64() / nodes / quiet.as_secs_f64(),
        }
    }

    /// Kills a node, observes how the others learn of its death, and starts it again. Returns `None` if the views do
    /// not agree after that.
    fn measure_kill(&mut self, node: usize) -> Option<Spreading> {
        self.fleet.members_declared_dead();
        let killed_at = Instant::now();
        self.fleet.kill(node, Duration::ZERO);
        let timeout = self.period.mul_f64(max_spreading(self.nodes)) * 2;
        let mut first: Option<Instant> = None;
        let mut declared_dead: HashMap<usize, Instant> = HashMap::new();
        while declared_dead.len() < self.nodes - 1 && killed_at.elapsed() < timeout {
            thread::sleep(Duration::from_millis(20));
            for (observer, at, event) in self.member_events(node) {
                match event {
                    MemberEvent::Suspected => first = Some(first.map_or(at, |t| t.min(at))),
                    MemberEvent::DeclaredDead => {
                        first = Some(first.map_or(at, |t| t.min(at)));
                        declared_dead.insert(observer, at);
                    }
                    MemberEvent::OtherDeclaredDead => self.wrongly_declared_dead += 1,
                }
            }
        }
        let last = declared_dead
            .values()
            .max()
            .copied()
            .filter(|_| declared_dead.len() == self.nodes - 1);
        let since_kill = |at: Option<Instant>| {
            at.map_or(f64::INFINITY, |at| {
                self.in_periods(at.saturating_duration_since(killed_at))
            })
        };
        let spreading = Spreading {
            detected: since_kill(first),
            spread: since_kill(last),
        };
        self.fleet.start(&[node], &[], 0);
        self.periods_to_agree()?;
        Some(spreading)
    }

    /// Returns the events that running nodes have logged since their logs were last read: the observer, the time and
    /// the event. `node` is the killed node.
    fn member_events(&self, node: usize) -> Vec<(usize, Instant, MemberEvent)> {
        let mut events = Vec::new();
        for (observer, process) in self.fleet.nodes.iter().enumerate() {
            let log = process.iter().flat_map(Node::drain_log_timed);
            events.extend(log.filter_map(|(at, line)| {
                MemberEvent::parse(&line, node).map(|event| (observer, at, event))
            }));
        }
        events
    }

    /// Partitions the network for some periods, and returns how many periods the views took to agree after it healed.
    fn measure_partition(&self, periods: u32, parts: usize) -> f64 {
        let network = &self.fleet.fleet_view().network;
        network.partition(|node| node % parts);
        thread::sleep(self.period * periods);
        network.heal();
        self.periods_to_agree().unwrap_or(f64::INFINITY)
    }

    /// Makes all links lose, duplicate and delay datagrams, and counts the nodes that are wrongly declared dead
    /// meanwhile.
    fn measure_lossy_links(&mut self) {
        self.fleet.members_declared_dead();
        let link_faults = LinkFaults {
            loss: 0.2,
            duplicate: 0.1,
            delay: self.period / 10,
            ..Default::default()
        };
        self.fleet
            .fleet_view()
            .network
            .set_faults(|_, _| link_faults);
        thread::sleep(self.period * LOSSY_PERIODS);
        self.wrongly_declared_dead += self.fleet.members_declared_dead().len();
    }
}

/// An event in a node's log about the killed member or another one.
enum MemberEvent {
    Suspected,
    DeclaredDead,
    /// A member other than the killed one was declared dead, although it runs.
    OtherDeclaredDead,
}

impl MemberEvent {
    /// Returns the event of a log line; `None` if the line is about something else.
    fn parse(line: &str, killed: usize) -> Option<MemberEvent> {
        let of_killed = format!("{line},").contains(&format!("name: n{killed},"));
        if of_killed && line.contains("member suspect") {
            Some(MemberEvent::Suspected)
        } else if of_killed && line.contains("member gone") {
            Some(MemberEvent::DeclaredDead)
        } else if line.contains("member gone") {
            Some(MemberEvent::OtherDeclaredDead)
        } else {
            None
        }
    }
}

/// Starts a fleet, observes it without changes, kills `kills` nodes, and injects network faults if `network_faults` is
/// set. Returns `None` if the views did not agree after the start or after a kill.
fn run(
    nodes: usize,
    period: Duration,
    seed: u64,
    kills: usize,
    network_faults: bool,
) -> Option<Measurement> {
    let start = Instant::now();
    let (_service, fleet) = start_fleet(nodes, period, seed);
    let start_millis = start.elapsed().as_secs_f64() * 1000.0 / nodes as f64;
    let mut scenario = Scenario {
        fleet,
        nodes,
        period,
        wrongly_declared_dead: 0,
    };
    let settled = scenario.periods_to_agree()?;
    let quiet = scenario.measure_quiet();
    let (mut detected, mut spread, mut healed) = (Vec::new(), Vec::new(), Vec::new());
    for kill in 0..kills {
        let node = (seed as usize * 7 + kill * 5 + 3) % nodes;
        let spreading = scenario.measure_kill(node)?;
        detected.push(spreading.detected);
        spread.push(spreading.spread);
    }
    if network_faults {
        for (periods, parts) in PARTITIONS {
            healed.push(scenario.measure_partition(periods, parts));
        }
        scenario.measure_lossy_links();
    }
    Some(Measurement {
        start_millis,
        memory_megabytes: quiet.memory_megabytes,
        settled,
        gossip_messages: quiet.gossip_messages,
        core_share: quiet.core_share,
        detected,
        spread,
        healed,
        wrongly_declared_dead: scenario.wrongly_declared_dead,
    })
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values
        .get(values.len() / 2)
        .copied()
        .unwrap_or(f64::INFINITY)
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// Measures a fleet of this size, and before it a small fleet with which the cost of gossip is compared.
pub fn measure(nodes: usize, period: Duration, seed: u64) -> Report {
    let small = run(nodes.min(SMALL_FLEET), period, seed, 0, false);
    let both = small.and_then(|small| Some((small, run(nodes, period, seed, KILLS, true)?)));
    match both {
        Some((small, large)) => Report {
            figures: figures(period, &small, &large),
            broken: missed_bounds(nodes, &small, &large),
        },
        None => Report {
            figures: Map::new(),
            broken: vec!["the views of the members never agreed".into()],
        },
    }
}

fn figures(period: Duration, small: &Measurement, large: &Measurement) -> Map<String, Value> {
    let figures = [
        ("period, ms", json!(period.as_millis() as u64)),
        ("start of a process, ms", json!(large.start_millis)),
        ("memory of a process, MB", json!(large.memory_megabytes)),
        ("settled after the start, periods", json!(large.settled)),
        ("death found first, periods", json!(large.detected)),
        ("death known to all, periods", json!(large.spread)),
        ("agreed after a cut, periods", json!(large.healed)),
        ("wrongly held gone", json!(large.wrongly_declared_dead)),
        ("letters a node and period", json!(large.gossip_messages)),
        (
            "letters a node and period, 20 nodes",
            json!(small.gossip_messages),
        ),
        ("share of a core a node", json!(large.core_share)),
    ];
    figures
        .into_iter()
        .map(|(name, value)| (name.to_string(), value))
        .collect()
}

/// Returns a description of each bound that the measurement exceeds.
fn missed_bounds(nodes: usize, small: &Measurement, large: &Measurement) -> Vec<String> {
    let detected = median(large.detected.clone());
    let (spread, max_spread) = (max(&large.spread), max_spreading(nodes));
    let healed = max(&large.healed);
    let gossip_ratio = large.gossip_messages / small.gossip_messages;
    let bounds = [
        (
            detected <= MAX_MEDIAN_DETECTION,
            format!("a death is detected after {detected:.1} periods at the median"),
        ),
        (
            spread <= max_spread,
            format!(
                "a death is known to all nodes after {spread:.1} periods, over {max_spread:.1}"
            ),
        ),
        (
            healed <= MAX_HEALING,
            format!("the views agree {healed:.1} periods after the end of a partition"),
        ),
        (
            large.wrongly_declared_dead == 0,
            format!(
                "{} wrong declarations that a node is dead",
                large.wrongly_declared_dead
            ),
        ),
        (
            (gossip_ratio - 1.0).abs() <= MAX_GOSSIP_DEVIATION,
            format!("{gossip_ratio:.2} times the gossip messages of 20 nodes"),
        ),
        (
            large.core_share <= MAX_CORE_SHARE,
            format!("each node takes {:.4} of a core", large.core_share),
        ),
    ];
    bounds
        .into_iter()
        .filter(|(holds, _)| !holds)
        .map(|(_, missed)| missed)
        .collect()
}
