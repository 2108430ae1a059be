//! All decisions of a reedferry node.
//!
//! How to call it: make one [`Balancer`] a node, hand each event to [`Balancer::handle`] with the
//! caller's clock and carry out the actions it appends, in their order. The interface is in
//! `types.rs`; why things are as they are stands in `docs/design.md`.
//!
//! Inside, the desk, the helm, the ledger, the roll and every host are parts with an inbox each.
//! They talk only by notes, which `Balancer::run` carries and has read until none is left. A part
//! may look at another's record; only the part itself changes it.

use crate::calls::{Call, Pace};
use crate::gossip;
use crate::permission::{answer_by, may_dismiss, may_repeat_at, repeat_deadline};
use crate::records::*;
use crate::slow_start::{by_lot, many, BEARS, LOT};
use crate::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};

const MASK: Nanos = 3 * SECOND;
/// Placements that a weight vector must show before it is judged.
const JUDGED_AFTER: u32 = 12;
/// Hosts a node starts with, and the own load over the mean from which one counts as busy.
const FEW: f64 = 3.0;
const BUSY: f64 = 1.2;
/// How many times steeper the balance counts beyond that.
const STEEP: f64 = 5.0;
/// How much longer than its contract time a set-up is waited for by a node of many that sees next to none; where probes or
/// connections tell what hosts bear, one that hangs is found out by that. Half as long by a node to which so many come in a
/// second.
const UNSURE: Nanos = 6 * SECOND;
const UNSURE_HEARING_LOADS: Nanos = 2 * SECOND;
const TELLING: f64 = 5.0;
/// How much longer a set-up is waited for where all fail.
const PATIENCE: f64 = 20.0;
/// Share of the last connections that met late messages from which some are dismissed, and how many.
const MANY: f64 = 0.3;
const SHED: f64 = 8.0;
/// For how long a node may dismiss all that comes because its last connections met late messages.
const LONGEST_REFUSAL: Nanos = 2 * SECOND;
/// Message time over what is wanted from which a host counts as late.
pub(crate) const LATE: f64 = 0.6;
/// Hosts that fail an attachment before no other is asked.
const UNWANTED: u32 = 2;
/// Calls in a row for which this machine knew no way to a host, from which that is taken for the host's trouble.
const UNROUTABLE: u32 = 3;
/// How often a node that stops sends clients away, and the mark of that timer.
const PARTING: Nanos = SECOND / 20;
const PART: u64 = 1;
const MUTATION: (f64, f64) = (0.25, 0.05);
const HOME: f64 = 4.0;
/// What a crossing costs, in mean own loads.
const CROSSING: f64 = 18.0;
/// Most usual loads that what a node cannot see of a host is taken for.
const UNSEEN: f64 = 50.0;

/// How often some node looks at each host, how long a report counts, and after which time it is told again.
const LOOK: Nanos = 2 * SECOND;
const REPORT_AGE: Nanos = 40 * SECOND;
const RETELL: Nanos = 15 * SECOND;
/// By how much a load has changed that others are told of; half as much where it is crowded.
const NEWS: f64 = 0.2;
/// Bytes that a node may tell, over all who hear them, for each hand-off, and how many it may save up.
const PURSE: f64 = 512.0;
const FULL_PURSE: f64 = 16.0 * PURSE;
/// The reported load from which a host is crowded, and that at which it is full.
pub(crate) const CROWDED: f64 = 0.7;
pub(crate) const FULL: f64 = 0.9;
/// What a host that gives a probe no answer counts as.
const SILENT: f64 = 2.0;
/// What reported loads are blurred by, as a report is old and noisy.
const BLUR: f64 = 1.0;
/// What it costs to go one host further from a home, where loads are reported.
const STEPWISE: f64 = 0.15;

/// Puts a note into an inbox and has its part read until that is empty.
macro_rules! deliver {
    ($inbox:expr, $note:ident, $read:expr) => {{
        $inbox.push_back($note);
        while let Some($note) = $inbox.pop_front() {
            $read;
        }
    }};
}

impl Host {
    /// Its load by the last report, which is old, and noisy, and of no use for ever.
    pub(crate) fn reported(&self, now: Nanos) -> Option<f64> {
        (self.reported > 0 && now < self.reported + REPORT_AGE).then_some(self.report)
    }

    /// Whether it is this node's turn to look at it: as told, or by number, in another order for each host.
    fn due(&self, now: Nanos, settings: &BalancerSettings) -> bool {
        let turn = now / LOOK;
        let place = turn.wrapping_add((draw(self.id.0, 1) * 1e6) as u64);
        let nodes = u64::from(settings.node_count.max(1));
        let mine = self
            .mine
            .unwrap_or(place % nodes == u64::from(settings.node_index) % nodes);
        self.ready() && turn != self.looked && mine
    }

    /// How late its messages are, by what was last told; old word fades.
    pub(crate) fn slow(&self, now: Nanos) -> f64 {
        f64::from(u8::from(now < self.slow_told + 5 * PULSE)) * self.slowness
    }

    pub(crate) fn late(&mut self, now: Nanos, time: Nanos, settings: &BalancerSettings) {
        self.slowness = time as f64 / settings.shortest_message_latency_objective().max(1) as f64;
        self.slow_told = now;
    }

    fn mask(&mut self, now: Nanos, chance: f64, why: &str, out: &mut Vec<Action>) {
        let length = MASK << self.strikes.min(1);
        if now >= self.masked_until {
            self.strikes += 1;
            let (id, strikes, own, conns) = (self.id.0, self.strikes, self.own(), self.conns.len());
            log!(
                out,
                "mask host={id:x} why={why} strikes={strikes} own={own:.2} conns={conns}"
            );
        }
        // Spread, so that nodes do not let a host back in step.
        self.masked_until = now + (length as f64 * (0.75 + 0.5 * chance)) as Nanos;
    }

    /// Takes a long set-up for late messages. Guards: clients left at a host whose messages tell nothing.
    fn waited(&mut self, now: Nanos, took: Nanos, at: &mut Room) {
        let known = self.slow(now) * at.settings.shortest_message_latency_objective() as f64;
        // Guards: hosts taken for late one after the other while a store that all set-ups share is.
        let shared = at.desk.common() || at.ledger.long.is_some_and(|host| host != self.id);
        if !shared
            && self.reported(now).is_none()
            && took as f64 > known.max(6.0 * at.ledger.set_up)
        {
            self.late(now, took, at.settings);
        }
        at.post.push_back((To::Ledger, Note::SetUp(self.id, took)));
    }

