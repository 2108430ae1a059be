//! A forwarder: the connection, and in place of the module the link to planners. It owns the sockets to planners
//! and the order of a turn: gather what is ready, take in what planners say, hand what the connection told to
//! the forwarder's end of the link, carry out what came back, send what is to go. It must never decide
//! anything, nor follow discovery: hosts are known as planners tell of them.

use crate::connections::link::{LinkConnection, LinkConnections};
use crate::connections::Connections;
use crate::context::{self, mark, Context, LINK, STOP, TICK};
use crate::operators::operator_config::{Forwards, OperatorConfig, Role};
use crate::ready::Ready;
use crate::{AtStart, BEYOND_EXPIRY, SWEEP};
use reedferry::Nanos;
use reedferry_control_plane::{Forwarder, ForwarderAction, ForwarderConfig, PlannerAddress};
use reedferry_runtime::{Clock, Errno, PollToken, Readiness, Signal, Socket};
use slog::{info, warn};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

struct Forward {
    context: Context,
    core: Forwarder,
    connections: Connections,
    /// The connections to planners, by the core's name for each.
    wires: LinkConnections,
    listener: Socket,
    stop: Signal,
    reread: Signal,
    path: PathBuf,
    forwards: Forwards,
    planners: Vec<PlannerAddress>,
    /// When the core is to be called next, as far as the poller knows.
    armed: Nanos,
    deeds: Vec<ForwarderAction>,
    ready: Ready,
}

pub fn run(path: &Path, start: AtStart) -> Result<(), String> {
    let OperatorConfig {
        node_config,
        role,
        planners,
        ..
    } = OperatorConfig::read(path)?;
    let Role::Forward(forwards) = role else {
        return Err(format!(
            "{} is for `reedferry {}`",
            path.display(),
            role.word()
        ));
    };
    let clock = Clock::start();
    let (mut context, backlog) = Context::open(&node_config, &clock, &start)?;
    let listener = context.listen(&node_config.listen, context::LISTENER)?;
    let listen = listener.local_address().unwrap_or(node_config.listen);
    let keeps = ForwarderConfig {
        name: node_config.name.clone(),
        fingerprint: node_config.fingerprint(),
        epoch: context.start,
        balancer_settings: node_config.balancer_settings,
        lease: forwards.lease,
        decide_within: forwards.decide_within,
        most_asked: forwards.most_asked,
        settle: forwards.settle,
    };
    let core = Forwarder::new(keeps, planners.clone(), node_config.seed, context.now);
    let log = context.log.clone();
    info!(log, "started"; "listen" => %listen, "role" => "forward", "planners" => planners.len(),
        "sockets" => node_config.sockets, "memory_mb" => node_config.memory >> 20);
    context
        .poller
        .set_timer(context.now + SWEEP, mark(context::SWEEP), 0);
    let AtStart { stop, reread } = start;
    let mut forward = Forward {
        context,
        core,
        connections: Connections::default(),
        wires: LinkConnections::default(),
        listener,
        stop,
        reread,
        path: path.to_path_buf(),
        forwards,
        planners,
        armed: 0,
        deeds: Vec::new(),
        ready: Ready::default(),
    };
    loop {
        forward.turn();
        backlog.drain();
        if forward
            .context
            .leaving
            .is_some_and(|t| forward.context.now >= t)
            && forward.connections.count() == 0
        {
            info!(log, "stopped");
            backlog.drain();
            return Ok(());
        }
        forward
            .gather(&clock)
            .map_err(|e| format!("cannot poll: {e}"))?;
    }
}

impl Forward {
    fn gather(&mut self, clock: &Clock) -> Result<(), Errno> {
        let next = self.core.next();
        if next < self.armed || self.armed <= self.context.now {
            self.armed = next;
            self.context.poller.set_timer(next, mark(TICK), 0);
        }
        let mut ready = Vec::new();
        let behind = self.ready.is_behind();
        let at_once = behind
            || !self.context.events.is_empty()
            || self.connections.has_runnable()
            || self.wires.more_to_read;
        let waited = clock.read();
        self.context.poller.wait(waited, at_once, &mut ready)?;
        self.context.look_round(waited, clock.read(), behind);
        self.ready.add(ready);
        while let Some(one) = self.ready.next(self.context.now, clock) {
            let context = &mut self.context;
            match one.token.component {
                context::LISTENER => self.connections.accept(context, Some(&self.listener)),
                STOP => self.part(),
                context::REREAD => self.read_again(),
                LINK => self.ready(one),
                _ => self.connections.on_ready(context, one),
            }
        }
        if self.connections.has_runnable() {
            self.connections
                .resume_runnable(&mut self.context, Some(&self.listener));
        }
        while let Some((mark, word)) = self.context.poller.pop_expired(self.context.now) {
            match mark.component {
                context::HOST => self.connections.on_timer(&mut self.context, mark, word),
                context::SWEEP => self.sweep(),
                context::RETRY => self.connections.retry(&mut self.context),
                _ => {}
            }
        }
        Ok(())
    }

