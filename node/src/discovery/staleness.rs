//! Decides how stale the node's copy of the endpoint list may be. This module is responsible for how long a
//! watch waits, when a call counts as silent, when a failed call is repeated, and from when on the node must not
//! start new work. It takes the time from its caller, and handles neither connections nor the content of lists.
//!
//! The protocol sets a moment from which a change counts as delivered, even if the node never received it. From
//! then on the node is accountable for the change: it may not send new work to a host that the change drains.
//! `accountable_from` is the moment from which the node is accountable for what it may have missed:
//!
//! | event | accountable from |
//! | --- | --- |
//! | a waiting watch is silent | [`NOTIFICATION_TIMEOUT`] after it was sent or [`NOTIFICATION_TIMEOUT_AFTER_WAIT`] after the end of its wait, whichever is later |
//! | a call was rejected, timed out or broke | [`NOTIFICATION_TIMEOUT`] after the last moment up to which all changes are known |
//! | no connection to the service has come up since the failure | [`NOTIFICATION_TIMEOUT`] after the previous attempt, as the service may have been up since then |
//! | a pushed watch broke, and the renewed call has come up and waits or was turned away after a wait | at once: what a pushing service has counts as delivered whether or not it is watched |
//! | a response could not be read | at once: a change counts as delivered when the service has written it |
//! | the node was switched to another service | [`NOTIFICATION_TIMEOUT_AFTER_SWITCH`] after the switch |
//! | a new process with pushed lists waits for its first call | at once: everything that the service has counts as delivered at the start |
//!
//! If several rows apply, the earliest moment counts. For example, the timeout after a failed call takes
//! precedence over the later moment that the wait of a watch would allow.

use reedferry::{BalancerSettings, Nanos, MILLI, SECOND};
use std::ops::Range;

/// The longest wait of a watch for changes. Waits are long because each call costs the service work.
const MAX_WATCH_WAIT: Nanos = 20 * SECOND;
/// The time from which a change counts as delivered by the protocol, whether or not it arrived: counted from
/// when the service fell silent, or, after a failed call, from when the service had the change and was reachable.
const NOTIFICATION_TIMEOUT: Nanos = 6 * SECOND;
/// The time after the end of a call's wait from which a change counts as delivered, if that is later.
const NOTIFICATION_TIMEOUT_AFTER_WAIT: Nanos = 2 * SECOND;
/// The time after a switch to another service from which a change counts as delivered.
const NOTIFICATION_TIMEOUT_AFTER_SWITCH: Nanos = 4 * SECOND;
/// The time after the end of its wait at which a waiting call counts as silent. Three quarters of
/// [`NOTIFICATION_TIMEOUT_AFTER_WAIT`] are left for another call.
const WATCH_SILENCE_TIMEOUT: Nanos = NOTIFICATION_TIMEOUT_AFTER_WAIT / 4;
/// The time after which a call that does not wait counts as silent. A shorter time would make the call lose its
/// place in the queue of a busy service.
const CALL_SILENCE_TIMEOUT: Nanos = NOTIFICATION_TIMEOUT / 3;
/// The longest time beyond its wait that a call is given at a service that is known to be slow.
const MAX_ANSWER_TIMEOUT: Nanos = 4 * SECOND;
/// The time that a slow service is given for an answer, as a multiple of the latency of its last answer.
const ANSWER_TIMEOUT_OVER_LATENCY: f64 = 1.5;
/// The longest time over which nodes whose watches ended at the same moment spread their next calls.
const MAX_RECONNECT_SPREAD: Nanos = NOTIFICATION_TIMEOUT / 2;
/// The retry interval while lists are pushed, unless half the grace of a drain is shorter. Also the minimum retry
/// interval while lists are polled.
const PUSHED_RETRY_INTERVAL: Nanos = SECOND / 4;
/// The time that each node of the fleet adds to every node's retry interval, so that the call rate of the whole
/// fleet stays within what the service can handle.
const RETRY_INTERVAL_PER_NODE: Nanos = 10 * MILLI;
/// The retry interval while the node already accepts no new work, so that a later call misses nothing more. Also the
/// longest backoff after rejected calls and malformed lists while lists are pushed.
const MAX_RETRY_INTERVAL: Nanos = SECOND;
/// The retry interval while the service may be down for long.
const OUTAGE_RETRY_INTERVAL: Nanos = 5 * SECOND / 2;
/// The minimum time between two watches that are answered without changes long before the end of their wait. By the
/// protocol, also the longest gap between two calls that still belong to one continuous watch.
const MIN_EMPTY_WATCH_INTERVAL: Nanos = SECOND / 5;
/// The shortest time after which a call that fails has waited for its turn at a busy service. A service that is down
/// ends calls sooner.
const MIN_QUEUE_TIME: Nanos = SECOND / 5;

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFailure {
    /// There was no answer in time, or the answer stopped in the middle.
    Silent,
    /// The response could not be read as a list.
    Malformed,
    /// The service answered with an error status.
    Rejected,
    /// The connection could not be opened, or it ended. Whether the service was reached is told by
    /// [`WatchStaleness::record_connected`].
    Disconnected,
}

