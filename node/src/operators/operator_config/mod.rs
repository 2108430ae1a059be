//! The operator's file: in which role the program runs, and the options of that role. This module owns the form of the file, its
//! units, and what contradicts what. It must never let a program start, or go on with, a file that is not valid throughout:
//! whatever is wrong is one line that names the line and what would be right.

mod control_plane;
mod error;
mod fleet;
mod peers;
mod sections;
mod source;

pub use error::{OperatorConfigError, PeerListError};
pub use peers::gossip_peers;

use crate::operators::config_files;
use crate::operators::node_config::NodeConfig;
use crate::peers::GossipConfig;
use error::Problem;
use reedferry::Nanos;
use reedferry_control_plane::PlannerAddress;
use sections::FileSections;
use source::{SourceFile, Span};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use toml::Spanned;

/// The options of a forwarder.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwarderOptions {
    /// How long a planner's decisions hold. Shorter than the drain grace.
    pub lease: Nanos,
    /// How long a planner may take to decide.
    pub decision_timeout: Nanos,
    /// The most requests that await a planner's decision.
    pub max_awaiting_decision: usize,
    /// How long a preferred planner must have been healthy before it is followed again.
    pub failback_delay: Nanos,
}

/// The options of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerOptions {
    /// Its name among the planners.
    pub name: String,
    /// Its index among the planners.
    pub planner_index: u32,
    /// Where forwarders connect.
    pub listen: SocketAddr,
    /// How long a forwarder may be silent.
    pub silence_timeout: Nanos,
    /// How long a zone without followers waits for others to report their connections.
    pub settle_time: Nanos,
    /// The most requests of one forwarder.
    pub max_requests_per_forwarder: usize,
}

/// The role that the program runs in.
#[derive(Debug, PartialEq)]
pub enum Role {
    /// A standalone node, with the peers that it exchanges messages with.
    Node(Option<GossipConfig>),
    /// A forwarder.
    Forward(ForwarderOptions),
    /// A planner.
    Plan(PlannerOptions),
}

impl Role {
    /// The command that starts it.
    pub fn command(&self) -> &'static str {
        match self {
            Role::Node(_) => "node",
            Role::Forward(_) => "forward",
            Role::Plan(_) => "plan",
        }
    }
}

/// An operator's file that is valid throughout.
pub struct OperatorConfig {
    /// The node configuration that it names.
    pub node_config: NodeConfig,
    /// Where that stands.
    pub node_config_path: PathBuf,
    /// The role that the file is for.
    pub role: Role,
    /// All planners of the installation.
    pub planners: Vec<PlannerAddress>,
}

impl OperatorConfig {
    /// Reads a file and the node configuration that it names.
    ///
    /// # Errors
    /// One line with the file, the line and what would be right there.
    pub fn read(path: &Path) -> Result<OperatorConfig, OperatorConfigError> {
        let text = String::from_utf8(config_files::read(path)?)
            .map_err(|_| OperatorConfigError::NotUtf8(path.to_path_buf()))?;
        OperatorConfig::decode(path, &text)
    }

    fn decode(path: &Path, text: &str) -> Result<OperatorConfig, OperatorConfigError> {
        let source = SourceFile { path, text };
        let sections = parse(&source)?;
        let node_config_path = path
            .parent()
            .unwrap_or(Path::new("."))
            .join(sections.node_config.get_ref());
        let node_config = NodeConfig::read_at(&node_config_path)
            .map_err(|error| source.error(&sections.node_config.span(), error))?;
        let planners = control_plane::planners(&source, &sections.planners)?;
        check_single_role(&source, &sections)?;
        let role = role(&source, &sections, &node_config, &planners)?;
        Ok(OperatorConfig {
            node_config,
            node_config_path,
            role,
            planners,
        })
    }
}

fn parse(source: &SourceFile) -> Result<FileSections, OperatorConfigError> {
    toml::from_str(source.text).map_err(|error| {
        let first_line = error.message().lines().next().unwrap_or("cannot be read");
        source.error(
            &error.span().unwrap_or(0..0),
            Problem::Syntax(first_line.to_string()),
        )
    })
}

