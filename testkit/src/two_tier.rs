//! The measurement of the two tiers beside as many single nodes, on the same stand-ins and the same load in
//! one run. It owns what is promised and the figures. It never report what it did not measure.

use crate::simulated::{Clients, Hosts, InvariantChecker};
use crate::speaker::{asked, Speaker};
use crate::tiers::{node_config, Tiers, LEASE};
use crate::{Discovery, Node};
use hdrhistogram::Histogram;
use reedferry::{
    Action, AttemptOutcome, Balancer, Endpoint, EndpointUpdate, Event, HostId, HostState, SECOND,
};
use serde_json::{json, Map, Value};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// How much a measurement takes in: single nodes and forwarders, hosts, requests a second, seconds.
#[derive(Clone, Copy)]
pub struct Size {
    pub nodes: usize,
    pub hosts: usize,
    pub rate: f64,
    pub span: Duration,
}

pub struct Report {
    pub figures: Map<String, Value>,
    pub broken: Vec<String>,
}

const PLANNERS: usize = 2;
/// Who ask of one planner at full speed.
const SPEAKERS: u64 = 4;
const ROUNDS: u64 = 6;
const HOLDS: Duration = Duration::from_millis(1500);
/// How late discovery's word may reach who decides on a busy machine.
const TOLD: Duration = Duration::from_millis(150);

/// Jain's index of fairness: one where all have the same, 1/n where one has all (Jain, Chiu and Hawe 1984).
fn jain(shares: &[u32]) -> f64 {
    let sum: f64 = shares.iter().map(|s| f64::from(*s)).sum();
    let squares: f64 = shares.iter().map(|s| f64::from(*s).powi(2)).sum();
    if squares == 0.0 {
        1.0
    } else {
        sum * sum / (shares.len() as f64 * squares)
    }
}

/// What one shape showed under the load.
struct Shown {
    /// From a client's line to its first attempt, in microseconds.
    first: Histogram<u64>,
    jain: f64,
    served: f64,
    broken: Vec<String>,
}

/// Has the clients come, and looks at the spread over hosts meanwhile.
fn loaded(mut clients: Clients, hosts: &Hosts, checker: &InvariantChecker, size: Size) -> Shown {
    let mut looks = Vec::new();
    let from = Instant::now();
    while from.elapsed() < size.span {
        clients.load(size.rate, Duration::from_millis(250), &[0], HOLDS);
        if from.elapsed() > HOLDS {
            looks.push(jain(&hosts.standing()));
        }
    }
    clients.end();
    let mut first = Histogram::new(3).expect("three digits are allowed");
    let all = checker.first_attempts();
    all.iter()
        .filter_map(|(_, took)| *took)
        .for_each(|took| first.saturating_record(took.as_micros() as u64));
    let served = all
        .iter()
        .filter(|(l, _)| {
            l.answers
                .first()
                .is_some_and(|(_, said)| said.starts_with("UP"))
        })
        .count();
    let jain = looks.iter().sum::<f64>() / looks.len().max(1) as f64;
    Shown {
        first,
        jain,
        served: served as f64 / all.len().max(1) as f64,
        broken: checker.broken(TOLD),
    }
}

fn singles(size: Size, seed: u64) -> Shown {
    let checker = InvariantChecker::default();
    let hosts = Hosts::start(size.hosts, &checker);
    let discovery = Discovery::start();
    (0..size.hosts).for_each(|h| discovery.change(hosts.member(h, "active")));
    let node = |n: usize| {
        let mut node_config = node_config(&format!("n{n}"), &hosts, &discovery, seed + n as u64);
        node_config["settings"]["balancers"] = json!(size.nodes);
        node_config["settings"]["index"] = json!(n);
        Node::start(&node_config)
    };
    let nodes: Vec<Node> = (0..size.nodes).map(node).collect();
    let doors = nodes.iter().map(|n| n.address).collect();
    loaded(Clients::new(doors, &checker, seed), &hosts, &checker, size)
}

fn two(size: Size, seed: u64) -> Shown {
    let tiers = Tiers::start(size.nodes, PLANNERS, size.hosts, seed);
    // Until each follows its own.
    std::thread::sleep(Duration::from_secs(1));
    loaded(
        Clients::new(tiers.doors(), &tiers.checker, seed),
        &tiers.hosts,
        &tiers.checker,
        size,
    )
}

