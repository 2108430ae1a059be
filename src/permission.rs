//! Decides whether a request may be attempted, repeated or rejected now. No other module decides
//! this.
//!
//! Every function here is pure: its result depends only on the state of the request, its class and
//! the caller's clock. The balancer calls them when it selects a host, and a forwarder when a
//! planner does not answer. The socket layer checks again right before it writes the first byte of
//! an attempt, because time has passed and the endpoint list may have changed since. A refusal
//! names its reason, which the caller counts and logs.

use crate::{Endpoint, Idempotency, IdempotencyGroup, Nanos, RequestClass, MILLI};

/// The longest time that a process may stall between reading its clock and writing to a socket.
/// The grace period of a draining host has to cover it.
pub const MAX_STALL: Nanos = 150 * MILLI;

/// A request is answered before its deadline by at least its time left on arrival divided by this
/// number, because a busy machine wakes a process late.
const RESERVE_DIVISOR: Nanos = 20;
/// The maximum of that reserve.
const MAX_RESERVE: Nanos = 50 * MILLI;

/// The reason why an attempt may not start or continue now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The deadline of the request has passed.
    Expired,
    /// The client has disconnected or cancelled.
    ClientGone,
    /// The request is not idempotent, and an earlier attempt may have run.
    MayHaveRun,
    /// The request has an idempotency key, and the window in which repeats are dropped has passed.
    OutsideWindow,
    /// The request has an idempotency key, and the host is outside the group that drops its
    /// repeats.
    OutsideGroup,
    /// The host is draining or gone, and the grace period has passed.
    HostDraining,
    /// The address of the host in the endpoint list has changed since the host was selected.
    HostAddressChanged,
    /// The endpoint list may be stale, so the host may be draining without this node knowing it.
    EndpointsStale,
}

impl Refusal {
    /// Returns the name of the reason in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Expired => "expired",
            Refusal::ClientGone => "client_gone",
            Refusal::MayHaveRun => "may_have_run",
            Refusal::OutsideWindow => "outside_window",
            Refusal::OutsideGroup => "outside_group",
            Refusal::HostDraining => "host_leaving",
            Refusal::HostAddressChanged => "host_moved",
            Refusal::EndpointsStale => "list_not_heard",
        }
    }
}

/// The state that the socket layer knows at the moment when an attempt would start.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    /// The current time.
    pub now: Nanos,
    /// The time before which this attempt has to be answered, exclusive.
    pub deadline: Nanos,
    /// The time by which the last byte of the attempt has to be written, inclusive; see
    /// [`repeat_deadline`].
    pub not_after: Nanos,
    /// Whether the client still waits.
    pub client_waits: bool,
    /// Since when the host is listed as draining or gone; `None` where it is neither.
    pub draining_since: Option<Nanos>,
    /// The grace period for draining hosts, from the settings.
    pub drain_grace: Nanos,
    /// Whether the endpoint list may be stale, so that the host may be draining without this node
    /// knowing it.
    pub endpoints_stale: bool,
    /// Whether the address of the host in the endpoint list has changed since the host was
    /// selected.
    pub host_address_changed: bool,
    /// Whether the attempt may repeat one that ran, and the host has been listed in another zone or
    /// cell since it was selected.
    pub group_changed: bool,
}

/// Returns the part of the grace period of a draining host in which an attempt may still start: the
/// period less [`MAX_STALL`], but at least half of it.
pub fn usable_grace(drain_grace: Nanos) -> Nanos {
    drain_grace.saturating_sub(MAX_STALL).max(drain_grace / 2)
}

