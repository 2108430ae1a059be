//! Fault schedules: what happens to a fleet, when and for how long. They are drawn by a seed, written as small text
//! files, played over processes and shrunk by leaving faults out. What is checked is what hosts and clients saw, and
//! whether the views agree at the end.

use crate::fleet::{Fleet, FleetOptions, ReturningClients, WarmingHosts};
use crate::fleet_view::FleetView;
use crate::network::{FaultyNetwork, LinkFaults};
use crate::Discovery;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

/// A fault of a process, of the network or of the list service.
#[derive(Clone, Debug, PartialEq)]
pub enum ScheduledFault {
    /// Killed, and started again from nothing under the same name and address when it is over.
    Kill(usize),
    /// Stopped, and continued when it is over.
    Pause(usize),
    /// Stopped and continued ten times a second, to a tenth.
    Slow(usize),
    /// Started a second time under the same name, and ended when it is over.
    StartTwin(usize),
    /// Parts that do not hear each other, one gossip message a node.
    Partition(Vec<usize>),
    /// The second does not hear the first.
    DropOneWay(usize, usize),
    /// Faults on all links.
    Lossy(LinkFaults),
    /// The list service is down, takes calls and answers none, begins answers and goes silent, works off five calls a
    /// second, turns away so many of ten, or starts anew with an older list.
    Down,
    /// The list service takes calls and answers none.
    Hang,
    /// It begins answers and goes silent.
    Silent,
    /// It answers five calls a second.
    Sluggish,
    /// It rejects so many of ten calls.
    Refuse(usize),
    /// It starts anew with an older list.
    Older,
}

/// A fault with when it begins and how long it lasts, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, from the start, in milliseconds.
    pub at: u64,
    /// How long it lasts, in milliseconds.
    pub lasts: u64,
    /// What happens.
    pub fault: ScheduledFault,
}

/// Faults over time for a fleet of some size.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSchedule {
    /// What the schedule, and the chance within it, was drawn from.
    pub seed: u64,
    /// Nodes of the fleet.
    pub nodes: usize,
    /// The faults in the order in which they were drawn.
    pub faults: Vec<PlannedFault>,
}

impl fmt::Display for FaultSchedule {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        writeln!(out, "seed {}\nnodes {}", self.seed, self.nodes)?;
        for PlannedFault { at, lasts, fault } in &self.faults {
            write!(out, "at {at} for {lasts} ")?;
            match fault {
                ScheduledFault::Kill(node) => writeln!(out, "kill {node}")?,
                ScheduledFault::Pause(node) => writeln!(out, "still {node}")?,
                ScheduledFault::Slow(node) => writeln!(out, "slow {node}")?,
                ScheduledFault::StartTwin(node) => writeln!(out, "twin {node}")?,
                ScheduledFault::Partition(parts) => {
                    let parts: String = parts
                        .iter()
                        .map(|part| (b'a' + *part as u8) as char)
                        .collect();
                    writeln!(out, "part {parts}")?;
                }
                ScheduledFault::DropOneWay(from, to) => writeln!(out, "deaf {from} {to}")?,
                ScheduledFault::Lossy(link_faults) => {
                    let LinkFaults {
                        loss,
                        duplicate,
                        corrupt,
                        truncate,
                        delay,
                        ..
                    } = link_faults;
                    writeln!(
                        out,
                        "lossy {loss} {duplicate} {corrupt} {truncate} {}",
                        delay.as_millis()
                    )?;
                }
                ScheduledFault::Down => writeln!(out, "down")?,
                ScheduledFault::Hang => writeln!(out, "hang")?,
                ScheduledFault::Silent => writeln!(out, "silent")?,
                ScheduledFault::Sluggish => writeln!(out, "sluggish")?,
                ScheduledFault::Refuse(of_ten) => writeln!(out, "refuse {of_ten}")?,
                ScheduledFault::Older => writeln!(out, "older")?,
            }
        }
        Ok(())
    }
}

impl FromStr for FaultSchedule {
    type Err = String;

