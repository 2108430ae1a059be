//! Connections: an attachment's two, the client's and its host's, from the first line to the end of both. It owns
//! the sockets of clients and hosts and what is on its way between them, in parts by what they own: the
//! client's side before its answer (`listener`), a hand-off (`landing`), the open connection (`passage`), and
//! endings. It tells events and carries actions out, whoever decides. It must never choose a host or an
//! answer, nor answer an attachment twice or let it go without an answer, nor pass on what is no proper
//! attachment: that is turned away here, whatever it sends or leaves unsent.

mod audit;
mod endings;
mod landing;
pub mod lane;
pub mod lines;
mod listener;
mod passage;
mod passing;
pub mod probe;
pub mod wire;

use crate::connections::lane::{Lane, Side};
use crate::context::{self, Context, CLIENT};
use crate::operators::counts::Close;
use endings::MOST_WASTE;
use landing::Landing;
use listener::{Listener, SILENT_CLIENT};
pub use passing::HandedOver;
use reedferry::{
    Action, AttemptOutcome, HostId, IncomingRequest, Nanos, RequestClass, RequestId, MILLI, SECOND,
};
use reedferry_runtime::{Buffer, PollToken, Readiness, Socket};
use slab::Slab;
use slog::info;
use std::collections::VecDeque;
use std::rc::Rc;

/// After which time what the machine was short of something for is tried again.
pub const RETRY_AFTER: Nanos = 10 * MILLI;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// The first line has not come yet.
    Unasked,
    /// The module has it and owes an answer.
    Held,
    /// It stood at a host before the run and goes back there; when it is tried next.
    Returning(Nanos),
    /// Lines pass both ways.
    Open,
    /// Another process is to go on with it, which was open or had not asked yet.
    Passing(bool),
    /// The answer is given or its host is gone: the client's end is waited for.
    Closing(Nanos),
}

struct Connection {
    client: Option<Side>,
    landing: Option<Landing>,
    stage: Stage,
    /// When the client came, and when its attachment did.
    came: Nanos,
    since: Nanos,
    incoming: IncomingRequest,
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
    attempts: u32,
    /// When the first attempt that may have run was written.
    may_have_run: Option<Nanos>,
    /// When the lines went that are not answered yet.
    asked: VecDeque<Nanos>,
    moving: Option<Nanos>,
    ending: AttemptOutcome,
    client_ended: Option<Nanos>,
    /// The next process would not have it.
    turned_down: bool,
}

impl Connection {
    fn new(client: Side, slot: usize, now: Nanos) -> Self {
        let id = RequestId(u64::from(client.stamp) << 32 | slot as u64);
        Connection {
            client: Some(client),
            landing: None,
            stage: Stage::Unasked,
            came: now,
            since: now,
            incoming: IncomingRequest {
                id,
                ..IncomingRequest::default()
            },
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
            attempts: 0,
            may_have_run: None,
            asked: VecDeque::new(),
            moving: None,
            ending: AttemptOutcome::Cancelled,
            client_ended: None,
            turned_down: false,
        }
    }

    /// Whether its attachment waits for its answer.
    fn owed(&self) -> bool {
        matches!(self.stage, Stage::Held | Stage::Returning(_))
    }

    /// Whether it holds no attachment: it has not asked yet, or has its answer.
    fn idles(&self) -> bool {
        matches!(self.stage, Stage::Unasked | Stage::Closing(_))
    }
}

#[derive(Default)]
pub struct Connections {
    slab: Slab<Connection>,
    listener: Listener,
    /// What may still be thrown away before the next sweep.
    waste: usize,
    /// Those with more to do than a turn allows.
    more: Vec<usize>,
    /// Those that wait for what the machine is short of, until the next retry, and whether that is timed.
    starved: Vec<usize>,
    retries: bool,
    /// Sides that could not be watched: whose, and under which mark.
    unwatched: Vec<PollToken>,
}

impl Connections {
    pub fn count(&self) -> usize {
        self.slab.len()
    }

    /// Whether any attachment goes by this place of an offering.
    pub fn holds(&self, class: usize) -> bool {
        self.slab
            .iter()
            .any(|(_, connection)| !connection.idles() && connection.incoming.class == class)
    }

    /// The offerings that any attachment goes by, by their names, and what they mean.
    pub fn held(&self, context: &Context) -> Vec<(String, RequestClass)> {
        let all = context
            .node_settings
            .classes
            .iter()
            .zip(&context.classes)
            .enumerate();
        let held = all.filter(|(n, _)| self.holds(*n));
        held.map(|(_, (name, class))| (name.clone(), class.clone()))
            .collect()
    }

    /// The clients whose attachment is held or open.
    pub fn in_flight(&self) -> usize {
        self.slab
            .iter()
            .filter(|(_, connection)| {
                (connection.owed() || connection.stage == Stage::Open)
                    && connection.client.is_some()
            })
            .count()
    }

    /// Whether something is left to do without waiting.
    pub fn busy(&self) -> bool {
        !self.more.is_empty() || self.listener.open
    }

    pub(super) fn find(&self, id: RequestId) -> Option<usize> {
        let slot = id.0 as u32 as usize;
        self.slab
            .get(slot)
            .filter(|f| f.incoming.id == id)
            .map(|_| slot)
    }

