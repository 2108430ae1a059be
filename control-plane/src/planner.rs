//! The planner's end of the link. It owns the sessions of forwarders, a record for each attachment that
//! they told of, and the decision module of each zone, which alone chooses hosts and answers. It must
//! never decide by what it read later than the roll it knows, so its shell reads forwarders first and
//! discovery after them; never speak to a forwarder of what that one no longer follows it for; and never
//! keep more for a forwarder than its bounds.

use crate::frames::{
    self, ForwarderMessage, Hello, HostEntry, LinkError, PlacementRequest, PlannerMessage,
    PriorAttempts, Reader, Tally, Welcome, WireHostState, Writer,
};
use crate::frames::{LONGEST_NAME, MOST_NAMED};
use crate::plan::Shares;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reedferry::{
    Action, AttemptOutcome, Balancer, BalancerSettings, Endpoint, EndpointUpdate, Event, HostId,
    HostState, Nanos, RequestId, MILLI, SECOND,
};
use rustc_hash::FxHashMap;
use slab::Slab;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Sessions at the most.
pub const MOST_SESSIONS: usize = 1024;
/// What waits for a forwarder from which nothing that can wait is put behind it, and from which it is cut.
const FULL: usize = 128 << 10;
const STUFFED: usize = 4 << 20;
/// How often plans are sent.
const PLANS: Nanos = 100 * MILLI;
/// How long a forwarder may take to tell what stands before others are served all the same.
const TELLING: Nanos = SECOND;
/// How long a new connection may go without a greeting.
const GREETING: Nanos = SECOND;
/// Records of forwarders that are gone which are taken off the module in a turn.
const PORTION: usize = 1024;
/// The session of a record that waits for that.
const NOBODY: u32 = u32::MAX;
/// What a plan allows: at least, at the most.
const ALLOWED: (f64, f64) = (4.0, 256.0);
/// An order may be carried out a lease after it was decided, so three turns of a cold host's budget can
/// meet in one window where two do at a single node.
const LATE_ORDERS: f64 = 2.0 / 3.0;

/// What a planner is given.
#[derive(Clone, Debug)]
pub struct PlannerConfig {
    pub name: String,
    pub balancer_settings: BalancerSettings,
    pub zones: u16,
    /// Its place among the planners that the operator names, and how many those are.
    pub place: u32,
    pub planners: u32,
    pub fingerprint: u64,
    /// How long a forwarder may say nothing.
    pub silent: Nanos,
    /// How long a zone that nobody stood in waits for others to tell what stands.
    pub settle: Nanos,
    /// Attachments of one forwarder at the most.
    pub most_held: usize,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum PlannerAction {
    /// Has `timer` called for the zone at this time.
    SetTimer {
        time: Nanos,
        zone: u16,
        mark: u64,
    },
    PollEndpoints,
    WatchEndpoints,
    Probe {
        host: HostId,
    },
    /// Ends a forwarder's connection once what waits for it is sent.
    Disconnect {
        line: u32,
    },
    Log(String),
}

struct Session {
    line: u32,
    /// Its number; none before it has greeted.
    number: Option<u64>,
    name: String,
    epoch: u64,
    zone: u16,
    reader: Reader,
    writer: Writer,
    tally: Tally,
    inbox: Vec<ForwarderMessage>,
    /// The last beat read, the last that was decided under, and the last that was answered.
    beat: u64,
    heard: u64,
    answered: u64,
    last: Nanos,
    follows: bool,
    /// It still tells what stands, until then at the longest.
    telling: Option<Nanos>,
    /// The planner's record of each of its attachments.
    ids: FxHashMap<u64, u32>,
    /// Up to which change of the hosts it has been told, and whether it was told all once.
    told: u64,
    listed: bool,
    /// Attachments asked for of late.
    asks: f64,
    planned: Nanos,
    cut: bool,
}

struct Held {
    session: u32,
    zone: u16,
    /// The forwarder's name for it, and the step that an answer is to bear.
    id: u64,
    step: u32,
    /// Tells one holder of a record from the next.
    round: u32,
    /// The host of its hand-off or its connection.
    at: Option<HostId>,
    waits: bool,
}

struct Known {
    line: HostEntry,
    listing: Endpoint,
    change: u64,
}

struct Zone {
    module: Balancer,
    actions: Vec<Action>,
    shares: Shares,
    weights: Vec<(u64, u16)>,
    weighed: Nanos,
    followers: u32,
    /// Nothing is placed before.
    settles: Nanos,
    /// What has gathered towards the next hand-off to a cold host.
    thinned: f64,
    /// What came while something else was still told: the record and its round.
    waiting: VecDeque<(u32, u32, PlacementRequest, PriorAttempts, Nanos)>,
}

pub struct Planner {
    remit: PlannerConfig,
    rng: ChaCha8Rng,
    start: Nanos,
    zones: Vec<Zone>,
    sessions: Slab<Session>,
    lines: HashMap<u32, usize>,
    held: Slab<Held>,
    /// Records that no session has any more, with their rounds, and that the module still has.
    parting: VecDeque<(u32, u32)>,
    rounds: u32,
    hosts: HashMap<HostId, Known>,
    /// The hosts in the order of their last changes.
    changes: BTreeMap<u64, HostId>,
    change: u64,
    as_of: u64,
    going: bool,
    decided: u64,
}

impl Planner {
    pub fn new(remit: PlannerConfig, seed: u64, now: Nanos, out: &mut Vec<PlannerAction>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let zones = u32::from(remit.zones.max(1));
        let all = 0..zones;
        let zones = all.map(|zone| {
            let balancer_settings = BalancerSettings {
                node_index: remit.place * zones + zone,
                node_count: remit.planners.max(1) * zones,
                zone: zone as u16,
                // Guards: the hosts that a node among many leaves to the others, left idle by all of a few.
                centralized: true,
                overload_factor: remit.balancer_settings.overload_factor * LATE_ORDERS,
                ..remit.balancer_settings.clone()
            };
            let mut actions = Vec::new();
            let module = Balancer::new(balancer_settings, rng.random(), now, &mut actions);
            let (shares, weights, waiting) = (Shares::default(), Vec::new(), VecDeque::new());
            Zone {
                module,
                actions,
                shares,
                weights,
                weighed: 0,
                followers: 0,
                settles: 0,
                thinned: 0.0,
                waiting,
            }
        });
        let zones = zones.collect();
        let mut planner = Planner {
            remit,
            rng,
            start: now,
            zones,
            sessions: Slab::new(),
            lines: HashMap::new(),
            held: Slab::new(),
            parting: VecDeque::new(),
            rounds: 0,
            hosts: HashMap::new(),
            changes: BTreeMap::new(),
            change: 0,
            as_of: 0,
            going: false,
            decided: 0,
        };
        (0..planner.zones.len()).for_each(|zone| planner.carry_out(now, zone, out));
        planner
    }

