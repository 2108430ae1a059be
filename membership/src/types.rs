//! What a fleet's members are, and what a core is told and orders. It must never decide anything.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Steady time of the caller.
pub type Nanos = u64;

pub const SECOND: Nanos = 1_000_000_000;

/// The longest datagram, and the longest name, zone and build of a member.
pub const LONGEST_LETTER: usize = 1200;
pub const LONGEST_NAME: usize = 64;

/// How a member stands. It says the first three of itself; the others are held of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    Working,
    Standby,
    Leaving,
    Suspect,
    Gone,
}

impl State {
    /// What is held of one word of a member only grows.
    pub(crate) fn rank(self) -> u8 {
        match self {
            State::Working | State::Standby | State::Leaving => 0,
            State::Suspect => 1,
            State::Gone => 2,
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            State::Working => "at work",
            State::Standby => "standing by",
            State::Leaving => "leaving",
            State::Suspect => "suspect",
            State::Gone => "gone",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Role {
    Node,
    Forwarder,
    Planner,
}

impl Role {
    pub fn word(self) -> &'static str {
        match self {
            Role::Node => "node",
            Role::Forwarder => "forwarder",
            Role::Planner => "planner",
        }
    }
}

/// Which life of a process, by the system's clock in milliseconds when it started, and which of its words on itself.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Age {
    pub life: u64,
    pub word: u32,
}

impl Age {
    /// The next word.
    pub(crate) fn next(self) -> Age {
        match self.word.checked_add(1) {
            Some(word) => Age { word, ..self },
            None => Age {
                life: self.life.saturating_add(1),
                word: 0,
            },
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Who {
    pub name: String,
    pub address: SocketAddr,
    pub role: Role,
    pub zone: String,
    pub build: String,
    /// Its place by the settings, and how many places these have.
    pub place: u32,
    pub roster: u32,
}

pub struct Terms {
    /// The unit of all times here.
    pub period: Nanos,
    /// Whom to ask first, and now and then.
    pub seeds: Vec<SocketAddr>,
    /// Members at the most.
    pub most: usize,
    /// Sets fleets that can reach each other apart.
    pub fleet: u32,
}

pub enum Event<'a> {
    /// The time that was asked for has come.
    Wake,
    Letter {
        from: SocketAddr,
        bytes: &'a [u8],
    },
    /// How this member stands by its own word.
    Stands(State),
    /// Its place and the number of places have changed.
    Placed {
        place: u32,
        roster: u32,
    },
    Seeds(Vec<SocketAddr>),
    /// Whether shares of the gone are of use now.
    Lending(bool),
    /// It ends now.
    Ends,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        to: SocketAddr,
        bytes: Vec<u8>,
    },
    /// What is held of a member has changed; no state before for one that is new.
    Changed {
        name: String,
        address: SocketAddr,
        before: Option<State>,
        state: State,
    },
    /// A member has another address by a later life.
    Moved {
        name: String,
        from: SocketAddr,
        to: SocketAddr,
    },
    /// Others held this member gone: what it held to is over.
    WasGone,
    /// It stood still for so long: others may have taken up what was its own.
    StoodStill(Nanos),
    /// Another process goes by this member's name and counts; this one takes no part any more.
    Superseded {
        by: SocketAddr,
    },
    /// Something that is not as it should be, and was dropped.
    Odd {
        why: &'static str,
        from: SocketAddr,
    },
}
