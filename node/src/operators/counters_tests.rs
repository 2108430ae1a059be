//! Tests which counters are listed, and from when.

use super::*;

#[test]
fn violations_are_listed_from_the_start_and_other_counters_once_counted() {
    let mut counters = Counters::default();
    assert_eq!(counters.text().lines().count(), Violation::ALL.len());
    assert!(counters.text().contains("app.violations.unanswered:0|c\n"));
    for _ in 0..2 {
        counters.add(Counter::Violated(Violation::Unanswered));
    }
    counters.add(Counter::AttemptEnded(AttemptOutcome::NeverSent));
    counters.add(Counter::NotStarted(Refusal::EndpointsStale));
    let text = counters.text();
    for line in [
        "app.violations.unanswered:2|c",
        "app.attempts_ended.never_sent:1|c",
        "app.attempts_not_begun.list_not_heard:1|c",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
}

#[test]
fn each_violation_has_a_unique_name() {
    let names: std::collections::BTreeSet<_> = Violation::ALL.iter().map(|v| v.name()).collect();
    assert_eq!(names.len(), Violation::ALL.len());
}
