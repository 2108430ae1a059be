//! What the parts of the node share while they work: the clock's one reading for this turn, the poller,
//! the budgets, the hosts, and the events gathered for who decides. It must never act by itself.

use crate::discovery::hosts::{Hosts, ListSource};
use crate::discovery::list::ListReader;
use crate::operators::counts::Count;
use crate::operators::node_config::NodeConfig;
use crate::operators::tally::Tally;
use crate::turn::Turn;
use crate::AtStart;
use reedferry::{Event, Nanos, RequestClass, MILLI, SECOND};
use reedferry_runtime::errors::retry_for;
use reedferry_runtime::log::{LogBacklog, LogRateLimit};
use reedferry_runtime::{
    log, pool, BufferPool, Clock, DescriptorBudget, Errno, PollToken, Poller, Socket,
};
use reedferry_settings::NodeSettings;
use slog::{info, warn, Logger};
use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

/// The parts that marks are dealt out to.
pub const MODULE: u8 = 0;
pub const LISTENER: u8 = 1;
pub const STOP: u8 = 2;
pub const DISCOVERY: u8 = 3;
pub const CLIENT: u8 = 4;
pub const HOST: u8 = 5;
pub const PROBE: u8 = 6;
pub const SWEEP: u8 = 7;
pub const REREAD: u8 = 8;
/// A connection of the link, the listener that forwarders call at, and the next turn of a core's own.
pub const LINK: u8 = 9;
pub const LINK_LISTENER: u8 = 10;
pub const TICK: u8 = 11;
/// What other nodes tell.
pub const PEERS: u8 = 12;
/// The operators' listener, and one of their calls.
pub const OPS_LISTENER: u8 = 13;
pub const OPS: u8 = 14;
/// Where the next process calls, its line, and that of the one before.
pub const SUCCESSOR_LISTENER: u8 = 15;
pub const SUCCESSOR: u8 = 16;
pub const PREDECESSOR: u8 = 17;
/// The fleet view's next turn.
pub const FLEET: u8 = 18;
/// The time of what waits for a ward.
pub const WARDS: u8 = 19;
/// The time of what failed for a moment's trouble of this machine.
pub const RETRY: u8 = 20;
/// The same between one process and the next.
pub const CHANNEL_RETRY: u8 = 21;

/// After a call to stop, for how long the front still deals out connections to this program, and the
/// longest that it is granted beyond what it needs.
const STILL_COME: Nanos = 400 * MILLI;
const LONGEST_GRACE: Nanos = 3 * SECOND;
/// What the last clients that are moved need to be gone by then.
const LAST_MOVES: Nanos = 300 * MILLI;
/// How long before a program that stops may be ended from outside nobody is held any more: two sweeps.
const LAST_ENDS: Nanos = 200 * MILLI;
/// How long the end of a line is waited for before a client is moved, where its host stands between two lines.
pub const LONGEST_MOVE: Nanos = 800 * MILLI;
/// For how long a start waits for what the machine is short of: nine in ten are to be ready within 10 s.
pub const START_WITHIN: Duration = Duration::from_secs(5);
/// How late a turn begins where that is logged: what the rules allow on sockets.
const LATE_TURN: Nanos = 50 * MILLI;
/// Log lines on single requests in a second.
const MOST_REQUEST_LINES: u32 = 20;
/// How long after operators ask for it a node that stands by holds no client any more.
const EMPTY_WITHIN: Nanos = 4 * SECOND;

pub fn mark(part: u8) -> PollToken {
    PollToken {
        component: part,
        slot: 0,
        generation: 0,
    }
}

