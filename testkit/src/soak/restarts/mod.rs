//! Soaks of restarts within the documented limits. Clients use their connections until the process is killed, which
//! happens at the earliest moment that the protocol permits. Signals come in series, hosts hang through whole
//! shutdowns, and idle clients use up the descriptors of a process.

mod checks;
mod crowd;
mod lateness;
mod schedule;

pub use crowd::Crowd;
pub use schedule::{PlannedEvent, RestartEvent, RestartSchedule, Termination, KILL_DELAY};

use super::clients::ClientLoad;
use super::process_group::ProcessGroup;
use super::soak_checker::SoakChecker;
use super::{add_figures, print_logs, SoakSize};
use crate::two_tier::Report;
use checks::{count_open_at_stops, reload_violations};
use lateness::LatenessMonitor;
use serde_json::{json, Map, Value};
use std::thread;
use std::time::{Duration, Instant};

/// How long the processes may take to serve again after all events have ended.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(8);
/// A soak has covered too little if fewer than one request in this many was served.
const MAX_REQUESTS_PER_SERVED: u64 = 3;
/// A soak has covered too little if fewer connections than this were open per stop.
const MIN_OPEN_CONNECTIONS_PER_STOP: u64 = 3;
/// How much earlier than the earliest permitted moment a kill may have been measured and still count: the resolution
/// of the timer.
const KILL_TOLERANCE: Duration = Duration::from_millis(1);

/// Draws a schedule from `seed` and plays it.
pub fn play(seed: u64, size: &SoakSize) -> Report {
    play_schedule(&RestartSchedule::draw(seed, size), size)
}

/// Plays a schedule and returns the counts and the violations.
pub fn play_schedule(schedule: &RestartSchedule, size: &SoakSize) -> Report {
    let profile = schedule.profile();
    let lateness = LatenessMonitor::start();
    let mut process_group = ProcessGroup::start(schedule.seed, size, profile);
    let mut load = ClientLoad::start(schedule.seed, size, process_group.slots(), profile);
    let start = Instant::now();
    for planned in &schedule.planned {
        thread::sleep((start + planned.at).saturating_duration_since(Instant::now()));
        process_group.play(&planned.event);
    }
    process_group.end_restarts();
    load.end();
    let mut broken = process_group.recovery_failures(RECOVERY_TIMEOUT);
    broken.extend(process_group.violations());
    broken.extend(process_group.stop_all());
    let checker = SoakChecker {
        observations: load.observations(),
        attempts: process_group.checker.reached(),
        slots: process_group.slots(),
        fault_history: &process_group.fault_history,
        services: process_group.discovery_history(),
        deadlines: profile.deadlines,
    };
    broken.extend(checker.violations());
    broken.extend(reload_violations(&checker));
    let figures = figures(&process_group, &checker, schedule);
    broken.extend(coverage_failure(&figures));
    if !broken.is_empty() {
        broken.push(format!(
            "note: threads of the test kit ran up to {:?} late",
            lateness.greatest()
        ));
    }
    print_logs(&process_group, &broken, start);
    Report { figures, broken }
}

/// Counts what was played and what was checked.
fn figures(
    process_group: &ProcessGroup,
    checker: &SoakChecker<'_>,
    schedule: &RestartSchedule,
) -> Map<String, Value> {
    let kill_times = process_group.kill_times();
    let due = schedule.profile().longest_deadline() + KILL_DELAY;
    let on_time = |time: &&Duration| **time + KILL_TOLERANCE >= due;
    let count = |wanted: fn(&RestartEvent) -> bool| {
        let events = schedule.planned.iter();
        events.filter(|planned| wanted(&planned.event)).count()
    };
    let (open, stops) = count_open_at_stops(checker);
    let mut figures = Map::new();
    let mut figure = |name: &str, value: u64| _ = figures.insert(name.into(), json!(value));
    figure("stops", stops);
    figure("open at stops", open);
    figure("killed", kill_times.iter().filter(on_time).count() as u64);
    figure("ended in order", process_group.ended_in_order());
    figure(
        "reloads",
        count(|event| matches!(event, RestartEvent::Reload(_))) as u64,
    );
    figure(
        "crowds",
        count(|event| matches!(event, RestartEvent::Crowd(_, true))) as u64,
    );
    figure("requests", checker.observations.len() as u64);
    figure("served", checker.served() as u64);
    figure("attempts", checker.attempts.len() as u64);
    figures
}

/// Returns a failure if a soak covered too few stops, open connections or served requests to be meaningful.
fn coverage_failure(figures: &Map<String, Value>) -> Option<String> {
    let count = |name: &str| figures.get(name).and_then(Value::as_u64).unwrap_or(0);
    let is_insufficient = count("stops") == 0
        || count("open at stops") < MIN_OPEN_CONNECTIONS_PER_STOP * count("stops")
        || count("served") * MAX_REQUESTS_PER_SERVED < count("requests");
    is_insufficient.then(|| format!("covered too little: {}", json!(figures)))
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
            eprint!("{}", RestartSchedule::draw(seed, size));
        }
        add_figures(&mut figures, found.figures);
    }
    figures.insert("seeds".into(), json!(count));
    Report { figures, broken }
}
