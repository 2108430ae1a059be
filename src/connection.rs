//! The state of a connection, or of an attempt in flight, in the record of its host.

use crate::connection_history::ConnectionHistory;
use crate::intervals::LOOK_AHEAD_NANOS;
use crate::request::IncomingRequest;
use crate::settings::BalancerSettings;
use crate::time::Nanos;

/// An open connection, or an attempt in flight.
#[derive(Default)]
pub(crate) struct Connection {
    /// The slot of the request in the request table.
    pub slot: usize,
    pub class: usize,
    pub key: Option<u64>,
    pub group: Option<u64>,
    /// The load of the connection, measured or known before; `None` where it is unknown.
    pub load: Option<f64>,
    /// When the connection was established; before that, when the attempt was sent.
    pub since: Nanos,
    pub established: bool,
    pub expected_end: Nanos,
    /// How much the connection adds to the host's load over the look-ahead steps.
    pub look_ahead_load: f64,
    /// How much the connection adds to the host's current load.
    pub counted_load: f64,
    /// The index of the weight vector by which the connection was placed; `None` once the placement
    /// has been evaluated, or where there was none.
    pub weight_vector: Option<usize>,
}

impl Connection {
    /// Creates the record of an attempt for a request, with the load and duration that its
    /// connection is expected to have.
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
