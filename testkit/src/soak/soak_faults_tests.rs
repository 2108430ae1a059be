use super::*;

/// Guards against a failing seed that can't be reproduced, and against faults that never overlap.
#[test]
fn a_seed_draws_the_same_schedule_and_its_faults_overlap() {
    let size = SoakSize {
        processes: 24,
        hosts: 8,
        span: Duration::from_secs(10),
        rate: 100.0,
        overlap: 3,
    };
    for seed in 0..50 {
        let drawn = SoakSchedule::draw(seed, &size);
        assert_eq!(drawn, SoakSchedule::draw(seed, &size));
        let overlap = |a: &PlannedFault, b: &PlannedFault| {
            a.start < b.start + b.duration && b.start < a.start + a.duration
        };
        let overlaps = drawn
            .planned
            .windows(2)
            .filter(|pair| overlap(&pair[0], &pair[1]))
            .count();
        assert!(
            overlaps * 2 > drawn.planned.len(),
            "seed {seed}: {overlaps} of {}",
            drawn.planned.len()
        );
        assert_eq!(drawn.transitions().len(), 2 * drawn.planned.len());
    }
    assert_ne!(SoakSchedule::draw(1, &size), SoakSchedule::draw(2, &size));
}