/// A planner dies under the load: the latest first attempt, and the 95th percentiles before the death and
/// from a second after it on, in microseconds.
fn death(size: Size, seed: u64) -> (Duration, u64, u64, Vec<String>) {
    let mut tiers = Tiers::start(size.nodes, PLANNERS, size.hosts, seed);
    std::thread::sleep(Duration::from_secs(1));
    let mut clients = Clients::new(tiers.doors(), &tiers.checker, seed);
    clients.load(size.rate, Duration::from_secs(2), &[0, 1, 2], HOLDS);
    // The one that stops dead says nothing, as a machine that is gone.
    let busiest = tiers.busiest();
    tiers.planners[busiest].iter().for_each(Node::suspend);
    let died = Instant::now();
    clients.load(size.rate, Duration::from_secs(3), &[0, 1, 2], HOLDS);
    clients.end();
    let (mut before, mut after) = (
        Histogram::<u64>::new(3).expect("allowed"),
        Histogram::<u64>::new(3).expect("allowed"),
    );
    let mut latest = Duration::ZERO;
    for (lived, took) in tiers.checker.first_attempts() {
        let Some(took) = took else { continue };
        latest = latest.max(took);
        if lived.asked < died - Duration::from_millis(100) {
            before.saturating_record(took.as_micros() as u64);
        } else if lived.asked > died + Duration::from_secs(1) {
            after.saturating_record(took.as_micros() as u64);
        }
    }
    let broken = tiers.checker.broken(TOLD);
    tiers.heal();
    (
        latest,
        before.value_at_quantile(0.95),
        after.value_at_quantile(0.95),
        broken,
    )
}

/// Attachments a second that the module decides alone, in this process, in the same order of events.
fn alone(
    count: u64,
    open: usize,
    hosts: usize,
    settings: &Value,
    seed: u64,
) -> Result<f64, String> {
    let (balancer_settings, _) = reedferry_settings::from_value(settings.clone())?;
    let start = 1_000 * SECOND;
    let mut out = Vec::new();
    let mut module = Balancer::new(balancer_settings, seed, start, &mut out);
    let listing = |n| Endpoint {
        id: HostId(n + 1),
        state: HostState::Ready,
        size: 1.0,
        ..Endpoint::default()
    };
    let listed = (0..hosts as u64).map(listing).collect();
    module.handle(
        start,
        Event::EndpointsUpdated {
            kind: EndpointUpdate::Full,
            endpoints: listed,
        },
        &mut out,
    );
    let (from, mut standing, mut wakes) = (Instant::now(), VecDeque::new(), Vec::new());
    for n in 0..count {
        let now = start + from.elapsed().as_nanos() as u64;
        let id = reedferry::RequestId(n + 1);
        module.handle(now, Event::RequestArrived(asked(n).incoming(id)), &mut out);
        for action in std::mem::take(&mut out) {
            match action {
                Action::StartAttempt { id, host, .. } => {
                    module.handle(
                        now,
                        Event::ConnectionEstablished {
                            id,
                            took: 1_000_000,
                        },
                        &mut out,
                    );
                    standing.push_back((id, host));
                }
                Action::SetTimer { time, timer: mark } => wakes.push((time, mark)),
                _ => {}
            }
        }
        if standing.len() > open {
            if let Some((id, host)) = standing.pop_front() {
                let (ending, load_metrics) = (AttemptOutcome::Completed, Vec::new());
                module.handle(
                    now,
                    Event::AttemptEnded {
                        id,
                        attempt: 0,
                        host,
                        request_over: true,
                        ending,
                        load_metrics,
                    },
                    &mut out,
                );
            }
        }
        if let Some(due) = wakes.iter().position(|(time, _)| *time <= now) {
            let (_, mark) = wakes.swap_remove(due);
            module.handle(now, Event::TimerFired { timer: mark }, &mut out);
        }
    }
    Ok(count as f64 / from.elapsed().as_secs_f64())
}

/// A planner by itself, and the module alone beside it.
struct Speed {
    /// Attachments a second, the best of a few rounds in turns: what else runs on the machine only takes away.
    module: f64,
    planner: f64,
    /// What the planner's memory grew by for so many open requests, in bytes, and how long telling took.
    memory: usize,
    told: Duration,
    /// The longest that another forwarder waited while the ones that told of them died.
    stall: Duration,
}