    /// Attachments on record.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Forwarders that follow this planner.
    pub fn followers(&self) -> usize {
        self.sessions.iter().filter(|(_, s)| s.follows).count()
    }

    /// Attachments that were asked for since the start.
    pub fn decided(&self) -> u64 {
        self.decided
    }

    /// A connection has come in.
    pub fn accept(&mut self, now: Nanos, line: u32, out: &mut Vec<PlannerAction>) {
        if self.sessions.len() >= MOST_SESSIONS {
            out.push(PlannerAction::Log(
                "forwarder turned away why=too many sessions".into(),
            ));
            return out.push(PlannerAction::Disconnect { line });
        }
        let key = self.sessions.insert(Session {
            line,
            number: None,
            name: String::new(),
            epoch: 0,
            zone: 0,
            reader: Reader::default(),
            writer: Writer::default(),
            tally: Tally::default(),
            inbox: Vec::new(),
            beat: 0,
            heard: 0,
            answered: 0,
            last: now,
            follows: false,
            telling: None,
            ids: FxHashMap::default(),
            told: 0,
            listed: false,
            asks: 0.0,
            planned: 0,
            cut: false,
        });
        self.lines.insert(line, key);
    }

    /// The connection has ended.
    pub fn lost(&mut self, line: u32, why: &str, out: &mut Vec<PlannerAction>) {
        if let Some(key) = self.lines.get(&line).copied() {
            self.end(key, why, out);
        }
    }

    pub fn outgoing(&self, line: u32) -> &[u8] {
        self.lines
            .get(&line)
            .map_or(&[], |&key| self.sessions[key].writer.waiting())
    }

    pub fn sent(&mut self, line: u32, count: usize) {
        if let Some(&key) = self.lines.get(&line) {
            self.sessions[key].writer.sent(count);
        }
    }

    /// Bytes of a forwarder: kept for `decide`, once they are found to be in order.
    pub fn came(&mut self, now: Nanos, line: u32, bytes: &[u8], out: &mut Vec<PlannerAction>) {
        let Some(&key) = self.lines.get(&line) else {
            return;
        };
        if self.sessions[key].cut {
            return;
        }
        let mut reader = std::mem::take(&mut self.sessions[key].reader);
        match reader.feed(bytes, |body| self.body(key, body, out)) {
            Ok(()) => (self.sessions[key].reader, self.sessions[key].last) = (reader, now),
            Err(why) => self.cut(key, &why.to_string(), out),
        }
    }

    fn body(
        &mut self,
        key: usize,
        body: &[u8],
        out: &mut Vec<PlannerAction>,
    ) -> Result<(), LinkError> {
        let Some(number) = self.sessions[key].number else {
            return self.greeted(key, body, out);
        };
        let session = &mut self.sessions[key];
        let (head, mut notes) = frames::piece(body)?;
        session.tally.take(&head, number)?;
        if head.beat < session.beat {
            return Err(LinkError::Unexpected("a beat that runs backwards"));
        }
        session.beat = head.beat;
        while let Some(note) = notes.take()? {
            if let ForwarderMessage::RequestPlacement { past, .. } = &note {
                if past.tried.len() > MOST_NAMED {
                    return Err(LinkError::Unexpected("a history without end"));
                }
            }
            session.inbox.push(note);
        }
        Ok(())
    }