    fn sweep(&mut self) {
        // Whatever the poller has said of them.
        self.part();
        self.read_again();
        let context = &mut self.context;
        self.connections.accept(context, Some(&self.listener));
        self.connections.sweep(context);
        context.spare();
        context
            .hosts
            .report_latencies(context.now, &mut context.events);
        context
            .poller
            .set_timer(context.now + SWEEP, mark(context::SWEEP), 0);
    }

    fn ready(&mut self, ready: Readiness) {
        let line = ready.token.slot;
        let Some(wire) = self
            .wires
            .by_line
            .get_mut(&line)
            .filter(|w| w.generation == ready.token.generation)
        else {
            return;
        };
        wire.on_ready(ready);
        match wire.check_established() {
            Ok(true) => self.core.called(line),
            Ok(false) => {}
            Err(_) => self.lost(line, "unconnected"),
        }
    }

    fn lost(&mut self, line: u32, why: &str) {
        self.wires.by_line.remove(&line);
        self.core.lost(self.context.now, line, why, &mut self.deeds);
    }

    /// All of a turn behind the gathering.
    fn turn(&mut self) {
        let now = self.context.now;
        let (core, deeds) = (&mut self.core, &mut self.deeds);
        let ended = self
            .wires
            .read(|line, bytes| core.came(now, line, bytes, deeds));
        ended
            .into_iter()
            .for_each(|(line, why)| self.lost(line, why));
        for event in std::mem::take(&mut self.context.events) {
            self.core.event(now, event, &mut self.deeds);
        }
        self.core.tick(now, &mut self.deeds);
        for deed in std::mem::take(&mut self.deeds) {
            self.carry_out(deed);
        }
        let core = &mut self.core;
        let ended = self.wires.write(|line, wire| {
            let count = wire.write(core.outgoing(line))?;
            core.sent(line, count);
            Ok(())
        });
        ended
            .into_iter()
            .for_each(|(line, why)| self.lost(line, why));
    }

    fn carry_out(&mut self, deed: ForwarderAction) {
        let context = &mut self.context;
        match deed {
            ForwarderAction::Perform(action) => _ = self.connections.perform(context, action),
            ForwarderAction::StartAttempt {
                id,
                host,
                until,
                by,
            } => self.connections.start_attempt(context, id, host, until, by),
            ForwarderAction::ConnectPlanner { line, address } => self.call(line, address),
            ForwarderAction::DisconnectPlanner { line } => _ = self.wires.by_line.remove(&line),
            ForwarderAction::HostLearned(line) => {
                let log = context.log.clone();
                context.hosts.apply_planner_entry(context.now, line, &log);
            }
            ForwarderAction::Log(text) => info!(context.log, "{}", text),
        }
    }

    fn call(&mut self, line: u32, address: SocketAddr) {
        let context = &mut self.context;
        let opened = context.budget.connect(&address).and_then(|(socket, _)| {
            // Whether it stands is told by the poller in either case.
            let mark = PollToken {
                component: LINK,
                slot: line,
                generation: context.stamp(),
            };
            context.poller.register(&socket, mark)?;
            Ok(LinkConnection::new(socket, mark.generation, false))
        });
        match opened {
            Ok(wire) => _ = self.wires.by_line.insert(line, wire),
            Err(_) => self.lost(line, "unconnected"),
        }
    }

    fn part(&mut self) {
        if self.stop.take() && self.context.leaving.is_none() {
            let event = self.context.leave(BEYOND_EXPIRY, self.connections.count());
            self.context.events.push(event);
        }
    }

    /// Takes the operator's file up afresh: the planners alone may change in a forwarder that runs.
    fn read_again(&mut self) {
        if !self.reread.take() {
            return;
        }
        let log = self.context.log.clone();
        // Guards: a forwarder led astray by a file that is half written or wrong.
        let fresh = match OperatorConfig::read(&self.path) {
            Ok(fresh) => fresh,
            Err(why) => return warn!(log, "articles not taken up"; "why" => why),
        };
        if fresh.role != Role::Forward(self.forwards.clone()) {
            warn!(log, "kept until the next start"; "parts" => fresh.role.word());
        }
        if fresh.planners.is_empty() {
            return warn!(log, "articles not taken up"; "why" => "no planner is named");
        }
        info!(log, "articles read again"; "planners" => fresh.planners.len());
        if fresh.planners != self.planners {
            self.planners = fresh.planners.clone();
            self.core
                .planners(self.context.now, fresh.planners, &mut self.deeds);
        }
    }
}
