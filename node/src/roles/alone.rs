//! The single node, which decides for itself: its start, its signals and its one loop. It owns the order of a turn: gather what is ready,
//! hand it to the module in one go with one reading of the clock, carry out what came back. It must
//! never decide anything that the module decides, nor wait for anything but the poller.

use crate::connections::probe::Probes;
use crate::connections::Connections;
use crate::context::{self, mark, Context, START_WITHIN};
use crate::discovery::client::DiscoveryClient;
use crate::discovery::hosts::ListSource;
use crate::discovery::list::EndpointList;
use crate::operators::files::{self, NotRead};
use crate::operators::node_config::NodeConfig;
use crate::operators::operator_config::{self, OperatorConfig, Role};
use crate::operators::ops::{Call, Ops, Reply};
use crate::operators::tally::Now;
use crate::peers::fleet::Fleet;
use crate::peers::wards::Wards;
use crate::peers::words::{Correspondence, Peers};
use crate::ready::Ready;
use crate::roles::succession::{Knowledge, Succession};
use crate::{AtStart, BEYOND_EXPIRY, SWEEP};
use reedferry::{Action, Balancer, BalancerSettings, Event, Idempotency};
use reedferry_membership::State;
use reedferry_runtime::{Clock, Errno, Signal, Socket};
use reedferry_settings::renewal;
use slog::{info, warn};
use std::path::Path;

/// Where a node finds its papers.
pub enum Told<'a> {
    /// In the file that the environment names, as the platform has it.
    Environment,
    /// In the file that an operator's file names.
    Operator(&'a Path),
}

impl Told<'_> {
    fn node_config(&self) -> Result<(NodeConfig, Option<Correspondence>), NotRead> {
        match self {
            Told::Environment => {
                let node_config = NodeConfig::read()?;
                let reach = operator_config::reach(&node_config, None, &[]);
                Ok((node_config, reach.map_err(|(_, why)| why)?))
            }
            Told::Operator(path) => match OperatorConfig::read(path)? {
                OperatorConfig {
                    node_config,
                    role: Role::Node(correspondence),
                    ..
                } => Ok((node_config, correspondence)),
                OperatorConfig { role, .. } => {
                    Err(format!("{} is for `reedferry {}`", path.display(), role.word()).into())
                }
            },
        }
    }
}

struct Node<'a> {
    told: Told<'a>,
    context: Context,
    module: Balancer,
    connections: Connections,
    discovery: DiscoveryClient,
    probes: Probes,
    peers: Option<Peers>,
    fleet: Option<Fleet>,
    wards: Option<Wards>,
    correspondence: Option<Correspondence>,
    succession: Succession,
    /// What the module is told where nobody goes on with the clients of a node that stops.
    parting: Option<Event>,
    ops: Option<Ops>,
    stop: Signal,
    reread: Signal,
    /// Its papers could not be read for a moment when they were to be.
    unread: bool,
    node_config: NodeConfig,
    actions: Vec<Action>,
    ready: Ready,
    /// Whether every event and action of the module is logged.
    trace: bool,
}

