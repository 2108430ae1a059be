//! A hand-off, from the call to a host to the host's word. It owns the connection to the host, the line on
//! its way there and the times by which it must stand and be up. It must never send a line later than it
//! may, nor tell more than one ending of a hand-off.

use super::{Connection, Connections, Stage};
use crate::connections::protocol::{self, HostMessage};
use crate::connections::relay::{PeerSocket, Relay, RelayStatus};
use crate::context::{Context, HOST};
use crate::discovery::hosts::Hosts;
use crate::operators::counts::{Close, Count};
use crate::operators::tally::Outcome;
use reedferry::permission::{may_begin, may_go_on, Beginning, Refusal};
use reedferry::{AttemptOutcome, Event, HostId, Nanos, RequestId, MILLI, SECOND};
use reedferry_runtime::errors::{classify_connect, ConnectFailure};
use reedferry_runtime::{Buffer, PollToken};
use slog::{info, warn};
use std::collections::VecDeque;
use std::rc::Rc;

/// How long a connection that stood before is asked for, and the pause between two tries.
pub(super) const RECONNECT_TIMEOUT: Nanos = 40 * SECOND;
const RECONNECT_INTERVAL: Nanos = SECOND / 4;

const CONNECT_TIMER: u64 = 0;
const ATTEMPT_TIMER: u64 = 1;

/// A hand-off, or the connection that came of it.
pub(super) struct HostConnection {
    pub(super) peer: PeerSocket,
    pub(super) host: usize,
    /// Keeps the host's record from serving another host.
    pub(super) _record_lease: Rc<()>,
    pub(super) attempt: u32,
    pub(super) started_at: Nanos,
    /// By when its line's last byte must go out.
    pub(super) write_by: Nanos,
    /// Whether the connection stands, and the line's last byte is written.
    pub(super) connected: bool,
    pub(super) request_written: bool,
    /// When that was.
    request_written_at: Nanos,
    pub(super) statements: HostStatements,
}

/// What a host has said of the end.
#[derive(Default)]
pub(super) struct HostStatements {
    pub(super) bye: bool,
    pub(super) migrating: bool,
    /// The load that it told last.
    pub(super) last_load: Option<f64>,
}

impl HostConnection {
    /// One that stands and has its answer since then.
    pub(super) fn resumed(
        side: PeerSocket,
        host: usize,
        lease: Rc<()>,
        since: Nanos,
        said: HostStatements,
    ) -> Self {
        HostConnection {
            peer: side,
            host,
            _record_lease: lease,
            attempt: 0,
            started_at: since,
            write_by: since,
            connected: true,
            request_written: true,
            request_written_at: since,
            statements: said,
        }
    }
}

impl HostStatements {
    /// Takes in a line that a host sent on an open connection.
    pub(super) fn record_message(
        &mut self,
        word: HostMessage,
        (id, host): (RequestId, usize),
        now: Nanos,
        asked: &mut VecDeque<Nanos>,
        (events, hosts): (&mut Vec<Event>, &mut Hosts),
    ) {
        match word {
            HostMessage::Load(load) => {
                self.last_load = Some(load);
                events.push(Event::LoadMeasured { id, load });
            }
            HostMessage::Bye => self.bye = true,
            HostMessage::Migrate => self.migrating = true,
            _ => {
                if let Some(then) = asked.pop_front() {
                    hosts.answered(host, then, now);
                }
            }
        }
    }
}

impl Connections {
    /// Tries a connection that stood before the run at its host again.
    pub(super) fn reconnect(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let until = connection.started_at + connection.timeout.min(RECONNECT_TIMEOUT);
        if context.now >= until || context.leaving.is_some() {
            return self.send_final_answer(context, slot, b"ERR\r\n");
        }
        connection.stage = Stage::Reconnecting(context.now + RECONNECT_INTERVAL);
        // Guards: connections lost whose host joined after the list that this node was started with.
        if let Some(host) = connection
            .previous_host
            .and_then(|home| context.hosts.index(home))
        {
            _ = self.connect_to_host(context, slot, host, until, Nanos::MAX);
        }
    }

