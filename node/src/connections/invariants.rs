//! Run-time checks that what has just been done on a socket kept the rules on requests. Violations are
//! counted and logged with the request's id and the time by which a limit was exceeded. The checks never
//! prevent an operation: [`reedferry::permission`] decides beforehand what is allowed, so a violation found
//! here is a fault of the program.

use super::connection::{Connection, Stage};
use super::Connections;
use crate::context::Context;
use crate::operators::counters::{CloseReason, Counter, Violation};
use reedferry::permission::{may_continue, may_reject, may_repeat};
use reedferry::{Idempotency, Nanos, RequestClass, MILLI};
use slog::{error, info};

/// How far a socket operation may exceed a time limit before that counts as a violation.
const TOLERANCE: Nanos = 50 * MILLI;

impl Connection {
    /// Returns the class of the request, or `None` if there is none at its index.
    fn request_class<'a>(&self, context: &'a Context) -> Option<&'a RequestClass> {
        context.classes.get(self.incoming.class)
    }

    /// Counts and logs a violation. `excess` is the time by which the limit was exceeded.
    fn report_violation(&self, context: &mut Context, rule: Violation, excess: Nanos) {
        context.metrics.add(Counter::Violated(rule));
        error!(context.log, "rule violated"; "rule" => rule.name(), "id" => self.log_id(),
            "attempts" => self.attempts, "ms" => excess / MILLI, context.turn.time_breakdown(context.clock.read()));
    }
}

impl Connections {
    /// Checks the rules on an attempt right after the last byte of its request line has been written.
    pub(super) fn check_attempt(&self, context: &mut Context, slot: usize) {
        let connection = &self.slab[slot];
        if connection.stage != Stage::Pending {
            return;
        }
        let Some(attempt) = connection.host_connection.as_ref() else {
            return;
        };
        let now = context.clock.read();
        let deadline = connection.answer_deadline();
        if now > deadline + TOLERANCE {
            connection.report_violation(context, Violation::AttemptedLate, now - deadline);
        }
        let write_by = attempt.write_by;
        if may_continue(now, write_by.saturating_add(TOLERANCE)).is_err() {
            connection.report_violation(context, Violation::RetriedLate, now - write_by);
        }
        let drain_since = context.hosts.record(attempt.host).drain_since;
        let grace = context.settings.drain_grace;
        if let Some(late) = drain_since.and_then(|left| now.checked_sub(left + grace + TOLERANCE)) {
            connection.report_violation(context, Violation::SentToDrainingHost, late);
        }
        let first_run = connection.may_have_run_since;
        let repeated = connection.request_class(context).is_some_and(|class| {
            class.idempotency == Idempotency::NonIdempotent
                && may_repeat(class, first_run, now).is_err()
        });
        if repeated {
            let since = now - first_run.unwrap_or(now);
            connection.report_violation(context, Violation::RanTwice, since);
        }
    }

    /// Checks the rules on a final answer that is about to be sent. `rejected` tells whether it is a `BUSY`.
    pub(super) fn check_answer(&self, context: &mut Context, slot: usize, rejected: bool) {
        let connection = &self.slab[slot];
        if connection.stage != Stage::Pending || connection.client.is_none() {
            return;
        }
        let now = context.clock.read();
        let deadline = connection.answer_deadline();
        if now > deadline + TOLERANCE {
            connection.report_violation(context, Violation::AnsweredLate, now - deadline);
        }
        let first_run = connection.may_have_run_since;
        let may_reject = connection
            .request_class(context)
            .is_none_or(|class| may_reject(class, first_run.is_some()));
        if rejected && !may_reject {
            let since = now - first_run.unwrap_or(now);
            connection.report_violation(context, Violation::RejectedAfterRun, since);
        }
    }

    /// Counts why a client's connection is closed, and checks that its request has been answered.
    pub(super) fn check_close(&self, context: &mut Context, slot: usize, reason: CloseReason) {
        context.metrics.add(Counter::Closed(reason));
        let connection = &self.slab[slot];
        if connection.awaits_answer() && connection.client.is_some() {
            let since = context.now - connection.started_at;
            connection.report_violation(context, Violation::Unanswered, since);
        }
        let ordinary = matches!(
            reason,
            CloseReason::Answered | CloseReason::ClientEnded | CloseReason::HandedOver
        );
        if !ordinary && context.request_lines.allow(context.now) {
            info!(context.log, "connection closed"; "id" => connection.log_id(), "why" => reason.name());
        }
    }
}