fn check_single_role(
    source: &SourceFile,
    sections: &FileSections,
) -> Result<(), OperatorConfigError> {
    let mut spans: Vec<Span> = [
        sections.node.as_ref().map(Spanned::span),
        sections.forward.as_ref().map(Spanned::span),
        sections.plan.as_ref().map(Spanned::span),
    ]
    .into_iter()
    .flatten()
    .collect();
    spans.sort_by_key(|span| span.start);
    match &spans[..] {
        [_, second, ..] => Err(source.error(second, Problem::MultipleRoles)),
        _ => Ok(()),
    }
}

/// The role of the file, with its options.
fn role(
    source: &SourceFile,
    sections: &FileSections,
    node_config: &NodeConfig,
    planners: &[PlannerAddress],
) -> Result<Role, OperatorConfigError> {
    let gossip_config = gossip_config(source, sections, node_config)?;
    if let Some(section) = &sections.forward {
        let span = section.span();
        if planners.is_empty() {
            return Err(source.error(&span, Problem::NoPlanners));
        }
        let drain_grace = node_config.node_settings.drain_grace;
        let options =
            control_plane::forwarder_options(source, &span, section.get_ref(), drain_grace)?;
        return Ok(Role::Forward(options));
    }
    if let Some(section) = &sections.plan {
        let options = control_plane::planner_options(source, section.get_ref(), planners)?;
        return Ok(Role::Plan(options));
    }
    Ok(Role::Node(gossip_config))
}

/// The peers of a node, which no other role has.
fn gossip_config(
    source: &SourceFile,
    sections: &FileSections,
    node_config: &NodeConfig,
) -> Result<Option<GossipConfig>, OperatorConfigError> {
    let gossip_address = sections
        .node
        .as_ref()
        .and_then(|section| section.get_ref().gossip_address.as_ref())
        .map(|address| source.address("messages", address))
        .transpose()?;
    let peers: Vec<SocketAddr> = sections
        .peers
        .iter()
        .map(|peer| source.address("address", &peer.get_ref().address))
        .collect::<Result<_, _>>()?;
    let is_node = sections.forward.is_none() && sections.plan.is_none();
    let fleet = sections
        .fleet
        .as_ref()
        .map(|section| fleet::fleet_config(source, section, node_config))
        .transpose()?;
    if let Some(section) = &sections.fleet {
        if !is_node || gossip_address.is_some() || !peers.is_empty() {
            return Err(source.error(&section.span(), Problem::FleetConflict));
        }
    }
    if !is_node {
        check_no_gossip(source, sections, node_config)?;
        return Ok(None);
    }
    if let Some(planner) = sections.planners.first() {
        return Err(source.error(&planner.span(), Problem::PlannersWithoutRole));
    }
    if let Some(fleet) = fleet {
        return Ok(Some(GossipConfig {
            listen: fleet.listen,
            peers,
            fleet: Some(fleet),
        }));
    }
    gossip_peers(node_config, gossip_address, &peers)
        .map_err(|error| source.error(&peer_error_span(sections, &error), error))
}

/// Forwarders and planners exchange no messages with peers.
fn check_no_gossip(
    source: &SourceFile,
    sections: &FileSections,
    node_config: &NodeConfig,
) -> Result<(), OperatorConfigError> {
    if let Some(peer) = sections.peers.first() {
        return Err(source.error(&peer.span(), Problem::PeersOfOtherRole));
    }
    if node_config.balancer_settings.gossip_enabled {
        return Err(source.error(&sections.node_config.span(), Problem::GossipOfOtherRole));
    }
    Ok(())
}

/// Where an error about peers is reported: at the peer, or else at the first peer, the node's section or the node configuration.
fn peer_error_span(sections: &FileSections, error: &PeerListError) -> Span {
    let index = match error {
        PeerListError::Peer { index, .. } => *index,
        _ => 0,
    };
    if let Some(peer) = sections.peers.get(index) {
        return peer.span();
    }
    match &sections.node {
        Some(section) => section.span(),
        None => sections.node_config.span(),
    }
}

#[cfg(test)]
mod keys_tests;
#[cfg(test)]
mod tests;