    /// Carries out a hand-off whose line is to start by `by`, and whose host is waited for until `until`.
    pub fn start_attempt(
        &mut self,
        context: &mut Context,
        id: RequestId,
        host: HostId,
        until: Nanos,
        by: Nanos,
    ) {
        let held = |f: &Connection| {
            f.stage == Stage::Pending && f.host_connection.is_none() && f.client.is_some()
        };
        let slot = self.slot_of(id).filter(|&slot| held(&self.slab[slot]));
        let Some(slot) = slot.filter(|&slot| self.client_still_waits(context, slot)) else {
            // Guards: a record kept for ever of a client that left while the module chose.
            let (ending, load_metrics) = (AttemptOutcome::NeverSent, Vec::new());
            context.events.push(Event::AttemptEnded {
                id,
                attempt: 0,
                host,
                request_over: true,
                ending,
                load_metrics,
            });
            return;
        };
        let connection = &mut self.slab[slot];
        let number = connection.attempts;
        connection.attempts += 1;
        let index = context.hosts.index(host);
        let launched = match index {
            // Guards: new work for hosts that drain, of which this node has not heard in time.
            Some(_) if context.deaf.contains(&context.now) => Err(AttemptOutcome::NeverSent),
            Some(index) => self.connect_to_host(context, slot, index, until, by),
            None => Err(AttemptOutcome::ConnectFailed),
        };
        if let Err(ending) = launched {
            let load_metrics = Vec::new();
            context.events.push(Event::AttemptEnded {
                id,
                attempt: number,
                host,
                request_over: false,
                ending,
                load_metrics,
            });
        }
    }

    /// Opens the connection to a host and sets the times by which it must stand and be up.
    pub(super) fn connect_to_host(
        &mut self,
        context: &mut Context,
        slot: usize,
        host: usize,
        until: Nanos,
        by: Nanos,
    ) -> Result<(), AttemptOutcome> {
        let address = context
            .hosts
            .record(host)
            .address
            .ok_or(AttemptOutcome::ConnectFailed)?;
        // Who has asked goes before whoever has not.
        while !context.budget.has_capacity(1) && self.evict_idle(context, 0) {}
        let connection = &mut self.slab[slot];
        // Guards: new work that eats up what the machine's accepted clients are to be answered from.
        if !context.budget.has_capacity(1) || context.pool.available() < 16 {
            if !context.scarce {
                context.scarce = true;
                let (taken, buffers) = (context.budget.in_use(), context.pool.available());
                warn!(context.log, "out of descriptors or buffers"; "taken" => taken, "buffers" => buffers);
            }
            return Err(AttemptOutcome::NeverSent);
        }
        let (socket, connected) = match context.budget.connect(&address) {
            Ok(opened) => opened,
            Err(e) => {
                return Err(match classify_connect(e) {
                    ConnectFailure::LocalResources => {
                        context.machine_trouble("connect");
                        AttemptOutcome::NeverSent
                    }
                    ConnectFailure::Route => AttemptOutcome::NoRoute,
                    ConnectFailure::Peer => AttemptOutcome::ConnectFailed,
                })
            }
        };
        let mark = context.watch(&socket, HOST, slot).map_err(|_| {
            context.machine_trouble("epoll_ctl");
            AttemptOutcome::NeverSent
        })?;
        let side = PeerSocket {
            socket,
            generation: mark.generation,
            readable: false,
            writable: connected,
        };
        connection.host_connection = Some(HostConnection {
            peer: side,
            host,
            _record_lease: context.hosts.record(host).lease.clone(),
            attempt: connection.attempts.saturating_sub(1),
            started_at: context.now,
            write_by: by,
            connected,
            request_written: false,
            request_written_at: 0,
            statements: HostStatements::default(),
        });
        connection.to_client = Relay::default();
        connection.to_host = Relay::default();
        connection.attempt_timeout = until.saturating_sub(context.now);
        let stands = by.min(context.now + context.node_settings.connect_within);
        if stands < until {
            context.poller.set_timer(stands, mark, CONNECT_TIMER);
        }
        context.poller.set_timer(until, mark, ATTEMPT_TIMER);
        if connected {
            self.runnable.push(slot);
        }
        Ok(())
    }

