use super::*;

const SIZE: SoakSize = SoakSize {
    processes: 8,
    hosts: 6,
    span: Duration::from_secs(12),
    rate: 50.0,
    overlap: 0,
};

/// Guards against a failing seed that can't be reproduced, and against signals that the protocol forbids.
#[test]
fn a_seed_draws_the_same_schedule_and_no_signal_in_a_process_s_first_second() {
    for seed in 0..50 {
        let drawn = RestartSchedule::draw(seed, &SIZE);
        assert_eq!(drawn, RestartSchedule::draw(seed, &SIZE));
        for slot in 0..SIZE.processes {
            let mut started = Duration::ZERO;
            for PlannedEvent { at, event } in &drawn.planned {
                match event {
                    RestartEvent::Terminate(of, _) | RestartEvent::Reload(of) if *of == slot => {
                        assert!(
                            *at >= started + Duration::from_secs(1),
                            "seed {seed}: {drawn}"
                        );
                    }
                    RestartEvent::Replace(of, _) if *of == slot => {
                        assert!(
                            *at >= started + Duration::from_secs(1),
                            "seed {seed}: {drawn}"
                        );
                        started = *at;
                    }
                    RestartEvent::Restart(of) if *of == slot => started = *at,
                    _ => {}
                }
            }
        }
    }
}

/// Guards against schedules that lack the events that a soak of restarts is meant to test.
#[test]
fn fifty_seeds_draw_every_kind_of_event_and_all_deadlines() {
    let drawn: Vec<RestartSchedule> = (0..50)
        .map(|seed| RestartSchedule::draw(seed, &SIZE))
        .collect();
    let count = |wanted: fn(&RestartEvent) -> bool| {
        let events = drawn.iter().flat_map(|schedule| &schedule.planned);
        events.filter(|planned| wanted(&planned.event)).count()
    };
    assert!(count(|event| matches!(event, RestartEvent::Terminate(..))) > 200);
    assert!(count(|event| matches!(event, RestartEvent::Replace(..))) > 200);
    assert!(count(|event| matches!(event, RestartEvent::Reload(..))) > 200);
    assert!(count(|event| matches!(event, RestartEvent::HostHangs(..))) > 200);
    assert!(count(|event| matches!(event, RestartEvent::Crowd(..))) > 50);
    let has_second = |event: &RestartEvent| {
        matches!(
            event,
            RestartEvent::Terminate(
                _,
                Termination {
                    second_after: Some(_),
                    ..
                }
            )
        )
    };
    assert!(count(has_second) > 50);
    for millis in DEADLINE_MILLIS {
        let deadline = Duration::from_millis(millis);
        assert!(drawn
            .iter()
            .any(|schedule| schedule.profile().longest_deadline() == deadline || millis < 800));
    }
}
