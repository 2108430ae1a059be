//! The forwarder role: serves clients' connections, and follows planners instead of running a decision core of its own.
//! This module owns the sockets to planners and the order of a turn: wait for readiness, read the planners' messages, hand
//! the connections' events to the [`Forwarder`], carry out its actions, send the queued bytes. It makes no decisions and
//! does not use discovery: it knows the hosts that planners report.

use crate::connections::link::{ClosedConnections, LinkConnection, LinkConnections};
use crate::connections::Connections;
use crate::context::{self, token, Context, CORE_TIMER, LINK, STOP};
use crate::operators::operator_config::{ForwarderOptions, OperatorConfig, Role};
use crate::ready::Ready;
use crate::{Signals, SHUTDOWN_MARGIN, SWEEP_INTERVAL};
use reedferry::Nanos;
use reedferry_control_plane::{Forwarder, ForwarderAction, ForwarderConfig, PlannerAddress};
use reedferry_runtime::log::LogBacklog;
use reedferry_runtime::{Clock, Errno, PollToken, Readiness, Signal, Socket};
use slog::{info, warn};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The state of a forwarder process.
struct ForwarderProcess {
    context: Context,
    forwarder: Forwarder,
    connections: Connections,
    /// The connections to planners, by the connection number that the [`Forwarder`] uses.
    planner_sockets: LinkConnections,
    listener: Socket,
    stop_signal: Signal,
    reload_signal: Signal,
    config_path: PathBuf,
    role_config: ForwarderOptions,
    planners: Vec<PlannerAddress>,
    /// The deadline for which the poller's timer was last set; 0 if it was never set.
    armed_deadline: Nanos,
    /// The actions that are not carried out yet.
    actions: Vec<ForwarderAction>,
    ready: Ready,
}

/// Runs a forwarder until it has shut down. Returns an error if it cannot start or cannot use the poller.
pub fn run(config_path: &Path, signals: Signals) -> Result<(), String> {
    let clock = Clock::start();
    let (mut process, backlog) = ForwarderProcess::start(config_path, signals, &clock)?;
    loop {
        process.run_turn();
        backlog.drain();
        if process.has_shut_down() {
            info!(process.context.log, "stopped");
            backlog.drain();
            return Ok(());
        }
        process
            .wait(&clock)
            .map_err(|e| format!("cannot poll: {e}"))?;
    }
}

impl ForwarderProcess {
    fn start(
        config_path: &Path,
        signals: Signals,
        clock: &Clock,
    ) -> Result<(Self, LogBacklog), String> {
        let OperatorConfig {
            node_config,
            role,
            planners,
            ..
        } = OperatorConfig::read(config_path)?;
        let Role::Forward(role_config) = role else {
            let path = config_path.display();
            return Err(format!(
                "{path} is for `reedferry {}`, not for `reedferry forward`",
                role.command()
            ));
        };
        let (mut context, backlog) = Context::open(&node_config, clock, &signals)?;
        let listener = context.listen(&node_config.listen, context::LISTENER)?;
        let listen = listener.local_address().unwrap_or(node_config.listen);
        info!(context.log, "started"; "listen" => %listen, "role" => "forward", "planners" => planners.len(),
            "sockets" => node_config.sockets, "memory_mb" => node_config.memory >> 20);
        let config = ForwarderConfig {
            name: node_config.name.clone(),
            fingerprint: node_config.fingerprint(),
            epoch: context.start,
            balancer_settings: node_config.balancer_settings,
            lease: role_config.lease,
            decision_timeout: role_config.decision_timeout,
            max_awaiting_decision: role_config.max_awaiting_decision,
            failback_delay: role_config.failback_delay,
        };
        let forwarder = Forwarder::new(config, planners.clone(), node_config.seed, context.now);
        let next_sweep = context.now + SWEEP_INTERVAL;
        context
            .poller
            .set_timer(next_sweep, token(context::SWEEP), 0);
        let process = ForwarderProcess {
            context,
            forwarder,
            connections: Connections::default(),
            planner_sockets: LinkConnections::default(),
            listener,
            stop_signal: signals.stop,
            reload_signal: signals.reload,
            config_path: config_path.to_path_buf(),
            role_config,
            planners,
            armed_deadline: 0,
            actions: Vec::new(),
            ready: Ready::default(),
        };
        Ok((process, backlog))
    }

