//! The ferry: an attachment's two connections, from the client's first line to the end of both. It owns
//! the sockets of clients and hosts and what is on its way between them. It must never choose a host or
//! an answer, which the module does, nor answer an attachment twice or let it go without an answer, nor
//! pass on what is no proper attachment: that is turned away here, whatever it sends or leaves unsent.

use crate::deck::{Deck, CLIENT, HOST};
use crate::hosts::Hosts;
use crate::lane::{Flow, Lane, Side};
use crate::lines::{self, Opening, Request, Word};
use crate::poller::{Mark, Readiness};
use crate::pool::Buffer;
use crate::sockets::Socket;
use reedferry::{Arrival, AttachmentId, Ending, Event, HostId, Nanos, MILLI, SECOND};
use rustix::io::Errno;
use slab::Slab;
use slog::{info, warn};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

/// How long a connection may stay without a first line; with what it may linger behind its answer, under
/// the three seconds within which every client is to have one.
const SILENT_CLIENT: Nanos = 2 * SECOND;
/// How long after it came a connection that holds no attachment is safe from being ended for another.
const FLEETING: Nanos = 50 * MILLI;
/// How many pings a connection may send.
const MOST_PINGS: u32 = 16;
/// Waits over the longest expiry from which one is wild.
const WILD: u64 = 10;
/// How long a client's line may go unanswered before its host counts as silent. Under the seven seconds
/// that are allowed with what a move waits for the end of a line. Guards: a client left at a host that
/// stopped in the middle of one.
const SILENT_HOST: Nanos = 4500 * MILLI;
/// How long the other side of an ended connection is waited for, and one that still sends, since it came.
const LINGER: Nanos = 900 * MILLI;
const LONGEST_LINGER: Nanos = 5500 * MILLI;
/// What is thrown away of it between two sweeps: of one connection, and of all.
const WASTE: usize = 2 << 20;
const MOST_WASTE: usize = 8 << 20;
/// How many ids are remembered that hosts would not have, and how many hosts have to say so.
const STRUCK: usize = 1024;
const STRIKES: u32 = 2;
/// How long a client that has ended its sending is still passed what its host has to say.
const LAST_WORDS: Nanos = 2 * SECOND;
/// How long the end of a line is waited for before a move.
const MOVE_WITHIN: Nanos = 800 * MILLI;
/// How long a connection that stood before is asked for, and the pause between two tries.
const STANDING_WITHIN: Nanos = 40 * SECOND;
const STANDING_PAUSE: Nanos = SECOND / 4;
const ACCEPTS: usize = 256;

const CONNECT: u64 = 0;
const UNTIL: u64 = 1;

/// A hand-off, or the connection that came of it.
struct Landing {
    side: Side,
    host: usize,
    /// Keeps the host's record from serving another host.
    _lease: Rc<()>,
    number: u32,
    since: Nanos,
    /// Whether the connection stands, and the line's last byte is written.
    connected: bool,
    written: bool,
    said: Said,
}

/// What a host has said of the end.
#[derive(Default)]
struct Said {
    bye: bool,
    moved: bool,
}

