//! The poller and the timers. It owns the epoll instance and the heap of what falls due. It must never
//! know what a [`PollToken`] stands for: it carries marks and gives them back. Sockets are watched by edges,
//! so who is told of one reads or writes until the kernel has no more.

use crate::Nanos;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use rustix::io::Errno;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::os::fd::{AsFd, OwnedFd};

/// Whose socket it is: a part of the program, a slot of that part, and a stamp that no later holder of the
/// slot bears. Guards: an event of a closed socket that meets the next one in its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PollToken {
    pub component: u8,
    pub slot: u32,
    pub generation: u32,
}

const EDGE_TRIGGERED: EventFlags = EventFlags::IN
    .union(EventFlags::OUT)
    .union(EventFlags::RDHUP)
    .union(EventFlags::ET);
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
    pub token: PollToken,
    pub readable: bool,
    pub writable: bool,
}

/// Puts what is ready now behind what was left from before, each socket once, in the order in which it was first told of.
/// Guards: a list of those left that grows with each turn of a program which is behind.
pub fn merge_readiness(left: Vec<Readiness>, now: Vec<Readiness>) -> Vec<Readiness> {
    if left.is_empty() {
        return now;
    }
    let mut places: HashMap<PollToken, usize> = HashMap::new();
    let mut merged: Vec<Readiness> = Vec::with_capacity(left.len() + now.len());
    for one in left.into_iter().chain(now) {
        let place = *places.entry(one.token).or_insert(merged.len());
        match merged.get_mut(place) {
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

pub struct Poller {
    epoll: OwnedFd,
    events: Vec<epoll::Event>,
    due: BinaryHeap<Reverse<(Nanos, u64, PollToken, u64)>>,
    set: u64,
}

impl Poller {
    pub fn new() -> Result<Self, Errno> {
        let epoll = epoll::create(CreateFlags::CLOEXEC)?;
        Ok(Poller {
            epoll,
            events: Vec::with_capacity(512),
            due: BinaryHeap::new(),
            set: 0,
        })
    }

    /// Watches a socket until it is closed.
    pub fn register(&self, socket: &impl AsFd, mark: PollToken) -> Result<(), Errno> {
        epoll::add(
            &self.epoll,
            socket,
            EventData::new_u64(mark.to_bits()),
            EDGE_TRIGGERED,
        )
    }

    /// Watches a socket under this mark, whether or not it was watched before.
    pub fn register_or_update(&self, socket: &impl AsFd, mark: PollToken) -> Result<(), Errno> {
        match self.register(socket, mark) {
            Err(Errno::EXIST) => self.update_registration(socket, mark),
            other => other,
        }
    }

    /// Watches it under another mark from now on, and tells afresh what it is ready for.
    pub fn update_registration(&self, socket: &impl AsFd, mark: PollToken) -> Result<(), Errno> {
        epoll::modify(
            &self.epoll,
            socket,
            EventData::new_u64(mark.to_bits()),
            EDGE_TRIGGERED,
        )
    }

    /// Watches it no longer. Guards: a listener that another process has open too, told of for ever after it
    /// was closed here.
    pub fn deregister(&self, socket: &impl AsFd) -> Result<(), Errno> {
        epoll::delete(&self.epoll, socket)
    }

    /// Has `mark` come back with `word` at `time`. Timers that fall due together come back as set.
    pub fn set_timer(&mut self, time: Nanos, mark: PollToken, word: u64) {
        self.set += 1;
        self.due.push(Reverse((time, self.set, mark, word)));
    }

    /// When the first timer falls due.
    pub fn next_deadline(&self) -> Option<Nanos> {
        self.due.peek().map(|Reverse((time, ..))| *time)
    }

    /// The next timer due at `now`.
    pub fn pop_expired(&mut self, now: Nanos) -> Option<(PollToken, u64)> {
        let Reverse((time, ..)) = self.due.peek()?;
        if *time > now {
            return None;
        }
        self.due
            .pop()
            .map(|Reverse((_, _, mark, word))| (mark, word))
    }

    /// Waits until something is ready or due, or not at all, and appends what is ready.
    pub fn wait(
        &mut self,
        now: Nanos,
        at_once: bool,
        into: &mut Vec<Readiness>,
    ) -> Result<(), Errno> {
        let next = self.next_deadline().map(|time| time.saturating_sub(now));
        let span = if at_once { Some(0) } else { next };
        let span = span.map(|n| Timespec {
            tv_sec: (n / 1_000_000_000) as i64,
            tv_nsec: (n % 1_000_000_000) as _,
        });
        self.events.clear();
        match epoll::wait(
            &self.epoll,
            rustix::buffer::spare_capacity(&mut self.events),
            span.as_ref(),
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
mod tests {
    use super::*;

    #[test]
    fn what_was_left_goes_first_and_each_socket_stands_once() {
        let one = |slot, read, write| Readiness {
            token: PollToken {
                component: 4,
                slot,
                generation: 9,
            },
            readable: read,
            writable: write,
        };
        let left = vec![one(7, true, false), one(2, false, true)];
        let merged = merge_readiness(
            left,
            vec![one(2, true, false), one(5, true, false), one(7, true, true)],
        );
        let all: Vec<(u32, bool, bool)> = merged
            .iter()
            .map(|r| (r.token.slot, r.readable, r.writable))
            .collect();
        assert_eq!(all, [(7, true, true), (2, true, true), (5, true, false)]);
    }

    #[test]
    fn marks_come_back_whole_and_timers_in_order() {
        let mark = PollToken {
            component: 3,
            slot: 0xab_cdef,
            generation: u32::MAX,
        };
        assert_eq!(PollToken::from_bits(mark.to_bits()), mark);
        let mut poller = Poller::new().unwrap();
        for (time, word) in [(20, 1), (10, 2), (20, 3)] {
            poller.set_timer(time, mark, word);
        }
        let all: Vec<u64> = std::iter::from_fn(|| poller.pop_expired(20))
            .map(|(_, word)| word)
            .collect();
        assert_eq!(all, [2, 1, 3]);
        assert!(poller.pop_expired(u64::MAX).is_none());
    }
}
