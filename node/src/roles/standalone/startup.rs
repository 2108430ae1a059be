//! The start of a standalone node: opens its sockets and applies the state that it inherits from a predecessor.

use super::config_source::{ConfigSource, LoadedConfig};
use super::Node;
use crate::connections::probe::Probes;
use crate::connections::Connections;
use crate::context::{self, token, Context};
use crate::discovery::client::DiscoveryClient;
use crate::discovery::hosts::ListSource;
use crate::discovery::list::EndpointList;
use crate::error::FatalError;
use crate::operators::api::OperatorApi;
use crate::operators::node_config::NodeConfig;
use crate::peers::Fleet;
use crate::peers::RequestReplication;
use crate::peers::{GossipConfig, StaticPeers};
use crate::ready::Ready;
use crate::roles::hot_restart::{HotRestart, TransferredState};
use crate::{Signals, SWEEP_INTERVAL};
use reedferry::{Balancer, BalancerSettings, Event};
use reedferry_runtime::log::LogBacklog;
use reedferry_runtime::{Clock, Socket};
use reedferry_settings::reload;
use slog::info;

/// The parts of a node that communicate with other nodes; each is `None` if it is not configured.
struct PeerLinks {
    peers: Option<StaticPeers>,
    fleet: Option<Fleet>,
    replication: Option<RequestReplication>,
}

impl<'a> Node<'a> {
    /// Opens all sockets, applies the state of a predecessor if there is one, and requests the endpoint list.
    pub(super) fn start(
        config_source: ConfigSource<'a>,
        config: LoadedConfig,
        signals: Signals,
        clock: &Clock,
    ) -> Result<(Self, LogBacklog), FatalError> {
        let LoadedConfig {
            mut node_config,
            gossip_config,
        } = config;
        let (mut context, backlog) = Context::open(&node_config, clock, &signals)?;
        let mut hot_restart = HotRestart::open(&mut context, &node_config)?;
        let inherited = hot_restart.take_over(&mut context, clock);
        let inherited =
            inherited.map(|state| keep_referenced_classes(&mut context, &mut node_config, state));
        let operator_api = node_config
            .ops
            .map(|address| OperatorApi::open(&mut context, &address))
            .transpose()?;
        let links = PeerLinks::open(&mut context, gossip_config.as_ref(), &node_config)?;
        let mut actions = Vec::new();
        let balancer = Balancer::new(
            node_config.balancer_settings.clone(),
            node_config.seed,
            context.now,
            &mut actions,
        );
        let mut revision = context.load_known_endpoints(&node_config)?;
        if let Some(state) = inherited {
            revision = apply_inherited_state(&mut context, &node_config, state);
        }
        log_start(&context, &node_config, &hot_restart, revision);
        let discovery = DiscoveryClient::new(
            node_config.discovery,
            revision,
            &node_config.balancer_settings,
            node_config.node_settings.drain_grace,
            &context,
        );
        let mut node = Node {
            config_source,
            node_config,
            gossip_config,
            context,
            balancer,
            actions,
            trace: std::env::var_os("REEDFERRY_TRACE").is_some(),
            connections: Connections::default(),
            discovery,
            probes: Probes::default(),
            peers: links.peers,
            fleet: links.fleet,
            replication: links.replication,
            hot_restart,
            pending_shutdown: None,
            operator_api,
            stop_signal: signals.stop,
            reload_signal: signals.reload,
            reload_pending: false,
            ready: Ready::default(),
        };
        if node.replication.is_some() {
            node.connections.enable_answer_receipts();
        }
        node.start_discovery();
        Ok((node, backlog))
    }

    /// Requests the endpoint list and sets the timer of the first sweep.
    fn start_discovery(&mut self) {
        // Requests the endpoint list now instead of at the first timer, because the drain grace for changes in a pushed list
        // counts from the start of the process. Otherwise clients would be sent to draining hosts.
        self.discovery.sweep(&mut self.context);
        let context = &mut self.context;
        context
            .poller
            .set_timer(context.now + SWEEP_INTERVAL, token(context::SWEEP), 0);
    }
}

impl PeerLinks {
    fn open(
        context: &mut Context,
        gossip_config: Option<&GossipConfig>,
        node_config: &NodeConfig,
    ) -> Result<PeerLinks, FatalError> {
        let fleet_config = gossip_config.and_then(|c| c.fleet.as_ref());
        let fleet = fleet_config
            .map(|fleet_config| Fleet::open(context, fleet_config, node_config))
            .transpose()?;
        let replication_config = fleet_config.and_then(|config| config.replication.as_ref());
        let replication = fleet
            .as_ref()
            .zip(replication_config)
            .map(|(fleet, config)| {
                let BalancerSettings {
                    node_index,
                    node_count,
                    ..
                } = node_config.balancer_settings;
                RequestReplication::new(
                    context,
                    config,
                    node_index,
                    node_count,
                    fleet.incarnation(),
                )
            });
        let peers = gossip_config
            .filter(|gossip_config| gossip_config.fleet.is_none())
            .map(|gossip_config| StaticPeers::open(context, gossip_config))
            .transpose()?;
        Ok(PeerLinks {
            peers,
            fleet,
            replication,
        })
    }
}

/// Adds the request classes that the predecessor's connections refer to, and returns the state mapped to this node's order of
/// classes.
fn keep_referenced_classes(
    context: &mut Context,
    node_config: &mut NodeConfig,
    mut state: TransferredState,
) -> TransferredState {
    reload::keep_classes(
        &mut node_config.balancer_settings,
        &mut node_config.node_settings,
        std::mem::take(&mut state.referenced_classes),
    );
    context.settings = node_config.node_settings.clone();
    context.classes = node_config.balancer_settings.classes.clone();
    state.with_classes(&node_config.node_settings.classes)
}

/// Applies the predecessor's hosts and statistics, and returns the revision from which the endpoint list is watched. Returns
/// `None` if the predecessor had no revision or used another list service.
fn apply_inherited_state(
    context: &mut Context,
    node_config: &NodeConfig,
    state: TransferredState,
) -> Option<u64> {
    // The predecessor's endpoint list is newer than the one in this process's configuration.
    let list = EndpointList {
        revision: state.revision.unwrap_or(0),
        complete: true,
        members: state.members,
    };
    let event = context
        .hosts
        .apply_list(context.now, list, ListSource::Cached, &context.log);
    let inherited = Event::StateInherited(Box::new(state.inherited));
    context.events.extend([event, inherited]);
    state
        .revision
        .filter(|_| state.discovery == node_config.discovery)
}

fn log_start(
    context: &Context,
    node_config: &NodeConfig,
    hot_restart: &HotRestart,
    revision: Option<u64>,
) {
    // Logs the bound address, because the system assigns the port if the configured one is 0.
    let listen = hot_restart
        .listener()
        .and_then(Socket::local_address)
        .unwrap_or(node_config.listen);
    info!(context.log, "started"; "listen" => %listen, "hosts" => context.hosts.count(),
        "revision" => revision, "sockets" => node_config.sockets,
        "memory_mb" => node_config.memory >> 20);
}
