//! Tests of host records and of the latencies that are reported.

use super::*;
use crate::discovery::start_times::ClaimSource;
use reedferry::{MILLI, SECOND};

const START: Nanos = 1_000 * SECOND;

fn hosts_with_one_answer() -> Hosts {
    let mut hosts = Hosts::new(Vec::new(), 48 * MILLI);
    let text = br#"{"revision":1,"complete":true,"members":[{"id":"a","phase":"active"}]}"#;
    let mut reader = crate::discovery::list::ListReader::default();
    reader.feed(text).unwrap();
    hosts.apply_list(
        START,
        reader.finish().unwrap(),
        ListSource::Cached,
        &Logger::root(slog::Discard, slog::o!()),
    );
    hosts.record_answer(0, START + 100 * MILLI, START + 102 * MILLI);
    hosts
}

fn report(hosts: &mut Hosts, now: Nanos) -> Option<Nanos> {
    let mut events = Vec::new();
    hosts.report_latencies(now, &mut events);
    events.first().map(|e| match e {
        Event::MessageLatency {
            latency: reported, ..
        } => *reported / MILLI,
        other => panic!("{other:?}"),
    })
}

#[test]
fn a_backlog_is_reported_at_once_with_its_projected_latency() {
    let mut hosts = hosts_with_one_answer();
    // The line was sent 200 ms after the last timely one and took 200 ms, so a line sent now would take 400 ms.
    hosts.record_answer(0, START + 300 * MILLI, START + 500 * MILLI);
    assert!((395..=400).contains(&report(&mut hosts, START + 500 * MILLI).unwrap()));
    hosts.record_unanswered(0, START + 300 * MILLI, START + 10_000 * MILLI);
    assert_eq!(
        report(&mut hosts, START + 600 * MILLI),
        None,
        "reported again within a second"
    );
    hosts.record_unanswered(0, START + 300 * MILLI, START + 10_000 * MILLI);
    hosts.record_unanswered(0, START + 320 * MILLI, START + 10_000 * MILLI);
    assert_eq!(report(&mut hosts, START + 1600 * MILLI), Some(1298));
    hosts.record_answer(0, START + 1700 * MILLI, START + 1705 * MILLI);
    assert_eq!(
        report(&mut hosts, START + 2600 * MILLI),
        Some(3),
        "not reported once more when it was over"
    );
    hosts.record_answer(0, START + 2700 * MILLI, START + 2705 * MILLI);
    assert_eq!(report(&mut hosts, START + 3600 * MILLI), None);
}

#[test]
fn a_host_that_answers_none_of_several_lines_is_reported_as_hung_once() {
    let mut hosts = hosts_with_one_answer();
    for (now, expected) in [
        (640, None),
        (660, Some(998)),
        (760, None),
        (1660, Some(1998)),
    ] {
        hosts.record_unanswered(0, START + 250 * MILLI, START + 10_000 * MILLI);
        hosts.record_unanswered(0, START + 300 * MILLI, START + 10_000 * MILLI);
        assert_eq!(
            report(&mut hosts, START + now * MILLI),
            expected,
            "at {now}"
        );
    }
    // A single unanswered line may have been lost, and lines older than an answered one do not count.
    let mut hosts = hosts_with_one_answer();
    hosts.record_unanswered(0, START + 250 * MILLI, START + 10_000 * MILLI);
    assert_eq!(report(&mut hosts, START + 660 * MILLI), None);
    hosts.record_unanswered(0, START + 250 * MILLI, START + 10_000 * MILLI);
    assert!(report(&mut hosts, START + 2800 * MILLI).unwrap() > 2500);
    let mut hosts = hosts_with_one_answer();
    for now in [700, 1700, 2700, 3700] {
        hosts.record_answer(0, START + (now - 100) * MILLI, START + (now - 98) * MILLI);
        hosts.record_unanswered(0, START + 250 * MILLI, START + 10_000 * MILLI);
        hosts.record_unanswered(0, START + 300 * MILLI, START + 10_000 * MILLI);
        assert_eq!(report(&mut hosts, START + now * MILLI), None, "at {now}");
    }
}

#[test]
fn a_short_pause_is_not_reported_and_a_lasting_latency_is_once_per_second() {
    let mut hosts = hosts_with_one_answer();
    hosts.record_unanswered(0, START + 300 * MILLI, START + 10_000 * MILLI);
    assert_eq!(report(&mut hosts, START + 390 * MILLI), None);
    for n in 0..5 {
        hosts.record_answer(0, START + 400 * MILLI, START + (440 + n) * MILLI);
    }
    assert_eq!(report(&mut hosts, START + 900 * MILLI), None);
    assert_eq!(report(&mut hosts, START + 1000 * MILLI), Some(40));
    // An earlier slow answer among quick ones doesn't count as the current latency.
    for n in 0..5 {
        hosts.record_answer(0, START + 1400 * MILLI, START + (1402 + n) * MILLI);
    }
    assert_eq!(report(&mut hosts, START + 2000 * MILLI), Some(2));
}

/// Applies a list with this text, and returns the endpoints that are reported.
fn apply(hosts: &mut Hosts, text: &str) -> Vec<Endpoint> {
    let mut reader = crate::discovery::list::ListReader::default();
    reader.feed(text.as_bytes()).unwrap();
    match hosts.apply_list(
        START,
        reader.finish().unwrap(),
        ListSource::Service {
            claims: ClaimSource::FullList,
            effective_from: START,
        },
        &Logger::root(slog::Discard, slog::o!()),
    ) {
        Event::EndpointsUpdated {
            endpoints: listed, ..
        } => listed,
        other => panic!("{other:?}"),
    }
}