pub struct Context {
    pub now: Nanos,
    /// For what has to be judged by the moment itself, not by the turn's one reading.
    pub clock: Clock,
    /// When the node started.
    pub start: Nanos,
    /// The last turn that saw to all that was ready.
    caught_up: Nanos,
    /// How the current turn began.
    pub turn: Turn,
    pub poller: Poller,
    pub budget: DescriptorBudget,
    pub pool: BufferPool,
    pub hosts: Hosts,
    pub node_settings: NodeSettings,
    /// What the names of the offerings mean, in their order.
    pub classes: Vec<RequestClass>,
    pub events: Vec<Event>,
    pub log: Logger,
    pub stamps: u32,
    /// From when the program may end, once it has been asked to stop.
    pub leaving: Option<Nanos>,
    /// Operators have asked for an empty node: by when it holds nobody any more.
    pub standby: Option<Nanos>,
    /// The same where the program has been asked to stop.
    pub stopped_by: Option<Nanos>,
    pub tally: Tally,
    /// Log lines on turns that began late are bounded.
    late_turn_lines: LogRateLimit,
    /// Log lines on single requests are bounded.
    pub request_lines: LogRateLimit,
    /// Whether new work was last held off for want of descriptors or buffers.
    pub scarce: bool,
    /// From when to when nothing new may go to hosts, unless the list service is heard before.
    pub deaf: Range<Nanos>,
}

impl Context {
    /// What every role starts with, and the log that its loop drains.
    pub fn open(
        node_config: &NodeConfig,
        clock: &Clock,
        start: &AtStart,
    ) -> Result<(Context, LogBacklog), String> {
        let (log, backlog) = log::logger(&node_config.name);
        let wrong = |e| format!("cannot poll: {e}");
        let poller = retry_for(START_WITHIN, Poller::new).map_err(wrong)?;
        retry_for(START_WITHIN, || poller.register(&start.stop, mark(STOP))).map_err(wrong)?;
        retry_for(START_WITHIN, || {
            poller.register(&start.reread, mark(REREAD))
        })
        .map_err(wrong)?;
        let now = clock.read();
        let mut tally = Tally::default();
        tally.offers(&node_config.node_settings.classes);
        let context = Context {
            now,
            clock: clock.clone(),
            start: now,
            caught_up: now,
            turn: Turn::default(),
            poller,
            budget: DescriptorBudget::new(node_config.sockets),
            // A quarter of the memory; the rest is the program's own and a reserve.
            pool: BufferPool::new((node_config.memory / 4 / pool::BUFFER_BYTES).max(64)),
            hosts: Hosts::new(
                node_config.node_settings.zones.clone(),
                node_config
                    .balancer_settings
                    .shortest_message_latency_objective(),
            ),
            node_settings: node_config.node_settings.clone(),
            classes: node_config.balancer_settings.classes.clone(),
            events: Vec::new(),
            log,
            stamps: 0,
            leaving: None,
            standby: None,
            stopped_by: None,
            tally,
            late_turn_lines: LogRateLimit::new(1),
            request_lines: LogRateLimit::new(MOST_REQUEST_LINES),
            scarce: false,
            deaf: Nanos::MAX..Nanos::MAX,
        };
        Ok((context, backlog))
    }

    /// The clock's reading for the turn that begins now, after a wait from `waited` on; gives the one of the turn before.
    /// `behind` where that left something that was ready.
    pub fn look_round(&mut self, waited: Nanos, now: Nanos, behind: bool) -> Nanos {
        let before = std::mem::replace(&mut self.now, now);
        if !behind {
            self.caught_up = before;
        }
        self.hosts.stalls.looked(self.caught_up, waited, now);
        self.turn.begin(self.poller.next_deadline(), waited, now);
        if self.turn.lateness() > LATE_TURN && self.late_turn_lines.allow(now) {
            info!(self.log, "woken late"; self.turn.account(now));
        }
        before
    }

    /// Listens, and watches who calls.
    pub fn listen(&mut self, address: &SocketAddr, part: u8) -> Result<Socket, String> {
        let listener = retry_for(START_WITHIN, || self.budget.listen(address))
            .map_err(|e| format!("cannot listen on {address}: {e}"))?;
        retry_for(START_WITHIN, || self.poller.register(&listener, mark(part)))
            .map_err(|e| format!("cannot poll: {e}"))?;
        Ok(listener)
    }

