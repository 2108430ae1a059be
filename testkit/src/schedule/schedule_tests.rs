use super::*;

/// Guards against a failing schedule that cannot be replayed from its file.
#[test]
fn a_drawn_schedule_survives_its_text_form_and_malformed_texts_are_rejected() {
    for seed in 0..300 {
        let drawn = FaultSchedule::draw(seed, 8, 3);
        assert_eq!(drawn.to_string().parse(), Ok(drawn));
    }
    assert_ne!(FaultSchedule::draw(1, 8, 2), FaultSchedule::draw(2, 8, 2));
    for (text, expected) in [
        ("nodes 3\nat 1 for 2 kill 3", "does not fit"),
        ("nodes 3\nat 1 for 2 part ab", "does not fit"),
        ("nodes 3\nat 1 for 2 burn 1", "line 2"),
        ("nodes 3\nat x for 2 kill 1", "line 2"),
        ("at 1 for 2 down", "nodes"),
    ] {
        let error = text.parse::<FaultSchedule>().unwrap_err().to_string();
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn a_failing_schedule_is_shrunk_to_the_faults_that_make_it_fail() {
    let drawn = FaultSchedule::draw(5, 8, 6);
    let (first, last) = (drawn.faults[1].clone(), drawn.faults[4].clone());
    let mut fails = |s: &FaultSchedule| s.faults.contains(&first) && s.faults.contains(&last);
    assert_eq!(
        shrink(&drawn, 2, &mut fails).faults,
        [first.clone(), last.clone()]
    );
}
