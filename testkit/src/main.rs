//! `reedferry-testkit`: runs measurements against simulated peers on loopback, one command each. This module prints the
//! figures and sets the exit code: 0 if all bounds and rules hold, 1 if any of them does not, 2 for wrong usage.

use clap::{Args, Parser, Subcommand};
use reedferry_testkit::schedule::{self, FaultSchedule, ScheduleError};
use reedferry_testkit::two_tier::{self, Report};
use reedferry_testkit::{coldstart, fleet_view, html_chart, soak};
use serde_json::json;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The highest rate at which new clients may connect, per second.
const MAX_CLIENTS_PER_SECOND: f64 = 1000.0;

/// Measures the program against simulated peers on loopback.
#[derive(Parser)]
struct CommandLine {
    #[command(subcommand)]
    measurement: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Compares forwarders and planners with as many single nodes.
    TwoTier(TwoTierOptions),
    /// Plays fault schedules against processes; the schedules are drawn from seeds or read from a file.
    Schedule(ScheduleOptions),
    /// Measures the membership protocol of nodes on a faulty network.
    Fleet(FleetViewOptions),
    /// Injects overlapping faults into processes and checks the rules.
    Soak(SoakOptions),
    /// Starts all nodes at once without a known endpoint list, with a list service of limited capacity.
    Coldstart(ColdStartOptions),
}

#[derive(Args)]
struct TwoTierOptions {
    /// The seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of single nodes, and of forwarders. The number of hosts is slightly higher.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=64))]
    size: u64,
    /// Prints the results as one JSON object on the last line.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct ScheduleOptions {
    /// The seed of the first schedule; each further schedule is drawn from the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of nodes.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(3..=40))]
    size: u64,
    /// The number of schedules.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    count: u64,
    /// The number of overlapping faults in each schedule.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=10))]
    faults: u64,
    /// Plays the schedule in this file instead of drawn ones.
    #[arg(long)]
    replay: Option<PathBuf>,
    /// Runs this build of the program instead of the current one.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Prints the results as one JSON object on the last line.
    #[arg(long)]
    json: bool,
}

impl ScheduleOptions {
    fn schedules(&self) -> Result<Vec<FaultSchedule>, ScheduleFileError> {
        match &self.replay {
            Some(path) => Ok(vec![read_schedule(path)?]),
            None => Ok((0..self.count)
                .map(|n| {
                    FaultSchedule::draw(self.seed + n, self.size as usize, self.faults as usize)
                })
                .collect()),
        }
    }

    /// Plays all schedules one after the other. Prints each schedule that fails, and shrinks it.
    fn play(&self) -> Result<Report, ScheduleFileError> {
        let (mut figures, mut broken) = (serde_json::Map::new(), Vec::new());
        let schedules = self.schedules()?;
        figures.insert("schedules".into(), json!(schedules.len()));
        for schedule in schedules {
            let violations = schedule::play(&schedule, self.program.as_ref());
            if violations.is_empty() {
                continue;
            }
            eprint!("{schedule}");
            violations
                .iter()
                .for_each(|violation| eprintln!("  {violation}"));
            let mut fails = |candidate: &FaultSchedule| {
                !schedule::play(candidate, self.program.as_ref()).is_empty()
            };
            eprint!(
                "smallest schedule that still fails:\n{}",
                schedule::shrink(&schedule, 3, &mut fails)
            );
            broken.extend(
                violations
                    .into_iter()
                    .map(|violation| format!("seed {}: {violation}", schedule.seed)),
            );
        }
        Ok(Report { figures, broken })
    }
}

/// Why a schedule could not be read from a file.
enum ScheduleFileError {
    Unreadable(PathBuf, io::Error),
    Malformed(PathBuf, ScheduleError),
}

impl fmt::Display for ScheduleFileError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScheduleFileError::Unreadable(path, error) => {
                write!(out, "{}: {error}", path.display())
            }
            ScheduleFileError::Malformed(path, error) => write!(out, "{}: {error}", path.display()),
        }
    }
}

fn read_schedule(path: &Path) -> Result<FaultSchedule, ScheduleFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|error| ScheduleFileError::Unreadable(path.into(), error))?;
    text.parse()
        .map_err(|error| ScheduleFileError::Malformed(path.into(), error))
}

