//! What a host's record does with each message: it follows the list, connections, measurements and
//! reports, and ejects the host after a failure that is its own.

use super::context::HostContext;
use super::slow_start::uses_client_slots;
use super::Host;
use crate::action::Action;
use crate::connection::Connection;
use crate::endpoint::{Endpoint, HostState};
use crate::gossip;
use crate::intervals::LOOK_AHEAD_STEP;
use crate::messages::{HistoryMessage, HostMessage, Message, RequestMessage};
use crate::request::AttemptOutcome;
use crate::time::{Nanos, SECOND};

/// Attempts in a row without a route from which that is taken for the host's fault.
const MAX_NO_ROUTE: u32 = 3;

impl Host {
    /// Handles one message.
    pub(crate) fn handle(&mut self, message: HostMessage, now: Nanos, context: &mut HostContext) {
        match message {
            HostMessage::Listed {
                endpoint,
                first_list,
            } => self.was_listed(endpoint, first_list, now),
            HostMessage::Unlisted => {
                self.listed = false;
                self.gone_since = now;
            }
            HostMessage::ConnectionAdded(connection) => {
                self.connection_added(connection, now, context);
            }
            HostMessage::ConnectionEstablished { slot, took } => {
                self.connection_established(slot, took, now, context);
            }
            HostMessage::ConnectionEnded { slot, outcome } => {
                self.connection_ended(slot, outcome, now, context);
            }
            HostMessage::ErrorConfirmed => self.error_confirmed(now, context),
            HostMessage::LoadMeasured { slot, load } => {
                self.load_measured(slot, load, now, context);
            }
            HostMessage::MessageLatency(latency) => self.latency_measured(now, latency, context),
            HostMessage::BacklogReported(seconds) => {
                let latency = (seconds * SECOND as f64) as Nanos;
                self.latency_measured(now, latency, context);
            }
            HostMessage::LoadReported { load, from_gossip } => {
                self.load_reported(load, from_gossip, now, context);
            }
            HostMessage::SnapshotInherited(snapshot) => {
                self.restore(&snapshot);
                // Without this, a warming host would be overloaded by two processes that each use
                // this slot.
                self.skip_current_slot(now, context.settings);
            }
            // Without this, a budget would be given twice, as the same moment has another number.
            HostMessage::SlotLengthChanged => self.skip_current_slot(now, context.settings),
            HostMessage::EvaluatePlacements { mean_load } => {
                self.evaluate_placements(mean_load, now, context);
            }
            HostMessage::ProbeAssigned(assigned) => self.probes.assign(now, assigned),
            HostMessage::Probe => {
                self.probes.probed(now);
                context.actions.push(Action::Probe { host: self.id });
            }
            HostMessage::Tick {
                mean_load,
                healthy_share,
            } => {
                self.recount_loads(now, context.history);
                self.adjust_load(now, mean_load, healthy_share, context);
            }
        }
    }

    fn was_listed(&mut self, mut endpoint: Endpoint, first_list: bool, now: Nanos) {
        let has_restarted = !self.listed || endpoint.started != self.endpoint.started;
        if has_restarted && endpoint.state == HostState::Ready {
            self.newcomer = !first_list;
            self.slow_start.clear();
            self.ejection.until = 0;
            self.ejection.count = 0;
            self.latency.ratio = 0.0;
        }
        let is_still_draining =
            self.endpoint.state == HostState::Draining && endpoint.state == HostState::Draining;
        if !is_still_draining {
            self.draining_since = now;
        }
        let group = |endpoint: &Endpoint| (endpoint.zone, endpoint.cell);
        if !self.never_listed() && group(&endpoint) != group(&self.endpoint) {
            self.regrouped_at = Some(now);
        }
        if endpoint.size <= 0.0 || endpoint.size.is_nan() {
            endpoint.size = 1.0;
        }
        self.listed = endpoint.state != HostState::Gone;
        self.gone_since = now;
        self.endpoint = endpoint;
    }

    fn connection_added(&mut self, connection: Connection, now: Nanos, context: &mut HostContext) {
        if self.is_warming_up(now, context.settings) {
            // Counted in mean loads. Without this, a few connections of many times the mean would
            // overload the host.
            let load = context.history.load(connection.class, connection.load);
            let loads = load / context.history.mean_load();
            let connections_per_size = context.connections_per_size;
            self.spend_slow_start_credit(now, loads, connections_per_size, context.settings);
        }
        self.add_connection(connection, now, context.history);
    }

    fn connection_established(
        &mut self,
        slot: usize,
        took: Nanos,
        now: Nanos,
        context: &mut HostContext,
    ) {
        let Some(index) = self.find_connection(slot) else {
            return;
        };
        let connection = &mut self.connections[index];
        connection.established = true;
        connection.since = now;
        self.no_route_in_a_row = 0;
        self.pending_attempts -= 1;
        self.setup_ended(took, false, now, context);
    }

    fn connection_ended(
        &mut self,
        slot: usize,
        outcome: AttemptOutcome,
        now: Nanos,
        context: &mut HostContext,
    ) {
        let Some(index) = self.find_connection(slot) else {
            return;
        };
        let connection = self.remove_connection(index);
        let duration = now.saturating_sub(connection.since);
        self.report_to_history(&connection, duration, outcome, context);
        if outcome == AttemptOutcome::TimedOut {
            self.setup_ended(duration, true, now, context);
        }
        let lost = connection.established && outcome == AttemptOutcome::ConnectionLost;
        self.broken_connections = if self.connections.is_empty() {
            0
        } else {
            self.broken_connections + u32::from(lost)
        };
        // Without this, all hosts would be left out for a moment in which this machine had no
        // route.
        self.no_route_in_a_row = if outcome == AttemptOutcome::NoRoute {
            self.no_route_in_a_row + 1
        } else {
            0
        };
        self.eject_after(outcome, now, context);
    }