/// Checks whether the first byte of an attempt may be written.
///
/// # Errors
/// Returns the first reason that forbids it.
pub fn may_start(at: &AttemptStart) -> Result<(), Refusal> {
    if !at.client_waits {
        return Err(Refusal::ClientGone);
    }
    if at.now >= at.deadline {
        return Err(Refusal::Expired);
    }
    if at.endpoints_stale {
        return Err(Refusal::EndpointsStale);
    }
    if at.host_address_changed {
        return Err(Refusal::HostAddressChanged);
    }
    if at.group_changed {
        return Err(Refusal::OutsideGroup);
    }
    let grace = usable_grace(at.drain_grace);
    if at
        .draining_since
        .is_some_and(|since| at.now > since.saturating_add(grace))
    {
        return Err(Refusal::HostDraining);
    }
    may_continue(at.now, at.not_after)
}

/// Returns the latest time at which a request that no host has served gets its final answer. It is
/// far enough before the deadline for two messages that take a `call_interval` each, and for a
/// process that is woken late. `time_left` is the time that the request had left on arrival.
pub fn answer_by(deadline: Nanos, time_left: Nanos, call_interval: Nanos) -> Nanos {
    let reserve = (time_left / RESERVE_DIVISOR).min(MAX_RESERVE);
    deadline.saturating_sub(reserve.max(2 * call_interval))
}

/// Checks whether the rest of a started attempt may still be written. The time at which a repeat is
/// sent is that of its last byte.
///
/// # Errors
/// Returns [`Refusal::OutsideWindow`] once `now` is past `not_after`.
pub fn may_continue(now: Nanos, not_after: Nanos) -> Result<(), Refusal> {
    if now > not_after {
        return Err(Refusal::OutsideWindow);
    }
    Ok(())
}

/// Returns the latest time at which an attempt may be written, where the first attempt that may
/// have run was sent at `first_sent`. Returns 0 where no repeat is allowed, and [`Nanos::MAX`]
/// where there is no limit.
pub fn repeat_deadline(class: &RequestClass, first_sent: Option<Nanos>) -> Nanos {
    match (class.idempotency, first_sent) {
        (Idempotency::NonIdempotent, Some(_)) => 0,
        (Idempotency::WithKey, Some(sent)) => sent.saturating_add(class.idempotency_window),
        _ => Nanos::MAX,
    }
}

/// Checks whether another attempt may be made at any host, where the first attempt that may have
/// run was sent at `first_sent`.
///
/// # Errors
/// Returns [`Refusal::MayHaveRun`] or [`Refusal::OutsideWindow`].
pub fn may_repeat(
    class: &RequestClass,
    first_sent: Option<Nanos>,
    now: Nanos,
) -> Result<(), Refusal> {
    if now < repeat_deadline(class, first_sent) {
        return Ok(());
    }
    Err(match class.idempotency {
        Idempotency::NonIdempotent => Refusal::MayHaveRun,
        _ => Refusal::OutsideWindow,
    })
}

/// Checks whether a request whose first attempt may have run at `first` may be repeated at `other`.
///
/// # Errors
/// Returns [`Refusal::OutsideGroup`] where `other` would not drop the repeat.
pub fn may_repeat_at(
    class: &RequestClass,
    first: Option<&Endpoint>,
    other: &Endpoint,
) -> Result<(), Refusal> {
    let Some(first) = first.filter(|_| class.idempotency == Idempotency::WithKey) else {
        return Ok(());
    };
    let same_group = match class.idempotency_group {
        IdempotencyGroup::All => true,
        IdempotencyGroup::Zone => first.zone == other.zone,
        IdempotencyGroup::Cell => first.cell == other.cell,
    };
    if same_group {
        Ok(())
    } else {
        Err(Refusal::OutsideGroup)
    }
}

/// Returns whether the request may be rejected, which invites the client to retry: a retry must do
/// no harm.
pub fn may_reject(class: &RequestClass, may_have_run: bool) -> bool {
    match class.idempotency {
        Idempotency::Idempotent => true,
        Idempotency::WithKey => !may_have_run || class.idempotency_group == IdempotencyGroup::All,
        Idempotency::NonIdempotent => !may_have_run,
    }
}

#[cfg(test)]
#[path = "permission_tests.rs"]
mod tests;
