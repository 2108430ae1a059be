//! The audit: run-time checks of the rules on what has just been done on a socket. It owns what is counted and logged as
//! a violation, with the request's id and the figures. It must never prevent anything: what may be done is decided in
//! `reedferry::permission` before; what is found here in spite of that is a fault of the program.

use super::{Connection, Connections, Stage};
use crate::context::Context;
use crate::operators::counts::{Close, Count, Violation};
use reedferry::permission::{may_dismiss, may_go_on, may_repeat};
use reedferry::{Idempotency, Nanos, RequestClass, MILLI};
use slog::{error, info};

/// What the rules allow on sockets beyond each time limit.
const TOLERANCE: Nanos = 50 * MILLI;

impl Connection {
    /// By when its final answer has to be out.
    pub(super) fn answer_deadline(&self) -> Nanos {
        self.started_at.saturating_add(self.timeout)
    }

    /// Its id on the wire, for the log.
    pub(super) fn log_id(&self) -> &str {
        self.wire_id.as_deref().unwrap_or("-")
    }
}

impl Connections {
    fn request_class<'a>(&self, context: &'a Context, slot: usize) -> Option<&'a RequestClass> {
        context.classes.get(self.slab[slot].incoming.class)
    }

    fn report_violation(&self, context: &mut Context, slot: usize, rule: Violation, figure: Nanos) {
        context.tally.add(Count::Violated(rule));
        let connection = &self.slab[slot];
        error!(context.log, "rule violated"; "rule" => rule.name(), "id" => connection.log_id(),
            "attempts" => connection.attempts, "ms" => figure / MILLI, context.turn.account(context.clock.read()));
    }

    /// The last byte of an attempt has been written.
    pub(super) fn check_attempt(&self, context: &mut Context, slot: usize) {
        let connection = &self.slab[slot];
        let Some(landing) = connection
            .host_connection
            .as_ref()
            .filter(|_| connection.stage == Stage::Pending)
        else {
            return;
        };
        let now = context.clock.read();
        let deadline = connection.answer_deadline();
        if now > deadline + TOLERANCE {
            self.report_violation(context, slot, Violation::AttemptedLate, now - deadline);
        }
        if may_go_on(now, landing.write_by.saturating_add(TOLERANCE)).is_err() {
            self.report_violation(
                context,
                slot,
                Violation::RepeatedLate,
                now - landing.write_by,
            );
        }
        let left = context.hosts.record(landing.host).left_since;
        let grace = context.node_settings.drain_grace;
        if let Some(late) = left.and_then(|left| now.checked_sub(left + grace + TOLERANCE)) {
            self.report_violation(context, slot, Violation::SentToLeavingHost, late);
        }
        let first_run = connection.may_have_run_since;
        let again = self.request_class(context, slot).is_some_and(|class| {
            class.idempotency == Idempotency::NonIdempotent
                && may_repeat(class, first_run, now).is_err()
        });
        if again {
            self.report_violation(
                context,
                slot,
                Violation::RanTwice,
                now - first_run.unwrap_or(now),
            );
        }
    }

    /// The final answer of a request that is owed one goes out now.
    pub(super) fn check_answer(&self, context: &mut Context, slot: usize, dismissed: bool) {
        let connection = &self.slab[slot];
        if connection.stage != Stage::Pending || connection.client.is_none() {
            return;
        }
        let (now, deadline) = (context.clock.read(), connection.answer_deadline());
        if now > deadline + TOLERANCE {
            self.report_violation(context, slot, Violation::AnsweredLate, now - deadline);
        }
        let first_run = connection.may_have_run_since;
        let harmless = self
            .request_class(context, slot)
            .is_none_or(|o| may_dismiss(o, first_run.is_some()));
        if dismissed && !harmless {
            self.report_violation(
                context,
                slot,
                Violation::DismissedAfterRun,
                now - first_run.unwrap_or(now),
            );
        }
    }

    /// A client's connection is given back now.
    pub(super) fn check_close(&self, context: &mut Context, slot: usize, why: Close) {
        context.tally.add(Count::Closed(why));
        let connection = &self.slab[slot];
        if connection.awaits_answer() && connection.client.is_some() {
            self.report_violation(
                context,
                slot,
                Violation::Unanswered,
                context.now - connection.started_at,
            );
        }
        let ordinary = matches!(why, Close::Answered | Close::ClientEnded | Close::PassedOn);
        if !ordinary && context.request_lines.allow(context.now) {
            info!(context.log, "closed"; "id" => connection.log_id(), "why" => why.name());
        }
    }
}
