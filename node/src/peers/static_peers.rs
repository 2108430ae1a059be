//! Gossip between nodes that the operator's file names one by one: one datagram a message, to them and from them alone,
//! known by their addresses. It owns that socket. It must never take in what a stranger sends or what is longer than a
//! message, hold a turn up over a flood, nor care whether a message arrives.

use crate::context::{token, Context, PEERS, START_TIMEOUT};
use crate::peers::{GossipConfig, PeersError};
use reedferry::gossip::MAX_MESSAGE_BYTES;
use reedferry::Event;
use reedferry_runtime::errors::retry_for;
use reedferry_runtime::{Errno, Socket};
use slog::{info, warn};
use std::net::SocketAddr;

/// Datagrams read in one turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;

/// The peers that are named one by one.
pub struct StaticPeers {
    socket: Socket,
    peers: Vec<SocketAddr>,
    /// A message that was dropped has been logged.
    drop_logged: bool,
}

impl StaticPeers {
    /// Listens for gossip.
    ///
    /// # Errors
    /// The address cannot be listened on.
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
        info!(context.log, "messages"; "at" => %address, "peers" => config.peers.len());
        Ok(StaticPeers {
            socket,
            peers: config.peers.clone(),
            drop_logged: false,
        })
    }

    /// Sends gossip to all of them; one that cannot be reached does without.
    pub fn broadcast_gossip(&self, message: &[u8]) {
        for peer in self
            .peers
            .iter()
            .filter(|_| message.len() <= MAX_MESSAGE_BYTES)
        {
            _ = self.socket.send_to(message, peer);
        }
    }

    /// Reads what has arrived.
    pub fn on_readable(&mut self, context: &mut Context) {
        let mut buffer = [0; MAX_MESSAGE_BYTES];
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let (length, from) = match self.socket.receive_from(&mut buffer) {
                Ok(datagram) => datagram,
                Err(Errno::AGAIN) => return,
                // What a peer that is away has the system say of an earlier message.
                Err(_) => continue,
            };
            let known = from.is_some_and(|from| self.peers.contains(&from));
            if known && length <= MAX_MESSAGE_BYTES {
                context.events.push(Event::GossipReceived {
                    message: buffer[..length].to_vec(),
                });
            } else if !std::mem::replace(&mut self.drop_logged, true) {
                let from = from.map_or("nobody".to_string(), |from| from.to_string());
                warn!(context.log, "message dropped"; "from" => from, "known" => known, "length" => length);
            }
        }
        // Without this, the rest of a flood is left lying, as the poller reports each arrival once.
        _ = context
            .poller
            .update_registration(&self.socket, token(PEERS));
    }
}
