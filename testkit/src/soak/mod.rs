//! Soak tests: a few dozen processes of the program run on loopback under overlapping faults. They are checked by
//! what clients and hosts observe and by the violations that the processes count. The same seed draws the same
//! faults.

mod clients;
mod notification;
mod process_group;
mod process_slot;
mod profile;
pub mod restarts;
mod soak_checker;
pub mod soak_faults;

use crate::two_tier::Report;
use clients::ClientLoad;
use process_group::ProcessGroup;
use profile::SoakProfile;
use serde_json::{json, Map, Value};
use soak_checker::SoakChecker;
use soak_faults::SoakSchedule;
use std::thread;
use std::time::{Duration, Instant};

/// The size and the load of a soak.
#[derive(Clone, Debug)]
pub struct SoakSize {
    /// The number of processes of the program.
    pub processes: usize,
    /// The number of hosts that serve requests.
    pub hosts: usize,
    /// The time from the start within which faults begin.
    pub span: Duration,
    /// The number of clients per second, over all processes.
    pub rate: f64,
    /// The number of independent streams of faults, whose faults overlap.
    pub overlap: usize,
}

/// How long the processes may take to serve again after all faults have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);

/// Draws a schedule from `seed` and plays it.
pub fn play(seed: u64, size: &SoakSize) -> Report {
    let schedule = SoakSchedule::draw(seed, size);
    play_schedule(&schedule, size)
}

/// Plays a schedule and returns the counts and the violations.
pub fn play_schedule(schedule: &SoakSchedule, size: &SoakSize) -> Report {
    let profile = SoakProfile::default();
    let mut process_group = ProcessGroup::start(schedule.seed, size, profile);
    let mut load = ClientLoad::start(schedule.seed, size, process_group.slots(), profile);
    let start = Instant::now();
    for transition in schedule.transitions() {
        thread::sleep((start + transition.at).saturating_duration_since(Instant::now()));
        process_group.apply(transition);
    }
    load.end();
    process_group.clear_all_faults();
    let mut broken = process_group.recovery_failures(RECOVERY_TIMEOUT);
    broken.extend(process_group.violations());
    broken.extend(process_group.stop_all());
    let soak_checker = SoakChecker {
        observations: load.observations(),
        attempts: process_group.checker.reached(),
        slots: process_group.slots(),
        fault_history: &process_group.fault_history,
        services: process_group.discovery_history(),
        deadlines: profile.deadlines,
    };
    broken.extend(soak_checker.violations());
    print_logs(&process_group, &broken, start);
    let mut figures = Map::new();
    figures.insert("clients".into(), json!(soak_checker.observations.len()));
    figures.insert("served".into(), json!(soak_checker.served()));
    figures.insert("attempts".into(), json!(soak_checker.attempts.len()));
    figures.insert("troubles".into(), json!(schedule.planned.len()));
    figures.insert(
        "calls spoilt".into(),
        json!(process_group.faulty_syscalls()),
    );
    Report { figures, broken }
}

/// Prints the logs of the slots that a violation names, or of all slots if `SOAK_VERBOSE` is set.
fn print_logs(process_group: &ProcessGroup, broken: &[String], start: Instant) {
    for slot in 0..process_group.slots().len() {
        let names = [format!("slot {slot}:"), format!("slot {slot},")];
        let is_named = |what: &String| names.iter().any(|name| what.contains(name));
        if !is_verbose() && !broken.iter().any(is_named) {
            continue;
        }
        eprintln!("log of slot {slot}, in milliseconds from the start:");
        for (at, line) in process_group.log(slot) {
            let millis = at.saturating_duration_since(start).as_millis();
            eprintln!("  {millis:6} {line}");
        }
    }
}

/// Returns whether the environment asks to print each fault and all logs.
fn is_verbose() -> bool {
    std::env::var_os("SOAK_VERBOSE").is_some()
}

/// Plays `count` consecutive seeds one after the other. Prints violations together with the schedule of their seed.
pub fn measure(first: u64, count: u64, size: &SoakSize) -> Report {
    let (mut figures, mut broken) = (Map::new(), Vec::new());
    for seed in first..first + count {
        let found = play(seed, size);
        eprintln!(
            "seed {seed}: {} violations, {}",
            found.broken.len(),
            json!(found.figures)
        );
        for what in &found.broken {
            eprintln!("  {what}");
            broken.push(format!("seed {seed}: {what}"));
        }
        if !found.broken.is_empty() {
            eprint!("{}", SoakSchedule::draw(seed, size));
        }
        add_figures(&mut figures, found.figures);
    }
    figures.insert("seeds".into(), json!(count));
    Report { figures, broken }
}

/// Adds the counts of one seed to the sums over all seeds.
fn add_figures(sums: &mut Map<String, Value>, counts: Map<String, Value>) {
    for (name, count) in counts {
        let sum = sums.get(&name).and_then(Value::as_u64).unwrap_or(0);
        sums.insert(name, json!(sum + count.as_u64().unwrap_or(0)));
    }
}
