//! One process in place of another. It owns the door that the platform holds open for both, and who of them
//! takes in new clients. It must never trust what it finds.

use crate::deck::{self, Deck};
use crate::papers::Papers;
use reedferry_quay::Socket;

/// Where clients knock.
pub struct Entrance {
    door: Option<Socket>,
    /// Other processes take in clients there too.
    shared: bool,
}

impl Entrance {
    /// The door that the platform holds, where it names one, or else one of the node's own.
    pub fn open(deck: &mut Deck, papers: &Papers) -> Result<Entrance, String> {
        let Ok(named) = std::env::var("GW_ACCEPT_FD") else {
            let door = deck.listen(&papers.listen, deck::DOOR)?;
            return Ok(Entrance { door: Some(door), shared: false });
        };
        let number = named.parse().map_err(|_| format!("GW_ACCEPT_FD {named:?} is no descriptor"))?;
        Ok(Entrance { door: Some(deck.inherit(number)?), shared: true })
    }

    /// Where this process takes in clients, while it does.
    pub fn door(&self) -> Option<&Socket> {
        self.door.as_ref()
    }

    /// The process is asked to stop: whoever still comes to a door that is shared is the next one's.
    pub fn part(&mut self, deck: &Deck) {
        if self.shared {
            if let Some(door) = self.door.take() {
                _ = deck.poller.unwatch(&door);
            }
        }
    }
}
