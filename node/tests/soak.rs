//! A short soak: a dozen processes under overlapping faults must break no rule. `reedferry-testkit soak` plays more seeds, with more
//! processes and for longer.

use reedferry_testkit::soak::soak_faults::{PlannedFault, SoakFault, SoakSchedule};
use reedferry_testkit::soak::{play, play_schedule, SoakSize};
use std::time::Duration;

/// Guards against rules that are broken when stops, reloads, hot restarts, failing system calls, stepped clocks and misbehaving peers
/// coincide.
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
        let report = play(seed, &size);
        let count = |name: &str| {
            report
                .figures
                .get(name)
                .and_then(serde_json::value::Value::as_u64)
                .unwrap_or(0)
        };
        assert!(
            count("served") > 100 && count("calls spoilt") > 20,
            "too few requests or faults: {:?}",
            report.figures
        );
        let schedule = SoakSchedule::draw(seed, &size);
        assert!(
            report.broken.is_empty(),
            "seed {seed}: {:#?} under\n{schedule}",
            report.broken
        );
    }
}

/// Guards against a soak that reports a violation for a drain of which a process could not learn: its watch fell silent before the
/// drain, and the process may still wait for it.
#[test]
fn a_drain_hidden_by_a_silent_watch_is_no_violation_before_the_watch_must_end() {
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
    // The times at which the soak with seed 77002 reported such a violation.
    let schedule = SoakSchedule {
        seed: 77002,
        planned: vec![
            planned(999, 2167, SoakFault::ServiceSilent),
            planned(9558, 993, SoakFault::Drain(DRAINED)),
        ],
    };
    let report = play_schedule(&schedule, &size);
    assert!(report.broken.is_empty(), "{:#?}", report.broken);
}
