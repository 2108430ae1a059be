//! Why this node rejects a client that no host has seen, and how often it did since that was last logged.

use super::protocol::LineError;
use reedferry::{Nanos, SECOND};
use slog::{info, Logger};
use std::collections::BTreeMap;

/// Why a client is rejected before its request is anybody's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectReason {
    /// Its first line is malformed.
    Malformed(LineError),
    /// It sent more pings than a connection may.
    TooManyPings,
    /// Its id is that of an open request, or one that hosts have refused.
    IdInUse,
    /// It names a request class that is not served.
    UnknownClass,
    /// It names a tenant that is not served.
    UnknownTenant,
    /// It says that it was connected before, long after the node started.
    LateReconnect,
    /// It would wait for much longer than any request may.
    ExcessiveTimeout,
    /// It sent more than its first line before its answer.
    MoreThanOneLine,
    /// Its first line was not complete in time.
    IncompleteLine,
    /// It sent nothing in time.
    NoLine,
    /// It had sent nothing, and another client needed its descriptor.
    NoDescriptors,
}

impl RejectReason {
    /// Its text in the log, by which rejections are counted.
    fn message(self) -> &'static str {
        match self {
            RejectReason::Malformed(error) => error.message(),
            RejectReason::TooManyPings => "too many pings",
            RejectReason::IdInUse => "an id that is in use",
            RejectReason::UnknownClass => "an unknown offering",
            RejectReason::UnknownTenant => "an unknown tenant",
            RejectReason::LateReconnect => "a standing connection long after the start",
            RejectReason::ExcessiveTimeout => "a wild wait",
            RejectReason::MoreThanOneLine => "more than one line before its answer",
            RejectReason::IncompleteLine => "no whole line in time",
            RejectReason::NoLine => "nothing in time",
            RejectReason::NoDescriptors => "no descriptors for the silent",
        }
    }
}

impl From<LineError> for RejectReason {
    fn from(error: LineError) -> Self {
        RejectReason::Malformed(error)
    }
}

/// Rejections since they were last logged.
#[derive(Default)]
pub(super) struct Rejections {
    counts: BTreeMap<&'static str, u32>,
    logged_at: Nanos,
}

impl Rejections {
    /// Counts one more.
    pub(super) fn count(&mut self, reason: RejectReason) {
        *self.counts.entry(reason.message()).or_default() += 1;
    }

    /// Logs the counts once a second. Prevents bad clients from filling the log.
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
