//! The poller and the timers. Owns the epoll instance and the heap of timers. Must never know what
//! a [`PollToken`] stands for: it carries tokens and gives them back. Sockets are watched
//! edge-triggered, so whoever is told of one reads or writes until the kernel has no more.

use crate::{clock, Nanos};
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::io::Errno;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::os::fd::{AsFd, OwnedFd};

/// Whose socket it is. The generation prevents an event of a closed socket from meeting the next
/// one in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollToken {
    /// A part of the program.
    pub component: u8,
    /// A slot of that part; 24 bits of it are kept.
    pub slot: u32,
    /// A number that no later holder of the slot has.
    pub generation: u32,
}

const EDGE_TRIGGERED: EventFlags = EventFlags::IN
    .union(EventFlags::OUT)
    .union(EventFlags::RDHUP)
    .union(EventFlags::ET);
/// How many bits of a slot pass through the kernel.
const SLOT_BITS: u32 = 24;

impl PollToken {
    fn to_bits(self) -> u64 {
        u64::from(self.component) << 56 | u64::from(self.slot) << 32 | u64::from(self.generation)
    }

    fn from_bits(word: u64) -> Self {
        PollToken {
            component: (word >> 56) as u8,
            slot: (word >> 32) as u32 & ((1 << SLOT_BITS) - 1),
            generation: word as u32,
        }
    }
}

/// What has become possible on a socket.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    /// Whose socket it is.
    pub token: PollToken,
    /// It can be read, or has ended.
    pub readable: bool,
    /// It can be written, or is broken.
    pub writable: bool,
}

/// Puts what is ready now behind what was left from before, each socket once, in the order in which
/// it was first reported. Without merging, the list of those left would grow with each turn of a
/// program that is behind.
pub fn merge_readiness(left_over: Vec<Readiness>, now: Vec<Readiness>) -> Vec<Readiness> {
    if left_over.is_empty() {
        return now;
    }
    let mut positions: HashMap<PollToken, usize> = HashMap::new();
    let mut merged: Vec<Readiness> = Vec::with_capacity(left_over.len() + now.len());
    for one in left_over.into_iter().chain(now) {
        let position = *positions.entry(one.token).or_insert(merged.len());
        match merged.get_mut(position) {
            Some(known) => {
                (known.readable, known.writable) = (
                    known.readable || one.readable,
                    known.writable || one.writable,
                );
            }
            None => merged.push(one),
        }
    }
    merged
}

/// A timer. The order of the fields is the order of expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    time: Nanos,
    /// Grows with each timer that is set.
    sequence: u64,
    token: PollToken,
    word: u64,
}

/// Sockets and timers that are waited for.
pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
    timers: BinaryHeap<Reverse<Timer>>,
    /// How many timers have been set.
    timers_set: u64,
}

impl Poller {
    /// A poller with nothing to wait for.
    ///
    /// # Errors
    /// Those of the system.
    pub fn new() -> Result<Self, Errno> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Poller {
            epoll,
            events: Vec::with_capacity(512),
            timers: BinaryHeap::new(),
            timers_set: 0,
        })
    }

    /// Watches a socket until it is closed.
    ///
    /// # Errors
    /// Those of the system; `EXIST` where it is watched already.
    pub fn register(&self, socket: &impl AsFd, token: PollToken) -> Result<(), Errno> {
        epoll::add(
            &self.epoll,
            socket,
            EventData::new_u64(token.to_bits()),
            EDGE_TRIGGERED,
        )
    }

    /// Watches a socket under this token, whether or not it was watched before.
    ///
    /// # Errors
    /// Those of the system.
    pub fn register_or_update(&self, socket: &impl AsFd, token: PollToken) -> Result<(), Errno> {
        match self.register(socket, token) {
            Err(Errno::EXIST) => self.update_registration(socket, token),
            other => other,
        }
    }

    /// Watches a socket under another token from now on, and reports afresh what it is ready for.
    ///
    /// # Errors
    /// Those of the system.
    pub fn update_registration(&self, socket: &impl AsFd, token: PollToken) -> Result<(), Errno> {
        epoll::modify(
            &self.epoll,
            socket,
            EventData::new_u64(token.to_bits()),
            EDGE_TRIGGERED,
        )
    }

    /// Watches a socket no longer. Without this, a listener that another process has open too would
    /// be reported for ever after it was closed here.
    ///
    /// # Errors
    /// Those of the system.
    pub fn deregister(&self, socket: &impl AsFd) -> Result<(), Errno> {
        epoll::delete(&self.epoll, socket)
    }

    /// Has `token` come back with `word` at `time`. Timers of the same time come back in the order
    /// in which they were set.
    pub fn set_timer(&mut self, time: Nanos, token: PollToken, word: u64) {
        self.timers_set += 1;
        self.timers.push(Reverse(Timer {
            time,
            sequence: self.timers_set,
            token,
            word,
        }));
    }

    /// When the first timer expires.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse(timer)| timer.time)
    }

    /// The next timer that has expired at `now`.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<(PollToken, u64)> {
        if self.next_deadline()? > now {
            return None;
        }
        let Reverse(timer) = self.timers.pop()?;
        Some((timer.token, timer.word))
    }

    /// Waits until something is ready or a timer expires, or not at all, and appends what is ready.
    ///
    /// # Errors
    /// Those of the system, but for interruptions.
    pub fn wait(
        &mut self,
        now: Nanos,
        without_waiting: bool,
        into: &mut Vec<Readiness>,
    ) -> Result<(), Errno> {
        let next = self.next_deadline().map(|time| time.saturating_sub(now));
        let timeout = if without_waiting { Some(0) } else { next };
        let timeout = timeout.map(clock::timespec);
        self.events.clear();
        match epoll::wait(
            &self.epoll,
            rustix::buffer::spare_capacity(&mut self.events),
            timeout.as_ref(),
        ) {
            Ok(_) | Err(Errno::INTR) => {}
            Err(e) => return Err(e),
        }
        for event in &self.events {
            let flags = event.flags;
            let broken = flags.intersects(EventFlags::ERR | EventFlags::HUP);
            into.push(Readiness {
                token: PollToken::from_bits(event.data.u64()),
                readable: broken || flags.intersects(EventFlags::IN | EventFlags::RDHUP),
                writable: broken || flags.contains(EventFlags::OUT),
            });
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "poller_tests.rs"]
mod tests;
