//! Calls to discovery: the watch on the roll, and the whole roll where that is asked for. It owns the
//! connections to discovery. It must never decide which list is believed, nor when to call: the module asks first, or where
//! changes are to come unasked the watch is kept up by itself, and once a watch has failed `Hearing` says when. A
//! call that fails ends alone.

use crate::context::{Context, DISCOVERY};
use crate::discovery::hosts::Source;
use crate::discovery::http::Answer;
use crate::discovery::list::{List, Reader};
use crate::discovery::staleness::{Failure, Hearing};
use crate::discovery::starts::Learned;
use crate::discovery::versions::{Versions, Worth};
use reedferry::permission::usable_grace;
use reedferry::{BalancerSettings, EndpointUpdate, Event, Nanos, MILLI, SECOND};
use reedferry_runtime::errors::{classify_connect, classify_io, ConnectFailure, IoFailure};
use reedferry_runtime::{Errno, PollToken, Readiness, Socket};
use slog::{info, warn};
use std::net::SocketAddr;

/// How soon a call over a connection that had served before may break for the other side to have closed it in between.
const CLOSED_BETWEEN: Nanos = SECOND / 4;
const MOST_BODY: usize = 32 << 20;
/// How soon an answer comes that waits for nothing.
const IN_TIME: Nanos = SECOND / 5;

const WATCH: usize = 0;
const ASK: usize = 1;
/// A watch that has been silent beyond its wait, until the call in its place has been answered. Guards: what it was
/// about to say counts as told when it is written, or earlier once it is given up.
const SILENT: usize = 2;
const ALL: [usize; 3] = [WATCH, ASK, SILENT];

#[derive(Default)]
struct Call {
    line: Option<(Socket, u32)>,
    /// Whether a request is out, and what of it is still to be written.
    out: bool,
    request: Vec<u8>,
    written: usize,
    answer: Answer,
    reader: Reader,
    body: usize,
    /// Something of its answer has come.
    came: bool,
    /// The connection has served an earlier call.
    used: bool,
    since: Nanos,
    hold: Nanos,
    until: Nanos,
}

pub struct Discovery {
    address: SocketAddr,
    versions: Versions,
    calls: [Call; 3],
    following: bool,
    /// When this service's last list came.
    heard_at: Option<Nanos>,
    hearing: Hearing,
    /// When the watch is taken up again without being asked for.
    next: Option<Nanos>,
    /// It has been told that the node can't be sure to have heard in time.
    shut: bool,
}

impl Discovery {
    pub fn new(
        address: SocketAddr,
        revision: Option<u64>,
        balancer_settings: &BalancerSettings,
        grace: Nanos,
        now: Nanos,
    ) -> Self {
        Discovery {
            address,
            versions: Versions::new(revision),
            calls: Default::default(),
            following: false,
            heard_at: None,
            hearing: Hearing::new(balancer_settings, usable_grace(grace), now),
            next: Some(0).filter(|_| !balancer_settings.endpoints_are_polled),
            shut: false,
        }
    }

    /// Goes over to the service at another address, at once and from its whole list on: versions are each
    /// service's own. Guards: a node that follows a service which has been replaced, or that waits for
    /// the new one to pass a version of the old.
    pub fn go_over(&mut self, context: &mut Context, address: SocketAddr) {
        let asked = self.calls[ASK].out;
        self.calls = Default::default();
        (self.address, self.following, self.next, self.heard_at) = (address, false, None, None);
        self.versions = Versions::default();
        self.hearing.moved(context.now);
        self.call(context, WATCH, 0);
        if asked {
            self.call(context, ASK, 0);
        }
    }

    /// Goes by other settings from the next call on.
    pub fn retune(&mut self, balancer_settings: &BalancerSettings, grace: Nanos) {
        self.hearing.retune(balancer_settings, usable_grace(grace));
        if self.hearing.unasked() && !self.calls[WATCH].out {
            self.next.get_or_insert(0);
        }
    }

    /// The version reached.
    pub fn revision(&self) -> Option<u64> {
        self.versions.known()
    }

    /// Reads what has come, whether or not the poller has said so yet.
    pub fn look(&mut self, context: &mut Context) {
        for which in ALL {
            if self.calls[which].line.is_some() {
                self.read(context, which);
            }
        }
    }

