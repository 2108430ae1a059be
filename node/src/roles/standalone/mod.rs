//! The standalone role: a node that decides for itself. This module owns the node's state and the order in which a turn of
//! its event loop goes: gather what is ready, hand it to the balancer in one go with one reading of the clock, carry out
//! the balancer's actions. It must never decide anything that the balancer decides, nor wait for anything but the poller.

mod config_source;
mod event_loop;
mod operator_calls;
mod reload;
mod startup;

pub use config_source::{ConfigSource, LoadError};

use crate::connections::probe::Probes;
use crate::connections::Connections;
use crate::context::{Context, START_TIMEOUT};
use crate::discovery::client::DiscoveryClient;
use crate::error::FatalError;
use crate::operators::api::OperatorApi;
use crate::operators::config_files;
use crate::operators::node_config::NodeConfig;
use crate::peers::Fleet;
use crate::peers::RequestReplication;
use crate::peers::{GossipConfig, StaticPeers};
use crate::ready::Ready;
use crate::roles::hot_restart::HotRestart;
use crate::Signals;
use reedferry::{Action, Balancer, Event};
use reedferry_runtime::{Clock, Signal};
use slog::info;

/// A standalone node while it runs.
struct Node<'a> {
    config_source: ConfigSource<'a>,
    node_config: NodeConfig,
    gossip_config: Option<GossipConfig>,
    context: Context,
    balancer: Balancer,
    /// What the balancer has ordered and is not carried out yet.
    actions: Vec<Action>,
    /// Whether every event and action of the balancer is logged.
    trace: bool,
    connections: Connections,
    discovery: DiscoveryClient,
    probes: Probes,
    peers: Option<StaticPeers>,
    fleet: Option<Fleet>,
    replication: Option<RequestReplication>,
    hot_restart: HotRestart,
    /// The event with which the balancer moves the clients of a node that stops, held back while a successor takes them.
    pending_shutdown: Option<Event>,
    operator_api: Option<OperatorApi>,
    stop_signal: Signal,
    reload_signal: Signal,
    /// The configuration could not be read for a moment when it was to be reloaded.
    reload_pending: bool,
    ready: Ready,
}

/// Runs a standalone node until it is asked to stop.
///
/// # Errors
/// Why it could not start, or not go on.
pub fn run(config_source: ConfigSource, signals: Signals) -> Result<(), FatalError> {
    let config = config_files::retry_at_start(START_TIMEOUT, || config_source.load())?;
    let clock = Clock::start();
    let (mut node, backlog) = Node::start(config_source, config, signals, &clock)?;
    loop {
        node.decide();
        node.replicate();
        backlog.drain();
        if node.has_stopped() {
            node.leave_fleet();
            info!(node.context.log, "stopped");
            backlog.drain();
            return Ok(());
        }
        node.gather(&clock).map_err(FatalError::Poll)?;
    }
}
