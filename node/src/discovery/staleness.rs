//! By when a node has to know what the list service has to tell: a plain value with the caller's
//! clock. Owns how long a watch waits, when it counts as silent, when a call that failed is made again, and
//! from when on nothing new may go out. Must never know a connection, nor what a list says.
//!
//! There is one rule for every way in which a node may have missed something. `accountable_from` is the moment
//! from which it is accountable for that:
//!
//! | what happened | accountable from |
//! | --- | --- |
//! | a watch that waits is silent | [`NOTIFICATION_TIMEOUT`] after it was sent, or [`NOTIFICATION_TIMEOUT_AFTER_WAIT`] after its wait is over, if that is later |
//! | any call was rejected, given up or broke | [`NOTIFICATION_TIMEOUT`] after the last moment of which all is known |
//! | the service can't be reached at all | [`NOTIFICATION_TIMEOUT`] after the attempt before the last, as it may have been back since; while that is all that is seen |
//! | what came could not be read | at once: it counts as told when it was written |
//! | the node was switched to another service | [`NOTIFICATION_TIMEOUT_AFTER_SWITCH`] after that |
//! | a process has started, lists are pushed, and the first call is in flight | at once: what its service has counts as told then |
//!
//! Of two moments the earlier counts: the time after a call that failed goes before what a wait would leave.

use reedferry::{BalancerSettings, Nanos, MILLI, SECOND};
use std::ops::Range;

/// The longest that a watch may wait for news, as each call costs the service work.
const MAX_WATCH_WAIT: Nanos = 20 * SECOND;
/// By the protocol, what a service has to tell counts as told so long after it fell silent, whether or not it
/// came; also after any call that failed, from when the service had it and could be reached.
const NOTIFICATION_TIMEOUT: Nanos = 6 * SECOND;
/// The same for a call that may wait, after that wait is over, if that is later.
const NOTIFICATION_TIMEOUT_AFTER_WAIT: Nanos = 2 * SECOND;
/// The same after a node was switched to another service.
const NOTIFICATION_TIMEOUT_AFTER_SWITCH: Nanos = 4 * SECOND;
/// When a call that has waited is taken to have failed: so early that three quarters of the time are left to
/// call again.
const WATCH_SILENCE_TIMEOUT: Nanos = NOTIFICATION_TIMEOUT_AFTER_WAIT / 4;
/// The same for a call that does not wait: so late that it keeps its turn at a busy service.
const CALL_SILENCE_TIMEOUT: Nanos = NOTIFICATION_TIMEOUT / 3;
/// The longest that an answer is waited for beyond its wait, at a service which is known to be slow.
const MAX_ANSWER_TIMEOUT: Nanos = 4 * SECOND;
/// How many times as long as its last answer took such a service is waited for.
const ANSWER_TIMEOUT_OVER_LATENCY: f64 = 1.5;
/// Over what time at the most the nodes whose watches ended in the same moment call again.
const MAX_RECONNECT_SPREAD: Nanos = NOTIFICATION_TIMEOUT / 2;
/// The pause between attempts where lists are pushed and time is not short; the least where they are polled.
const PUSHED_RETRY_INTERVAL: Nanos = SECOND / 4;
/// What each node of the fleet adds to the pause between the attempts of one, so that the calls of all stay
/// at a rate that the service can take.
const RETRY_INTERVAL_PER_NODE: Nanos = 10 * MILLI;
/// The pause where nothing more can be missed by waiting.
const MAX_RETRY_INTERVAL: Nanos = SECOND;
/// The pause where the service may be down for long.
const OUTAGE_RETRY_INTERVAL: Nanos = 5 * SECOND / 2;
/// The least time between two watches that are answered with nothing long before their wait is over; and by
/// the protocol how late the next call may come for the watch to go on.
const MIN_EMPTY_WATCH_INTERVAL: Nanos = SECOND / 5;

