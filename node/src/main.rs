//! The program: its command line, and which role is started. Without arguments it is a node, told by the
//! file that `GW_CONFIG` names, as the platform starts it. It owns what all roles do first. It must never
//! serve anybody itself.

mod connections;
mod context;
mod discovery;
mod operators;
mod peers;
mod ready;
mod roles;
mod stalls;
mod turn;

use clap::{Args, Parser, Subcommand};
use reedferry::{Nanos, MILLI};
use reedferry_runtime::signals::{SIGHUP, SIGTERM};
use reedferry_runtime::Signal;
use std::path::PathBuf;

/// How often a role looks over its connections.
const SWEEP: Nanos = 100 * MILLI;
/// How much longer than the longest expiry a program that was asked to stop has until it is killed.
const BEYOND_EXPIRY: Nanos = 700 * MILLI;

/// Balances long-lived connections. Without a command: a node, told by the file that GW_CONFIG names.
#[derive(Parser)]
#[command(version)]
struct Line {
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

/// The signals that a program is told by.
pub struct AtStart {
    pub stop: Signal,
    pub reread: Signal,
}

fn main() {
    if let Err(why) = run() {
        eprintln!("reedferry: {why}");
        std::process::exit(1);
    }
}

fn run() -> Result<(), String> {
    // First of all. Guards: a node ended by a call to read its papers that comes while it starts.
    let start = AtStart {
        stop: Signal::register(SIGTERM).map_err(|e| e.to_string())?,
        reread: Signal::register(SIGHUP).map_err(|e| e.to_string())?,
    };
    match Line::parse().command {
        None => roles::alone::run(roles::alone::Told::Environment, start),
        Some(Command::Node(file)) => {
            roles::alone::run(roles::alone::Told::Operator(&file.config), start)
        }
        Some(Command::Forward(file)) => roles::forward::run(&file.config, start),
        Some(Command::Plan(file)) => roles::plan::run(&file.config, start),
        Some(Command::Check { file }) => {
            let operator_config = operators::operator_config::OperatorConfig::read(&file)?;
            let (role, node_config) = (
                operator_config.role.word(),
                operator_config.node_config_path.display(),
            );
            println!(
                "{}: in order, for `reedferry {role}`, with the papers {node_config}",
                file.display()
            );
            Ok(())
        }
    }
}
