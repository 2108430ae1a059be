//! What a process learns that its successor inherits in a hot restart.

use crate::endpoint::HostId;
use crate::time::Nanos;
use serde::{Deserialize, Serialize};

/// What is remembered of a client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientStatistics {
    /// How long its connections last, in nanoseconds.
    pub mean_duration: Option<f64>,
    /// The load of its last connection.
    pub last_load: Option<f64>,
    /// When either was last updated.
    pub last_seen: Nanos,
}

/// What a process has learned, and what its successor is to hold to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InheritedState {
    /// Clients by their keys, the least recently seen first.
    pub clients: Vec<(u64, ClientStatistics)>,
    /// How long connections last, in nanoseconds.
    pub mean_duration: Option<f64>,
    /// The time, in nanoseconds, that connections have recently been open; it fades.
    pub open_time: f64,
    /// How many connections have recently ended; it fades.
    pub ended_connections: f64,
    /// The mean load of each class, in the order of the process that leaves it.
    pub class_loads: Vec<Option<f64>>,
    /// The mean load over all classes.
    pub mean_load: Option<f64>,
    /// How many measured loads are blended in these means.
    pub load_samples: u32,
    /// How long a connection takes to set up, in nanoseconds.
    pub mean_setup_time: f64,
    /// The state of each listed host.
    pub hosts: Vec<HostSnapshot>,
    /// The share of recent connection set-ups that failed.
    pub setup_failure_rate: f64,
    /// The share of recent connections that met late messages.
    pub late_message_rate: f64,
}

/// The state of one host as a process knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSnapshot {
    /// Which host this is.
    pub id: HostId,
    /// Counts at the others' mean load until its own reaches that.
    pub newcomer: bool,
    /// Since when it is listed as draining, where it is.
    pub draining_since: Nanos,
    /// When a connection to it last failed to open.
    pub connect_failed_at: Option<Nanos>,
    /// Until when it is ejected.
    pub ejected_until: Nanos,
    /// How many times in a row it was ejected.
    pub ejections: u32,
    /// Measured message latency over its objective.
    pub latency_ratio: f64,
    /// When that was measured.
    pub latency_measured_at: Nanos,
    /// The load limit, where one is set.
    pub load_limit: Option<f64>,
    /// The highest recent load that it sustained with messages in time.
    pub sustained_load: f64,
    /// When the limit was last decreased.
    pub limit_decreased_at: Nanos,
    /// The latency ratio for which it was decreased.
    pub latency_ratio_at_decrease: f64,
    /// The load that it was last reported to have.
    pub reported_load: f64,
    /// When that was reported.
    pub reported_at: Nanos,
}
