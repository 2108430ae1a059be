//! An open connection: lines pass both ways until one side ends. It owns what is on its way and which
//! lines wait for an answer. It must never read more than it can pass on, nor send a client away within
//! a line.

use super::endings::LINGER;
use super::landing::Landing;
use super::{Connections, Stage};
use crate::connections::lane::Flow;
use crate::context::{Context, LONGEST_MOVE};
use crate::operators::counts::Close;
use reedferry::{AttemptOutcome, Event, Nanos, RequestId, MILLI, SECOND};
use reedferry_runtime::Buffer;
use slog::{info, warn};

/// How long a client's line may go unanswered before its host counts as silent. Under the seven seconds
/// that are allowed with what a move waits for the end of a line. Guards: a client left at a host that
/// stopped in the middle of one.
const SILENT_HOST: Nanos = 4500 * MILLI;
/// How long a client that has ended its sending is still passed what its host has to say.
const LAST_WORDS: Nanos = 2 * SECOND;

impl Connections {
    /// Passes lines both ways, and ends the one side as the other ended.
    pub(super) fn pass(&mut self, context: &mut Context, slot: usize) {
        let connection = &mut self.slab[slot];
        let (Some(client), Some(landing)) =
            (connection.client.as_mut(), connection.landing.as_mut())
        else {
            return;
        };
        let (now, host, id) = (context.now, landing.host, connection.incoming.id);

        let asked = &mut connection.asked;
        let up = match connection.client_ended {
            Some(_) => Flow::Idle,
            None => connection
                .up
                .run(&context.pool, client, &mut landing.side, |_| {
                    asked.push_back(now);
                }),
        };
        let (events, hosts) = (&mut context.events, &mut context.hosts);
        let said = &mut landing.said;
        let down = connection
            .down
            .run(&context.pool, &mut landing.side, client, |word| {
                said.heard(
                    word,
                    (id, host),
                    now,
                    &mut connection.asked,
                    (events, hosts),
                );
            });

        let broke = if landing.said.bye {
            AttemptOutcome::Completed
        } else {
            AttemptOutcome::ConnectionLost
        };
        let ended = match (
            landing.said.bye,
            landing.said.moved,
            connection.client_ended,
        ) {
            (true, ..) => AttemptOutcome::Completed,
            (_, false, None) => AttemptOutcome::ConnectionLost,
            _ => AttemptOutcome::Cancelled,
        };
        match (down, up) {
            (Flow::Ended, _) => {
                self.over(context, slot, ended);
                return self.close(context, slot);
            }
            (Flow::Broken, _) => {
                self.over(context, slot, broke);
                return self.remove(context, slot, Close::HostBroke);
            }
            (Flow::Malformed, _) => {
                info!(context.log, "cut off"; "why" => "a host's line that is too long");
                self.over(context, slot, AttemptOutcome::ConnectionLost);
                return self.remove(context, slot, Close::Malformed);
            }
            (Flow::Refused, _) | (_, Flow::Broken) => {
                return self.client_broke(context, slot);
            }
            (_, Flow::Malformed) => {
                info!(context.log, "cut off"; "why" => "a client's line that is too long");
                return self.client_broke(context, slot);
            }
            (_, Flow::Ended) => {
                landing.side.socket.shutdown_write();
                connection.client_ended = Some(now);
            }
            // The host takes no more: what it still says, or its end, comes down.
            (_, Flow::Refused) => connection.up.buffer = None,
            (Flow::More, _) | (_, Flow::More) => self.more.push(slot),
            (Flow::Starved, _) | (_, Flow::Starved) => self.retry_soon(context, slot),
            _ => {}
        }
        self.move_now(context, slot);
    }

    /// The client's connection broke: its host's is reset in turn.
    pub(super) fn client_broke(&mut self, context: &mut Context, slot: usize) {
        if let Some(landing) = self.over(context, slot, AttemptOutcome::Cancelled) {
            landing.side.socket.reset();
        }
        self.remove(context, slot, Close::ClientBroke);
    }