/// Guards against a zone that the settings don't name and that shares its index with another zone, also if its name
/// looks like a number.
#[test]
fn each_zone_has_an_index_of_its_own_even_if_the_settings_do_not_name_it() {
    let zones = |hosts: &mut Hosts, names: &[&str]| -> Vec<u16> {
        let member = |n: &&str| format!(r#"{{"id":"s-{n}","locality":"{n}","phase":"active"}}"#);
        let members: Vec<String> = names.iter().map(member).collect();
        let list = format!(
            r#"{{"revision":1,"complete":true,"members":[{}]}}"#,
            members.join(",")
        );
        apply(hosts, &list)
            .iter()
            .map(|listing| listing.zone)
            .collect()
    };
    let mut hosts = Hosts::new(vec!["a".to_string(), "b".to_string()], 48 * MILLI);
    let mut all = zones(&mut hosts, &["a", "b", "x", "y", "1", "70000"]);
    assert_eq!((all[0], all[1]), (0, 1));
    all.sort_unstable();
    all.dedup();
    assert_eq!(all.len(), 6, "{all:?}");
    assert_eq!(
        zones(&mut hosts, &["y", "x"]),
        zones(&mut hosts, &["y", "x"])
    );
    // If the settings name no zones, a number is the index itself.
    assert_eq!(
        zones(&mut Hosts::new(Vec::new(), 48 * MILLI), &["0", "3"]),
        [0, 3]
    );
    // Thousands of names get indices of their own, none of which belongs to the settings.
    let mut hosts = Hosts::new(vec!["a".to_string()], 48 * MILLI);
    let indices: HashSet<u16> = (0..3000)
        .map(|n| hosts.zones.index(&format!("z{n}")))
        .collect();
    assert!(indices.len() == 3000 && !indices.contains(&0));
}

/// Guards against a host that has left and counts as part of another zone or cell, as its last change doesn't name
/// them; and against one that keeps the index that its zone had before the settings changed.
#[test]
fn a_host_that_has_left_keeps_its_zone_and_cell() {
    let mut hosts = Hosts::new(vec!["a".to_string(), "b".to_string()], 48 * MILLI);
    let list = r#"{"revision":1,"complete":true,"members":[
        {"id":"s-0","locality":"b","cell":3,"size":2.0,"phase":"active"},
        {"id":"s-1","locality":"b","cell":4,"phase":"active"}]}"#;
    apply(&mut hosts, list);
    let left = r#"{"revision":2,"complete":false,"members":[{"id":"s-0","phase":"left"}]}"#;
    let listing = apply(&mut hosts, left)[0];
    assert_eq!(
        (listing.state, listing.zone, listing.cell, listing.size),
        (HostState::Gone, 1, 3, 2.0)
    );
    // The other host is missing from a full list.
    apply(&mut hosts, r#"{"revision":3,"complete":true,"members":[]}"#);
    assert!(hosts.members().is_empty() && hosts.ids().next().is_none());
    hosts.update_settings(vec!["b".to_string()], 48 * MILLI);
    let former = EndpointList {
        revision: 3,
        complete: true,
        members: hosts.former_members(),
    };
    let event = hosts.apply_list(
        START,
        former,
        ListSource::Cached,
        &Logger::root(slog::Discard, slog::o!()),
    );
    let Event::EndpointsUpdated {
        endpoints: listings,
        ..
    } = event
    else {
        panic!("{event:?}")
    };
    assert_eq!(
        listings
            .iter()
            .map(|l| (l.zone, l.cell))
            .collect::<Vec<_>>(),
        [(0, 3), (0, 4)]
    );
    assert!(listings.iter().all(|l| l.state == HostState::Gone));
}

/// Reads a list.
fn list(text: &str) -> EndpointList {
    let mut reader = crate::discovery::list::ListReader::default();
    reader.feed(text.as_bytes()).unwrap();
    reader.finish().unwrap()
}

/// Returns the states in which an older list lets a host be that a newer one gave in this form. The older list gives it
/// as active, started at 500, at 1000 (as in the newer list) and at 1500.
fn states_by_older_lists(newer: &str) -> [HostState; 3] {
    [500, 1000, 1500].map(|started| {
        let mut hosts = Hosts::new(vec!["a".to_string()], 48 * MILLI);
        apply(
            &mut hosts,
            r#"{"revision":40,"complete":true,"members":[{"id":"s-0","phase":"active","up_since_ms":1000}]}"#,
        );
        apply(&mut hosts, newer);
        let member = format!(r#"{{"id":"s-0","phase":"active","up_since_ms":{started}}}"#);
        let mut older = list(&format!(r#"{{"revision":30,"complete":true,"members":[{member}]}}"#));
        hosts.keep_drains(&mut older);
        older.members[0].state
    })
}

/// Guards against a drain that is forgotten as the older list has an earlier start of the host.
#[test]
fn an_older_list_ends_a_drain_only_by_a_later_start_of_the_host() {
    let drains = r#"{"revision":41,"complete":false,"members":[{"id":"s-0","phase":"leaving","up_since_ms":1000}]}"#;
    assert_eq!(
        states_by_older_lists(drains),
        [HostState::Draining, HostState::Draining, HostState::Ready]
    );
}

/// Guards against a host that has left, or that a whole list no longer named, and that an older list brings back.
#[test]
fn an_older_list_brings_a_host_back_that_had_left_only_by_a_later_start() {
    let left = r#"{"revision":41,"complete":false,"members":[{"id":"s-0","phase":"left"}]}"#;
    let unlisted = r#"{"revision":41,"complete":true,"members":[]}"#;
    for newer in [left, unlisted] {
        assert_eq!(
            states_by_older_lists(newer),
            [HostState::Draining, HostState::Draining, HostState::Ready],
            "{newer}"
        );
    }
}
