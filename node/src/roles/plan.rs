//! The planner role: runs the [`Planner`] with its decision cores, and discovery. This module owns the sockets of forwarders
//! and the order of a turn: read forwarders, read discovery, decide, send. That order keeps the drain guarantee: the
//! endpoint list behind a decision is never older than the heartbeat which the decision answers, so a drain that was
//! written before that heartbeat is known. A planner accepts no clients.

use crate::connections::link::{ClosedConnections, LinkConnection, LinkConnections};
use crate::connections::probe::Probes;
use crate::context::{self, token, Context, LINK, STOP};
use crate::discovery::client::DiscoveryClient;
use crate::operators::node_config::NodeConfig;
use crate::operators::operator_config::{OperatorConfig, PlannerOptions, Role};
use crate::{Signals, SWEEP_INTERVAL};
use reedferry::permission::usable_grace;
use reedferry::{Endpoint, Event, Nanos, MILLI};
use reedferry_control_plane::{HostEntry, Planner, PlannerAction, PlannerConfig};
use reedferry_runtime::log::LogBacklog;
use reedferry_runtime::{Clock, Errno, PollToken, Readiness, Signal, Socket};
use slog::{info, warn};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The maximum time that a planner waits during shutdown until its forwarders follow another planner.
const SHUTDOWN_TIMEOUT: Nanos = 700 * MILLI;
/// The maximum number of forwarders accepted per readiness report.
const MAX_ACCEPTS_PER_READINESS: usize = 64;

/// The state of a planner process.
struct PlannerProcess {
    context: Context,
    planner: Planner,
    discovery: DiscoveryClient,
    probes: Probes,
    /// The connections of forwarders, by the connection number that the [`Planner`] uses.
    forwarder_sockets: LinkConnections,
    listener: Socket,
    stop_signal: Signal,
    reload_signal: Signal,
    config_path: PathBuf,
    role_config: PlannerOptions,
    /// The number of configured planners.
    planner_count: usize,
    /// The part of a drain's grace in which a node may start attempts, which the stale window allows for.
    grace: Nanos,
    /// The address of the list service in use.
    discovery_address: SocketAddr,
    /// The actions that are not carried out yet.
    actions: Vec<PlannerAction>,
}

/// Runs a planner until it has shut down. Returns an error if it cannot start or cannot use the poller.
pub fn run(config_path: &Path, signals: Signals) -> Result<(), String> {
    let clock = Clock::start();
    let (mut process, backlog) = PlannerProcess::start(config_path, signals, &clock)?;
    loop {
        process.run_turn();
        backlog.drain();
        if process.has_shut_down() {
            info!(process.context.log, "stopped"; "requests" => process.planner.request_count());
            backlog.drain();
            return Ok(());
        }
        process
            .wait(&clock)
            .map_err(|e| format!("cannot poll: {e}"))?;
    }
}

/// Returns the configuration of the [`Planner`].
fn planner_config(
    node_config: &NodeConfig,
    role_config: &PlannerOptions,
    planner_count: usize,
) -> PlannerConfig {
    PlannerConfig {
        name: role_config.name.clone(),
        zone_count: node_config.node_settings.zones.len().max(1) as u16,
        planner_index: role_config.planner_index,
        planner_count: planner_count as u32,
        fingerprint: node_config.fingerprint(),
        silence_timeout: role_config.silence_timeout,
        settle_time: role_config.settle_time,
        max_requests_per_forwarder: role_config.max_requests_per_forwarder,
        balancer_settings: node_config.balancer_settings.clone(),
    }
}

