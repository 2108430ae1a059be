//! By when a node has to have heard of what the list service has to tell: a plain value with the caller's clock. It
//! owns how long a watch waits, when it counts as silent, when a call that failed is made again, and from when on nothing
//! new may go out. It must never know a connection, nor what a list says.
//!
//! One rule for every way in which a node may have missed something. `held` is the moment from which it is held to that:
//!
//! | what happened | held from |
//! | --- | --- |
//! | a watch that waits is silent | 6 s after it went out, or 2 s after its wait is over, if that is later |
//! | any call was refused, given up or broke | 6 s after the last moment of which all is known to have been heard |
//! | the service is not there at all | 6 s after the try before the last, as it may have been back since; while that is all that is seen |
//! | what came could not be read | at once: it counts as told when it was written |
//! | the node was led to another service | 4 s after that |
//! | a process has begun, lists are pushed, and the first call is out | at once: what its agent has counts as told then |
//!
//! Of two that hold the earlier counts: the 6 s after a call that failed go before what a wait would leave.

use reedferry::{BalancerSettings, Nanos, MILLI, SECOND};
use std::ops::Range;

/// The longest that a watch may wait for news, as each call costs the service work.
const MAX_WATCH_WAIT: Nanos = 20 * SECOND;
/// By the protocol, what a service has to tell counts as told so long after it fell silent, and for a call that
/// may wait so long after that wait is over, if that is later; whether or not it came. The first also after any call
/// that failed, from when the service had it and could be reached.
const NOTIFICATION_TIMEOUT: Nanos = 6 * SECOND;
const NOTIFICATION_TIMEOUT_AFTER_WAIT: Nanos = 2 * SECOND;
/// The same after a node was led to another service.
const NOTIFICATION_TIMEOUT_AFTER_SWITCH: Nanos = 4 * SECOND;
/// When an answer is taken not to come: of a call that has waited, so early that three quarters of that time are left
/// to call again; of one that does not wait, so late that it keeps its turn at a busy service.
const WATCH_SILENCE_TIMEOUT: Nanos = NOTIFICATION_TIMEOUT_AFTER_WAIT / 4;
const CALL_SILENCE_TIMEOUT: Nanos = NOTIFICATION_TIMEOUT / 3;
/// The longest that an answer is waited for beyond its wait, at a service which is known to be slow, and how much longer
/// than its last answer took.
const MAX_ANSWER_TIMEOUT: Nanos = 4 * SECOND;
const ANSWER_TIMEOUT_OVER_LATENCY: f64 = 1.5;
/// Within how long at the most the nodes whose watches ended in the same moment call again, in turn.
const MAX_RECONNECT_SPREAD: Nanos = NOTIFICATION_TIMEOUT / 2;
/// What a try waits after one that came to nothing, where lists are pushed and time is not short, and the least that it
/// waits where they are asked for, for each node of the fleet and in all; where nothing more can be missed by waiting;
/// and where the service may be down for long.
const PUSHED_RETRY_INTERVAL: Nanos = SECOND / 4;
const RETRY_INTERVAL_PER_NODE: Nanos = 10 * MILLI;
const MAX_RETRY_INTERVAL: Nanos = SECOND;
const OUTAGE_RETRY_INTERVAL: Nanos = 5 * SECOND / 2;

/// Where watches are answered with nothing long before their wait is over, the least that lies between two; and by the
/// protocol how late the next call may come for the watch to go on.
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

pub struct WatchStaleness {
    /// The node's place among all, from 0 to 1, and how far the moments of all are spread: over the time within which
    /// the service has to be able to take a call of each, by the settings.
    phase: f64,
    phase_spread: Nanos,
    max_poll_interval: Nanos,
    grace: Nanos,
    /// The least that lies between two tries of one node, so that those of all stay about a hundred a second.
    min_retry_interval: Nanos,
    /// The watch is kept up without being asked for.
    pushed: bool,
    /// A list has come, or the first call for one has failed.
    started: bool,
    /// Up to when all that the service had to tell has been heard, as far as calls have ended.
    known_until: Nanos,
    /// When the node was last seen awake, with nothing amiss.
    last_awake: Nanos,
    /// When the call now out went, and by when what it may miss counts as told.
    call_started_at: Nanos,
    watch_deadline: Option<Nanos>,
    /// From when on the node is held to what it may have missed, and whether the service has been there since.
    accountable_from: Option<Nanos>,
    service_reached: bool,
    /// When it was last tried and was not there.
    unreachable_at: Nanos,
    /// When what it is held to came about.
    failed_at: Nanos,
    /// Calls that failed since it heard.
    failures: u32,
    /// Watches in a row that ended at once with nothing.
    empty_watches: u32,
    /// How long the service took beyond the wait of the last call of which that can be told.
    latency: Nanos,
}