fn speed(count: u64, open: usize, standing: u64, hosts: usize, seed: u64) -> Result<Speed, String> {
    let checker = InvariantChecker::default();
    let simulated = Hosts::start(hosts, &checker);
    let discovery = Discovery::start();
    (0..hosts).for_each(|h| discovery.change(simulated.member(h, "active")));
    let node_config = node_config("plan", &simulated, &discovery, seed);
    let text =
        "papers = \"PAPERS\"\n[plan]\nname = \"p0\"\nlisten = \"127.0.0.1:0\"\nsettle = \"0s\"\n\
        [[planner]]\nname = \"p0\"\naddress = \"127.0.0.1:1\"\n";
    let node = Node::start_as("plan", text, &node_config);
    let (_, terms) = reedferry_settings::from_value(node_config["settings"].clone())?;
    let fingerprint = reedferry_control_plane::fingerprint(terms.names());
    // Several at once, so that none of them is what is measured.
    let speak = |n: u64| -> Result<u64, String> {
        let mut speaker = Speaker::follow(node.address, "p0", &format!("s{n}"), fingerprint)?;
        speaker.decide(count / SPEAKERS, 512, open / SPEAKERS as usize)
    };
    let (mut module, mut planner) = (0.0, 0.0);
    for round in 0..ROUNDS {
        module = f64::max(
            module,
            alone(count, open, hosts, &node_config["settings"], seed + round)?,
        );
        let (from, speak) = (Instant::now(), &speak);
        let handed: u64 = std::thread::scope(|scope| {
            let all: Vec<_> = (0..SPEAKERS)
                .map(|n| scope.spawn(move || speak(n)))
                .collect();
            let each = |one: std::thread::ScopedJoinHandle<_>| {
                one.join().unwrap_or(Err("a speaker panicked".into()))
            };
            all.into_iter().map(each).sum::<Result<u64, String>>()
        })?;
        planner = f64::max(planner, count as f64 / from.elapsed().as_secs_f64());
        if handed * 10 < count * 9 {
            return Err(format!("{handed} of {count} were handed to a host"));
        }
    }
    let ids: Vec<u64> = (0..hosts).map(|h| hash(&format!("s-{h}"))).collect();
    let (before, from) = (node.memory(), Instant::now());
    // Two forwarders, as one may hold so many at the most.
    let follow = |name| Speaker::follow(node.address, "p0", name, fingerprint);
    let mut two = [follow("t1")?, follow("t2")?];
    for speaker in &mut two {
        speaker.stand(standing / 2, &ids)?;
    }
    let told = from.elapsed();
    let memory = node.memory().saturating_sub(before);
    // Both die at once; another one goes on asking, and must not wait long for any answer.
    let mut other = follow("t3")?;
    other.decide(10, 1, 10)?;
    drop(two);
    let (from, mut stall) = (Instant::now(), Duration::ZERO);
    while from.elapsed() < Duration::from_secs(1) {
        let asked = Instant::now();
        other.decide(1, 1, 10)?;
        stall = stall.max(asked.elapsed());
    }
    Ok(Speed {
        module,
        planner,
        memory,
        told,
        stall,
    })
}

/// FNV-1a, by which the program names hosts.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// # Errors
/// Where something could not be measured at all.
pub fn measure(size: Size, seed: u64) -> Result<Report, String> {
    let (mut figures, mut broken) = (Map::new(), Vec::new());
    let mut put = |name: &str, value: f64| {
        _ = figures.insert(name.into(), json!((value * 1000.0).round() / 1000.0));
    };
    let mut wanted = |what: &str, holds: bool| {
        if !holds {
            broken.push(what.to_string());
        }
    };
    let (one, two) = (singles(size, seed), two(size, seed));
    let micros = |shown: &Shown, q: f64| shown.first.value_at_quantile(q) as f64;
    for (shape, shown) in [("nodes", &one), ("tiers", &two)] {
        put(
            &format!("{shape}_first_hand_off_p50_us"),
            micros(shown, 0.5),
        );
        put(
            &format!("{shape}_first_hand_off_p99_us"),
            micros(shown, 0.99),
        );
        put(&format!("{shape}_jain"), shown.jain);
        put(&format!("{shape}_served"), shown.served);
        shown
            .broken
            .iter()
            .for_each(|b| wanted(&format!("{shape}: {b}"), false));
    }
    let ratio = micros(&two, 0.5) / micros(&one, 0.5);
    put("p50_ratio", ratio);
    wanted(
        "median to the first hand-off at most twice the nodes'",
        ratio <= 2.0,
    );
    let more = micros(&two, 0.99) - micros(&one, 0.99);
    put("p99_more_us", more);
    wanted(
        "99th percentile at most 1 ms more than the nodes'",
        more <= 1000.0,
    );
    put("jain_more", two.jain - one.jain);
    wanted(
        "load spread no worse than the nodes'",
        two.jain >= one.jain - 0.01,
    );
    wanted(
        "served as many as the nodes",
        two.served >= one.served - 0.01,
    );

    let (latest, before, after, rules) = death(size, seed);
    rules
        .iter()
        .for_each(|b| wanted(&format!("death: {b}"), false));
    put("death_latest_first_hand_off_ms", latest.as_secs_f64() * 1e3);
    put("death_p95_before_us", before as f64);
    put("death_p95_a_second_after_us", after as f64);
    wanted(
        "no first hand-off later than 700 ms after a planner's death",
        latest <= Duration::from_millis(700),
    );
    wanted(
        "decisions take their usual time a second after it",
        after <= 2 * before + 1000,
    );

    let Speed {
        module,
        planner,
        memory,
        told,
        stall,
    } = speed(100_000, 2_000, 100_000, size.hosts, seed)?;
    put("module_attachments_a_second", module);
    put("planner_attachments_a_second", planner);
    put("planner_part_of_module", planner / module);
    put(
        "planner_memory_of_100000_open_mb",
        memory as f64 / f64::from(1 << 20),
    );
    put("planner_told_100000_open_ms", told.as_secs_f64() * 1e3);
    put(
        "planner_longest_wait_at_their_end_ms",
        stall.as_secs_f64() * 1e3,
    );
    wanted(
        "nobody waits a lease long as 100,000 open attachments end",
        stall < LEASE,
    );
    wanted(
        "a planner decides at least half of what the module does alone",
        planner >= module / 2.0,
    );
    wanted(
        "100,000 open attachments in under 100 MB",
        memory < 100 << 20,
    );
    Ok(Report { figures, broken })
}
