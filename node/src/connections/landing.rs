//! A hand-off, from the call to a host to the host's word. It owns the connection to the host, the line on
//! its way there and the times by which it must stand and be up. It must never send a line later than it
//! may, nor tell more than one ending of a hand-off.

use super::{Connection, Connections, Stage};
use crate::connections::lane::{Flow, Lane, Side};
use crate::connections::lines::{self, Word};
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
pub(super) const STANDING_WITHIN: Nanos = 40 * SECOND;
const STANDING_PAUSE: Nanos = SECOND / 4;

const CONNECT: u64 = 0;
const UNTIL: u64 = 1;

/// A hand-off, or the connection that came of it.
pub(super) struct Landing {
    pub(super) side: Side,
    pub(super) host: usize,
    /// Keeps the host's record from serving another host.
    pub(super) _lease: Rc<()>,
    pub(super) number: u32,
    pub(super) since: Nanos,
    /// By when its line's last byte must go out.
    pub(super) by: Nanos,
    /// Whether the connection stands, and the line's last byte is written.
    pub(super) connected: bool,
    pub(super) written: bool,
    /// When that was.
    written_at: Nanos,
    pub(super) said: Said,
}

/// What a host has said of the end.
#[derive(Default)]
pub(super) struct Said {
    pub(super) bye: bool,
    pub(super) moved: bool,
    /// The load that it told last.
    pub(super) load: Option<f64>,
}

impl Landing {
    /// One that stands and has its answer since then.
    pub(super) fn stood(side: Side, host: usize, lease: Rc<()>, since: Nanos, said: Said) -> Self {
        Landing {
            side,
            host,
            _lease: lease,
            number: 0,
            since,
            by: since,
            connected: true,
            written: true,
            written_at: since,
            said,
        }
    }
}

