//! The operator's file: the role in which the program runs, and the options of that role. This module defines the keys of the
//! file, their units and ranges, and which of them exclude each other. It must never accept a file with any error, neither at
//! the start nor on a reload. Each error is one line that names the line of the file and what is allowed there.

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
    /// The time for which a planner's decisions are valid. It is shorter than the drain grace.
    pub lease: Nanos,
    /// The time within which a planner must decide.
    pub decision_timeout: Nanos,
    /// The maximum number of requests that await a planner's decision.
    pub max_awaiting_decision: usize,
    /// The time for which a preferred planner must have been healthy before it is followed again.
    pub failback_delay: Nanos,
}

/// The options of a planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannerOptions {
    /// The name of this planner in the list of planners.
    pub name: String,
    /// The index of this planner in the list of planners, from 0.
    pub planner_index: u32,
    /// The address at which forwarders connect.
    pub listen: SocketAddr,
    /// The time for which a forwarder may send nothing before its requests are dropped.
    pub silence_timeout: Nanos,
    /// The time for which a zone without followers waits for forwarders to report their open connections.
    pub settle_time: Nanos,
    /// The maximum number of requests of one forwarder.
    pub max_requests_per_forwarder: usize,
}

/// The role of the program, with its options.
#[derive(Debug, PartialEq)]
pub enum Role {
    /// A standalone node, with the peers that it exchanges gossip with; `None` if gossip is disabled.
    Node(Option<GossipConfig>),
    /// A forwarder.
    Forward(ForwarderOptions),
    /// A planner.
    Plan(PlannerOptions),
}

impl Role {
    /// Returns the command that starts this role.
    pub fn command(&self) -> &'static str {
        match self {
            Role::Node(_) => "node",
            Role::Forward(_) => "forward",
            Role::Plan(_) => "plan",
        }
    }
}

/// A decoded and checked operator's file, with the node configuration that it names.
pub struct OperatorConfig {
    /// The node configuration that the file names.
    pub node_config: NodeConfig,
    /// The path of the node configuration.
    pub node_config_path: PathBuf,
    /// The role that the file configures.
    pub role: Role,
    /// All planners of the installation; empty for a standalone node.
    pub planners: Vec<PlannerAddress>,
}

impl OperatorConfig {
    /// Reads a file and the node configuration that it names.
    ///
    /// # Errors
    /// Returns an error of one line with the file, the line and the problem, or only the file if it cannot be read.
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
        let first_line = error.message().lines().next().unwrap_or("invalid TOML");
        source.error(
            &error.span().unwrap_or(0..0),
            Problem::Syntax(first_line.to_string()),
        )
    })
}

/// Checks that the file has at most one of the sections `[node]`, `[forward]` and `[plan]`.
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

/// Returns the role of the file with its options. A file without a section of a role is that of a node.
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

/// Returns the gossip configuration of a node, or `None` if gossip is disabled or the role is another one.
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

/// Checks that the file of a forwarder or planner does not enable gossip, which these roles do not use.
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

/// Returns the place at which an error about peers is reported: the peer that it names, or else the first peer, the `[node]`
/// section or the key of the node configuration's path.
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
