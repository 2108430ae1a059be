//! A connection, or an attempt that may become one, as its host's record holds it.

use crate::connection_history::ConnectionHistory;
use crate::intervals::LOOK_AHEAD_NANOS;
use crate::request::IncomingRequest;
use crate::settings::BalancerSettings;
use crate::time::Nanos;

/// A connection, or an attempt that may become one.
#[derive(Default)]
pub(crate) struct Connection {
    /// The slot of its request in the request table.
    pub slot: usize,
    pub class: usize,
    pub key: Option<u64>,
    pub group: Option<u64>,
    /// Its load, where that was measured or is known.
    pub load: Option<f64>,
    /// Since when it is open; before that, when the attempt was sent.
    pub since: Nanos,
    pub established: bool,
    pub expected_end: Nanos,
    /// Its part of the host's load over the look-ahead steps.
    pub look_ahead_load: f64,
    /// Its load as counted in its host's.
    pub counted_load: f64,
    /// The weight vector that it was placed by, until that has been evaluated.
    pub weight_vector: Option<usize>,
}

impl Connection {
    /// The connection that a request is expected to become.
    pub fn new(
        now: Nanos,
        slot: usize,
        incoming: &IncomingRequest,
        history: &ConnectionHistory,
        settings: &BalancerSettings,
    ) -> Self {
        let duration = history.expected_duration(incoming.key, now);
        let grouped = settings.groups_enabled && !settings.passthrough;
        Connection {
            slot,
            class: incoming.class,
            key: incoming.key,
            group: incoming.group.filter(|_| grouped),
            load: incoming.usual_load.or(history.last_load(incoming.key, now)),
            since: now,
            expected_end: now + duration.unwrap_or(LOOK_AHEAD_NANOS) as Nanos,
            ..Connection::default()
        }
    }
}