/// How a call came to nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallFailure {
    /// No answer in time, or one that stopped in the middle.
    Silent,
    /// What came is no list.
    Malformed,
    /// The service said that it can't answer now.
    Rejected,
    /// Nobody is there, or the connection ended.
    Disconnected,
}

/// What is known of the service up to now, and when to call it again.
pub struct WatchStaleness {
    /// The node's place among all, from 0 to 1, by which their calls are spread.
    phase: f64,
    /// How far the waits of all watches are spread: over the time within which the service has to be able to
    /// take a call of each.
    phase_spread: Nanos,
    max_poll_interval: Nanos,
    /// For how long after a drain new connections may still go to a host.
    grace: Nanos,
    /// The least time between two attempts of one node.
    min_retry_interval: Nanos,
    /// Changes are pushed: the watch is kept up without being asked for.
    pushed: bool,
    /// A list has come, or the first call for one has failed.
    started: bool,
    /// Up to when all that the service had to tell has been heard, as far as calls have ended.
    known_until: Nanos,
    /// When the node was last seen awake, with nothing amiss.
    last_awake: Nanos,
    /// When the watch in flight was sent.
    call_started_at: Nanos,
    /// By when what that watch may miss counts as told.
    watch_deadline: Option<Nanos>,
    /// From when on the node is accountable for what it may have missed.
    accountable_from: Option<Nanos>,
    /// Whether the service has been reached since then.
    service_reached: bool,
    /// When the service was last called and could not be reached.
    unreachable_at: Nanos,
    /// When the failure happened that it is accountable for.
    failed_at: Nanos,
    /// Calls that failed since the last answer.
    failures: u32,
    /// Watches in a row that ended at once with nothing.
    empty_watches: u32,
    /// How long the service took beyond the wait of the last call of which that can be told.
    latency: Nanos,
}