    /// A time that was set for a hand-off has come.
    pub fn on_timer(&mut self, context: &mut Context, mark: PollToken, word: u64) {
        let slot = mark.slot as usize;
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        let Some(landing) = connection
            .host_connection
            .as_ref()
            .filter(|l| l.peer.generation == mark.generation)
        else {
            return;
        };
        if !matches!(connection.stage, Stage::Pending | Stage::Reconnecting(_)) {
            return;
        }
        // Guards: a host taken for one that can't be reached, as its connection came up while this process stood still or had
        // much to do.
        if !landing.connected && landing.peer.socket.is_connected() {
            self.slab[slot]
                .host_connection
                .iter_mut()
                .for_each(|landing| landing.peer.writable = true);
            self.advance_attempt(context, slot);
        }
        let out = |landing: &&HostConnection| landing.peer.generation == mark.generation;
        let landing = self
            .slab
            .get(slot)
            .and_then(|connection| connection.host_connection.as_ref().filter(out));
        if landing.is_some_and(|landing| word != CONNECT_TIMER || !landing.connected) {
            self.on_attempt_timeout(context, slot);
        }
    }

    /// The hand-off that is out has had its time, or all that is left: it is waited for no longer, unless its answer is there.
    pub(super) fn on_attempt_timeout(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        let Some(landing) = connection.host_connection.as_ref() else {
            return;
        };
        let stamp = landing.peer.generation;
        if landing.request_written && context.now <= connection.started_at + connection.timeout {
            self.read_pending_answer(context, slot);
        }
        let out = |c: &&Connection| {
            c.awaits_answer()
                && c.host_connection
                    .as_ref()
                    .is_some_and(|l| l.peer.generation == stamp)
        };
        if self.slab.get(slot).filter(out).is_some() {
            self.time_out_attempt(context, slot);
        }
    }

    /// Reads what a host has said by now, whatever the poller has said so far. Guards: an answer that lies unread in its
    /// socket while its attempt is given up, as one turn takes in no more than what is before it.
    fn read_pending_answer(&mut self, context: &mut Context, slot: usize) {
        self.slab[slot]
            .host_connection
            .iter_mut()
            .for_each(|landing| landing.peer.readable = true);
        self.advance_attempt(context, slot);
    }

    /// The hand-off that is out is waited for no longer.
    fn time_out_attempt(&mut self, context: &mut Context, slot: usize) {
        let Some(landing) = self.slab[slot].host_connection.as_ref() else {
            return;
        };
        let ending = match (landing.request_written, landing.connected) {
            (true, _) => AttemptOutcome::TimedOut,
            // Its line was not written for want of something at this machine: not the host's doing.
            (false, true) => AttemptOutcome::NeverSent,
            (false, false) => AttemptOutcome::ConnectFailed,
        };
        self.end_attempt(context, slot, ending);
    }

    /// A hand-off that came to nothing.
    pub(super) fn end_attempt(
        &mut self,
        context: &mut Context,
        slot: usize,
        ending: AttemptOutcome,
    ) {
        let connection = &mut self.slab[slot];
        let Some(landing) = connection.host_connection.take() else {
            return;
        };
        let moved = context
            .hosts
            .record(landing.host)
            .readdressed
            .is_some_and(|at| at > landing.started_at);
        // Guards: a host avoided at its new address, as nobody is left at the old one.
        let ending = if moved && ending == AttemptOutcome::ConnectFailed {
            AttemptOutcome::NeverSent
        } else {
            ending
        };
        (connection.to_host, connection.to_client) = (Relay::default(), Relay::default());
        connection.host_errors += u32::from(ending == AttemptOutcome::Error);
        if landing.request_written && !ending.never_ran() {
            connection
                .may_have_run_since
                .get_or_insert(landing.request_written_at);
        }
        context.tally.add(Count::AttemptEnded(ending));
        if context.request_lines.allow(context.now) {
            let took = context.now.saturating_sub(landing.started_at) / MILLI;
            info!(context.log, "attempt ended"; "id" => connection.log_id(), "attempt" => landing.attempt,
                "host" => &context.hosts.record(landing.host).name, "why" => ending.word(), "ms" => took);
        }
        if connection.stage == Stage::Pending {
            context.events.push(Event::AttemptEnded {
                id: connection.incoming.id,
                attempt: landing.attempt,
                host: context.hosts.record(landing.host).id,
                request_over: connection.client.is_none(),
                ending,
                load_metrics: Vec::new(),
            });
            if connection.client.is_none() {
                self.remove(context, slot, Close::ClientEnded);
            }
        } else if !ending.never_ran() {
            self.send_final_answer(context, slot, b"ERR\r\n");
        }
    }

