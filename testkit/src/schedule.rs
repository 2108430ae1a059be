//! Schedules of faults: what happens to a fleet, when and for how long, drawn by a seed, written as a small text file,
//! played over processes and made smaller by leaving faults out. It owns their form and their play. It must never
//! judge anything but by what hosts and clients saw, and by whether the views agree at the end.

use crate::fleet::{Fleet, FleetOptions, Guests, WarmingHosts};
use crate::view::View;
use crate::ways::{Spoil, Ways};
use crate::Discovery;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::path::PathBuf;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Killed, and started again from nothing under the same name and address when it is over.
    Kill(usize),
    Still(usize),
    /// Stopped and continued ten times a second, to a tenth.
    Slow(usize),
    /// Started a second time under the same name, and ended when it is over.
    Twin(usize),
    /// Parts that do not hear each other, one letter a node.
    Part(Vec<usize>),
    /// The second does not hear the first.
    Deaf(usize, usize),
    Lossy(Spoil),
    /// The list service is down, takes calls and answers none, begins answers and goes silent, works off five calls a
    /// second, turns away so many of ten, or starts anew with an older list.
    Down,
    Hang,
    Silent,
    Sluggish,
    Refuse(usize),
    Older,
}

/// A fault with when it begins and how long it lasts, in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    pub at: u64,
    pub lasts: u64,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Schedule {
    pub seed: u64,
    pub nodes: usize,
    pub faults: Vec<Planned>,
}

impl fmt::Display for Schedule {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        writeln!(out, "seed {}\nnodes {}", self.seed, self.nodes)?;
        for Planned { at, lasts, fault } in &self.faults {
            write!(out, "at {at} for {lasts} ")?;
            match fault {
                Fault::Kill(node) => writeln!(out, "kill {node}")?,
                Fault::Still(node) => writeln!(out, "still {node}")?,
                Fault::Slow(node) => writeln!(out, "slow {node}")?,
                Fault::Twin(node) => writeln!(out, "twin {node}")?,
                Fault::Part(parts) => {
                    let parts: String = parts
                        .iter()
                        .map(|part| (b'a' + *part as u8) as char)
                        .collect();
                    writeln!(out, "part {parts}")?;
                }
                Fault::Deaf(from, to) => writeln!(out, "deaf {from} {to}")?,
                Fault::Lossy(spoil) => {
                    let Spoil {
                        loss,
                        double,
                        garble,
                        short,
                        delay,
                        ..
                    } = spoil;
                    writeln!(
                        out,
                        "lossy {loss} {double} {garble} {short} {}",
                        delay.as_millis()
                    )?;
                }
                Fault::Down => writeln!(out, "down")?,
                Fault::Hang => writeln!(out, "hang")?,
                Fault::Silent => writeln!(out, "silent")?,
                Fault::Sluggish => writeln!(out, "sluggish")?,
                Fault::Refuse(of_ten) => writeln!(out, "refuse {of_ten}")?,
                Fault::Older => writeln!(out, "older")?,
            }
        }
        Ok(())
    }
}

impl FromStr for Schedule {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let mut schedule = Schedule {
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
                    ["kill", _] => Fault::Kill(node(5)?),
                    ["still", _] => Fault::Still(node(5)?),
                    ["slow", _] => Fault::Slow(node(5)?),
                    ["twin", _] => Fault::Twin(node(5)?),
                    ["part", parts] => Fault::Part(
                        parts
                            .bytes()
                            .map(|b| usize::from(b.wrapping_sub(b'a')))
                            .collect(),
                    ),
                    ["deaf", _, _] => Fault::Deaf(node(5)?, node(6)?),
                    ["lossy", ..] if words.len() == 10 => Fault::Lossy(Spoil {
                        cut: false,
                        loss: part(5)?,
                        double: part(6)?,
                        garble: part(7)?,
                        short: part(8)?,
                        delay: Duration::from_millis(figure(9)?),
                    }),
                    ["down"] => Fault::Down,
                    ["hang"] => Fault::Hang,
                    ["silent"] => Fault::Silent,
                    ["sluggish"] => Fault::Sluggish,
                    ["refuse", _] => Fault::Refuse(node(5)?),
                    ["older"] => Fault::Older,
                    _ => return Err(wrong()),
                },
                _ => return Err(wrong()),
            };
            schedule.faults.push(Planned {
                at: figure(1)?,
                lasts: figure(3)?,
                fault,
            });
        }
        let nodes = schedule.nodes;
        let known = |planned: &Planned| match &planned.fault {
            Fault::Kill(n) | Fault::Still(n) | Fault::Slow(n) | Fault::Twin(n) => *n < nodes,
            Fault::Deaf(from, to) => *from < nodes && *to < nodes,
            Fault::Part(parts) => parts.len() == nodes && parts.iter().all(|part| *part < 26),
            _ => true,
        };
        match schedule.faults.iter().find(|planned| !known(planned)) {
            Some(planned) => Err(format!("{:?} does not fit {nodes} nodes", planned.fault)),
            None if nodes == 0 => Err("nodes are missing".into()),
            None => Ok(schedule),
        }
    }
}

