//! An open connection: lines pass both ways until one side ends. It owns what is on its way and which
//! lines wait for an answer. It must never read more than it can pass on, nor send a client away within
//! a line.

use super::endings::LINGER;
use super::landing::Landing;
use super::{Ferries, Stage};
use crate::deck::{Deck, LONGEST_MOVE};
use crate::ferry::lane::Flow;
use reedferry::{AttachmentId, Ending, Event, Nanos, MILLI, SECOND};
use reedferry_quay::Buffer;
use slog::{info, warn};

/// How long a client's line may go unanswered before its host counts as silent. Under the seven seconds
/// that are allowed with what a move waits for the end of a line. Guards: a client left at a host that
/// stopped in the middle of one.
const SILENT_HOST: Nanos = 4500 * MILLI;
/// How long a client that has ended its sending is still passed what its host has to say.
const LAST_WORDS: Nanos = 2 * SECOND;

impl Ferries {
    /// Passes lines both ways, and ends the one side as the other ended.
    pub(super) fn pass(&mut self, deck: &mut Deck, slot: usize) {
        let ferry = &mut self.slab[slot];
        let (Some(client), Some(landing)) = (ferry.client.as_mut(), ferry.landing.as_mut()) else { return };
        let (now, host, id) = (deck.now, landing.host, ferry.arrival.id);

        let asked = &mut ferry.asked;
        let up = match ferry.client_ended {
            Some(_) => Flow::Idle,
            None => ferry.up.run(&deck.pool, client, &mut landing.side, |_| asked.push_back(now)),
        };
        let (events, hosts) = (&mut deck.events, &mut deck.hosts);
        let said = &mut landing.said;
        let down = ferry.down.run(&deck.pool, &mut landing.side, client, |word| {
            said.heard(word, (id, host), now, &mut ferry.asked, (events, hosts));
        });

        let broke = if landing.said.bye { Ending::Done } else { Ending::Broken };
        let ended = match (landing.said.bye, landing.said.moved, ferry.client_ended) {
            (true, ..) => Ending::Done,
            (_, false, None) => Ending::Broken,
            _ => Ending::CalledOff,
        };
        match (down, up) {
            (Flow::Ended, _) => {
                self.over(deck, slot, ended);
                return self.close(deck, slot);
            }
            (Flow::Broken, _) => {
                self.over(deck, slot, broke);
                return self.remove(slot, true);
            }
            (Flow::Malformed, _) => {
                info!(deck.log, "cut off"; "why" => "a host's line that is too long");
                self.over(deck, slot, Ending::Broken);
                return self.remove(slot, true);
            }
            (Flow::Refused, _) | (_, Flow::Broken) => {
                return self.client_broke(deck, slot);
            }
            (_, Flow::Malformed) => {
                info!(deck.log, "cut off"; "why" => "a client's line that is too long");
                return self.client_broke(deck, slot);
            }
            (_, Flow::Ended) => {
                landing.side.socket.end_sending();
                ferry.client_ended = Some(now);
            }
            // The host takes no more: what it still says, or its end, comes down.
            (_, Flow::Refused) => ferry.up.buffer = None,
            (Flow::More, _) | (_, Flow::More) => self.more.push(slot),
            (Flow::Starved, _) | (_, Flow::Starved) => self.starved.push(slot),
            _ => {}
        }
        self.move_now(deck, slot);
    }

    /// The client's connection broke: its host's is reset in turn.
    pub(super) fn client_broke(&mut self, deck: &mut Deck, slot: usize) {
        if let Some(landing) = self.over(deck, slot, Ending::CalledOff) {
            landing.side.socket.reset();
        }
        self.remove(slot, true);
    }

    /// Tells the module how an open connection ended, and takes its host's side off.
    pub(super) fn over(&mut self, deck: &mut Deck, slot: usize, ending: Ending) -> Option<Landing> {
        let ferry = &mut self.slab[slot];
        let landing = ferry.landing.take()?;
        deck.events.push(Event::Ended {
            id: ferry.arrival.id,
            hand_off: landing.number,
            host: deck.hosts.berth(landing.host).id,
            over: true,
            ending,
            gauges: Vec::new(),
        });
        Some(landing)
    }

    /// The module wants the client to come again.
    pub fn move_on(&mut self, deck: &mut Deck, id: AttachmentId) {
        let Some(slot) = self.find(id) else { return };
        let ferry = &mut self.slab[slot];
        if ferry.stage == Stage::Open && ferry.moving.is_none() {
            ferry.moving = Some(deck.now + LONGEST_MOVE);
            ferry.ending = Ending::CalledOff;
            self.move_now(deck, slot);
        }
    }

    /// Sends the client away once it stands between two lines.
    pub(super) fn move_now(&mut self, deck: &mut Deck, slot: usize) {
        let Some(ferry) = self.slab.get_mut(slot) else { return };
        let Some(by) = ferry.moving.filter(|_| ferry.stage == Stage::Open) else { return };
        let between =
            ferry.down.buffer.as_ref().is_none_or(Buffer::is_empty) && ferry.down.scanner.between_lines();
        if !between || (!ferry.up.scanner.between_lines() && deck.now < by) {
            return;
        }
        let ending = ferry.ending;
        self.over(deck, slot, ending);
        self.answer(deck, slot, b"MOVE\r\n");
    }

    pub(super) fn look_after(&mut self, deck: &mut Deck, slot: usize) {
        let now = deck.now;
        let ferry = &mut self.slab[slot];
        let Some(landing) = ferry.landing.as_ref() else { return };
        if ferry.client_ended.is_some_and(|t| now >= t + LAST_WORDS) {
            self.over(deck, slot, Ending::CalledOff);
            return self.remove(slot, false);
        }
        if let Some(&then) = ferry.asked.front() {
            deck.hosts.unanswered(landing.host, then);
            if now >= then + SILENT_HOST && ferry.moving.is_none() {
                warn!(deck.log, "silent"; "host" => &deck.hosts.berth(landing.host).name);
                ferry.moving = Some(now + LONGEST_MOVE);
                // Guards: a host that answers all others, masked and cut for one connection.
                let alone = deck.hosts.answers_since(landing.host, then);
                ferry.ending = if alone { Ending::CalledOff } else { Ending::Broken };
            }
        }
        let empty = deck.empty_by();
        if now >= empty {
            // Between two lines, or within one of the client's, it can still be sent away.
            let moving = ferry.moving.get_or_insert(now);
            *moving = now.min(*moving);
            self.move_now(deck, slot);
            if self.slab.get(slot).is_none_or(|ferry| ferry.stage != Stage::Open) {
                return;
            }
        }
        let Some(ferry) = self.slab.get_mut(slot) else { return };
        if ferry.moving.is_some_and(|by| now >= (by + LINGER).min(empty)) {
            // The host has stopped in the middle of a line, and the client takes no other there.
            self.over(deck, slot, Ending::Broken);
            return self.remove(slot, true);
        }
        self.move_now(deck, slot);
    }
}