impl WatchStaleness {
    pub fn new(balancer_settings: &BalancerSettings, grace: Nanos, now: Nanos) -> Self {
        let (lease, held, reached, failures, idle) = (None, None, false, 0, 0);
        let (sure, awake, since, gone) = (now, now, now, now);
        let (place, spread, max_poll_interval, pause, unasked) = (0.0, 0, 0, 0, false);
        let mut staleness = WatchStaleness {
            phase: place,
            phase_spread: spread,
            max_poll_interval,
            grace,
            min_retry_interval: pause,
            pushed: unasked,
            started: false,
            known_until: sure,
            last_awake: awake,
            call_started_at: since,
            watch_deadline: lease,
            accountable_from: held,
            service_reached: reached,
            unreachable_at: gone,
            failed_at: now,
            failures,
            empty_watches: idle,
            latency: 0,
        };
        staleness.update_settings(balancer_settings, grace);
        staleness
    }

    /// Goes by other settings from here on; what the node is held to stays.
    pub fn update_settings(&mut self, balancer_settings: &BalancerSettings, grace: Nanos) {
        let place = (f64::from(balancer_settings.node_index) + 0.5)
            / f64::from(balancer_settings.node_count.max(1));
        (self.phase, self.phase_spread) = (
            place.min(1.0),
            balancer_settings.max_poll_interval.min(MAX_WATCH_WAIT / 2),
        );
        (self.max_poll_interval, self.grace, self.pushed) = (
            balancer_settings.max_poll_interval,
            grace,
            !balancer_settings.endpoints_are_polled,
        );
        let pause = (RETRY_INTERVAL_PER_NODE * u64::from(balancer_settings.node_count))
            .min(balancer_settings.max_poll_interval / 8);
        self.min_retry_interval = pause.clamp(PUSHED_RETRY_INTERVAL, NOTIFICATION_TIMEOUT / 5);
    }

    pub fn is_pushed(&self) -> bool {
        self.pushed
    }

    /// The node runs, and has read what had come up to now. Guards: a node that stood still, and counts what it missed from
    /// when it went on.
    pub fn record_awake(&mut self, now: Nanos) {
        self.last_awake = now;
    }

    /// Whether the node may have missed something, so that the next call may not wait: its answer tells that it hears.
    /// Guards: a watch that falls silent before anything was heard on it, and a node that is shut, or worse is not, for as
    /// long as that might have waited.
    pub fn may_have_missed(&self) -> bool {
        self.accountable_from.is_some()
    }

    /// How long a watch waits: less by the node's place, so that watches which began together and fall silent
    /// together are taken up in turn. Guards: hundreds that call a service in the same second, when time is short.
    pub fn watch_wait(&self) -> Nanos {
        MAX_WATCH_WAIT - (self.phase * self.phase_spread as f64) as Nanos
    }

    /// A watch goes out that waits so long.
    pub fn record_watch_start(&mut self, now: Nanos, hold: Nanos) {
        let told = now + NOTIFICATION_TIMEOUT.max(hold + NOTIFICATION_TIMEOUT_AFTER_WAIT);
        // Guards: new work for hosts that drain, by a new process that waits for its first pushed list.
        let first = self.pushed && !self.started;
        (self.call_started_at, self.watch_deadline) =
            (now, Some(if first { self.known_until } else { told }));
    }

