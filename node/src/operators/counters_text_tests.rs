//! Tests the exact metrics lines of all counters, because dashboards and alerts depend on them.

use super::*;

const LINES: [&str; 34] = [
    "app.attempts_ended.broken:1|c",
    "app.attempts_ended.called_off:1|c",
    "app.attempts_ended.done:1|c",
    "app.attempts_ended.error:1|c",
    "app.attempts_ended.never_sent:1|c",
    "app.attempts_ended.passed_on:1|c",
    "app.attempts_ended.refused:1|c",
    "app.attempts_ended.silent:1|c",
    "app.attempts_ended.unconnected:1|c",
    "app.attempts_ended.unroutable:1|c",
    "app.attempts_not_begun.client_gone:1|c",
    "app.attempts_not_begun.expired:1|c",
    "app.attempts_not_begun.host_leaving:1|c",
    "app.attempts_not_begun.host_moved:1|c",
    "app.attempts_not_begun.list_not_heard:1|c",
    "app.attempts_not_begun.may_have_run:1|c",
    "app.attempts_not_begun.outside_group:1|c",
    "app.attempts_not_begun.outside_window:1|c",
    "app.closed.answered:1|c",
    "app.closed.client_broke:1|c",
    "app.closed.client_ended:1|c",
    "app.closed.host_broke:1|c",
    "app.closed.host_stalled:1|c",
    "app.closed.made_room:1|c",
    "app.closed.malformed:1|c",
    "app.closed.passed_on:1|c",
    "app.machine_trouble.epoll_ctl:1|c",
    "app.violations.answered_late:0|c",
    "app.violations.attempted_late:0|c",
    "app.violations.dismissed_after_run:0|c",
    "app.violations.ran_twice:0|c",
    "app.violations.repeated_late:0|c",
    "app.violations.sent_to_leaving_host:0|c",
    "app.violations.unanswered:0|c",
];

#[test]
fn the_metrics_line_of_each_counter_is_unchanged() {
    let refusals = [
        Refusal::Expired,
        Refusal::ClientGone,
        Refusal::MayHaveRun,
        Refusal::OutsideWindow,
        Refusal::OutsideGroup,
        Refusal::HostDraining,
        Refusal::HostAddressChanged,
        Refusal::EndpointsStale,
    ];
    let outcomes = [
        AttemptOutcome::Completed,
        AttemptOutcome::Error,
        AttemptOutcome::Rejected,
        AttemptOutcome::TimedOut,
        AttemptOutcome::ConnectFailed,
        AttemptOutcome::ConnectionLost,
        AttemptOutcome::Cancelled,
        AttemptOutcome::NeverSent,
        AttemptOutcome::NoRoute,
        AttemptOutcome::HandedOver,
    ];
    let close_reasons = [
        CloseReason::Answered,
        CloseReason::ClientEnded,
        CloseReason::ClientBroke,
        CloseReason::HostBroke,
        CloseReason::HostStalled,
        CloseReason::Malformed,
        CloseReason::Evicted,
        CloseReason::HandedOver,
    ];
    let mut counters = Counters::default();
    refusals
        .into_iter()
        .for_each(|refusal| counters.add(Counter::NotStarted(refusal)));
    outcomes
        .into_iter()
        .for_each(|outcome| counters.add(Counter::AttemptEnded(outcome)));
    close_reasons
        .into_iter()
        .for_each(|reason| counters.add(Counter::Closed(reason)));
    counters.add(Counter::TransientFailure("epoll_ctl"));
    assert_eq!(counters.text().lines().collect::<Vec<_>>(), LINES);
}
