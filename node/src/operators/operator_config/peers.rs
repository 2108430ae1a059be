//! Which peers a node exchanges gossip messages with. Gossip without peers, or peers without gossip, is a mix of two shapes of
//! deployment, and is refused.

use super::error::{PeerListError, PeerRejection};
use crate::operators::node_config::NodeConfig;
use crate::peers::GossipConfig;
use std::net::SocketAddr;

/// The peers of a node, with the address at which its own messages come and go.
///
/// # Errors
/// What contradicts what, and at which of the peers where it is one of them.
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

/// Why the peer of this index can't be one.
fn rejection(
    own: SocketAddr,
    peers: &[SocketAddr],
    index: usize,
    node_count: usize,
) -> Option<PeerRejection> {
    let peer = peers[index];
    if peer.port() == 0 || peer.ip().is_unspecified() || peer.is_ipv4() != own.is_ipv4() {
        return Some(PeerRejection::Unreachable);
    }
    if peer == own {
        return Some(PeerRejection::OwnAddress);
    }
    if peers[..index].contains(&peer) {
        return Some(PeerRejection::Duplicate);
    }
    (index + 1 >= node_count).then_some(PeerRejection::TooMany)
}