    #[expect(clippy::too_many_lines, reason = "one arm for each kind of line")]
    fn from_str(text: &str) -> Result<Self, String> {
        let mut schedule = FaultSchedule {
            seed: 0,
            nodes: 0,
            faults: Vec::new(),
        };
        for (number, line) in text.lines().enumerate() {
            let words: Vec<&str> = line
                .split('#')
                .next()
                .unwrap_or("")
                .split_whitespace()
                .collect();
            let wrong = || format!("line {}: {line:?} is no part of a schedule", number + 1);
            let figure = |n: usize| {
                words
                    .get(n)
                    .and_then(|w| w.parse::<u64>().ok())
                    .ok_or_else(wrong)
            };
            let node = |n: usize| figure(n).map(|figure| figure as usize);
            let part = |n: usize| {
                words
                    .get(n)
                    .and_then(|w| w.parse::<f64>().ok())
                    .ok_or_else(wrong)
            };
            let fault = match words[..] {
                [] => continue,
                ["seed", _] => {
                    schedule.seed = figure(1)?;
                    continue;
                }
                ["nodes", _] => {
                    schedule.nodes = node(1)?;
                    continue;
                }
                ["at", _, "for", _, ref what @ ..] => match what {
                    ["kill", _] => ScheduledFault::Kill(node(5)?),
                    ["still", _] => ScheduledFault::Pause(node(5)?),
                    ["slow", _] => ScheduledFault::Slow(node(5)?),
                    ["twin", _] => ScheduledFault::StartTwin(node(5)?),
                    ["part", parts] => ScheduledFault::Partition(
                        parts
                            .bytes()
                            .map(|b| usize::from(b.wrapping_sub(b'a')))
                            .collect(),
                    ),
                    ["deaf", _, _] => ScheduledFault::DropOneWay(node(5)?, node(6)?),
                    ["lossy", ..] if words.len() == 10 => ScheduledFault::Lossy(LinkFaults {
                        cut: false,
                        loss: part(5)?,
                        duplicate: part(6)?,
                        corrupt: part(7)?,
                        truncate: part(8)?,
                        delay: Duration::from_millis(figure(9)?),
                    }),
                    ["down"] => ScheduledFault::Down,
                    ["hang"] => ScheduledFault::Hang,
                    ["silent"] => ScheduledFault::Silent,
                    ["sluggish"] => ScheduledFault::Sluggish,
                    ["refuse", _] => ScheduledFault::Refuse(node(5)?),
                    ["older"] => ScheduledFault::Older,
                    _ => return Err(wrong()),
                },
                _ => return Err(wrong()),
            };
            schedule.faults.push(PlannedFault {
                at: figure(1)?,
                lasts: figure(3)?,
                fault,
            });
        }
        let nodes = schedule.nodes;
        let known = |planned: &PlannedFault| match &planned.fault {
            ScheduledFault::Kill(n)
            | ScheduledFault::Pause(n)
            | ScheduledFault::Slow(n)
            | ScheduledFault::StartTwin(n) => *n < nodes,
            ScheduledFault::DropOneWay(from, to) => *from < nodes && *to < nodes,
            ScheduledFault::Partition(parts) => {
                parts.len() == nodes && parts.iter().all(|part| *part < 26)
            }
            _ => true,
        };
        match schedule.faults.iter().find(|planned| !known(planned)) {
            Some(planned) => Err(format!("{:?} does not fit {nodes} nodes", planned.fault)),
            None if nodes == 0 => Err("nodes are missing".into()),
            None => Ok(schedule),
        }
    }
}