    /// When a call that began at `since` and may wait so long counts as silent: later where the service is known to be slow.
    pub fn silence_deadline(&self, since: Nanos, hold: Nanos) -> Nanos {
        let usual = if hold > CALL_SILENCE_TIMEOUT {
            WATCH_SILENCE_TIMEOUT
        } else {
            CALL_SILENCE_TIMEOUT
        };
        let known = (self.latency as f64 * ANSWER_TIMEOUT_OVER_LATENCY) as Nanos;
        since + hold + known.clamp(usual, MAX_ANSWER_TIMEOUT)
    }

    /// A call that began at `since` and might wait so long has been answered, in time or not. One answered within its wait
    /// tells nothing of how slow the service is.
    pub fn record_latency(&mut self, now: Nanos, since: Nanos, hold: Nanos) {
        if let Some(latency) = now.checked_sub(since + hold) {
            self.latency = latency;
        }
    }

    /// A call that was taken for silent, or another beside the watch, has been answered after all: all that there was when it
    /// began is heard. Guards: a node that hears all a slow service has to tell, and is shut as if it did not.
    pub fn record_late_answer(&mut self, since: Nanos) {
        if since <= self.known_until
            || self
                .accountable_from
                .is_some_and(|_| since < self.failed_at)
        {
            return;
        }
        self.known_until = since;
        self.accountable_from = self
            .accountable_from
            .map(|held| held.max(since + NOTIFICATION_TIMEOUT));
    }

    /// When one whose answer began to come now does.
    pub fn body_deadline(&self, now: Nanos) -> Nanos {
        now + CALL_SILENCE_TIMEOUT
    }

    /// An answer has come, and could be read.
    pub fn record_answer(&mut self, now: Nanos) {
        (self.known_until, self.last_awake) = (now, now);
        (
            self.watch_deadline,
            self.accountable_from,
            self.service_reached,
            self.failures,
        ) = (None, None, false, 0);
        self.started = true;
    }

    /// When the next watch goes out after one that began at `since`, might wait so long and has been answered: at once,
    /// as one that comes late is a new one. Guards: a service that ends every watch at once with nothing, called as
    /// fast as it answers.
    pub fn next_watch_at(&mut self, now: Nanos, since: Nanos, hold: Nanos, news: bool) -> Nanos {
        self.empty_watches =
            if news || hold < MIN_EMPTY_WATCH_INTERVAL || now > since + MIN_EMPTY_WATCH_INTERVAL {
                0
            } else {
                self.empty_watches + 1
            };
        now + if self.empty_watches > 1 {
            MIN_EMPTY_WATCH_INTERVAL << (self.empty_watches - 2).min(3)
        } else {
            0
        }
    }

    /// The node was led to another service. Guards: a call there that is turned away, and made again too late.
    pub fn record_service_switch(&mut self, now: Nanos) {
        let told = now + NOTIFICATION_TIMEOUT_AFTER_SWITCH;
        (self.accountable_from, self.watch_deadline) = (
            Some(self.accountable_from.map_or(told, |held| held.min(told))),
            None,
        );
        self.latency = 0;
    }

    /// From when what a list tells that comes now counts as told: before now where the node was held to it already. Guards: the
    /// grace of a drain given once more to a node that heard of it late.
    pub fn effective_from(&self, now: Nanos) -> Nanos {
        self.accountable_from
            .or(self.watch_deadline)
            .map_or(now, |told| told.min(now))
    }

    /// From when to when nothing new may go out, as the node may be held to a drain that it has not heard of: from the
    /// end of the grace on, and for as long as it may not ask by the settings, as the service is down for long then.
    /// Guards: new work for hosts that drain, by a node that stood still, or whose calls a busy service turned away.
    pub fn stale_window(&self) -> Range<Nanos> {
        let from = self
            .accountable_from
            .or(self.watch_deadline)
            .map_or(Nanos::MAX, |told| told.saturating_add(self.grace));
        from..from.saturating_add(self.max_poll_interval)
    }

