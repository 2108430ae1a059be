use super::*;
use std::collections::HashMap;

fn planners(count: usize) -> Vec<PlannerAddress> {
    let planner = |n| PlannerAddress {
        name: format!("p{n}"),
        address: ([127, 0, 0, 1], 9000 + n as u16).into(),
    };
    (0..count).map(planner).collect()
}

fn first_choices(planners: &[PlannerAddress]) -> Vec<String> {
    let first = |n: usize| {
        let mut preferred = planners.to_vec();
        sort_by_preference(&format!("f{n}"), &mut preferred);
        preferred[0].name.clone()
    };
    (0..1000).map(first).collect()
}

#[test]
fn forwarders_spread_evenly_and_only_those_of_a_removed_planner_move() {
    let all = planners(5);
    let before = first_choices(&all);
    let mut counts: HashMap<&str, usize> = HashMap::new();
    before
        .iter()
        .for_each(|name| *counts.entry(name).or_default() += 1);
    assert!(
        counts.len() == 5 && counts.values().all(|c| (150..=250).contains(c)),
        "{counts:?}"
    );
    let after = first_choices(&all[1..]);
    assert!(before.iter().zip(&after).all(|(b, a)| b == "p0" || a == b));
    assert!(!after.iter().any(|name| name == "p0"));
}

#[test]
fn a_lease_runs_from_the_sending_of_the_answered_heartbeat() {
    let mut session = PlannerSession::new(0, planners(1)[0].clone(), 0);
    session.establish(7, 1000);
    let header = |heartbeat| FrameHeader {
        session: 7,
        sequence: 1,
        heartbeat,
    };
    session.send_heartbeat_if_due(1000, 800);
    session.send_heartbeat_if_due(1050, 800);
    session.send_heartbeat_if_due(1100, 800);
    assert_eq!(session.last_heartbeat(), 2);
    assert_eq!(session.renew_lease(&header(1), 1500, 800), Some(1800));
    assert!(session.has_lease(1799) && !session.has_lease(1800));
    // A frame for an old heartbeat renews nothing, and one for a heartbeat that was never sent is rejected.
    assert_eq!(session.renew_lease(&header(0), 1500, 800), Some(0));
    assert_eq!(session.renew_lease(&header(3), 1500, 800), None);
    assert_eq!(session.renew_lease(&header(2), 2500, 800), Some(1900));
    assert!(!session.has_lease(2500));
    assert_eq!(
        session.renew_lease(&header(1), 2500, 800),
        Some(0),
        "an older heartbeat is forgotten"
    );
}
