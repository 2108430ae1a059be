//! Computes from when on a process of a soak counts as notified of a drain: when a list service has written it to the
//! process, or else after the time limit documented for the process's situation. Each situation has its own limit, so
//! that a fault excuses only what it can delay and not the rest of a run.

use super::process_slot::{FaultSpan, ProcessRun};
use crate::discovery::{CallRecord, DiscoveryHistory};
use std::time::{Duration, Instant};

/// How long after a service had a change and could be reached a process whose calls may have failed counts as notified.
/// A watch that fell silent excuses the process for at least this long.
const NOTIFICATION_TIMEOUT: Duration = Duration::from_secs(6);
/// A watch that fell silent excuses the process until this long after the end of its maximum wait, or until
/// [`NOTIFICATION_TIMEOUT`] after it fell silent if that is later.
const NOTIFICATION_TIMEOUT_AFTER_WAIT: Duration = Duration::from_secs(2);
/// How long after a reload the process counts as notified of what the service named by the reload has.
const RELOAD_TIMEOUT: Duration = Duration::from_secs(4);
/// How long after its start a process that has made no call may use the list from its config: the polling time of
/// the settings.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns when the process counts as notified of what the services had at `announced`.
pub fn notified_at(
    run: &ProcessRun,
    services: &[DiscoveryHistory; 2],
    syscall_faults: &[FaultSpan],
    announced: Instant,
) -> Instant {
    let since = announced.max(run.started);
    let silent_until = services
        .iter()
        .flat_map(|service| calls_of(run, service))
        .filter(|call| was_silent_at(call, since))
        .filter_map(silent_watch_deadline)
        .max();
    // The history of one service is enough, because both go down together.
    let reachable = services[0].reachable_from(since);
    let may_have_failed =
        has_failed_call(run, services, since) || overlaps_any(syscall_faults, since);
    let mut notified = match (silent_until, reachable) {
        (Some(deadline), _) => deadline,
        (None, Some(reachable)) if may_have_failed => reachable + NOTIFICATION_TIMEOUT,
        (None, Some(reachable)) => reachable.max(run.started + FIRST_POLL_TIMEOUT),
        (None, None) => return since + NOTIFICATION_TIMEOUT,
    };
    if let Some(written) = written_at(run, services, since) {
        notified = notified.min(written);
    }
    if !has_called_by(run, services, run.started + FIRST_POLL_TIMEOUT) {
        notified = notified.min(since.max(run.started + FIRST_POLL_TIMEOUT));
    }
    for reload in run.reloads.iter().filter(|reload| reload.at >= since) {
        notified = notified.min(reload.at + RELOAD_TIMEOUT);
    }
    notified
}

fn calls_of<'a>(
    run: &ProcessRun,
    service: &'a DiscoveryHistory,
) -> impl Iterator<Item = &'a CallRecord> {
    let caller = run.caller;
    service
        .calls
        .iter()
        .filter(move |call| call.caller == caller)
}

/// Returns whether a call of the process was neither answered nor silenced: it was rejected, broke or is still open.
/// Only calls count that may have been open within [`NOTIFICATION_TIMEOUT`] of `since`.
fn has_failed_call(run: &ProcessRun, services: &[DiscoveryHistory; 2], since: Instant) -> bool {
    let is_near = |call: &&CallRecord| {
        call.called_at <= since + NOTIFICATION_TIMEOUT
            && call.called_at + call.max_wait + NOTIFICATION_TIMEOUT >= since
    };
    services
        .iter()
        .flat_map(|service| calls_of(run, service))
        .filter(is_near)
        .any(|call| call.answered_at.is_none() && call.silenced_at.is_none())
}

/// Returns whether a fault was active at most [`NOTIFICATION_TIMEOUT`] before or after `since`.
fn overlaps_any(faults: &[FaultSpan], since: Instant) -> bool {
    faults.iter().any(|span| {
        span.from <= since + NOTIFICATION_TIMEOUT && span.to + NOTIFICATION_TIMEOUT >= since
    })
}

fn was_silent_at(call: &CallRecord, at: Instant) -> bool {
    call.silenced_at.is_some()
        && call.called_at <= at
        && call.closed_at.is_none_or(|closed| at < closed)
}

fn silent_watch_deadline(call: &CallRecord) -> Option<Instant> {
    let silenced = call.silenced_at?;
    let after_wait = call.called_at + call.max_wait + NOTIFICATION_TIMEOUT_AFTER_WAIT;
    Some(after_wait.max(silenced + NOTIFICATION_TIMEOUT))
}

/// Returns when the service that the process was configured to use first wrote a list at or after `since`, or `None`
/// if it wrote none.
fn written_at(
    run: &ProcessRun,
    services: &[DiscoveryHistory; 2],
    since: Instant,
) -> Option<Instant> {
    services
        .iter()
        .enumerate()
        .flat_map(|(number, service)| calls_of(run, service).map(move |call| (number, call)))
        .filter_map(|(number, call)| Some((number, call.answered_at?)))
        .filter(|&(number, at)| at >= since && run.service_at(at) == number)
        .map(|(_, at)| at)
        .min()
}

fn has_called_by(run: &ProcessRun, services: &[DiscoveryHistory; 2], at: Instant) -> bool {
    services
        .iter()
        .flat_map(|service| calls_of(run, service))
        .any(|call| call.called_at <= at)
}

#[cfg(test)]
#[path = "notification_tests.rs"]
mod tests;