impl WatchStaleness {
    /// For a node that starts now, with `grace` of a drain usable.
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
            watch_deadline: None,
            accountable_from: None,
            service_reached: false,
            unreachable_at: now,
            failed_at: now,
            failures: 0,
            empty_watches: 0,
            latency: 0,
        };
        staleness.update_settings(settings, grace);
        staleness
    }

    /// Goes by other settings from here on; what the node is accountable for stays.
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

    /// Whether changes are pushed, so that the watch is kept up without being asked for.
    pub fn is_pushed(&self) -> bool {
        self.pushed
    }

    /// The node runs, and has read what had arrived up to now. Without this, a node that was stalled would
    /// count what it missed from when it went on.
    pub fn record_awake(&mut self, now: Nanos) {
        self.last_awake = now;
    }

    /// Whether the node may have missed something, so that the next call may not wait: its answer
    /// shows that the node hears. Without this, a watch might fall silent before anything was heard
    /// on it, and the node would stay closed to new work, or worse would not, for as long as that
    /// might have waited.
    pub fn may_have_missed(&self) -> bool {
        self.accountable_from.is_some()
    }

    /// How long a watch waits: less by the node's phase, so that watches which began together and fall silent
    /// together are renewed in turn. Without that, hundreds would call a service in the same second, when
    /// time is short.
    pub fn watch_wait(&self) -> Nanos {
        MAX_WATCH_WAIT - (self.phase * self.phase_spread as f64) as Nanos
    }

    /// A watch goes out that may wait for `max_wait`.
    pub fn record_watch_start(&mut self, now: Nanos, max_wait: Nanos) {
        self.call_started_at = now;
        // Without this, a new process that waits for its first pushed list would send new work to hosts that
        // drain.
        let first_pushed = self.pushed && !self.started;
        self.watch_deadline = Some(if first_pushed {
            self.known_until
        } else {
            now + NOTIFICATION_TIMEOUT.max(max_wait + NOTIFICATION_TIMEOUT_AFTER_WAIT)
        });
    }

    /// When a call that was sent at `started_at` and may wait for `max_wait` counts as silent: later where the
    /// service is known to be slow.
    pub fn silence_deadline(&self, started_at: Nanos, max_wait: Nanos) -> Nanos {
        let usual = if max_wait > CALL_SILENCE_TIMEOUT {
            WATCH_SILENCE_TIMEOUT
        } else {
            CALL_SILENCE_TIMEOUT
        };
        let expected = (self.latency as f64 * ANSWER_TIMEOUT_OVER_LATENCY) as Nanos;
        started_at + max_wait + expected.clamp(usual, MAX_ANSWER_TIMEOUT)
    }

    /// A call that was sent at `started_at` and might wait for `max_wait` has been answered, in time or not.
    /// One answered within its wait shows nothing of how slow the service is.
    pub fn record_latency(&mut self, now: Nanos, started_at: Nanos, max_wait: Nanos) {
        if let Some(latency) = now.checked_sub(started_at + max_wait) {
            self.latency = latency;
        }
    }

    /// A call that was taken for silent, or another beside the watch, has been answered after all:
    /// all that there was when it was sent is known. Without this, a node that hears all a slow
    /// service has to tell would accept nothing new as if it did not.
    pub fn record_late_answer(&mut self, started_at: Nanos) {
        let before_failure = self.accountable_from.is_some() && started_at < self.failed_at;
        if started_at <= self.known_until || before_failure {
            return;
        }
        self.known_until = started_at;
        if let Some(accountable_from) = &mut self.accountable_from {
            *accountable_from = (*accountable_from).max(started_at + NOTIFICATION_TIMEOUT);
        }
    }

    /// By when a response that begins now has to be complete.
    pub fn body_deadline(&self, now: Nanos) -> Nanos {
        now + CALL_SILENCE_TIMEOUT
    }

    /// The watch has been answered, and the answer could be read.
    pub fn record_answer(&mut self, now: Nanos) {
        self.known_until = now;
        self.last_awake = now;
        self.watch_deadline = None;
        self.accountable_from = None;
        self.service_reached = false;
        self.failures = 0;
        self.started = true;
    }

    /// When the next watch goes out after one that was sent at `started_at`, might wait for `max_wait` and has
    /// been answered: at once, as one that comes late is a new one. A service that ends every watch at once
    /// with nothing is not called as fast as it answers.
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

    /// The node was switched to another service. Without this, a call there that is rejected would be made
    /// again too late.
    pub fn record_service_switch(&mut self, now: Nanos) {
        let deadline = now + NOTIFICATION_TIMEOUT_AFTER_SWITCH;
        let earlier = self
            .accountable_from
            .map_or(deadline, |at| at.min(deadline));
        self.accountable_from = Some(earlier);
        self.watch_deadline = None;
        self.latency = 0;
    }

    /// From when what a list tells that comes now counts as told: before now where the node was
    /// accountable for it already. Without this, the grace of a drain would be given once more to a
    /// node that learned of it late.
    pub fn effective_from(&self, now: Nanos) -> Nanos {
        self.accountable_from
            .or(self.watch_deadline)
            .map_or(now, |told| told.min(now))
    }

    /// From when to when nothing new may go out, as the node may be accountable for a drain that it
    /// does not know of: from the end of the grace on, and for as long as it may not poll by the
    /// settings, as the service is down for long then. Without this, hosts that drain would get new
    /// work from a node that was stalled, or whose calls a busy service rejected.
    pub fn stale_window(&self) -> Range<Nanos> {
        let from = self
            .accountable_from
            .or(self.watch_deadline)
            .map_or(Nanos::MAX, |told| told.saturating_add(self.grace));
        from..from.saturating_add(self.max_poll_interval)
    }

    /// From when on the node is accountable for what it may have missed by a call that fails now.
    fn accountable_after(
        &mut self,
        now: Nanos,
        failure: CallFailure,
        watch_deadline: Option<Nanos>,
    ) -> Nanos {
        // A watch that goes on has told all until it ended, but for one that was silent; between two, nothing
        // was in flight.
        let goes_on = self.accountable_from.is_none()
            && failure != CallFailure::Silent
            && self.call_started_at <= self.known_until + MIN_EMPTY_WATCH_INTERVAL;
        if goes_on {
            self.known_until = self.last_awake.max(self.call_started_at).min(now);
        }
        let after_known = self.known_until + NOTIFICATION_TIMEOUT;
        match (failure, self.accountable_from) {
            (CallFailure::Malformed, None) => now,
            (CallFailure::Malformed, Some(at)) => at.min(after_known).min(now),
            (CallFailure::Silent, None) => watch_deadline.unwrap_or(after_known),
            (CallFailure::Silent | CallFailure::Rejected, Some(at)) => at.min(after_known),
            (CallFailure::Disconnected, Some(at)) if self.service_reached => at,
            // It could not be reached when it was called before this, and may have been back since.
            (CallFailure::Disconnected, Some(_)) => self.unreachable_at + NOTIFICATION_TIMEOUT,
            (CallFailure::Disconnected | CallFailure::Rejected, None) => after_known,
        }
    }

    /// The watch failed. Returns when to call again.
    pub fn record_failure(&mut self, now: Nanos, failure: CallFailure) -> Nanos {
        let watch_deadline = self.watch_deadline.take();
        // A pushing service that is silent, or down, tells nothing that counts from the start on.
        let watch_deadline = watch_deadline.filter(|_| self.started || !self.pushed);
        self.started = true;
        let accountable_from = self.accountable_after(now, failure, watch_deadline);
        if failure == CallFailure::Disconnected {
            self.unreachable_at = self.call_started_at.max(self.known_until);
        } else {
            self.service_reached = true;
        }
        let first = self.failures == 0 && self.accountable_from.is_none();
        if self.accountable_from.is_none() || failure == CallFailure::Malformed {
            self.failed_at = now;
        }
        self.accountable_from = Some(accountable_from);
        self.failures += 1;
        self.retry_at(now, failure, first)
    }

    /// When to call again after a failure, the `first` since the last answer or not.
    fn retry_at(&self, now: Nanos, failure: CallFailure, first: bool) -> Nanos {
        let retry_at = self.polled_retry_at(now, failure, first);
        if !self.pushed {
            return retry_at;
        }
        // Where lists are pushed, what the service has counts whether or not it is watched. Without this, a
        // node would notice seconds late that the service is back.
        let soon = PUSHED_RETRY_INTERVAL.min(self.grace / 2);
        match failure {
            CallFailure::Silent | CallFailure::Disconnected | CallFailure::Rejected if first => now,
            CallFailure::Silent => now,
            CallFailure::Disconnected => self.jittered(now, soon),
            CallFailure::Rejected | CallFailure::Malformed => {
                let backoff = (soon << self.failures.min(8)).min(MAX_RETRY_INTERVAL);
                retry_at.min(self.jittered(now, backoff))
            }
        }
    }

    /// When to call again where lists are polled: ever sooner while there is time, then evenly.
    fn polled_retry_at(&self, now: Nanos, failure: CallFailure, first: bool) -> Nanos {
        let stale = self.stale_window();
        match failure {
            // Without this, a watch given up at the very moment from which the node is accountable
            // for what it missed would be sent again seconds after; and so a list that came
            // garbled, with a drain in it.
            CallFailure::Silent | CallFailure::Malformed if first => now,
            // Without this, a service that restarts would be called by all at once, up to three times by
            // each: for what changed, the whole list, the next watch.
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

    /// The end of an interval that differs between nodes, and between the attempts of one.
    fn jittered(&self, now: Nanos, interval: Nanos) -> Nanos {
        let factor = 0.5 + (self.phase * 7.0 + f64::from(self.failures) * 0.618).fract();
        now + (interval as f64 * factor) as Nanos + MILLI
    }
}

#[cfg(test)]
#[path = "staleness_tests.rs"]
mod tests;
