//! The soak, in short: a dozen processes under faults that overlap, judged by the rules. `reedferry-testkit soak` plays more
//! seeds, larger and longer.

use reedferry_testkit::soak::soak_faults::{PlannedFault, SoakFault, SoakSchedule};
use reedferry_testkit::soak::{play, play_schedule, SoakSize};
use std::time::Duration;

/// Prevents broken rules where stops, reloads, replacements, failing calls, stepped clocks and peers that
/// misbehave meet.
#[test]
fn no_rule_is_broken_where_faults_overlap() {
    let size = SoakSize {
        processes: 12,
        hosts: 6,
        span: Duration::from_secs(5),
        rate: 80.0,
        overlap: 3,
    };
    for seed in [1, 2, 6] {
        let found = play(seed, &size);
        let count = |name: &str| {
            found
                .figures
                .get(name)
                .and_then(serde_json::value::Value::as_u64)
                .unwrap_or(0)
        };
        assert!(
            count("served") > 100 && count("faulty system calls") > 20,
            "too tame: {:?}",
            found.figures
        );
        let drawn = SoakSchedule::draw(seed, &size);
        assert!(
            found.broken.is_empty(),
            "seed {seed}: {:#?} under\n{drawn}",
            found.broken
        );
    }
}

/// Guards against a drain held against a process whose watch fell silent before it, and may wait on.
#[test]
fn a_drain_that_a_silent_watch_hides_is_no_violation_before_the_watch_has_to_end() {
    const DRAINED: usize = 1;
    let size = SoakSize {
        processes: 4,
        hosts: 2,
        span: Duration::from_secs(10),
        rate: 100.0,
        overlap: 1,
    };
    let planned = |start, duration, fault| PlannedFault {
        start: Duration::from_millis(start),
        duration: Duration::from_millis(duration),
        fault,
    };
    // The times of soak 77002.
    let schedule = SoakSchedule {
        seed: 77002,
        planned: vec![
            planned(999, 2167, SoakFault::ServiceSilent),
            planned(9558, 993, SoakFault::Drain(DRAINED)),
        ],
    };
    let found = play_schedule(&schedule, &size);
    assert!(found.broken.is_empty(), "{:#?}", found.broken);
}