    /// Takes in those who call at a listener that the platform holds open.
    pub fn inherit(&mut self, number: i32) -> Result<Socket, String> {
        let wrong = |e: Errno| format!("GW_ACCEPT_FD {number} is no listener: {e}");
        let listener =
            retry_for(START_WITHIN, || self.budget.inherit_listener(number)).map_err(wrong)?;
        retry_for(START_WITHIN, || {
            self.poller.register(&listener, mark(LISTENER))
        })
        .map_err(wrong)?;
        Ok(listener)
    }

    /// Takes in the roll as last known, and gives its revision.
    pub fn known(&mut self, node_config: &NodeConfig) -> Result<Option<u64>, String> {
        if node_config.known.is_empty() {
            return Ok(None);
        }
        let mut reader = ListReader::default();
        let known = reader
            .feed(&node_config.known)
            .and_then(|()| reader.finish());
        let known = known.map_err(|e| format!("known: {e}"))?;
        let revision = known.revision;
        let event = self
            .hosts
            .apply_list(self.now, known, ListSource::Cached, &self.log);
        self.events.push(event);
        Ok(Some(revision))
    }

    /// Says how many lines on single requests were left out.
    pub fn say_left_out(&mut self) {
        if let Some(count) = self.request_lines.take_suppressed(self.now) {
            info!(self.log, "request lines left out"; "count" => count);
        }
    }

    /// Says so when there are descriptors to spare again.
    pub fn spare(&mut self) {
        if self.scarce && self.budget.has_capacity(8) {
            self.scarce = false;
            info!(self.log, "descriptors to spare again"; "taken" => self.budget.in_use());
        }
    }

    /// The program is asked to stop: what whoever decides is told.
    pub fn leave(&mut self, beyond: Nanos, connections: usize) -> Event {
        let (now, deadline) = (
            self.now,
            self.node_settings.max_request_timeout.min(LONGEST_GRACE),
        );
        self.leaving = Some(now + deadline + beyond);
        // Guards: clients still held when the program is ended from outside, at hosts that stopped within a line, or
        // whose turn to be moved came so late that its own wait went beyond that.
        self.stopped_by = Some(now + (deadline + beyond).saturating_sub(LAST_ENDS));
        warn!(self.log, "asked to stop"; "connections" => connections, "descriptors" => self.budget.in_use());
        // Guards: clients sent away while the node that stopped before this one is not back yet, and who
        // find nobody; a client is served here as well as anywhere until it has to go.
        let span = (deadline + beyond).saturating_sub(LAST_MOVES);
        let from = now + STILL_COME.max(span / 3);
        Event::ShutdownStarted {
            from,
            by: from.max(now + span),
        }
    }

    /// Operators want the node empty: what the module is told. The front looks every moment whether the node
    /// takes clients, and what it has sent meanwhile still comes.
    pub fn stand_by(&mut self, connections: usize) -> Event {
        let by = self.now + EMPTY_WITHIN - LAST_MOVES;
        self.standby = Some(by);
        warn!(self.log, "standing by"; "connections" => connections);
        Event::ShutdownStarted {
            from: self.now + STILL_COME,
            by: by - LONGEST_MOVE,
        }
    }

    /// Operators want it back at work.
    pub fn back_to_work(&mut self) -> Event {
        self.standby = None;
        info!(self.log, "back to work");
        Event::ShutdownCancelled
    }

    /// By when nobody is held any more, whatever the reason.
    pub fn empty_by(&self) -> Nanos {
        self.standby
            .into_iter()
            .chain(self.stopped_by)
            .min()
            .unwrap_or(Nanos::MAX)
    }

    pub fn stamp(&mut self) -> u32 {
        self.stamps = self.stamps.wrapping_add(1);
        self.stamps
    }

    /// One more system call failed for a moment's trouble of this machine.
    pub fn machine_trouble(&mut self, call: &'static str) {
        self.tally.add(Count::MachineTrouble(call));
    }

    /// Watches a socket under a fresh stamp.
    pub fn watch(&mut self, socket: &Socket, part: u8, slot: usize) -> Result<PollToken, Errno> {
        let mark = PollToken {
            component: part,
            slot: slot as u32,
            generation: self.stamp(),
        };
        self.poller.register(socket, mark)?;
        Ok(mark)
    }
}
