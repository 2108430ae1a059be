//! A planner: the planner's end of the link, with the modules in it, and discovery. It owns the sockets of
//! forwarders and the order of a turn: read forwarders, then discovery, then decide, then send. That order
//! holds the drains: what a forwarder asked for before it could know of one is never decided under a roll
//! that is older than the beat which the order answers. It must never take a client.

use crate::connections::link::{LinkConnection, LinkConnections};
use crate::connections::probe::Probes;
use crate::context::{self, mark, Context, LINK, STOP};
use crate::discovery::client::DiscoveryClient;
use crate::operators::node_config::NodeConfig;
use crate::operators::operator_config::{OperatorConfig, Plans, Role};
use crate::{AtStart, SWEEP};
use reedferry::{Endpoint, Event, Nanos, MILLI};
use reedferry_control_plane::{HostEntry, Planner, PlannerAction, PlannerConfig};
use reedferry_runtime::{Clock, Errno, PollToken, Readiness, Signal, Socket};
use slog::{info, warn};
use std::path::{Path, PathBuf};

/// How long a planner that stops waits for its forwarders to follow another.
const LONGEST_STAY: Nanos = 700 * MILLI;
/// Forwarders taken in at once.
const ACCEPTS: usize = 64;

struct Plan {
    context: Context,
    core: Planner,
    discovery: DiscoveryClient,
    probes: Probes,
    /// The connections of forwarders, by the core's name for each.
    wires: LinkConnections,
    listener: Socket,
    stop: Signal,
    reread: Signal,
    path: PathBuf,
    plans: Plans,
    planners: usize,
    at: std::net::SocketAddr,
    orders: Vec<PlannerAction>,
}

pub fn run(path: &Path, start: AtStart) -> Result<(), String> {
    let OperatorConfig {
        node_config,
        role,
        planners,
        ..
    } = OperatorConfig::read(path)?;
    let Role::Plan(plans) = role else {
        return Err(format!(
            "{} is for `reedferry {}`",
            path.display(),
            role.word()
        ));
    };
    let clock = Clock::start();
    let (mut context, backlog) = Context::open(&node_config, &clock, &start)?;
    let listener = context.listen(&plans.listen, context::LINK_LISTENER)?;
    let listen = listener.local_address().unwrap_or(plans.listen);
    let remit = PlannerConfig {
        name: plans.name.clone(),
        zones: node_config.node_settings.zones.len().max(1) as u16,
        place: plans.place,
        planners: planners.len() as u32,
        fingerprint: node_config.fingerprint(),
        silent: plans.silent,
        settle: plans.settle,
        most_held: plans.most_held,
        balancer_settings: node_config.balancer_settings.clone(),
    };
    let mut orders = Vec::new();
    let core = Planner::new(remit, node_config.seed, context.now, &mut orders);
    let revision = context.known(&node_config)?;
    let log = context.log.clone();
    let hosts = context.hosts.count();
    info!(log, "started"; "listen" => %listen, "role" => "plan", "name" => &plans.name, "hosts" => hosts,
        "revision" => revision);
    context
        .poller
        .set_timer(context.now + SWEEP, mark(context::SWEEP), 0);
    let AtStart { stop, reread } = start;
    let NodeConfig {
        balancer_settings,
        node_settings,
        ..
    } = &node_config;
    let discovery = DiscoveryClient::new(
        node_config.discovery,
        revision,
        balancer_settings,
        node_settings.drain_grace,
        context.now,
    );
    let mut plan = Plan {
        context,
        core,
        discovery,
        probes: Probes::default(),
        wires: LinkConnections::default(),
        listener,
        stop,
        reread,
        path: path.to_path_buf(),
        planners: planners.len(),
        plans,
        at: node_config.discovery,
        orders,
    };
    loop {
        plan.turn();
        backlog.drain();
        let alone = plan.context.now >= plan.context.start && plan.core.followers() == 0;
        if plan
            .context
            .leaving
            .is_some_and(|t| plan.context.now >= t || alone)
        {
            info!(log, "stopped"; "held" => plan.core.held());
            backlog.drain();
            return Ok(());
        }
        plan.gather(&clock)
            .map_err(|e| format!("cannot poll: {e}"))?;
    }
}

