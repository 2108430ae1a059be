//! One turn of a standalone node: collects events, passes them to the balancer and carries out its actions.

use super::Node;
use crate::context::{self, token};
use crate::operators::api::OperatorApi;
use crate::roles::hot_restart::TransferredState;
use crate::{SHUTDOWN_MARGIN, SWEEP_INTERVAL};
use reedferry::{Action, Event, Idempotency, Nanos};
use reedferry_membership::MemberState;
use reedferry_runtime::{Clock, Errno, PollToken, Readiness};
use slog::info;

impl Node<'_> {
    /// Waits for the poller, then serves the ready sockets, the operators' requests and the due timers. The resulting events
    /// wait in the context until [`Node::decide`].
    pub(super) fn collect_events(&mut self, clock: &Clock) -> Result<(), Errno> {
        let previous_turn = self.poll(clock)?;
        self.order_ready();
        if self.context.now > previous_turn + 2 * SWEEP_INTERVAL {
            self.discovery.read_all(&mut self.context);
        }
        while let Some(ready) = self.ready.next(self.context.now, clock) {
            self.handle_ready(ready);
        }
        self.answer_operators();
        if self.connections.has_runnable() {
            self.connections
                .resume_runnable(&mut self.context, self.hot_restart.listener());
        }
        while let Some((token, timer)) = self.context.poller.pop_expired(self.context.now) {
            self.handle_timer(token, timer);
        }
        if let (Some(replication), Some(fleet)) = (&mut self.replication, &mut self.fleet) {
            replication.exchange_messages(&mut self.context, fleet);
        }
        self.hand_over();
        Ok(())
    }

    /// Waits for the poller, and returns the time at which the previous turn began.
    fn poll(&mut self, clock: &Clock) -> Result<Nanos, Errno> {
        let has_unserved = self.ready.has_unserved();
        let at_once =
            has_unserved || !self.context.events.is_empty() || self.connections.has_runnable();
        let mut ready = Vec::new();
        let wait_started = clock.read();
        self.context
            .poller
            .wait(wait_started, at_once, &mut ready)?;
        let previous_turn = self
            .context
            .begin_turn(wait_started, clock.read(), has_unserved);
        self.ready.add(ready);
        if let Some(fleet) = &mut self.fleet {
            fleet.refresh_quota(&mut self.context);
        }
        Ok(previous_turn)
    }

    /// Moves discovery to the front of the ready sockets, followed by operators and the other process of an upgrade. Otherwise
    /// operators would wait behind a large number of clients, a client could come again with an id before the other process's
    /// notice about it is read, and after a stall of the process clients would be sent to a draining host because of an outdated
    /// endpoint list.
    fn order_ready(&mut self) {
        self.ready.order_by(|ready| match ready.token.component {
            context::DISCOVERY => 0,
            context::OPS | context::OPS_LISTENER => 1,
            context::SUCCESSOR | context::PREDECESSOR => 2,
            _ => 3,
        });
    }

    fn handle_ready(&mut self, ready: Readiness) {
        let context = &mut self.context;
        match ready.token.component {
            context::LISTENER => self
                .connections
                .accept(context, self.hot_restart.listener()),
            context::STOP => self.stop_if_asked(),
            context::RELOAD => self.reload_if_asked(),
            context::DISCOVERY => self.discovery.on_ready(context, ready),
            context::PROBE => self.probes.on_ready(context, ready),
            context::OPS_LISTENER => {
                if let Some(api) = &mut self.operator_api {
                    api.accept(context);
                }
            }
            context::OPS => {
                if let Some(api) = &mut self.operator_api {
                    api.on_ready(context, ready);
                }
            }
            context::SUCCESSOR_LISTENER | context::SUCCESSOR | context::PREDECESSOR => {
                self.hot_restart
                    .on_ready(context, &mut self.connections, ready);
            }
            context::PEERS => {
                if let Some(peers) = &mut self.peers {
                    peers.on_readable(context);
                }
                if let Some(fleet) = &mut self.fleet {
                    fleet.on_readable(context);
                }
            }
            _ => self.connections.on_ready(context, ready),
        }
    }

    fn answer_operators(&mut self) {
        while let Some((caller, request)) = self
            .operator_api
            .as_mut()
            .and_then(OperatorApi::next_request)
        {
            let response = self.answer(request);
            if let Some(api) = &mut self.operator_api {
                api.respond(&mut self.context, caller, &response);
            }
        }
    }

    fn handle_timer(&mut self, token: PollToken, timer: u64) {
        let context = &mut self.context;
        match token.component {
            context::BALANCER_TIMER => context.events.push(Event::TimerFired { timer }),
            context::HOST => self.connections.on_timer(context, token, timer),
            context::PROBE => self.probes.on_timeout(context, token),
            context::CONNECTION_RETRY => self.connections.retry(context),
            context::CHANNEL_RETRY => self.hot_restart.retry(context, &mut self.connections),
            context::REPLICATION_TIMER => {
                if let Some(replication) = &mut self.replication {
                    replication.on_timer(context);
                }
            }
            context::FLEET_TIMER => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.on_timer(context);
                }
            }
            _ => self.sweep(),
        }
    }

    /// Transfers the state to a successor that has requested it, and the connections once this node stops. Without a successor,
    /// passes the shutdown event on, so that the balancer migrates the clients.
    fn hand_over(&mut self) {
        let context = &mut self.context;
        if self.hot_restart.take_state_request() {
            let state = TransferredState {
                discovery: self.node_config.discovery,
                clock_offset: context.clock.offset(),
                revision: self.discovery.revision(),
                members: context.hosts.members(),
                classes: context.settings.classes.clone(),
                referenced_classes: self.connections.classes_in_use(context),
                inherited: self.balancer.export_state(),
            };
            self.hot_restart
                .send_state(context, &mut self.connections, &state);
        }
        if context.may_end_at.is_some() {
            self.hot_restart.hand_over(context, &mut self.connections);
        }
        if !self.hot_restart.has_successor() {
            context.events.extend(self.pending_shutdown.take());
        }
    }

    /// Passes the collected events to the balancer and carries out its actions.
    pub(super) fn decide(&mut self) {
        self.feed_events();
        for action in std::mem::take(&mut self.actions) {
            if self.trace {
                info!(self.context.log, "action {:?}", action);
            }
            let action = match &mut self.replication {
                Some(replication) => replication.intercept_action(&mut self.context, action),
                None => Some(action),
            };
            if let Some(action) = action {
                self.carry_out(action);
            }
        }
    }

    fn feed_events(&mut self) {
        let idempotencies: Vec<Idempotency> = match &self.replication {
            Some(_) => self
                .node_config
                .balancer_settings
                .classes
                .iter()
                .map(|class| class.idempotency)
                .collect(),
            None => Vec::new(),
        };
        for event in std::mem::take(&mut self.context.events) {
            let event = match &mut self.replication {
                Some(replication) => {
                    replication.intercept_event(&mut self.context, &idempotencies, event)
                }
                None => Some(event),
            };
            let Some(event) = event else { continue };
            if self.trace {
                info!(self.context.log, "event {:?}", event);
            }
            self.balancer
                .handle(self.context.now, event, &mut self.actions);
        }
    }

    fn carry_out(&mut self, action: Action) {
        let context = &mut self.context;
        let Some(action) = self.connections.perform(context, action) else {
            return;
        };
        match action {
            Action::SetTimer { time, timer } => {
                context
                    .poller
                    .set_timer(time, token(context::BALANCER_TIMER), timer);
            }
            Action::PollEndpoints => self.discovery.poll(context),
            Action::WatchEndpoints => self.discovery.watch(context),
            Action::Probe { host } => self.probes.send(context, host),
            Action::Gossip { message } => {
                if let Some(peers) = &self.peers {
                    peers.broadcast_gossip(&message);
                }
                if let Some(fleet) = &self.fleet {
                    fleet.broadcast_gossip(&message);
                }
            }
            Action::Log(text) => info!(context.log, "{}", text),
            // All other actions were carried out by `Connections::perform`.
            _ => {}
        }
    }

    /// Exchanges replication messages with other nodes, and carries out the actions that this releases.
    pub(super) fn replicate(&mut self) {
        let (Some(replication), Some(fleet)) = (&mut self.replication, &mut self.fleet) else {
            return;
        };
        for receipt in self.connections.take_answer_receipts() {
            replication.on_answer_receipt(&mut self.context, receipt);
        }
        replication.exchange_messages(&mut self.context, fleet);
        for action in replication.take_released_actions() {
            self.connections.perform(&mut self.context, action);
        }
    }

    /// Checks the signals and serves every part of the node at a fixed interval, regardless of what the poller has reported.
    fn sweep(&mut self) {
        self.stop_if_asked();
        self.reload_if_asked();
        let context = &mut self.context;
        if let Some(api) = &mut self.operator_api {
            api.sweep(context);
        }
        self.connections
            .accept(context, self.hot_restart.listener());
        self.connections.sweep(context);
        context.check_descriptor_recovery();
        self.hot_restart.sweep(context, &mut self.connections);
        self.discovery.sweep(context);
        let uses_slow_start_slots = self.balancer.uses_slow_start_slots(context.now);
        let load_from_probes = self.node_config.balancer_settings.load_from_probes;
        if let Some(fleet) = &mut self.fleet {
            fleet.sweep(context);
            fleet.update_assignments(context, uses_slow_start_slots, load_from_probes);
        }
        if let Some(replication) = &mut self.replication {
            replication.sweep(context.now);
        }
        context
            .hosts
            .report_latencies(context.now, &mut context.events);
        context
            .poller
            .set_timer(context.now + SWEEP_INTERVAL, token(context::SWEEP), 0);
    }

    /// Tells the other process of an upgrade which requests have been attempted.
    pub(super) fn exchange_id_notices(&mut self) {
        self.hot_restart
            .exchange_id_notices(&mut self.context, &mut self.connections);
    }

    fn stop_if_asked(&mut self) {
        if !self.stop_signal.take() || self.context.may_end_at.is_some() {
            return;
        }
        self.hot_restart.stop_accepting(&self.context);
        let shutdown = self
            .context
            .begin_shutdown(SHUTDOWN_MARGIN, self.connections.count());
        self.pending_shutdown = Some(shutdown);
        self.announce(MemberState::Leaving);
    }

    /// Returns whether this node was asked to stop, has no connections left, and has either reached the earliest time to end or can
    /// receive no more clients.
    pub(super) fn has_stopped(&self) -> bool {
        let may_end =
            |from: Nanos| self.context.now >= from || self.hot_restart.receives_no_more_clients();
        self.context.may_end_at.is_some_and(may_end) && self.connections.count() == 0
    }

    /// Announces this node's state to the fleet, if it belongs to one.
    pub(super) fn announce(&mut self, state: MemberState) {
        if let Some(fleet) = &mut self.fleet {
            fleet.announce(&mut self.context, state);
        }
    }

    /// Leaves the fleet, if this node belongs to one, because the process ends.
    pub(super) fn leave_fleet(&mut self) {
        if let Some(fleet) = &mut self.fleet {
            fleet.leave(&mut self.context);
        }
    }
}
