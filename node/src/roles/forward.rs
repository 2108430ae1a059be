//! A forwarder: the ferry, and in place of the module the link to planners. It owns the sockets to planners
//! and the order of a turn: gather what is ready, take in what planners say, hand what the ferry told to
//! the forwarder's end of the link, carry out what came back, send what is to go. It must never decide
//! anything, nor follow discovery: hosts are known as planners tell of them.

use crate::deck::{self, mark, Deck, LINK, STOP, TICK};
use crate::ferry::wire::{Wire, Wires};
use crate::ferry::Ferries;
use crate::operators::articles::{Articles, Forwards, Role};
use crate::{AtStart, BEYOND_EXPIRY, SWEEP};
use reedferry::Nanos;
use reedferry_link::{Covenant, Deed, Forwarder, PlannerAt};
use reedferry_quay::{Clock, Errno, Mark, Readiness, Signal, Socket};
use slog::{info, warn};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

struct Forward {
    deck: Deck,
    core: Forwarder,
    ferries: Ferries,
    /// The connections to planners, by the core's name for each.
    wires: Wires,
    door: Socket,
    stop: Signal,
    reread: Signal,
    path: PathBuf,
    forwards: Forwards,
    planners: Vec<PlannerAt>,
    /// When the core is to be called next, as far as the poller knows.
    armed: Nanos,
    deeds: Vec<Deed>,
}

pub fn run(path: &Path, start: AtStart) -> Result<(), String> {
    let Articles { papers, role, planners, .. } = Articles::read(path)?;
    let Role::Forward(forwards) = role else {
        return Err(format!("{} is for `reedferry {}`", path.display(), role.word()));
    };
    let clock = Clock::start();
    let (mut deck, backlog) = Deck::open(&papers, &clock, &start)?;
    let door = deck.listen(&papers.listen, deck::DOOR)?;
    let listen = door.address().unwrap_or(papers.listen);
    let keeps = Covenant {
        name: papers.name.clone(),
        fingerprint: papers.fingerprint(),
        epoch: deck.start,
        charter: papers.charter,
        lease: forwards.lease,
        decide_within: forwards.decide_within,
        most_asked: forwards.most_asked,
        settle: forwards.settle,
    };
    let core = Forwarder::new(keeps, planners.clone(), papers.seed, deck.now);
    let log = deck.log.clone();
    info!(log, "started"; "listen" => %listen, "role" => "forward", "planners" => planners.len(),
        "sockets" => papers.sockets, "memory_mb" => papers.memory >> 20);
    deck.poller.remind(deck.now + SWEEP, mark(deck::SWEEP), 0);
    let AtStart { stop, reread } = start;
    let mut forward = Forward {
        deck,
        core,
        ferries: Ferries::default(),
        wires: Wires::default(),
        door,
        stop,
        reread,
        path: path.to_path_buf(),
        forwards,
        planners,
        armed: 0,
        deeds: Vec::new(),
    };
    loop {
        forward.turn();
        backlog.drain();
        if forward.deck.leaving.is_some_and(|t| forward.deck.now >= t) && forward.ferries.count() == 0 {
            info!(log, "stopped");
            backlog.drain();
            return Ok(());
        }
        forward.gather(&clock).map_err(|e| format!("cannot poll: {e}"))?;
    }
}

impl Forward {
    fn gather(&mut self, clock: &Clock) -> Result<(), Errno> {
        let next = self.core.next();
        if next < self.armed || self.armed <= self.deck.now {
            self.armed = next;
            self.deck.poller.remind(next, mark(TICK), 0);
        }
        let mut ready = Vec::new();
        let at_once = !self.deck.events.is_empty() || self.ferries.busy() || self.wires.more;
        self.deck.poller.wait(clock.read(), at_once, &mut ready)?;
        self.deck.now = clock.read();
        for one in ready {
            let deck = &mut self.deck;
            match one.mark.part {
                deck::DOOR => self.ferries.accept(deck, Some(&self.door)),
                STOP => self.part(),
                deck::REREAD => self.read_again(),
                LINK => self.ready(one),
                _ => self.ferries.ready(deck, one),
            }
        }
        if self.ferries.busy() {
            self.ferries.resume(&mut self.deck, Some(&self.door));
        }
        while let Some((mark, word)) = self.deck.poller.due(self.deck.now) {
            match mark.part {
                deck::HOST => self.ferries.due(&mut self.deck, mark, word),
                deck::SWEEP => self.sweep(),
                _ => {}
            }
        }
        Ok(())
    }

