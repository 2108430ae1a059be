//! Measures the message latency of one host and decides which latencies are reported. This module keeps the samples
//! of one second and counts unanswered lines. It doesn't decide how the host is treated, and reports no more often
//! than the balancer needs.

use reedferry::{Nanos, MILLI, SECOND};

/// The longest latency that a short pause of a host explains. A longer one indicates a backlog.
const PAUSE_LIMIT: Nanos = 150 * MILLI;
/// The time after which a host that has answered none of several lines counts as hung.
const HUNG_TIMEOUT: Nanos = 400 * MILLI;
/// The minimum latency that is reported of a hung host: high enough that a good part of its connections is migrated,
/// and low enough that not all of them are at once.
const HUNG_LATENCY: Nanos = SECOND;
/// The maximum growth of a projected latency, in seconds per second.
const MAX_LATENCY_GROWTH: f64 = 4.0;
/// The time for which a single unanswered line doesn't count against its host.
const SINGLE_LINE_TIMEOUT: Nanos = 2500 * MILLI;
/// How long the latency of the last answer counts as the current one.
const LAST_ANSWER_LIFETIME: Nanos = SECOND / 2;
const REPORT_INTERVAL: Nanos = SECOND;
/// The maximum number of samples between two reports.
const MAX_SAMPLES: usize = 64;

/// A line and its latency, or how long it has been waiting for its answer.
#[derive(Clone, Copy, Debug)]
struct LineLatency {
    sent_at: Nanos,
    latency: Nanos,
}

/// Tracks the message latency of one host.
pub(super) struct LatencyTracker {
    /// The latencies since the last report.
    samples: Vec<Nanos>,
    /// The shortest latency so far, which approximates the network round trip.
    shortest: Nanos,
    last_answer: Option<LineLatency>,
    /// When the last line was sent whose answer was not slow.
    last_timely_send: Nanos,
    oldest_unanswered: Option<Nanos>,
    unanswered: u32,
    /// Whether the latency was above the slow threshold when it was last evaluated. One more report follows once it is not.
    reported_slow: bool,
    reported_hung: bool,
    reported_at: Nanos,
}

impl LatencyTracker {
    /// Creates the tracker of a host that is known from `now` on.
    pub(super) fn new(now: Nanos) -> Self {
        LatencyTracker {
            samples: Vec::new(),
            shortest: Nanos::MAX,
            last_answer: None,
            last_timely_send: now,
            oldest_unanswered: None,
            unanswered: 0,
            reported_slow: false,
            reported_hung: false,
            reported_at: now,
        }
    }

    /// Records that a line that was sent at `sent_at` has been answered after `latency`.
    pub(super) fn record_answer(&mut self, sent_at: Nanos, latency: Nanos, slow_threshold: Nanos) {
        self.shortest = self.shortest.min(latency);
        self.last_answer = Some(LineLatency { sent_at, latency });
        if latency <= slow_threshold.saturating_add(self.shortest) {
            self.last_timely_send = self.last_timely_send.max(sent_at);
        }
        if self.samples.len() < MAX_SAMPLES {
            self.samples.push(latency);
        }
    }

    /// Records that a line that was sent at `sent_at` is not answered yet.
    pub(super) fn record_unanswered(&mut self, sent_at: Nanos) {
        let oldest = self.oldest_unanswered.map_or(sent_at, |at| at.min(sent_at));
        self.oldest_unanswered = Some(oldest);
        self.unanswered += 1;
    }

    /// Forgets the unanswered lines, which are recorded anew before each report.
    pub(super) fn clear_unanswered(&mut self) {
        self.oldest_unanswered = None;
        self.unanswered = 0;
    }

    /// Returns whether a line that was sent later than `at` has been answered.
    pub(super) fn has_answered_since(&self, at: Nanos) -> bool {
        self.last_answer.is_some_and(|last| last.sent_at > at)
    }

    /// Returns the expected latency of a line sent at `now`, assuming that a backlog has been growing since the last
    /// line that was answered in time. The age of the waiting lines is only a fraction of that latency.
    fn projected_latency(&self, now: Nanos) -> Nanos {
        let since = self.last_timely_send;
        let growth = |line: LineLatency| {
            line.latency as f64 / line.sent_at.saturating_sub(since).max(1) as f64
        };
        let waiting = self
            .oldest_unanswered
            .filter(|&sent_at| !self.has_answered_since(sent_at))
            .map(|sent_at| LineLatency {
                sent_at,
                latency: now.saturating_sub(sent_at),
            });
        let max_growth = waiting
            .into_iter()
            .chain(self.last_answer)
            .filter(|line| line.sent_at > since)
            .map(growth)
            .fold(0.0, f64::max);
        (max_growth.min(MAX_LATENCY_GROWTH) * now.saturating_sub(since) as f64) as Nanos
    }

    /// Returns how long the oldest line has been unanswered that counts against the host, or 0 if there is none. A
    /// line that is the only unanswered one, or that was sent before an answered one, doesn't count yet. Otherwise a
    /// host that answers all its other lines would lose load over one silent connection.
    fn unanswered_for(&self, now: Nanos) -> Nanos {
        let oldest = self.oldest_unanswered.filter(|&sent_at| {
            let alone = self.unanswered == 1 && now < sent_at.saturating_add(SINGLE_LINE_TIMEOUT);
            !self.has_answered_since(sent_at) && !alone
        });
        oldest.map_or(0, |sent_at| now.saturating_sub(sent_at))
    }

    /// Returns the estimated current latency if a report is due or a backlog has just begun to form, without the
    /// network round trip. Returns `None` if nothing is to be reported.
    pub(super) fn report(&mut self, now: Nanos, slow_threshold: Nanos) -> Option<Nanos> {
        let unanswered_for = self.unanswered_for(now);
        let last = self
            .last_answer
            .filter(|last| last.sent_at + last.latency + LAST_ANSWER_LIFETIME > now)
            .map_or(0, |last| last.latency);
        // An unanswered line may be due to a pause or a hang, so it counts only from `HUNG_TIMEOUT` on. The latency of an
        // answered line counts at once.
        let worst = last.max(if unanswered_for > HUNG_TIMEOUT {
            unanswered_for
        } else {
            0
        });
        let answered_meanwhile = self
            .last_answer
            .is_some_and(|last| last.sent_at + last.latency + unanswered_for > now);
        let hung = unanswered_for > HUNG_TIMEOUT && self.unanswered > 1 && !answered_meanwhile;
        let latency = if hung && !self.reported_hung {
            worst.max(HUNG_LATENCY)
        } else if worst > PAUSE_LIMIT && !self.reported_slow {
            self.projected_latency(now).max(worst)
        } else if now < self.reported_at + REPORT_INTERVAL {
            return None;
        } else if worst > PAUSE_LIMIT {
            worst.max(if hung { 2 * HUNG_LATENCY } else { 0 })
        } else if self.samples.is_empty() {
            self.reported_at = now;
            return None;
        } else {
            let middle = self.samples.len() / 2;
            *self.samples.select_nth_unstable(middle).1
        };
        self.reported_at = now;
        self.samples.clear();
        let round_trip = if self.shortest > SECOND {
            0
        } else {
            self.shortest
        };
        let latency = latency.saturating_sub(round_trip);
        let slow = latency > slow_threshold;
        let report = slow || self.reported_slow;
        self.reported_slow = slow;
        self.reported_hung = hung;
        report.then_some(latency)
    }
}
