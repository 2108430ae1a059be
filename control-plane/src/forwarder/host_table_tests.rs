use super::*;

const HOST: HostId = HostId(7);
const START: Nanos = SECOND;

fn entry(state: WireHostState, list_version: u64) -> HostEntry {
    HostEntry {
        id: HOST.0,
        name: "s".into(),
        address: None,
        state,
        list_version,
    }
}

/// A table at a moment.
#[derive(Default)]
struct Scenario {
    table: HostTable,
    now: Nanos,
}

impl Scenario {
    fn new() -> Self {
        Scenario {
            now: START,
            ..Scenario::default()
        }
    }

    /// Reports a state in a session, and returns whether the report counts.
    fn report(&mut self, session: u64, state: WireHostState, list_version: u64) -> bool {
        self.table
            .update(self.now, session, &entry(state, list_version))
            .unwrap()
    }

    fn ready(&mut self, session: u64, list_version: u64) -> bool {
        self.report(session, WireHostState::Ready, list_version)
    }

    fn draining(&mut self, session: u64, list_version: u64) {
        assert!(self.report(session, WireHostState::Draining, list_version));
    }

    fn accepts(&self) -> bool {
        self.table.accepts_attempts(HOST)
    }
}

#[test]
fn a_drain_holds_until_a_list_at_least_as_new_says_otherwise() {
    for newer in [42, 43] {
        let mut scenario = Scenario::new();
        scenario.draining(1, 42);
        for older in [0, 1, 41] {
            scenario.now += 20 * SECOND;
            assert!(!scenario.ready(2, older) && !scenario.accepts(), "{older}");
        }
        assert!(scenario.ready(3, newer) && scenario.accepts(), "{newer}");
    }
}

#[test]
fn a_drain_holds_after_its_planner_was_restarted_with_an_older_list() {
    let mut scenario = Scenario::new();
    scenario.draining(1, 42);
    assert!(scenario.table.end_session(scenario.now, 1).is_empty());
    scenario.now += 11 * SECOND;
    // The list of the planner's file, then a list service that has gone back.
    assert!(!scenario.ready(2, 0) && !scenario.accepts());
    assert!(!scenario.ready(2, 41) && !scenario.accepts());
    assert!(scenario.ready(2, 42) && scenario.accepts());
}

/// Each list service counts versions on its own, so a planner that was sent to another one may go on with lower ones.
#[test]
fn a_planner_corrects_its_own_drain_report_with_a_lower_version_and_no_other() {
    let mut scenario = Scenario::new();
    scenario.draining(1, 42);
    assert!(scenario.ready(1, 3) && scenario.accepts());
    scenario.draining(1, 42);
    scenario.draining(2, 42);
    assert!(!scenario.ready(1, 3) && !scenario.accepts());
    assert!(scenario.ready(2, 3) && scenario.accepts());
}

#[test]
fn a_drain_with_a_lower_version_is_believed_and_corrected_by_a_list_as_new_as_it() {
    let mut scenario = Scenario::new();
    scenario.ready(1, 42);
    scenario.draining(2, 3);
    assert!(!scenario.accepts() && scenario.ready(1, 43) && scenario.accepts());
}

#[test]
fn what_a_planner_has_from_its_file_changes_no_host_that_the_service_has_confirmed() {
    let mut scenario = Scenario::new();
    assert!(scenario.ready(1, 42));
    for state in [
        WireHostState::Ready,
        WireHostState::Draining,
        WireHostState::Gone,
    ] {
        assert!(
            !scenario.report(2, state, 0) && scenario.accepts(),
            "{state:?}"
        );
    }
}

#[test]
fn a_drain_that_a_planner_has_from_its_file_ends_with_its_session_or_a_confirmed_report() {
    for ends in [true, false] {
        let mut scenario = Scenario::new();
        scenario.draining(1, 0);
        assert!(!scenario.accepts());
        if ends {
            scenario.table.end_session(scenario.now, 1);
        } else {
            assert!(scenario.ready(2, 1));
        }
        assert!(scenario.accepts(), "{ends}");
    }
}

#[test]
fn a_host_that_is_gone_stays_gone_for_planners_with_an_older_list_and_is_listed_anew_by_a_newer_one(
) {
    // The host is reported as gone, or missing from the whole list of the planner that is followed.
    for reported in [true, false] {
        let mut scenario = Scenario::new();
        assert!(scenario.ready(1, 40));
        if reported {
            assert!(scenario.report(1, WireHostState::Gone, 42));
        } else {
            let removed = scenario
                .table
                .remove_unlisted(scenario.now, 1, &HashSet::new(), 42);
            assert_eq!(removed.unwrap().len(), 1);
        }
        assert!(!scenario.ready(2, 41) && !scenario.accepts(), "{reported}");
        assert!(scenario.ready(2, 43) && scenario.accepts(), "{reported}");
    }
}

#[test]
fn a_withheld_host_is_ready_once_the_report_of_an_ended_session_has_expired() {
    let mut scenario = Scenario::new();
    scenario.draining(1, 42);
    scenario.table.end_session(scenario.now, 1);
    assert!(!scenario.ready(2, 5));
    let expires_at = scenario.now + DRAIN_REPORT_RETENTION;
    assert!(scenario.table.expire(expires_at - 1).is_empty() && !scenario.accepts());
    let ready = scenario.table.expire(expires_at);
    assert_eq!(ready, [entry(WireHostState::Ready, 5)]);
    assert!(scenario.accepts());
}

#[test]
fn the_drain_report_of_a_session_that_goes_on_does_not_expire() {
    let mut scenario = Scenario::new();
    scenario.draining(1, 42);
    let later = scenario.now + 10 * DRAIN_REPORT_RETENTION;
    assert!(scenario.table.expire(later).is_empty() && !scenario.accepts());
}

#[test]
fn a_planner_that_connects_over_and_over_adds_no_reports() {
    let mut scenario = Scenario::new();
    for session in 1..=3 * MAX_HOSTS as u64 {
        scenario.draining(session, 42);
        scenario.table.end_session(scenario.now, session);
    }
    assert!(scenario.table.expiries.len() <= MAX_HOSTS && !scenario.accepts());
    assert!(scenario.ready(0, 42) && scenario.accepts());
}