/// Tracks up to when the node knows all changes, and when it has to call the service again.
pub struct WatchStaleness {
    /// The position of the node among all nodes, from 0 to 1, which spreads their calls.
    phase: f64,
    /// The span over which the waits of all watches are spread: the time within which the service has to be able
    /// to handle one call of each node.
    phase_spread: Nanos,
    max_poll_interval: Nanos,
    /// How long after the start of a drain a host may still get new connections.
    grace: Nanos,
    /// The minimum time between two calls of one node after a failure.
    min_retry_interval: Nanos,
    /// Whether changes are pushed, so that the watch is renewed without a request from the balancer.
    pushed: bool,
    /// Whether a list has arrived or the first call has failed.
    started: bool,
    /// The moment up to which all changes are known, judged by the calls that have ended.
    known_until: Nanos,
    /// When the node last ran with everything read that had arrived.
    last_awake: Nanos,
    /// When the last watch was sent.
    call_started_at: Nanos,
    /// When the connection of the watch in flight came up; `None` if it has not, or if it served an earlier call.
    connected_at: Option<Nanos>,
    /// The moment at which a change that the watch in flight misses counts as delivered; `None` if no watch is in
    /// flight.
    watch_deadline: Option<Nanos>,
    /// The moment from which the node is accountable for what it may have missed; `None` if it missed nothing.
    accountable_from: Option<Nanos>,
    /// Since when no watch has been open because the last one broke or the process is new; `None` if one is open, or
    /// silent. A pushing service that is up makes the node accountable from this moment.
    unwatched_since: Option<Nanos>,
    /// Whether the service has been seen to be up and busy while no watch was open.
    seen_busy: bool,
    /// Whether the service has been reached since the node may have missed something.
    service_reached: bool,
    /// When the last call was sent that could not reach the service.
    unreachable_at: Nanos,
    /// When the failure occurred that `accountable_from` follows from.
    failed_at: Nanos,
    /// When the first call failed since the last answer.
    first_failed_at: Nanos,
    /// The number of failed calls since the last answer.
    failures: u32,
    /// The number of successive watches that ended early without changes.
    empty_watches: u32,
    /// How long the service took beyond the wait of the last call that outlasted its wait.
    latency: Nanos,
}

impl WatchStaleness {
    /// Creates the state of a node that starts at `now` and may use the first `grace` of each drain.
    pub fn new(settings: &BalancerSettings, grace: Nanos, now: Nanos) -> Self {
        let mut staleness = WatchStaleness {
            phase: 0.0,
            phase_spread: 0,
            max_poll_interval: 0,
            grace,
            min_retry_interval: 0,
            pushed: false,
            started: false,
            known_until: now,
            last_awake: now,
            call_started_at: now,
            connected_at: None,
            watch_deadline: None,
            accountable_from: None,
            unwatched_since: None,
            seen_busy: false,
            service_reached: false,
            unreachable_at: now,
            failed_at: now,
            first_failed_at: now,
            failures: 0,
            empty_watches: 0,
            latency: 0,
        };
        staleness.update_settings(settings, grace);
        staleness
    }