    fn read(&mut self, note: Note, now: Nanos, at: &mut Room) {
        match note {
            Note::Listed(listing, first) => {
                let fresh = !self.listed || listing.started != self.listing.started;
                if fresh && listing.state == HostState::Ready {
                    (self.newcomer, self.credit, self.turn) = (!first, 0.0, 0);
                    (self.masked_until, self.strikes, self.slowness) = (0, 0, 0.0);
                }
                if self.listing.state != HostState::Draining || listing.state != HostState::Draining
                {
                    self.draining = now;
                }
                let group = |listing: &Endpoint| (listing.zone, listing.cell);
                if !self.never_listed() && group(&listing) != group(&self.listing) {
                    self.regrouped = Some(now);
                }
                self.listed = listing.state != HostState::Gone;
                (self.gone_since, self.listing) = (now, listing);
                self.listing.size = if listing.size > 0.0 {
                    listing.size
                } else {
                    1.0
                };
            }
            Note::Unlisted => (self.listed, self.gone_since) = (false, now),
            Note::Sent(conn) => {
                if self.cold(now, at.settings) {
                    (self.credit, self.turn) = self.credit_at(now, at.count, at.settings);
                    // Guards: a few connections of many times the usual load.
                    self.credit -=
                        at.ledger.load(conn.class, conn.load) / at.ledger.unit.unwrap_or(1.0);
                }
                if !conn.begun {
                    (self.pending, self.sent) = (self.pending + 1, now);
                }
                if let Some(group) = conn.group {
                    *self.groups.entry(group).or_insert(0) += 1;
                }
                self.since += at.ledger.load(conn.class, conn.load);
                self.conns.push(conn);
                self.count(self.conns.len() - 1, now, at.ledger);
            }
            Note::Begun { slot, took } => {
                let Some(conn) = self.conns.iter_mut().find(|c| c.slot == slot) else {
                    return;
                };
                (conn.begun, conn.since) = (true, now);
                self.unroutable = 0;
                self.pending -= 1;
                self.waited(now, took, at);
            }
            Note::Ended { slot, ending } => {
                let Some(found) = self.conns.iter().position(|c| c.slot == slot) else {
                    return;
                };
                let conn = self.drop_conn(found);
                let length = now.saturating_sub(conn.since);
                let bore = conn.load.filter(|_| conn.begun).map(|load| Note::Bore {
                    key: conn.key,
                    load,
                });
                at.post.extend(bore.map(|note| (To::Ledger, note)));
                // Guards: clients that this node moved, taken for ones that never stay.
                let moved = at.desk.slots[slot].as_ref().is_some_and(|a| a.moved);
                if conn.begun
                    && !moved
                    && matches!(
                        ending,
                        AttemptOutcome::Completed | AttemptOutcome::Cancelled
                    )
                {
                    at.post.push_back((
                        To::Ledger,
                        Note::Lived {
                            key: conn.key,
                            length,
                        },
                    ));
                    self.strikes = self.strikes.min(1);
                }
                if ending == AttemptOutcome::TimedOut {
                    self.waited(now, length, at);
                }
                let broke = u32::from(conn.begun && ending == AttemptOutcome::ConnectionLost);
                self.broken = if self.conns.is_empty() {
                    0
                } else {
                    self.broken + broke
                };
                // Guards: all hosts left out for a moment in which this machine had no route.
                self.unroutable = if ending == AttemptOutcome::NoRoute {
                    self.unroutable + 1
                } else {
                    0
                };
                if ending == AttemptOutcome::NoRoute && self.unroutable < UNROUTABLE {
                    return;
                }
                // An error is the host's only once another host has taken the same: see `Blamed`.
                if matches!(
                    ending,
                    AttemptOutcome::Completed
                        | AttemptOutcome::Cancelled
                        | AttemptOutcome::NeverSent
                        | AttemptOutcome::Error
                ) || ending == AttemptOutcome::HandedOver
                {
                    return;
                }
                // Where most hand-offs fail, the cause is not the host's: a mask would leave the rest all.
                // Only a fleet of many can push it over by trying again: guards the last host of a small one.
                let unconnected = matches!(
                    ending,
                    AttemptOutcome::ConnectFailed | AttemptOutcome::NoRoute
                );
                if unconnected && by_lot(at.settings) {
                    self.down = Some(now);
                }
                let its_own = unconnected
                    || matches!(
                        ending,
                        AttemptOutcome::Rejected | AttemptOutcome::ConnectionLost
                    );
                if its_own || !at.desk.common() {
                    self.mask(now, at.chance, ending.as_str(), at.out);
                }
            }
            // Guards: a host that fails fast looks empty and draws the clients; and hosts left out for
            // what bad clients send there.
            Note::Blamed if !at.desk.common() => self.mask(now, at.chance, "error", at.out),
            Note::LoadNow { slot, load } => {
                if let Some(found) = self.conns.iter().position(|c| c.slot == slot) {
                    self.conns[found].load = Some(load);
                    let class = self.conns[found].class;
                    at.post
                        .push_back((To::Ledger, Note::Weighed { class, load }));
                    self.count(found, now, at.ledger);
                }
            }
            Note::Slow(time) => self.late(now, time, at.settings),
            Note::Regarded(by) => {
                self.regarded(*by);
                // Guards: a cold host pushed over by two processes that each think the turn is theirs.
                self.sit_out(now, at.settings);
            }
            // Guards: a budget given twice, as the same moment has another number.
            Note::OtherTurns => self.sit_out(now, at.settings),
            Note::Behind(seconds) => {
                self.late(now, (seconds * SECOND as f64) as Nanos, at.settings);
            }
            Note::Reported { load, heard } => {
                (self.report, self.reported, self.since) = (load, now, self.since / 2.0);
                let step = if load.max(self.told) > CROWDED {
                    NEWS / 2.0
                } else {
                    NEWS
                };
                let news = (load - self.told).abs() > step || now > self.told_at + RETELL;
                let message = gossip::encode(self.id, load);
                let price =
                    message.len() as f64 * f64::from(at.settings.node_count.saturating_sub(1));
                let tells = at.settings.gossip_enabled && news && !heard && at.desk.purse >= price;
                if tells {
                    at.out.push(Action::Gossip { message });
                    at.post.push_back((To::Desk, Note::Spent(price)));
                }
                if heard || tells {
                    (self.told, self.told_at) = (load, now);
                }
            }
            Note::Step { mean } => {
                self.newcomer &= self.own() < mean;
                let spread = if mean > 0.0 {
                    (self.own() / mean - 1.0).powi(2)
                } else {
                    0.0
                };
                let longest = self.longest.saturating_sub(now) as f64;
                let late = self.slow(now) >= LATE;
                for conn in &mut self.conns {
                    if conn.begun && now >= conn.since + STEP {
                        if let Some(vector) = conn.vector.take() {
                            at.post.push_back((To::Desk, Note::Fared { late }));
                            at.post.push_back((
                                To::Helm,
                                Note::Judged {
                                    vector,
                                    spread,
                                    longest,
                                },
                            ));
                        }
                    }
                }
            }
            Note::Mine(mine) => {
                // Guards: a host that two look at in one turn, and its new one at once again in the next.
                if mine && self.mine == Some(false) {
                    self.looked = now / LOOK;
                }
                self.mine = Some(mine);
            }
            Note::Look => {
                self.looked = now / LOOK;
                at.out.push(Action::Probe { host: self.id });
            }
            Note::Pulse { mean, refuge } => {
                self.recount(now, at.ledger);
                self.shift(now, mean, refuge, at);
            }
            _ => {}
        }
    }
}

