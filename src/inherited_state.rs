//! The learned state that a successor inherits in a hot restart.

use crate::endpoint::HostId;
use crate::time::Nanos;
use serde::{Deserialize, Serialize};

/// The statistics of one client's past connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClientStatistics {
    /// The mean duration of the client's connections, in nanoseconds; `None` where none has ended.
    pub mean_duration: Option<f64>,
    /// The load of the client's last connection; `None` where it was not measured.
    pub last_load: Option<f64>,
    /// When either of these was last updated.
    pub last_seen: Nanos,
}

/// The state that a process has learned and that its successor continues with.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct InheritedState {
    /// The keys and statistics of clients, the least recently seen first.
    pub clients: Vec<(u64, ClientStatistics)>,
    /// The mean duration of a connection, in nanoseconds; `None` where none has ended.
    pub mean_duration: Option<f64>,
    /// The total time that connections were open, in nanoseconds, decayed with every tick.
    pub open_time: f64,
    /// The number of connections that have ended, decayed with every tick.
    pub ended_connections: f64,
    /// The mean load of each class, in the order of the predecessor's classes; `None` where none
    /// was measured.
    pub class_loads: Vec<Option<f64>>,
    /// The mean load over all classes; `None` where none was measured.
    pub mean_load: Option<f64>,
    /// The number of measured loads in these means.
    pub load_samples: u32,
    /// The mean time that a connection takes to set up, in nanoseconds.
    pub mean_setup_time: f64,
    /// The state of each listed host.
    pub hosts: Vec<HostSnapshot>,
    /// The share of recent connection set-ups that failed.
    pub setup_failure_rate: f64,
    /// The share of recent connections whose messages were late.
    pub late_message_rate: f64,
}

/// The state of one host in the process that hands it over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HostSnapshot {
    /// The identity of the host.
    pub id: HostId,
    /// Whether the host joined or restarted after the first list; its load counts at the mean of
    /// the other hosts until it reaches that.
    pub newcomer: bool,
    /// Since when the host is listed as draining; has no meaning unless it is.
    pub draining_since: Nanos,
    /// When a connection to the host last failed to open; `None` where none has.
    pub connect_failed_at: Option<Nanos>,
    /// The time until which the host is ejected; 0 where it was not ejected.
    pub ejected_until: Nanos,
    /// The number of times in a row that the host was ejected.
    pub ejections: u32,
    /// The measured message latency divided by its objective.
    pub latency_ratio: f64,
    /// When the message latency was measured.
    pub latency_measured_at: Nanos,
    /// The load limit; `None` where none is set.
    pub load_limit: Option<f64>,
    /// The highest recent load that the host sustained with messages in time.
    pub sustained_load: f64,
    /// When the load limit was last decreased.
    pub limit_decreased_at: Nanos,
    /// The latency ratio at the last decrease of the load limit; 0 where there was none.
    pub latency_ratio_at_decrease: f64,
    /// The load in the last report of the host.
    pub reported_load: f64,
    /// When the load was last reported; 0 where it never was.
    pub reported_at: Nanos,
}
