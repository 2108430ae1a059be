//! The poller, which owns the epoll instance and the heap of timers. It returns each [`PollToken`]
//! as it was registered and does not interpret it. Sockets are watched edge-triggered, so a caller
//! that learns of a ready socket has to read or write until the call would block.

use crate::{clock, Nanos};
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::io::Errno;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::os::fd::{AsFd, OwnedFd};

/// Identifies the owner of a socket or timer. The generation prevents an event of a closed socket
/// from being attributed to the next socket in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollToken {
    /// The component of the program that owns the socket or timer.
    pub component: u8,
    /// A slot of that component. The slot of a socket has to fit in 24 bits.
    pub slot: u32,
    /// A number that differs from those of all later occupants of the slot.
    pub generation: u32,
}

const EDGE_TRIGGERED: EventFlags = EventFlags::IN
    .union(EventFlags::OUT)
    .union(EventFlags::RDHUP)
    .union(EventFlags::ET);
/// The number of bits of a slot that are kept in the event data of epoll.
const SLOT_BITS: u32 = 24;

impl PollToken {
    fn to_bits(self) -> u64 {
        u64::from(self.component) << 56 | u64::from(self.slot) << 32 | u64::from(self.generation)
    }

    fn from_bits(bits: u64) -> Self {
        PollToken {
            component: (bits >> 56) as u8,
            slot: (bits >> 32) as u32 & ((1 << SLOT_BITS) - 1),
            generation: bits as u32,
        }
    }
}

/// The operations for which a socket has become ready.
#[derive(Clone, Copy, Debug)]
pub struct Readiness {
    /// The token under which the socket is registered.
    pub token: PollToken,
    /// Whether the socket can be read, was closed by the peer or is broken.
    pub readable: bool,
    /// Whether the socket can be written or is broken.
    pub writable: bool,
}

/// Appends newly ready sockets to those left over from the previous iteration. Each socket appears
/// once, in the order of its first report. Without merging, the list would grow with each iteration
/// of a program that cannot keep up.
pub fn merge_readiness(left_over: Vec<Readiness>, ready_now: Vec<Readiness>) -> Vec<Readiness> {
    if left_over.is_empty() {
        return ready_now;
    }
    let mut positions: HashMap<PollToken, usize> = HashMap::new();
    let mut merged: Vec<Readiness> = Vec::with_capacity(left_over.len() + ready_now.len());
    for readiness in left_over.into_iter().chain(ready_now) {
        let position = *positions.entry(readiness.token).or_insert(merged.len());
        match merged.get_mut(position) {
            Some(earlier) => {
                (earlier.readable, earlier.writable) = (
                    earlier.readable || readiness.readable,
                    earlier.writable || readiness.writable,
                );
            }
            None => merged.push(readiness),
        }
    }
    merged
}

/// A timer. Timers expire in the order of the fields: by time, then by sequence number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    time: Nanos,
    /// Increases with each timer that is set.
    sequence: u64,
    token: PollToken,
    data: u64,
}

/// Waits for the readiness of sockets and the expiry of timers.
pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
    timers: BinaryHeap<Reverse<Timer>>,
    /// The number of timers set so far.
    timers_set: u64,
}

impl Poller {
    /// Creates a poller without sockets or timers.
    ///
    /// # Errors
    /// Returns the error of the system call.
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
    /// Returns `EXIST` if the socket is already watched, or another error of the system call.
    pub fn register(&self, socket: &impl AsFd, token: PollToken) -> Result<(), Errno> {
        epoll::add(
            &self.epoll,
            socket,
            EventData::new_u64(token.to_bits()),
            EDGE_TRIGGERED,
        )
    }

    /// Watches a socket under `token`, whether or not it is already watched.
    ///
    /// # Errors
    /// Returns the error of the system call.
    pub fn register_or_update(&self, socket: &impl AsFd, token: PollToken) -> Result<(), Errno> {
        match self.register(socket, token) {
            Err(Errno::EXIST) => self.update_registration(socket, token),
            other => other,
        }
    }

    /// Changes the token of a watched socket to `token` and reports the socket's current readiness
    /// again.
    ///
    /// # Errors
    /// Returns the error of the system call.
    pub fn update_registration(&self, socket: &impl AsFd, token: PollToken) -> Result<(), Errno> {
        epoll::modify(
            &self.epoll,
            socket,
            EventData::new_u64(token.to_bits()),
            EDGE_TRIGGERED,
        )
    }

    /// Stops watching a socket. Without this call, a listener that another process also holds open
    /// would still be reported after it is closed here.
    ///
    /// # Errors
    /// Returns the error of the system call.
    pub fn deregister(&self, socket: &impl AsFd) -> Result<(), Errno> {
        epoll::delete(&self.epoll, socket)
    }

    /// Sets a timer that expires at `time` and returns `token` and `data` from
    /// [`Poller::pop_expired`]. Timers with the same time expire in the order in which they were
    /// set.
    pub fn set_timer(&mut self, time: Nanos, token: PollToken, data: u64) {
        self.timers_set += 1;
        self.timers.push(Reverse(Timer {
            time,
            sequence: self.timers_set,
            token,
            data,
        }));
    }

    /// Returns the time at which the next timer expires, or `None` if no timer is set.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.timers.peek().map(|Reverse(timer)| timer.time)
    }

    /// Removes the next timer whose time is `now` or earlier and returns its token and data, or
    /// `None` if no timer has expired.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<(PollToken, u64)> {
        if self.next_deadline()? > now {
            return None;
        }
        let Reverse(timer) = self.timers.pop()?;
        Some((timer.token, timer.data))
    }

    /// Waits until a socket is ready or the next timer expires, and appends the ready sockets to
    /// `into`. If `without_waiting` is set, appends those that are ready now and returns at once.
    /// A signal may end the wait early.
    ///
    /// # Errors
    /// Returns the error of the system call, except for interruptions.
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