    /// The module wants the whole roll once.
    pub fn ask(&mut self, context: &mut Context) {
        if !self.calls[ASK].out {
            self.call(context, ASK, 0);
        }
    }

    /// The module wants to be told of changes from now on.
    pub fn follow(&mut self, context: &mut Context) {
        if !self.calls[WATCH].out && self.next.is_none_or(|at| context.now >= at) {
            self.following = false;
            // What was missed since a version that is known comes at once, by the call that then waits on, unless the
            // node may have missed something: whoever waits is not heard.
            let waits = self.versions.may_wait() && !self.hearing.pressed();
            self.call(
                context,
                WATCH,
                if waits { self.hearing.hold() } else { MILLI },
            );
        }
    }

    fn call(&mut self, context: &mut Context, which: usize, hold: Nanos) {
        // Without a version the whole list comes, which nothing waits for.
        let from = self.versions.known().filter(|_| which == WATCH);
        let hold = if from.is_some() { hold } else { 0 };
        let path = match from {
            Some(from) => format!("/v1/servers?from={from}&hold_ms={}", hold / MILLI),
            None => "/v1/servers".to_string(),
        };
        let call = &mut self.calls[which];
        call.request =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", self.address).into_bytes();
        (call.out, call.since, call.hold) = (true, context.now, hold);
        (call.until, call.used) = (
            self.hearing.silent_at(context.now, hold),
            call.line.is_some(),
        );
        if which == WATCH {
            self.next = None;
            self.hearing.out(context.now, hold);
            context.deaf = self.hearing.deaf();
        }
        self.start(context, which);
    }

    /// Sends the request from its first byte, over a new connection where none is open.
    fn start(&mut self, context: &mut Context, which: usize) {
        let call = &mut self.calls[which];
        (call.written, call.body, call.came) = (0, 0, false);
        (call.answer, call.reader) = (Answer::default(), Reader::default());
        if call.line.is_none() {
            let opened = context
                .budget
                .connect(&self.address)
                .and_then(|(socket, _)| {
                    let mark = context.watch(&socket, DISCOVERY, which)?;
                    Ok((socket, mark.generation))
                });
            match opened {
                Ok(line) => call.line = Some(line),
                // What this machine is short of says nothing of the service.
                Err(e) if classify_connect(e) != ConnectFailure::Peer => {
                    self.ended(context, which, Failure::Refused, &format!("connect: {e}"));
                }
                Err(e) => self.fail(context, which, Failure::Broken, &format!("connect: {e}")),
            }
        } else {
            self.write(context, which);
        }
    }

    pub fn ready(&mut self, context: &mut Context, ready: Readiness) {
        let which = ready.token.slot as usize;
        let Some(call) = self.calls.get(which) else {
            return;
        };
        if call
            .line
            .as_ref()
            .is_none_or(|(_, stamp)| *stamp != ready.token.generation)
        {
            return;
        }
        if ready.writable {
            self.write(context, which);
        }
        // Writing may have failed and closed it.
        if ready.readable
            && self.calls[which]
                .line
                .as_ref()
                .is_some_and(|(_, s)| *s == ready.token.generation)
        {
            self.read(context, which);
        }
    }

    fn write(&mut self, context: &mut Context, which: usize) {
        let call = &mut self.calls[which];
        let Some((socket, _)) = &call.line else {
            return;
        };
        while call.out && call.written < call.request.len() {
            match socket.send(&call.request[call.written..]) {
                Ok(count) => call.written += count,
                Err(Errno::NOTCONN) => return,
                // The next sweep goes on where the poller does not.
                Err(e) if classify_io(e) != IoFailure::Disconnected => return,
                Err(e) => return self.broken(context, which, &format!("send: {e}")),
            }
        }
    }