impl Said {
    /// Takes in a line that a host sent on an open connection.
    fn heard(
        &mut self,
        word: Word,
        (id, host): (AttachmentId, usize),
        now: Nanos,
        asked: &mut VecDeque<Nanos>,
        (events, hosts): (&mut Vec<Event>, &mut Hosts),
    ) {
        match word {
            Word::Load(load) => events.push(Event::LoadNow { id, load }),
            Word::Bye => self.bye = true,
            Word::Move => self.moved = true,
            _ => {
                if let Some(then) = asked.pop_front() {
                    hosts.answered(host, then, now);
                }
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The first line has not come yet.
    Knocking,
    /// The module has it and owes an answer.
    Held,
    /// It stood at a host before the run and goes back there; when it is tried next.
    Returning(Nanos),
    /// Lines pass both ways.
    Open,
    /// The answer is given or its host is gone: the client's end is waited for.
    Closing(Nanos),
}

struct Ferry {
    client: Option<Side>,
    landing: Option<Landing>,
    stage: Stage,
    /// When the client came, and when its attachment did.
    came: Nanos,
    since: Nanos,
    arrival: Arrival,
    /// Its id on the wire, while it is open.
    name: Option<Rc<str>>,
    pings: u32,
    errors: u32,
    /// What has been thrown away of it since the last sweep.
    wasted: usize,
    /// The client's first line and how long it is, kept until a host has taken it.
    letter: Option<Buffer>,
    letter_length: usize,
    /// Where it stood before the run.
    home: Option<HostId>,
    /// How long the client waits, and how long the hand-off that is out is given.
    waits: Nanos,
    given: Nanos,
    up: Lane,
    down: Lane,
    hand_offs: u32,
    /// When the lines went that are not answered yet.
    asked: VecDeque<Nanos>,
    moving: Option<Nanos>,
    ending: Ending,
    client_ended: Option<Nanos>,
}

impl Ferry {
    fn new(client: Side, slot: usize, now: Nanos) -> Self {
        let id = AttachmentId(u64::from(client.stamp) << 32 | slot as u64);
        Ferry {
            client: Some(client),
            landing: None,
            stage: Stage::Knocking,
            came: now,
            since: now,
            arrival: Arrival { id, ..Arrival::default() },
            name: None,
            pings: 0,
            errors: 0,
            wasted: 0,
            letter: None,
            letter_length: 0,
            home: None,
            waits: 0,
            given: 0,
            up: Lane::default(),
            down: Lane::default(),
            hand_offs: 0,
            asked: VecDeque::new(),
            moving: None,
            ending: Ending::CalledOff,
            client_ended: None,
        }
    }

    /// Whether it holds no attachment: it has not asked yet, or has its answer.
    fn idles(&self) -> bool {
        matches!(self.stage, Stage::Knocking | Stage::Closing(_))
    }
}

#[derive(Default)]
pub struct Ferries {
    slab: Slab<Ferry>,
    /// Those that hold no attachment, by slot and stamp, in the order in which they came to that.
    idle: VecDeque<(usize, u32)>,
    /// The ids that are open, and those that hosts would not have, the oldest first.
    names: HashSet<Rc<str>>,
    struck: VecDeque<Rc<str>>,
    /// What may still be thrown away before the next sweep.
    waste: usize,
    /// How many were turned away for what since that was last logged.
    turned: BTreeMap<&'static str, u32>,
    told: Nanos,
    /// Those with more to do than a turn allows.
    more: Vec<usize>,
    /// Those that wait for a buffer, until the next sweep.
    starved: Vec<usize>,
    door_open: bool,
}

impl Ferries {
    pub fn count(&self) -> usize {
        self.slab.len()
    }

    /// Whether something is left to do without waiting.
    pub fn busy(&self) -> bool {
        !self.more.is_empty() || self.door_open
    }

    /// Takes in the clients that wait at the door.
    pub fn accept(&mut self, deck: &mut Deck, door: &Socket) {
        self.door_open = false;
        for _ in 0..ACCEPTS {
            // Guards: usual clients kept out by hundreds that connect and say nothing. Where all have just
            // come, those behind them wait at the door until the next sweep.
            if !deck.budget.room(1) && !self.make_room(deck, FLEETING) && deck.budget.tight() {
                return;
            }
            let socket = match deck.budget.accept(door) {
                Ok(socket) => socket,
                Err(Errno::AGAIN | Errno::MFILE) => return,
                // What failed before it was taken is no client any more.
                Err(Errno::CONNABORTED | Errno::INTR) => continue,
                Err(_) => return,
            };
            let slot = self.slab.vacant_key();
            let Ok(mark) = deck.watch(&socket, CLIENT, slot) else { continue };
            let client = Side { socket, stamp: mark.stamp, readable: false, writable: true };
            self.idle.push_back((slot, mark.stamp));
            self.slab.insert(Ferry::new(client, slot, deck.now));
        }
        self.door_open = true;
    }

    /// Whether the connection that has held a descriptor longest without an attachment gave it up; one that
    /// has just come is not asked to.
    fn make_room(&mut self, deck: &mut Deck, safe: Nanos) -> bool {
        while let Some(&(slot, stamp)) = self.idle.front() {
            let same = |f: &&Ferry| f.idles() && f.client.as_ref().is_some_and(|c| c.stamp == stamp);
            match self.slab.get(slot).filter(same) {
                Some(ferry) if deck.now < ferry.since + safe => return false,
                Some(ferry) => {
                    if let (Stage::Knocking, Some(client)) = (ferry.stage, &ferry.client) {
                        _ = client.socket.send(b"BUSY\r\n");
                        *self.turned.entry("no descriptors for the silent").or_default() += 1;
                    }
                    self.remove(slot, false);
                    return true;
                }
                None => _ = self.idle.pop_front(),
            }
        }
        false
    }

    /// Turns a client away that is not to be served.
    fn turn_away(&mut self, deck: &mut Deck, slot: usize, why: &'static str) {
        *self.turned.entry(why).or_default() += 1;
        self.answer(deck, slot, b"ERR\r\n");
    }

    fn find(&self, id: AttachmentId) -> Option<usize> {
        let slot = id.0 as u32 as usize;
        self.slab.get(slot).filter(|f| f.arrival.id == id).map(|_| slot)
    }

    pub fn ready(&mut self, deck: &mut Deck, ready: Readiness) {
        let (slot, stamp) = (ready.mark.slot as usize, ready.mark.stamp);
        let Some(ferry) = self.slab.get_mut(slot) else { return };
        let side = match ready.mark.part {
            CLIENT => ferry.client.as_mut(),
            _ => ferry.landing.as_mut().map(|l| &mut l.side),
        };
        let Some(side) = side.filter(|s| s.stamp == stamp) else { return };
        side.readable |= ready.read;
        side.writable |= ready.write;
        self.go(deck, slot);
    }

    /// Goes on with those that had more to do.
    pub fn resume(&mut self, deck: &mut Deck, door: &Socket) {
        if self.door_open {
            self.accept(deck, door);
        }
        for slot in std::mem::take(&mut self.more) {
            self.go(deck, slot);
        }
    }

    fn go(&mut self, deck: &mut Deck, slot: usize) {
        let Some(ferry) = self.slab.get(slot) else { return };
        match ferry.stage {
            Stage::Knocking => self.knock(deck, slot),
            Stage::Held | Stage::Returning(_) => {
                self.listen(deck, slot);
                self.land_on(deck, slot);
            }
            Stage::Open => self.pass(deck, slot),
            Stage::Closing(_) => self.see_off(deck, slot),
        }
    }

    /// Reads the client's first line.
    fn knock(&mut self, deck: &mut Deck, slot: usize) {
        let ferry = &mut self.slab[slot];
        let Some(client) = ferry.client.as_mut() else { return };
        loop {
            if ferry.letter.is_none() {
                ferry.letter = deck.pool.take();
            }
            let Some(letter) = ferry.letter.as_mut() else { return self.starved.push(slot) };
            let mut ended = false;
            while client.readable && !ended && !letter.spare().is_empty() {
                match client.socket.receive(letter.spare()) {
                    Ok(0) => ended = true,
                    Ok(count) => letter.filled(count),
                    Err(Errno::AGAIN) => client.readable = false,
                    Err(_) => return self.remove(slot, true),
                }
            }
            // Guards: a flood of pings that holds up the loop, or that fills a connection nobody reads.
            while letter.waiting().starts_with(b"PING\r\n") && ferry.pings < MOST_PINGS {
                letter.sent(6);
                ferry.pings += 1;
                if client.socket.send(b"PONG\r\n") != Ok(6) {
                    return self.remove(slot, true);
                }
            }
            match lines::first(letter.waiting()) {
                Ok(None) if ended => return self.remove(slot, false),
                Ok(None) if client.readable => continue,
                Ok(None) => {}
                Ok(Some((_, length))) if ended || letter.waiting().len() > length => {
                    return self.turn_away(deck, slot, "more than one line before its answer");
                }
                Ok(Some((line, length))) => {
                    let said = lines::opening(line).and_then(|said| match said {
                        Opening::Ping => Err("too many pings"),
                        Opening::Open(request) => {
                            let arrival = Self::arrival(deck, ferry.arrival.id, &request)?;
                            let open = self.names.contains(request.id);
                            // Guards: one that uses the id of another's open request, which hosts would
                            // tell from a good one only by an error; the same again and again.
                            if open || self.struck.iter().any(|n| **n == *request.id) {
                                return Err("an id that is in use");
                            }
                            Ok((arrival, Rc::from(request.id), request.at.map(lines::hash)))
                        }
                    });
                    let (arrival, name, home): (Arrival, Rc<str>, Option<u64>) = match said {
                        Ok(good) => good,
                        Err(why) => return self.turn_away(deck, slot, why),
                    };
                    (ferry.since, ferry.waits, ferry.arrival) = (deck.now, arrival.time_left, arrival);
                    ferry.letter_length = length - 2;
                    self.names.insert(name.clone());
                    ferry.name = Some(name);
                    if let Some(home) = home {
                        ferry.home = Some(HostId(home));
                        ferry.stage = Stage::Returning(deck.now);
                        return self.go_back(deck, slot);
                    }
                    ferry.stage = Stage::Held;
                    deck.events.push(Event::Arrived(ferry.arrival));
                    return;
                }
                Err(why) => return self.turn_away(deck, slot, why),
            }
            if letter.is_empty() {
                ferry.letter = None;
            }
            return;
        }
    }

    /// What the module is told of a request, or why it is none that this node serves.
    fn arrival(deck: &Deck, id: AttachmentId, request: &Request) -> Result<Arrival, &'static str> {
        let terms = &deck.terms;
        let offering = terms.offerings.iter().position(|o| o == request.offering);
        let offering = offering.ok_or("an unknown offering")?;
        if !terms.tenants.is_empty() && !terms.tenants.iter().any(|t| t == request.tenant) {
            return Err("an unknown tenant");
        }
        // Guards: a client that says it stood somewhere, and would be kept for as long as it likes.
        if request.at.is_some() && deck.now > deck.start + 2 * STANDING_WITHIN {
            return Err("a standing connection long after the start");
        }
        let longest = if terms.longest_expiry > 0 { terms.longest_expiry } else { Nanos::MAX / WILD };
        if request.at.is_none() && request.wait > WILD * longest {
            return Err("a wild wait");
        }
        let time_left = if request.at.is_some() { request.wait } else { request.wait.min(longest) };
        let Request { key, group, usual_load, .. } = *request;
        Ok(Arrival { id, offering, key, group, time_left, usual_load, midway: false })
    }

    /// Notices a client that leaves while it waits, or that goes on talking.
    fn listen(&mut self, deck: &mut Deck, slot: usize) {
        let ferry = &mut self.slab[slot];
        let (Some(client), Some(letter)) = (ferry.client.as_mut(), ferry.letter.as_mut()) else { return };
        if !client.readable || letter.spare().is_empty() {
            return;
        }
        let talks = match client.socket.receive(letter.spare()) {
            Err(Errno::AGAIN) => {
                client.readable = false;
                return;
            }
            Ok(1..) => true,
            // It may have ended its sending alone: then it still hears its answer.
            Ok(0) => {
                _ = client.socket.send(b"ERR\r\n");
                false
            }
            Err(_) => false,
        };
        // The hand-off that is out ends when the module calls it off or it ends by itself.
        let (client, came) = (ferry.client.take(), ferry.came);
        ferry.letter = None;
        let held = ferry.stage == Stage::Held;
        if held {
            deck.events.push(Event::Left { id: ferry.arrival.id });
        }
        if !held || ferry.landing.is_none() {
            self.remove(slot, false);
        }
        let Some(mut client) = client.filter(|_| talks) else { return };
        // Guards: a client that sends hundreds of lines at once, served by its first one: it is parted from
        // its attachment and turned away.
        let slot = self.slab.vacant_key();
        let mark = Mark { part: CLIENT, slot: slot as u32, stamp: deck.stamp() };
        if deck.poller.rewatch(&client.socket, mark).is_ok() {
            client.stamp = mark.stamp;
            self.slab.insert(Ferry { came, ..Ferry::new(client, slot, deck.now) });
            self.turn_away(deck, slot, "more than one line before its answer");
        }
    }

    /// Tries a connection that stood before the run at its host again.
    fn go_back(&mut self, deck: &mut Deck, slot: usize) {
        let ferry = &mut self.slab[slot];
        let until = ferry.since + ferry.waits.min(STANDING_WITHIN);
        if deck.now >= until || deck.leaving.is_some() {
            return self.answer(deck, slot, b"ERR\r\n");
        }
        ferry.stage = Stage::Returning(deck.now + STANDING_PAUSE);
        // Guards: connections lost whose host joined after the list that this node was started with.
        if let Some(host) = ferry.home.and_then(|home| deck.hosts.index(home)) {
            _ = self.launch(deck, slot, host, until);
        }
    }

    /// Carries out a hand-off.
    pub fn hand_off(&mut self, deck: &mut Deck, id: AttachmentId, host: HostId, until: Nanos) {
        let held = |f: &Ferry| f.stage == Stage::Held && f.landing.is_none() && f.client.is_some();
        let Some(slot) = self.find(id).filter(|&slot| held(&self.slab[slot])) else {
            // Guards: a record kept for ever of a client that left while the module chose.
            let (ending, gauges) = (Ending::NeverSent, Vec::new());
            deck.events.push(Event::Ended { id, hand_off: 0, host, over: true, ending, gauges });
            return;
        };
        let ferry = &mut self.slab[slot];
        let number = ferry.hand_offs;
        ferry.hand_offs += 1;
        let index = deck.hosts.index(host);
        let launched = match index {
            Some(index) => self.launch(deck, slot, index, until),
            None => Err(Ending::Unconnected),
        };
        if let Err(ending) = launched {
            let gauges = Vec::new();
            deck.events.push(Event::Ended { id, hand_off: number, host, over: false, ending, gauges });
        }
    }

    /// Opens the connection to a host and sets the times by which it must stand and be up.
    fn launch(&mut self, deck: &mut Deck, slot: usize, host: usize, until: Nanos) -> Result<(), Ending> {
        let address = deck.hosts.berth(host).address.ok_or(Ending::Unconnected)?;
        // Who has asked goes before whoever has not.
        while !deck.budget.room(1) && self.make_room(deck, 0) {}
        let ferry = &mut self.slab[slot];
        // Guards: new work that eats up what the machine's accepted clients are to be answered from.
        if !deck.budget.room(1) || deck.pool.left() < 16 {
            if !deck.scarce {
                deck.scarce = true;
                let (taken, buffers) = (deck.budget.taken(), deck.pool.left());
                warn!(deck.log, "out of descriptors or buffers"; "taken" => taken, "buffers" => buffers);
            }
            return Err(Ending::NeverSent);
        }
        let (socket, connected) = match deck.budget.connect(&address) {
            Ok(opened) => opened,
            Err(Errno::MFILE | Errno::NFILE | Errno::ADDRNOTAVAIL | Errno::NOBUFS) => {
                return Err(Ending::NeverSent)
            }
            Err(_) => return Err(Ending::Unconnected),
        };
        let mark = deck.watch(&socket, HOST, slot).map_err(|_| Ending::NeverSent)?;
        let side = Side { socket, stamp: mark.stamp, readable: false, writable: connected };
        ferry.landing = Some(Landing {
            side,
            host,
            _lease: deck.hosts.berth(host).lease.clone(),
            number: ferry.hand_offs.saturating_sub(1),
            since: deck.now,
            connected,
            written: false,
            said: Said::default(),
        });
        ferry.down = Lane::default();
        ferry.up = Lane::default();
        ferry.given = until.saturating_sub(deck.now);
        let by = deck.now + deck.terms.connect_within;
        if by < until {
            deck.poller.remind(by, mark, CONNECT);
        }
        deck.poller.remind(until, mark, UNTIL);
        if connected {
            self.more.push(slot);
        }
        Ok(())
    }

    /// A time that was set for a hand-off has come.
    pub fn due(&mut self, deck: &mut Deck, mark: Mark, word: u64) {
        let slot = mark.slot as usize;
        let Some(ferry) = self.slab.get(slot) else { return };
        let Some(landing) = ferry.landing.as_ref().filter(|l| l.side.stamp == mark.stamp) else { return };
        if !matches!(ferry.stage, Stage::Held | Stage::Returning(_)) || word == CONNECT && landing.connected {
            return;
        }
        let ending = if landing.written { Ending::TimedOut } else { Ending::Unconnected };
        self.fell_through(deck, slot, ending);
    }

    /// A hand-off that came to nothing.
    fn fell_through(&mut self, deck: &mut Deck, slot: usize, ending: Ending) {
        let ferry = &mut self.slab[slot];
        let Some(landing) = ferry.landing.take() else { return };
        (ferry.up, ferry.down) = (Lane::default(), Lane::default());
        ferry.errors += u32::from(ending == Ending::Error);
        if ferry.stage == Stage::Held {
            deck.events.push(Event::Ended {
                id: ferry.arrival.id,
                hand_off: landing.number,
                host: deck.hosts.berth(landing.host).id,
                over: ferry.client.is_none(),
                ending,
                gauges: Vec::new(),
            });
            if ferry.client.is_none() {
                self.remove(slot, false);
            }
        } else if !ending.never_ran() {
            self.answer(deck, slot, b"ERR\r\n");
        }
    }

    /// Brings a hand-off on: the connection, the line, the host's first word.
    fn land_on(&mut self, deck: &mut Deck, slot: usize) {
        let Some(ferry) = self.slab.get_mut(slot) else { return };
        let Some(landing) = ferry.landing.as_mut() else { return };
        if !landing.connected {
            if !landing.side.writable {
                return;
            }
            if landing.side.socket.connected().is_err() {
                return self.fell_through(deck, slot, Ending::Unconnected);
            }
            landing.connected = true;
        }
        if !landing.written {
            if ferry.up.buffer.is_none() {
                // Guards: a line that starts late to a host that was told to be leaving meanwhile.
                let left = deck.hosts.berth(landing.host).left_since;
                let late = left.is_some_and(|t| deck.now > t + deck.terms.drain_grace);
                if late && ferry.stage == Stage::Held {
                    return self.fell_through(deck, slot, Ending::Unconnected);
                }
                let (Some(letter), Some(mut out)) = (ferry.letter.as_ref(), deck.pool.take()) else {
                    return self.fell_through(deck, slot, Ending::NeverSent);
                };
                let wait = (landing.since + ferry.given).saturating_sub(deck.now);
                let mut digits = String::new();
                let line = &letter.waiting()[..ferry.letter_length];
                lines::onward(line, wait, &mut digits).iter().for_each(|piece| _ = out.put(piece));
                ferry.up.buffer = Some(out);
            }
            match ferry.up.flush(&mut landing.side) {
                Flow::Ended => landing.written = true,
                Flow::Idle => return,
                _ => return self.fell_through(deck, slot, Ending::Unconnected),
            }
        }
        let mut said = Vec::new();
        while landing.side.readable && said.is_empty() {
            match ferry.down.fill(&deck.pool, &mut landing.side, &mut |word| said.push(word)) {
                Flow::Idle if ferry.down.ended && said.is_empty() => {
                    return self.fell_through(deck, slot, Ending::Broken);
                }
                Flow::Idle => {}
                Flow::Starved => return self.starved.push(slot),
                Flow::Malformed => return self.fell_through(deck, slot, Ending::Error),
                _ => return self.fell_through(deck, slot, Ending::Broken),
            }
        }
        match said.first() {
            None if ferry.down.buffer.as_ref().is_some_and(Buffer::is_empty) => ferry.down.buffer = None,
            None => {}
            Some(Word::Up) => self.begin(deck, slot, &said[1..]),
            Some(Word::Busy) => self.fell_through(deck, slot, Ending::Refused),
            Some(Word::Move) => self.fell_through(deck, slot, Ending::CalledOff),
            Some(_) => self.fell_through(deck, slot, Ending::Error),
        }
    }

    /// The host has taken it: from here on lines pass both ways.
    fn begin(&mut self, deck: &mut Deck, slot: usize, behind: &[Word]) {
        let ferry = &mut self.slab[slot];
        let Some(landing) = ferry.landing.as_mut() else { return };
        if ferry.client.is_none() {
            return self.fell_through(deck, slot, Ending::CalledOff);
        }
        let (id, host) = (ferry.arrival.id, deck.hosts.berth(landing.host).id);
        if ferry.stage == Stage::Held {
            deck.events.push(Event::Begun { id, took: deck.now - landing.since });
        } else {
            deck.events.push(Event::Standing(ferry.arrival, host));
        }
        ferry.stage = Stage::Open;
        // Guards: a first load told in one piece with the answer, and lost to the module.
        behind.iter().for_each(|word| {
            landing.said.heard(
                *word,
                (id, landing.host),
                deck.now,
                &mut ferry.asked,
                (&mut deck.events, &mut deck.hosts),
            )
        });
        ferry.letter = None;
        self.pass(deck, slot);
    }

    /// Passes lines both ways, and ends the one side as the other ended.
    fn pass(&mut self, deck: &mut Deck, slot: usize) {
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
    fn client_broke(&mut self, deck: &mut Deck, slot: usize) {
        if let Some(landing) = self.over(deck, slot, Ending::CalledOff) {
            landing.side.socket.reset();
        }
        self.remove(slot, true);
    }

    /// Tells the module how an open connection ended, and takes its host's side off.
    fn over(&mut self, deck: &mut Deck, slot: usize, ending: Ending) -> Option<Landing> {
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
            ferry.moving = Some(deck.now + MOVE_WITHIN);
            ferry.ending = Ending::CalledOff;
            self.move_now(deck, slot);
        }
    }

    /// Sends the client away once it stands between two lines.
    fn move_now(&mut self, deck: &mut Deck, slot: usize) {
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
    fn answer(&mut self, deck: &mut Deck, slot: usize, line: &[u8]) {
        let ferry = &mut self.slab[slot];
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
    fn close(&mut self, deck: &mut Deck, slot: usize) {
        self.free_name(slot);
        let ferry = &mut self.slab[slot];
        (ferry.stage, ferry.since) = (Stage::Closing(deck.now + LINGER), deck.now);
        ferry.up = Lane::default();
        ferry.down.ended = false;
        if let Some(client) = &ferry.client {
            self.idle.push_back((slot, client.stamp));
        }
        self.see_off(deck, slot);
    }

    /// The id of what is answered or gone is no longer in use, unless hosts would not have it.
    fn free_name(&mut self, slot: usize) {
        let ferry = &mut self.slab[slot];
        let Some(name) = ferry.name.take() else { return };
        self.names.remove(&name);
        if ferry.errors >= STRIKES && ferry.stage == Stage::Held {
            self.struck.push_back(name);
            if self.struck.len() > STRUCK {
                self.struck.pop_front();
            }
        }
    }

    fn see_off(&mut self, deck: &mut Deck, slot: usize) {
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
    fn remove(&mut self, slot: usize, reset: bool) {
        self.free_name(slot);
        let ferry = self.slab.remove(slot);
        if let Some(client) = ferry.client.filter(|_| reset) {
            client.socket.reset();
        }
    }

    /// Looks over all: what has waited too long, and which lines go unanswered.
    pub fn sweep(&mut self, deck: &mut Deck) {
        let now = deck.now;
        self.more.append(&mut self.starved);
        self.waste = MOST_WASTE;
        let slots: Vec<usize> = self.slab.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(ferry) = self.slab.get_mut(slot) else { continue };
            match ferry.stage {
                Stage::Knocking if now >= ferry.came + SILENT_CLIENT => {
                    self.turn_away(deck, slot, "no whole line in time");
                }
                Stage::Returning(next) if ferry.landing.is_none() && now >= next => self.go_back(deck, slot),
                Stage::Closing(by) if now >= by => self.remove(slot, false),
                Stage::Closing(_) => {
                    ferry.wasted = 0;
                    self.see_off(deck, slot);
                }
                Stage::Open => self.look_after(deck, slot),
                _ => {}
            }
        }
        let slab = &self.slab;
        let same = |f: &Ferry, stamp| f.idles() && f.client.as_ref().is_some_and(|c| c.stamp == stamp);
        self.idle.retain(|&(slot, stamp)| slab.get(slot).is_some_and(|f| same(f, stamp)));
        // Once a second. Guards: a log that bad clients fill.
        if now >= self.told + SECOND {
            self.told = now;
            for (why, count) in std::mem::take(&mut self.turned) {
                info!(deck.log, "turned away"; "why" => why, "count" => count);
            }
        }
    }

    fn look_after(&mut self, deck: &mut Deck, slot: usize) {
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
                ferry.moving = Some(now + MOVE_WITHIN);
                // Guards: a host that answers all others, masked and cut for one connection.
                let alone = deck.hosts.answers_since(landing.host, then);
                ferry.ending = if alone { Ending::CalledOff } else { Ending::Broken };
            }
        }
        if ferry.moving.is_some_and(|by| now >= by + LINGER) {
            // The host has stopped in the middle of a line, and the client takes no other there.
            self.over(deck, slot, Ending::Broken);
            return self.remove(slot, true);
        }
        self.move_now(deck, slot);
    }
}
