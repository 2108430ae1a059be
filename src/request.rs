//! Requests for a long-lived connection, the attempts made for them, and how attempts end.

use crate::endpoint::HostId;
use crate::time::Nanos;

/// The identity of a request; returned to the caller untouched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// A request for a connection, as it arrives.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest {
    /// Which request this is.
    pub id: RequestId,
    /// Index into [`BalancerSettings::classes`](crate::BalancerSettings::classes).
    pub class: usize,
    /// The client's key, by which its history is found.
    pub key: Option<u64>,
    /// The group whose members are best placed on the same host.
    pub group: Option<u64>,
    /// How long the client still waits for an answer.
    pub time_left: Nanos,
    /// Its usual load, as a share of a core.
    pub usual_load: Option<f64>,
    /// Already open, and now arriving at this node in mid-stream.
    pub mid_stream: bool,
}

/// What was attempted for a request before this node took it over.
#[derive(Clone, Debug, Default)]
pub struct PriorAttempts {
    /// How many attempts there were.
    pub attempts: u32,
    /// The host of the first attempt that may have run, and when that was sent.
    pub may_have_run: Option<(HostId, Nanos)>,
    /// The hosts that were tried.
    pub tried_hosts: Vec<HostId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection was closed in good order.
    Completed,
    /// The host answered with an error.
    Error,
    /// The host refused to take it.
    Rejected,
    /// No answer came in time.
    TimedOut,
    /// The connection to the host could not be opened.
    ConnectFailed,
    /// The connection to the host broke.
    ConnectionLost,
    /// This node cancelled it.
    Cancelled,
    /// It ended before anything was written.
    NeverSent,
    /// This machine had no route to the host: its own fault, or the host's where that lasts.
    NoRoute,
    /// It goes on in another process.
    HandedOver,
}

impl AttemptOutcome {
    /// Its name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            AttemptOutcome::Completed => "done",
            AttemptOutcome::Error => "error",
            AttemptOutcome::Rejected => "refused",
            AttemptOutcome::TimedOut => "silent",
            AttemptOutcome::ConnectFailed => "unconnected",
            AttemptOutcome::ConnectionLost => "broken",
            AttemptOutcome::Cancelled => "called-off",
            AttemptOutcome::NeverSent => "never-sent",
            AttemptOutcome::NoRoute => "unroutable",
            AttemptOutcome::HandedOver => "passed-on",
        }
    }

    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Rejected
                | AttemptOutcome::ConnectFailed
                | AttemptOutcome::NeverSent
                | AttemptOutcome::NoRoute
        )
    }
}