#[derive(Args)]
struct SoakOptions {
    /// The seed of the first soak; each further soak uses the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of processes.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(1..=100))]
    size: u64,
    /// The number of soaks, run one after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    count: u64,
    /// How long faults are injected, in seconds.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// The number of independent streams of faults, whose faults overlap.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=10))]
    overlap: u64,
    /// New clients per second.
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// Restarts processes as the user documentation allows, instead of injecting overlapping faults; `--overlap` has no
    /// effect then.
    #[arg(long)]
    restarts: bool,
    /// Prints the results as one JSON object on the last line.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct FleetViewOptions {
    /// The seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of nodes.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=300))]
    size: u64,
    /// The period of the membership protocol, in milliseconds.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(50..=2000))]
    period: u64,
    /// Prints the results as one JSON object on the last line.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct ColdStartOptions {
    /// The seed of all random draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of nodes.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=400))]
    size: u64,
    /// Prints the results as one JSON object on the last line.
    #[arg(long)]
    json: bool,
    /// The number of calls that the list service answers per second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// How long a call may wait at the list service before it is rejected, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    queue: u64,
    /// How long the list service is down at the start, in milliseconds.
    #[arg(long, default_value_t = 0)]
    down: u64,
    /// Another build of the program, which is measured in the same run for comparison.
    #[arg(long)]
    before: Option<PathBuf>,
    /// Writes the counts of each second to this file as an HTML page.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// A finished measurement with the values that are printed.
struct Run {
    name: &'static str,
    seed: u64,
    size: u64,
    print_json: bool,
    report: Report,
}

/// Prints an error and ends the program with the exit code for wrong usage.
fn usage_error(error: impl std::fmt::Display) -> ! {
    eprintln!("reedferry-testkit: {error}");
    std::process::exit(2);
}

fn run_two_tier(options: &TwoTierOptions) -> Run {
    let nodes = options.size as usize;
    // The rate is limited so that the machine does not run out of local ports: a closed connection occupies its port
    // for a minute, and requests that cannot connect for lack of a port are rejected.
    let rate = (40.0 * nodes as f64).min(MAX_CLIENTS_PER_SECOND);
    let size = two_tier::Size {
        nodes,
        hosts: nodes + 2,
        rate,
        span: Duration::from_secs(6),
    };
    let report = two_tier::measure(size, options.seed).unwrap_or_else(|error| {
        eprintln!("reedferry-testkit: {error}");
        Report {
            figures: Default::default(),
            broken: vec![error],
        }
    });
    Run {
        name: "two-tier",
        seed: options.seed,
        size: options.size,
        print_json: options.json,
        report,
    }
}

fn run_schedule(options: &ScheduleOptions) -> Run {
    Run {
        name: "schedule",
        seed: options.seed,
        size: options.size,
        print_json: options.json,
        report: options.play().unwrap_or_else(|error| usage_error(error)),
    }
}

fn run_fleet(options: &FleetViewOptions) -> Run {
    let period = Duration::from_millis(options.period);
    Run {
        name: "fleet",
        seed: options.seed,
        size: options.size,
        print_json: options.json,
        report: fleet_view::measure(options.size as usize, period, options.seed),
    }
}

fn run_soak(options: &SoakOptions) -> Run {
    if !options.rate.is_finite() || !(0.1..=MAX_CLIENTS_PER_SECOND).contains(&options.rate) {
        usage_error(format_args!(
            "--rate must be 0.1 to {MAX_CLIENTS_PER_SECOND} clients per second"
        ));
    }
    let size = soak::SoakSize {
        processes: options.size as usize,
        hosts: 8,
        span: Duration::from_secs(options.seconds),
        rate: options.rate,
        overlap: options.overlap as usize,
    };
    Run {
        name: "soak",
        seed: options.seed,
        size: options.size,
        print_json: options.json,
        report: if options.restarts {
            soak::restarts::measure(options.seed, options.count, &size)
        } else {
            soak::measure(options.seed, options.count, &size)
        },
    }
}

fn run_coldstart(options: ColdStartOptions) -> Run {
    if !options.rate.is_finite() || options.rate <= 0.0 {
        usage_error("--rate must be over 0 calls per second");
    }
    if options.before.as_ref().is_some_and(|path| !path.is_file()) {
        usage_error("--before must name an existing file");
    }
    let size = coldstart::ColdStartSize {
        nodes: options.size as usize,
        hosts: 8,
        rate: options.rate,
        queue: Duration::from_millis(options.queue),
        down: Duration::from_millis(options.down),
        before: options.before,
    };
    let (report, rows) = coldstart::measure(&size, options.seed);
    if let Some(path) = options.plot {
        let title = format!(
            "A cold start of {} nodes, seed {}",
            options.size, options.seed
        );
        if let Err(error) = std::fs::write(&path, html_chart::page(&title, &rows)) {
            usage_error(format_args!("{}: {error}", path.display()));
        }
    }
    Run {
        name: "coldstart",
        seed: options.seed,
        size: options.size,
        print_json: options.json,
        report,
    }
}

fn main() {
    let run = match CommandLine::parse().measurement {
        Measurement::TwoTier(options) => run_two_tier(&options),
        Measurement::Schedule(options) => run_schedule(&options),
        Measurement::Fleet(options) => run_fleet(&options),
        Measurement::Soak(options) => run_soak(&options),
        Measurement::Coldstart(options) => run_coldstart(options),
    };
    let Report { figures, broken } = run.report;
    for (name, value) in &figures {
        println!("{name:36} {value}");
    }
    for violation in &broken {
        println!("fell short: {violation}");
    }
    let ok = broken.is_empty();
    if run.print_json {
        println!(
            "{}",
            json!({"name": run.name, "seed": run.seed, "size": run.size, "ok": ok, "broken": broken,
                "figures": figures})
        );
    }
    std::process::exit(i32::from(!ok));
}