impl Plan {
    fn gather(&mut self, clock: &Clock) -> Result<(), Errno> {
        let next = self.core.next(self.context.now);
        self.context.poller.set_timer(next, mark(context::TICK), 0);
        let mut ready = Vec::new();
        let at_once = !self.context.events.is_empty() || self.wires.more_to_read;
        self.context
            .poller
            .wait(clock.read(), at_once, &mut ready)?;
        self.context.now = clock.read();
        for one in ready {
            match one.token.component {
                context::LINK_LISTENER => self.accept(),
                STOP => self.part(),
                context::REREAD => self.read_again(),
                context::DISCOVERY => self.discovery.on_ready(&mut self.context, one),
                context::PROBE => self.probes.on_ready(&mut self.context, one),
                _ => self.ready(one),
            }
        }
        Ok(())
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            let context = &mut self.context;
            if !context.budget.has_capacity(1) {
                return;
            }
            let Ok(socket) = context.budget.accept(&self.listener) else {
                return;
            };
            let stamp = context.stamp();
            if context
                .poller
                .register(
                    &socket,
                    PollToken {
                        component: LINK,
                        slot: 0,
                        generation: stamp,
                    },
                )
                .is_err()
            {
                // The forwarder calls again.
                context.machine_trouble("epoll_ctl");
                continue;
            }
            self.wires
                .by_line
                .insert(stamp, LinkConnection::new(socket, stamp, true));
            self.core.accept(context.now, stamp, &mut self.orders);
        }
    }

    fn ready(&mut self, ready: Readiness) {
        if let Some(wire) = self.wires.by_line.get_mut(&ready.token.generation) {
            wire.on_ready(ready);
        }
    }

    fn lost(&mut self, line: u32, why: &str) {
        self.wires.by_line.remove(&line);
        self.core.lost(line, why, &mut self.orders);
    }

    /// All of a turn behind the gathering.
    fn turn(&mut self) {
        let now = self.context.now;
        let (core, orders) = (&mut self.core, &mut self.orders);
        let ended = self
            .wires
            .read(|line, bytes| core.came(now, line, bytes, orders));
        // Behind the forwarders' beats. Guards: a drain that was written before a beat was sent, and that an
        // order under that beat does not know.
        self.discovery.read_all(&mut self.context);
        for event in std::mem::take(&mut self.context.events) {
            self.told(event);
        }
        while let Some((mark, word)) = self.context.poller.pop_expired(now) {
            match mark.component {
                context::MODULE => self
                    .core
                    .timer(now, mark.slot as u16, word, &mut self.orders),
                context::PROBE => self.probes.on_timeout(&mut self.context, mark),
                context::SWEEP => {
                    self.discovery.sweep(&mut self.context);
                    self.context.spare();
                    self.context.poller.set_timer(
                        now + SWEEP,
                        crate::context::mark(context::SWEEP),
                        0,
                    );
                }
                _ => {}
            }
        }
        self.core.decide(now, &mut self.orders);
        ended
            .into_iter()
            .for_each(|(line, why)| self.lost(line, why));
        let core = &mut self.core;
        let ended = self.wires.write(|line, wire| {
            let count = wire.write(core.outgoing(line))?;
            core.sent(line, count);
            Ok(())
        });
        ended
            .into_iter()
            .for_each(|(line, why)| self.lost(line, why));
        for order in std::mem::take(&mut self.orders) {
            self.carry_out(order);
        }
    }

    fn told(&mut self, event: Event) {
        let now = self.context.now;
        match event {
            Event::EndpointsUpdated {
                kind,
                endpoints: hosts,
            } => {
                let lines = hosts
                    .iter()
                    .filter_map(|listing| self.line(listing))
                    .collect();
                self.core.roll(now, kind, hosts, lines, &mut self.orders);
            }
            event => self.core.probed(now, &event, &mut self.orders),
        }
    }

    /// A host as forwarders are told of it.
    fn line(&self, listing: &Endpoint) -> Option<HostEntry> {
        let record = self
            .context
            .hosts
            .record(self.context.hosts.index(listing.id)?);
        let (name, address) = (record.name.clone(), record.address);
        let as_of = self.discovery.revision().unwrap_or(0);
        Some(HostEntry {
            id: listing.id.0,
            name,
            address,
            stands: listing.state.into(),
            as_of,
        })
    }

    fn carry_out(&mut self, order: PlannerAction) {
        let context = &mut self.context;
        match order {
            PlannerAction::SetTimer { time, zone, mark } => {
                let at = PollToken {
                    component: context::MODULE,
                    slot: zone.into(),
                    generation: 0,
                };
                context.poller.set_timer(time, at, mark);
            }
            PlannerAction::PollEndpoints => self.discovery.poll(context),
            PlannerAction::WatchEndpoints => self.discovery.watch(context),
            PlannerAction::Probe { host } => self.probes.send(context, host),
            PlannerAction::Disconnect { line } => self.lost(line, "cut"),
            PlannerAction::Log(text) => info!(context.log, "{}", text),
        }
    }

    fn part(&mut self) {
        if self.stop.take() && self.context.leaving.is_none() {
            warn!(self.context.log, "asked to stop"; "forwarders" => self.core.followers());
            self.context.leaving = Some(self.context.now + LONGEST_STAY);
            self.core.leave(&mut self.orders);
        }
    }

    /// Takes the papers up afresh: discovery alone may change in a planner that runs.
    fn read_again(&mut self) {
        if !self.reread.take() {
            return;
        }
        let log = self.context.log.clone();
        let fresh = match OperatorConfig::read(&self.path) {
            Ok(fresh) => fresh,
            Err(why) => return warn!(log, "articles not taken up"; "why" => why),
        };
        if fresh.role != Role::Plan(self.plans.clone()) || fresh.planners.len() != self.planners {
            warn!(log, "kept until the next start"; "parts" => "plan planners");
        }
        info!(log, "articles read again"; "discovery" => %fresh.node_config.discovery);
        if fresh.node_config.discovery != self.at {
            self.at = fresh.node_config.discovery;
            self.discovery.switch_service(&mut self.context, self.at);
        }
    }
}
