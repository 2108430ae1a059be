//! The record of one host: how it is listed, which connections this node has there, and how it has
//! behaved. It never chooses a host.

mod context;
mod ejection;
mod events;
mod limiting;
mod load_limit;
mod load_report;
mod message_latency;
mod slow_start;
mod table;

pub(crate) use context::HostContext;
pub(crate) use load_report::HIGH_LOAD;
pub(crate) use slow_start::{
    is_large_fleet, uses_client_slots, SlowStartInputs, CLIENT_SLOT_TIME, WARM_CAPACITY_FACTOR,
};
pub(crate) use table::HostTable;

use crate::connection::Connection;
use crate::connection_history::ConnectionHistory;
use crate::endpoint::{Endpoint, HostId, HostState};
use crate::inherited_state::HostSnapshot;
use crate::intervals::{LOOK_AHEAD_STEP, LOOK_AHEAD_STEPS, RECORD_MAX_AGE};
use crate::settings::BalancerSettings;
use crate::time::Nanos;
use ejection::Ejection;
use load_limit::LoadLimit;
use load_report::{LoadReport, ProbeSchedule};
use message_latency::MessageLatency;
use slow_start::SlowStartCredit;
use std::collections::HashMap;

/// What a node knows about one host.
#[derive(Default)]
pub(crate) struct Host {
    pub id: HostId,
    pub endpoint: Endpoint,
    pub listed: bool,
    /// When the host was last in an endpoint list, or when its record was created if it never was.
    last_listed_at: Nanos,
    /// When the host was first listed as draining; meaningful only while it is draining.
    draining_since: Nanos,
    /// When the host was first listed, or later its zone or cell changed in the endpoint list. Where
    /// it was before is not known.
    group_known_since: Nanos,
    /// When a connection to the host last failed to open; recorded only in large fleets without
    /// load reports.
    connect_failed_at: Option<Nanos>,
    /// The number of consecutive attempts for which this machine had no route to the host.
    no_route_in_a_row: u32,
    /// Whether the host was listed, or restarted, after the node's first endpoint list and its load
    /// has not reached the mean since. Its load is blended with the mean of the other hosts.
    pub newcomer: bool,

    /// The open connections and the attempts in flight at this host.
    pub connections: Vec<Connection>,
    /// The number of these connections and attempts in each group.
    pub groups: HashMap<u64, u32>,
    /// Their total load: the mean over the look-ahead steps, and the current load.
    look_ahead_load: f64,
    current_load: f64,
    /// The cost of holding these groups.
    group_load: f64,
    /// The latest expected end of these connections; 0 if there are none.
    longest_end: Nanos,
    /// The number of attempts in flight, and when the last one was sent.
    pending_attempts: u32,
    last_attempt_at: Nanos,
    /// The number of open connections that the host broke since the last tick.
    broken_connections: u32,

    pub ejection: Ejection,
    pub latency: MessageLatency,
    pub report: LoadReport,
    pub load_limit: LoadLimit,
    probes: ProbeSchedule,
    slow_start: SlowStartCredit,
}

impl Host {
    pub fn is_ready(&self) -> bool {
        self.listed && self.endpoint.state == HostState::Ready
    }

    fn is_draining(&self) -> bool {
        self.listed && self.endpoint.state == HostState::Draining
    }

    /// Returns whether no endpoint list has contained it so far.
    fn never_listed(&self) -> bool {
        self.endpoint.size <= 0.0
    }

    /// Returns whether its record may be reused for another host.
    fn is_reusable(&self, now: Nanos) -> bool {
        let reusable_at = self.last_listed_at.saturating_add(RECORD_MAX_AGE);
        !self.listed && self.connections.is_empty() && now >= reusable_at
    }

    /// Returns whether it is known to have been listed in the same zone and cell since then.
    pub fn same_group_since(&self, since: Nanos) -> bool {
        self.group_known_since < since
    }

    /// Returns how long ago the host started, or `Nanos::MAX` if that is unknown. It is assumed to
    /// have started no earlier than the last failure to connect. Without this, hosts that came back
    /// before the endpoint list says so would be overloaded while they warm up.
    fn age(&self, now: Nanos) -> Nanos {
        let started = self
            .endpoint
            .started
            .into_iter()
            .chain(self.connect_failed_at)
            .max();
        started.map_or(Nanos::MAX, |started| now.saturating_sub(started))
    }

    /// Returns whether its warm-up is over according to the start time in the endpoint list alone.
    pub fn is_listed_as_warm(&self, now: Nanos, settings: &BalancerSettings) -> bool {
        self.endpoint
            .started
            .is_none_or(|started| now >= started.saturating_add(settings.warm_up))
    }

    /// Returns the load that this node has placed there, averaged over the look-ahead steps and
    /// divided by the host's size.
    pub fn relative_load(&self) -> f64 {
        (self.look_ahead_load + self.group_load) / self.endpoint.size
    }

    /// Returns the current load that this node has placed there.
    fn own_load(&self) -> f64 {
        self.current_load + self.group_load
    }

    /// Returns the time in nanoseconds until the last connection there is expected to end.
    pub fn longest_remaining(&self, now: Nanos) -> f64 {
        self.longest_end.saturating_sub(now) as f64
    }

    /// Returns whether no attempt is in flight there and the last one was sent at least `pause`
    /// ago.
    pub fn has_no_recent_attempt(&self, now: Nanos, pause: Nanos) -> bool {
        self.pending_attempts == 0 && now >= self.last_attempt_at + pause
    }

    /// Returns whether a tick may skip it. Without this, a tick would spend time on hundreds of
    /// hosts where this node has no connection.
    pub fn is_idle(&self) -> bool {
        self.connections.is_empty() && !self.load_limit.is_set()
    }

