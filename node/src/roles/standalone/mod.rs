//! The standalone role: a node with its own balancer. This module owns the node's state and the order of a turn of its event
//! loop: collect events from everything that is ready, pass them to the balancer as one batch with one clock reading, carry
//! out the balancer's actions. It makes no balancing decisions, and while it runs it blocks only in the poller.

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

/// The state of a running standalone node.
struct Node<'a> {
    config_source: ConfigSource<'a>,
    node_config: NodeConfig,
    /// The peers that this node was started with; `None` if it has none.
    gossip_config: Option<GossipConfig>,
    context: Context,
    balancer: Balancer,
    /// The balancer's actions that are not carried out yet.
    actions: Vec<Action>,
    /// Whether every event and action of the balancer is logged.
    trace: bool,
    connections: Connections,
    discovery: DiscoveryClient,
    probes: Probes,
    /// The peers for gossip that the operator's file lists; `None` if there are none or the node belongs to a fleet.
    peers: Option<StaticPeers>,
    fleet: Option<Fleet>,
    replication: Option<RequestReplication>,
    hot_restart: HotRestart,
    /// The event that makes the balancer migrate the clients of a node that stops. It is held back while a successor can adopt
    /// them.
    pending_shutdown: Option<Event>,
    operator_api: Option<OperatorApi>,
    stop_signal: Signal,
    reload_signal: Signal,
    /// Whether a reload is to be retried at the next sweep because of a transient read error.
    reload_pending: bool,
    ready: Ready,
}

/// Runs a standalone node until it is asked to stop and has no connections left.
///
/// # Errors
/// Returns why the node could not start, or why it could not continue.
pub fn run(config_source: ConfigSource, signals: Signals) -> Result<(), FatalError> {
    let config = config_files::retry_at_start(START_TIMEOUT, || config_source.load())?;
    let clock = Clock::start();
    let (mut node, backlog) = Node::start(config_source, config, signals, &clock)?;
    loop {
        node.decide();
        node.replicate();
        node.exchange_id_notices();
        backlog.drain();
        if node.has_stopped() {
            node.leave_fleet();
            info!(node.context.log, "stopped");
            backlog.drain();
            return Ok(());
        }
        node.collect_events(&clock).map_err(FatalError::Poll)?;
    }
}
