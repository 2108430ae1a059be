use super::*;

/// Guards: a failing seed that can't be played again, and troubles that never meet.
#[test]
fn a_seed_draws_the_same_again_and_its_troubles_overlap() {
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
        let meet =
            |a: &PlannedFault, b: &PlannedFault| a.at < b.at + b.lasts && b.at < a.at + a.lasts;
        let met = drawn
            .planned
            .windows(2)
            .filter(|two| meet(&two[0], &two[1]))
            .count();
        assert!(
            met * 2 > drawn.planned.len(),
            "seed {seed}: {met} of {}",
            drawn.planned.len()
        );
        assert_eq!(drawn.transitions().len(), 2 * drawn.planned.len());
    }
    assert_ne!(SoakSchedule::draw(1, &size), SoakSchedule::draw(2, &size));
}