    fn greeted(
        &mut self,
        key: usize,
        body: &[u8],
        out: &mut Vec<PlannerAction>,
    ) -> Result<(), LinkError> {
        let hello: Hello = frames::greeting(body)?;
        let named = |name: &str| !name.is_empty() && name.len() <= LONGEST_NAME;
        let other = self
            .sessions
            .iter()
            .find(|(n, s)| *n != key && s.number.is_some() && s.name == hello.name);
        let other = other.map(|(n, s)| (n, s.epoch));
        let refused = if !named(&hello.name) {
            Some("no proper name")
        } else if hello.planner != self.remit.name {
            Some("another planner is meant")
        } else if hello.fingerprint != self.remit.fingerprint {
            Some("other settings")
        } else if hello.zone >= self.remit.zones.max(1) {
            Some("an unknown zone")
        } else if other.is_some_and(|(_, epoch)| epoch > hello.epoch) {
            Some("a forwarder of this name is here")
        } else {
            None
        };
        let session = &mut self.sessions[key];
        if let Some(why) = refused {
            session.writer.greet(&Welcome::Refused(why.into()));
            return Err(LinkError::Unexpected(why));
        }
        // A number that a peer of before, or another's peer, does not know.
        let number = self.rng.random::<u64>().max(1);
        session.writer.greet(&Welcome::Session(number));
        (session.number, session.name, session.epoch) = (Some(number), hello.name, hello.epoch);
        session.zone = hello.zone;
        if self.going {
            session.writer.put(number, 0, &PlannerMessage::ShuttingDown);
            session.writer.seal();
        }
        let (name, zone) = (&session.name, session.zone);
        out.push(PlannerAction::Log(format!(
            "forwarder came name={name} zone={zone}"
        )));
        if let Some((older, _)) = other {
            // Guards: a forwarder that is back from a cut link, kept out by what is left of itself.
            self.cut(older, "it came again", out);
        }
        Ok(())
    }

    fn cut(&mut self, key: usize, why: &str, out: &mut Vec<PlannerAction>) {
        let session = &mut self.sessions[key];
        if session.cut {
            return;
        }
        session.cut = true;
        let line = session.line;
        if session.number.is_none() {
            out.push(PlannerAction::Log(format!(
                "forwarder turned away why={why}"
            )));
        }
        out.push(PlannerAction::Disconnect { line });
        self.release(key, why, out);
    }

    fn end(&mut self, key: usize, why: &str, out: &mut Vec<PlannerAction>) {
        self.release(key, why, out);
        let session = self.sessions.remove(key);
        self.lines.remove(&session.line);
    }

    /// Takes a session's attachments off the module, and its number with them.
    fn release(&mut self, key: usize, why: &str, out: &mut Vec<PlannerAction>) {
        self.unfollow(key);
        let session = &mut self.sessions[key];
        session.inbox.clear();
        if session.number.take().is_some() {
            let name = &session.name;
            out.push(PlannerAction::Log(format!(
                "forwarder gone name={name} why={why}"
            )));
        }
    }

    fn unfollow(&mut self, key: usize) {
        let session = &mut self.sessions[key];
        session.telling = None;
        let zone = usize::from(session.zone);
        if std::mem::take(&mut session.follows) {
            self.zones[zone].followers -= 1;
        }
        let mut ids: Vec<u32> = std::mem::take(&mut self.sessions[key].ids)
            .into_values()
            .collect();
        ids.sort_unstable();
        for record in ids {
            let Some(held) = self.held.get_mut(record as usize) else {
                continue;
            };
            if held.waits {
                self.held.remove(record as usize);
                continue;
            }
            // Guards: a planner that stands still over tens of thousands of records of one forwarder that
            // died, longer than the others take its word.
            held.session = NOBODY;
            self.parting.push_back((record, held.round));
        }
    }

    /// Takes a portion of the records that no session has any more off the module.
    fn part(&mut self, now: Nanos, out: &mut Vec<PlannerAction>) {
        for _ in 0..PORTION {
            let Some((record, round)) = self.parting.pop_front() else {
                return;
            };
            if self
                .held
                .get(record as usize)
                .is_some_and(|h| h.round == round)
            {
                self.forget(now, record, AttemptOutcome::NeverSent, out);
            }
        }
    }

    /// The one place where a record is given back; the module is told where it still has it.
    fn forget(
        &mut self,
        now: Nanos,
        record: u32,
        ending: AttemptOutcome,
        out: &mut Vec<PlannerAction>,
    ) {
        let Some(held) = self.held.try_remove(record as usize) else {
            return;
        };
        if let Some(session) = self.sessions.get_mut(held.session as usize) {
            session.ids.remove(&held.id);
        }
        if held.waits {
            return;
        }
        let (id, zone) = (name(record, held.round), usize::from(held.zone));
        let event = match held.at {
            Some(host) => Event::AttemptEnded {
                id,
                attempt: 0,
                host,
                request_over: true,
                ending,
                load_metrics: Vec::new(),
            },
            None => Event::ClientLeft { id },
        };
        self.tell(now, zone, event, out);
    }

    /// Takes in what the roll says: what the module is told, and the hosts as forwarders know them.
    pub fn roll(
        &mut self,
        now: Nanos,
        kind: EndpointUpdate,
        hosts: Vec<Endpoint>,
        lines: Vec<HostEntry>,
        out: &mut Vec<PlannerAction>,
    ) {
        let listings: HashMap<HostId, Endpoint> = hosts.iter().map(|l| (l.id, *l)).collect();
        for line in lines {
            let id = HostId(line.id);
            let Some(listing) = listings.get(&id).copied() else {
                continue;
            };
            self.as_of = self.as_of.max(line.as_of);
            self.changed(id, line, listing);
        }
        if matches!(kind, EndpointUpdate::Full | EndpointUpdate::Cached) {
            let gone = |k: &&Known| {
                !listings.contains_key(&k.listing.id) && k.listing.state != HostState::Gone
            };
            let mut gone: Vec<(HostEntry, Endpoint)> = self
                .hosts
                .values()
                .filter(gone)
                .map(|k| (k.line.clone(), k.listing))
                .collect();
            gone.sort_by_key(|(line, _)| line.id);
            for (line, listing) in gone {
                let line = HostEntry {
                    stands: WireHostState::Gone,
                    as_of: self.as_of,
                    ..line
                };
                self.changed(
                    listing.id,
                    line,
                    Endpoint {
                        state: HostState::Gone,
                        ..listing
                    },
                );
            }
        }
        self.bury();
        for zone in 0..self.zones.len() {
            self.zones[zone].weighed = 0;
            self.tell(
                now,
                zone,
                Event::EndpointsUpdated {
                    kind,
                    endpoints: hosts.clone(),
                },
                out,
            );
        }
    }