impl FaultSchedule {
    /// So many faults that overlap.
    pub fn draw(seed: u64, nodes: usize, faults: usize) -> FaultSchedule {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let from = rng.random_range(300..800);
        let mut drawn = Vec::new();
        for number in 0..faults as u64 {
            // A cut, a stop and a death are as long as a suspicion at the shortest, and several times that.
            let (at, lasts) = (
                from + number * rng.random_range(100..600),
                rng.random_range(300..3000),
            );
            let one = rng.random_range(0..nodes);
            let share = |rng: &mut ChaCha8Rng, most: f64| {
                (rng.random::<f64>() * most * 100.0).round() / 100.0
            };
            let fault = match rng.random_range(0..14) {
                0 | 1 => ScheduledFault::Kill(one),
                2 | 3 => ScheduledFault::Pause(one),
                4 => ScheduledFault::Slow(one),
                5 => ScheduledFault::StartTwin(one),
                6 | 7 => {
                    let parts = rng.random_range(2..=3);
                    ScheduledFault::Partition(
                        (0..nodes).map(|_| rng.random_range(0..parts)).collect(),
                    )
                }
                8 => ScheduledFault::DropOneWay(one, (one + rng.random_range(1..nodes)) % nodes),
                9 => {
                    let (loss, duplicate) = (share(&mut rng, 0.3), share(&mut rng, 0.3));
                    let (corrupt, truncate) = (share(&mut rng, 0.1), share(&mut rng, 0.1));
                    let delay = Duration::from_millis(rng.random_range(0..30));
                    ScheduledFault::Lossy(LinkFaults {
                        cut: false,
                        loss,
                        duplicate,
                        corrupt,
                        truncate,
                        delay,
                    })
                }
                10 => ScheduledFault::Refuse(rng.random_range(5..10)),
                11 => ScheduledFault::Older,
                _ => [
                    ScheduledFault::Down,
                    ScheduledFault::Hang,
                    ScheduledFault::Silent,
                    ScheduledFault::Sluggish,
                ][rng.random_range(0..4)]
                .clone(),
            };
            drawn.push(PlannedFault { at, lasts, fault });
        }
        FaultSchedule {
            seed,
            nodes,
            faults: drawn,
        }
    }

