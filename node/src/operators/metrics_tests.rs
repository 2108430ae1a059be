//! Tests the text of the metrics.

use super::*;

#[test]
fn each_metric_has_one_line_and_class_names_are_escaped() {
    let mut metrics = Metrics::default();
    metrics.add_classes(&["chat".into(), "a.b:c|d e".into(), "chat".into()]);
    metrics.record_outcome("chat", RequestOutcome::Served);
    metrics.record_outcome("chat", RequestOutcome::Rejected);
    metrics.record_outcome("a.b:c|d e", RequestOutcome::Failed);
    metrics.record_outcome("unknown", RequestOutcome::Failed);
    metrics.record_attempt();
    metrics.record_reload(true);
    metrics.record_reload(false);
    let text = metrics.text(&Gauges {
        in_flight: 14,
        hosts_known: 9,
        hosts_excluded: 2,
    });
    let expected =
        "app.requests.chat.served:1|c\napp.requests.chat.refused:1|c\napp.requests.chat.failed:0|c\n\
        app.requests.a_b_c_d_e.served:0|c\napp.requests.a_b_c_d_e.refused:0|c\n\
        app.requests.a_b_c_d_e.failed:1|c\napp.attempts:1|c\napp.in_flight:14|g\napp.hosts_known:9|g\n\
        app.hosts_excluded:2|g\napp.reloads_ok:1|c\napp.reloads_failed:1|c\n";
    assert_eq!(text, expected.to_string() + &Counters::default().text());
}

/// Guards against an overload in which the metrics do not show which class is shed, or which one is retried and why.
#[test]
fn retries_are_counted_by_class_and_reason_and_shed_requests_by_class() {
    let mut metrics = Metrics::default();
    metrics.add_classes(&["chat".into(), "a.b".into()]);
    metrics.record_retry("chat", AttemptOutcome::Error);
    metrics.record_retry("chat", AttemptOutcome::Error);
    metrics.record_retry("chat", AttemptOutcome::TimedOut);
    metrics.record_shed("a.b");
    metrics.record_shed("unknown");
    let text = metrics.text(&Gauges::default());
    let expected =
        "app.retries.chat.error:2|c\napp.retries.chat.silent:1|c\napp.requests_shed.a_b:1|c\n";
    assert!(text.contains(expected), "{text}");
}
