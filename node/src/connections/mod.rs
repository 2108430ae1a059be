//! Connections: an attachment's two, the client's and its host's, from the first line to the end of both. It owns
//! the sockets of clients and hosts and what is on its way between them, in parts by what they own: the
//! client's side before its answer (`listener`), a hand-off (`landing`), the open connection (`passage`), and
//! endings. It tells events and carries actions out, whoever decides. It must never choose a host or an
//! answer, nor answer an attachment twice or let it go without an answer, nor pass on what is no proper
//! attachment: that is turned away here, whatever it sends or leaves unsent.

mod attempts;
mod closing;
mod handover;
mod invariants;
pub mod link;
mod listener;
pub mod probe;
pub mod protocol;
mod proxying;
pub mod relay;

use crate::connections::relay::{PeerSocket, Relay};
use crate::context::{self, Context, CLIENT};
use crate::operators::counts::Close;
use attempts::HostConnection;
use closing::MAX_DISCARDED_TOTAL;
pub use handover::ConnectionHandover;
use listener::{Listener, FIRST_LINE_TIMEOUT};
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
    AwaitingRequest,
    /// The module has it and owes an answer.
    Pending,
    /// It stood at a host before the run and goes back there; when it is tried next.
    Reconnecting(Nanos),
    /// Lines pass both ways.
    Open,
    /// Another process is to go on with it, which was open or had not asked yet.
    HandingOver(bool),
    /// The answer is given or its host is gone: the client's end is waited for.
    Closing(Nanos),
}

struct Connection {
    client: Option<PeerSocket>,
    host_connection: Option<HostConnection>,
    stage: Stage,
    /// When the client came, and when its attachment did.
    accepted_at: Nanos,
    started_at: Nanos,
    incoming: IncomingRequest,
    /// Its id on the wire, while it is open.
    wire_id: Option<Rc<str>>,
    pings: u32,
    host_errors: u32,
    /// What has been thrown away of it since the last sweep.
    discarded: usize,
    /// The client's first line and how long it is, kept until a host has taken it.
    request_line: Option<Buffer>,
    request_line_length: usize,
    /// Where it stood before the run.
    previous_host: Option<HostId>,
    /// How long the client waits, and how long the hand-off that is out is given.
    timeout: Nanos,
    attempt_timeout: Nanos,
    to_host: Relay,
    to_client: Relay,
    attempts: u32,
    /// When the first attempt that may have run was written.
    may_have_run_since: Option<Nanos>,
    /// When the lines went that are not answered yet.
    unanswered_lines: VecDeque<Nanos>,
    migrate_by: Option<Nanos>,
    migration_outcome: AttemptOutcome,
    client_finished_at: Option<Nanos>,
    /// The next process would not have it.
    handover_rejected: bool,
}

impl Connection {
    fn new(client: PeerSocket, slot: usize, now: Nanos) -> Self {
        let id = RequestId(u64::from(client.generation) << 32 | slot as u64);
        Connection {
            client: Some(client),
            host_connection: None,
            stage: Stage::AwaitingRequest,
            accepted_at: now,
            started_at: now,
            incoming: IncomingRequest {
                id,
                ..IncomingRequest::default()
            },
            wire_id: None,
            pings: 0,
            host_errors: 0,
            discarded: 0,
            request_line: None,
            request_line_length: 0,
            previous_host: None,
            timeout: 0,
            attempt_timeout: 0,
            to_host: Relay::default(),
            to_client: Relay::default(),
            attempts: 0,
            may_have_run_since: None,
            unanswered_lines: VecDeque::new(),
            migrate_by: None,
            migration_outcome: AttemptOutcome::Cancelled,
            client_finished_at: None,
            handover_rejected: false,
        }
    }

    /// Whether its attachment waits for its answer.
    fn awaits_answer(&self) -> bool {
        matches!(self.stage, Stage::Pending | Stage::Reconnecting(_))
    }

    /// Whether it holds no attachment: it has not asked yet, or has its answer.
    fn is_idle(&self) -> bool {
        matches!(self.stage, Stage::AwaitingRequest | Stage::Closing(_))
    }
}