    pub fn ready(&mut self, context: &mut Context, ready: Readiness) {
        let (slot, stamp) = (ready.token.slot as usize, ready.token.generation);
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let side = match ready.token.component {
            CLIENT => connection.client.as_mut(),
            _ => connection.landing.as_mut().map(|l| &mut l.side),
        };
        let Some(side) = side.filter(|s| s.stamp == stamp) else {
            return;
        };
        side.readable |= ready.readable;
        side.writable |= ready.writable;
        self.go(context, slot);
    }

    /// Goes on with those that had more to do.
    pub fn resume(&mut self, context: &mut Context, listener: Option<&Socket>) {
        if self.listener.open {
            self.accept(context, listener);
        }
        for slot in std::mem::take(&mut self.more) {
            self.go(context, slot);
        }
    }

    /// Goes on with this one soon, as the machine was short of something and nothing else will tell when to.
    pub(super) fn retry_soon(&mut self, context: &mut Context, slot: usize) {
        self.starved.push(slot);
        self.time_retry(context);
    }

    fn time_retry(&mut self, context: &mut Context) {
        if !std::mem::replace(&mut self.retries, true) {
            context
                .poller
                .set_timer(context.now + RETRY_AFTER, context::mark(context::RETRY), 0);
        }
    }

    /// Has a side watched under this mark, now or as soon as the machine lets it be.
    pub(super) fn watch(&mut self, context: &mut Context, socket: &Socket, mark: PollToken) {
        if context.poller.register_or_update(socket, mark).is_err() {
            context.machine_trouble("epoll_ctl");
            self.unwatched.push(mark);
            self.time_retry(context);
        }
    }

    /// Tries again what the machine was short of something for.
    pub fn retry(&mut self, context: &mut Context) {
        self.retries = false;
        self.more.append(&mut self.starved);
        for mark in std::mem::take(&mut self.unwatched) {
            let slot = mark.slot as usize;
            let Some(connection) = self.slab.get_mut(slot) else {
                continue;
            };
            let sides = connection
                .client
                .as_mut()
                .into_iter()
                .chain(connection.landing.as_mut().map(|l| &mut l.side));
            let Some(side) = sides.into_iter().find(|side| side.stamp == mark.generation) else {
                continue;
            };
            if context
                .poller
                .register_or_update(&side.socket, mark)
                .is_err()
            {
                context.machine_trouble("epoll_ctl");
                self.unwatched.push(mark);
            }
            // Watched or not, it is looked at.
            (side.readable, side.writable) = (true, true);
            self.more.push(slot);
        }
        if !self.unwatched.is_empty() {
            self.time_retry(context);
        }
    }

    pub(super) fn go(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        match connection.stage {
            Stage::Unasked => self.read_opening(context, slot),
            Stage::Held | Stage::Returning(_) => {
                self.listen(context, slot);
                self.land_on(context, slot);
            }
            Stage::Open => self.pass(context, slot),
            Stage::Passing(_) => {}
            Stage::Closing(_) => self.see_off(context, slot),
        }
    }

    /// Carries out what is for an attachment, whoever decided it, and gives back what is not.
    pub fn carry_out(&mut self, context: &mut Context, action: Action) -> Option<Action> {
        match action {
            Action::StartAttempt {
                id,
                host,
                until,
                by,
            } => self.attempt(context, id, host, until, by),
            Action::Reject {
                id,
                retry_after: wait,
            } => self.dismiss(context, id, wait),
            Action::Fail { id } => self.give_up(context, id),
            Action::Migrate { id } => self.move_on(context, id),
            Action::CancelAttempt { id, attempt } => self.call_off(context, id, attempt),
            other => return Some(other),
        }
        None
    }

    /// Looks over all: what has waited too long, and which lines go unanswered.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.now;
        let stopped = context.stopped_by.unwrap_or(Nanos::MAX);
        self.waste = MOST_WASTE;
        let slots: Vec<usize> = self.slab.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(connection) = self.slab.get_mut(slot) else {
                continue;
            };
            match connection.stage {
                // Guards: clients that wait or rest until the program is ended from outside, and never have an answer.
                Stage::Unasked if now >= stopped => self.send_away(context, slot),
                Stage::Held if now >= stopped && connection.landing.is_some() => {
                    self.time_is_up(context, slot);
                }
                Stage::Unasked if now >= connection.came + SILENT_CLIENT => {
                    self.rests(context, slot);
                }
                Stage::Returning(next) if connection.landing.is_none() && now >= next => {
                    self.go_back(context, slot);
                }
                Stage::Closing(by) if now >= by => self.remove(context, slot, Close::Answered),
                Stage::Closing(_) => {
                    connection.wasted = 0;
                    self.see_off(context, slot);
                }
                Stage::Open => self.look_after(context, slot),
                _ => {}
            }
        }
        context.say_left_out();
        let slab = &self.slab;
        let same = |f: &Connection, stamp| {
            f.idles() && f.client.as_ref().is_some_and(|c| c.stamp == stamp)
        };
        self.listener
            .idle
            .retain(|&(slot, stamp)| slab.get(slot).is_some_and(|f| same(f, stamp)));
        // Once a second. Guards: a log that bad clients fill.
        if now >= self.listener.told + SECOND {
            self.listener.told = now;
            for (why, count) in std::mem::take(&mut self.listener.turned) {
                info!(context.log, "turned away"; "why" => why, "count" => count);
            }
        }
    }
}