    /// Tells the module how an open connection ended, and takes its host's side off.
    pub(super) fn over(
        &mut self,
        context: &mut Context,
        slot: usize,
        ending: AttemptOutcome,
    ) -> Option<Landing> {
        let connection = &mut self.slab[slot];
        let landing = connection.landing.take()?;
        context.events.push(Event::AttemptEnded {
            id: connection.incoming.id,
            attempt: landing.number,
            host: context.hosts.record(landing.host).id,
            request_over: true,
            ending,
            load_metrics: Vec::new(),
        });
        Some(landing)
    }

    /// The module wants the client to come again.
    pub fn move_on(&mut self, context: &mut Context, id: RequestId) {
        let Some(slot) = self.find(id) else { return };
        let connection = &mut self.slab[slot];
        if connection.stage == Stage::Open && connection.moving.is_none() {
            connection.moving = Some(context.now + LONGEST_MOVE);
            connection.ending = AttemptOutcome::Cancelled;
            self.move_now(context, slot);
        }
    }

    /// Sends the client away once it stands between two lines.
    pub(super) fn move_now(&mut self, context: &mut Context, slot: usize) {
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        let Some(by) = connection
            .moving
            .filter(|_| connection.stage == Stage::Open)
        else {
            return;
        };
        let between = connection.down.buffer.as_ref().is_none_or(Buffer::is_empty)
            && connection.down.scanner.between_lines();
        if !between || (!connection.up.scanner.between_lines() && context.now < by) {
            return;
        }
        let ending = connection.ending;
        self.over(context, slot, ending);
        self.answer(context, slot, b"MOVE\r\n");
    }

    pub(super) fn look_after(&mut self, context: &mut Context, slot: usize) {
        let now = context.now;
        let connection = &mut self.slab[slot];
        let late = connection
            .asked
            .front()
            .is_some_and(|&then| now >= then + SILENT_HOST);
        if late && connection.moving.is_none() {
            // Guards: a host taken for silent whose answer lies unread, as one turn takes in no more than what is before it.
            connection
                .landing
                .iter_mut()
                .for_each(|landing| landing.side.readable = true);
            self.pass(context, slot);
        }
        let Some(connection) = self.slab.get_mut(slot).filter(|c| c.stage == Stage::Open) else {
            return;
        };
        let Some(landing) = connection.landing.as_ref() else {
            return;
        };
        if connection
            .client_ended
            .is_some_and(|t| now >= t + LAST_WORDS)
        {
            self.over(context, slot, AttemptOutcome::Cancelled);
            return self.remove(context, slot, Close::ClientEnded);
        }
        if let Some(&then) = connection.asked.front() {
            context.hosts.unanswered(landing.host, then, now);
            if now >= then + SILENT_HOST && connection.moving.is_none() {
                warn!(context.log, "silent"; "host" => &context.hosts.record(landing.host).name);
                connection.moving = Some(now + LONGEST_MOVE);
                // Guards: a host that answers all others, masked and cut for one connection.
                let alone = context.hosts.answers_since(landing.host, then);
                connection.ending = if alone {
                    AttemptOutcome::Cancelled
                } else {
                    AttemptOutcome::ConnectionLost
                };
            }
        }
        let empty = context.empty_by();
        if now >= empty {
            // Between two lines, or within one of the client's, it can still be sent away.
            let moving = connection.moving.get_or_insert(now);
            *moving = now.min(*moving);
            self.move_now(context, slot);
            if self
                .slab
                .get(slot)
                .is_none_or(|connection| connection.stage != Stage::Open)
            {
                return;
            }
        }
        let Some(connection) = self.slab.get_mut(slot) else {
            return;
        };
        if connection
            .moving
            .is_some_and(|by| now >= (by + LINGER).min(empty))
        {
            // The host has stopped in the middle of a line, and the client takes no other there.
            self.over(context, slot, AttemptOutcome::ConnectionLost);
            return self.remove(context, slot, Close::HostStalled);
        }
        self.move_now(context, slot);
    }
}
