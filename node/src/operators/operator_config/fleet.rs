//! Checks the section `[fleet]`: the address at which members reach this node, the seeds, and the replication of requests.

use super::error::{OperatorConfigError, Problem};
use super::sections::{FleetSection, ReplicationSection};
use super::source::SourceFile;
use crate::operators::node_config::NodeConfig;
use crate::peers::FleetConfig;
use crate::peers::ReplicationConfig;
use reedferry::{MILLI, SECOND};
use std::net::SocketAddr;
use toml::Spanned;

/// Returns the configuration of the fleet of which a node is a member.
pub(super) fn fleet_config(
    source: &SourceFile,
    section: &Spanned<FleetSection>,
    node_config: &NodeConfig,
) -> Result<FleetConfig, OperatorConfigError> {
    let (span, section) = (section.span(), section.get_ref());
    if !node_config.balancer_settings.gossip_enabled {
        return Err(source.error(&span, Problem::FleetWithoutGossip));
    }
    let address = source.address("address", &section.address)?;
    let listen = match &section.listen {
        Some(listen) => source.address("listen", listen)?,
        None => address,
    };
    if !is_reachable(address) || listen.is_ipv4() != address.is_ipv4() {
        return Err(source.error(
            &section.address.span(),
            Problem::UnreachableAddress(address),
        ));
    }
    let seeds = seeds(source, section, address)?;
    let name = section.name.clone().unwrap_or_default();
    let max_length = reedferry_membership::MAX_NAME_BYTES;
    if name.len() > max_length || node_config.name.len() > max_length || node_config.name.is_empty()
    {
        return Err(source.error(&span, Problem::NameLength));
    }
    Ok(FleetConfig {
        address,
        listen,
        name,
        seeds,
        period: source.duration(
            "period",
            section.period.as_ref(),
            SECOND,
            50 * MILLI..=60 * SECOND,
        )?,
        max_members: source.count("most", section.max_members.as_ref(), 1024, 1 << 16)?,
        replication: section
            .replication
            .as_ref()
            .map(|section| replication_config(source, section))
            .transpose()?,
    })
}

/// Returns whether an address has a port and a host.
fn is_reachable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}

/// Returns the addresses of the seeds, which must be reachable, unique and of the same family as this node's address.
fn seeds(
    source: &SourceFile,
    section: &FleetSection,
    own_address: SocketAddr,
) -> Result<Vec<SocketAddr>, OperatorConfigError> {
    let mut seeds = Vec::new();
    for seed in &section.seeds {
        let address = source.address("seed", seed)?;
        if !is_reachable(address)
            || address.is_ipv4() != own_address.is_ipv4()
            || seeds.contains(&address)
        {
            return Err(source.error(&seed.span(), Problem::InvalidSeed(address)));
        }
        seeds.push(address);
    }
    Ok(seeds)
}

fn replication_config(
    source: &SourceFile,
    section: &ReplicationSection,
) -> Result<ReplicationConfig, OperatorConfigError> {
    Ok(ReplicationConfig {
        retention: source.duration(
            "life",
            section.retention.as_ref(),
            60 * SECOND,
            SECOND..=3600 * SECOND,
        )?,
        majority_timeout: source.duration(
            "within",
            section.majority_timeout.as_ref(),
            50 * MILLI,
            5 * MILLI..=SECOND,
        )?,
        max_records: source.count("most", section.max_records.as_ref(), 1 << 16, 1 << 22)?,
    })
}