impl Schedule {
    /// So many faults that overlap.
    pub fn draw(seed: u64, nodes: usize, faults: usize) -> Schedule {
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
                0 | 1 => Fault::Kill(one),
                2 | 3 => Fault::Still(one),
                4 => Fault::Slow(one),
                5 => Fault::Twin(one),
                6 | 7 => {
                    let parts = rng.random_range(2..=3);
                    Fault::Part((0..nodes).map(|_| rng.random_range(0..parts)).collect())
                }
                8 => Fault::Deaf(one, (one + rng.random_range(1..nodes)) % nodes),
                9 => {
                    let (loss, double) = (share(&mut rng, 0.3), share(&mut rng, 0.3));
                    let (garble, short) = (share(&mut rng, 0.1), share(&mut rng, 0.1));
                    let delay = Duration::from_millis(rng.random_range(0..30));
                    Fault::Lossy(Spoil {
                        cut: false,
                        loss,
                        double,
                        garble,
                        short,
                        delay,
                    })
                }
                10 => Fault::Refuse(rng.random_range(5..10)),
                11 => Fault::Older,
                _ => [Fault::Down, Fault::Hang, Fault::Silent, Fault::Sluggish]
                    [rng.random_range(0..4)]
                .clone(),
            };
            drawn.push(Planned { at, lasts, fault });
        }
        Schedule {
            seed,
            nodes,
            faults: drawn,
        }
    }

    /// What happens at which moment: which fault, and which step of it.
    fn moments(&self) -> Vec<(u64, usize, Step)> {
        let mut moments = Vec::new();
        for (number, Planned { at, lasts, fault }) in self.faults.iter().enumerate() {
            if let Fault::Slow(_) = fault {
                for start in (*at..at + lasts).step_by(100) {
                    moments.extend([
                        (start, number, Step::Begin),
                        (start + 90, number, Step::End),
                    ]);
                }
            } else {
                moments.extend([(*at, number, Step::Begin), (at + lasts, number, Step::End)]);
            }
        }
        moments.sort_by_key(|(at, number, _)| (*at, *number));
        moments
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Begin,
    End,
}

const PERIOD: Duration = Duration::from_millis(100);
const GUESTS: usize = 6;
/// When the views agree again, and the clients stand, after the last fault.
const PERIODS_TO_AGREE: u32 = 40;
const TO_STAND: Duration = Duration::from_secs(12);