    fn read(&mut self, context: &mut Context, which: usize) {
        // Guards: a list that is lost because clients hold all buffers; it is read when one is free.
        let Some(mut buffer) = context.pool.take() else {
            return;
        };
        loop {
            let call = &mut self.calls[which];
            let Some((socket, _)) = &call.line else {
                return;
            };
            buffer.clear();
            let count = match socket.receive(buffer.free_space()) {
                Ok(0) => {
                    if call.out && call.answer.ended() {
                        return self.answered(context, which);
                    }
                    return self.broken(context, which, "ended");
                }
                Ok(count) => count,
                Err(e) if classify_io(e) != IoFailure::Disconnected => return,
                Err(e) => return self.broken(context, which, &e.to_string()),
            };
            buffer.commit(count);
            if !call.out {
                return self.broken(context, which, "bytes that nobody asked for");
            }
            if !std::mem::replace(&mut call.came, true) {
                // Guards: an answer that begins and never ends, waited for as long as a watch that is quiet.
                call.until = call.until.min(self.hearing.stopped_at(context.now));
            }
            let (answer, reader, body) = (&mut call.answer, &mut call.reader, &mut call.body);
            let took = answer.feed(buffer.unsent(), |piece| {
                *body += piece.len();
                if *body > MOST_BODY {
                    return Err("a list that is too long");
                }
                reader.feed(piece)
            });
            match took {
                Ok(took) if call.answer.done() && took < count => {
                    return self.fail(
                        context,
                        which,
                        Failure::Unread,
                        "bytes that nobody asked for",
                    );
                }
                Ok(_) if call.answer.done() => {
                    self.answered(context, which);
                    // A call that began at once over the same connection reads on when there is more.
                }
                Ok(_) if call.answer.begun() && call.answer.status >= 400 => {
                    let status = call.answer.status;
                    return self.refused(context, which, status);
                }
                Ok(_) => {}
                Err(why) => return self.fail(context, which, Failure::Unread, why),
            }
        }
    }

    /// A whole answer has come.
    fn answered(&mut self, context: &mut Context, which: usize) {
        let call = &mut self.calls[which];
        if call.answer.last {
            call.line = None;
        }
        if call.answer.status != 200 {
            let status = call.answer.status;
            return self.refused(context, which, status);
        }
        call.out = false;
        let list = match std::mem::take(&mut call.reader).finish() {
            Ok(list) => list,
            Err(why) => return self.fail(context, which, Failure::Unread, why),
        };
        let (since, hold, news) = (call.since, call.hold, !list.members.is_empty());
        if !self.take(context, which, list) {
            return self.fail(
                context,
                which,
                Failure::Unread,
                "a revision that runs backwards",
            );
        }
        self.hearing.answered(context.now, since, hold);
        if which != WATCH {
            self.hearing.heard_late(since);
            self.wait_on(context);
        } else {
            if !self.following {
                info!(context.log, "watch begun"; "at" => %self.address, "revision" => self.revision());
            }
            self.following = true;
            self.calls[SILENT] = Call::default();
            self.hearing.heard(context.now);
            context.deaf = self.hearing.deaf();
            let next = self.hearing.next(context.now, since, hold, news);
            if next > context.now {
                self.next = Some(next);
                return;
            }
            self.call(context, WATCH, self.hearing.hold());
        }
    }

    /// Goes by what another call's answer has just told of the service: how long the watch is waited for, and until when the
    /// node may not have heard.
    fn wait_on(&mut self, context: &mut Context) {
        let watch = &mut self.calls[WATCH];
        if watch.out && !watch.came {
            watch.until = watch
                .until
                .max(self.hearing.silent_at(watch.since, watch.hold));
        }
        context.deaf = self.hearing.deaf();
    }

    /// What the answer to a call that has just come says of when its news is from.
    fn learned(&self, which: usize, now: Nanos) -> Learned {
        let waited = self.calls[which].hold > IN_TIME && now > self.calls[which].since + IN_TIME;
        match self.heard_at {
            None => Learned::WithWholeList,
            // News comes at once to a call that waits for it.
            Some(_) if waited => Learned::AsNews { heard_until: now },
            Some(heard_until) => Learned::AsNews { heard_until },
        }
    }