    /// Forgets hosts that are gone once all forwarders have been told. Guards: a table that grows with every
    /// host that there ever was.
    fn bury(&mut self) {
        let told = self
            .sessions
            .iter()
            .filter(|(_, s)| s.number.is_some())
            .map(|(_, s)| s.told)
            .min();
        let told = told.unwrap_or(self.change);
        let gone = |k: &Known| k.listing.state == HostState::Gone && k.change <= told;
        let changes = &mut self.changes;
        self.hosts.retain(|_, known| {
            let goes = gone(known);
            if goes {
                changes.remove(&known.change);
            }
            !goes
        });
    }

    fn changed(&mut self, id: HostId, line: HostEntry, listing: Endpoint) {
        self.change += 1;
        let (change, known) = (
            self.change,
            Known {
                line,
                listing,
                change: self.change,
            },
        );
        if let Some(old) = self.hosts.insert(id, known) {
            self.changes.remove(&old.change);
        }
        self.changes.insert(change, id);
    }

    /// A probe has come back.
    pub fn probed(&mut self, now: Nanos, event: &Event, out: &mut Vec<PlannerAction>) {
        (0..self.zones.len()).for_each(|zone| self.tell(now, zone, event.clone(), out));
    }

    pub fn timer(&mut self, now: Nanos, zone: u16, mark: u64, out: &mut Vec<PlannerAction>) {
        if usize::from(zone) < self.zones.len() {
            self.tell(now, zone.into(), Event::TimerFired { timer: mark }, out);
        }
    }

    /// The planner is asked to stop: forwarders are told to follow another.
    pub fn leave(&mut self, out: &mut Vec<PlannerAction>) {
        self.going = true;
        out.push(PlannerAction::Log(format!(
            "leaving followers={} held={}",
            self.followers(),
            self.held.len()
        )));
        for (_, session) in &mut self.sessions {
            if let Some(number) = session.number {
                session
                    .writer
                    .put(number, session.heard, &PlannerMessage::ShuttingDown);
                session.writer.seal();
            }
        }
    }

    fn tell(&mut self, now: Nanos, zone: usize, event: Event, out: &mut Vec<PlannerAction>) {
        let it = &mut self.zones[zone];
        it.module.handle(now, event, &mut it.actions);
        self.carry_out(now, zone, out);
    }

    /// Carries out what a zone's module ordered.
    fn carry_out(&mut self, now: Nanos, zone: usize, out: &mut Vec<PlannerAction>) {
        while !self.zones[zone].actions.is_empty() {
            for action in std::mem::take(&mut self.zones[zone].actions) {
                match action {
                    // A forwarder is told one time: nothing of it is out after either.
                    Action::StartAttempt {
                        id,
                        host,
                        until,
                        by,
                    } => {
                        self.attempt(now, zone, id, host, until.min(by));
                    }
                    Action::Reject {
                        id,
                        retry_after: wait,
                    } => {
                        self.answer(id, |id, step| PlannerMessage::Reject { id, step, wait });
                    }
                    Action::Fail { id } => {
                        self.answer(id, |id, step| PlannerMessage::Fail { id, step });
                    }
                    Action::Migrate { id } => {
                        if let Some((session, held)) = self.find(id) {
                            let note = PlannerMessage::Migrate { id: held };
                            self.put(session, &note);
                        }
                    }
                    // The forwarder does the one when the client leaves, whoever it follows; a planner
                    // hears all that its forwarders know and has no peers to tell.
                    Action::CancelAttempt { .. } | Action::Gossip { .. } => {}
                    Action::SetTimer { time, timer: mark } => out.push(PlannerAction::SetTimer {
                        time,
                        zone: zone as u16,
                        mark,
                    }),
                    Action::PollEndpoints => out.push(PlannerAction::PollEndpoints),
                    Action::WatchEndpoints => out.push(PlannerAction::WatchEndpoints),
                    Action::Probe { host } => out.push(PlannerAction::Probe { host }),
                    Action::Log(text) => {
                        out.push(PlannerAction::Log(format!("{text} zone={zone}")));
                    }
                }
            }
        }
    }

    /// The session that holds it and its name there.
    fn find(&self, id: RequestId) -> Option<(usize, u64)> {
        let held = self
            .held
            .get(id.0 as u32 as usize)
            .filter(|h| u64::from(h.round) == id.0 >> 32)?;
        Some((held.session as usize, held.id))
    }

    fn put(&mut self, session: usize, note: &PlannerMessage) {
        let Some(session) = self.sessions.get_mut(session) else {
            return;
        };
        if let Some(number) = session.number {
            session.writer.put(number, session.heard, note);
        }
    }

    fn cold(&self, now: Nanos, host: HostId) -> bool {
        let started = self.hosts.get(&host).and_then(|k| k.listing.started);
        started.is_some_and(|t| now < t.saturating_add(self.remit.balancer_settings.warm_up))
    }

