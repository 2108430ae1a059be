//! The soak, in short: a dozen processes under faults that overlap, judged by the rules. `reedferry-testkit soak` plays more
//! seeds, larger and longer.

use reedferry_testkit::soak::soak_faults::SoakSchedule;
use reedferry_testkit::soak::{play, SoakSize};
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
            count("served") > 100 && count("calls spoilt") > 20,
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
