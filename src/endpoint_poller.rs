//! When a node polls or watches the endpoint list. It owns the moments of these calls, their spread
//! over the fleet and the backoff after failures. It must never know what the list says, nor how a
//! call is made.

use crate::action::Action;
use crate::endpoint::EndpointUpdate;
use crate::time::{Nanos, SECOND};

/// Within how long a node that knows no host polls first, and how long it waits after a call that
/// failed, at the most, whatever the settings allow: nine in ten are to serve within 10 s of their
/// start.
const MAX_FIRST_POLL_DELAY: Nanos = 5 * SECOND;
const MAX_BACKOFF_WITHOUT_HOSTS: Nanos = 5 * SECOND / 2;
/// What a backoff starts from, and how many times it doubles.
const BASE_BACKOFF: Nanos = SECOND / 2;
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// A call to discovery that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointCall {
    /// The whole list once, at once.
    Poll,
    /// Changes from here on.
    Watch,
}

/// What the moments of calls are computed from.
#[derive(Clone, Copy)]
pub struct PollSchedule {
    /// The longest that the node may neither watch nor poll.
    pub max_poll_interval: Nanos,
    /// Its position in the fleet, from 0 to 1, where that is large.
    pub position: Option<f64>,
    /// Whether the node knows a ready host.
    pub has_hosts: bool,
}

/// When a node polls or watches the endpoint list.
#[derive(Default)]
pub struct EndpointPoller {
    watching: bool,
    /// When the call in flight was made.
    called_at: Option<Nanos>,
    failures: u32,
    next_call: Nanos,
    /// The node's first poll has been scheduled, and it has had an answer.
    first_poll_scheduled: bool,
    has_received: bool,
}

impl EndpointPoller {
    /// The call that is due now, if any.
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

    /// Nodes that start together poll in turn, within half of the time in which each has to poll by
    /// the settings, so that as much is left for retries. Prevents hundreds from calling the
    /// service at once.
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

    /// A list has arrived, by the node's own call or unasked; returns how many failures this ends,
    /// if any.
    pub fn received(&mut self, now: Nanos, schedule: PollSchedule) -> u32 {
        let called_at = self.called_at.take();
        let failures = std::mem::take(&mut self.failures);
        let first = !std::mem::replace(&mut self.has_received, true);
        let first_poll = first && !schedule.has_hosts && schedule.position.is_some();
        match called_at.filter(|_| first_poll) {
            // The watch starts as late as the settings allow. Without this, those who have a list
            // would take up the service's time while others have none.
            Some(at) => self.next_call = now.max(at + schedule.max_poll_interval / 8 * 7),
            None => self.watching = true,
        }
        if called_at.is_some() {
            failures
        } else {
            0
        }
    }

    /// A call has failed, or a watch has ended; returns how often that was so since the last list.
    pub fn failed(&mut self, now: Nanos, random: f64, schedule: PollSchedule) -> u32 {
        self.watching = false;
        self.called_at = None;
        self.failures += 1;
        // Spread and growing, so that the nodes do not overload the one service. Many are as far
        // apart at once, and call in turn where a watch has ended, as it then has for all.
        let doublings = if schedule.position.is_some() {
            MAX_BACKOFF_DOUBLINGS
        } else {
            self.failures.min(MAX_BACKOFF_DOUBLINGS)
        };
        let backoff = (BASE_BACKOFF << doublings).min(schedule.max_poll_interval / 4);
        // Without this, a node that knows no host, under settings that leave it a minute, would be
        // of no use for as long.
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

    /// An update of the list, or a failure to get one.
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

    /// Makes the call that is due, if any.
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