    /// Applies new settings. What the node is accountable for stays unchanged.
    pub fn update_settings(&mut self, settings: &BalancerSettings, grace: Nanos) {
        let nodes = settings.node_count.max(1);
        let phase = (f64::from(settings.node_index) + 0.5) / f64::from(nodes);
        self.phase = phase.min(1.0);
        self.phase_spread = settings.max_poll_interval.min(MAX_WATCH_WAIT / 2);
        self.max_poll_interval = settings.max_poll_interval;
        self.grace = grace;
        self.pushed = !settings.endpoints_are_polled;
        let interval = RETRY_INTERVAL_PER_NODE * u64::from(settings.node_count);
        self.min_retry_interval = interval
            .min(settings.max_poll_interval / 8)
            .clamp(PUSHED_RETRY_INTERVAL, NOTIFICATION_TIMEOUT / 5);
    }

    /// Returns whether changes are pushed, so that the watch is renewed without a request from the balancer.
    pub fn is_pushed(&self) -> bool {
        self.pushed
    }

    /// Records that the node runs and has read everything that arrived before `now`. Without this record, a node
    /// that was stalled would take everything before its resumption for known.
    pub fn record_awake(&mut self, now: Nanos) {
        self.last_awake = now;
    }

    /// Returns whether the node may have missed a change. The next call must then not wait, as only an answer
    /// shows that the connection works. A waiting call could fall silent unnoticed, and for its whole wait the
    /// node would reject new work, or send it to draining hosts. A new process may have missed every pushed change
    /// since its known list.
    pub fn may_have_missed(&self) -> bool {
        self.accountable_from.is_some() || (self.pushed && !self.started)
    }

    /// Returns how long a watch waits. The wait is shortened by the node's phase, so that watches that began
    /// together end one after another. Otherwise hundreds of nodes would call the service in the same second when
    /// their watches fall silent together, with little time left.
    pub fn watch_wait(&self) -> Nanos {
        MAX_WATCH_WAIT - (self.phase * self.phase_spread as f64) as Nanos
    }

    /// Records that a watch is sent that may wait for `max_wait`.
    pub fn record_watch_start(&mut self, now: Nanos, max_wait: Nanos) {
        self.call_started_at = now;
        self.connected_at = None;
        // A new process is accountable at once for the first pushed list. Otherwise it would send new work to
        // draining hosts while it waits for that list.
        let first_pushed = self.pushed && !self.started;
        self.watch_deadline = Some(if first_pushed {
            *self.unwatched_since.get_or_insert(self.known_until)
        } else {
            now + NOTIFICATION_TIMEOUT.max(max_wait + NOTIFICATION_TIMEOUT_AFTER_WAIT)
        });
    }

    /// Records that the connection of the watch in flight has come up, so that the service is reached. Without this
    /// record, a busy service that resets its calls would look like one that is not there, and the node would never
    /// count as notified.
    pub fn record_connected(&mut self, now: Nanos) {
        self.connected_at.get_or_insert(now);
    }

    /// Returns when a call that was sent at `started_at` and may wait for `max_wait` counts as silent. A service
    /// that is known to be slow is given more time.
    pub fn silence_deadline(&self, started_at: Nanos, max_wait: Nanos) -> Nanos {
        let usual = if max_wait > CALL_SILENCE_TIMEOUT {
            WATCH_SILENCE_TIMEOUT
        } else {
            CALL_SILENCE_TIMEOUT
        };
        let expected = (self.latency as f64 * ANSWER_TIMEOUT_OVER_LATENCY) as Nanos;
        started_at + max_wait + expected.clamp(usual, MAX_ANSWER_TIMEOUT)
    }

    /// Records the answer to a call that was sent at `started_at` and might wait for `max_wait`, even if it came
    /// too late. An answer within the wait says nothing about the latency of the service.
    pub fn record_latency(&mut self, now: Nanos, started_at: Nanos, max_wait: Nanos) {
        if let Some(latency) = now.checked_sub(started_at + max_wait) {
            self.latency = latency;
        }
    }