    pub fn probe_is_due(&self, now: Nanos, settings: &BalancerSettings) -> bool {
        self.is_ready() && self.probes.is_due(now, self.id, settings)
    }

    fn find_connection(&self, slot: usize) -> Option<usize> {
        self.connections
            .iter()
            .position(|connection| connection.slot == slot)
    }

    /// Returns the cost of a connection for the host: its load, and its share of the cost of its
    /// group.
    fn connection_cost(&self, index: usize, history: &ConnectionHistory) -> f64 {
        let connection = &self.connections[index];
        let members = connection
            .group
            .and_then(|group| self.groups.get(&group))
            .copied()
            .unwrap_or(0);
        connection.counted_load
            + if members > 0 {
                history.group_cost() / f64::from(members)
            } else {
                0.0
            }
    }

    /// Adds a connection or an attempt to the record and its sums.
    fn add_connection(&mut self, connection: Connection, now: Nanos, history: &ConnectionHistory) {
        if !connection.established {
            self.pending_attempts += 1;
            self.last_attempt_at = now;
        }
        if let Some(group) = connection.group {
            *self.groups.entry(group).or_insert(0) += 1;
        }
        self.report.sent_since += history.load(connection.class, connection.load);
        self.connections.push(connection);
        self.count_load(self.connections.len() - 1, now, history);
    }

    /// Removes a connection or an attempt from the record and its sums.
    fn remove_connection(&mut self, index: usize) -> Connection {
        let connection = self.connections.swap_remove(index);
        self.look_ahead_load -= connection.look_ahead_load;
        self.current_load -= connection.counted_load;
        if self.connections.is_empty() {
            self.look_ahead_load = 0.0;
            self.current_load = 0.0;
            self.group_load = 0.0;
        }
        if let Some(group) = connection.group {
            self.leave_group(group);
        }
        if connection.expected_end >= self.longest_end {
            let ends = self.connections.iter().map(|other| other.expected_end);
            self.longest_end = ends.max().unwrap_or(0);
        }
        if !connection.established {
            self.pending_attempts -= 1;
        }
        connection
    }

    fn leave_group(&mut self, group: u64) {
        let Some(members) = self.groups.get_mut(&group) else {
            return;
        };
        *members -= 1;
        if *members == 0 {
            self.groups.remove(&group);
        }
    }

    /// Updates the host's sums with the load of a connection, both current and over the look-ahead
    /// steps.
    fn count_load(&mut self, index: usize, now: Nanos, history: &ConnectionHistory) {
        let connection = &mut self.connections[index];
        if connection.expected_end <= now {
            // The connection has outlived its prediction. Connections that last tend to go on, so
            // another mean duration is expected.
            connection.expected_end = now + history.expected_remaining_duration();
        }
        let remaining = connection.expected_end - now;
        let steps = remaining.div_ceil(LOOK_AHEAD_STEP).min(LOOK_AHEAD_STEPS);
        let load = history.load(connection.class, connection.load);
        let look_ahead_load = load * steps as f64 / LOOK_AHEAD_STEPS as f64;
        self.look_ahead_load = self.look_ahead_load + look_ahead_load - connection.look_ahead_load;
        self.current_load = self.current_load + load - connection.counted_load;
        connection.look_ahead_load = look_ahead_load;
        connection.counted_load = load;
        self.longest_end = self.longest_end.max(connection.expected_end);
        self.group_load = history.group_cost() * self.groups.len() as f64;
    }

    /// Recomputes the sums over all connections. Without this, connections placed before any load
    /// was known would count with the initial guess for several look-ahead steps.
    fn recount_loads(&mut self, now: Nanos, history: &ConnectionHistory) {
        self.look_ahead_load = 0.0;
        self.current_load = 0.0;
        self.longest_end = 0;
        for index in 0..self.connections.len() {
            self.connections[index].look_ahead_load = 0.0;
            self.connections[index].counted_load = 0.0;
            self.count_load(index, now, history);
        }
    }

    /// Returns what a successor inherits about this host.
    pub fn snapshot(&self) -> HostSnapshot {
        HostSnapshot {
            id: self.id,
            newcomer: self.newcomer,
            draining_since: self.draining_since,
            connect_failed_at: self.connect_failed_at,
            ejected_until: self.ejection.until,
            ejections: self.ejection.count,
            latency_ratio: self.latency.ratio,
            latency_measured_at: self.latency.measured_at,
            load_limit: self.load_limit.limit,
            sustained_load: self.load_limit.sustained_load,
            limit_decreased_at: self.load_limit.decreased_at,
            latency_ratio_at_decrease: self.load_limit.latency_ratio_at_decrease,
            reported_load: self.report.load,
            reported_at: self.report.reported_at,
        }
    }

    fn restore(&mut self, snapshot: &HostSnapshot) {
        self.newcomer = snapshot.newcomer;
        self.draining_since = snapshot.draining_since;
        self.connect_failed_at = snapshot.connect_failed_at;
        self.ejection = Ejection {
            until: snapshot.ejected_until,
            count: snapshot.ejections,
        };
        self.latency = MessageLatency {
            ratio: snapshot.latency_ratio,
            measured_at: snapshot.latency_measured_at,
        };
        self.load_limit = LoadLimit {
            limit: snapshot.load_limit,
            sustained_load: snapshot.sustained_load,
            decreased_at: snapshot.limit_decreased_at,
            latency_ratio_at_decrease: snapshot.latency_ratio_at_decrease,
        };
        self.report.load = snapshot.reported_load;
        self.report.reported_at = snapshot.reported_at;
    }
}
