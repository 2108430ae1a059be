//! A soak test: a few dozen processes of the program on loopback, under troubles that overlap in time, judged by the rules
//! from the outside and by the violations that the processes count themselves. A seed draws what happens; the same seed
//! draws the same again.

mod clients;
mod judge;
mod site;
pub mod troubles;

use crate::two_tier::Found;
use clients::Load;
use judge::Judge;
use serde_json::{json, Map};
use site::Site;
use std::thread;
use std::time::{Duration, Instant};
use troubles::Schedule;

/// How large a soak is, and what it runs.
#[derive(Clone, Debug)]
pub struct Size {
    pub processes: usize,
    pub hosts: usize,
    /// For how long troubles come.
    pub span: Duration,
    /// Clients a second, over all processes.
    pub rate: f64,
    /// Troubles at a time.
    pub overlap: usize,
}

/// How long the processes have to serve again once all troubles are over.
const RECOVERY: Duration = Duration::from_secs(8);

/// Plays one seed, and gives what broke a rule.
pub fn play(seed: u64, size: &Size) -> Found {
    let schedule = Schedule::draw(seed, size);
    play_schedule(&schedule, size)
}

/// Plays this schedule.
pub fn play_schedule(schedule: &Schedule, size: &Size) -> Found {
    let mut site = Site::start(schedule.seed, size);
    let mut load = Load::start(schedule.seed, size, site.seats(), &site.referee);
    let from = Instant::now();
    for moment in schedule.moments() {
        thread::sleep((from + moment.at).saturating_duration_since(Instant::now()));
        site.carry_out(moment);
    }
    load.end();
    site.lift_all();
    let mut broken = site.recovers(RECOVERY);
    broken.extend(site.violations());
    broken.extend(site.stops());
    let judge = Judge {
        lived: load.lived(),
        reached: site.referee.reached(),
        seats: site.seats(),
        notes: &site.notes,
    };
    broken.extend(judge.broken());
    let mut figures = Map::new();
    figures.insert("clients".into(), json!(judge.lived.len()));
    figures.insert("served".into(), json!(judge.served()));
    figures.insert("attempts".into(), json!(judge.reached.len()));
    figures.insert("troubles".into(), json!(schedule.planned.len()));
    figures.insert("calls spoilt".into(), json!(site.spoilt()));
    Found { figures, broken }
}

/// Plays so many seeds one after the other; what failed is printed with its schedule.
pub fn measure(first: u64, count: u64, size: &Size) -> Found {
    let (mut figures, mut broken) = (Map::new(), Vec::new());
    for seed in first..first + count {
        let found = play(seed, size);
        eprintln!(
            "seed {seed}: {} broken, {}",
            found.broken.len(),
            json!(found.figures)
        );
        for what in &found.broken {
            eprintln!("  {what}");
            broken.push(format!("seed {seed}: {what}"));
        }
        if !found.broken.is_empty() {
            eprint!("{}", Schedule::draw(seed, size));
        }
        for (name, value) in found.figures {
            let sum = figures
                .get(&name)
                .and_then(|v: &serde_json::Value| v.as_u64())
                .unwrap_or(0);
            figures.insert(name, json!(sum + value.as_u64().unwrap_or(0)));
        }
    }
    figures.insert("seeds".into(), json!(count));
    Found { figures, broken }
}
