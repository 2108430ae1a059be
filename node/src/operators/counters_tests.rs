//! Which counters have lines, and from when on.

use super::*;

#[test]
fn violations_have_lines_from_the_start_and_the_rest_once_counted() {
    let mut counts = Counters::default();
    assert_eq!(counts.text().lines().count(), Violation::ALL.len());
    assert!(counts.text().contains("app.violations.unanswered:0|c\n"));
    for _ in 0..2 {
        counts.add(Counter::Violated(Violation::Unanswered));
    }
    counts.add(Counter::AttemptEnded(AttemptOutcome::NeverSent));
    counts.add(Counter::NotStarted(Refusal::EndpointsStale));
    let text = counts.text();
    for line in [
        "app.violations.unanswered:2|c",
        "app.attempts_ended.never_sent:1|c",
        "app.attempts_not_begun.list_not_heard:1|c",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} in {text}");
    }
}

#[test]
fn each_kind_has_a_name_of_its_own() {
    let names: std::collections::BTreeSet<_> = Violation::ALL.iter().map(|v| v.name()).collect();
    assert_eq!(names.len(), Violation::ALL.len());
}