    /// Records the answer to a call that counted as silent, or to a call beside the watch: all changes up to
    /// `started_at`, when the call was sent, are known. Without this record, a node would reject new work although
    /// it receives every change of a slow service.
    pub fn record_late_answer(&mut self, started_at: Nanos) {
        let before_failure = self.accountable_from.is_some() && started_at < self.failed_at;
        if started_at <= self.known_until || before_failure {
            return;
        }
        self.known_until = started_at;
        if let Some(accountable_from) = &mut self.accountable_from {
            *accountable_from = (*accountable_from).max(started_at + NOTIFICATION_TIMEOUT);
        }
        if let Some(unwatched_since) = &mut self.unwatched_since {
            *unwatched_since = (*unwatched_since).max(started_at);
        }
    }

    /// Returns when a response that begins at `now` has to be complete.
    pub fn body_deadline(&self, now: Nanos) -> Nanos {
        now + CALL_SILENCE_TIMEOUT
    }

    /// Records that the watch has been answered with a readable list.
    pub fn record_answer(&mut self, now: Nanos) {
        self.known_until = now;
        self.last_awake = now;
        self.watch_deadline = None;
        self.accountable_from = None;
        self.unwatched_since = None;
        self.seen_busy = false;
        self.connected_at = None;
        self.service_reached = false;
        self.failures = 0;
        self.started = true;
    }

    /// Returns when to send the next watch, after one that was sent at `started_at`, might wait for `max_wait` and
    /// has been answered. That is usually at once, as a late call does not continue the watch. Successive empty
    /// answers long before the end of the wait cause a growing delay, so that the service is not called as fast as
    /// it answers.
    pub fn next_watch_at(
        &mut self,
        now: Nanos,
        started_at: Nanos,
        max_wait: Nanos,
        has_news: bool,
    ) -> Nanos {
        let waited = now > started_at + MIN_EMPTY_WATCH_INTERVAL;
        if has_news || max_wait < MIN_EMPTY_WATCH_INTERVAL || waited {
            self.empty_watches = 0;
        } else {
            self.empty_watches += 1;
        }
        if self.empty_watches > 1 {
            now + (MIN_EMPTY_WATCH_INTERVAL << (self.empty_watches - 2).min(3))
        } else {
            now
        }
    }

    /// Records that the node was switched to another service. Without this record, a call that the new service
    /// rejects would be repeated too late.
    pub fn record_service_switch(&mut self, now: Nanos) {
        let deadline = now + NOTIFICATION_TIMEOUT_AFTER_SWITCH;
        let earlier = self
            .delivered_from()
            .map_or(deadline, |at| at.min(deadline));
        if self.accountable_from.is_none() {
            // The watch of the previous service has delivered all its changes.
            self.known_until = self.known_until.max(self.last_awake);
        }
        self.accountable_from = Some(earlier);
        // No call has found the new service gone yet.
        self.unreachable_at = deadline.saturating_sub(NOTIFICATION_TIMEOUT);
        self.unwatched_since = Some(deadline);
        self.seen_busy = false;
        self.connected_at = None;
        self.watch_deadline = None;
        self.latency = 0;
    }

    /// Returns the moment from which a change that the node may have missed counts as delivered; `None` if it has missed
    /// nothing. What a pushing service has counts whether or not it is watched, unless it is down. A call that comes
    /// up and waits for its turn shows that it is not.
    fn delivered_from(&self) -> Option<Nanos> {
        let is_up = self.seen_busy || self.connected_at.is_some();
        let unwatched_since = self.unwatched_since.filter(|_| self.pushed && is_up);
        self.accountable_from
            .into_iter()
            .chain(unwatched_since)
            .min()
    }

    /// Returns the moment from which the content of a list that arrives at `now` counts as delivered: before `now`
    /// if the node was already accountable for it. Otherwise the grace of a drain would start anew when a node
    /// learns of it late.
    pub fn effective_from(&self, now: Nanos) -> Nanos {
        self.delivered_from()
            .or(self.watch_deadline)
            .map_or(now, |delivered| delivered.min(now))
    }

    /// Returns the window in which the node must not send new work, as it may be accountable for a drain that it
    /// does not know of. The window begins when the grace of such a drain ends and lasts for the longest poll
    /// interval of the settings, counted from when the node noticed if that is later; after that the service counts
    /// as down. It is empty, at `Nanos::MAX`, if no watch is in flight and nothing was missed. Without it, draining
    /// hosts would get new work from a node that was stalled or whose calls a busy service rejected.
    pub fn stale_window(&self) -> Range<Nanos> {
        let after_grace = |delivered: Option<Nanos>| {
            delivered.map_or(Nanos::MAX, |delivered| delivered.saturating_add(self.grace))
        };
        let from = after_grace(self.delivered_from().or(self.watch_deadline));
        // A silent watch is noticed only after its wait, when the node may long have been accountable.
        let noticed_from =
            after_grace(self.accountable_from.or(self.watch_deadline)).max(self.first_failed_at);
        from..noticed_from.saturating_add(self.max_poll_interval)
    }