    /// What happens at which moment: which fault, and which step of it.
    fn transitions(&self) -> Vec<(u64, usize, Transition)> {
        let mut transitions = Vec::new();
        for (number, PlannedFault { at, lasts, fault }) in self.faults.iter().enumerate() {
            if let ScheduledFault::Slow(_) = fault {
                for start in (*at..at + lasts).step_by(100) {
                    transitions.extend([
                        (start, number, Transition::Begin),
                        (start + 90, number, Transition::End),
                    ]);
                }
            } else {
                transitions.extend([
                    (*at, number, Transition::Begin),
                    (at + lasts, number, Transition::End),
                ]);
            }
        }
        transitions.sort_by_key(|(at, number, _)| (*at, *number));
        transitions
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Transition {
    Begin,
    End,
}

const PERIOD: Duration = Duration::from_millis(100);
const CLIENTS_PER_NODE: usize = 6;
/// When the views agree again, and the clients stand, after the last fault.
const PERIODS_TO_AGREE: u32 = 40;
const TO_STAND: Duration = Duration::from_secs(12);

/// Plays a schedule over processes, of another build where one is named, and gives what was broken.
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
pub fn play(schedule: &FaultSchedule, program: Option<&PathBuf>) -> Vec<String> {
    let nodes = schedule.nodes;
    let (service, hosts) = (Discovery::start(), WarmingHosts::new(FleetOptions::TRIAL));
    let mut list = hosts.members(hosts.start(5, false));
    list.iter()
        .for_each(|member| service.change(member.clone()));
    let fleet_view = FleetView {
        network: FaultyNetwork::new(nodes + 1, schedule.seed),
        period: PERIOD,
        seeds: vec![0, 1],
    };
    let mut fleet = Fleet::new(nodes + 1, service.address, FleetOptions::TRIAL)
        .among(nodes)
        .with_view(fleet_view);
    if let Some(program) = program {
        fleet = fleet.of(program.clone());
    }
    fleet.start(&(0..nodes).collect::<Vec<_>>(), &list, 5);
    let mut returning_clients = ReturningClients::come(
        CLIENTS_PER_NODE * nodes,
        &fleet.front,
        Duration::from_millis(500),
        None,
        schedule.seed,
    );
    let mut broken = Vec::new();
    if fleet.agrees_within(PERIOD * PERIODS_TO_AGREE).is_none() {
        broken.push("the views did not agree at the start".into());
    }
    let from = Instant::now();
    // Two hosts start cold while it happens.
    let new = hosts.start(2, true);
    for member in hosts.members(new) {
        service.change(member.clone());
        list.push(member);
    }
    let (mut spoilt, mut stand) = (vec![false; schedule.faults.len()], vec![0; nodes]);
    for (at, number, step) in schedule.transitions() {
        thread::sleep((from + Duration::from_millis(at)).saturating_duration_since(Instant::now()));
        let begins = step == Transition::Begin;
        spoilt[number] = begins;
        match &schedule.faults[number].fault {
            ScheduledFault::Kill(node) if begins => fleet.kill(*node, Duration::from_millis(300)),
            ScheduledFault::Kill(node) => fleet.start(&[*node], &list, 7),
            ScheduledFault::Pause(node) | ScheduledFault::Slow(node) => {
                // Two faults may have the same one stand still.
                let slow = matches!(schedule.faults[number].fault, ScheduledFault::Slow(_));
                stand[*node] += if begins { 1 } else { -1 };
                match (stand[*node], begins) {
                    (1, true) if slow => fleet.pause(*node),
                    (1, true) => fleet.suspend(*node),
                    (0, false) if slow => fleet.resume(*node),
                    (0, false) => fleet.unsuspend(*node),
                    _ => {}
                }
            }
            ScheduledFault::StartTwin(node) if begins => fleet.start_twin(*node, &list, 7),
            ScheduledFault::StartTwin(_) => fleet.kill(nodes, Duration::ZERO),
            ScheduledFault::Down if begins => service.go_down(),
            ScheduledFault::Down => service.come_up(),
            ScheduledFault::Hang | ScheduledFault::Silent if begins => {
                service.hang(schedule.faults[number].fault == ScheduledFault::Silent);
            }
            ScheduledFault::Hang | ScheduledFault::Silent => service.stop_hanging(),
            ScheduledFault::Sluggish if begins => service.bound(5.0, Duration::from_secs(1)),
            ScheduledFault::Sluggish => service.unbound(),
            ScheduledFault::Refuse(of_ten) => service.turn_away(if begins { *of_ten } else { 0 }),
            ScheduledFault::Older if begins => drop(service.restart(3, &list[..3])),
            ScheduledFault::Older => list
                .iter()
                .for_each(|member| service.change(member.clone())),
            ScheduledFault::Partition(_)
            | ScheduledFault::DropOneWay(..)
            | ScheduledFault::Lossy(_) => {
                let now: Vec<&ScheduledFault> = schedule
                    .faults
                    .iter()
                    .zip(&spoilt)
                    .filter(|(_, on)| **on)
                    .map(|(f, _)| &f.fault)
                    .collect();
                fleet
                    .fleet_view()
                    .network
                    .set(|from, to| link_faults(&now, from, to));
            }
        }
    }
    // A process that another one superseded takes no part until it is started again, as operators would.
    let ended = Instant::now();
    for node in 0..nodes {
        if fleet
            .status(node)
            .is_some_and(|status| status["superseded"] == true)
        {
            fleet.kill(node, Duration::from_millis(300));
            fleet.start(&[node], &list, 7);
        }
    }
    if fleet.agrees_within(PERIOD * PERIODS_TO_AGREE).is_none() {
        broken.push(format!("the views do not agree: {:?}", fleet.held()));
    }
    while returning_clients.standing() < CLIENTS_PER_NODE * nodes {
        if ended.elapsed() > TO_STAND {
            broken.push(format!(
                "{} of {} clients stand",
                returning_clients.standing(),
                CLIENTS_PER_NODE * nodes
            ));
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    returning_clients.end();
    broken.extend(hosts.broken(Duration::from_millis(300)));
    broken.extend(fleet.broken(&returning_clients));
    broken
}

fn link_faults(now: &[&ScheduledFault], from: usize, to: usize) -> LinkFaults {
    let mut all = LinkFaults::default();
    for fault in now {
        match fault {
            ScheduledFault::Partition(parts) => all.cut |= parts.get(from) != parts.get(to),
            ScheduledFault::DropOneWay(speaker, deaf) => all.cut |= (*speaker, *deaf) == (from, to),
            ScheduledFault::Lossy(link_faults) => {
                all = LinkFaults {
                    cut: all.cut,
                    ..*link_faults
                }
            }
            _ => {}
        }
    }
    all
}

/// Leaves faults out one by one for as long as what remains still fails, in one of `tries` runs.
pub fn shrink(
    schedule: &FaultSchedule,
    tries: usize,
    fails: &mut impl FnMut(&FaultSchedule) -> bool,
) -> FaultSchedule {
    let mut small = schedule.clone();
    let mut place = 0;
    while place < small.faults.len() && small.faults.len() > 1 {
        let mut less = small.clone();
        less.faults.remove(place);
        if (0..tries).any(|_| fails(&less)) {
            small = less;
        } else {
            place += 1;
        }
    }
    small
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