    fn attempt(&mut self, now: Nanos, zone: usize, id: RequestId, host: HostId, until: Nanos) {
        let Some((key, theirs)) = self.find(id) else {
            return;
        };
        let cold = self.cold(now, host);
        // Guards: the budget of a cold host spent twice, by a planner that died and again by its successor,
        // which remembers nothing of it: it leaves such hosts alone for as long as the budget is counted.
        let closed = now < self.start + self.remit.balancer_settings.overload_window;
        if cold && (closed || !self.thin(zone)) {
            let (ending, load_metrics) = (AttemptOutcome::NeverSent, Vec::new());
            let event = Event::AttemptEnded {
                id,
                attempt: 0,
                host,
                request_over: false,
                ending,
                load_metrics,
            };
            let it = &mut self.zones[zone];
            return it.module.handle(now, event, &mut it.actions);
        }
        if !cold {
            self.zones[zone].shares.chose(host, now);
        }
        let record = &mut self.held[id.0 as u32 as usize];
        record.at = Some(host);
        let step = record.step;
        // Guards: an order for a host that its forwarder has not been told of yet.
        if let Some(known) = self.hosts.get(&host) {
            if self
                .sessions
                .get(key)
                .is_some_and(|s| known.change > s.told)
            {
                let note = PlannerMessage::Host(known.line.clone());
                self.put(key, &note);
            }
        }
        let within = until.saturating_sub(now);
        self.put(
            key,
            &PlannerMessage::StartAttempt {
                id: theirs,
                step,
                host: host.0,
                within,
            },
        );
    }

    /// Whether a hand-off to a cold host that the zone's module orders may go. The module takes what it holds
    /// for the part of one of as many planners; where more forwarders follow this one, as many fewer go.
    /// Guards: a cold host pushed over when planners are gone or forwarders gather at one.
    fn thin(&mut self, zone: usize) -> bool {
        let all = self
            .sessions
            .iter()
            .filter(|(_, s)| s.number.is_some())
            .count();
        let parts = self.remit.planners.max(1) as usize * self.zones.len();
        let zone = &mut self.zones[zone];
        zone.thinned += (all as f64 / (zone.followers as f64 * parts as f64).max(1.0)).min(1.0);
        let goes = zone.thinned >= 1.0;
        zone.thinned -= f64::from(u8::from(goes));
        goes
    }

    fn answer(&mut self, id: RequestId, note: impl FnOnce(u64, u32) -> PlannerMessage) {
        let Some((session, theirs)) = self.find(id) else {
            return;
        };
        let held = self.held.remove(id.0 as u32 as usize);
        self.put(session, &note(theirs, held.step));
        if let Some(session) = self.sessions.get_mut(session) {
            session.ids.remove(&theirs);
        }
    }

    /// Decides what has come since the last turn, and seals what is to be sent. To be called once a turn,
    /// after discovery was read.
    pub fn decide(&mut self, now: Nanos, out: &mut Vec<PlannerAction>) {
        let keys: Vec<usize> = self.sessions.iter().map(|(key, _)| key).collect();
        for &key in &keys {
            let session = &mut self.sessions[key];
            if session.cut {
                continue;
            }
            session.heard = session.beat;
            for note in std::mem::take(&mut session.inbox) {
                if let Err(why) = self.note(now, key, note, out) {
                    self.cut(key, &why.to_string(), out);
                    break;
                }
            }
        }
        self.part(now, out);
        for zone in 0..self.zones.len() {
            self.place_waiting(now, zone, out);
        }
        for &key in &keys {
            self.finish(now, key, out);
        }
    }

    /// A session's part of a turn's end: the hosts, a plan, the answer to its beat.
    fn finish(&mut self, now: Nanos, key: usize, out: &mut Vec<PlannerAction>) {
        let session = &mut self.sessions[key];
        if session.cut {
            return;
        }
        let Some(number) = session.number else {
            if now >= session.last + GREETING {
                self.cut(key, "no greeting in time", out);
            }
            return;
        };
        if now >= session.last + self.remit.silent {
            return self.cut(key, "silent", out);
        }
        if session.writer.unsent() > STUFFED {
            return self.cut(key, "takes nothing", out);
        }
        let news = self.changes.range(session.told + 1..);
        for (&change, id) in news {
            if session.writer.unsent() > FULL {
                break;
            }
            session.told = change;
            let line = &self.hosts[id].line;
            session
                .writer
                .put(number, session.heard, &PlannerMessage::Host(line.clone()));
        }
        if !session.listed && session.told == self.change && self.change > 0 {
            session.listed = true;
            session.writer.put(
                number,
                session.heard,
                &PlannerMessage::HostsComplete { as_of: self.as_of },
            );
        }
        let zone = &mut self.zones[usize::from(session.zone)];
        if session.follows && (now >= session.planned + PLANS || zone.weighed == 0) {
            if now >= zone.weighed + PLANS || zone.weighed == 0 {
                let (hosts, cold) = (&self.hosts, self.remit.balancer_settings.warm_up);
                let warm = |k: &Known| {
                    k.listing
                        .started
                        .is_none_or(|t| now >= t.saturating_add(cold))
                };
                let ready = |k: &&Known| k.listing.state == HostState::Ready && warm(k);
                zone.weights = zone
                    .shares
                    .weights(now, |id| hosts.get(&id).filter(ready).is_some());
                zone.weighed = now;
            }
            let past = (now - session.planned.min(now)) as f64 / SECOND as f64;
            let allowance = (session.asks / 2.0).clamp(ALLOWED.0, ALLOWED.1) as u32;
            session.asks *= 0.5f64.powf(past.min(10.0));
            session.planned = now;
            let plan = PlannerMessage::Plan {
                hosts: zone.weights.clone(),
                allowance,
            };
            session.writer.put(number, session.heard, &plan);
        }
        if session.answered < session.heard {
            session.answered = session.heard;
            session.writer.mark(number, session.heard);
        }
        session.writer.seal();
    }