#[derive(Default)]
pub struct Connections {
    slab: Slab<Connection>,
    listener: Listener,
    /// What may still be thrown away before the next sweep.
    discard_allowance: usize,
    /// Those with more to do than a turn allows.
    runnable: Vec<usize>,
    /// Those that wait for what the machine is short of, until the next retry, and whether that is timed.
    starved: Vec<usize>,
    retry_scheduled: bool,
    /// Sides that could not be watched: whose, and under which mark.
    unregistered: Vec<PollToken>,
}

impl Connections {
    pub fn count(&self) -> usize {
        self.slab.len()
    }

    /// Whether any attachment goes by this place of an offering.
    pub fn uses_class(&self, class: usize) -> bool {
        self.slab
            .iter()
            .any(|(_, connection)| !connection.is_idle() && connection.incoming.class == class)
    }

    /// The offerings that any attachment goes by, by their names, and what they mean.
    pub fn classes_in_use(&self, context: &Context) -> Vec<(String, RequestClass)> {
        let all = context
            .node_settings
            .classes
            .iter()
            .zip(&context.classes)
            .enumerate();
        let held = all.filter(|(n, _)| self.uses_class(*n));
        held.map(|(_, (name, class))| (name.clone(), class.clone()))
            .collect()
    }

    /// The clients whose attachment is held or open.
    pub fn in_flight(&self) -> usize {
        self.slab
            .iter()
            .filter(|(_, connection)| {
                (connection.awaits_answer() || connection.stage == Stage::Open)
                    && connection.client.is_some()
            })
            .count()
    }

    /// Whether something is left to do without waiting.
    pub fn has_runnable(&self) -> bool {
        !self.runnable.is_empty() || self.listener.may_have_pending
    }

    pub(super) fn slot_of(&self, id: RequestId) -> Option<usize> {
        let slot = id.0 as u32 as usize;
        self.slab
            .get(slot)
            .filter(|f| f.incoming.id == id)
            .map(|_| slot)
    }

    pub fn on_ready(&mut self, context: &mut Context, ready: Readiness) {
        let (slot, stamp) = (ready.token.slot as usize, ready.token.generation);
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let side = match ready.token.component {
            CLIENT => connection.client.as_mut(),
            _ => connection.host_connection.as_mut().map(|l| &mut l.peer),
        };
        let Some(side) = side.filter(|s| s.generation == stamp) else {
            return;
        };
        side.readable |= ready.readable;
        side.writable |= ready.writable;
        self.advance(context, slot);
    }

    /// Goes on with those that had more to do.
    pub fn resume_runnable(&mut self, context: &mut Context, listener: Option<&Socket>) {
        if self.listener.may_have_pending {
            self.accept(context, listener);
        }
        for slot in std::mem::take(&mut self.runnable) {
            self.advance(context, slot);
        }
    }

    /// Goes on with this one soon, as the machine was short of something and nothing else will tell when to.
    pub(super) fn retry_soon(&mut self, context: &mut Context, slot: usize) {
        self.starved.push(slot);
        self.schedule_retry(context);
    }

    fn schedule_retry(&mut self, context: &mut Context) {
        if !std::mem::replace(&mut self.retry_scheduled, true) {
            context
                .poller
                .set_timer(context.now + RETRY_AFTER, context::mark(context::RETRY), 0);
        }
    }

    /// Has a side watched under this mark, now or as soon as the machine lets it be.
    pub(super) fn register(&mut self, context: &mut Context, socket: &Socket, mark: PollToken) {
        if context.poller.register_or_update(socket, mark).is_err() {
            context.machine_trouble("epoll_ctl");
            self.unregistered.push(mark);
            self.schedule_retry(context);
        }
    }