/// What a host sees of the rest while it reads a note.
pub(crate) struct Room<'a> {
    pub settings: &'a BalancerSettings,
    pub ledger: &'a Ledger,
    pub post: &'a mut Post,
    pub out: &'a mut Vec<Action>,
    pub chance: f64,
    pub count: f64,
    pub desk: &'a Desk,
}

/// What an attachment asks of a host.
struct Ask<'a> {
    request: &'a Request,
    /// Its load, and the part of it that falls in the look-ahead steps.
    load: f64,
    ahead: f64,
    length: Option<f64>,
    /// What its home is drawn by.
    home: Option<u64>,
}

impl Helm {
    fn read(&mut self, note: Note, rng: &mut ChaCha8Rng, out: &mut Vec<Action>) {
        let Note::Judged {
            vector,
            spread,
            longest,
        } = note
        else {
            return;
        };
        let v = &mut self.vectors[vector];
        (v.spread, v.longest, v.judged) = (v.spread + spread, v.longest + longest, v.judged + 1);
        if self.vectors.iter().any(|v| v.judged < JUDGED_AFTER) {
            return;
        }
        let old = self.vectors;
        let beaten = (0..4).find(|&b| (0..4).any(|a| old[a].dominates(&old[b])));
        self.vectors = old.map(|v| Vector {
            balance: v.balance,
            gap: v.gap,
            ..Vector::default()
        });
        let Some(beaten) = beaten else { return };
        // Two parents of the rest, crossed at one point; then each weight may mutate.
        let mother = (beaten + rng.random_range(1..4)) % 4;
        let father = (beaten + rng.random_range(1..4)) % 4;
        let mut weights = [old[mother].balance, old[father].gap];
        for weight in &mut weights {
            if rng.random::<f64>() < MUTATION.0 {
                let (u, v): (f64, f64) = (rng.random(), rng.random());
                *weight +=
                    MUTATION.1 * (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
            }
        }
        let balance = weights[0].max(0.1);
        let gap = weights[1].clamp(0.0, balance);
        self.vectors[beaten] = Vector {
            balance,
            gap,
            ..Vector::default()
        };
        log!(
            out,
            "vector {beaten} replaced balance={balance:.2} gap={gap:.2}"
        );
    }
}

impl Roll {
    fn read(
        &mut self,
        note: Note,
        now: Nanos,
        chance: f64,
        (knows, pace): (bool, Pace),
        out: &mut Vec<Action>,
    ) {
        match note {
            Note::Told(EndpointUpdate::Failed) => {
                let failures = self.calls.failed(now, chance, knows, pace);
                log!(out, "roll lost failures={failures}");
            }
            Note::Told(EndpointUpdate::Delta | EndpointUpdate::Full) => {
                let ended = self.calls.told(now, knows, pace);
                if ended > 0 {
                    log!(out, "roll followed again after failures={ended}");
                }
            }
            Note::Pulse { .. } => {
                out.extend(self.calls.due(now, knows, pace).map(|call| match call {
                    Call::Ask => Action::PollEndpoints,
                    Call::Follow => Action::WatchEndpoints,
                }));
            }
            _ => {}
        }
    }
}

impl Desk {
    /// A set-up came back.
    fn set_up(&mut self, failed: bool, out: &mut Vec<Action>) {
        let before = self.common();
        self.trouble += (f64::from(u8::from(failed)) - self.trouble) / 8.0;
        if before != self.common() {
            log!(
                out,
                "common trouble={} failing={:.2} held={}",
                !before,
                self.trouble,
                self.names.len()
            );
        }
    }

    /// Whether so many of the last connections met late messages that some are better not placed.
    fn sheds(&self) -> bool {
        self.late > MANY
    }

    /// Whether the next attachment is handed off though others are dismissed. Guards: a node that refuses all for tens of
    /// seconds after its hosts are well again, as nothing it refuses can tell it so.
    fn tries_on(&self, now: Nanos) -> bool {
        self.refused_since
            .is_some_and(|since| now >= since + LONGEST_REFUSAL)
    }

    /// Whether the hand-offs fail so often that no single host can be to blame.
    fn common(&self) -> bool {
        self.trouble > 0.3
    }
}

/// The node's place among many, from 0 to 1, over as much of that as there are more than would be few.
fn place(settings: &BalancerSettings) -> Option<f64> {
    let few = settings.warm_up as f64 / settings.overload_window.max(1) as f64;
    let nodes = f64::from(settings.node_count.max(1));
    many(settings)
        .then(|| (f64::from(settings.node_index) + 0.5) / nodes * (1.0 - (few / nodes).powi(2)))
}

/// One node's decisions.
pub struct Balancer {
    settings: BalancerSettings,
    rng: ChaCha8Rng,
    hosts: Vec<Host>,
    known: HashMap<HostId, usize>,
    desk: Desk,
    helm: Helm,
    ledger: Ledger,
    roll: Roll,
    post: Post,
    pulses: u64,
    listed_once: bool,
}

impl Balancer {
    pub fn new(settings: BalancerSettings, seed: u64, now: Nanos, out: &mut Vec<Action>) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let vectors = [0.0, 0.05, 0.1, 0.2].map(|gap| Vector {
            balance: 1.0,
            gap,
            ..Vector::default()
        });
        let usual = vec![None; settings.classes.len()];
        let set_up = settings
            .classes
            .iter()
            .map(|o| o.latency_objective)
            .min()
            .unwrap_or(SECOND) as f64
            / 12.0;

        // The first look-around comes at a moment of the node's own.
        let first = now + (PULSE as f64 * rng.random::<f64>()) as Nanos;
        out.push(Action::SetTimer {
            time: first,
            timer: 0,
        });
        Balancer {
            settings,
            rng,
            hosts: Vec::new(),
            known: HashMap::new(),
            desk: Desk {
                purse: FULL_PURSE,
                ..Desk::default()
            },
            helm: Helm {
                vectors,
                ..Helm::default()
            },
            ledger: Ledger {
                usual,
                set_up,
                ..Ledger::default()
            },
            roll: Roll::default(),
            post: VecDeque::new(),
            pulses: 0,
            listed_once: false,
        }
    }