    fn record(&self, key: usize, id: u64) -> Option<u32> {
        self.sessions[key].ids.get(&id).copied()
    }

    /// Opens a record for an attachment; none where its forwarder has too many.
    fn open(
        &mut self,
        key: usize,
        id: u64,
        step: u32,
        at: Option<HostId>,
    ) -> Result<Option<u32>, LinkError> {
        let session = &mut self.sessions[key];
        if !session.follows {
            return Err(LinkError::Unexpected(
                "an attachment of one that does not follow",
            ));
        }
        if session.ids.contains_key(&id) {
            return Err(LinkError::Unexpected("an attachment told twice"));
        }
        if session.ids.len() >= self.remit.most_held {
            return Ok(None);
        }
        self.rounds = self.rounds.wrapping_add(1);
        let (zone, round) = (session.zone, self.rounds);
        let held = Held {
            session: key as u32,
            zone,
            id,
            step,
            round,
            at,
            waits: false,
        };
        let record = self.held.insert(held) as u32;
        self.sessions[key].ids.insert(id, record);
        Ok(Some(record))
    }

    fn note(
        &mut self,
        now: Nanos,
        key: usize,
        note: ForwarderMessage,
        out: &mut Vec<PlannerAction>,
    ) -> Result<(), LinkError> {
        let zone = usize::from(self.sessions[key].zone);
        match note {
            ForwarderMessage::Follow { standing } => {
                self.unfollow(key);
                let session = &mut self.sessions[key];
                (session.follows, session.telling) = (true, Some(now + TELLING));
                if self.zones[zone].followers == 0 {
                    self.zones[zone].settles = now + self.remit.settle;
                }
                self.zones[zone].followers += 1;
                let name = &self.sessions[key].name;
                out.push(PlannerAction::Log(format!(
                    "followed by name={name} standing={standing}"
                )));
            }
            ForwarderMessage::StateSyncComplete => self.sessions[key].telling = None,
            ForwarderMessage::Unfollow => {
                let (name, held) = (&self.sessions[key].name, self.sessions[key].ids.len());
                out.push(PlannerAction::Log(format!(
                    "followed no more by name={name} held={held}"
                )));
                self.unfollow(key);
            }
            ForwarderMessage::OpenConnection { id, asked, host } => {
                let host = HostId(host);
                if let Some(record) = self.open(key, id, 0, Some(host))? {
                    let incoming = self.incoming(record, &asked)?;
                    self.tell(now, zone, Event::ConnectionFound(incoming, host), out);
                }
            }
            ForwarderMessage::RequestPlacement {
                id,
                step,
                asked,
                past,
            } => {
                let Some(record) = self.open(key, id, step, None)? else {
                    let wait = self.remit.balancer_settings.max_retry_after;
                    self.put(key, &PlannerMessage::Reject { id, step, wait });
                    return Ok(());
                };
                self.incoming(record, &asked)?;
                self.sessions[key].asks += 1.0;
                self.decided += 1;
                let held = &mut self.held[record as usize];
                held.waits = true;
                let round = held.round;
                self.zones[zone]
                    .waiting
                    .push_back((record, round, asked, past, now));
            }
            ForwarderMessage::ConnectionEstablished { id, took } => {
                if let Some(record) = self.record(key, id) {
                    let id = name(record, self.held[record as usize].round);
                    self.tell(now, zone, Event::ConnectionEstablished { id, took }, out);
                }
            }
            ForwarderMessage::AttemptEnded {
                id,
                step,
                came,
                over,
            } => {
                let Some(record) = self.record(key, id) else {
                    return Ok(());
                };
                if over {
                    self.forget(now, record, came.into(), out);
                    return Ok(());
                }
                let held = &mut self.held[record as usize];
                held.step = step;
                let Some(host) = held.at.take() else {
                    return Ok(());
                };
                let id = name(record, held.round);
                let (ending, load_metrics) = (came.into(), Vec::new());
                let event = Event::AttemptEnded {
                    id,
                    attempt: 0,
                    host,
                    request_over: over,
                    ending,
                    load_metrics,
                };
                self.tell(now, zone, event, out);
            }
            ForwarderMessage::LoadMeasured { id, load } => {
                let Some(record) = self.record(key, id) else {
                    return Ok(());
                };
                if !(load.is_finite() && (0.0..1e9).contains(&load)) {
                    return Err(LinkError::Unexpected("a load that is no figure"));
                }
                let id = name(record, self.held[record as usize].round);
                self.tell(now, zone, Event::LoadMeasured { id, load }, out);
            }
            ForwarderMessage::MessageLatency { host, time } => {
                let time = time.min(60 * SECOND);
                self.tell(
                    now,
                    zone,
                    Event::MessageLatency {
                        host: HostId(host),
                        latency: time,
                    },
                    out,
                );
            }
            ForwarderMessage::ClientLeft { id } => {
                let Some(record) = self.record(key, id) else {
                    return Ok(());
                };
                let held = &self.held[record as usize];
                if held.at.is_none() {
                    self.forget(now, record, AttemptOutcome::NeverSent, out);
                } else {
                    let id = name(record, held.round);
                    self.tell(now, zone, Event::ClientLeft { id }, out);
                }
            }
            ForwarderMessage::RequestClosed { id } => {
                if let Some(record) = self.record(key, id) {
                    self.forget(now, record, AttemptOutcome::NeverSent, out);
                }
            }
        }
        Ok(())
    }

