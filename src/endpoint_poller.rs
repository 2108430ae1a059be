//! Schedules when a node polls or watches the endpoint list: the times of these calls, their spread
//! over the fleet, and the backoff after failures. It must not depend on the contents of the list,
//! nor on how a call is made.

use crate::action::Action;
use crate::endpoint::EndpointUpdate;
use crate::time::{Nanos, SECOND};

/// The maximum delay of the first poll of a node that knows no host, whatever the settings allow.
/// Nine in ten nodes should serve requests within 10 s of their start.
const MAX_FIRST_POLL_DELAY: Nanos = 5 * SECOND;
/// The maximum backoff, before its random spread, of a node that knows no host. Like
/// `MAX_FIRST_POLL_DELAY`, it lets nodes serve requests soon after their start.
const MAX_BACKOFF_WITHOUT_HOSTS: Nanos = 5 * SECOND / 2;
/// The backoff before its first doubling.
const BASE_BACKOFF: Nanos = SECOND / 2;
/// The maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A call to discovery that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointCall {
    /// Fetch the whole list once, without waiting for a change.
    Poll,
    /// Watch the list for changes from now on.
    Watch,
}

/// The inputs from which the times of calls are computed.
#[derive(Clone, Copy)]
pub struct PollSchedule {
    /// The maximum time that the node may neither watch nor poll.
    pub max_poll_interval: Nanos,
    /// The node's position in a large fleet, from 0 to 1; `None` in a small fleet.
    pub position: Option<f64>,
    /// Whether the node knows a ready host.
    pub has_hosts: bool,
}

/// The state of a node's calls for the endpoint list.
#[derive(Default)]
pub struct EndpointPoller {
    watching: bool,
    /// When the call in flight was made; `None` where no call is in flight.
    called_at: Option<Nanos>,
    /// Failures in a row since the last list.
    failures: u32,
    /// The earliest time of the next call.
    next_call: Nanos,
    first_poll_scheduled: bool,
    /// Whether any list has been received.
    has_received: bool,
}

impl EndpointPoller {
    /// Returns the call that is due now, if any, and records it as in flight.
    pub fn due_call(&mut self, now: Nanos, schedule: PollSchedule) -> Option<EndpointCall> {
        self.schedule_first_poll(now, schedule);
        let in_flight = self
            .called_at
            .is_some_and(|at| now < at.saturating_add(schedule.max_poll_interval));
        if self.watching || in_flight || now < self.next_call {
            return None;
        }
        self.called_at = Some(now);
        let needs_list = schedule.position.is_some() && !schedule.has_hosts && !self.has_received;
        Some(if needs_list {
            EndpointCall::Poll
        } else {
            EndpointCall::Watch
        })
    }

    /// Spreads the first polls of nodes that start together by their position, over half of the
    /// maximum poll interval, so that the other half is left for retries. Prevents hundreds of
    /// nodes from calling the service at once.
    fn schedule_first_poll(&mut self, now: Nanos, schedule: PollSchedule) {
        let first = !std::mem::replace(&mut self.first_poll_scheduled, true);
        let Some(position) = schedule.position else {
            return;
        };
        if first && !schedule.has_hosts {
            let spread = (schedule.max_poll_interval / 2).min(MAX_FIRST_POLL_DELAY);
            self.next_call = now + (position.clamp(0.0, 1.0) * spread as f64) as Nanos;
        }
    }

    /// Records a list that has arrived, requested or not. Returns the number of failures since the
    /// last list, or 0 if no call was in flight.
    pub fn received(&mut self, now: Nanos, schedule: PollSchedule) -> u32 {
        let called_at = self.called_at.take();
        let failures = std::mem::take(&mut self.failures);
        let first = !std::mem::replace(&mut self.has_received, true);
        let first_poll = first && !schedule.has_hosts && schedule.position.is_some();
        match called_at.filter(|_| first_poll) {
            // The watch starts almost as late as the settings allow. Otherwise nodes that have a
            // list would take up the service's time while others have none.
            Some(at) => self.next_call = now.max(at + schedule.max_poll_interval / 8 * 7),
            None => self.watching = true,
        }
        if called_at.is_some() {
            failures
        } else {
            0
        }
    }

    /// Records that a call failed or a watch ended, and schedules the next call. Returns the number
    /// of failures since the last list.
    pub fn failed(&mut self, now: Nanos, random: f64, schedule: PollSchedule) -> u32 {
        self.watching = false;
        self.called_at = None;
        self.failures += 1;
        // The backoff is random and grows, so that the nodes do not overload the one service. In a
        // large fleet it has its full length at once, and after the end of a watch it is spread by
        // position instead, as the watches of all nodes have probably ended together.
        let doublings = if schedule.position.is_some() {
            MAX_BACKOFF_DOUBLINGS
        } else {
            self.failures.min(MAX_BACKOFF_DOUBLINGS)
        };
        let backoff = (BASE_BACKOFF << doublings).min(schedule.max_poll_interval / 4);
        // Without this limit, a node that knows no host could serve nothing for a minute, where the
        // settings allow a poll interval of that order.
        let backoff = if schedule.has_hosts {
            backoff
        } else {
            backoff.min(MAX_BACKOFF_WITHOUT_HOSTS)
        };
        let watch_ended = schedule.has_hosts && self.failures == 1;
        let turn = schedule.position.filter(|_| watch_ended);
        self.next_call = now + (backoff as f64 * turn.unwrap_or(0.5 + random)) as Nanos;
        self.failures
    }

    /// Handles an update of the list or a failure to get one, and logs the loss and the recovery of
    /// the list.
    pub(crate) fn updated(
        &mut self,
        now: Nanos,
        kind: EndpointUpdate,
        random: f64,
        schedule: PollSchedule,
        actions: &mut Vec<Action>,
    ) {
        match kind {
            EndpointUpdate::Failed => {
                let failures = self.failed(now, random, schedule);
                log!(actions, "endpoint list lost failures={failures}");
            }
            EndpointUpdate::Delta | EndpointUpdate::Full => {
                let failures = self.received(now, schedule);
                if failures > 0 {
                    log!(actions, "endpoint list recovered failures={failures}");
                }
            }
            EndpointUpdate::Cached => {}
        }
    }

    /// Appends the action for the call that is due, if any.
    pub(crate) fn tick(&mut self, now: Nanos, schedule: PollSchedule, actions: &mut Vec<Action>) {
        let call = self.due_call(now, schedule);
        actions.extend(call.map(|call| match call {
            EndpointCall::Poll => Action::PollEndpoints,
            EndpointCall::Watch => Action::WatchEndpoints,
        }));
    }
}

#[cfg(test)]
#[path = "endpoint_poller_tests.rs"]
mod tests;
