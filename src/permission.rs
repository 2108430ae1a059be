//! Permission: the one place that decides whether a request may be attempted, repeated or rejected
//! now.
//!
//! Everything here is a pure function of what is known of the request, the terms of its class and
//! the caller's clock. The balancer asks when it chooses a host, a forwarder when a planner is
//! silent, and the socket layer once more right before the first byte of an attempt, as the clock
//! and the world have moved on in between. A refusal names its reason, which the caller counts and
//! logs.

use crate::{Endpoint, Idempotency, IdempotencyGroup, Nanos, RequestClass, MILLI};

/// How long a process may stall between reading its clock and writing. The grace of a draining host
/// has to cover it.
pub const MAX_STALL: Nanos = 150 * MILLI;

/// What part of the time it had a request is answered before its deadline at the latest, and the
/// most of that: a busy machine wakes a process late.
const RESERVED_PART: Nanos = 20;
const MAX_RESERVE: Nanos = 50 * MILLI;

/// Why an attempt may not begin, or not go on, now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// The deadline of the request is over.
    Expired,
    /// Its client has closed or cancelled.
    ClientGone,
    /// It is not idempotent, and an earlier attempt may have run.
    MayHaveRun,
    /// It has an idempotency key, and the window in which repeats are dropped is over.
    OutsideWindow,
    /// It has an idempotency key, and the host is not in the group that drops its repeats.
    OutsideGroup,
    /// The host is draining or gone, and the grace is over.
    HostDraining,
    /// The host has been listed at another address since it was chosen.
    HostAddressChanged,
    /// The endpoint list may be stale: a host may be draining without this node knowing it.
    EndpointsStale,
}

impl Refusal {
    /// Its name in log lines and metrics.
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

/// What the socket layer knows at the moment in which an attempt would begin.
#[derive(Clone, Copy, Debug)]
pub struct AttemptStart {
    /// The time.
    pub now: Nanos,
    /// By when the request has to be answered, as far as this attempt goes.
    pub deadline: Nanos,
    /// By when the last byte of the attempt has to be written: see [`repeat_deadline`].
    pub not_after: Nanos,
    /// Whether the client still waits.
    pub client_waits: bool,
    /// Since when the host is listed as draining or gone.
    pub draining_since: Option<Nanos>,
    /// The grace for draining hosts, as the settings give it.
    pub drain_grace: Nanos,
    /// Whether the endpoint list may be stale, so that a drain may be in force that this node does
    /// not know of.
    pub endpoints_stale: bool,
    /// Whether its host has been listed at another address since it was chosen.
    pub host_address_changed: bool,
    /// Whether it may repeat one that ran, and its host has been listed in another group since it
    /// was chosen.
    pub group_changed: bool,
}

/// The part of the grace for draining hosts in which an attempt may still begin: what is left of it
/// after a stall of the process; half of it where it is shorter than twice that.
pub fn usable_grace(drain_grace: Nanos) -> Nanos {
    drain_grace.saturating_sub(MAX_STALL).max(drain_grace / 2)
}

/// Whether the first byte of an attempt may be written.
///
/// # Errors
/// The first reason that forbids it.
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

/// When a request that has had no success gets its final answer at the latest: early enough before
/// its deadline for two messages that take a `round` each, and for a process that is woken late.
/// `time_left` is what it had when it arrived.
pub fn answer_by(deadline: Nanos, time_left: Nanos, round: Nanos) -> Nanos {
    let reserve = (time_left / RESERVED_PART).min(MAX_RESERVE);
    deadline.saturating_sub(reserve.max(2 * round))
}

/// Whether what is left of an attempt that has begun may still be written: a repeat counts by its
/// last byte.
///
/// # Errors
/// [`Refusal::OutsideWindow`] once it may not.
pub fn may_continue(now: Nanos, not_after: Nanos) -> Result<(), Refusal> {
    if now > not_after {
        return Err(Refusal::OutsideWindow);
    }
    Ok(())
}

/// The latest moment at which an attempt may be written, where the first one that may have run was
/// sent at `first_sent`; there is no such limit where no attempt can have run.
pub fn repeat_deadline(class: &RequestClass, first_sent: Option<Nanos>) -> Nanos {
    match (class.idempotency, first_sent) {
        (Idempotency::NonIdempotent, Some(_)) => 0,
        (Idempotency::WithKey, Some(sent)) => sent.saturating_add(class.idempotency_window),
        _ => Nanos::MAX,
    }
}

/// Whether there may be another attempt anywhere, where the first one that may have run was sent at
/// `first_sent`.
///
/// # Errors
/// Why there may be none.
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

/// Whether `other` may be sent the repeat of a request whose first attempt may have run at `first`.
///
/// # Errors
/// [`Refusal::OutsideGroup`] where it would not be dropped there.
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

/// Whether the request may be rejected: a retry by the client does no harm.
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
