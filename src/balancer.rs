//! The balancer of one node: it takes events and returns the actions that they require.
//!
//! The caller creates one [`Balancer`] for each node, passes each event to [`Balancer::handle`]
//! with the time of its own clock, and carries out the appended actions in their order.
//! `docs/design.md` gives the reasons for the decisions.
//!
//! Each part (the host records, the request table, the weight optimizer, the connection history,
//! the endpoint poller) owns its state. An event becomes messages to these parts, and handling a
//! message may send more messages. [`Balancer`] handles them in order until the queue is empty. A
//! part may read the state of another part, but only the owner changes it.

mod endpoints;
mod fleet_estimate;
mod inheritance;
mod load_reports;
mod placement;
mod requests;
mod scoring;
mod selection;
mod shutdown;
mod tick;

use crate::action::Action;
use crate::arrival_rate::ArrivalRate;
use crate::connection_history::ConnectionHistory;
use crate::endpoint::HostId;
use crate::endpoint_poller::EndpointPoller;
use crate::event::Event;
use crate::gossip_budget::GossipBudget;
use crate::host::{uses_client_slots, HostContext, HostTable};
use crate::intervals::TICK_INTERVAL;
use crate::load_shedding::LoadShedding;
use crate::messages::{
    HistoryMessage, HostMessage, Message, MessageQueue, PollerMessage, RequestMessage,
};
use crate::recent_setups::RecentSetups;
use crate::request::{AttemptOutcome, RequestId};
use crate::request_table::RequestTable;
use crate::settings::BalancerSettings;
use crate::setup_failures::SetupFailures;
use crate::time::Nanos;
use crate::weight_optimizer::WeightOptimizer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use shutdown::Shutdown;

/// The id of the [`Action::SetTimer`] timer that triggers a tick.
const TICK_TIMER: u64 = 0;
/// The id of the timer that triggers the next migrations of a shutdown.
const MIGRATION_TIMER: u64 = 1;

/// The number of hosts that a node knows and the number that it avoids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCounts {
    /// The number of hosts in the endpoint list.
    pub listed: usize,
    /// The number of listed hosts that are not ready, are ejected, or deliver messages late.
    pub avoided: usize,
}

/// Makes all decisions of one node.
pub struct Balancer {
    settings: BalancerSettings,
    rng: ChaCha8Rng,
    hosts: HostTable,
    requests: RequestTable,
    weight_optimizer: WeightOptimizer,
    history: ConnectionHistory,
    poller: EndpointPoller,
    setup_failures: SetupFailures,
    recent_setups: RecentSetups,
    load_shedding: LoadShedding,
    gossip_budget: GossipBudget,
    arrival_rate: ArrivalRate,
    shutdown: Shutdown,
    messages: MessageQueue,
    ticks: u64,
    received_endpoints: bool,
}

impl Balancer {
    /// Creates a balancer that knows no host yet. All its random choices derive from `seed`.
    pub fn new(
        settings: BalancerSettings,
        seed: u64,
        now: Nanos,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        // The first tick comes after a random part of the interval, so that nodes do not tick in
        // step.
        let time = now + (TICK_INTERVAL as f64 * rng.random::<f64>()) as Nanos;
        let timer = TICK_TIMER;
        actions.push(Action::SetTimer { time, timer });
        Balancer {
            rng,
            history: ConnectionHistory::new(&settings.classes),
            settings,
            hosts: HostTable::default(),
            requests: RequestTable::default(),
            weight_optimizer: WeightOptimizer::new(),
            poller: EndpointPoller::default(),
            setup_failures: SetupFailures::default(),
            recent_setups: RecentSetups::default(),
            load_shedding: LoadShedding::default(),
            gossip_budget: GossipBudget::new(),
            arrival_rate: ArrivalRate::default(),
            shutdown: Shutdown::default(),
            messages: MessageQueue::new(),
            ticks: 0,
            received_endpoints: false,
        }
    }

    /// Handles one event and appends the actions that it requires.
    pub fn handle(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        self.dispatch(now, event, actions);
        while let Some(message) = self.messages.pop_front() {
            self.handle_message(now, message, actions);
        }
    }