    fn report_to_history(
        &mut self,
        connection: &Connection,
        duration: Nanos,
        outcome: AttemptOutcome,
        context: &mut HostContext,
    ) {
        if !connection.established {
            return;
        }
        let key = connection.key;
        if let Some(load) = connection.load {
            context.update_history(HistoryMessage::FinalLoad { key, load });
        }
        // Without this, clients that this node has migrated would be taken for ones that never
        // stay.
        let migrated = context
            .requests
            .get(connection.slot)
            .is_some_and(|request| request.migrating);
        let ended_well = matches!(
            outcome,
            AttemptOutcome::Completed | AttemptOutcome::Cancelled
        );
        if !migrated && ended_well {
            context.update_history(HistoryMessage::ConnectionEnded { key, duration });
            self.ejection.connection_succeeded();
        }
    }

    /// Takes a slow set-up for late messages. Without this, clients would be left at a slow host
    /// whose messages are not measured.
    fn setup_ended(&mut self, took: Nanos, timed_out: bool, now: Nanos, context: &mut HostContext) {
        let objective = context.settings.shortest_message_latency_objective();
        let known_latency = self.latency.ratio(now) * objective as f64;
        // Without this, hosts would count as late one after the other while a shared store is slow.
        let shared_cause =
            context.setup_failures.are_common() || context.history.slow_elsewhere(self.id);
        let slow = took as f64 > known_latency.max(context.history.slow_setup_time());
        if !shared_cause && self.report.load(now).is_none() && slow {
            self.latency_measured(now, took, context);
        }
        context.update_history(HistoryMessage::SetupEnded {
            host: self.id,
            took,
            timed_out,
        });
    }

    /// Ejects the host where the outcome of an attempt is its own fault. An error is that only once
    /// another host has taken the same request: see [`HostMessage::ErrorConfirmed`].
    fn eject_after(&mut self, outcome: AttemptOutcome, now: Nanos, context: &mut HostContext) {
        let failed_to_connect = match outcome {
            AttemptOutcome::NoRoute if self.no_route_in_a_row < MAX_NO_ROUTE => return,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NoRoute => true,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectionLost => false,
            // Where most attempts fail, the cause is not the host's: its ejection would give the
            // rest all requests.
            AttemptOutcome::TimedOut if !context.setup_failures.are_common() => false,
            _ => return,
        };
        // Only a large fleet can overload it by its retries; a small fleet must not lose its last
        // host by this.
        if failed_to_connect && uses_client_slots(context.settings) {
            self.connect_failed_at = Some(now);
        }
        self.eject(outcome.as_str(), now, context);
    }

    /// Without this, a host that fails fast would look empty and attract clients. Where set-ups
    /// fail everywhere no host is ejected for the errors of malformed requests.
    fn error_confirmed(&mut self, now: Nanos, context: &mut HostContext) {
        if !context.setup_failures.are_common() {
            self.eject(AttemptOutcome::Error.as_str(), now, context);
        }
    }

    fn eject(&mut self, reason: &str, now: Nanos, context: &mut HostContext) {
        if self.ejection.start(now, context.random) {
            log!(
                context.actions,
                "host ejected host={:x} reason={reason} ejections={} load={:.2} connections={}",
                self.id.0,
                self.ejection.count,
                self.relative_load(),
                self.connections.len()
            );
        }
    }

    fn load_measured(&mut self, slot: usize, load: f64, now: Nanos, context: &mut HostContext) {
        let Some(index) = self.find_connection(slot) else {
            return;
        };
        let connection = &mut self.connections[index];
        connection.load = Some(load);
        let class = connection.class;
        context.update_history(HistoryMessage::LoadMeasured { class, load });
        self.count_load(index, now, context.history);
    }

    pub(super) fn latency_measured(&mut self, now: Nanos, latency: Nanos, context: &HostContext) {
        let objective = context.settings.shortest_message_latency_objective();
        self.latency.measured(now, latency, objective);
    }

    /// Records a load report, and gossips one that this node received itself if the load has
    /// changed and the budget allows it.
    fn load_reported(
        &mut self,
        load: f64,
        from_gossip: bool,
        now: Nanos,
        context: &mut HostContext,
    ) {
        self.report.reported(now, load);
        let message = gossip::encode(self.id, load);
        let receivers = context.settings.node_count.saturating_sub(1);
        let bytes = message.len() as f64 * f64::from(receivers);
        let gossips = !from_gossip
            && context.settings.gossip_enabled
            && self.report.should_gossip(now, load)
            && context.gossip_budget.allows(bytes);
        if gossips {
            context.actions.push(Action::Gossip { message });
            context.send_request(RequestMessage::GossipSent { bytes });
        }
        if from_gossip || gossips {
            self.report.gossiped(now, load);
        }
    }

    /// Evaluates the weight vectors by the connections that have been open for a step.
    fn evaluate_placements(&mut self, mean_load: f64, now: Nanos, context: &mut HostContext) {
        self.newcomer &= self.relative_load() < mean_load;
        let load_spread = if mean_load > 0.0 {
            (self.relative_load() / mean_load - 1.0).powi(2)
        } else {
            0.0
        };
        let longest_remaining = self.longest_remaining(now);
        let late = self.latency.is_late(now);
        for connection in &mut self.connections {
            if !connection.established || now < connection.since + LOOK_AHEAD_STEP {
                continue;
            }
            if let Some(vector) = connection.weight_vector.take() {
                let observed = RequestMessage::LatencyObserved { late };
                context.send_request(observed);
                context.messages.push_back(Message::PlacementEvaluated {
                    vector,
                    load_spread,
                    longest_remaining,
                });
            }
        }
    }
}
