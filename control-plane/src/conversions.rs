//! Conversions between the wire messages and the types of the decision core.

use crate::messages::{
    ExecutedAttempt, PlacementRequest, PriorAttempts, WireHostState, WireOutcome,
};
use reedferry::{AttemptOutcome, HostId, HostState, IncomingRequest, Nanos, RequestId};

/// The exclusive upper bound of a load that a peer reports. A larger value is implausible.
const LOAD_LIMIT: f64 = 1e9;

/// Returns whether a load that a peer sent is finite, not negative and below [`LOAD_LIMIT`].
pub(crate) fn is_valid_load(load: f64) -> bool {
    load.is_finite() && (0.0..LOAD_LIMIT).contains(&load)
}

impl PlacementRequest {
    /// Converts a request into the form that is sent to a planner.
    pub fn from_incoming(incoming: &IncomingRequest, time_left: Nanos) -> Self {
        PlacementRequest {
            class: incoming.class.min(usize::from(u16::MAX)) as u16,
            key: incoming.key,
            group: incoming.group,
            usual_load: incoming.usual_load,
            time_left,
        }
    }

    /// Converts the request for the decision core, under the caller's `id`. An invalid usual load is dropped.
    pub fn to_incoming(&self, id: RequestId) -> IncomingRequest {
        IncomingRequest {
            id,
            class: self.class.into(),
            key: self.key,
            group: self.group,
            time_left: self.time_left,
            usual_load: self.usual_load.filter(|load| is_valid_load(*load)),
            mid_stream: false,
        }
    }
}

impl PriorAttempts {
    /// Returns whether no attempt was made yet.
    pub fn is_empty(&self) -> bool {
        self.attempts == 0 && self.tried_hosts.is_empty()
    }

    /// Converts the history for the decision core, and its durations to times on the caller's clock.
    pub fn into_core(self, now: Nanos) -> reedferry::PriorAttempts {
        let executed_at =
            |attempt: ExecutedAttempt| (HostId(attempt.host), now.saturating_sub(attempt.sent_ago));
        reedferry::PriorAttempts {
            attempts: self.attempts,
            may_have_run: self.may_have_run.map(executed_at),
            tried_hosts: self.tried_hosts.into_iter().map(HostId).collect(),
        }
    }
}

impl From<AttemptOutcome> for WireOutcome {
    fn from(outcome: AttemptOutcome) -> WireOutcome {
        match outcome {
            AttemptOutcome::Completed => WireOutcome::Completed,
            AttemptOutcome::Error => WireOutcome::Error,
            AttemptOutcome::Rejected => WireOutcome::Rejected,
            AttemptOutcome::TimedOut => WireOutcome::TimedOut,
            AttemptOutcome::ConnectFailed => WireOutcome::ConnectFailed,
            AttemptOutcome::ConnectionLost => WireOutcome::ConnectionLost,
            AttemptOutcome::Cancelled => WireOutcome::Cancelled,
            // The wire format has no variant for `NoRoute` because an older planner could not decode it. Planners
            // treat both alike.
            AttemptOutcome::NeverSent | AttemptOutcome::NoRoute => WireOutcome::NeverSent,
            AttemptOutcome::HandedOver => WireOutcome::HandedOver,
        }
    }
}

impl From<WireOutcome> for AttemptOutcome {
    fn from(outcome: WireOutcome) -> AttemptOutcome {
        match outcome {
            WireOutcome::Completed => AttemptOutcome::Completed,
            WireOutcome::Error => AttemptOutcome::Error,
            WireOutcome::Rejected => AttemptOutcome::Rejected,
            WireOutcome::TimedOut => AttemptOutcome::TimedOut,
            WireOutcome::ConnectFailed => AttemptOutcome::ConnectFailed,
            WireOutcome::ConnectionLost => AttemptOutcome::ConnectionLost,
            WireOutcome::Cancelled => AttemptOutcome::Cancelled,
            WireOutcome::NeverSent => AttemptOutcome::NeverSent,
            WireOutcome::HandedOver => AttemptOutcome::HandedOver,
        }
    }
}

impl From<HostState> for WireHostState {
    fn from(state: HostState) -> WireHostState {
        match state {
            HostState::Ready => WireHostState::Ready,
            HostState::Draining => WireHostState::Draining,
            HostState::Gone => WireHostState::Gone,
        }
    }
}

impl From<WireHostState> for HostState {
    fn from(state: WireHostState) -> HostState {
        match state {
            WireHostState::Ready => HostState::Ready,
            WireHostState::Draining => HostState::Draining,
            WireHostState::Gone => HostState::Gone,
        }
    }
}