    /// Returns whether any ready host is warming up and the nodes share its budget by slots in which
    /// they take turns.
    pub fn uses_slow_start_slots(&self, now: Nanos) -> bool {
        !uses_client_slots(&self.settings)
            && self
                .hosts
                .iter()
                .any(|host| host.is_ready() && host.is_warming_up(now, &self.settings))
    }

    /// Returns the number of listed hosts, and the number of those that this node avoids now.
    pub fn host_counts(&self, now: Nanos) -> HostCounts {
        let listed = self.hosts.iter().filter(|host| host.listed);
        let avoided = listed.clone().filter(|host| {
            !host.is_ready() || host.ejection.is_active(now) || host.latency.is_late(now)
        });
        HostCounts {
            avoided: avoided.count(),
            listed: listed.count(),
        }
    }

    fn dispatch(&mut self, now: Nanos, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsUpdated { kind, endpoints } => {
                self.update_endpoints(now, kind, endpoints);
            }
            Event::TimerFired {
                timer: MIGRATION_TIMER,
            } => self.send_request(RequestMessage::MigrationTimer),
            Event::TimerFired { .. } => self.tick(now, actions),
            Event::ShutdownStarted { from, by } => {
                self.send_request(RequestMessage::ShutdownStarted { from, by });
            }
            Event::ShutdownCancelled => self.send_request(RequestMessage::ShutdownCancelled),
            Event::RequestArrived(incoming) => {
                self.send_request(RequestMessage::Arrived(incoming));
            }
            Event::RequestTakenOver(incoming, prior) => self.request_taken_over(incoming, &prior),
            Event::ConnectionFound(incoming, host) => self.connection_found(incoming, host, now),
            Event::ConnectionHandedOver(incoming, host, since) => {
                self.connection_found(incoming, host, since);
            }
            Event::SettingsChanged(settings, replaced_classes) => {
                self.change_settings(*settings, replaced_classes, actions);
            }
            Event::SuccessorChanged(has_state) => {
                self.send_request(RequestMessage::SuccessorChanged(has_state));
            }
            Event::StateInherited(state) => self.inherit_state(state),
            Event::ClientLeft { id } => {
                if let Some(slot) = self.requests.slot(id) {
                    self.send_request(RequestMessage::ClientLeft { slot });
                }
            }
            Event::ConnectionEstablished { id, took } => self.connection_established(id, took),
            Event::AttemptEnded {
                id,
                host,
                request_over,
                ending,
                load_metrics,
                ..
            } => self.attempt_ended(id, host, request_over, ending, &load_metrics),
            Event::LoadMeasured { id, load } => {
                if let Some((slot, host)) = self.slot_and_host(id) {
                    self.send_host(host, HostMessage::LoadMeasured { slot, load });
                }
            }
            Event::MessageLatency { host, latency } => {
                if let Some(host) = self.hosts.index(host) {
                    self.send_host(host, HostMessage::MessageLatency(latency));
                }
            }
            Event::ProbeEnded {
                host,
                ending,
                load_metrics,
            } => self.probe_ended(host, ending, &load_metrics),
            Event::GossipReceived { message } => self.gossip_received(&message),
            Event::SlowStartSlotsAssigned(slots) => self.settings.slow_start_slots = slots,
            Event::ProbeTargetsAssigned(targets) => self.assign_probe_targets(&targets),
        }
    }

    fn connection_established(&mut self, id: RequestId, took: Nanos) {
        let Some((slot, host)) = self.slot_and_host(id) else {
            return;
        };
        let request = self.requests.get(slot);
        if request.is_some_and(|request| !request.established) {
            self.send_host(host, HostMessage::ConnectionEstablished { slot, took });
            self.send_request(RequestMessage::ConnectionEstablished { slot });
        }
    }

    fn attempt_ended(
        &mut self,
        id: RequestId,
        host: HostId,
        request_over: bool,
        outcome: AttemptOutcome,
        load_metrics: &[f64],
    ) {
        let current = self.slot_and_host(id);
        let reported_host = self.hosts.index(host);
        let Some(host) = reported_host.or(current.map(|(_, host)| host)) else {
            return;
        };
        self.load_report_received(host, load_metrics, None);
        // If the attempt is no longer the current one, only its load report is used.
        if let Some((slot, _)) = current.filter(|(_, current)| *current == host) {
            self.send_host(host, HostMessage::ConnectionEnded { slot, outcome });
            self.send_request(RequestMessage::AttemptEnded {
                slot,
                request_over,
                outcome,
            });
        }
    }

    fn change_settings(
        &mut self,
        settings: BalancerSettings,
        replaced: Vec<usize>,
        actions: &mut Vec<Action>,
    ) {
        let count = settings.classes.len();
        let changed = HistoryMessage::ClassesChanged { count, replaced };
        self.messages.push_back(Message::History(changed));
        let active = settings.active().count();
        log!(actions, "settings changed active_classes={active}");
        if settings.overload_window != self.settings.overload_window {
            for host in 0..self.hosts.len() {
                self.send_host(host, HostMessage::SlotLengthChanged);
            }
        }
        let slow_start_slots = std::mem::take(&mut self.settings.slow_start_slots);
        self.settings = BalancerSettings {
            slow_start_slots,
            ..settings
        };
    }

    /// Returns the slot of a known request and the host of its attempt in flight or open
    /// connection.
    fn slot_and_host(&self, id: RequestId) -> Option<(usize, usize)> {
        let slot = self.requests.slot(id)?;
        Some((slot, self.requests.get(slot)?.host?))
    }

    fn send_host(&mut self, host: usize, message: HostMessage) {
        self.messages.push_back(Message::Host(host, message));
    }

    fn send_request(&mut self, message: RequestMessage) {
        self.messages.push_back(Message::Request(message));
    }

    fn handle_message(&mut self, now: Nanos, message: Message, actions: &mut Vec<Action>) {
        match message {
            Message::Host(host, message) => self.handle_host(now, host, message, actions),
            Message::Request(message) => self.handle_request(now, message, actions),
            Message::PlacementEvaluated {
                vector,
                load_spread,
                longest_remaining,
            } => self.weight_optimizer.placement_evaluated(
                vector,
                load_spread,
                longest_remaining,
                &mut self.rng,
                actions,
            ),
            Message::History(message) => self.handle_history(now, message),
            Message::Poller(message) => self.handle_poller(now, message, actions),
        }
    }

    fn handle_host(
        &mut self,
        now: Nanos,
        host: usize,
        message: HostMessage,
        actions: &mut Vec<Action>,
    ) {
        let connections_per_size = if self.hosts[host].is_warming_up(now, &self.settings) {
            self.estimate_fleet(now).slow_start.connections_per_size
        } else {
            0.0
        };
        let mut context = HostContext {
            settings: &self.settings,
            history: &self.history,
            requests: &self.requests,
            setup_failures: &self.setup_failures,
            gossip_budget: &self.gossip_budget,
            messages: &mut self.messages,
            actions,
            random: self.rng.random(),
            connections_per_size,
        };
        self.hosts[host].handle(message, now, &mut context);
    }

    fn handle_history(&mut self, now: Nanos, message: HistoryMessage) {
        match message {
            HistoryMessage::ConnectionEnded { key, duration } => {
                self.history.connection_ended(key, duration, now);
            }
            HistoryMessage::FinalLoad { key, load } => self.history.final_load(key, load, now),
            HistoryMessage::LoadMeasured { class, load } => self.history.load_measured(class, load),
            HistoryMessage::SetupEnded {
                host,
                took,
                timed_out,
            } => {
                self.history.setup_took(host, took);
                self.recent_setups.setup_ended(host, took, timed_out, now);
            }
            HistoryMessage::ClassesChanged { count, replaced } => {
                self.history.classes_changed(count, replaced);
            }
            HistoryMessage::StateInherited(state) => self.history.inherit(*state),
            HistoryMessage::Tick { open_requests } => self.history.tick(open_requests),
        }
    }

    fn handle_poller(&mut self, now: Nanos, message: PollerMessage, actions: &mut Vec<Action>) {
        let schedule = self.poll_schedule();
        let random = self.rng.random();
        match message {
            PollerMessage::Updated(kind) => {
                self.poller.updated(now, kind, random, schedule, actions);
            }
            PollerMessage::Tick => self.poller.tick(now, schedule, actions),
        }
    }
}
