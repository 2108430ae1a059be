//! Requests for long-lived connections, the attempts made for them, and how attempts end.

use crate::endpoint::HostId;
use crate::time::Nanos;

/// Identifies a request. The caller assigns it; the balancer only compares and hashes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestId(pub u64);

/// A request for a connection, as the caller reports it on arrival.
#[derive(Clone, Copy, Debug, Default)]
pub struct IncomingRequest {
    /// The identity of the request.
    pub id: RequestId,
    /// The index of the request's class in
    /// [`BalancerSettings::classes`](crate::BalancerSettings::classes).
    pub class: usize,
    /// The key under which the client's past connections are recorded; `None` where it is unknown.
    pub key: Option<u64>,
    /// The group whose members are best placed on the same host; `None` where it has none.
    pub group: Option<u64>,
    /// How long the client still waits for an answer.
    pub time_left: Nanos,
    /// The load that its connection usually has, as a share of a core; `None` where it is unknown.
    pub usual_load: Option<f64>,
    /// Whether the connection is already open and its packets now reach this node in mid-stream.
    pub mid_stream: bool,
}

/// The attempts made for a request before this node took it over.
#[derive(Clone, Debug, Default)]
pub struct PriorAttempts {
    /// The number of attempts.
    pub attempts: u32,
    /// The host of the first attempt that may have run, and when that attempt was sent; `None`
    /// where no attempt can have run.
    pub may_have_run: Option<(HostId, Nanos)>,
    /// The hosts to which attempts were made.
    pub tried_hosts: Vec<HostId>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The connection was closed in an orderly way.
    Completed,
    /// The host answered with an error.
    Error,
    /// The host refused the request without running it.
    Rejected,
    /// The host did not answer in time.
    TimedOut,
    /// The connection to the host could not be opened.
    ConnectFailed,
    /// The connection to the host broke.
    ConnectionLost,
    /// This node cancelled the attempt or closed the connection.
    Cancelled,
    /// The attempt ended before any byte was written.
    NeverSent,
    /// This machine had no route to the host. The machine is at fault, unless this persists: then
    /// the host is.
    NoRoute,
    /// The attempt or connection continues in another process.
    HandedOver,
}

impl AttemptOutcome {
    /// Returns the name of the outcome in log lines and metrics.
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

    /// Returns whether the outcome proves that the host never ran the attempt.
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