    /// Takes one event in and appends what is to be done.
    pub fn handle(&mut self, now: Nanos, event: Event, out: &mut Vec<Action>) {
        let slot = event
            .request()
            .and_then(|id| self.desk.names.get(&id).copied());
        let host = event.host().and_then(|id| self.known.get(&id).copied());
        let request = slot.and_then(|s| self.desk.slots[s].as_ref());
        let (at, begun) = (request.and_then(|a| a.at), request.is_some_and(|a| a.begun));
        let mut post = |to, note| self.post.push_back((to, note));
        match (event, slot, host.or(at)) {
            (
                Event::EndpointsUpdated {
                    kind,
                    endpoints: hosts,
                },
                ..,
            ) => self.list(now, kind, hosts),
            (Event::TimerFired { timer: PART }, ..) => post(To::Desk, Note::Part),
            (Event::TimerFired { .. }, ..) => self.pulse(now, out),
            (Event::ShutdownStarted { from, by }, ..) => post(To::Desk, Note::Leaving { from, by }),
            (Event::ShutdownCancelled, ..) => post(To::Desk, Note::Staying),
            (Event::RequestArrived(incoming), ..) => post(To::Desk, Note::Arrived(incoming)),
            (Event::RequestTakenOver(incoming, past), ..) => {
                let known = |id: &HostId| self.known.get(id).copied();
                // Guards: a repeat sent on where nobody knows any more which group would drop it.
                let same_group =
                    |host: &usize, sent| self.hosts[*host].regrouped.is_none_or(|at| at < sent);
                let ran = past.may_have_run.map(|(id, sent)| {
                    known(&id)
                        .filter(|host| same_group(host, sent))
                        .map_or((0, 0), |host| (host, sent))
                });
                let tried = past.tried_hosts.iter().filter_map(known).collect();
                post(To::Desk, Note::TakenUp(incoming, past.attempts, ran, tried));
            }
            (Event::ConnectionFound(incoming, _), _, Some(host)) => {
                post(To::Desk, Note::ConnectionFound(incoming, host, now));
            }
            (Event::ConnectionHandedOver(incoming, _, since), _, Some(host)) => {
                post(To::Desk, Note::ConnectionFound(incoming, host, since));
            }
            (Event::SettingsChanged(settings, others), ..) => {
                post(To::Ledger, Note::Offers(settings.classes.len(), others));
                log!(out, "terms renewed offered={}", settings.active().count());
                if settings.overload_window != self.settings.overload_window {
                    let hosts = 0..self.hosts.len();
                    self.post
                        .extend(hosts.map(|host| (To::Host(host), Note::OtherTurns)));
                }
                let turns = std::mem::take(&mut self.settings.slow_start_slots);
                self.settings = BalancerSettings {
                    slow_start_slots: turns,
                    ..*settings
                };
            }
            (Event::SuccessorChanged(comes), ..) => post(To::Desk, Note::Successor(comes)),
            (Event::StateInherited(mut legacy), ..) => {
                let known = |one: HostSnapshot| {
                    Some((*self.known.get(&one.id)?, Note::Regarded(Box::new(one))))
                };
                let hosts = std::mem::take(&mut legacy.hosts)
                    .into_iter()
                    .filter_map(known);
                self.post
                    .extend(hosts.map(|(host, note)| (To::Host(host), note)));
                self.post.push_back((To::Desk, Note::Inherited(legacy)));
            }
            (Event::ClientLeft { .. }, Some(slot), _) => post(To::Desk, Note::Left { slot }),
            (Event::ConnectionEstablished { took, .. }, Some(slot), Some(host)) if !begun => {
                post(To::Host(host), Note::Begun { slot, took });
                post(To::Desk, Note::Begun { slot, took });
            }
            (
                Event::AttemptEnded {
                    request_over: over,
                    ending,
                    load_metrics,
                    ..
                },
                slot,
                Some(host),
            ) => {
                self.load_metric(host, &load_metrics, None);
                if let Some(slot) = slot.filter(|_| at == Some(host)) {
                    self.post
                        .push_back((To::Host(host), Note::Ended { slot, ending }));
                    self.post
                        .push_back((To::Desk, Note::Returned { slot, over, ending }));
                }
            }
            (Event::LoadMeasured { load, .. }, Some(slot), Some(host)) => {
                post(To::Host(host), Note::LoadNow { slot, load });
            }
            (Event::MessageLatency { latency: time, .. }, _, Some(host)) => {
                post(To::Host(host), Note::Slow(time));
            }
            (
                Event::ProbeEnded {
                    ending,
                    load_metrics,
                    ..
                },
                _,
                Some(host),
            ) => {
                // Too many probes at once, or a shaken line, say nothing of its load.
                let silent = (ending == AttemptOutcome::TimedOut).then_some(SILENT);
                self.load_metric(host, &load_metrics, silent);
            }
            (Event::GossipReceived { message }, ..) => self.hear(&message),
            (Event::SlowStartSlotsAssigned(turns), ..) => self.settings.slow_start_slots = turns,
            (Event::ProbeTargetsAssigned(mine), ..) => {
                let told = self
                    .hosts
                    .iter()
                    .enumerate()
                    .map(|(n, h)| (To::Host(n), Note::Mine(mine.contains(&h.id))));
                self.post.extend(told);
            }
            _ => {}
        }
        self.run(now, out);
    }

    /// What the process that takes this one's place is to know.
    pub fn leave(&self) -> InheritedState {
        let hosts = self
            .hosts
            .iter()
            .filter(|h| h.listed)
            .map(Host::regard)
            .collect();
        let (trouble, late) = (self.desk.trouble, self.desk.late);
        InheritedState {
            hosts,
            setup_failure_rate: trouble,
            late_message_rate: late,
            ..self.ledger.leave()
        }
    }

    /// Whether any host is cold whose budget is shared by turns.
    pub fn shares_turns(&self, now: Nanos) -> bool {
        !by_lot(&self.settings)
            && self
                .hosts
                .iter()
                .any(|h| h.ready() && h.cold(now, &self.settings))
    }

    /// How many hosts the roll lists, and how many of those this node avoids now.
    pub fn regard(&self, now: Nanos) -> (usize, usize) {
        let listed = self.hosts.iter().filter(|h| h.listed);
        let avoided = |h: &&Host| !h.ready() || now < h.masked_until || h.slow(now) >= LATE;
        (listed.clone().count(), listed.filter(avoided).count())
    }

    fn load_metric(&mut self, host: usize, values: &[f64], silent: Option<f64>) {
        let place = |what| self.settings.load_metrics.iter().position(|&g| g == what);
        let sane = |n: usize| values.get(n).copied().filter(|v| (0.0..1e3).contains(v));
        let load = place(LoadMetric::Load)
            .or(place(LoadMetric::Utilization))
            .and_then(sane)
            .or(silent);
        let note = |note| (To::Host(host), note);
        self.post
            .extend(load.map(|load| note(Note::Reported { load, heard: false })));
        self.post.extend(
            place(LoadMetric::Backlog)
                .and_then(sane)
                .map(|behind| note(Note::Behind(behind))),
        );
    }

    /// Takes in what another node tells, of hosts that the own roll names.
    fn hear(&mut self, message: &[u8]) {
        let Some((tag, load)) = gossip::decode(message) else {
            return;
        };
        let meant = |&n: &usize| self.hosts[n].listed && gossip::host_tag(self.hosts[n].id) == tag;
        let mut named = (0..self.hosts.len()).filter(meant);
        // Guards: a word on one host taken for another's where two tags are the same.
        if let (Some(host), None) = (named.next(), named.next()) {
            self.post
                .push_back((To::Host(host), Note::Reported { load, heard: true }));
        }
    }

