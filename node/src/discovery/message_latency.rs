//! How long messages take at one host, and what of that is reported. Owns the samples of one second and what
//! is still unanswered. Must never judge the host, nor report more often than is asked for.

use reedferry::{Nanos, MILLI, SECOND};

/// Beyond this a line waits not for a mere pause of its host but for work piled up.
const PAUSE_LIMIT: Nanos = 150 * MILLI;
/// The time after which a host that answers none of several lines is taken to answer none at all.
const HUNG_TIMEOUT: Nanos = 400 * MILLI;
/// What is reported of such a host at the least: so much that a good part of its connections is migrated,
/// not so much that all are at once.
const HUNG_LATENCY: Nanos = SECOND;
/// How much a second adds to a projected latency at the most, in seconds.
const MAX_LATENCY_GROWTH: f64 = 4.0;
/// How long a single line may wait before it shows anything of its host.
const SINGLE_LINE_TIMEOUT: Nanos = 2500 * MILLI;
/// For how long the last answer counts.
const LAST_ANSWER_LIFETIME: Nanos = SECOND / 2;
const REPORT_INTERVAL: Nanos = SECOND;
/// Samples kept between two reports.
const MAX_SAMPLES: usize = 64;

/// A line and how long it has taken, or waited so far.
#[derive(Clone, Copy, Debug)]
struct LineLatency {
    sent_at: Nanos,
    latency: Nanos,
}

/// The latency of messages at one host.
pub(super) struct LatencyTracker {
    /// The latencies since the last report.
    samples: Vec<Nanos>,
    /// The shortest ever: the way there and back.
    shortest: Nanos,
    last_answer: Option<LineLatency>,
    /// When the last line was sent that was answered in good time.
    last_timely_send: Nanos,
    oldest_unanswered: Option<Nanos>,
    unanswered: u32,
    /// Whether the last report was of a long latency.
    reported_slow: bool,
    reported_hung: bool,
    reported_at: Nanos,
}

impl LatencyTracker {
    /// For a host that is known from now on.
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

    /// A line that was sent at `sent_at` has been answered after `latency`.
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

    /// A line that was sent at `sent_at` is not answered yet.
    pub(super) fn record_unanswered(&mut self, sent_at: Nanos) {
        let oldest = self.oldest_unanswered.map_or(sent_at, |at| at.min(sent_at));
        self.oldest_unanswered = Some(oldest);
        self.unanswered += 1;
    }

    /// Forgets which lines are unanswered: they are recorded anew before each report.
    pub(super) fn clear_unanswered(&mut self) {
        self.oldest_unanswered = None;
        self.unanswered = 0;
    }

    /// Whether a line that was sent later than `at` has been answered.
    pub(super) fn has_answered_since(&self, at: Nanos) -> bool {
        self.last_answer.is_some_and(|last| last.sent_at > at)
    }

    /// How long a line sent now would take where work has begun to pile up since the last line that was
    /// answered in good time. Without it, a jam would be reported by the age of what waits in it, which is a
    /// fraction of it.
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
        let steepest = waiting
            .into_iter()
            .chain(self.last_answer)
            .filter(|line| line.sent_at > since)
            .map(growth)
            .fold(0.0, f64::max);
        (steepest.min(MAX_LATENCY_GROWTH) * now.saturating_sub(since) as f64) as Nanos
    }

    /// How long the oldest line has waited that shows something of the host. A line that waits alone, or that
    /// was passed by later ones, shows nothing yet: without that, a host that answers all its other lines
    /// would be cut down over one connection that fell silent.
    fn stuck_for(&self, now: Nanos) -> Nanos {
        let oldest = self.oldest_unanswered.filter(|&sent_at| {
            let alone = self.unanswered == 1 && now < sent_at.saturating_add(SINGLE_LINE_TIMEOUT);
            !self.has_answered_since(sent_at) && !alone
        });
        oldest.map_or(0, |sent_at| now.saturating_sub(sent_at))
    }

    /// What a message takes here now, as far as it can be seen, where a report is due or work has just begun
    /// to pile up.
    pub(super) fn report(&mut self, now: Nanos, slow_threshold: Nanos) -> Option<Nanos> {
        let stuck_for = self.stuck_for(now);
        let last = self
            .last_answer
            .filter(|last| last.sent_at + last.latency + LAST_ANSWER_LIFETIME > now)
            .map_or(0, |last| last.latency);
        // What waits may be paused or hung: it is given more time than what was answered late.
        let worst = last.max(if stuck_for > HUNG_TIMEOUT {
            stuck_for
        } else {
            0
        });
        let answers = self
            .last_answer
            .is_some_and(|last| last.sent_at + last.latency + stuck_for > now);
        let hung = stuck_for > HUNG_TIMEOUT && self.unanswered > 1 && !answers;
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
        let network = if self.shortest > SECOND {
            0
        } else {
            self.shortest
        };
        let latency = latency.saturating_sub(network);
        let slow = latency > slow_threshold;
        let report = slow || self.reported_slow;
        self.reported_slow = slow;
        self.reported_hung = hung;
        report.then_some(latency)
    }
}
