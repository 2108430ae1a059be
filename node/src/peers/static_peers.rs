//! Gossip with the peers that are listed in the operator's file. Each message is one datagram. This module owns the socket,
//! and accepts messages only from the addresses of these peers and only up to the maximum length. It reads a bounded
//! number of datagrams per turn, and does not depend on the delivery of any message.

use crate::context::{token, Context, PEERS, START_TIMEOUT};
use crate::peers::{GossipConfig, PeersError};
use reedferry::gossip::MAX_MESSAGE_BYTES;
use reedferry::Event;
use reedferry_runtime::errors::retry_for;
use reedferry_runtime::{Errno, Socket};
use slog::{info, warn};
use std::net::SocketAddr;

/// The maximum number of datagrams read in one turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// The peers that are listed in the operator's file, and the socket for gossip with them.
pub struct StaticPeers {
    socket: Socket,
    peers: Vec<SocketAddr>,
    /// Whether a dropped message was logged; only the first one is.
    drop_logged: bool,
}

impl StaticPeers {
    /// Opens the socket and registers it with the poller.
    ///
    /// # Errors
    /// Returns the address and the error of the system if the socket cannot be opened or registered.
    pub fn open(context: &mut Context, config: &GossipConfig) -> Result<StaticPeers, PeersError> {
        let failed = |e: Errno| PeersError::Gossip(config.listen, e);
        let socket = retry_for(START_TIMEOUT, || {
            context.budget.bind_datagram(&config.listen)
        })
        .map_err(failed)?;
        retry_for(START_TIMEOUT, || {
            context.poller.register(&socket, token(PEERS))
        })
        .map_err(failed)?;
        let address = socket.local_address().unwrap_or(config.listen);
        info!(context.log, "listening for gossip"; "at" => %address, "peers" => config.peers.len());
        Ok(StaticPeers {
            socket,
            peers: config.peers.clone(),
            drop_logged: false,
        })
    }

    /// Sends a gossip message to all peers, unless it is too long. Ignores errors, since a peer may be unreachable.
    pub fn broadcast_gossip(&self, message: &[u8]) {
        for peer in self
            .peers
            .iter()
            .filter(|_| message.len() <= MAX_MESSAGE_BYTES)
        {
            _ = self.socket.send_to(message, peer);
        }
    }

    /// Reads the datagrams that have arrived, at most [`MAX_DATAGRAMS_PER_TURN`].
    pub fn on_readable(&mut self, context: &mut Context) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let (length, from) = match self.socket.receive_from(&mut buffer) {
                Ok(datagram) => datagram,
                Err(Errno::AGAIN) => return,
                // The system reports that an earlier message could not be delivered to a peer.
                Err(_) => continue,
            };
            let known = from.is_some_and(|from| self.peers.contains(&from));
            if known && length <= MAX_MESSAGE_BYTES {
                context.events.push(Event::GossipReceived {
                    message: buffer[..length].to_vec(),
                });
            } else if !std::mem::replace(&mut self.drop_logged, true) {
                let from = from.map_or("unknown address".to_string(), |from| from.to_string());
                warn!(context.log, "gossip message dropped"; "from" => from, "known" => known, "length" => length);
            }
        }
        // Has the poller report the remaining datagrams again. It reports each arrival only once, so they would stay unread.
        _ = context
            .poller
            .update_registration(&self.socket, token(PEERS));
    }
}
