//! The single node, which decides for itself: its start, its signals and its one loop. It owns the order of a turn: gather what is ready,
//! hand it to the module in one go with one reading of the clock, carry out what came back. It must
//! never decide anything that the module decides, nor wait for anything but the poller.

use crate::deck::{self, mark, Deck};
use crate::ferry::probe::Probes;
use crate::ferry::Ferries;
use crate::listing::discovery::Discovery;
use crate::listing::list::List;
use crate::operators::articles::{self, Articles, Role};
use crate::operators::ops::{Call, Ops, Reply};
use crate::operators::papers::Papers;
use crate::operators::tally::Now;
use crate::peers::fleet::Fleet;
use crate::peers::wards::Wards;
use crate::peers::words::{Correspondence, Peers};
use crate::roles::succession::{Estate, Succession};
use crate::{AtStart, BEYOND_EXPIRY, SWEEP};
use reedferry::{Action, Balancer, Charter, Effect, Event};
use reedferry_members::State;
use reedferry_quay::{Clock, Errno, Signal, Socket};
use reedferry_terms::renewal;
use slog::{info, warn};
use std::path::Path;

/// Where a node finds its papers.
pub enum Told<'a> {
    /// In the file that the environment names, as the platform has it.
    Environment,
    /// In the file that an operator's file names.
    Operator(&'a Path),
}

impl Told<'_> {
    fn papers(&self) -> Result<(Papers, Option<Correspondence>), String> {
        match self {
            Told::Environment => {
                let papers = Papers::read()?;
                let reach = articles::reach(&papers, None, &[]);
                Ok((papers, reach.map_err(|(_, why)| why)?))
            }
            Told::Operator(path) => match Articles::read(path)? {
                Articles { papers, role: Role::Node(correspondence), .. } => Ok((papers, correspondence)),
                Articles { role, .. } => {
                    Err(format!("{} is for `reedferry {}`", path.display(), role.word()))
                }
            },
        }
    }
}

struct Node<'a> {
    told: Told<'a>,
    deck: Deck,
    module: Balancer,
    ferries: Ferries,
    discovery: Discovery,
    probes: Probes,
    peers: Option<Peers>,
    fleet: Option<Fleet>,
    wards: Option<Wards>,
    correspondence: Option<Correspondence>,
    succession: Succession,
    /// What the module is told where nobody goes on with the clients of a node that stops.
    parting: Option<Event>,
    ops: Option<Ops>,
    stop: Signal,
    reread: Signal,
    papers: Papers,
    actions: Vec<Action>,
    /// Whether every event and action of the module is logged.
    trace: bool,
}

pub fn run(told: Told, start: AtStart) -> Result<(), String> {
    let (mut papers, correspondence) = told.papers()?;
    let clock = Clock::start();
    let (mut deck, backlog) = Deck::open(&papers, &clock, &start)?;
    let mut succession = Succession::open(&mut deck, &papers)?;
    let mut estate = succession.begin(&mut deck, &clock);
    if let Some(estate) = &mut estate {
        renewal::keep((&mut papers.charter, &mut papers.terms), std::mem::take(&mut estate.held));
        (deck.terms, deck.offerings) = (papers.terms.clone(), papers.charter.offerings.clone());
    }
    let estate = estate.map(|e| e.in_terms_of(&papers.terms.offerings));
    let ops = papers.ops.map(|at| Ops::open(&mut deck, &at)).transpose()?;
    let (now, log) = (deck.now, deck.log.clone());
    let mut actions = Vec::new();
    let fleet = correspondence.as_ref().and_then(|c| c.fleet.as_ref());
    let fleet = fleet.map(|terms| Fleet::open(&mut deck, terms, &papers)).transpose()?;
    let wards = fleet.as_ref().and_then(|fleet| {
        let terms = correspondence.as_ref()?.fleet.as_ref()?.wards.as_ref()?;
        let Charter { node, nodes, .. } = papers.charter;
        Some(Wards::new(&deck, terms, node, nodes, fleet.life()))
    });
    let peers = correspondence.as_ref().filter(|c| c.fleet.is_none());
    let peers = peers.map(|correspondence| Peers::open(&mut deck, correspondence)).transpose()?;
    let module = Balancer::new(papers.charter.clone(), papers.seed, now, &mut actions);
    let mut revision = deck.known(&papers)?;
    if let Some(Estate { discovery, revision: reached, members, legacy, .. }) = estate {
        // What another process was told last is newer than what this one was started with.
        let roll = List { revision: reached.unwrap_or(0), complete: true, members };
        let event = deck.hosts.told(deck.now, roll, true, &deck.log);
        deck.events.extend([event, Event::Inherited(Box::new(legacy))]);
        revision = reached.filter(|_| discovery == papers.discovery);
    }
    let hosts = deck.hosts.count();
    // The system deals out the port where none is named.
    let listen = succession.door().and_then(Socket::address).unwrap_or(papers.listen);
    info!(log, "started"; "listen" => %listen, "hosts" => hosts, "revision" => revision,
        "sockets" => papers.sockets, "memory_mb" => papers.memory >> 20);
    let AtStart { stop, reread } = start;
    let mut node = Node {
        told,
        deck,
        module,
        ferries: Ferries::default(),
        discovery: Discovery::new(papers.discovery, revision, &papers.charter, papers.terms.drain_grace, now),
        probes: Probes::default(),
        peers,
        fleet,
        wards,
        correspondence,
        succession,
        parting: None,
        ops,
        stop,
        reread,
        papers,
        actions,
        trace: std::env::var_os("REEDFERRY_TRACE").is_some(),
    };
    node.deck.poller.remind(now + SWEEP, mark(deck::SWEEP), 0);
    loop {
        node.decide();
        node.guard();
        backlog.drain();
        let late = |t| node.deck.now >= t || node.succession.over();
        if node.deck.leaving.is_some_and(late) && node.ferries.count() == 0 {
            let Node { fleet, deck, .. } = &mut node;
            fleet.iter_mut().for_each(|fleet| fleet.ends(deck));
            info!(log, "stopped");
            backlog.drain();
            return Ok(());
        }
        node.gather(&clock).map_err(|e| format!("cannot poll: {e}"))?;
    }
}