    /// Returns whether this process was asked to stop, the earliest time to end has come and no connection is left.
    fn has_shut_down(&self) -> bool {
        let now = self.context.now;
        self.context
            .may_end_at
            .is_some_and(|earliest| now >= earliest)
            && self.connections.count() == 0
    }

    /// Waits until a socket is ready or a timer is due, and dispatches both to their handlers.
    fn wait(&mut self, clock: &Clock) -> Result<(), Errno> {
        self.arm_deadline();
        let mut ready = Vec::new();
        let has_unserved = self.ready.has_unserved();
        let at_once = has_unserved
            || !self.context.events.is_empty()
            || self.connections.has_runnable()
            || self.planner_sockets.more_to_read;
        let wait_started = clock.read();
        self.context
            .poller
            .wait(wait_started, at_once, &mut ready)?;
        self.context
            .begin_turn(wait_started, clock.read(), has_unserved);
        self.ready.add(ready);
        while let Some(readiness) = self.ready.next(self.context.now, clock) {
            self.handle_readiness(readiness);
        }
        if self.connections.has_runnable() {
            self.connections
                .resume_runnable(&mut self.context, Some(&self.listener));
        }
        while let Some((token, timer)) = self.context.poller.pop_expired(self.context.now) {
            match token.component {
                context::HOST => self.connections.on_timer(&mut self.context, token, timer),
                context::SWEEP => self.sweep(),
                context::CONNECTION_RETRY => self.connections.retry(&mut self.context),
                _ => {}
            }
        }
        Ok(())
    }

    /// Sets the poller's timer for the forwarder's next deadline.
    fn arm_deadline(&mut self) {
        let deadline = self.forwarder.next_deadline();
        if deadline < self.armed_deadline || self.armed_deadline <= self.context.now {
            self.armed_deadline = deadline;
            self.context
                .poller
                .set_timer(deadline, token(CORE_TIMER), 0);
        }
    }

    fn handle_readiness(&mut self, readiness: Readiness) {
        match readiness.token.component {
            context::LISTENER => self
                .connections
                .accept(&mut self.context, Some(&self.listener)),
            STOP => self.shut_down_if_asked(),
            context::RELOAD => self.reload_config_if_asked(),
            LINK => self.handle_planner_readiness(readiness),
            _ => self.connections.on_ready(&mut self.context, readiness),
        }
    }

    /// Checks the signals and serves all connections at a fixed interval, regardless of what the poller has reported.
    fn sweep(&mut self) {
        self.shut_down_if_asked();
        self.reload_config_if_asked();
        let context = &mut self.context;
        self.connections.accept(context, Some(&self.listener));
        self.connections.sweep(context);
        context.check_descriptor_recovery();
        context
            .hosts
            .report_latencies(context.now, &mut context.events);
        let next_sweep = context.now + SWEEP_INTERVAL;
        context
            .poller
            .set_timer(next_sweep, token(context::SWEEP), 0);
    }

    fn handle_planner_readiness(&mut self, readiness: Readiness) {
        let connection = readiness.token.slot;
        let Some(socket) = self
            .planner_sockets
            .by_id
            .get_mut(&connection)
            .filter(|socket| socket.generation == readiness.token.generation)
        else {
            return;
        };
        socket.on_ready(readiness);
        match socket.check_established() {
            Ok(true) => self.forwarder.connected(connection),
            Ok(false) => {}
            Err(_) => self.planner_connection_lost(connection, "unconnected"),
        }
    }

    fn planner_connection_lost(&mut self, connection: u32, why: &str) {
        self.planner_sockets.by_id.remove(&connection);
        self.forwarder
            .connection_lost(self.context.now, connection, why, &mut self.actions);
    }