    /// Tries again what the machine was short of something for.
    pub fn retry(&mut self, context: &mut Context) {
        self.retry_scheduled = false;
        self.runnable.append(&mut self.starved);
        for mark in std::mem::take(&mut self.unregistered) {
            let slot = mark.slot as usize;
            let Some(connection) = self.slab.get_mut(slot) else {
                continue;
            };
            let sides = connection
                .client
                .as_mut()
                .into_iter()
                .chain(connection.host_connection.as_mut().map(|l| &mut l.peer));
            let Some(side) = sides
                .into_iter()
                .find(|side| side.generation == mark.generation)
            else {
                continue;
            };
            if context
                .poller
                .register_or_update(&side.socket, mark)
                .is_err()
            {
                context.machine_trouble("epoll_ctl");
                self.unregistered.push(mark);
            }
            // Watched or not, it is looked at.
            (side.readable, side.writable) = (true, true);
            self.runnable.push(slot);
        }
        if !self.unregistered.is_empty() {
            self.schedule_retry(context);
        }
    }

    pub(super) fn advance(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        match connection.stage {
            Stage::AwaitingRequest => self.read_request(context, slot),
            Stage::Pending | Stage::Reconnecting(_) => {
                self.check_client(context, slot);
                self.advance_attempt(context, slot);
            }
            Stage::Open => self.relay_lines(context, slot),
            Stage::HandingOver(_) => {}
            Stage::Closing(_) => self.linger(context, slot),
        }
    }

    /// Carries out what is for an attachment, whoever decided it, and gives back what is not.
    pub fn perform(&mut self, context: &mut Context, action: Action) -> Option<Action> {
        match action {
            Action::StartAttempt {
                id,
                host,
                until,
                by,
            } => self.start_attempt(context, id, host, until, by),
            Action::Reject {
                id,
                retry_after: wait,
            } => self.reject(context, id, wait),
            Action::Fail { id } => self.fail(context, id),
            Action::Migrate { id } => self.migrate(context, id),
            Action::CancelAttempt { id, attempt } => self.cancel_attempt(context, id, attempt),
            other => return Some(other),
        }
        None
    }

    /// Looks over all: what has waited too long, and which lines go unanswered.
    pub fn sweep(&mut self, context: &mut Context) {
        let now = context.now;
        let stopped = context.stopped_by.unwrap_or(Nanos::MAX);
        self.discard_allowance = MAX_DISCARDED_TOTAL;
        let slots: Vec<usize> = self.slab.iter().map(|(slot, _)| slot).collect();
        for slot in slots {
            let Some(connection) = self.slab.get_mut(slot) else {
                continue;
            };
            match connection.stage {
                // Guards: clients that wait or rest until the program is ended from outside, and never have an answer.
                Stage::AwaitingRequest if now >= stopped => self.send_busy(context, slot),
                Stage::Pending if now >= stopped && connection.host_connection.is_some() => {
                    self.on_attempt_timeout(context, slot);
                }
                Stage::AwaitingRequest if now >= connection.accepted_at + FIRST_LINE_TIMEOUT => {
                    self.on_first_line_timeout(context, slot);
                }
                Stage::Reconnecting(next)
                    if connection.host_connection.is_none() && now >= next =>
                {
                    self.reconnect(context, slot);
                }
                Stage::Closing(by) if now >= by => self.remove(context, slot, Close::Answered),
                Stage::Closing(_) => {
                    connection.discarded = 0;
                    self.linger(context, slot);
                }
                Stage::Open => self.check_open_connection(context, slot),
                _ => {}
            }
        }
        context.say_left_out();
        let slab = &self.slab;
        let same = |f: &Connection, stamp| {
            f.is_idle() && f.client.as_ref().is_some_and(|c| c.generation == stamp)
        };
        self.listener
            .idle
            .retain(|&(slot, stamp)| slab.get(slot).is_some_and(|f| same(f, stamp)));
        // Once a second. Guards: a log that bad clients fill.
        if now >= self.listener.rejections_logged_at + SECOND {
            self.listener.rejections_logged_at = now;
            for (why, count) in std::mem::take(&mut self.listener.rejections) {
                info!(context.log, "turned away"; "why" => why, "count" => count);
            }
        }
    }
}
