//! Endings: the final answer where no host gave one, and the end of a client's connection. It owns what is
//! thrown away of those that go on sending. It must never answer twice, nor lose an answer in the reset
//! that closing over unread input brings.

use super::{Ferries, Stage};
use crate::deck::Deck;
use crate::ferry::lane::{Flow, Lane};
use crate::operators::tally::Outcome;
use reedferry::{AttachmentId, Ending, Nanos, MILLI};
use reedferry_quay::Errno;

/// How long the other side of an ended connection is waited for, and one that still sends, since it came.
pub(super) const LINGER: Nanos = 900 * MILLI;
const LONGEST_LINGER: Nanos = 5500 * MILLI;
/// What is thrown away of it between two sweeps: of one connection, and of all.
const WASTE: usize = 2 << 20;
pub(super) const MOST_WASTE: usize = 8 << 20;

impl Ferries {
    /// The module's final answer, where no host gave one.
    pub fn dismiss(&mut self, deck: &mut Deck, id: AttachmentId, wait: Nanos) {
        let Some(slot) = self.find(id) else { return };
        if wait >= MILLI {
            self.answer(deck, slot, format!("BUSY {}\r\n", wait / MILLI).as_bytes());
        } else {
            self.answer(deck, slot, b"BUSY\r\n");
        }
    }

    pub fn give_up(&mut self, deck: &mut Deck, id: AttachmentId) {
        if let Some(slot) = self.find(id) {
            self.answer(deck, slot, b"ERR\r\n");
        }
    }

    pub fn call_off(&mut self, deck: &mut Deck, id: AttachmentId, hand_off: u32) {
        let Some(slot) = self.find(id) else { return };
        let ferry = &self.slab[slot];
        if ferry.stage == Stage::Held && ferry.landing.as_ref().is_some_and(|l| l.number == hand_off) {
            self.fell_through(deck, slot, Ending::CalledOff);
        }
    }

    /// Writes a last line to the client and ends its connection.
    pub(super) fn answer(&mut self, deck: &mut Deck, slot: usize, line: &[u8]) {
        let ferry = &mut self.slab[slot];
        if ferry.owed() && ferry.client.is_some() {
            let outcome = if line.starts_with(b"BUSY") { Outcome::Refused } else { Outcome::Failed };
            deck.tally.came_to(&deck.terms.offerings[ferry.arrival.offering], outcome);
        }
        ferry.letter = None;
        ferry.landing = None;
        if ferry.client.is_none() {
            return self.remove(slot, false);
        }
        ferry.down = Lane::default();
        if let Some(mut buffer) = deck.pool.take() {
            buffer.put(line);
            ferry.down.buffer = Some(buffer);
        } else if let Some(client) = &ferry.client {
            _ = client.socket.send(line);
        }
        self.close(deck, slot);
    }

    /// Ends the client's connection in order, once all that waits is through.
    pub(super) fn close(&mut self, deck: &mut Deck, slot: usize) {
        self.free_name(slot);
        let ferry = &mut self.slab[slot];
        (ferry.stage, ferry.since) = (Stage::Closing(deck.now + LINGER), deck.now);
        ferry.up = Lane::default();
        ferry.down.ended = false;
        if let Some(client) = &ferry.client {
            self.door.idle.push_back((slot, client.stamp));
        }
        self.see_off(deck, slot);
    }

    pub(super) fn see_off(&mut self, deck: &mut Deck, slot: usize) {
        let ferry = &mut self.slab[slot];
        let Some(client) = ferry.client.as_mut() else { return self.remove(slot, false) };
        if !ferry.down.ended {
            match ferry.down.flush(client) {
                Flow::Ended => client.socket.end_sending(),
                Flow::Idle => return,
                _ => return self.remove(slot, true),
            }
            ferry.down.ended = true;
        }
        // Guards: an answer lost in the reset that closing over unread input brings, and a loop or a share of
        // the processor taken up by who sends without end: so much between two sweeps, and so long.
        let Some(mut space) = deck.pool.take() else { return };
        while client.readable && ferry.wasted < WASTE && self.waste > 0 {
            match client.socket.discard(space.spare()) {
                Ok(0) => return self.remove(slot, false),
                Ok(count) => {
                    ferry.wasted += count;
                    self.waste = self.waste.saturating_sub(count);
                    let by = (deck.now + LINGER).min(ferry.came + LONGEST_LINGER);
                    ferry.stage = Stage::Closing(by);
                }
                Err(Errno::AGAIN) => client.readable = false,
                Err(_) => return self.remove(slot, false),
            }
        }
        if deck.budget.tight() {
            self.remove(slot, false);
        }
    }

    /// The one place where a ferry's sockets and buffers are given back.
    pub(super) fn remove(&mut self, slot: usize, reset: bool) {
        self.free_name(slot);
        let ferry = self.slab.remove(slot);
        if let Some(client) = ferry.client.filter(|_| reset) {
            client.socket.reset();
        }
    }
}