/// Plays a schedule over processes, of another build where one is named, and gives what was broken.
pub fn play(schedule: &Schedule, program: Option<&PathBuf>) -> Vec<String> {
    let nodes = schedule.nodes;
    let (service, hosts) = (Discovery::start(), WarmingHosts::new(FleetOptions::TRIAL));
    let mut list = hosts.members(hosts.start(5, false));
    list.iter()
        .for_each(|member| service.change(member.clone()));
    let view = View {
        ways: Ways::new(nodes + 1, schedule.seed),
        period: PERIOD,
        seeds: vec![0, 1],
    };
    let mut fleet = Fleet::new(nodes + 1, service.address, FleetOptions::TRIAL)
        .among(nodes)
        .with_view(view);
    if let Some(program) = program {
        fleet = fleet.of(program.clone());
    }
    fleet.start(&(0..nodes).collect::<Vec<_>>(), &list, 5);
    let mut guests = Guests::come(
        GUESTS * nodes,
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
    for (at, number, step) in schedule.moments() {
        thread::sleep((from + Duration::from_millis(at)).saturating_duration_since(Instant::now()));
        let begins = step == Step::Begin;
        spoilt[number] = begins;
        match &schedule.faults[number].fault {
            Fault::Kill(node) if begins => fleet.kill(*node, Duration::from_millis(300)),
            Fault::Kill(node) => fleet.start(&[*node], &list, 7),
            Fault::Still(node) | Fault::Slow(node) => {
                // Two faults may have the same one stand still.
                let slow = matches!(schedule.faults[number].fault, Fault::Slow(_));
                stand[*node] += if begins { 1 } else { -1 };
                match (stand[*node], begins) {
                    (1, true) if slow => fleet.pause(*node),
                    (1, true) => fleet.stand_still(*node),
                    (0, false) if slow => fleet.resume(*node),
                    (0, false) => fleet.go_on(*node),
                    _ => {}
                }
            }
            Fault::Twin(node) if begins => fleet.start_twin(*node, &list, 7),
            Fault::Twin(_) => fleet.kill(nodes, Duration::ZERO),
            Fault::Down if begins => service.go_down(),
            Fault::Down => service.come_up(),
            Fault::Hang | Fault::Silent if begins => {
                service.hang(schedule.faults[number].fault == Fault::Silent);
            }
            Fault::Hang | Fault::Silent => service.stop_hanging(),
            Fault::Sluggish if begins => service.bound(5.0, Duration::from_secs(1)),
            Fault::Sluggish => service.unbound(),
            Fault::Refuse(of_ten) => service.turn_away(if begins { *of_ten } else { 0 }),
            Fault::Older if begins => drop(service.restart(3, &list[..3])),
            Fault::Older => list
                .iter()
                .for_each(|member| service.change(member.clone())),
            Fault::Part(_) | Fault::Deaf(..) | Fault::Lossy(_) => {
                let now: Vec<&Fault> = schedule
                    .faults
                    .iter()
                    .zip(&spoilt)
                    .filter(|(_, on)| **on)
                    .map(|(f, _)| &f.fault)
                    .collect();
                fleet.view().ways.set(|from, to| spoil(&now, from, to));
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
    while guests.standing() < GUESTS * nodes {
        if ended.elapsed() > TO_STAND {
            broken.push(format!(
                "{} of {} clients stand",
                guests.standing(),
                GUESTS * nodes
            ));
            break;
        }
        thread::sleep(Duration::from_millis(20));
    }
    guests.end();
    broken.extend(hosts.broken(Duration::from_millis(300)));
    broken.extend(fleet.broken(&guests));
    broken
}

fn spoil(now: &[&Fault], from: usize, to: usize) -> Spoil {
    let mut all = Spoil::default();
    for fault in now {
        match fault {
            Fault::Part(parts) => all.cut |= parts.get(from) != parts.get(to),
            Fault::Deaf(speaker, deaf) => all.cut |= (*speaker, *deaf) == (from, to),
            Fault::Lossy(spoil) => {
                all = Spoil {
                    cut: all.cut,
                    ..*spoil
                }
            }
            _ => {}
        }
    }
    all
}

/// Leaves faults out one by one for as long as what remains still fails, in one of `tries` runs.
pub fn shrink(
    schedule: &Schedule,
    tries: usize,
    fails: &mut impl FnMut(&Schedule) -> bool,
) -> Schedule {
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
mod tests {
    use super::*;

    /// Guards: a failing day that can't be played again from its file.
    #[test]
    fn a_schedule_is_read_back_as_it_was_drawn_and_nonsense_is_not() {
        for seed in 0..300 {
            let drawn = Schedule::draw(seed, 8, 3);
            assert_eq!(drawn.to_string().parse(), Ok(drawn));
        }
        assert_ne!(Schedule::draw(1, 8, 2), Schedule::draw(2, 8, 2));
        for (text, why) in [
            ("nodes 3\nat 1 for 2 kill 3", "does not fit"),
            ("nodes 3\nat 1 for 2 part ab", "does not fit"),
            ("nodes 3\nat 1 for 2 burn 1", "line 2"),
            ("nodes 3\nat x for 2 kill 1", "line 2"),
            ("at 1 for 2 down", "nodes"),
        ] {
            let wrong = text.parse::<Schedule>().unwrap_err();
            assert!(wrong.contains(why), "{wrong}");
        }
    }

    #[test]
    fn a_failing_schedule_is_made_as_small_as_it_still_fails() {
        let drawn = Schedule::draw(5, 8, 6);
        let (first, last) = (drawn.faults[1].clone(), drawn.faults[4].clone());
        let mut fails = |s: &Schedule| s.faults.contains(&first) && s.faults.contains(&last);
        assert_eq!(
            shrink(&drawn, 2, &mut fails).faults,
            [first.clone(), last.clone()]
        );
    }
}
