//! `reedferry-testkit`: measurements on stand-ins on loopback, one command each. Owns how figures are printed and the
//! exit code: 0 where all that a measurement promises held, 1 where something fell short, 2 for wrong usage.

use clap::{Args, Parser, Subcommand};
use reedferry_testkit::schedule::{self, FaultSchedule, ScheduleError};
use reedferry_testkit::two_tier::{self, Report};
use reedferry_testkit::{coldstart, fleet_view, html_chart, soak};
use serde_json::json;
use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Attachments a second at the most.
const MOST_A_SECOND: f64 = 1000.0;

/// Measures the program on stand-ins on loopback.
#[derive(Parser)]
struct CommandLine {
    #[command(subcommand)]
    what: Measurement,
}

#[derive(Subcommand)]
enum Measurement {
    /// Forwarders and planners beside as many single nodes.
    TwoTier(TwoTierOptions),
    /// Schedules of faults over processes, drawn by seeds or read from a file.
    Schedule(ScheduleOptions),
    /// Nodes that keep a view of their fleet, over ways that are made faulty.
    Fleet(FleetViewOptions),
    /// Processes under faults that overlap, judged by the rules.
    Soak(SoakOptions),
    /// Nodes that start at once and know nothing, beside a list service of some capacity.
    Coldstart(ColdStartOptions),
}

#[derive(Args)]
struct TwoTierOptions {
    /// What chance is drawn from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Single nodes, and forwarders; there are a few more hosts than that.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=64))]
    size: u64,
    /// The last line is one object.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct ScheduleOptions {
    /// What the first schedule is drawn from; each further one from the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Nodes.
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(3..=40))]
    size: u64,
    /// Schedules.
    #[arg(long, default_value_t = 5, value_parser = clap::value_parser!(u64).range(1..=1000))]
    count: u64,
    /// Faults that overlap in each.
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=10))]
    faults: u64,
    /// Plays this schedule instead.
    #[arg(long)]
    replay: Option<PathBuf>,
    /// Another build of the program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The last line is one object.
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

    /// Plays all schedules one after the other; one that fails is shrunk and printed.
    fn play(&self) -> Result<Report, ScheduleFileError> {
        let (mut figures, mut broken) = (serde_json::Map::new(), Vec::new());
        let schedules = self.schedules()?;
        figures.insert("schedules".into(), json!(schedules.len()));
        for schedule in schedules {
            let wrong = schedule::play(&schedule, self.program.as_ref());
            if wrong.is_empty() {
                continue;
            }
            eprint!("{schedule}");
            wrong.iter().for_each(|what| eprintln!("  {what}"));
            let mut fails =
                |less: &FaultSchedule| !schedule::play(less, self.program.as_ref()).is_empty();
            eprint!(
                "still fails:\n{}",
                schedule::shrink(&schedule, 3, &mut fails)
            );
            broken.extend(
                wrong
                    .into_iter()
                    .map(|what| format!("seed {}: {what}", schedule.seed)),
            );
        }
        Ok(Report { figures, broken })
    }
}

/// Why a file gives no schedule.
enum ScheduleFileError {
    Unreadable(PathBuf, io::Error),
    Malformed(PathBuf, ScheduleError),
}

impl fmt::Display for ScheduleFileError {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ScheduleFileError::Unreadable(path, why) => write!(out, "{}: {why}", path.display()),
            ScheduleFileError::Malformed(path, why) => write!(out, "{}: {why}", path.display()),
        }
    }
}

fn read_schedule(path: &Path) -> Result<FaultSchedule, ScheduleFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|why| ScheduleFileError::Unreadable(path.into(), why))?;
    text.parse()
        .map_err(|why| ScheduleFileError::Malformed(path.into(), why))
}

#[derive(Args)]
struct SoakOptions {
    /// What the first soak is drawn from; each further one from the next number.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Processes.
    #[arg(long, default_value_t = 24, value_parser = clap::value_parser!(u64).range(1..=100))]
    size: u64,
    /// Seeds that are played one after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    count: u64,
    /// For how many seconds faults come.
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Faults at a time.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=10))]
    overlap: u64,
    /// Clients a second.
    #[arg(long, default_value_t = 120.0)]
    rate: f64,
    /// Restarts by the terms of the users' pages, in place of faults that overlap: `--overlap` counts for nothing then.
    #[arg(long)]
    restarts: bool,
    /// The last line is one object.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct FleetViewOptions {
    /// What chance is drawn from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Nodes.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(3..=300))]
    size: u64,
    /// The unit of the fleet view's times, in milliseconds.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(50..=2000))]
    period: u64,
    /// The last line is one object.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct ColdStartOptions {
    /// What chance is drawn from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Nodes.
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=400))]
    size: u64,
    /// The last line is one object.
    #[arg(long)]
    json: bool,
    /// Calls that the list service works off in a second.
    #[arg(long, default_value_t = 40.0)]
    rate: f64,
    /// For how long calls may wait there before it turns them away, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    queue: u64,
    /// For how long it is down at first, in milliseconds.
    #[arg(long, default_value_t = 0)]
    down: u64,
    /// Another build of the program, played in the same run.
    #[arg(long)]
    before: Option<PathBuf>,
    /// A page of HTML with what was counted by second.
    #[arg(long)]
    plot: Option<PathBuf>,
}

/// A finished measurement, with what the JSON line says of it.
struct Run {
    name: &'static str,
    seed: u64,
    size: u64,
    print_json: bool,
    report: Report,
}

/// Ends the program for wrong usage.
fn usage_error(why: impl std::fmt::Display) -> ! {
    eprintln!("reedferry-testkit: {why}");
    std::process::exit(2);
}

fn run_two_tier(options: &TwoTierOptions) -> Run {
    let nodes = options.size as usize;
    // No more than leaves the ports of one machine to spare: connections that ended keep theirs for a minute,
    // and what then cannot connect is rejected.
    let rate = (40.0 * nodes as f64).min(MOST_A_SECOND);
    let size = two_tier::Size {
        nodes,
        hosts: nodes + 2,
        rate,
        span: Duration::from_secs(6),
    };
    let report = two_tier::measure(size, options.seed).unwrap_or_else(|why| {
        eprintln!("reedferry-testkit: {why}");
        Report {
            figures: Default::default(),
            broken: vec![why],
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
        report: options.play().unwrap_or_else(|why| usage_error(why)),
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
    if !options.rate.is_finite() || !(0.1..=MOST_A_SECOND).contains(&options.rate) {
        usage_error(format_args!(
            "--rate takes clients a second, 0.1 to {MOST_A_SECOND}"
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
        usage_error("--rate takes calls a second, over 0");
    }
    if options.before.as_ref().is_some_and(|path| !path.is_file()) {
        usage_error("--before names no file");
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
    let run = match CommandLine::parse().what {
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
    for what in &broken {
        println!("fell short: {what}");
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