    fn planner_connections_lost(&mut self, closed: ClosedConnections) {
        for (connection, why) in closed {
            self.planner_connection_lost(connection, why);
        }
    }

    /// Processes one turn after the wait: reads planners, handles events, carries out actions and writes to planners.
    fn run_turn(&mut self) {
        let now = self.context.now;
        let (forwarder, actions) = (&mut self.forwarder, &mut self.actions);
        let closed = self
            .planner_sockets
            .read(|connection, bytes| forwarder.receive(now, connection, bytes, actions));
        self.planner_connections_lost(closed);
        for event in std::mem::take(&mut self.context.events) {
            self.forwarder.handle_event(now, event, &mut self.actions);
        }
        self.forwarder.tick(now, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(action);
        }
        let forwarder = &mut self.forwarder;
        let closed = self.planner_sockets.write(|connection, socket| {
            let count = socket.write(forwarder.outgoing(connection))?;
            forwarder.mark_sent(connection, count);
            Ok(())
        });
        self.planner_connections_lost(closed);
    }

    fn carry_out(&mut self, action: ForwarderAction) {
        let context = &mut self.context;
        match action {
            ForwarderAction::Perform(action) => _ = self.connections.perform(context, action),
            ForwarderAction::StartAttempt {
                id,
                host,
                deadline,
                start_by,
            } => self
                .connections
                .start_attempt(context, id, host, deadline, start_by),
            ForwarderAction::ConnectPlanner {
                connection,
                address,
            } => self.connect_planner(connection, address),
            ForwarderAction::DisconnectPlanner { connection } => {
                self.planner_sockets.by_id.remove(&connection);
            }
            ForwarderAction::HostLearned(entry) => {
                let log = context.log.clone();
                context.hosts.apply_planner_entry(context.now, entry, &log);
            }
            ForwarderAction::Log(text) => info!(context.log, "{}", text),
        }
    }

    fn connect_planner(&mut self, connection: u32, address: SocketAddr) {
        let context = &mut self.context;
        let opened = context.budget.connect(&address).and_then(|(socket, _)| {
            // The poller reports when the connection is established or has failed, even if that happened at once.
            let token = PollToken {
                component: LINK,
                slot: connection,
                generation: context.next_generation(),
            };
            context.poller.register(&socket, token)?;
            Ok(LinkConnection::new(socket, token.generation, false))
        });
        match opened {
            Ok(socket) => _ = self.planner_sockets.by_id.insert(connection, socket),
            Err(_) => self.planner_connection_lost(connection, "unconnected"),
        }
    }

    fn shut_down_if_asked(&mut self) {
        if self.stop_signal.take() && self.context.may_end_at.is_none() {
            let event = self
                .context
                .begin_shutdown(SHUTDOWN_MARGIN, self.connections.count());
            self.context.events.push(event);
        }
    }

    /// Reloads the operator's file if a signal asks for it. Only the list of planners can change while a forwarder runs.
    fn reload_config_if_asked(&mut self) {
        if !self.reload_signal.take() {
            return;
        }
        let log = self.context.log.clone();
        // Rejects a file that is invalid or only partly written, which could lead the forwarder to the wrong planners.
        let config = match OperatorConfig::read(&self.config_path) {
            Ok(config) => config,
            Err(why) => return warn!(log, "configuration not reloaded"; "why" => why),
        };
        if config.role != Role::Forward(self.role_config.clone()) {
            warn!(log, "kept until the next start"; "parts" => config.role.command());
        }
        if config.planners.is_empty() {
            return warn!(log, "configuration not reloaded"; "why" => "no planner is configured");
        }
        info!(log, "configuration reloaded"; "planners" => config.planners.len());
        if config.planners != self.planners {
            self.planners = config.planners.clone();
            self.forwarder
                .set_planners(self.context.now, config.planners, &mut self.actions);
        }
    }
}