    fn incoming(
        &self,
        record: u32,
        asked: &PlacementRequest,
    ) -> Result<reedferry::IncomingRequest, LinkError> {
        if usize::from(asked.class) >= self.remit.balancer_settings.classes.len() {
            return Err(LinkError::Unexpected("an unknown offering"));
        }
        Ok(asked.incoming(name(record, self.held[record as usize].round)))
    }

    /// Has the module place what waits, unless somebody in the zone still tells what stands. Guards: the
    /// first new ones placed as if nothing stood, by a planner that has just begun.
    fn place_waiting(&mut self, now: Nanos, zone: usize, out: &mut Vec<PlannerAction>) {
        if self.zones[zone].waiting.is_empty() {
            return;
        }
        let telling =
            |s: &Session| usize::from(s.zone) == zone && s.telling.is_some_and(|by| now < by);
        if now < self.zones[zone].settles || self.sessions.iter().any(|(_, s)| telling(s)) {
            return;
        }
        while let Some((record, round, asked, past, came)) = self.zones[zone].waiting.pop_front() {
            let Some(held) = self
                .held
                .get_mut(record as usize)
                .filter(|h| h.round == round)
            else {
                continue;
            };
            held.waits = false;
            let mut incoming = asked.incoming(name(record, round));
            incoming.time_left = incoming.time_left.saturating_sub(now - came.min(now));
            let event = if past.attempts == 0 && past.tried.is_empty() {
                Event::RequestArrived(incoming)
            } else {
                let ran = past
                    .ran
                    .map(|(host, ago)| (HostId(host), now.saturating_sub(ago)));
                let tried = past.tried.into_iter().map(HostId).collect();
                Event::RequestTakenOver(
                    incoming,
                    reedferry::PriorAttempts {
                        attempts: past.attempts,
                        may_have_run: ran,
                        tried_hosts: tried,
                    },
                )
            };
            self.tell(now, zone, event, out);
        }
    }