pub fn run(told: Told, start: AtStart) -> Result<(), String> {
    let (mut node_config, correspondence) =
        files::read_at_start(START_WITHIN, || told.node_config())?;
    let clock = Clock::start();
    let (mut context, backlog) = Context::open(&node_config, &clock, &start)?;
    let mut succession = Succession::open(&mut context, &node_config)?;
    let mut knowledge = succession.begin(&mut context, &clock);
    if let Some(knowledge) = &mut knowledge {
        renewal::keep(
            (
                &mut node_config.balancer_settings,
                &mut node_config.node_settings,
            ),
            std::mem::take(&mut knowledge.held),
        );
        (context.node_settings, context.classes) = (
            node_config.node_settings.clone(),
            node_config.balancer_settings.classes.clone(),
        );
    }
    let knowledge = knowledge.map(|e| e.in_terms_of(&node_config.node_settings.classes));
    let ops = node_config
        .ops
        .map(|at| Ops::open(&mut context, &at))
        .transpose()?;
    let (now, log) = (context.now, context.log.clone());
    let mut actions = Vec::new();
    let fleet = correspondence.as_ref().and_then(|c| c.fleet.as_ref());
    let fleet = fleet
        .map(|node_settings| Fleet::open(&mut context, node_settings, &node_config))
        .transpose()?;
    let wards = fleet.as_ref().and_then(|fleet| {
        let node_settings = correspondence.as_ref()?.fleet.as_ref()?.wards.as_ref()?;
        let BalancerSettings {
            node_index: node,
            node_count: nodes,
            ..
        } = node_config.balancer_settings;
        Some(Wards::new(
            &context,
            node_settings,
            node,
            nodes,
            fleet.life(),
        ))
    });
    let peers = correspondence.as_ref().filter(|c| c.fleet.is_none());
    let peers = peers
        .map(|correspondence| Peers::open(&mut context, correspondence))
        .transpose()?;
    let module = Balancer::new(
        node_config.balancer_settings.clone(),
        node_config.seed,
        now,
        &mut actions,
    );
    let mut revision = context.known(&node_config)?;
    if let Some(Knowledge {
        discovery,
        revision: reached,
        members,
        legacy,
        ..
    }) = knowledge
    {
        // What another process was told last is newer than what this one was started with.
        let roll = EndpointList {
            revision: reached.unwrap_or(0),
            complete: true,
            members,
        };
        let event = context
            .hosts
            .apply_list(context.now, roll, ListSource::Cached, &context.log);
        context
            .events
            .extend([event, Event::StateInherited(Box::new(legacy))]);
        revision = reached.filter(|_| discovery == node_config.discovery);
    }
    let hosts = context.hosts.count();
    // The system deals out the port where none is named.
    let listen = succession
        .listener()
        .and_then(Socket::local_address)
        .unwrap_or(node_config.listen);
    info!(log, "started"; "listen" => %listen, "hosts" => hosts, "revision" => revision,
        "sockets" => node_config.sockets, "memory_mb" => node_config.memory >> 20);
    let AtStart { stop, reread } = start;
    let mut node = Node {
        told,
        context,
        module,
        connections: Connections::default(),
        discovery: DiscoveryClient::new(
            node_config.discovery,
            revision,
            &node_config.balancer_settings,
            node_config.node_settings.drain_grace,
            now,
        ),
        probes: Probes::default(),
        peers,
        fleet,
        wards,
        correspondence,
        succession,
        parting: None,
        ops,
        stop,
        reread,
        unread: false,
        node_config,
        actions,
        ready: Ready::default(),
        trace: std::env::var_os("REEDFERRY_TRACE").is_some(),
    };
    // Guards: clients handed to hosts that drain, by a process that asks for a pushed list only when it first looks round:
    // what that says counts as told from the process's start.
    node.discovery.sweep(&mut node.context);
    node.context
        .poller
        .set_timer(now + SWEEP, mark(context::SWEEP), 0);
    loop {
        node.decide();
        node.guard();
        backlog.drain();
        let late = |t| node.context.now >= t || node.succession.over();
        if node.context.leaving.is_some_and(late) && node.connections.count() == 0 {
            let Node { fleet, context, .. } = &mut node;
            fleet.iter_mut().for_each(|fleet| fleet.ends(context));
            info!(log, "stopped");
            backlog.drain();
            return Ok(());
        }
        node.gather(&clock)
            .map_err(|e| format!("cannot poll: {e}"))?;
    }
}