    /// Returns the moment from which the node is accountable for what it may have missed, given a call that fails
    /// at `now`.
    fn accountable_after(
        &mut self,
        now: Nanos,
        failure: CallFailure,
        watch_deadline: Option<Nanos>,
    ) -> Nanos {
        let continuous = failure != CallFailure::Silent && self.extend_known_until(now);
        let connected = self.connected_at.is_some_and(|at| at > self.known_until);
        let reached_before = self.service_reached;
        self.service_reached |= connected && !continuous;
        let after_known = self.known_until + NOTIFICATION_TIMEOUT;
        match (failure, self.accountable_from) {
            (CallFailure::Malformed, None) => now,
            (CallFailure::Malformed, Some(at)) => at.min(after_known).min(now),
            (CallFailure::Silent, None) => watch_deadline.unwrap_or(after_known),
            (CallFailure::Silent | CallFailure::Rejected, Some(at)) => at.min(after_known),
            // The service was there when the call came up, and may have been since the last call that did not reach it.
            (CallFailure::Disconnected, Some(at)) if connected && !reached_before => {
                at.min(after_known.max(self.unreachable_at + NOTIFICATION_TIMEOUT))
            }
            (CallFailure::Disconnected, Some(at)) if connected => at.min(after_known),
            (CallFailure::Disconnected, Some(at)) if reached_before => at,
            // The previous call did not reach the service either, but the service may have been up since then.
            (CallFailure::Disconnected, Some(_)) => self.unreachable_at + NOTIFICATION_TIMEOUT,
            (CallFailure::Disconnected | CallFailure::Rejected, None) => after_known,
        }
    }

    /// Moves the moment up to which all changes are known to the end of the watch in flight, which ends at `now`, if
    /// the watch is continuous. Returns whether it is. A continuous watch has delivered every change until it ended,
    /// but for one that fell silent. While no call was in flight, changes may have been missed.
    fn extend_known_until(&mut self, now: Nanos) -> bool {
        let continuous = self.accountable_from.is_none()
            && self.call_started_at <= self.known_until + MIN_EMPTY_WATCH_INTERVAL;
        if continuous {
            self.known_until = self.last_awake.max(self.call_started_at).min(now);
        }
        continuous
    }

    /// Records that the connection of the watch in flight has ended and that the watch is sent again at once, as a
    /// connection that the service closed while it was idle is no failure. Until the answer to the repeated watch, the
    /// service is not watched. Without this record, a node would send new work to hosts that drain while a pushing
    /// service lets the repeated watch wait for its turn.
    pub fn record_watch_resent(&mut self, now: Nanos) {
        self.extend_known_until(now);
        self.unwatched_since.get_or_insert(self.known_until);
    }

    /// Records for a pushing service since when it has not been watched, and whether it was up, given a watch that
    /// fails at `now`. `first` tells whether it is the first failure since the last answer. A call that is reset or
    /// rejected sooner than it can have waited for its turn says nothing of that: the service may be down.
    fn record_unwatched(&mut self, now: Nanos, failure: CallFailure, first: bool) {
        let connected_at = self.connected_at.take();
        let waited = connected_at.is_some_and(|at| now >= at + MIN_QUEUE_TIME);
        match self.unwatched_since {
            // Silence has a deadline of its own, from the first call of a process on.
            _ if failure == CallFailure::Silent && !self.started => self.unwatched_since = None,
            None if failure == CallFailure::Silent => {}
            None if first => self.unwatched_since = Some(self.known_until),
            // The silent watch is given up once a call in its place has failed too.
            None => {
                self.unwatched_since = Some(self.first_failed_at);
                self.seen_busy = waited;
            }
            Some(_) if connected_at.is_some() || self.seen_busy => self.seen_busy |= waited,
            // The service was not there yet when the call was sent.
            Some(since) if failure == CallFailure::Disconnected => {
                self.unwatched_since = Some(since.max(self.call_started_at));
            }
            Some(_) => {}
        }
    }

