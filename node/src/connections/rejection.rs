//! The reasons for which this node rejects a client by itself, and how often each has occurred since they
//! were last logged.

use super::protocol::LineError;
use reedferry::{Nanos, SECOND};
use slog::{info, Logger};
use std::collections::BTreeMap;

/// Why this node rejects a client by itself, without a decision by a host or the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// The first line is malformed.
    Malformed(LineError),
    /// The client sent more pings than are answered on one connection.
    TooManyPings,
    /// The id is that of an open request, or hosts have answered it with errors.
    IdInUse,
    /// The request may have run before, and must not run twice.
    IdAttempted,
    /// So many ids of requests that must not run twice are remembered that no further one fits.
    TooManyIds,
    /// The request class is not served.
    UnknownClass,
    /// The tenant is not served.
    UnknownTenant,
    /// The request is a reconnect, but the node started too long ago for that.
    LateReconnect,
    /// The timeout is many times longer than the longest one allowed.
    ExcessiveTimeout,
    /// The client sent more than its first line before it was answered.
    MoreThanOneLine,
    /// The client sent only a part of its first line in time.
    IncompleteLine,
    /// The client sent no part of a first line in time.
    NoLine,
    /// The client was idle, and another connection needed its descriptor.
    Evicted,
}

impl RejectReason {
    /// Returns the text for the log. Rejections with the same text are counted together.
    fn message(self) -> &'static str {
        match self {
            RejectReason::Malformed(error) => error.message(),
            RejectReason::TooManyPings => "more than 16 pings",
            RejectReason::IdInUse => "request id in use or refused by hosts",
            RejectReason::IdAttempted => "request id came again, and the request may have run",
            RejectReason::TooManyIds => "too many requests that must not run twice",
            RejectReason::UnknownClass => "unknown request class",
            RejectReason::UnknownTenant => "unknown tenant",
            RejectReason::LateReconnect => "reconnect (at) over 80 s after the start",
            RejectReason::ExcessiveTimeout => "timeout (d) not plain decimal or too large",
            RejectReason::MoreThanOneLine => "more than one line before the answer",
            RejectReason::IncompleteLine => "first line not complete in time",
            RejectReason::NoLine => "no first line in time",
            RejectReason::Evicted => "idle client evicted to free its descriptor",
        }
    }
}

impl From<LineError> for RejectReason {
    fn from(error: LineError) -> Self {
        RejectReason::Malformed(error)
    }
}

/// The number of rejections for each reason since they were last logged.
#[derive(Default)]
pub(super) struct Rejections {
    counts: BTreeMap<&'static str, u32>,
    logged_at: Nanos,
}

impl Rejections {
    /// Counts one rejection.
    pub(super) fn count(&mut self, reason: RejectReason) {
        *self.counts.entry(reason.message()).or_default() += 1;
    }

    /// Logs and resets the counts, at most once a second, so that misbehaving clients cannot flood the log.
    pub(super) fn log(&mut self, now: Nanos, log: &Logger) {
        if now < self.logged_at + SECOND {
            return;
        }
        self.logged_at = now;
        for (why, count) in std::mem::take(&mut self.counts) {
            info!(log, "clients rejected"; "why" => why, "count" => count);
        }
    }
}