impl PlannerProcess {
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
        let Role::Plan(role_config) = role else {
            let path = config_path.display();
            return Err(format!(
                "{path} is for `reedferry {}`, not for `reedferry plan`",
                role.command()
            ));
        };
        let (mut context, backlog) = Context::open(&node_config, clock, &signals)?;
        let listener = context.listen(&role_config.listen, context::LINK_LISTENER)?;
        let listen = listener.local_address().unwrap_or(role_config.listen);
        let mut actions = Vec::new();
        let config = planner_config(&node_config, &role_config, planners.len());
        let planner = Planner::new(config, node_config.seed, context.now, &mut actions);
        let revision = context.load_known_endpoints(&node_config)?;
        info!(context.log, "started"; "listen" => %listen, "role" => "plan", "name" => &role_config.name,
            "hosts" => context.hosts.count(), "revision" => revision);
        let next_sweep = context.now + SWEEP_INTERVAL;
        context
            .poller
            .set_timer(next_sweep, token(context::SWEEP), 0);
        let discovery = DiscoveryClient::new(
            node_config.discovery,
            revision,
            &node_config.balancer_settings,
            node_config.node_settings.drain_grace,
            &context,
        );
        let process = PlannerProcess {
            context,
            planner,
            discovery,
            probes: Probes::default(),
            forwarder_sockets: LinkConnections::default(),
            listener,
            stop_signal: signals.stop,
            reload_signal: signals.reload,
            config_path: config_path.to_path_buf(),
            role_config,
            planner_count: planners.len(),
            grace: usable_grace(node_config.node_settings.drain_grace),
            discovery_address: node_config.discovery,
            actions,
        };
        Ok((process, backlog))
    }

    /// Returns whether this process was asked to stop, and either no forwarder follows it any more or [`SHUTDOWN_TIMEOUT`] has
    /// passed.
    fn has_shut_down(&self) -> bool {
        let now = self.context.now;
        let has_no_followers = now >= self.context.start && self.planner.follower_count() == 0;
        self.context
            .may_end_at
            .is_some_and(|latest| now >= latest || has_no_followers)
    }

    /// Waits until a socket is ready or a timer is due, and dispatches the ready sockets. [`PlannerProcess::run_turn`] handles
    /// the timers.
    fn wait(&mut self, clock: &Clock) -> Result<(), Errno> {
        let deadline = self.planner.next_deadline(self.context.now);
        self.context
            .poller
            .set_timer(deadline, token(context::CORE_TIMER), 0);
        let mut ready = Vec::new();
        let at_once = !self.context.events.is_empty() || self.forwarder_sockets.more_to_read;
        self.context
            .poller
            .wait(clock.read(), at_once, &mut ready)?;
        self.context.now = clock.read();
        for readiness in ready {
            match readiness.token.component {
                context::LINK_LISTENER => self.accept_forwarders(),
                STOP => self.shut_down_if_asked(),
                context::RELOAD => self.reload_config_if_asked(),
                context::DISCOVERY => self.discovery.on_ready(&mut self.context, readiness),
                context::PROBE => self.probes.on_ready(&mut self.context, readiness),
                _ => self.handle_forwarder_readiness(readiness),
            }
        }
        Ok(())
    }

    fn accept_forwarders(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_READINESS {
            let context = &mut self.context;
            if !context.budget.has_capacity(1) {
                return;
            }
            let Ok(socket) = context.budget.accept(&self.listener) else {
                return;
            };
            let connection = context.next_generation();
            let token = PollToken {
                component: LINK,
                slot: 0,
                generation: connection,
            };
            if context.poller.register(&socket, token).is_err() {
                // The socket is closed, and the forwarder reconnects.
                context.record_transient_failure("epoll_ctl");
                continue;
            }
            let socket = LinkConnection::new(socket, connection, true);
            self.forwarder_sockets.by_id.insert(connection, socket);
            self.planner
                .accept(context.now, connection, &mut self.actions);
        }
    }

    fn handle_forwarder_readiness(&mut self, readiness: Readiness) {
        if let Some(socket) = self
            .forwarder_sockets
            .by_id
            .get_mut(&readiness.token.generation)
        {
            socket.on_ready(readiness);
        }
    }

    fn connection_lost(&mut self, connection: u32, why: &str) {
        self.forwarder_sockets.by_id.remove(&connection);
        self.planner
            .connection_lost(connection, why, &mut self.actions);
    }

    fn connections_lost(&mut self, closed: ClosedConnections) {
        for (connection, why) in closed {
            self.connection_lost(connection, why);
        }
    }

    /// Processes one turn after the wait: reads forwarders and discovery, decides, writes to forwarders and carries out actions.
    fn run_turn(&mut self) {
        let now = self.context.now;
        let (planner, actions) = (&mut self.planner, &mut self.actions);
        let closed = self
            .forwarder_sockets
            .read(|connection, bytes| planner.receive(now, connection, bytes, actions));
        // Reads discovery after the forwarders' heartbeats. Otherwise a decision that answers a heartbeat could miss a drain
        // that was written before that heartbeat was sent.
        self.discovery.read_all(&mut self.context);
        for event in std::mem::take(&mut self.context.events) {
            self.handle_event(event);
        }
        self.handle_due_timers(now);
        self.planner.set_endpoints_stale(self.are_endpoints_stale());
        self.planner.decide(now, &mut self.actions);
        self.connections_lost(closed);
        let planner = &mut self.planner;
        let closed = self.forwarder_sockets.write(|connection, socket| {
            let count = socket.write(planner.outgoing(connection))?;
            planner.mark_sent(connection, count);
            Ok(())
        });
        self.connections_lost(closed);
        for action in std::mem::take(&mut self.actions) {
            self.carry_out(action);
        }
    }

    /// Returns whether the endpoint list may lack a drain that counts as delivered. The grace of such a drain is left to
    /// the forwarders, which may start an attempt up to a lease after the decision.
    fn are_endpoints_stale(&self) -> bool {
        let window = &self.context.stale_window;
        let from = window.start.saturating_sub(self.grace);
        (from..window.end).contains(&self.context.now)
    }

    fn handle_due_timers(&mut self, now: Nanos) {
        while let Some((due, timer)) = self.context.poller.pop_expired(now) {
            match due.component {
                context::BALANCER_TIMER => {
                    let zone = due.slot as u16;
                    self.planner
                        .timer_fired(now, zone, timer, &mut self.actions);
                }
                context::PROBE => self.probes.on_timeout(&mut self.context, due),
                context::SWEEP => {
                    self.discovery.sweep(&mut self.context);
                    self.context.check_descriptor_recovery();
                    self.context
                        .poller
                        .set_timer(now + SWEEP_INTERVAL, token(context::SWEEP), 0);
                }
                _ => {}
            }
        }
    }

    /// Passes an event of discovery or of a probe to the planner.
    fn handle_event(&mut self, event: Event) {
        let now = self.context.now;
        match event {
            Event::EndpointsUpdated { kind, endpoints } => {
                let entries = endpoints
                    .iter()
                    .filter_map(|endpoint| self.host_entry(endpoint))
                    .collect();
                if let Some(revision) = self.discovery.confirmed_revision() {
                    self.planner.confirm_hosts(revision);
                }
                self.planner
                    .update_hosts(now, kind, endpoints, entries, &mut self.actions);
            }
            event => self.planner.probe_ended(now, &event, &mut self.actions),
        }
    }

    /// Returns the entry of a host that is sent to forwarders, or `None` if the host is unknown.
    fn host_entry(&self, endpoint: &Endpoint) -> Option<HostEntry> {
        let hosts = &self.context.hosts;
        let record = hosts.record(hosts.index(endpoint.id)?);
        Some(HostEntry {
            id: endpoint.id.0,
            name: record.name.clone(),
            address: record.address,
            state: endpoint.state.into(),
            list_version: self.discovery.confirmed_revision().unwrap_or(0),
        })
    }

    fn carry_out(&mut self, action: PlannerAction) {
        let context = &mut self.context;
        match action {
            PlannerAction::SetTimer { time, zone, timer } => {
                let token = PollToken {
                    component: context::BALANCER_TIMER,
                    slot: zone.into(),
                    generation: 0,
                };
                context.poller.set_timer(time, token, timer);
            }
            PlannerAction::PollEndpoints => self.discovery.poll(context),
            PlannerAction::WatchEndpoints => self.discovery.watch(context),
            PlannerAction::Probe { host } => self.probes.send(context, host),
            PlannerAction::Disconnect { connection } => self.connection_lost(connection, "cut"),
            PlannerAction::Log(text) => info!(context.log, "{}", text),
        }
    }

    fn shut_down_if_asked(&mut self) {
        if self.stop_signal.take() && self.context.may_end_at.is_none() {
            warn!(self.context.log, "asked to stop"; "forwarders" => self.planner.follower_count());
            self.context.may_end_at = Some(self.context.now + SHUTDOWN_TIMEOUT);
            self.planner.shut_down(&mut self.actions);
        }
    }

    /// Reloads the operator's file if a signal asks for it. Only the address of the list service can change while a planner
    /// runs.
    fn reload_config_if_asked(&mut self) {
        if !self.reload_signal.take() {
            return;
        }
        let log = self.context.log.clone();
        let config = match OperatorConfig::read(&self.config_path) {
            Ok(config) => config,
            Err(why) => return warn!(log, "configuration not reloaded"; "why" => why),
        };
        let is_same_role = config.role == Role::Plan(self.role_config.clone());
        if !is_same_role || config.planners.len() != self.planner_count {
            warn!(log, "kept until the next start"; "parts" => "plan planners");
        }
        let address = config.node_config.discovery;
        info!(log, "configuration reloaded"; "discovery" => %address);
        if address != self.discovery_address {
            self.discovery_address = address;
            self.discovery.switch_service(&mut self.context, address);
        }
    }
}