    /// Records that the watch failed, and returns when to call again.
    pub fn record_failure(&mut self, now: Nanos, failure: CallFailure) -> Nanos {
        let watch_deadline = self.watch_deadline.take();
        // If the first call to a pushing service fails, nothing counts as delivered at the start.
        let watch_deadline = watch_deadline.filter(|_| self.started || !self.pushed);
        let first = self.accountable_from.is_none();
        if self.failures == 0 {
            self.first_failed_at = now;
        }
        let accountable_from = self.accountable_after(now, failure, watch_deadline);
        self.record_unwatched(now, failure, first);
        self.started = true;
        if failure == CallFailure::Disconnected && !self.service_reached {
            self.unreachable_at = self.call_started_at.max(self.known_until);
        } else {
            self.service_reached = true;
        }
        if first || failure == CallFailure::Malformed {
            self.failed_at = now;
        }
        self.accountable_from = Some(accountable_from);
        self.failures += 1;
        self.retry_at(now, failure, first && self.failures == 1)
    }

    /// Returns when to call again after a failure. `first` tells whether it is the first since the last answer.
    fn retry_at(&self, now: Nanos, failure: CallFailure, first: bool) -> Nanos {
        let retry_at = self.polled_retry_at(now, failure, first);
        if !self.pushed {
            return retry_at;
        }
        // A pushing service makes the node accountable for its changes even while no watch is in flight. With the
        // intervals of polling, the node would notice seconds late that the service is back.
        let short_interval = PUSHED_RETRY_INTERVAL.min(self.grace / 2);
        match failure {
            CallFailure::Silent | CallFailure::Disconnected | CallFailure::Rejected if first => now,
            CallFailure::Silent => now,
            CallFailure::Disconnected => self.jittered(now, short_interval),
            CallFailure::Rejected | CallFailure::Malformed => {
                let backoff = (short_interval << self.failures.min(8)).min(MAX_RETRY_INTERVAL);
                retry_at.min(self.jittered(now, backoff))
            }
        }
    }

    /// Returns when to call again if lists are polled: at intervals that shrink until the stale window begins,
    /// and at even ones from then on.
    fn polled_retry_at(&self, now: Nanos, failure: CallFailure, first: bool) -> Nanos {
        let stale = self.stale_window();
        match failure {
            // The retry is immediate, as the node is accountable very soon. Otherwise a watch that timed out, or
            // a list that could not be read and may contain a drain, would be requested again seconds too late.
            CallFailure::Silent | CallFailure::Malformed if first => now,
            // The nodes spread their retries. Otherwise a service that restarts would be called by all of them at
            // once, up to three times by each: for the changes, for the full list, and for the next watch.
            _ if first => {
                let spread = MAX_RECONNECT_SPREAD.min(self.max_poll_interval / 2);
                now + (self.phase * spread as f64) as Nanos
            }
            CallFailure::Malformed if now < stale.start => {
                self.jittered(now, ((stale.start - now) / 4).max(self.grace / 8))
            }
            _ if now < stale.start => {
                self.jittered(now, ((stale.start - now) / 4).max(self.min_retry_interval))
            }
            _ if now < stale.end => {
                self.jittered(now, MAX_RETRY_INTERVAL.max(self.min_retry_interval))
            }
            _ => {
                let interval = OUTAGE_RETRY_INTERVAL.min(self.max_poll_interval / 4);
                self.jittered(now, interval.max(self.min_retry_interval))
            }
        }
    }

    /// Returns the end of an interval that begins at `now` and is 0.5 to 1.5 times as long as `interval`. The
    /// factor differs between nodes and between the attempts of one node.
    fn jittered(&self, now: Nanos, interval: Nanos) -> Nanos {
        let factor = 0.5 + (self.phase * 7.0 + f64::from(self.failures) * 0.618).fract();
        now + (interval as f64 * factor) as Nanos + MILLI
    }
}

#[cfg(test)]
#[path = "staleness_tests.rs"]
mod tests;