    fn list(&mut self, now: Nanos, kind: EndpointUpdate, listings: Vec<Endpoint>) {
        self.post.push_back((To::Roll, Note::Told(kind)));
        if kind == EndpointUpdate::Failed {
            return;
        }
        let (mut named, mut searched) = (vec![false; self.hosts.len()], 0);
        for listing in listings {
            let host = record(
                &mut self.hosts,
                &mut self.known,
                listing.id,
                now,
                &mut searched,
            );
            named.get_mut(host).into_iter().for_each(|n| *n = true);
            self.post
                .push_back((To::Host(host), Note::Listed(listing, !self.listed_once)));
        }
        if kind != EndpointUpdate::Delta {
            for host in (0..named.len()).filter(|&h| !named[h]) {
                self.post.push_back((To::Host(host), Note::Unlisted));
            }
        }
        self.listed_once = true;
    }

    fn pulse(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::SetTimer {
            time: now + PULSE,
            timer: 0,
        });
        self.pulses += 1;
        let view = self.survey(now);
        let (mean, refuge) = (view.mean, view.refuge);
        self.post
            .push_back((To::Desk, Note::Pulse { mean, refuge }));
        self.post
            .push_back((To::Ledger, Note::Open(self.desk.names.len() as f64)));
        if self.settings.endpoints_are_polled {
            self.post
                .push_back((To::Roll, Note::Pulse { mean, refuge }));
        }
        self.lead_home(now, &view);
        for (n, host) in self.hosts.iter().enumerate() {
            // Guards: hundreds of hosts that hold nothing of this node and cost it time all the same.
            let idle = host.conns.is_empty() && host.ceiling.is_none();
            if self.settings.load_from_probes && host.due(now, &self.settings) {
                self.post.push_back((To::Host(n), Note::Look));
            }
            if self.pulses.is_multiple_of(STEP / PULSE) && !idle {
                self.post.push_back((To::Host(n), Note::Step { mean }));
            }
            if !idle {
                self.post
                    .push_back((To::Host(n), Note::Pulse { mean, refuge }));
            }
        }
    }

    /// Sends on the clients whose turn at a cold host has just come: any node they then come to hands them
    /// there, until it has its share. Guards: a zone that came back, or hosts that took the place of most,
    /// idle for minutes beside hosts overrun, as clients stay where they are.
    fn lead_home(&mut self, now: Nanos, view: &Survey) {
        let settings = &self.settings;
        let near = |h: &Host| h.listing.zone == settings.zone;
        let young = |h: &&Host| {
            h.ready() && now >= h.masked_until && h.cold(now, settings) && by_lot(settings)
        };
        let mut young: Vec<&Host> = self.hosts.iter().filter(young).collect();
        // To those elsewhere only from a zone that is short of warm hosts itself.
        let short = young.iter().any(|h| near(h));
        young.retain(|_| short);
        let share = |h: &Host| h.listing.size / if near(h) { view.near_size } else { view.size };
        let fair = |h: &Host, key| draw(key, h.id.0) < share(h);
        let turn = |h: &Host, key| fair(h, key) && h.drawn(now, Some(key), PULSE, view, settings);
        for host in self
            .hosts
            .iter()
            .filter(|h| !young.is_empty() && !h.cold(now, settings))
        {
            let turn =
                |c: &&Conn| c.begun && c.key.is_some_and(|key| young.iter().any(|h| turn(h, key)));
            let due = host.conns.iter().filter(turn);
            self.post
                .extend(due.map(|c| (To::Desk, Note::Shift { slot: c.slot })));
        }
    }

    /// One look over the ready hosts.
    fn survey(&self, now: Nanos) -> Survey {
        let (mut ready, mut well, mut capped, mut ceilings) = (0.0, 0.0, 0.0, 0.0);
        let (mut all, mut zone) = (0.0, 0.0);
        let (mut own, mut counted, mut near, mut pressed, mut heard) = (0.0, 0.0, 0.0, 0.0, 1.0);
        let (mut new, mut newcomers) = (0.0, 0.0);
        let (mut conns, mut size, mut warm, mut full, mut loaded, mut known) =
            (0.0, 0.0, 0.0, 0.0, 0.0, 0.0);
        for host in self.hosts.iter().filter(|h| h.ready()) {
            let (masks, caps) = (now < host.masked_until, host.ceiling.is_some());
            let one = |b: bool| f64::from(u8::from(b));
            (ready, well) = (ready + 1.0, well + one(!masks && host.slow(now) < LATE));
            all += host.listing.size;
            if let Some(ceiling) = host.ceiling {
                (capped, ceilings) = (capped + 1.0, ceilings + ceiling / host.listing.size);
            }
            let report = host.reported(now);
            (loaded, known) = (
                loaded + report.unwrap_or(0.0),
                known + one(report.is_some()),
            );
            if !masks && !host.newcomer {
                (own, counted) = (own + host.own(), counted + 1.0);
            } else if !masks {
                (new, newcomers) = (new + host.own(), newcomers + 1.0);
            }
            if host.listing.zone == self.settings.zone {
                (near, pressed) = (near + 1.0, pressed + one(masks || caps));
                zone += host.listing.size;
                heard += one(masks || caps || !host.conns.is_empty());
            }
            if !host.cold(now, &self.settings) {
                (conns, size) = (conns + host.conns.len() as f64, size + host.listing.size);
                (warm, full) = (warm + 1.0, full + one(caps));
            }
        }
        let (others, unit) = (
            own / f64::max(counted, 1.0),
            self.ledger.unit.unwrap_or(1.0),
        );
        let unseen = |mean: f64| (unit * unit / mean.max(f64::MIN_POSITIVE)).min(UNSEEN * unit);
        // Newcomers count at the others' mean, and that stays as it is; the more a node sees, the more they
        // count as they are. Guards: hosts filled and filled beside new ones where two nodes see it all.
        let blind = if self.settings.centralized {
            1.0
        } else {
            unseen(others) / (others + unseen(others))
        };
        let new = blind * others * newcomers + (1.0 - blind) * new;
        let mean = (own + new) / f64::max(counted + newcomers, 1.0);
        let unseen = unseen(mean);
        // The less a node sees, the more a word of its own zone weighs.
        let relief = (1.0 - (1.0 + unseen / (mean + unseen)) * pressed / heard).max(0.0);
        Survey {
            mean,
            unseen,
            blind,
            refuge: well / f64::max(ready, 1.0),
            near: f64::max(near, 1.0),
            typical: if 2.0 * capped > ready {
                ceilings / capped
            } else {
                f64::INFINITY
            },
            crossing: CROSSING * self.settings.cross_zone_cost * relief,
            unit,
            ready,
            loaded: f64::max(loaded / f64::max(known, 1.0), 0.05),
            count: conns / f64::max(size, f64::MIN_POSITIVE)
                * (BEARS - (BEARS - 1.0) * full / f64::max(warm, 1.0)),
            size: all,
            lot: self.desk.lot(now, LOT),
            near_size: f64::max(zone, f64::MIN_POSITIVE),
        }
    }

    /// Carries notes to their inboxes and has them read until none is left.
    fn run(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while let Some((to, note)) = self.post.pop_front() {
            match to {
                To::Host(host) => {
                    let cold = self.hosts[host].cold(now, &self.settings);
                    let count = if cold { self.survey(now).count } else { 0.0 };
                    deliver!(self.hosts[host].inbox, note, {
                        let chance = self.rng.random();
                        let (settings, ledger, post) =
                            (&self.settings, &self.ledger, &mut self.post);
                        let mut room = Room {
                            settings,
                            ledger,
                            post,
                            out,
                            chance,
                            count,
                            desk: &self.desk,
                        };
                        self.hosts[host].read(note, now, &mut room);
                    });
                }
                To::Desk => deliver!(self.desk.inbox, note, self.attend(now, note, out)),
                To::Helm => deliver!(
                    self.helm.inbox,
                    note,
                    self.helm.read(note, &mut self.rng, out)
                ),
                To::Ledger => deliver!(self.ledger.inbox, note, self.ledger.read(note, now)),
                To::Roll => deliver!(self.roll.inbox, note, {
                    let pace = Pace {
                        max_poll_interval: self.settings.max_poll_interval,
                        place: place(&self.settings),
                    };
                    let knows = self.hosts.iter().any(Host::ready);
                    self.roll
                        .read(note, now, self.rng.random(), (knows, pace), out);
                }),
            }
        }
    }

    /// The desk reads a note: it owns the attachments and gives the final answers.
    fn attend(&mut self, now: Nanos, note: Note, out: &mut Vec<Action>) {
        match note {
            Note::Arrived(incoming) => {
                self.desk.came(now);
                let slot = self.desk.admit(now, incoming, &self.settings);
                self.place(now, slot, out);
            }
            Note::TakenUp(incoming, attempts, ran, tried) => {
                let slot = self.desk.admit(now, incoming, &self.settings);
                let first_run = |(host, sent): (usize, Nanos)| FirstRun {
                    host,
                    listed: self
                        .hosts
                        .get(host)
                        .map(|host| host.listing)
                        .unwrap_or_default(),
                    sent,
                };
                if let Some(request) = self.desk.slots[slot].as_mut() {
                    (request.attempts, request.may_have_run, request.tried) =
                        (attempts, ran.map(first_run), tried);
                }
                self.place(now, slot, out);
            }
            Note::ConnectionFound(incoming, host, since) => {
                let slot = self.desk.admit(now, incoming, &self.settings);
                let Some(request) = self.desk.slots[slot].as_mut() else {
                    return;
                };
                (request.begun, request.answered, request.at) = (true, true, Some(host));
                let conn = Conn::new(since, slot, &incoming, &self.ledger, &self.settings);
                let conn = Conn {
                    begun: true,
                    ..conn
                };
                self.post.push_back((To::Host(host), Note::Sent(conn)));
            }
            Note::Begun { slot, .. } => {
                if let Some(request) = self.desk.slots[slot].as_mut() {
                    (request.begun, request.answered) = (true, true);
                    self.post
                        .extend(request.failed.map(|host| (To::Host(host), Note::Blamed)));
                }
                self.desk.set_up(false, out);
            }
            Note::Returned { slot, over, ending } => {
                let Some(request) = self.desk.slots[slot].as_mut() else {
                    return;
                };
                let (host, begun) = (request.at.take(), request.begun);
                request.answered |= over;
                let answered = request.answered;
                // What is refused or not connected is the host's doing, no store's; what one attachment meets
                // at host after host counts once. Guards: bad clients taken for a store that fails.
                let fails = matches!(ending, AttemptOutcome::Error | AttemptOutcome::TimedOut)
                    && request.tried.is_empty();
                // What one host alone fails is its own. Guards: one that fails fast, and so draws clients,
                // taken for a store that fails, and left in use.
                if !begun && fails && std::mem::replace(&mut self.desk.failing, host) != host {
                    self.desk.set_up(true, out);
                }
                if answered {
                    return self.desk.forget(slot);
                }
                let Some(request) = self.desk.slots[slot].as_mut() else {
                    return;
                };
                if let Some(host) = host {
                    request.tried.push(host);
                    if ending == AttemptOutcome::Error {
                        (request.errors, request.failed) = (request.errors + 1, Some(host));
                    }
                    if !ending.never_ran() {
                        let (listed, sent) = (request.sent_to, request.sent);
                        request
                            .may_have_run
                            .get_or_insert(FirstRun { host, listed, sent });
                    }
                }
                self.place(now, slot, out);
            }
            Note::Left { slot } => {
                let Some(request) = self.desk.slots[slot].as_mut() else {
                    return;
                };
                request.answered = true;
                if request.at.is_none() {
                    self.desk.forget(slot);
                } else if self.settings.may_cancel && !request.begun {
                    out.push(Action::CancelAttempt {
                        id: request.id,
                        attempt: request.attempts - 1,
                    });
                }
            }
            Note::Fared { late } => {
                let before = self.desk.sheds();
                self.desk.late += (f64::from(u8::from(late)) - self.desk.late) / 3.0;
                if before != self.desk.sheds() {
                    log!(
                        out,
                        "shed={} late={:.2} held={}",
                        !before,
                        self.desk.late,
                        self.desk.names.len()
                    );
                }
            }
            Note::Spent(bytes) => self.desk.purse -= bytes,
            // Guards: a node that dismisses nearly all, hears of nothing and goes on for ever.
            Note::Pulse { .. } => self.desk.late *= FADE,
            Note::Leaving { from, by } => {
                (self.desk.leaving, self.desk.parts) = (Some(by), from);
                log!(out, "leaving held={}", self.desk.names.len());
                out.push(Action::SetTimer {
                    time: from,
                    timer: PART,
                });
            }
            Note::Successor(comes) => self.desk.successor = comes,
            Note::Inherited(legacy) => {
                (self.desk.trouble, self.desk.late) =
                    (legacy.setup_failure_rate, legacy.late_message_rate);
                self.post.push_back((To::Ledger, Note::Inherited(legacy)));
            }
            Note::Staying => {
                self.desk.leaving = None;
                log!(out, "staying held={}", self.desk.names.len());
            }
            // Guards: clients of a node that was called back, sent away by an old timer; two paces at once.
            Note::Part if self.desk.leaving.is_some() && now >= self.desk.parts => {
                self.part(now, out);
            }
            Note::Shift { slot } => {
                if let Some(request) = self.desk.slots[slot]
                    .as_mut()
                    .filter(|a| a.begun && !a.moved)
                {
                    request.moved = true;
                    out.push(Action::Migrate { id: request.id });
                }
            }
            _ => {}
        }
    }

    /// Sends the clients of a node that stops away evenly. Guards: hosts and store stormed, clients cut off.
    fn part(&mut self, now: Nanos, out: &mut Vec<Action>) {
        let left = self.desk.leaving.map_or(0, |by| by.saturating_sub(now));
        let open = |slot: &usize| {
            self.desk.slots[*slot]
                .as_ref()
                .is_some_and(|a| a.begun && !a.moved)
        };
        let slots: Vec<usize> = (0..self.desk.slots.len()).filter(open).collect();
        let (count, share) = (
            slots.len(),
            slots.len().div_ceil((left / PARTING + 1) as usize),
        );
        self.post.extend(
            slots
                .into_iter()
                .take(share)
                .map(|slot| (To::Desk, Note::Shift { slot })),
        );
        // Guards: a few that are all sent away in the first part of the time.
        self.desk.parts = now + (left / (count as u64 + 1)).clamp(PARTING, 4 * PARTING);
        out.push(Action::SetTimer {
            time: self.desk.parts,
            timer: PART,
        });
    }

    /// The final answer to what can be handed off no more: a dismissal where a retry is harmless.
    fn answer(&mut self, slot: usize, out: &mut Vec<Action>) {
        let Some(request) = self.desk.slots[slot].as_ref() else {
            return;
        };
        let (id, ran) = (request.id, request.may_have_run.is_some());
        let harmless = may_dismiss(&self.settings.classes[request.incoming.class], ran);
        // Spread, so that the clients do not come back in step.
        let wait = self.settings.max_retry_after as f64 * self.rng.random_range(0.25..1.0);
        let dismissal = Action::Reject {
            id,
            retry_after: wait as Nanos,
        };
        out.push(if harmless {
            dismissal
        } else {
            Action::Fail { id }
        });
        self.desk.forget(slot);
    }

    /// Hands the attachment to the best host, or gives its final answer at once.
    fn place(&mut self, now: Nanos, slot: usize, out: &mut Vec<Action>) {
        let tie = self.rng.random();
        let Some(request) = self.desk.slots[slot].as_ref() else {
            return;
        };
        let class = &self.settings.classes[request.incoming.class];
        let ran = request.may_have_run;
        // Guards: one that has its answer only after the node that stops was ended from outside.
        let last = request
            .deadline
            .min(self.desk.leaving.unwrap_or(Nanos::MAX));
        let last = answer_by(
            last,
            request.incoming.time_left,
            self.settings.min_call_interval,
        );
        // Guards: a store that fails at once, asked five times over for each attachment.
        let most = if self.desk.common() { 1 } else { request.most };
        // Guards: what no host will have, as bad clients send it, offered to host after host.
        let late = now >= last || request.attempts >= most || request.errors >= UNWANTED;
        let by = repeat_deadline(class, ran.map(|ran| ran.sent));
        let vector = self.helm.next;
        // Guards: hosts that many nodes fill up again as fast as each cuts its one connection there. The
        // less a node sees of the hosts, the more of what it might hold to ceilings it dismisses by chance.
        let shed = request.attempts == 0
            && (self.desk.leaving.is_some()
                || self.desk.sheds() && {
                    let view = self.survey(now);
                    let blind = view.unseen / (view.mean + view.unseen);
                    // The less it pays for its load, the sooner.
                    let worth = |n: usize| {
                        self.settings.classes[n].priority_weight / self.ledger.load(n, None)
                    };
                    let pays = |n| worth(n).max(f64::MIN_POSITIVE);
                    let active = |n: &usize| self.settings.classes[*n].active;
                    let all = (0..self.settings.classes.len()).filter(active);
                    let least = all.map(pays).fold(f64::INFINITY, f64::min);
                    let blind = blind * (least / pays(request.incoming.class)).sqrt();
                    draw(tie, 0) < SHED * blind * (self.desk.late - MANY) / (1.0 - MANY)
                });
        let shed = shed && (self.desk.leaving.is_some() || !self.desk.tries_on(now));
        let chosen = if late || now >= by || shed {
            None
        } else {
            self.choose(now, request, vector, tie)
        };
        if shed {
            self.desk.refused_since.get_or_insert(now);
        }
        let Some(host) = chosen else {
            return self.answer(slot, out);
        };
        let patience = self.patience(now, class);
        let only =
            request.attempts + 1 >= request.most || class.idempotency == Idempotency::NonIdempotent;
        let until = if only { last } else { last.min(now + patience) };
        self.helm.next = (vector + 1) % self.helm.vectors.len();
        out.push(Action::StartAttempt {
            id: request.id,
            host: self.hosts[host].id,
            until,
            by,
        });
        let conn = Conn::new(now, slot, &request.incoming, &self.ledger, &self.settings);
        let conn = Conn {
            vector: Some(vector),
            ..conn
        };
        self.post.push_back((To::Host(host), Note::Sent(conn)));
        if let Some(request) = self.desk.slots[slot].as_mut() {
            (request.attempts, request.at, request.sent) = (request.attempts + 1, Some(host), now);
            request.sent_to = self.hosts[host].listing;
        }
        self.desk.refused_since = None;
        self.desk.purse = (self.desk.purse + PURSE).min(FULL_PURSE);
    }

    /// How long a set-up is waited for before another host is asked. Guards: a store that all set-ups share, whose answers come
    /// when the node has asked anew already. The fewer set-ups a node sees, the less it can tell such a store from a host that
    /// hangs, and the longer it waits.
    fn patience(&self, now: Nanos, class: &RequestClass) -> Nanos {
        let hears_loads = self.settings.load_from_probes || self.ledger.weighed > 0;
        let longest = match (many(&self.settings), hears_loads) {
            (false, _) => 0,
            (true, true) => UNSURE_HEARING_LOADS,
            (true, false) => UNSURE,
        };
        let unsure = longest as f64 / (1.0 + (self.desk.came_of_late(now) / TELLING).powi(2));
        let usual = (class.latency_objective as f64 + unsure).max(6.0 * self.ledger.set_up);
        (usual * (1.0 + PATIENCE * self.desk.trouble)) as Nanos
    }

    /// The host with the lowest score of those that may and can take the attachment; ties at random.
    fn choose(&self, now: Nanos, request: &Request, vector: usize, tie: u64) -> Option<usize> {
        let incoming = &request.incoming;
        let length = self.ledger.length(incoming.key, now);
        let known = incoming
            .usual_load
            .or(self.ledger.last_load(incoming.key, now));
        let load = self.ledger.load(incoming.class, known);
        let steps = length.map_or(1.0, |l| {
            (l / STEP as f64).ceil().clamp(1.0, STEPS as f64) / STEPS as f64
        });
        let groups = self.settings.groups_enabled && !self.settings.passthrough;
        let home = if self.settings.passthrough {
            incoming.key
        } else {
            incoming.group.filter(|_| groups)
        };
        let ask = Ask {
            request,
            load,
            ahead: load * steps,
            length,
            home,
        };
        let view = self.survey(now);
        // First the node's set, then all ready hosts, then those masked or tried before.
        for (set, again) in [(true, false), (false, false), (false, true)] {
            let lapsed = again
                && self
                    .hosts
                    .iter()
                    .all(|h| !h.ready() || now < h.masked_until);
            let mut best: Option<(f64, f64, usize)> = None;
            for (n, host) in self.hosts.iter().enumerate() {
                let open = host.ready() && (again || !request.tried.contains(&n));
                let open = open && (!set || self.in_set(now, host, &ask, &view));
                if !open || !self.takes(now, host, &ask, &view, (again, lapsed)) {
                    continue;
                }
                let luck = draw(tie, n as u64);
                let score = self.score(now, host, &ask, &view, vector, luck);
                if best.is_none_or(|(s, l, _)| score < s || (score == s && luck < l)) {
                    best = Some((score, luck, n));
                }
            }
            if let Some((_, _, n)) = best {
                return Some(n);
            }
        }
        None
    }

    /// The house habit: a node starts with few hosts and adds one whenever those are all busy: those of its
    /// zone at which it holds the group, or anything, what is new, and a few by a draw over node and host.
    fn in_set(&self, now: Nanos, host: &Host, ask: &Ask, view: &Survey) -> bool {
        // Guards: a zone with most of the clients overrun beside another whose hosts all are new and empty.
        let young = host.cold(now, &self.settings) && by_lot(&self.settings);
        let used = match ask.home {
            // Guards: clients led to a new host by nodes that have just started, which then look elsewhere.
            _ if young => true,
            Some(home) => !self.settings.passthrough && host.groups.contains_key(&home),
            _ if !host.conns.is_empty() || host.newcomer || self.settings.centralized => true,
            _ => draw(u64::from(self.settings.node_index), host.id.0) < FEW / view.near,
        };
        let part = BUSY * (view.mean + view.unseen);
        let busy = host
            .reported(now)
            .map_or(host.own() + view.unseen > part, |load| load > CROWDED);
        let busy =
            busy || host.ceiling.is_some() || now < host.masked_until || host.slow(now) >= LATE;
        used && !busy && (young || host.listing.zone == self.settings.zone)
    }

    /// What a host that does not hold its group would pay for the attachment beside its load.
    fn opening(&self, host: &Host, ask: &Ask) -> f64 {
        let opens = ask
            .home
            .is_some_and(|g| !self.settings.passthrough && !host.groups.contains_key(&g));
        f64::from(u8::from(opens)) * self.ledger.group_price()
    }

    /// Whether a ready host may and can take the attachment.
    fn takes(
        &self,
        now: Nanos,
        host: &Host,
        ask: &Ask,
        view: &Survey,
        (again, lapsed): (bool, bool),
    ) -> bool {
        let masked = now < host.masked_until;
        let trickle = host.pending == 0 && now >= host.sent + PULSE / 2;
        // Guards: a node whose own line was down, and that then takes all hosts for just started.
        let old = host
            .listing
            .started
            .is_none_or(|t| now >= t.saturating_add(self.settings.warm_up));
        if masked && !(lapsed && trickle) {
            return false;
        }
        let theirs = self.desk.successor && host.cold(now, &self.settings);
        !theirs
            && host.bears(now, ask.load + self.opening(host, ask), view.typical)
            && (host.cold_room(now, ask.request.incoming.key, view, &self.settings)
                || again && trickle && old)
            && self.in_circle(&host.listing, ask.request)
    }

    /// Whether the host would drop a repeat of a labelled attachment that may have run: it is in the group in which the first
    /// one ran, and in which that host is listed now. Guards: a repeat led out of its group by a host that came back under its
    /// name in another; and one matched against the zone that has the place of the first one's in new terms.
    fn in_circle(&self, place: &Endpoint, request: &Request) -> bool {
        let class = &self.settings.classes[request.incoming.class];
        let Some(ran) = &request.may_have_run else {
            return true;
        };
        let places = [&ran.listed, &self.hosts[ran.host].listing];
        places
            .into_iter()
            .all(|first| may_repeat_at(class, Some(first), place).is_ok())
    }

    /// The design's two-part score, and the leanings to homes and to the own zone.
    fn score(
        &self,
        now: Nanos,
        host: &Host,
        ask: &Ask,
        view: &Survey,
        vector: usize,
        luck: f64,
    ) -> f64 {
        let weights = &self.helm.vectors[vector];
        // Guards: a newcomer that stays empty at a planner, as of hosts in balance some are always just under
        // the mean: it counts as it is for twice its share of what comes.
        let share = f64::from(u8::from(self.settings.centralized)) * 2.0 / view.near;
        // What others can have placed at a host that started lately is little.
        let fresh = by_lot(&self.settings) && host.cold(now, &self.settings);
        let filled = if fresh {
            host.filled(now, &self.settings)
        } else {
            1.0
        };
        let stays = host.newcomer && luck >= share && !fresh;
        let own = host.own()
            + if stays {
                view.blind * (view.mean - host.own()).max(0.0)
            } else {
                0.0
            };
        let with = own + (ask.ahead + self.opening(host, ask)) / host.listing.size;
        // Guards: new hosts taken for as full as the rest, where each node sees next to nothing of any.
        let unseen = view.unseen * filled;
        let balance = (with + unseen) * (1.0 + host.slow(now)) / (view.mean + view.unseen);
        // Guards: homes and own zones filled past what they bear, where nothing tells of it until they shed.
        // The less a node sees of the hosts, the less it goes by that.
        let seen = view.mean / (view.mean + view.unseen);
        let balance = balance + STEEP * seen * seen * (balance - BUSY).max(0.0);
        // What a report tells of the host comes in place of what the node alone can see.
        let balance = host.reported(now).map_or(balance, |load| {
            let part = view.loaded
                / (view.mean * f64::from(self.settings.node_count)).max(4.0 * view.unit);
            let load = load
                + (host.since + ask.ahead + self.opening(host, ask)) / host.listing.size * part;
            (load + BLUR + STEEP * (load - CROWDED).max(0.0)) * (1.0 + host.slow(now))
                / (view.loaded + BLUR)
        });
        let apart =
            |l: f64| ((host.longest.saturating_sub(now) as f64 - l).abs() / HORIZON).min(1.0);
        let score = weights.balance * balance + weights.gap * ask.length.map_or(0.0, apart);

        let crossing = if host.listing.zone == self.settings.zone {
            0.0
        } else {
            view.crossing * filled
        };
        let away = ask
            .home
            .filter(|g| self.settings.passthrough || !host.groups.contains_key(g));
        // Midway packets go where every node would look for them.
        let pull = if host.reported(now).is_some() {
            STEPWISE * view.ready
        } else {
            HOME
        };
        let pull = if ask.request.incoming.mid_stream {
            1e6
        } else {
            pull
        };
        let homing = |g: u64| pull * (-draw(g, host.id.0).ln() / host.listing.size).min(1.0);
        score + crossing + away.map_or(0.0, homing)
    }
}
