//! The way between nodes: one datagram a message, to the peers that the operator's file names and from them
//! alone, known by their addresses. It owns that socket. It must never take in what a stranger sends or what
//! is longer than a message, hold a turn up over a flood, nor care whether a message arrives.

use crate::context::{mark, Context, PEERS, START_WITHIN};
use crate::peers::fleet::FleetConfig;
use reedferry::word::LONGEST;
use reedferry::Event;
use reedferry_runtime::errors::retry_for;
use reedferry_runtime::{Errno, Socket};
use slog::{info, warn};
use std::net::SocketAddr;

/// Datagrams read in one turn.
const A_TURN: usize = 64;

/// Where a node's messages come and go, as the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Correspondence {
    pub at: SocketAddr,
    pub peers: Vec<SocketAddr>,
    /// Where the node keeps a view of its fleet: its members are its peers.
    pub fleet: Option<FleetConfig>,
}

pub struct Peers {
    socket: Socket,
    peers: Vec<SocketAddr>,
    /// Something of a stranger's, or too long, was dropped and said so.
    warned: bool,
}

impl Peers {
    pub fn open(context: &mut Context, correspondence: &Correspondence) -> Result<Peers, String> {
        let wrong = |e: Errno| format!("cannot take messages on {}: {e}", correspondence.at);
        let socket = retry_for(START_WITHIN, || {
            context.budget.bind_datagram(&correspondence.at)
        })
        .map_err(wrong)?;
        retry_for(START_WITHIN, || {
            context.poller.register(&socket, mark(PEERS))
        })
        .map_err(wrong)?;
        let at = socket.local_address().unwrap_or(correspondence.at);
        info!(context.log, "messages"; "at" => %at, "peers" => correspondence.peers.len());
        Ok(Peers {
            socket,
            peers: correspondence.peers.clone(),
            warned: false,
        })
    }

    /// To all of them; whom it cannot reach does without.
    pub fn tell(&self, message: &[u8]) {
        for peer in self.peers.iter().filter(|_| message.len() <= LONGEST) {
            _ = self.socket.send_to(message, peer);
        }
    }

    pub fn ready(&mut self, context: &mut Context) {
        let mut space = [0; LONGEST];
        for _ in 0..A_TURN {
            let (length, from) = match self.socket.receive_from(&mut space) {
                Ok(datagram) => datagram,
                Err(Errno::AGAIN) => return,
                // What a peer that is away has the system say of an earlier message.
                Err(_) => continue,
            };
            let known = from.is_some_and(|from| self.peers.contains(&from));
            if known && length <= LONGEST {
                context.events.push(Event::GossipReceived {
                    message: space[..length].to_vec(),
                });
            } else if !std::mem::replace(&mut self.warned, true) {
                let from = from.map_or("nobody".to_string(), |from| from.to_string());
                warn!(context.log, "message dropped"; "from" => from, "known" => known, "length" => length);
            }
        }
        // Guards: the rest of a flood left lying, as the poller tells of each arrival once.
        _ = context
            .poller
            .update_registration(&self.socket, mark(PEERS));
    }
}