    /// From when on the node is held to what it may have missed by a call that fails now. Guards: a change that counts as
    /// told 6 s after the service had it, heard of later, as what failed was no silence.
    fn accountable_after(&mut self, now: Nanos, how: CallFailure, lease: Option<Nanos>) -> Nanos {
        // A watch that goes on has told all until it ended, but for one that was silent; between two, nothing was out.
        let goes_on = self.accountable_from.is_none()
            && how != CallFailure::Silent
            && self.call_started_at <= self.known_until + MIN_EMPTY_WATCH_INTERVAL;
        if goes_on {
            self.known_until = self.last_awake.max(self.call_started_at).min(now);
        }
        match (how, self.accountable_from) {
            (CallFailure::Malformed, held) => held.map_or(now, |held| {
                held.min(self.known_until + NOTIFICATION_TIMEOUT).min(now)
            }),
            (CallFailure::Silent, None) => lease.unwrap_or(self.known_until + NOTIFICATION_TIMEOUT),
            (CallFailure::Silent | CallFailure::Rejected, Some(held)) => {
                held.min(self.known_until + NOTIFICATION_TIMEOUT)
            }
            (CallFailure::Disconnected, Some(held)) if self.service_reached => held,
            // It was not there when it was tried before this, and may have been since.
            (CallFailure::Disconnected, Some(_)) => self.unreachable_at + NOTIFICATION_TIMEOUT,
            (CallFailure::Disconnected | CallFailure::Rejected, None) => {
                self.known_until + NOTIFICATION_TIMEOUT
            }
        }
    }

    /// The watch failed. Says when to call again.
    pub fn record_failure(&mut self, now: Nanos, how: CallFailure) -> Nanos {
        // An agent that says nothing, or is down, tells nothing that counts from the start on.
        let lease = self
            .watch_deadline
            .take()
            .filter(|_| self.started || !self.pushed);
        self.started = true;
        let told = self.accountable_after(now, how, lease);
        self.unreachable_at = if how == CallFailure::Disconnected {
            self.call_started_at.max(self.known_until)
        } else {
            self.unreachable_at
        };
        let first = self.failures == 0 && self.accountable_from.is_none();
        if self.accountable_from.is_none() || how == CallFailure::Malformed {
            self.failed_at = now;
        }
        (self.accountable_from, self.service_reached) = (
            Some(told),
            self.service_reached || how != CallFailure::Disconnected,
        );
        self.failures += 1;
        // Steps that differ between nodes, and between one node's tries.
        let chance = 0.5 + (self.phase * 7.0 + f64::from(self.failures) * 0.618).fract();
        let step = |span: Nanos| now + (span as f64 * chance) as Nanos + MILLI;
        let deaf = self.stale_window();
        let pressed = match how {
            // Guards: a watch given up at the very moment from which the node is held to what it missed, and
            // taken up again seconds after; a list that came garbled, and a drain in it.
            CallFailure::Silent | CallFailure::Malformed if first => now,
            // Guards: a service that starts anew and is called by all at once, up to three times by each: what changed,
            // the whole list, the next watch.
            _ if first => {
                now + (self.phase * MAX_RECONNECT_SPREAD.min(self.max_poll_interval / 2) as f64)
                    as Nanos
            }
            // Ever shorter ones while there is time, then even ones.
            CallFailure::Malformed if now < deaf.start => {
                step(((deaf.start - now) / 4).max(self.grace / 8))
            }
            _ if now < deaf.start => step(((deaf.start - now) / 4).max(self.min_retry_interval)),
            _ if now < deaf.end => step(MAX_RETRY_INTERVAL.max(self.min_retry_interval)),
            _ => step(
                OUTAGE_RETRY_INTERVAL
                    .min(self.max_poll_interval / 4)
                    .max(self.min_retry_interval),
            ),
        };
        // Where lists are pushed, what the service has counts whether or not it is watched. Guards: a node that
        // notices seconds late that the service is back.
        let soon = PUSHED_RETRY_INTERVAL.min(self.grace / 2);
        match how {
            _ if !self.pushed => pressed,
            CallFailure::Silent | CallFailure::Disconnected | CallFailure::Rejected if first => now,
            CallFailure::Silent => now,
            CallFailure::Disconnected => step(soon),
            _ => pressed.min(step((soon << self.failures.min(8)).min(MAX_RETRY_INTERVAL))),
        }
    }
}

#[cfg(test)]
#[path = "staleness_tests.rs"]
mod tests;
