//! The program: its command line, and which role is started. Without arguments it is a standalone node, configured by the file
//! that `GW_CONFIG` names, as the platform starts it. This module owns what all roles do first. It must never serve anybody
//! itself.

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
/// How much longer than the longest deadline of a request a process that was asked to stop has until it is killed.
const SHUTDOWN_MARGIN: Nanos = 700 * MILLI;

/// Balances long-lived connections. Without a command: a node, told by the file that GW_CONFIG names.
#[derive(Parser)]
#[command(version)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// A node that decides for itself.
    Node(File),
    /// A forwarder: carries connections and has planners decide.
    Forward(File),
    /// A planner: decides for forwarders.
    Plan(File),
    /// Says whether an operator's file is in order, and for which role it is.
    Check {
        /// The operator's file, in TOML.
        file: PathBuf,
    },
}

#[derive(Args)]
struct File {
    /// The operator's file, in TOML.
    #[arg(long)]
    config: PathBuf,
}

/// The signals that the program handles.
pub struct Signals {
    /// Asks it to stop.
    pub stop: Signal,
    /// Asks it to reload its configuration.
    pub reload: Signal,
}

fn main() {
    if let Err(error) = run() {
        eprintln!("reedferry: {error}");
        std::process::exit(1);
    }
}

fn run() -> Result<(), FatalError> {
    // First of all. Without this, a signal to reload that comes during the start would end the process.
    let signals = Signals {
        stop: Signal::register(SIGTERM).map_err(|error| error.to_string())?,
        reload: Signal::register(SIGHUP).map_err(|error| error.to_string())?,
    };
    match CommandLine::parse().command {
        None => roles::standalone::run(ConfigSource::Environment, signals),
        Some(Command::Node(file)) => {
            roles::standalone::run(ConfigSource::OperatorFile(&file.config), signals)
        }
        Some(Command::Forward(file)) => Ok(roles::forward::run(&file.config, signals)?),
        Some(Command::Plan(file)) => Ok(roles::plan::run(&file.config, signals)?),
        Some(Command::Check { file }) => check(&file),
    }
}

/// Says whether an operator's file is valid, and for which role it is.
fn check(file: &Path) -> Result<(), FatalError> {
    let operator_config = OperatorConfig::read(file)?;
    println!(
        "{}: in order, for `reedferry {}`, with the papers {}",
        file.display(),
        operator_config.role.command(),
        operator_config.node_config_path.display()
    );
    Ok(())
}
