//! The form of what members send each other: one datagram each, of a bounded length, with a version first. It must
//! never let anything through that has no bound.

use crate::types::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

pub(crate) const VERSION: u8 = 1;
/// Parts of a view that are compared apart.
pub(crate) const PARTS: usize = 32;

#[derive(Clone, Debug, PartialEq, Hash, Serialize, Deserialize)]
pub(crate) struct Claim {
    pub who: Who,
    pub age: Age,
    pub state: State,
    /// Who found it out, where it is suspect.
    pub by: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Are you there? Meant for the member of this number, or for anybody.
    Ping {
        seq: u32,
        to: u64,
    },
    Ack {
        seq: u32,
    },
    /// Ask that member for me.
    Ask {
        seq: u32,
        to: u64,
    },
    /// It has answered, or not yet.
    Vouch {
        seq: u32,
        answered: bool,
    },
    /// News alone.
    Gossip,
    /// The sender's view, part by part.
    Compare {
        parts: Vec<u32>,
    },
    /// Promise me these parts; and those that are promised.
    Lend {
        seq: u32,
        parts: Vec<u32>,
    },
    Lent {
        seq: u32,
        parts: Vec<u32>,
    },
    /// Members of the view, and of which parts the receiver's are wanted.
    Page {
        wanted: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Head {
    pub fleet: u32,
    pub me: Claim,
    pub digest: u64,
    pub body: Body,
}

/// The version and what shows that all of it came as it was sent.
const FRONT: usize = 5;

/// A letter as it is written: its front, then its head, then claims to the end.
pub(crate) struct Sheet(Vec<u8>);

impl Sheet {
    pub fn new(head: &Head) -> Sheet {
        Sheet(
            [
                vec![VERSION, 0, 0, 0, 0],
                postcard::to_allocvec(head).unwrap_or_default(),
            ]
            .concat(),
        )
    }

    /// Whether there was room for it.
    pub fn add(&mut self, claim: &Claim) -> bool {
        let Ok(bytes) = postcard::to_allocvec(claim) else {
            return false;
        };
        let room = self.0.len() + bytes.len() <= LONGEST_LETTER;
        if room {
            self.0.extend(bytes);
        }
        room
    }

    pub fn end(mut self) -> Vec<u8> {
        let sum = sum(&self.0[FRONT..]);
        self.0[1..FRONT].copy_from_slice(&sum);
        self.0
    }
}

/// Guards: a flipped bit in a name, an address or a word that members then hold for true.
pub fn sum(bytes: &[u8]) -> [u8; 4] {
    (xxh3_64(bytes) as u32).to_le_bytes()
}

fn in_order(claim: &Claim) -> bool {
    let who = &claim.who;
    let short = |text: &str| text.len() <= LONGEST_NAME && !text.chars().any(char::is_control);
    !who.name.is_empty()
        && [&who.name, &who.zone, &who.build]
            .into_iter()
            .all(|text| short(text))
        && who.address.port() != 0
        && !who.address.ip().is_unspecified()
}

/// # Errors
/// What is not in order.
pub(crate) fn read(bytes: &[u8]) -> Result<(Head, Vec<Claim>), &'static str> {
    match bytes.first() {
        _ if bytes.len() > LONGEST_LETTER => return Err("a letter that is too long"),
        Some(&VERSION) => {}
        _ => return Err("another version, or no letter"),
    }
    let garbled = |_| "a garbled letter";
    let (Some(told), Some(rest)) = (bytes.get(1..FRONT), bytes.get(FRONT..)) else {
        return Err("a garbled letter");
    };
    if told != sum(rest) {
        return Err("a garbled letter");
    }
    let (head, mut rest): (Head, &[u8]) = postcard::take_from_bytes(rest).map_err(garbled)?;
    let mut claims = Vec::new();
    while !rest.is_empty() {
        let (claim, after): (Claim, &[u8]) = postcard::take_from_bytes(rest).map_err(garbled)?;
        (rest, claims) = (after, {
            claims.push(claim);
            claims
        });
    }
    let parts = if let Body::Compare { parts } = &head.body {
        parts.len()
    } else {
        PARTS
    };
    if parts != PARTS || !in_order(&head.me) || !claims.iter().all(in_order) {
        return Err("a letter out of bounds");
    }
    Ok((head, claims))
}

#[cfg(test)]
#[path = "letter_bytes_tests.rs"]
mod bytes_tests;
