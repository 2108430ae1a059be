//! Handles the messages to a host's record: it follows the endpoint list, connections, measurements
//! and load reports, and ejects the host after a failure that is its own fault.

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

/// The number of consecutive attempts without a route from which the host is considered at fault.
const MAX_NO_ROUTE: u32 = 3;

impl Host {
    /// Handles one message.
    pub(crate) fn handle(&mut self, message: HostMessage, now: Nanos, context: &mut HostContext) {
        match message {
            HostMessage::Listed {
                endpoint,
                first_list,
            } => self.endpoint_updated(endpoint, first_list, now),
            HostMessage::Unlisted => {
                self.listed = false;
                self.last_listed_at = now;
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
                // The rest of the current slot is skipped, because predecessor and successor could
                // otherwise both use its budget and overload a warming host.
                self.skip_current_slot(now, context.settings);
            }
            // With another length, the current moment gets another slot number. The slot is
            // skipped, because its budget could otherwise be used twice.
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

    fn endpoint_updated(&mut self, mut endpoint: Endpoint, first_list: bool, now: Nanos) {
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
        if self.never_listed() || group(&endpoint) != group(&self.endpoint) {
            self.group_known_since = now;
        }
        if endpoint.size <= 0.0 || endpoint.size.is_nan() {
            endpoint.size = 1.0;
        }
        self.listed = endpoint.state != HostState::Gone;
        self.last_listed_at = now;
        self.endpoint = endpoint;
    }

    fn connection_added(&mut self, connection: Connection, now: Nanos, context: &mut HostContext) {
        if self.is_warming_up(now, context.settings) {
            // The credit is counted in mean loads. Without this, a few connections of many times
            // the mean load would overload the host.
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
        // A host is at fault only after several attempts in a row without a route. Without this,
        // all hosts would be ejected as soon as this machine has no route for a moment.
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
        // Migrated connections are excluded from the history. Otherwise their clients would be
        // expected to stay only briefly.
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

    /// Treats a slow set-up as a late message. Without this, clients would stay at a slow host
    /// whose messages are not measured.
    fn setup_ended(&mut self, took: Nanos, timed_out: bool, now: Nanos, context: &mut HostContext) {
        let objective = context.settings.shortest_message_latency_objective();
        let known_latency = self.latency.ratio(now) * objective as f64;
        // Slow set-ups at several hosts are attributed to a shared cause. Otherwise hosts would
        // count as late one after the other while a shared session store is slow.
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

    /// Ejects the host if the outcome of an attempt shows a fault of its own. An error shows that
    /// only once another host has taken the same request: see [`HostMessage::ErrorConfirmed`].
    fn eject_after(&mut self, outcome: AttemptOutcome, now: Nanos, context: &mut HostContext) {
        let failed_to_connect = match outcome {
            AttemptOutcome::NoRoute if self.no_route_in_a_row < MAX_NO_ROUTE => return,
            AttemptOutcome::ConnectFailed | AttemptOutcome::NoRoute => true,
            AttemptOutcome::Rejected | AttemptOutcome::ConnectionLost => false,
            // A timeout is not the host's fault while set-up failures are common. Ejecting it would
            // move all its requests to the remaining hosts.
            AttemptOutcome::TimedOut if !context.setup_failures.are_common() => false,
            _ => return,
        };
        // The host is treated as just started, but only in a large fleet without load reports:
        // retries of a small fleet cannot overload the host, and a small fleet must not lose its
        // last host this way.
        if failed_to_connect && uses_client_slots(context.settings) {
            self.connect_failed_at = Some(now);
        }
        self.eject(outcome.as_str(), now, context);
    }

    /// Ejects the host for an error that another host did not return for the same request. Without
    /// this, a host that fails fast would look empty and attract clients. While set-up failures are
    /// common, no host is ejected, because the errors may come from malformed requests.
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

    /// Records a load report. A report that this node received itself is gossiped if the load has
    /// changed enough or was last gossiped long ago, and the budget allows it.
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

    /// Evaluates the weight vectors of connections that have been open for one look-ahead step.
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
