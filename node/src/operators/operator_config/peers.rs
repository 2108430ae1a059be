//! Checks the peers that a node exchanges gossip with. Gossip without peers, and peers without gossip, are options of different
//! deployment modes, and are rejected.

use super::error::{PeerListError, PeerRejection};
use crate::operators::node_config::NodeConfig;
use crate::peers::GossipConfig;
use std::net::SocketAddr;

/// Returns the gossip configuration of a node that lists its peers one by one, or `None` if gossip is disabled. `address` is where
/// the node sends and receives gossip.
///
/// # Errors
/// Returns the contradiction between the settings and the list, or the first invalid peer.
pub fn gossip_peers(
    node_config: &NodeConfig,
    address: Option<SocketAddr>,
    peers: &[SocketAddr],
) -> Result<Option<GossipConfig>, PeerListError> {
    if !node_config.balancer_settings.gossip_enabled {
        return match (address, peers) {
            (None, []) => Ok(None),
            _ => Err(PeerListError::GossipDisabled),
        };
    }
    let address = address.ok_or(PeerListError::MissingAddress)?;
    if peers.is_empty() {
        return Err(PeerListError::NoPeers);
    }
    let node_count = node_config.balancer_settings.node_count as usize;
    for (index, peer) in peers.iter().enumerate() {
        if let Some(reason) = rejection(address, peers, index, node_count) {
            return Err(PeerListError::Peer {
                index,
                address: *peer,
                reason,
            });
        }
    }
    Ok(Some(GossipConfig {
        listen: address,
        peers: peers.to_vec(),
        fleet: None,
    }))
}

/// Returns the reason why the peer with this index is rejected, or `None` if it is valid.
fn rejection(
    own_address: SocketAddr,
    peers: &[SocketAddr],
    index: usize,
    node_count: usize,
) -> Option<PeerRejection> {
    let peer = peers[index];
    if peer.port() == 0 || peer.ip().is_unspecified() || peer.is_ipv4() != own_address.is_ipv4() {
        return Some(PeerRejection::Unreachable);
    }
    if peer == own_address {
        return Some(PeerRejection::OwnAddress);
    }
    if peers[..index].contains(&peer) {
        return Some(PeerRejection::Duplicate);
    }
    (index + 1 >= node_count).then_some(PeerRejection::TooMany)
}