    /// Whether more of the attempt's line may be written now, by the clock of this moment: the turn's one reading may be
    /// old, and the process may have stood still since the host's connection came up.
    fn check_write_permission(
        &mut self,
        context: &mut Context,
        slot: usize,
    ) -> Result<(), Refusal> {
        let connection = &self.slab[slot];
        let Some(landing) = connection.host_connection.as_ref() else {
            return Ok(());
        };
        if connection.stage != Stage::Pending || landing.request_written {
            return Ok(());
        }
        let (not_after, host, chosen) = (landing.write_by, landing.host, landing.started_at);
        if connection.to_host.buffer.is_some() {
            return may_go_on(context.clock.read(), not_after);
        }
        let deadline =
            (landing.started_at + connection.attempt_timeout).min(connection.answer_deadline());
        let repeats = connection.may_have_run_since.is_some();
        // The client last: the process may be held up behind its reading of the clock, which the other limits allow for.
        let now = context.clock.read();
        let client_waits = self.client_still_waits(context, slot);
        let record = context.hosts.record(host);
        let since_then = |changed: Option<Nanos>| changed.is_some_and(|at| at > chosen);
        may_begin(&Beginning {
            now,
            deadline,
            not_after,
            client_waits,
            leaving_since: record.left_since,
            drain_grace: context.node_settings.drain_grace,
            list_unheard: context.deaf.contains(&now),
            host_moved: since_then(record.readdressed),
            group_changed: repeats && since_then(record.regrouped),
        })
    }

    /// The attempt's line is not written, or not to its end, and so never ran.
    fn abort_unwritten(&mut self, context: &mut Context, slot: usize, refusal: Refusal) {
        context.tally.add(Count::NotBegun(refusal));
        match refusal {
            // What is left of it has been seen to already.
            Refusal::ClientGone => {}
            // Its connection came up too late, or it is leaving.
            Refusal::HostLeaving | Refusal::OutsideWindow => {
                self.end_attempt(context, slot, AttemptOutcome::ConnectFailed);
            }
            // Not the host's doing.
            _ => self.end_attempt(context, slot, AttemptOutcome::NeverSent),
        }
    }

    /// Brings a hand-off on: the connection, the line, the host's first word.
    pub(super) fn advance_attempt(&mut self, context: &mut Context, slot: usize) {
        if !self.connection_established(context, slot) {
            return;
        }
        match self.check_write_permission(context, slot) {
            Ok(()) if self.write_request(context, slot) => self.read_answer_of_host(context, slot),
            Ok(()) => {}
            Err(refusal) => self.abort_unwritten(context, slot, refusal),
        }
    }

    /// Whether the connection to the host stands.
    fn connection_established(&mut self, context: &mut Context, slot: usize) -> bool {
        let Some(connection) = self.slab.get_mut(slot) else {
            return false;
        };
        let Some(landing) = connection.host_connection.as_mut() else {
            return false;
        };
        if landing.connected {
            return true;
        }
        if !landing.peer.writable {
            return false;
        }
        if landing.peer.socket.connect_result().is_err() {
            self.end_attempt(context, slot, AttemptOutcome::ConnectFailed);
            return false;
        }
        landing.connected = true;
        true
    }