    /// When `decide` is wanted next at the latest, beside bytes and timers.
    pub fn next(&self, now: Nanos) -> Nanos {
        let waiting = !self.parting.is_empty() || self.zones.iter().any(|z| !z.waiting.is_empty());
        now + if waiting { MILLI } else { 25 * MILLI }
    }
}

/// The module's name for a record.
fn name(record: u32, round: u32) -> RequestId {
    RequestId(u64::from(round) << 32 | u64::from(record))
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedferry::RequestClass;

    const T: Nanos = 1_000 * SECOND;

    struct Pair {
        planner: Planner,
        writer: Writer,
        reader: Reader,
        session: u64,
    }

    fn listing(id: u64, started: Option<Nanos>) -> (Endpoint, HostEntry) {
        let listing = Endpoint {
            id: HostId(id),
            state: HostState::Ready,
            size: 1.0,
            started,
            ..Endpoint::default()
        };
        let (name, stands) = (format!("s{id}"), WireHostState::Ready);
        (
            listing,
            HostEntry {
                id,
                name,
                address: None,
                stands,
                as_of: 1,
            },
        )
    }

    /// A planner of one, and one forwarder that follows it.
    fn pair(hosts: &[(u64, Option<Nanos>)]) -> Pair {
        let balancer_settings = BalancerSettings {
            classes: vec![RequestClass::default()],
            ..BalancerSettings::default()
        };
        let remit = PlannerConfig {
            name: "p".into(),
            balancer_settings,
            zones: 1,
            place: 0,
            planners: 1,
            fingerprint: 1,
            silent: 60 * SECOND,
            settle: 0,
            most_held: 1000,
        };
        let mut out = Vec::new();
        let mut planner = Planner::new(remit, 1, T, &mut out);
        let (listings, lines) = hosts
            .iter()
            .map(|(id, started)| listing(*id, *started))
            .unzip();
        planner.roll(T, EndpointUpdate::Full, listings, lines, &mut out);
        planner.accept(T, 1, &mut out);
        let mut pair = Pair {
            planner,
            writer: Writer::default(),
            reader: Reader::default(),
            session: 0,
        };
        let (name, planner) = ("f".to_string(), "p".to_string());
        pair.writer.greet(&Hello {
            name,
            planner,
            zone: 0,
            epoch: 1,
            fingerprint: 1,
        });
        pair.turn(T);
        pair.session = pair
            .planner
            .sessions
            .iter()
            .next()
            .and_then(|(_, s)| s.number)
            .unwrap();
        pair.put(&ForwarderMessage::Follow { standing: 0 });
        pair
    }

    impl Pair {
        fn put(&mut self, note: &ForwarderMessage) {
            self.writer.put(self.session, 1, note);
        }

        fn ask(&mut self, id: u64) {
            let asked = PlacementRequest {
                class: 0,
                key: None,
                group: None,
                usual_load: None,
                time_left: SECOND,
            };
            self.put(&ForwarderMessage::RequestPlacement {
                id,
                step: 0,
                asked,
                past: PriorAttempts::default(),
            });
        }

        /// What the planner says to what was put.
        fn turn(&mut self, now: Nanos) -> Vec<PlannerMessage> {
            self.writer.seal();
            let bytes = self.writer.waiting().to_vec();
            self.writer.sent(bytes.len());
            let mut out = Vec::new();
            self.planner.came(now, 1, &bytes, &mut out);
            self.planner.decide(now, &mut out);
            let said = self.planner.outgoing(1).to_vec();
            self.planner.sent(1, said.len());
            let (mut notes, session) = (Vec::new(), self.session);
            let read = self.reader.feed(&said, |body| {
                if session > 0 {
                    let (_, mut all) = frames::piece(body)?;
                    while let Some(note) = all.take()? {
                        notes.push(note);
                    }
                }
                Ok(())
            });
            read.unwrap();
            notes
        }
    }

    fn to(notes: &[PlannerMessage], wanted: u64) -> usize {
        notes
            .iter()
            .filter(|n| matches!(n, PlannerMessage::StartAttempt { host, .. } if *host == wanted))
            .count()
    }

    #[test]
    fn a_planner_that_has_just_begun_leaves_cold_hosts_alone_while_their_budget_is_counted() {
        // It died and is back in the same turn: what it spent on the cold host it has forgotten.
        let mut pair = pair(&[(1, Some(T)), (2, None), (3, None)]);
        let asked = PlacementRequest {
            class: 0,
            key: None,
            group: None,
            usual_load: None,
            time_left: 0,
        };
        (0..200).for_each(|id| {
            pair.put(&ForwarderMessage::OpenConnection {
                id: 10_000 + id,
                asked,
                host: 2 + id % 2,
            });
        });
        pair.put(&ForwarderMessage::StateSyncComplete);
        let mut sent = [0; 2];
        for n in 0..600 {
            pair.ask(n);
            let now = T + 4 * n * MILLI;
            let notes = pair.turn(now);
            sent[usize::from(now >= T + SECOND)] += to(&notes, 1);
            pair.put(&ForwarderMessage::RequestClosed { id: n });
        }
        assert!(sent[0] == 0 && sent[1] > 0, "{sent:?}");
    }

    #[test]
    fn hosts_that_come_and_go_for_months_fill_no_table() {
        let mut pair = pair(&[(1, None)]);
        for n in 2..5_000 {
            for standing in [HostState::Ready, HostState::Gone] {
                let (mut listing, mut line) = listing(n, None);
                (listing.state, line.stands) = (standing, standing.into());
                pair.planner.roll(
                    T + n,
                    EndpointUpdate::Delta,
                    vec![listing],
                    vec![line],
                    &mut Vec::new(),
                );
                pair.turn(T + n);
            }
            assert!(pair.planner.hosts.len() <= 3 && pair.planner.changes.len() <= 3);
        }
    }

    #[test]
    fn a_forwarder_that_reads_nothing_ends_alone_before_it_fills_the_memory() {
        let mut pair = pair(&[(1, None)]);
        pair.put(&ForwarderMessage::StateSyncComplete);
        pair.turn(T);
        let (mut orders, mut most) = (Vec::new(), 0);
        for n in 0..800 {
            // All afresh each time, so that nothing but what is said to it grows.
            pair.put(&ForwarderMessage::Follow { standing: 0 });
            pair.put(&ForwarderMessage::StateSyncComplete);
            (0..500).for_each(|id| pair.ask(n * 500 + id));
            pair.writer.seal();
            let bytes = pair.writer.waiting().to_vec();
            pair.writer.sent(bytes.len());
            pair.planner.came(T + n * MILLI, 1, &bytes, &mut orders);
            pair.planner.decide(T + n * MILLI, &mut orders);
            most = most.max(pair.planner.outgoing(1).len());
        }
        assert!(most > 0 && most < STUFFED + (1 << 20), "{most}");
        pair.planner.decide(T + SECOND, &mut orders);
        let cut = orders
            .iter()
            .filter(|o| matches!(o, PlannerAction::Disconnect { line: 1 }))
            .count();
        let told = |o: &&PlannerAction| matches!(o, PlannerAction::Log(text) if text.ends_with("why=takes nothing"));
        assert_eq!(
            (cut, orders.iter().filter(told).count(), pair.planner.held()),
            (1, 1, 0)
        );
    }

    #[test]
    fn nothing_is_placed_while_a_forwarder_of_the_zone_still_tells_what_stands() {
        let mut pair = pair(&[(1, None), (2, None)]);
        let asked = PlacementRequest {
            class: 0,
            key: None,
            group: None,
            usual_load: None,
            time_left: 0,
        };
        (0..20).for_each(|id| {
            pair.put(&ForwarderMessage::OpenConnection {
                id: 10_000 + id,
                asked,
                host: 1,
            });
        });
        pair.ask(1);
        assert_eq!(to(&pair.turn(T), 1) + to(&pair.turn(T + 100 * MILLI), 2), 0);
        // One that never says that it has told all is not waited for without end.
        pair.ask(3);
        pair.turn(T + TELLING - 100 * MILLI);
        assert_eq!(to(&pair.turn(T + TELLING), 2), 1);
        pair.ask(2);
        pair.put(&ForwarderMessage::StateSyncComplete);
        assert_eq!(to(&pair.turn(T + TELLING), 2), 1);
    }
}