    /// Whether the list counts, if only as no news.
    fn take(&mut self, context: &mut Context, which: usize, mut list: List) -> bool {
        match self
            .versions
            .told(which == WATCH, list.revision, list.complete)
        {
            // Guards: a host that drains and counts as ready again, by changes from before.
            Worth::Backwards => return false,
            Worth::Stale => {
                context.events.push(Event::EndpointsUpdated {
                    kind: EndpointUpdate::Delta,
                    endpoints: Vec::new(),
                });
                return true;
            }
            // Guards: new work for hosts that drain, by a service that came back with an older list. What it says
            // of them as a change from there on is news.
            Worth::Older => {
                let kept = context.hosts.keep_drains(&mut list);
                let hosts = list.members.len();
                warn!(context.log, "an older list"; "revision" => list.revision, "hosts" => hosts, "drains kept" => kept);
            }
            Worth::News => {}
        }
        let now = context.now;
        let source = Source::Told {
            learned: self.learned(which, now),
            counts_from: self.hearing.counts_from(now),
        };
        self.heard_at = Some(now);
        let event = context.hosts.told(now, list, source, &context.log);
        context.events.push(event);
        true
    }

    /// The connection broke. Where it had served before and nothing has come of an answer to a call that has just gone
    /// out, the other side closed it between two calls: the call goes out once more. One that broke while it waited
    /// is told, as it may have ended for all nodes.
    fn broken(&mut self, context: &mut Context, which: usize, why: &str) {
        let call = &mut self.calls[which];
        call.line = None;
        if !call.out {
            return;
        }
        if call.used && !call.answer.begun() && context.now < call.since + CLOSED_BETWEEN {
            // Without a wait: whoever closed it may have started anew, and wait for a version long passed here.
            return self.call(context, which, MILLI);
        }
        self.fail(context, which, Failure::Broken, why);
    }

    /// The service answered, but not with a list: it is the one that it was where it says that it is busy.
    fn refused(&mut self, context: &mut Context, which: usize, status: u16) {
        if !matches!(status, 429 | 503) {
            self.versions.broke();
        }
        self.ended(
            context,
            which,
            Failure::Refused,
            &format!("status {status}"),
        );
    }

    fn fail(&mut self, context: &mut Context, which: usize, how: Failure, why: &str) {
        if which == WATCH {
            self.versions.broke();
        }
        self.ended(context, which, how, why);
    }

    fn ended(&mut self, context: &mut Context, which: usize, how: Failure, why: &str) {
        let call = &mut self.calls[which];
        (call.line, call.out) = (None, false);
        warn!(context.log, "discovery call failed"; "watch" => which == WATCH, "why" => why.to_string());
        if which == WATCH {
            self.following = false;
            let next = self.hearing.failed(context.now, how);
            self.next = Some(next);
            context.deaf = self.hearing.deaf();
            if next <= context.now {
                self.follow(context);
            }
        }
        // Nobody else says when the watch is taken up again.
        if which == ASK {
            context.events.push(Event::EndpointsUpdated {
                kind: EndpointUpdate::Failed,
                endpoints: Vec::new(),
            });
        }
    }

    /// The watch has said nothing beyond its wait: it is kept until the call in its place is answered.
    fn fell_silent(&mut self, context: &mut Context) {
        let mut silent = std::mem::take(&mut self.calls[WATCH]);
        if let Some((socket, stamp)) = &mut silent.line {
            let mark = PollToken {
                component: DISCOVERY,
                slot: SILENT as u32,
                generation: context.stamp(),
            };
            if context.poller.update_registration(socket, mark).is_ok() {
                *stamp = mark.generation;
                silent.until = Nanos::MAX;
                self.calls[SILENT] = silent;
            }
        }
        self.fail(context, WATCH, Failure::Silent, "no answer in time");
    }

    /// Ends calls that nothing answers, and takes the watch up again where that is due.
    pub fn sweep(&mut self, context: &mut Context) {
        for which in ALL {
            // What came, or was to go, while this machine was short of a buffer or of memory.
            if self.calls[which].line.is_some() {
                self.write(context, which);
            }
            if self.calls[which].line.is_some() {
                self.read(context, which);
            }
            let call = &self.calls[which];
            match call.out && context.now >= call.until {
                true if which == WATCH && !call.came => self.fell_silent(context),
                true => self.fail(context, which, Failure::Silent, "no answer in time"),
                false => {}
            }
        }
        self.hearing.runs(context.now);
        if !self.calls[WATCH].out && self.next.is_some_and(|at| context.now >= at) {
            self.follow(context);
        }
        let shut = context.deaf.contains(&context.now);
        if shut != std::mem::replace(&mut self.shut, shut) {
            warn!(context.log, "list not heard in time"; "nothing new to hosts" => shut);
        }
    }
}