impl Said {
    /// Takes in a line that a host sent on an open connection.
    pub(super) fn heard(
        &mut self,
        word: Word,
        (id, host): (RequestId, usize),
        now: Nanos,
        asked: &mut VecDeque<Nanos>,
        (events, hosts): (&mut Vec<Event>, &mut Hosts),
    ) {
        match word {
            Word::Load(load) => {
                self.load = Some(load);
                events.push(Event::LoadMeasured { id, load });
            }
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

impl Connections {
    /// Tries a connection that stood before the run at its host again.
    pub(super) fn go_back(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let until = connection.since + connection.waits.min(STANDING_WITHIN);
        if context.now >= until || context.leaving.is_some() {
            return self.answer(context, slot, b"ERR\r\n");
        }
        connection.stage = Stage::Returning(context.now + STANDING_PAUSE);
        // Guards: connections lost whose host joined after the list that this node was started with.
        if let Some(host) = connection.home.and_then(|home| context.hosts.index(home)) {
            _ = self.launch(context, slot, host, until, Nanos::MAX);
        }
    }

    /// Carries out a hand-off whose line is to start by `by`, and whose host is waited for until `until`.
    pub fn attempt(
        &mut self,
        context: &mut Context,
        id: RequestId,
        host: HostId,
        until: Nanos,
        by: Nanos,
    ) {
        let held =
            |f: &Connection| f.stage == Stage::Held && f.landing.is_none() && f.client.is_some();
        let slot = self.find(id).filter(|&slot| held(&self.slab[slot]));
        let Some(slot) = slot.filter(|&slot| self.waits(context, slot)) else {
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
            Some(index) => self.launch(context, slot, index, until, by),
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
    pub(super) fn launch(
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
        while !context.budget.has_capacity(1) && self.make_room(context, 0) {}
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
        let side = Side {
            socket,
            stamp: mark.generation,
            readable: false,
            writable: connected,
        };
        connection.landing = Some(Landing {
            side,
            host,
            _lease: context.hosts.record(host).lease.clone(),
            number: connection.attempts.saturating_sub(1),
            since: context.now,
            by,
            connected,
            written: false,
            written_at: 0,
            said: Said::default(),
        });
        connection.down = Lane::default();
        connection.up = Lane::default();
        connection.given = until.saturating_sub(context.now);
        let stands = by.min(context.now + context.node_settings.connect_within);
        if stands < until {
            context.poller.set_timer(stands, mark, CONNECT);
        }
        context.poller.set_timer(until, mark, UNTIL);
        if connected {
            self.more.push(slot);
        }
        Ok(())
    }

    /// A time that was set for a hand-off has come.
    pub fn due(&mut self, context: &mut Context, mark: PollToken, word: u64) {
        let slot = mark.slot as usize;
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        let Some(landing) = connection
            .landing
            .as_ref()
            .filter(|l| l.side.stamp == mark.generation)
        else {
            return;
        };
        if !matches!(connection.stage, Stage::Held | Stage::Returning(_)) {
            return;
        }
        // Guards: a host taken for one that can't be reached, as its connection came up while this process stood still or had
        // much to do.
        if !landing.connected && landing.side.socket.is_connected() {
            self.slab[slot]
                .landing
                .iter_mut()
                .for_each(|landing| landing.side.writable = true);
            self.land_on(context, slot);
        }
        let out = |landing: &&Landing| landing.side.stamp == mark.generation;
        let landing = self
            .slab
            .get(slot)
            .and_then(|connection| connection.landing.as_ref().filter(out));
        if landing.is_some_and(|landing| word != CONNECT || !landing.connected) {
            self.time_is_up(context, slot);
        }
    }

    /// The hand-off that is out has had its time, or all that is left: it is waited for no longer, unless its answer is there.
    pub(super) fn time_is_up(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get(slot) else {
            return;
        };
        let Some(landing) = connection.landing.as_ref() else {
            return;
        };
        let stamp = landing.side.stamp;
        if landing.written && context.now <= connection.since + connection.waits {
            self.read_answer(context, slot);
        }
        let out =
            |c: &&Connection| c.owed() && c.landing.as_ref().is_some_and(|l| l.side.stamp == stamp);
        if self.slab.get(slot).filter(out).is_some() {
            self.out_of_time(context, slot);
        }
    }

    /// Reads what a host has said by now, whatever the poller has said so far. Guards: an answer that lies unread in its
    /// socket while its attempt is given up, as one turn takes in no more than what is before it.
    fn read_answer(&mut self, context: &mut Context, slot: usize) {
        self.slab[slot]
            .landing
            .iter_mut()
            .for_each(|landing| landing.side.readable = true);
        self.land_on(context, slot);
    }

    /// The hand-off that is out is waited for no longer.
    fn out_of_time(&mut self, context: &mut Context, slot: usize) {
        let Some(landing) = self.slab[slot].landing.as_ref() else {
            return;
        };
        let ending = match (landing.written, landing.connected) {
            (true, _) => AttemptOutcome::TimedOut,
            // Its line was not written for want of something at this machine: not the host's doing.
            (false, true) => AttemptOutcome::NeverSent,
            (false, false) => AttemptOutcome::ConnectFailed,
        };
        self.fell_through(context, slot, ending);
    }

    /// A hand-off that came to nothing.
    pub(super) fn fell_through(
        &mut self,
        context: &mut Context,
        slot: usize,
        ending: AttemptOutcome,
    ) {
        let connection = &mut self.slab[slot];
        let Some(landing) = connection.landing.take() else {
            return;
        };
        let moved = context
            .hosts
            .record(landing.host)
            .readdressed
            .is_some_and(|at| at > landing.since);
        // Guards: a host avoided at its new address, as nobody is left at the old one.
        let ending = if moved && ending == AttemptOutcome::ConnectFailed {
            AttemptOutcome::NeverSent
        } else {
            ending
        };
        (connection.up, connection.down) = (Lane::default(), Lane::default());
        connection.errors += u32::from(ending == AttemptOutcome::Error);
        if landing.written && !ending.never_ran() {
            connection.may_have_run.get_or_insert(landing.written_at);
        }
        context.tally.add(Count::AttemptEnded(ending));
        if context.request_lines.allow(context.now) {
            let took = context.now.saturating_sub(landing.since) / MILLI;
            info!(context.log, "attempt ended"; "id" => connection.id(), "attempt" => landing.number,
                "host" => &context.hosts.record(landing.host).name, "why" => ending.word(), "ms" => took);
        }
        if connection.stage == Stage::Held {
            context.events.push(Event::AttemptEnded {
                id: connection.incoming.id,
                attempt: landing.number,
                host: context.hosts.record(landing.host).id,
                request_over: connection.client.is_none(),
                ending,
                load_metrics: Vec::new(),
            });
            if connection.client.is_none() {
                self.remove(context, slot, Close::ClientEnded);
            }
        } else if !ending.never_ran() {
            self.answer(context, slot, b"ERR\r\n");
        }
    }

    /// Whether more of the attempt's line may be written now, by the clock of this moment: the turn's one reading may be
    /// old, and the process may have stood still since the host's connection came up.
    fn may_write(&mut self, context: &mut Context, slot: usize) -> Result<(), Refusal> {
        let connection = &self.slab[slot];
        let Some(landing) = connection.landing.as_ref() else {
            return Ok(());
        };
        if connection.stage != Stage::Held || landing.written {
            return Ok(());
        }
        let (not_after, host, chosen) = (landing.by, landing.host, landing.since);
        if connection.up.buffer.is_some() {
            return may_go_on(context.clock.read(), not_after);
        }
        let deadline = (landing.since + connection.given).min(connection.deadline());
        let repeats = connection.may_have_run.is_some();
        // The client last: the process may be held up behind its reading of the clock, which the other limits allow for.
        let now = context.clock.read();
        let client_waits = self.waits(context, slot);
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
    fn not_written(&mut self, context: &mut Context, slot: usize, refusal: Refusal) {
        context.tally.add(Count::NotBegun(refusal));
        match refusal {
            // What is left of it has been seen to already.
            Refusal::ClientGone => {}
            // Its connection came up too late, or it is leaving.
            Refusal::HostLeaving | Refusal::OutsideWindow => {
                self.fell_through(context, slot, AttemptOutcome::ConnectFailed);
            }
            // Not the host's doing.
            _ => self.fell_through(context, slot, AttemptOutcome::NeverSent),
        }
    }

    /// Brings a hand-off on: the connection, the line, the host's first word.
    pub(super) fn land_on(&mut self, context: &mut Context, slot: usize) {
        if !self.came_up(context, slot) {
            return;
        }
        match self.may_write(context, slot) {
            Ok(()) if self.write_line(context, slot) => self.hear_host(context, slot),
            Ok(()) => {}
            Err(refusal) => self.not_written(context, slot, refusal),
        }
    }

    /// Whether the connection to the host stands.
    fn came_up(&mut self, context: &mut Context, slot: usize) -> bool {
        let Some(connection) = self.slab.get_mut(slot) else {
            return false;
        };
        let Some(landing) = connection.landing.as_mut() else {
            return false;
        };
        if landing.connected {
            return true;
        }
        if !landing.side.writable {
            return false;
        }
        if landing.side.socket.connect_result().is_err() {
            self.fell_through(context, slot, AttemptOutcome::ConnectFailed);
            return false;
        }
        landing.connected = true;
        true
    }

    /// Writes what it can of the attempt's line, and says whether the host has all of it.
    fn write_line(&mut self, context: &mut Context, slot: usize) -> bool {
        let Some(connection) = self.slab.get_mut(slot) else {
            return false;
        };
        let Some(landing) = connection.landing.as_mut() else {
            return false;
        };
        if landing.written {
            return true;
        }
        if connection.up.buffer.is_none() {
            let (Some(letter), Some(mut out)) = (connection.letter.as_ref(), context.pool.take())
            else {
                self.fell_through(context, slot, AttemptOutcome::NeverSent);
                return false;
            };
            let wait = (landing.since + connection.given).saturating_sub(context.now);
            let mut digits = String::new();
            let line = &letter.unsent()[..connection.letter_length];
            lines::onward(line, wait, &mut digits)
                .iter()
                .for_each(|piece| _ = out.append(piece));
            connection.up.buffer = Some(out);
        }
        match connection.up.flush(&mut landing.side) {
            Flow::Ended => {}
            Flow::Idle => return false,
            Flow::Starved => {
                context.machine_trouble("send");
                self.retry_soon(context, slot);
                return false;
            }
            _ => {
                self.fell_through(context, slot, AttemptOutcome::ConnectFailed);
                return false;
            }
        }
        (landing.written, landing.written_at) = (true, context.now);
        context.tally.attempted();
        self.audit_attempt(context, slot);
        true
    }

    /// Reads the host's first word.
    fn hear_host(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let Some(landing) = connection.landing.as_mut() else {
            return;
        };
        let mut said = Vec::new();
        while landing.side.readable && said.is_empty() {
            match connection
                .down
                .fill(&context.pool, &mut landing.side, &mut |word| {
                    said.push(word);
                }) {
                Flow::Idle if connection.down.ended && said.is_empty() => {
                    return self.fell_through(context, slot, AttemptOutcome::ConnectionLost);
                }
                Flow::Idle => {}
                Flow::Starved => return self.retry_soon(context, slot),
                Flow::Malformed => return self.fell_through(context, slot, AttemptOutcome::Error),
                _ => return self.fell_through(context, slot, AttemptOutcome::ConnectionLost),
            }
        }
        match said.first() {
            None if connection
                .down
                .buffer
                .as_ref()
                .is_some_and(Buffer::is_empty) =>
            {
                connection.down.buffer = None;
            }
            None => {}
            Some(Word::Up) => self.begin(context, slot, &said[1..]),
            Some(Word::Busy) => self.fell_through(context, slot, AttemptOutcome::Rejected),
            Some(Word::Move) => self.fell_through(context, slot, AttemptOutcome::Cancelled),
            Some(_) => self.fell_through(context, slot, AttemptOutcome::Error),
        }
    }

    /// The host has taken it: from here on lines pass both ways.
    pub(super) fn begin(&mut self, context: &mut Context, slot: usize, behind: &[Word]) {
        let connection = &mut self.slab[slot];
        let Some(landing) = connection.landing.as_mut() else {
            return;
        };
        if connection.client.is_none() {
            return self.fell_through(context, slot, AttemptOutcome::Cancelled);
        }
        let (id, host) = (
            connection.incoming.id,
            context.hosts.record(landing.host).id,
        );
        if connection.stage == Stage::Held {
            let seen_from = context.hosts.stalls.moved_on(landing.since, context.now);
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
            landing.said.heard(
                *word,
                (id, landing.host),
                context.now,
                &mut connection.asked,
                (&mut context.events, &mut context.hosts),
            );
        });
        connection.letter = None;
        self.pass(context, slot);
    }
}