impl Node<'_> {
    /// Gathers what has come since the last turn.
    fn gather(&mut self, clock: &Clock) -> Result<(), Errno> {
        let mut ready = Vec::new();
        let at_once = !self.deck.events.is_empty() || self.ferries.busy();
        self.deck.poller.wait(clock.read(), at_once, &mut ready)?;
        let before = std::mem::replace(&mut self.deck.now, clock.read());
        self.fleet.iter_mut().for_each(|fleet| fleet.mind(&mut self.deck));
        // Guards: an operator who waits behind a crowd of clients; clients handed to a host that drains, by the word
        // of a list that came before them, while the process stood still.
        ready.sort_by_key(|one| match one.mark.part {
            deck::DISCOVERY => 0,
            deck::OPS | deck::OPS_DOOR => 1,
            _ => 2,
        });
        if self.deck.now > before + 2 * SWEEP {
            self.discovery.look(&mut self.deck);
        }
        for one in ready {
            let deck = &mut self.deck;
            match one.mark.part {
                deck::DOOR => self.ferries.accept(deck, self.succession.door()),
                deck::STOP => self.part(),
                deck::REREAD => self.read_again(),
                deck::DISCOVERY => self.discovery.ready(deck, one),
                deck::PROBE => self.probes.ready(deck, one),
                deck::OPS_DOOR => self.ops.iter_mut().for_each(|ops| ops.accept(deck)),
                deck::OPS => self.ops.iter_mut().for_each(|ops| ops.ready(deck, one)),
                deck::HEIR_DOOR | deck::HEIR | deck::ELDER => {
                    self.succession.ready(deck, &mut self.ferries, one);
                }
                deck::PEERS => {
                    self.peers.iter_mut().for_each(|peers| peers.ready(deck));
                    self.fleet.iter_mut().for_each(|fleet| fleet.ready(deck));
                }
                _ => self.ferries.ready(deck, one),
            }
        }
        while let Some((caller, call)) = self.ops.as_mut().and_then(Ops::next) {
            let reply = self.called(call);
            self.ops.iter_mut().for_each(|ops| ops.reply(&mut self.deck, caller, &reply));
        }
        if self.ferries.busy() {
            self.ferries.resume(&mut self.deck, self.succession.door());
        }
        while let Some((mark, word)) = self.deck.poller.due(self.deck.now) {
            let deck = &mut self.deck;
            match mark.part {
                deck::MODULE => deck.events.push(Event::Timer { mark: word }),
                deck::HOST => self.ferries.due(deck, mark, word),
                deck::PROBE => self.probes.due(deck, mark),
                deck::WARDS => self.wards.iter_mut().for_each(|wards| wards.due(deck)),
                deck::FLEET => self.fleet.iter_mut().for_each(|fleet| fleet.due(deck)),
                _ => self.sweep(),
            }
        }
        if let (Some(wards), Some(fleet)) = (&mut self.wards, &mut self.fleet) {
            wards.turn(&mut self.deck, fleet);
        }
        self.pass_on();
        Ok(())
    }

    /// Leaves another process what this one knows, and when it stops its connections; without one, the module
    /// sends the clients away.
    fn pass_on(&mut self) {
        let deck = &mut self.deck;
        if self.succession.wanted() {
            let estate = Estate {
                discovery: self.papers.discovery,
                revision: self.discovery.revision(),
                members: deck.hosts.members(),
                offerings: deck.terms.offerings.clone(),
                held: self.ferries.held(deck),
                legacy: self.module.leave(),
            };
            self.succession.leave(deck, &mut self.ferries, &estate);
        }
        if deck.leaving.is_some() {
            self.succession.pass_on(deck, &mut self.ferries);
        }
        if !self.succession.has_heir() {
            deck.events.extend(self.parting.take());
        }
    }

    /// Hands what was gathered to the module and carries out what it orders.
    fn decide(&mut self) {
        let effects: Vec<Effect> = match &self.wards {
            Some(_) => self.papers.charter.offerings.iter().map(|o| o.effect).collect(),
            None => Vec::new(),
        };
        for event in std::mem::take(&mut self.deck.events) {
            let event = match &mut self.wards {
                Some(wards) => wards.before(&mut self.deck, &effects, event),
                None => Some(event),
            };
            let Some(event) = event else { continue };
            if self.trace {
                info!(self.deck.log, "event {:?}", event);
            }
            self.module.handle(self.deck.now, event, &mut self.actions);
        }
        for action in std::mem::take(&mut self.actions) {
            let deck = &mut self.deck;
            if self.trace {
                info!(deck.log, "action {:?}", action);
            }
            let action = match &mut self.wards {
                Some(wards) => wards.ahead(deck, action),
                None => Some(action),
            };
            let Some(action) = action else { continue };
            let Some(action) = self.ferries.carry_out(deck, action) else { continue };
            match action {
                Action::WakeAt { time, mark: word } => deck.poller.remind(time, mark(deck::MODULE), word),
                Action::AskRoll => self.discovery.ask(deck),
                Action::FollowRoll => self.discovery.follow(deck),
                Action::Probe { host } => self.probes.send(deck, host),
                Action::Tell { message } => {
                    self.peers.iter().for_each(|peers| peers.tell(&message));
                    self.fleet.iter().for_each(|fleet| fleet.tell(&message));
                }
                Action::Log(text) => info!(deck.log, "{}", text),
                // The ferry has carried out the rest.
                _ => {}
            }
        }
    }

    /// What wards let go ahead, and what they ask of others.
    fn guard(&mut self) {
        let (Some(wards), Some(fleet)) = (&mut self.wards, &mut self.fleet) else { return };
        wards.turn(&mut self.deck, fleet);
        for action in wards.ready() {
            self.ferries.carry_out(&mut self.deck, action);
        }
    }

    fn sweep(&mut self) {
        let deck = &mut self.deck;
        self.ops.iter_mut().for_each(|ops| ops.sweep(deck));
        self.ferries.accept(deck, self.succession.door());
        self.ferries.sweep(deck);
        deck.spare();
        self.discovery.sweep(deck);
        let (shares, looks) = (self.module.shares_turns(deck.now), self.papers.charter.probe_for_gauges);
        if let Some(fleet) = &mut self.fleet {
            fleet.sweep(deck);
            fleet.serve(deck, shares, looks);
        }
        deck.hosts.look(deck.now, &mut deck.events);
        deck.poller.remind(deck.now + SWEEP, mark(deck::SWEEP), 0);
    }

    /// Does what operators ask for, and says how it stands.
    fn called(&mut self, call: Call) -> Reply {
        let (stops, stands_by) = (self.deck.leaving.is_some(), self.deck.standby.is_some());
        let held = self.ferries.count();
        match call {
            Call::Figures => {
                let (hosts_known, hosts_excluded) = self.module.regard(self.deck.now);
                let in_flight = self.ferries.in_flight();
                Reply::new(200, self.deck.tally.text(&Now { in_flight, hosts_known, hosts_excluded }))
            }
            Call::Fleet => match &self.fleet {
                Some(fleet) => {
                    Reply::new(200, fleet.text(self.deck.now, self.wards.as_ref().map(Wards::figures)))
                }
                None => Reply::new(404, "no fleet\n"),
            },
            Call::Status if stops => Reply::new(503, "stopping\n"),
            Call::Status if stands_by => Reply::new(503, "standby\n"),
            Call::Status if self.module.regard(self.deck.now).0 == 0 => Reply::new(503, "no hosts known\n"),
            Call::Status => Reply::new(200, "ready\n"),
            Call::Active if stops => Reply::new(409, "stopping\n"),
            Call::Standby if stops => Reply::new(200, "stopping\n"),
            Call::Standby => {
                if !stands_by {
                    let event = self.deck.stand_by(held);
                    self.deck.events.push(event);
                    self.stands(State::Standby);
                }
                Reply::new(200, "standby\n")
            }
            Call::Active => {
                if stands_by {
                    let event = self.deck.back_to_work();
                    self.deck.events.push(event);
                    self.stands(State::Working);
                }
                Reply::new(200, "active\n")
            }
        }
    }

    fn part(&mut self) {
        if !self.stop.came() || self.deck.leaving.is_some() {
            return;
        }
        self.succession.part(&self.deck);
        self.parting = Some(self.deck.leave(BEYOND_EXPIRY, self.ferries.count()));
        self.stands(State::Leaving);
    }

    /// Tells the fleet how this node stands.
    fn stands(&mut self, state: State) {
        let Node { fleet, deck, .. } = self;
        fleet.iter_mut().for_each(|fleet| fleet.stands(deck, state));
    }

    /// Takes the papers up afresh: discovery and settings may change in a node that runs.
    fn read_again(&mut self) {
        if !self.reread.came() {
            return;
        }
        let fresh = self.told.papers();
        // Guards: a node ended or led astray by papers that are half written or wrong.
        let checked = fresh.and_then(|fresh| self.papers.whole_in(&fresh.0).map(|()| fresh));
        self.deck.tally.reread(checked.is_ok());
        let (mut fresh, correspondence) = match checked {
            Ok(fresh) => fresh,
            Err(why) => return warn!(self.deck.log, "papers not taken up"; "why" => why),
        };
        let mut kept = self.papers.kept_from(&fresh);
        let fleet = correspondence.as_ref().and_then(|c| c.fleet.as_ref());
        let same = match (&mut self.fleet, fleet) {
            (Some(fleet), Some(terms)) => {
                let place = (fresh.charter.node, fresh.charter.nodes);
                fleet.renew(&mut self.deck, terms, place)
            }
            _ => correspondence == self.correspondence,
        };
        if !same {
            kept.push("peers");
            fresh.charter.peers = self.papers.charter.peers;
        }
        if !kept.is_empty() {
            warn!(self.deck.log, "kept until the next start"; "parts" => kept.join(" "));
        }
        info!(self.deck.log, "papers read again"; "discovery" => %fresh.discovery);
        self.retune(&mut fresh);
        let moved = fresh.discovery != self.papers.discovery;
        self.papers = fresh;
        if moved {
            self.discovery.go_over(&mut self.deck, self.papers.discovery);
        }
    }

    /// Goes by other settings from here on. What is under way keeps its offering.
    fn retune(&mut self, fresh: &mut Papers) {
        let Papers { charter, terms, .. } = &mut self.papers;
        let told = (fresh.charter.clone(), fresh.terms.clone());
        let zones = terms.zones != told.1.zones;
        let others = renewal::renew((charter, terms), told, |n| self.ferries.holds(n));
        (fresh.charter, fresh.terms) = (charter.clone(), terms.clone());
        let deck = &mut self.deck;
        (deck.terms, deck.offerings) = (terms.clone(), charter.offerings.clone());
        deck.tally.offers(&terms.offerings);
        deck.hosts.renew(terms.zones.clone(), charter.shortest_message_time());
        self.discovery.retune(charter, terms.drain_grace);
        deck.events.push(Event::Renewed(Box::new(charter.clone()), others));
        if zones {
            // Hosts are known by the places of their zones.
            let members = deck.hosts.members();
            let roll = List { revision: self.discovery.revision().unwrap_or(0), complete: true, members };
            let event = deck.hosts.told(deck.now, roll, true, &deck.log);
            deck.events.push(event);
        }
    }
}
