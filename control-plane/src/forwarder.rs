//! The forwarder's end of the link. It owns a duty for each attachment that its connection holds, the lines to
//! all planners, and which of them it follows. What is to be decided goes to the planner it follows; what
//! that one cannot decide in time it settles by the plan it holds, or by a final answer at once. It must
//! never carry out an order whose lease is over or that answers an earlier step, nor have two hand-offs
//! of one attachment out, nor one that the attachment's history forbids, whoever orders it.

use crate::duty::{Duty, Phase};
pub use crate::following::PlannerAddress;
use crate::following::{order, Line, State};
use crate::frames::{
    self, ForwarderMessage, Hello, HostEntry, LinkError, PlannerMessage, Welcome, WireHostState,
    LONGEST_NAME,
};
use crate::plan::Plan;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use reedferry::{
    Action, AttemptOutcome, BalancerSettings, Event, HostId, Nanos, RequestId, MILLI, SECOND,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::SocketAddr;

/// What waits for a planner from which it is asked no more, and from which it is hung up on.
const CHOKED: usize = 256 << 10;
const STUFFED: usize = 4 << 20;
/// How long a call may take to be welcomed, the first pause after one that failed, and the longest.
const WELCOME: Nanos = SECOND;
const AGAIN: Nanos = 50 * MILLI;
const LONGEST_AGAIN: Nanos = SECOND;
/// Leases without a word after which a line is hung up on.
const SILENT: u64 = 4;
/// How long the word of any planner that a host drains keeps new work from it, where the planner followed
/// has not heard so yet.
const BARRED: Nanos = 10 * SECOND;
const MOST_HOSTS: usize = 65_536;
/// Barred hosts from which on those are looked for that are no more.
const MOST_BARRED: usize = 1024;
/// How often a forwarder that stops sends clients away.
const PARTING: Nanos = 50 * MILLI;

/// What a forwarder keeps to.
#[derive(Clone, Debug)]
pub struct ForwarderConfig {
    pub name: String,
    pub balancer_settings: BalancerSettings,
    /// Of the lists that index what passes.
    pub fingerprint: u64,
    /// Grows with each start.
    pub epoch: u64,
    /// How long a planner's word holds, from the beat that it answers. Under the grace for drains.
    pub lease: Nanos,
    /// How long a planner may take to decide.
    pub decide_within: Nanos,
    /// Attachments that wait for a planner at the most.
    pub most_asked: usize,
    /// How long a planner that this forwarder would rather follow must have been well before it does.
    pub settle: Nanos,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum ForwarderAction {
    /// For the connection: final answers, moves, hand-offs called off.
    Perform(Action),
    /// A hand-off whose line is to start by `by`, or not at all.
    StartAttempt {
        id: RequestId,
        host: HostId,
        until: Nanos,
        by: Nanos,
    },
    /// Opens a connection to a planner; answered by `called` or `lost`.
    ConnectPlanner {
        line: u32,
        address: SocketAddr,
    },
    /// Ends it.
    DisconnectPlanner {
        line: u32,
    },
    HostLearned(HostEntry),
    Log(String),
}

pub struct Forwarder {
    keeps: ForwarderConfig,
    rng: ChaCha8Rng,
    /// In the order in which it would follow them.
    lines: Vec<Line>,
    tokens: u32,
    /// The line of the planner that it follows.
    lead: Option<usize>,
    /// Whether that planner has been told all that stands.
    told: bool,
    retell: VecDeque<u64>,
    /// What waits until it has.
    parked: Vec<u64>,
    duties: BTreeMap<u64, Duty>,
    asked: usize,
    /// When what waits is decided here at the latest: time, attachment, step.
    due: BinaryHeap<Reverse<(Nanos, u64, u32)>>,
    plan: Plan,
    plan_until: Nanos,
    hosts: HashMap<HostId, WireHostState>,
    /// Hosts that a planner said drain or are gone: as of which version, and until when that counts here.
    barred: HashMap<HostId, (u64, Nanos)>,
    pruned: Nanos,
    leaving: Option<Nanos>,
    next_part: Nanos,
    /// When it was last called, and until when it waits for planners to answer since it stood still.
    seen: Nanos,
    patience: Nanos,
    /// Whether it has been logged that no planner answers, or none has yet.
    orphaned: bool,
    /// What was decided here since that was last logged: by plan, and answered at once.
    alone: (u32, u32),
    alone_told: Nanos,
}

impl Forwarder {
    pub fn new(
        keeps: ForwarderConfig,
        planners: Vec<PlannerAddress>,
        seed: u64,
        now: Nanos,
    ) -> Self {
        let mut forwarder = Forwarder {
            keeps,
            rng: ChaCha8Rng::seed_from_u64(seed),
            lines: Vec::new(),
            tokens: 0,
            lead: None,
            told: false,
            retell: VecDeque::new(),
            parked: Vec::new(),
            duties: BTreeMap::new(),
            asked: 0,
            due: BinaryHeap::new(),
            plan: Plan::default(),
            plan_until: 0,
            hosts: HashMap::new(),
            barred: HashMap::new(),
            pruned: 0,
            leaving: None,
            next_part: 0,
            seen: now,
            patience: 0,
            orphaned: true,
            alone: (0, 0),
            alone_told: 0,
        };
        forwarder.planners(now, planners, &mut Vec::new());
        forwarder
    }

    /// Attachments that are owed something.
    pub fn held(&self) -> usize {
        self.duties.len()
    }

    /// The name of the planner that is followed.
    pub fn follows(&self) -> Option<&str> {
        self.lead.map(|n| self.lines[n].at.name.as_str())
    }

    /// The name of the planner at the other end of a line.
    pub fn planner(&self, token: u32) -> Option<&str> {
        self.line(token).map(|n| self.lines[n].at.name.as_str())
    }

    /// Takes up another list of planners: those that stay keep their sessions.
    pub fn planners(
        &mut self,
        now: Nanos,
        mut list: Vec<PlannerAddress>,
        out: &mut Vec<ForwarderAction>,
    ) {
        let lead = self.lead.map(|n| self.lines[n].token);
        order(&self.keeps.name, &mut list);
        let mut old = std::mem::take(&mut self.lines);
        for at in list {
            match old.iter().position(|line| line.at == at) {
                Some(found) => self.lines.push(old.remove(found)),
                None => {
                    self.tokens += 1;
                    self.lines.push(Line::new(self.tokens, at, now));
                }
            }
        }
        out.extend(
            old.iter()
                .map(|line| ForwarderAction::DisconnectPlanner { line: line.token }),
        );
        self.lead = lead.and_then(|token| self.line(token));
        if lead.is_some() && self.lead.is_none() {
            self.unfollowed();
        }
    }

    fn line(&self, token: u32) -> Option<usize> {
        self.lines.iter().position(|line| line.token == token)
    }

    /// What waits to be sent to a planner.
    pub fn outgoing(&self, token: u32) -> &[u8] {
        self.line(token)
            .map_or(&[], |n| self.lines[n].writer.waiting())
    }

    pub fn sent(&mut self, token: u32, count: usize) {
        if let Some(n) = self.line(token) {
            self.lines[n].writer.sent(count);
        }
    }

    /// The connection that was called for stands.
    pub fn called(&mut self, token: u32) {
        let Some(n) = self.line(token) else { return };
        let ForwarderConfig {
            name,
            epoch,
            fingerprint,
            balancer_settings,
            ..
        } = &self.keeps;
        let line = &mut self.lines[n];
        line.writer.greet(&Hello {
            name: name.clone(),
            planner: line.at.name.clone(),
            zone: balancer_settings.zone,
            epoch: *epoch,
            fingerprint: *fingerprint,
        });
    }

    /// The connection could not be made, or has ended.
    pub fn lost(&mut self, now: Nanos, token: u32, why: &str, out: &mut Vec<ForwarderAction>) {
        let Some(n) = self.line(token) else { return };
        let line = &mut self.lines[n];
        if line.session().is_some() {
            let name = &line.at.name;
            out.push(ForwarderAction::Log(format!(
                "planner lost name={name} why={why} held={}",
                self.duties.len()
            )));
        }
        // Spread and growing, so that forwarders do not storm a planner that is back.
        let pause = (AGAIN << line.tries.min(5)).min(LONGEST_AGAIN);
        let pause = (pause as f64 * self.rng.random_range(0.5..1.5)) as Nanos;
        line.tries += 1;
        line.reset(State::PlannerMessage(now + pause));
        if self.lead == Some(n) {
            self.lead = None;
            self.unfollowed();
        }
    }

    fn hang(&mut self, now: Nanos, n: usize, why: &str, out: &mut Vec<ForwarderAction>) {
        let token = self.lines[n].token;
        out.push(ForwarderAction::DisconnectPlanner { line: token });
        self.lost(now, token, why, out);
    }

    /// Notices that this process stood still: no planner had a beat of it to answer. Guards: all that waits
    /// dismissed after a pause of its own, as if the planners were gone.
    fn wake(&mut self, now: Nanos) {
        if now > self.seen + self.keeps.lease / 2 {
            self.patience = now + self.keeps.lease / 4;
        }
        self.seen = now;
    }

    /// Whether the planner that is followed may be asked: its word holds, or it has had no beat to answer.
    fn led(&self, now: Nanos) -> bool {
        let up = |n: usize| self.lines[n].session().is_some() && now < self.patience;
        self.lead.is_some_and(|n| self.lines[n].holds(now) || up(n))
    }

    /// Bytes of a planner. What cannot be read ends that planner's connection alone.
    pub fn came(&mut self, now: Nanos, token: u32, bytes: &[u8], out: &mut Vec<ForwarderAction>) {
        self.wake(now);
        let Some(n) = self.line(token) else { return };
        let mut reader = std::mem::take(&mut self.lines[n].reader);
        let read = reader.feed(bytes, |body| self.body(now, n, body, out));
        match read {
            Ok(()) => self.lines[n].reader = reader,
            Err(why) => {
                let line = &mut self.lines[n];
                if line.session().is_none() && line.why != why.to_string() {
                    let name = &line.at.name;
                    out.push(ForwarderAction::Log(format!(
                        "planner turned away name={name} why={why}"
                    )));
                    line.why = why.to_string();
                }
                self.hang(now, n, &why.to_string(), out);
            }
        }
    }

    fn body(
        &mut self,
        now: Nanos,
        n: usize,
        body: &[u8],
        out: &mut Vec<ForwarderAction>,
    ) -> Result<(), LinkError> {
        let lease = self.keeps.lease;
        let line = &mut self.lines[n];
        let session = match line.state {
            State::ForwarderMessage(session) => session,
            State::Calling(_) => match frames::greeting(body)? {
                Welcome::Session(session) => {
                    line.begin(session, now);
                    return Ok(());
                }
                Welcome::Refused(why) => {
                    return Err(LinkError::Refused(why.chars().take(LONGEST_NAME).collect()));
                }
            },
            State::PlannerMessage(_) => {
                return Err(LinkError::Unexpected("bytes that nobody asked for"))
            }
        };
        let (head, mut notes) = frames::piece(body)?;
        line.tally.take(&head, session)?;
        let until = line
            .grants(&head, now, lease)
            .ok_or(LinkError::Unexpected("a beat that was never sent"))?;
        if self.lead == Some(n) {
            self.plan_until = self.plan_until.max(line.granted);
        }
        while let Some(note) = notes.take()? {
            self.note(now, n, until, note, out)?;
        }
        Ok(())
    }

    fn note(
        &mut self,
        now: Nanos,
        n: usize,
        by: Nanos,
        note: PlannerMessage,
        out: &mut Vec<ForwarderAction>,
    ) -> Result<(), LinkError> {
        let leads = self.lead == Some(n);
        match note {
            PlannerMessage::Host(line) => return self.host(now, n, line, out),
            PlannerMessage::HostsComplete { .. } => self.listed(n, out),
            PlannerMessage::ShuttingDown => self.lines[n].going = true,
            // The word of one that is not followed decides nothing.
            _ if !leads => {}
            PlannerMessage::StartAttempt {
                id,
                step,
                host,
                within,
            } => self.ordered(now, by, (id, step), HostId(host), within, out),
            PlannerMessage::Reject { id, step, wait } => self.final_word(id, step, Some(wait), out),
            PlannerMessage::Fail { id, step } => self.final_word(id, step, None, out),
            PlannerMessage::Migrate { id } => {
                let open = self
                    .duties
                    .get(&id)
                    .is_some_and(|d| matches!(d.phase, Phase::Open(_)));
                if open && now < by {
                    out.push(ForwarderAction::Perform(Action::Migrate {
                        id: RequestId(id),
                    }));
                }
            }
            PlannerMessage::Plan { hosts, allowance } => self.plan = Plan::of(&hosts, allowance),
        }
        Ok(())
    }

    /// A planner speaks of a host. Whichever says that it drains is believed; that it is well again is
    /// believed of one who knows a version no older.
    fn host(
        &mut self,
        now: Nanos,
        n: usize,
        line: HostEntry,
        out: &mut Vec<ForwarderAction>,
    ) -> Result<(), LinkError> {
        let id = HostId(line.id);
        if line.name.is_empty() || line.name.len() > LONGEST_NAME {
            return Err(LinkError::Unexpected("a host without a proper name"));
        }
        if self.hosts.len() >= MOST_HOSTS && !self.hosts.contains_key(&id) {
            return Err(LinkError::Unexpected("more hosts than there may be"));
        }
        if let Some(named) = self.lines[n].named.as_mut() {
            named.insert(id);
        }
        let bar = self.barred.get(&id).copied();
        if line.stands != WireHostState::Ready {
            if self.barred.len() >= MOST_BARRED && now >= self.pruned + SECOND {
                self.barred.retain(|_, (_, until)| now < *until);
                self.pruned = now;
            }
            if self.barred.len() >= MOST_HOSTS {
                return Err(LinkError::Unexpected(
                    "more hosts that are gone than there may be",
                ));
            }
            // Guards: a run-away version that would bar a host for ever.
            self.barred.insert(id, (line.as_of, now + BARRED));
        } else if let Some((as_of, until)) = bar {
            if line.as_of < as_of && now < until {
                return Ok(());
            }
            self.barred.remove(&id);
        }
        // Guards: a table that fills up with hosts of long ago, until no planner is listened to any more.
        match line.stands {
            WireHostState::Gone => _ = self.hosts.remove(&id),
            stands => _ = self.hosts.insert(id, stands),
        }
        out.push(ForwarderAction::HostLearned(line));
        Ok(())
    }

    /// A planner has named all its hosts: those that the one followed does not name are gone.
    fn listed(&mut self, n: usize, out: &mut Vec<ForwarderAction>) {
        let Some(named) = self.lines[n]
            .named
            .take()
            .filter(|_| self.lead == Some(n) || self.lead.is_none())
        else {
            return;
        };
        let mut gone: Vec<HostId> = self
            .hosts
            .keys()
            .copied()
            .filter(|id| !named.contains(id))
            .collect();
        gone.sort_by_key(|id| id.0);
        for id in gone {
            self.hosts.remove(&id);
            self.barred.remove(&id);
            let line = HostEntry {
                id: id.0,
                name: String::new(),
                address: None,
                stands: WireHostState::Gone,
                as_of: 0,
            };
            out.push(ForwarderAction::HostLearned(line));
        }
    }

    fn may_take(barred: &HashMap<HostId, (u64, Nanos)>, host: HostId, now: Nanos) -> bool {
        barred.get(&host).is_none_or(|(_, until)| now >= *until)
    }

    /// An order for a hand-off. It holds until `by`, and answers one step of one attachment alone.
    fn ordered(
        &mut self,
        now: Nanos,
        by: Nanos,
        (id, step): (u64, u32),
        host: HostId,
        within: Nanos,
        out: &mut Vec<ForwarderAction>,
    ) {
        let balancer_settings = &self.keeps.balancer_settings;
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        // Guards: an order that crossed what was settled here meanwhile.
        if duty.phase != Phase::Waiting || duty.step != step || !duty.asked {
            return;
        }
        let class = class(balancer_settings, duty);
        let last = duty.answer_by(balancer_settings);
        if now >= last || !duty.may_go(class, balancer_settings.max_attempts, now) {
            return self.answer(id, out);
        }
        duty.asked = false;
        self.asked -= 1;
        // Guards: a late order carried out; its planner, if it still is that, decides anew.
        if now >= by || !Self::may_take(&self.barred, host, now) {
            duty.step += 1;
            return self.ask_on(now, id, AttemptOutcome::NeverSent);
        }
        duty.sent(host, now);
        let until = now.saturating_add(within).min(last);
        out.push(ForwarderAction::StartAttempt {
            id: RequestId(id),
            host,
            until,
            by,
        });
    }

    fn final_word(
        &mut self,
        id: u64,
        step: u32,
        wait: Option<Nanos>,
        out: &mut Vec<ForwarderAction>,
    ) {
        let Some(duty) = self.duties.get(&id) else {
            return;
        };
        if duty.phase != Phase::Waiting || duty.step != step || !duty.asked {
            return;
        }
        let harmless = duty.harmless(class(&self.keeps.balancer_settings, duty));
        self.settle(id);
        let id = RequestId(id);
        out.push(ForwarderAction::Perform(match wait.filter(|_| harmless) {
            Some(wait) => Action::Reject {
                id,
                retry_after: wait.min(self.keeps.balancer_settings.max_retry_after),
            },
            None => Action::Fail { id },
        }));
    }

    /// The one place where a duty ends.
    fn settle(&mut self, id: u64) -> Option<Duty> {
        let duty = self.duties.remove(&id)?;
        self.asked -= usize::from(duty.asked);
        Some(duty)
    }

    /// What the connection tells.
    pub fn event(&mut self, now: Nanos, event: Event, out: &mut Vec<ForwarderAction>) {
        self.wake(now);
        // Guards: what comes in the turn in which a planner is lost, answered as if there were no other.
        if !self.led(now) {
            self.elect(now, out);
        }
        match event {
            Event::RequestArrived(incoming) => {
                let id = incoming.id.0;
                self.duties.insert(id, Duty::new(incoming, now));
                if self.leaving.is_some() {
                    self.answer(id, out);
                } else {
                    self.want(now, id, out);
                }
            }
            Event::ConnectionFound(incoming, host) => {
                self.duties
                    .insert(incoming.id.0, Duty::standing(incoming, host, now));
                self.stands(now, incoming.id.0);
            }
            Event::ConnectionEstablished { id, took } => self.begun(now, id.0, took),
            Event::AttemptEnded {
                id,
                request_over: over,
                ending,
                ..
            } => self.ended(now, id.0, over, ending, out),
            Event::ClientLeft { id } => self.left(id.0, out),
            Event::LoadMeasured { id, load } => {
                if self.duties.get(&id.0).is_some_and(|d| d.known) && !self.choked() {
                    self.tell(ForwarderMessage::LoadMeasured { id: id.0, load });
                }
            }
            Event::MessageLatency {
                host,
                latency: time,
            } => {
                if self.told && !self.choked() {
                    self.tell(ForwarderMessage::MessageLatency { host: host.0, time });
                }
            }
            Event::ShutdownStarted { from, by } => {
                (self.leaving, self.next_part) = (Some(by), from);
                out.push(ForwarderAction::Log(format!(
                    "leaving held={}",
                    self.duties.len()
                )));
            }
            // A forwarder follows no roll, sends no probes and hears no nodes.
            Event::EndpointsUpdated { .. }
            | Event::RequestTakenOver(..)
            | Event::TimerFired { .. }
            | Event::ProbeEnded { .. }
            | Event::GossipReceived { .. }
            | Event::SlowStartSlotsAssigned(_)
            | Event::ProbeTargetsAssigned(_)
            | Event::ShutdownCancelled
            | Event::ConnectionHandedOver(..)
            | Event::SettingsChanged(..)
            | Event::SuccessorChanged(_)
            | Event::StateInherited(_) => {}
        }
    }

    /// Puts a note behind what waits for the planner that is followed.
    fn tell(&mut self, note: ForwarderMessage) {
        let Some(line) = self.lead.map(|n| &mut self.lines[n]) else {
            return;
        };
        if let Some(session) = line.session() {
            line.writer.put(session, line.last_beat(), &note);
        }
    }

    fn choked(&self) -> bool {
        self.lead
            .is_none_or(|n| self.lines[n].writer.unsent() > CHOKED)
    }

    /// Has what waits decided: by the planner, or here where that cannot be.
    fn want(&mut self, now: Nanos, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(duty) = self.duties.get(&id) else {
            return;
        };
        let balancer_settings = &self.keeps.balancer_settings;
        let last = duty.answer_by(balancer_settings);
        if now >= last
            || !duty.may_go(
                class(balancer_settings, duty),
                balancer_settings.max_attempts,
                now,
            )
        {
            return self.answer(id, out);
        }
        // While it is still told what stands, what comes waits its turn behind that.
        let choked = self.told && self.choked();
        if !self.led(now) || choked || self.asked + self.parked.len() >= self.keeps.most_asked {
            return self.decide_alone(now, id, out);
        }
        self.due.push(Reverse((
            last.min(now + self.keeps.decide_within),
            id,
            duty.step,
        )));
        if !self.told {
            return self.parked.push(id);
        }
        let (step, asked, past) = (duty.step, duty.asked(now), duty.past(now));
        self.tell(ForwarderMessage::RequestPlacement {
            id,
            step,
            asked,
            past,
        });
        self.awaited(id);
    }

    fn awaited(&mut self, id: u64) {
        if let Some(duty) = self.duties.get_mut(&id) {
            (duty.known, duty.asked) = (true, true);
            self.asked += 1;
        }
    }

    /// Tells the planner that a hand-off it ordered came to nothing, and awaits its next word.
    fn ask_on(&mut self, now: Nanos, id: u64, ending: AttemptOutcome) {
        let Some(duty) = self.duties.get(&id) else {
            return;
        };
        let last = duty.answer_by(&self.keeps.balancer_settings);
        self.due.push(Reverse((
            last.min(now + self.keeps.decide_within),
            id,
            duty.step,
        )));
        let step = duty.step;
        self.tell(ForwarderMessage::AttemptEnded {
            id,
            step,
            came: ending.into(),
            over: false,
        });
        self.awaited(id);
    }

    /// Decides without a planner: a first hand-off by the plan while that holds, else the final answer.
    fn decide_alone(&mut self, now: Nanos, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        let balancer_settings = &self.keeps.balancer_settings;
        let last = duty.answer_by(balancer_settings);
        let planned =
            if duty.attempts == 0 && now < self.plan_until.min(last) && self.leaving.is_none() {
                let barred = &self.barred;
                self.plan
                    .take(&mut self.rng, |host| Self::may_take(barred, host, now))
            } else {
                None
            };
        let Some(host) = planned else {
            return self.answer(id, out);
        };
        if std::mem::take(&mut duty.asked) {
            self.asked -= 1;
        }
        duty.step += 1;
        duty.sent(host, now);
        let known = std::mem::take(&mut duty.known);
        let until = match class(balancer_settings, duty) {
            o if o.idempotency == reedferry::Idempotency::NonIdempotent => last,
            o => last.min(now + o.latency_objective),
        };
        out.push(ForwarderAction::StartAttempt {
            id: RequestId(id),
            host,
            until,
            by: self.plan_until,
        });
        if known {
            self.tell(ForwarderMessage::RequestClosed { id });
        }
        self.alone.0 += 1;
    }

    /// The final answer where no planner gives it, at once.
    fn answer(&mut self, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(duty) = self.settle(id) else { return };
        if duty.known {
            self.tell(ForwarderMessage::RequestClosed { id });
        }
        let balancer_settings = &self.keeps.balancer_settings;
        let (id, harmless) = (
            RequestId(id),
            duty.harmless(class(balancer_settings, &duty)),
        );
        // Spread, so that the clients do not come back in step.
        let wait =
            (balancer_settings.max_retry_after as f64 * self.rng.random_range(0.25..1.0)) as Nanos;
        out.push(ForwarderAction::Perform(if harmless {
            Action::Reject {
                id,
                retry_after: wait,
            }
        } else {
            Action::Fail { id }
        }));
        self.alone.1 += 1;
    }

    fn begun(&mut self, now: Nanos, id: u64, took: Nanos) {
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        let Phase::Out(host) = duty.phase else { return };
        duty.phase = Phase::Open(host);
        if duty.known {
            self.tell(ForwarderMessage::ConnectionEstablished { id, took });
        } else {
            self.stands(now, id);
        }
    }

    /// Tells of an open connection that the planner does not know.
    fn stands(&mut self, now: Nanos, id: u64) {
        if !self.told || !self.retell.is_empty() {
            return self.retell.push_back(id);
        }
        self.restate(now, id);
    }

    fn restate(&mut self, now: Nanos, id: u64) {
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        let Phase::Open(host) = duty.phase else {
            return;
        };
        if std::mem::replace(&mut duty.known, true) {
            return;
        }
        let asked = duty.asked(now);
        self.tell(ForwarderMessage::OpenConnection {
            id,
            asked,
            host: host.0,
        });
    }

    fn ended(
        &mut self,
        now: Nanos,
        id: u64,
        over: bool,
        ending: AttemptOutcome,
        out: &mut Vec<ForwarderAction>,
    ) {
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        if over || duty.left || matches!(duty.phase, Phase::Open(_)) {
            let (step, known) = (duty.step, duty.known);
            self.settle(id);
            if known {
                self.tell(ForwarderMessage::AttemptEnded {
                    id,
                    step,
                    came: ending.into(),
                    over: true,
                });
            }
            return;
        }
        if duty.phase == Phase::Waiting {
            return;
        }
        duty.came_back(ending);
        let last = duty.answer_by(&self.keeps.balancer_settings);
        if duty.known && now < last && self.led(now) {
            self.ask_on(now, id, ending);
        } else {
            let Some(duty) = self.duties.get_mut(&id) else {
                return;
            };
            if std::mem::take(&mut duty.known) {
                let step = duty.step;
                self.tell(ForwarderMessage::AttemptEnded {
                    id,
                    step,
                    came: ending.into(),
                    over: true,
                });
            }
            self.want(now, id, out);
        }
    }

    fn left(&mut self, id: u64, out: &mut Vec<ForwarderAction>) {
        let Some(duty) = self.duties.get_mut(&id) else {
            return;
        };
        let known = duty.known;
        match duty.phase {
            Phase::Out(_) => {
                duty.left = true;
                if self.keeps.balancer_settings.may_cancel {
                    let (id, attempt) = (RequestId(id), duty.attempts - 1);
                    out.push(ForwarderAction::Perform(Action::CancelAttempt {
                        id,
                        attempt,
                    }));
                }
            }
            _ => _ = self.settle(id),
        }
        if known {
            self.tell(ForwarderMessage::ClientLeft { id });
        }
    }

    /// What falls to be done as time goes by, and the end of a turn: to be called once a turn, last.
    pub fn tick(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        self.wake(now);
        self.keep_lines(now, out);
        self.elect(now, out);
        self.tell_standing(now, out);
        while let Some(&Reverse((time, id, step))) = self.due.peek() {
            if time > now {
                break;
            }
            self.due.pop();
            let waits = |d: &&Duty| d.phase == Phase::Waiting && d.step == step;
            let Some(duty) = self.duties.get(&id).filter(waits) else {
                continue;
            };
            if now < self.patience && duty.answer_by(&self.keeps.balancer_settings) > self.patience
            {
                self.due.push(Reverse((self.patience, id, step)));
            } else {
                self.decide_alone(now, id, out);
            }
        }
        self.part(now, out);
        let lease = self.keeps.lease;
        for line in &mut self.lines {
            line.beat(now, lease);
            line.writer.seal();
        }
        let (planned, answered) = self.alone;
        if (planned > 0 || answered > 0) && now >= self.alone_told + SECOND {
            out.push(ForwarderAction::Log(format!(
                "decided alone planned={planned} answered={answered}"
            )));
            (self.alone, self.alone_told) = ((0, 0), now);
        }
    }

    /// When `tick` is wanted next at the latest.
    pub fn next(&self) -> Nanos {
        let line = |line: &Line| match line.state {
            State::PlannerMessage(at) | State::Calling(at) => at,
            State::ForwarderMessage(_) => line.next_beat().unwrap_or(Nanos::MAX),
        };
        let lines = self.lines.iter().map(line).min();
        let due = self.due.peek().map(|Reverse((time, ..))| *time);
        let lead = self.lead.map(|n| self.lines[n].granted);
        let part = self.leaving.map(|_| self.next_part);
        [lines, due, lead, part]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Nanos::MAX)
    }

    fn keep_lines(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        for n in 0..self.lines.len() {
            let line = &mut self.lines[n];
            match line.state {
                State::PlannerMessage(at) if now >= at => {
                    line.state = State::Calling(now + WELCOME);
                    out.push(ForwarderAction::ConnectPlanner {
                        line: line.token,
                        address: line.at.address,
                    });
                }
                State::Calling(by) if now >= by => self.hang(now, n, "no welcome in time", out),
                State::ForwarderMessage(_) => {
                    let heard = line.granted.max(line.up_since + self.keeps.lease);
                    if now >= heard + (SILENT - 1) * self.keeps.lease {
                        self.hang(now, n, "silent", out);
                    } else if line.writer.unsent() > STUFFED {
                        self.hang(now, n, "takes nothing", out);
                    }
                }
                _ => {}
            }
        }
    }

    /// Follows the first planner in its order whose word holds. One that it would rather follow than the
    /// present one must have been well for a while. Guards: forwarders that run to and fro between two.
    fn elect(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        let holds = |n: usize| self.lines[n].holds(now);
        let lead = self.lead.filter(|&n| holds(n));
        if lead.is_none() && self.led(now) {
            return;
        }
        let best = (0..self.lines.len()).find(|&n| holds(n) && !self.lines[n].going);
        let chosen = match (lead, best) {
            (Some(lead), Some(best)) if self.lines[lead].going => Some(best),
            (Some(lead), Some(best)) if best < lead => {
                let well = now >= self.lines[best].well_since + self.keeps.settle;
                Some(if well { best } else { lead })
            }
            (Some(lead), _) => Some(lead),
            (None, best) => best.or_else(|| (0..self.lines.len()).find(|&n| holds(n))),
        };
        let held = self.duties.len();
        if chosen.is_none() && !std::mem::replace(&mut self.orphaned, true) {
            out.push(ForwarderAction::Log(format!(
                "no planner answers held={held}"
            )));
        }
        if chosen == self.lead {
            return;
        }
        match chosen {
            Some(n) => {
                self.tell(ForwarderMessage::Unfollow);
                (self.lead, self.orphaned) = (Some(n), false);
                self.unfollowed();
                let standing = self.retell.len();
                let name = &self.lines[n].at.name;
                out.push(ForwarderAction::Log(format!(
                    "follows planner={name} standing={standing} held={held}"
                )));
                self.tell(ForwarderMessage::Follow {
                    standing: standing as u32,
                });
            }
            None => {
                self.tell(ForwarderMessage::Unfollow);
                self.lead = None;
                self.unfollowed();
            }
        }
    }

    /// No planner knows any more what this one was told; all waits for the next.
    fn unfollowed(&mut self) {
        (self.told, self.asked) = (false, 0);
        self.retell.clear();
        self.parked.clear();
        for (&id, duty) in &mut self.duties {
            (duty.known, duty.asked) = (false, false);
            match duty.phase {
                Phase::Open(_) => self.retell.push_back(id),
                Phase::Out(_) => {}
                Phase::Waiting => {
                    duty.step += 1;
                    self.parked.push(id);
                }
            }
        }
        if self.lead.is_some() {
            self.plan = Plan::default();
            self.plan_until = 0;
        }
    }

    /// Tells a planner what stands, as much as goes at once, and then asks for what waits. Where there is no
    /// planner, what waits is decided here.
    fn tell_standing(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        if self.lead.is_none() {
            for id in std::mem::take(&mut self.parked) {
                self.decide_alone(now, id, out);
            }
            return;
        }
        while !self.choked() {
            let Some(id) = self.retell.pop_front() else {
                break;
            };
            self.restate(now, id);
        }
        if !self.told && self.retell.is_empty() {
            self.told = true;
            self.tell(ForwarderMessage::StateSyncComplete);
            for id in std::mem::take(&mut self.parked) {
                self.want(now, id, out);
            }
        }
    }

    /// Sends the clients of a forwarder that stops away evenly. Guards: hosts and planners stormed by all.
    fn part(&mut self, now: Nanos, out: &mut Vec<ForwarderAction>) {
        let Some(by) = self.leaving.filter(|_| now >= self.next_part) else {
            return;
        };
        self.next_part = now + PARTING;
        let open = |d: &Duty| matches!(d.phase, Phase::Open(_)) && !d.moved;
        let count = self.duties.values().filter(|d| open(d)).count();
        let share = count.div_ceil((by.saturating_sub(now) / PARTING + 1) as usize);
        for (&id, duty) in self.duties.iter_mut().filter(|(_, d)| open(d)).take(share) {
            duty.moved = true;
            out.push(ForwarderAction::Perform(Action::Migrate {
                id: RequestId(id),
            }));
        }
    }
}

fn class<'a>(balancer_settings: &'a BalancerSettings, duty: &Duty) -> &'a reedferry::RequestClass {
    &balancer_settings.classes[duty.incoming.class.min(balancer_settings.classes.len() - 1)]
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::frames::Writer;

    #[test]
    fn hosts_that_come_and_go_for_months_never_cut_a_forwarder_off() {
        let balancer_settings = BalancerSettings {
            classes: vec![reedferry::RequestClass::default()],
            ..BalancerSettings::default()
        };
        let (lease, settle) = (250 * MILLI, SECOND);
        let (name, decide_within) = ("f".to_string(), 400 * MILLI);
        let keeps = ForwarderConfig {
            name,
            balancer_settings,
            fingerprint: 1,
            epoch: 1,
            lease,
            decide_within,
            most_asked: 9,
            settle,
        };
        let at = PlannerAddress {
            name: "p".into(),
            address: ([127, 0, 0, 1], 1).into(),
        };
        let mut forwarder = Forwarder::new(keeps, vec![at], 1, SECOND);
        let (mut deeds, mut writer) = (Vec::new(), Writer::default());
        forwarder.tick(SECOND, &mut deeds);
        forwarder.called(1);
        writer.greet(&Welcome::Session(5));
        // More than its table has room for, some thousands at a time.
        for batch in 0..14 {
            for id in batch * 5_000..(batch + 1) * 5_000 {
                for stands in [WireHostState::Ready, WireHostState::Gone] {
                    let line = HostEntry {
                        id,
                        name: "x".into(),
                        address: None,
                        stands,
                        as_of: id,
                    };
                    writer.put(5, 0, &PlannerMessage::Host(line));
                }
            }
            writer.seal();
            let bytes = writer.waiting().to_vec();
            writer.sent(bytes.len());
            forwarder.came((batch + 1) * 11 * SECOND, 1, &bytes, &mut deeds);
        }
        assert!(!deeds
            .iter()
            .any(|deed| matches!(deed, ForwarderAction::DisconnectPlanner { .. })));
        assert!(forwarder.hosts.is_empty());
        // As many as there may be at once, and one more.
        let mut writer = Writer::default();
        writer.greet(&Welcome::Session(5));
        let mut forwarder = Forwarder {
            lines: Vec::new(),
            ..forwarder
        };
        let at = PlannerAddress {
            name: "p".into(),
            address: ([127, 0, 0, 1], 1).into(),
        };
        forwarder.planners(SECOND, vec![at], &mut deeds);
        deeds.clear();
        forwarder.tick(SECOND, &mut deeds);
        for id in 0..=MOST_HOSTS as u64 {
            let line = HostEntry {
                id,
                name: "x".into(),
                address: None,
                stands: WireHostState::Ready,
                as_of: 1 << 40,
            };
            writer.put(5, 0, &PlannerMessage::Host(line));
        }
        writer.seal();
        forwarder.came(SECOND, 2, writer.waiting(), &mut deeds);
        assert!(deeds
            .iter()
            .any(|deed| matches!(deed, ForwarderAction::DisconnectPlanner { line: 2 })));
    }
}