    /// Writes what it can of the attempt's line, and says whether the host has all of it.
    fn write_request(&mut self, context: &mut Context, slot: usize) -> bool {
        let Some(connection) = self.slab.get_mut(slot) else {
            return false;
        };
        let Some(landing) = connection.host_connection.as_mut() else {
            return false;
        };
        if landing.request_written {
            return true;
        }
        if connection.to_host.buffer.is_none() {
            let (Some(letter), Some(mut out)) =
                (connection.request_line.as_ref(), context.pool.take())
            else {
                self.end_attempt(context, slot, AttemptOutcome::NeverSent);
                return false;
            };
            let wait =
                (landing.started_at + connection.attempt_timeout).saturating_sub(context.now);
            let mut digits = String::new();
            let line = &letter.unsent()[..connection.request_line_length];
            protocol::onward(line, wait, &mut digits)
                .iter()
                .for_each(|piece| _ = out.append(piece));
            connection.to_host.buffer = Some(out);
        }
        match connection.to_host.write_to(&mut landing.peer) {
            RelayStatus::Finished => {}
            RelayStatus::Idle => return false,
            RelayStatus::LocalResources => {
                context.machine_trouble("send");
                self.retry_soon(context, slot);
                return false;
            }
            _ => {
                self.end_attempt(context, slot, AttemptOutcome::ConnectFailed);
                return false;
            }
        }
        (landing.request_written, landing.request_written_at) = (true, context.now);
        context.tally.attempted();
        self.check_attempt(context, slot);
        true
    }

    /// Reads the host's first word.
    fn read_answer_of_host(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let Some(landing) = connection.host_connection.as_mut() else {
            return;
        };
        let mut said = Vec::new();
        while landing.peer.readable && said.is_empty() {
            match connection
                .to_client
                .read_from(&context.pool, &mut landing.peer, &mut |word| {
                    said.push(word);
                }) {
                RelayStatus::Idle if connection.to_client.finished && said.is_empty() => {
                    return self.end_attempt(context, slot, AttemptOutcome::ConnectionLost);
                }
                RelayStatus::Idle => {}
                RelayStatus::LocalResources => return self.retry_soon(context, slot),
                RelayStatus::Malformed => {
                    return self.end_attempt(context, slot, AttemptOutcome::Error)
                }
                _ => return self.end_attempt(context, slot, AttemptOutcome::ConnectionLost),
            }
        }
        match said.first() {
            None if connection
                .to_client
                .buffer
                .as_ref()
                .is_some_and(Buffer::is_empty) =>
            {
                connection.to_client.buffer = None;
            }
            None => {}
            Some(HostMessage::Accepted) => self.open_connection(context, slot, &said[1..]),
            Some(HostMessage::Busy) => self.end_attempt(context, slot, AttemptOutcome::Rejected),
            Some(HostMessage::Migrate) => {
                self.end_attempt(context, slot, AttemptOutcome::Cancelled)
            }
            Some(_) => self.end_attempt(context, slot, AttemptOutcome::Error),
        }
    }

    /// The host has taken it: from here on lines pass both ways.
    pub(super) fn open_connection(
        &mut self,
        context: &mut Context,
        slot: usize,
        behind: &[HostMessage],
    ) {
        let connection = &mut self.slab[slot];
        let Some(landing) = connection.host_connection.as_mut() else {
            return;
        };
        if connection.client.is_none() {
            return self.end_attempt(context, slot, AttemptOutcome::Cancelled);
        }
        let (id, host) = (
            connection.incoming.id,
            context.hosts.record(landing.host).id,
        );
        if connection.stage == Stage::Pending {
            let seen_from = context
                .hosts
                .stalls
                .moved_on(landing.started_at, context.now);
            context.events.push(Event::ConnectionEstablished {
                id,
                took: context.now - seen_from,
            });
        } else {
            context
                .events
                .push(Event::ConnectionFound(connection.incoming, host));
        }
        connection.stage = Stage::Open;
        context.tally.came_to(
            &context.node_settings.classes[connection.incoming.class],
            Outcome::Served,
        );
        // Guards: a first load told in one piece with the answer, and lost to the module.
        behind.iter().for_each(|word| {
            landing.statements.record_message(
                *word,
                (id, landing.host),
                context.now,
                &mut connection.unanswered_lines,
                (&mut context.events, &mut context.hosts),
            );
        });
        connection.request_line = None;
        self.relay_lines(context, slot);
    }
}