impl Node<'_> {
    /// Gathers what has come since the last turn.
    fn gather(&mut self, clock: &Clock) -> Result<(), Errno> {
        let behind = self.ready.is_behind();
        let mut ready = Vec::new();
        let at_once = behind || !self.context.events.is_empty() || self.connections.has_runnable();
        let waited = clock.read();
        self.context.poller.wait(waited, at_once, &mut ready)?;
        let before = self.context.look_round(waited, clock.read(), behind);
        self.ready.add(ready);
        self.fleet
            .iter_mut()
            .for_each(|fleet| fleet.mind(&mut self.context));
        // Guards: an operator who waits behind a crowd of clients; clients handed to a host that drains, by the word
        // of a list that came before them, while the process stood still.
        self.ready.order_by(|one| match one.token.component {
            context::DISCOVERY => 0,
            context::OPS | context::OPS_LISTENER => 1,
            _ => 2,
        });
        if self.context.now > before + 2 * SWEEP {
            self.discovery.read_all(&mut self.context);
        }
        while let Some(one) = self.ready.next(self.context.now, clock) {
            let context = &mut self.context;
            match one.token.component {
                context::LISTENER => self.connections.accept(context, self.succession.listener()),
                context::STOP => self.part(),
                context::REREAD => self.read_again(),
                context::DISCOVERY => self.discovery.on_ready(context, one),
                context::PROBE => self.probes.on_ready(context, one),
                context::OPS_LISTENER => self.ops.iter_mut().for_each(|ops| ops.accept(context)),
                context::OPS => self.ops.iter_mut().for_each(|ops| ops.ready(context, one)),
                context::SUCCESSOR_LISTENER | context::SUCCESSOR | context::PREDECESSOR => {
                    self.succession.ready(context, &mut self.connections, one);
                }
                context::PEERS => {
                    self.peers.iter_mut().for_each(|peers| peers.ready(context));
                    self.fleet.iter_mut().for_each(|fleet| fleet.ready(context));
                }
                _ => self.connections.on_ready(context, one),
            }
        }
        while let Some((caller, call)) = self.ops.as_mut().and_then(Ops::next) {
            let reply = self.called(call);
            self.ops
                .iter_mut()
                .for_each(|ops| ops.reply(&mut self.context, caller, &reply));
        }
        if self.connections.has_runnable() {
            self.connections
                .resume_runnable(&mut self.context, self.succession.listener());
        }
        while let Some((mark, word)) = self.context.poller.pop_expired(self.context.now) {
            let context = &mut self.context;
            match mark.component {
                context::MODULE => context.events.push(Event::TimerFired { timer: word }),
                context::HOST => self.connections.on_timer(context, mark, word),
                context::PROBE => self.probes.on_timeout(context, mark),
                context::RETRY => self.connections.retry(context),
                context::CHANNEL_RETRY => self.succession.retry(context, &mut self.connections),
                context::WARDS => self.wards.iter_mut().for_each(|wards| wards.due(context)),
                context::FLEET => self.fleet.iter_mut().for_each(|fleet| fleet.due(context)),
                _ => self.sweep(),
            }
        }
        if let (Some(wards), Some(fleet)) = (&mut self.wards, &mut self.fleet) {
            wards.turn(&mut self.context, fleet);
        }
        self.pass_on();
        Ok(())
    }

    /// Leaves another process what this one knows, and when it stops its connections; without one, the module
    /// sends the clients away.
    fn pass_on(&mut self) {
        let context = &mut self.context;
        if self.succession.wanted() {
            let knowledge = Knowledge {
                discovery: self.node_config.discovery,
                clock_ahead: context.clock.offset(),
                revision: self.discovery.revision(),
                members: context.hosts.members(),
                classes: context.node_settings.classes.clone(),
                held: self.connections.classes_in_use(context),
                legacy: self.module.leave(),
            };
            self.succession
                .leave(context, &mut self.connections, &knowledge);
        }
        if context.leaving.is_some() {
            self.succession.pass_on(context, &mut self.connections);
        }
        if !self.succession.has_successor() {
            context.events.extend(self.parting.take());
        }
    }

    /// Hands what was gathered to the module and carries out what it orders.
    fn decide(&mut self) {
        let idempotencies: Vec<Idempotency> = match &self.wards {
            Some(_) => self
                .node_config
                .balancer_settings
                .classes
                .iter()
                .map(|o| o.idempotency)
                .collect(),
            None => Vec::new(),
        };
        for event in std::mem::take(&mut self.context.events) {
            let event = match &mut self.wards {
                Some(wards) => wards.before(&mut self.context, &idempotencies, event),
                None => Some(event),
            };
            let Some(event) = event else { continue };
            if self.trace {
                info!(self.context.log, "event {:?}", event);
            }
            self.module
                .handle(self.context.now, event, &mut self.actions);
        }
        for action in std::mem::take(&mut self.actions) {
            let context = &mut self.context;
            if self.trace {
                info!(context.log, "action {:?}", action);
            }
            let action = match &mut self.wards {
                Some(wards) => wards.ahead(context, action),
                None => Some(action),
            };
            let Some(action) = action else { continue };
            let Some(action) = self.connections.perform(context, action) else {
                continue;
            };
            match action {
                Action::SetTimer { time, timer: word } => {
                    context.poller.set_timer(time, mark(context::MODULE), word);
                }
                Action::PollEndpoints => self.discovery.poll(context),
                Action::WatchEndpoints => self.discovery.watch(context),
                Action::Probe { host } => self.probes.send(context, host),
                Action::Gossip { message } => {
                    self.peers.iter().for_each(|peers| peers.tell(&message));
                    self.fleet.iter().for_each(|fleet| fleet.tell(&message));
                }
                Action::Log(text) => info!(context.log, "{}", text),
                // The connection has carried out the rest.
                _ => {}
            }
        }
    }

    /// What wards let go ahead, and what they ask of others.
    fn guard(&mut self) {
        let (Some(wards), Some(fleet)) = (&mut self.wards, &mut self.fleet) else {
            return;
        };
        wards.turn(&mut self.context, fleet);
        for action in wards.ready() {
            self.connections.perform(&mut self.context, action);
        }
    }

    fn sweep(&mut self) {
        // Whatever the poller has said of them.
        self.part();
        self.read_again();
        let context = &mut self.context;
        self.ops.iter_mut().for_each(|ops| ops.sweep(context));
        self.connections.accept(context, self.succession.listener());
        self.connections.sweep(context);
        context.spare();
        self.succession.sweep(context, &mut self.connections);
        self.discovery.sweep(context);
        let (shares, looks) = (
            self.module.shares_turns(context.now),
            self.node_config.balancer_settings.load_from_probes,
        );
        if let Some(fleet) = &mut self.fleet {
            fleet.sweep(context);
            fleet.serve(context, shares, looks);
        }
        context
            .hosts
            .report_latencies(context.now, &mut context.events);
        context
            .poller
            .set_timer(context.now + SWEEP, mark(context::SWEEP), 0);
    }

    /// Does what operators ask for, and says how it stands.
    fn called(&mut self, call: Call) -> Reply {
        let (stops, stands_by) = (
            self.context.leaving.is_some(),
            self.context.standby.is_some(),
        );
        let held = self.connections.count();
        match call {
            Call::Figures => {
                let (hosts_known, hosts_excluded) = self.module.regard(self.context.now);
                let in_flight = self.connections.in_flight();
                Reply::new(
                    200,
                    self.context.tally.text(&Now {
                        in_flight,
                        hosts_known,
                        hosts_excluded,
                    }),
                )
            }
            Call::Fleet => match &self.fleet {
                Some(fleet) => Reply::new(
                    200,
                    fleet.text(self.context.now, self.wards.as_ref().map(Wards::figures)),
                ),
                None => Reply::new(404, "no fleet\n"),
            },
            Call::Status if stops => Reply::new(503, "stopping\n"),
            Call::Status if stands_by => Reply::new(503, "standby\n"),
            Call::Status if self.module.regard(self.context.now).0 == 0 => {
                Reply::new(503, "no hosts known\n")
            }
            Call::Status => Reply::new(200, "ready\n"),
            Call::Active if stops => Reply::new(409, "stopping\n"),
            Call::Standby if stops => Reply::new(200, "stopping\n"),
            Call::Standby => {
                if !stands_by {
                    let event = self.context.stand_by(held);
                    self.context.events.push(event);
                    self.stands(State::Standby);
                }
                Reply::new(200, "standby\n")
            }
            Call::Active => {
                if stands_by {
                    let event = self.context.back_to_work();
                    self.context.events.push(event);
                    self.stands(State::Working);
                }
                Reply::new(200, "active\n")
            }
        }
    }

    fn part(&mut self) {
        if !self.stop.take() || self.context.leaving.is_some() {
            return;
        }
        self.succession.part(&self.context);
        self.parting = Some(self.context.leave(BEYOND_EXPIRY, self.connections.count()));
        self.stands(State::Leaving);
    }

    /// Tells the fleet how this node stands.
    fn stands(&mut self, state: State) {
        let Node { fleet, context, .. } = self;
        fleet
            .iter_mut()
            .for_each(|fleet| fleet.stands(context, state));
    }

    /// Takes the papers up afresh: discovery and settings may change in a node that runs.
    fn read_again(&mut self) {
        if !self.reread.take() && !std::mem::take(&mut self.unread) {
            return;
        }
        let fresh = match self.told.node_config() {
            // Guards: settings that are never taken up, as their file could not be read for a moment.
            Err(NotRead::Moment(why)) => {
                self.context.machine_trouble("open");
                if self.context.request_lines.allow(self.context.now) {
                    warn!(self.context.log, "papers are read again soon"; "why" => why);
                }
                self.unread = true;
                return;
            }
            other => other.map_err(String::from),
        };
        // Guards: a node ended or led astray by papers that are half written or wrong.
        let checked = fresh.and_then(|fresh| self.node_config.whole_in(&fresh.0).map(|()| fresh));
        self.context.tally.reread(checked.is_ok());
        let (mut fresh, correspondence) = match checked {
            Ok(fresh) => fresh,
            Err(why) => return warn!(self.context.log, "papers not taken up"; "why" => why),
        };
        let mut kept = self.node_config.kept_from(&fresh);
        let fleet = correspondence.as_ref().and_then(|c| c.fleet.as_ref());
        let same = match (&mut self.fleet, fleet) {
            (Some(fleet), Some(node_settings)) => {
                let place = (
                    fresh.balancer_settings.node_index,
                    fresh.balancer_settings.node_count,
                );
                fleet.renew(&mut self.context, node_settings, place)
            }
            _ => correspondence == self.correspondence,
        };
        if !same {
            kept.push("peers");
            fresh.balancer_settings.gossip_enabled =
                self.node_config.balancer_settings.gossip_enabled;
        }
        if !kept.is_empty() {
            warn!(self.context.log, "kept until the next start"; "parts" => kept.join(" "));
        }
        info!(self.context.log, "papers read again"; "discovery" => %fresh.discovery);
        self.retune(&mut fresh);
        let moved = fresh.discovery != self.node_config.discovery;
        self.node_config = fresh;
        if moved {
            self.discovery
                .switch_service(&mut self.context, self.node_config.discovery);
        }
    }

    /// Goes by other settings from here on. What is under way keeps its offering.
    fn retune(&mut self, fresh: &mut NodeConfig) {
        let NodeConfig {
            balancer_settings,
            node_settings,
            ..
        } = &mut self.node_config;
        let told = (fresh.balancer_settings.clone(), fresh.node_settings.clone());
        let zones = node_settings.zones != told.1.zones;
        let others = renewal::renew((balancer_settings, node_settings), told, |n| {
            self.connections.uses_class(n)
        });
        (fresh.balancer_settings, fresh.node_settings) =
            (balancer_settings.clone(), node_settings.clone());
        let context = &mut self.context;
        (context.node_settings, context.classes) =
            (node_settings.clone(), balancer_settings.classes.clone());
        context.tally.offers(&node_settings.classes);
        context.hosts.update_settings(
            node_settings.zones.clone(),
            balancer_settings.shortest_message_latency_objective(),
        );
        self.discovery
            .update_settings(balancer_settings, node_settings.drain_grace);
        context.events.push(Event::SettingsChanged(
            Box::new(balancer_settings.clone()),
            others,
        ));
        if zones {
            // Hosts are known by the places of their zones, those that are gone too while anything may go by them. Guards: a
            // repeat matched against the zone that now has the place of the one in which it may have run.
            let members = [context.hosts.members(), context.hosts.former_members()].concat();
            let roll = EndpointList {
                revision: self.discovery.revision().unwrap_or(0),
                complete: true,
                members,
            };
            let event =
                context
                    .hosts
                    .apply_list(context.now, roll, ListSource::Cached, &context.log);
            context.events.push(event);
        }
    }
}