    fn sweep(&mut self) {
        let deck = &mut self.deck;
        self.ferries.accept(deck, Some(&self.door));
        self.ferries.sweep(deck);
        deck.spare();
        deck.hosts.look(deck.now, &mut deck.events);
        deck.poller.remind(deck.now + SWEEP, mark(deck::SWEEP), 0);
    }

    fn ready(&mut self, ready: Readiness) {
        let line = ready.mark.slot;
        let Some(wire) = self.wires.all.get_mut(&line).filter(|w| w.stamp == ready.mark.stamp) else {
            return;
        };
        wire.ready(ready);
        match wire.came_up() {
            Ok(true) => self.core.called(line),
            Ok(false) => {}
            Err(_) => self.lost(line, "unconnected"),
        }
    }

    fn lost(&mut self, line: u32, why: &str) {
        self.wires.all.remove(&line);
        self.core.lost(self.deck.now, line, why, &mut self.deeds);
    }

    /// All of a turn behind the gathering.
    fn turn(&mut self) {
        let now = self.deck.now;
        let (core, deeds) = (&mut self.core, &mut self.deeds);
        let ended = self.wires.read(|line, bytes| core.came(now, line, bytes, deeds));
        ended.into_iter().for_each(|(line, why)| self.lost(line, why));
        for event in std::mem::take(&mut self.deck.events) {
            self.core.event(now, event, &mut self.deeds);
        }
        self.core.tick(now, &mut self.deeds);
        for deed in std::mem::take(&mut self.deeds) {
            self.carry_out(deed);
        }
        let core = &mut self.core;
        let ended = self.wires.write(|line, wire| {
            let count = wire.write(core.outgoing(line))?;
            core.sent(line, count);
            Ok(())
        });
        ended.into_iter().for_each(|(line, why)| self.lost(line, why));
    }

    fn carry_out(&mut self, deed: Deed) {
        let deck = &mut self.deck;
        match deed {
            Deed::Act(action) => _ = self.ferries.carry_out(deck, action),
            Deed::HandOff { id, host, until, by } => self.ferries.hand_off(deck, id, host, until, by),
            Deed::Call { line, address } => self.call(line, address),
            Deed::Hang { line } => _ = self.wires.all.remove(&line),
            Deed::Host(line) => {
                let log = deck.log.clone();
                deck.hosts.heard(deck.now, line, &log);
            }
            Deed::Log(text) => info!(deck.log, "{}", text),
        }
    }

    fn call(&mut self, line: u32, address: SocketAddr) {
        let deck = &mut self.deck;
        let opened = deck.budget.connect(&address).and_then(|(socket, _)| {
            // Whether it stands is told by the poller in either case.
            let mark = Mark { part: LINK, slot: line, stamp: deck.stamp() };
            deck.poller.watch(&socket, mark)?;
            Ok(Wire::new(socket, mark.stamp, false))
        });
        match opened {
            Ok(wire) => _ = self.wires.all.insert(line, wire),
            Err(_) => self.lost(line, "unconnected"),
        }
    }

    fn part(&mut self) {
        if self.stop.came() && self.deck.leaving.is_none() {
            let event = self.deck.leave(BEYOND_EXPIRY, self.ferries.count());
            self.deck.events.push(event);
        }
    }

    /// Takes the operator's file up afresh: the planners alone may change in a forwarder that runs.
    fn read_again(&mut self) {
        if !self.reread.came() {
            return;
        }
        let log = self.deck.log.clone();
        // Guards: a forwarder led astray by a file that is half written or wrong.
        let fresh = match Articles::read(&self.path) {
            Ok(fresh) => fresh,
            Err(why) => return warn!(log, "articles not taken up"; "why" => why),
        };
        if fresh.role != Role::Forward(self.forwards.clone()) {
            warn!(log, "kept until the next start"; "parts" => fresh.role.word());
        }
        if fresh.planners.is_empty() {
            return warn!(log, "articles not taken up"; "why" => "no planner is named");
        }
        info!(log, "articles read again"; "planners" => fresh.planners.len());
        if fresh.planners != self.planners {
            self.planners = fresh.planners.clone();
            self.core.planners(self.deck.now, fresh.planners, &mut self.deeds);
        }
    }
}
