//! The entry point of the program: parses the command line, registers the signals, and runs the selected role. Without arguments,
//! as the platform starts it, the program is a standalone node that is configured by the file that `GW_CONFIG` names.

mod connections;
mod context;
mod discovery;
mod error;
mod operators;
mod peers;
mod ready;
mod roles;
mod stalls;
mod turn;

use clap::{Args, Parser, Subcommand};
use error::FatalError;
use operators::operator_config::OperatorConfig;
use reedferry::{Nanos, MILLI};
use reedferry_runtime::signals::{SIGHUP, SIGTERM};
use reedferry_runtime::Signal;
use roles::standalone::ConfigSource;
use std::path::{Path, PathBuf};

/// The interval of a role's sweep over its connections.
const SWEEP_INTERVAL: Nanos = 100 * MILLI;
/// How long a process that was asked to stop may run before it is killed, in addition to the longest timeout of a request, of which
/// at most 3 s count.
const SHUTDOWN_MARGIN: Nanos = 700 * MILLI;

/// Balances long-lived connections. Without a command, runs a standalone node that is configured by the file that GW_CONFIG names.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a standalone node, which assigns requests to hosts itself.
    Node(ConfigArgs),
    /// Runs a forwarder, which carries connections and has planners assign requests to hosts.
    Forward(ConfigArgs),
    /// Runs a planner, which assigns requests to hosts for forwarders.
    Plan(ConfigArgs),
    /// Checks whether an operator's file is valid, and prints the role that it is for.
    Check {
        /// The operator's file, in TOML.
        file: PathBuf,
    },
}

#[derive(Args)]
struct ConfigArgs {
    /// The operator's file, in TOML.
    #[arg(long)]
    config: PathBuf,
}

/// The signals that the program handles.
pub struct Signals {
    /// The signal that asks the program to stop (SIGTERM).
    pub stop: Signal,
    /// The signal that asks the program to reload its configuration (SIGHUP).
    pub reload: Signal,
}

fn main() {
    if let Err(error) = run() {
        eprintln!("reedferry: {error}");
        std::process::exit(1);
    }
}

fn run() -> Result<(), FatalError> {
    // Signals are registered first. Otherwise a signal to reload that arrives during the start would end the process.
    let signals = Signals {
        stop: Signal::register(SIGTERM).map_err(|error| error.to_string())?,
        reload: Signal::register(SIGHUP).map_err(|error| error.to_string())?,
    };
    match CommandLine::parse().command {
        None => roles::standalone::run(ConfigSource::Environment, signals),
        Some(Command::Node(args)) => {
            roles::standalone::run(ConfigSource::OperatorFile(&args.config), signals)
        }
        Some(Command::Forward(args)) => Ok(roles::forward::run(&args.config, signals)?),
        Some(Command::Plan(args)) => Ok(roles::plan::run(&args.config, signals)?),
        Some(Command::Check { file }) => check(&file),
    }
}

/// Checks an operator's file, and prints the role that it is for.
fn check(file: &Path) -> Result<(), FatalError> {
    let operator_config = OperatorConfig::read(file)?;
    println!(
        "{}: valid for `reedferry {}` with the node config {}",
        file.display(),
        operator_config.role.command(),
        operator_config.node_config_path.display()
    );
    Ok(())
}
