//! A wall clock that is stepped by seconds or an hour: timeouts and the ages of hosts are measured in real time, in one process
//! and across a hot restart.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{self, Clients, Hosts, InvariantChecker};
use reedferry_testkit::syscalls::SyscallInjector;
use reedferry_testkit::{eventually, folder, listener, Discovery, Node, Peer};
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The length of a host's warm-up.
const WARM_UP_SECONDS: f64 = 3.0;
/// The part of its full load that a host may be sent at its start.
const INITIAL_SHARE: f64 = 0.2;
const OPEN_CONNECTIONS: usize = 40;
/// Requests a second.
const RATE: f64 = 100.0;
/// The latency objective for messages, in milliseconds: longer than any message takes in these tests.
const LENIENT_MESSAGE_TIME: f64 = 5000.0;
/// The offsets of the wall clocks of the node and of the host's machine from the true time, in seconds.
const CLOCK_OFFSETS: [(i64, i64); 6] = [
    (0, 0),
    (3600, 0),
    (0, -3600),
    (-3600, 0),
    (0, 3600),
    (0, -20),
];
/// The number of trials that run at once: each of them has hundreds of threads and a traced process.
const CONCURRENT_TRIALS: usize = 2;

fn node_config(service: &Discovery, members: Value) -> Value {
    let mut node_config = node_config_of(members, service.address);
    let settings = &mut node_config["settings"];
    settings["offerings"][0]["name"] = json!("free");
    settings["contract"]["cold"] = json!(1000.0 * WARM_UP_SECONDS);
    settings["contract"]["cold_from"] = json!(INITIAL_SHARE);
    // A host's limit must depend on its age alone here, not on how late its threads run.
    settings["extra"]["message_aim"] = json!([LENIENT_MESSAGE_TIME]);
    node_config
}

/// Returns the time in milliseconds on a wall clock that is off by `offset` seconds.
fn wall_clock_ms(offset: i64) -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64
        + 1000 * offset
}

/// Guards against a host that has just started but counts as warm and is overloaded, and against a warm host that stays in its slow
/// start for an hour, because the wall clock of its machine or of the node was stepped.
#[test]
fn a_starting_host_gets_its_slow_start_whatever_the_wall_clocks_say() {
    for trials in CLOCK_OFFSETS.chunks(CONCURRENT_TRIALS) {
        thread::scope(|scope| {
            for (node_offset, host_offset) in trials {
                scope.spawn(move || check_warm_up(*node_offset, *host_offset));
            }
        });
    }
}

/// Starts a host beside a node under load, with these offsets of their wall clocks in seconds, and checks what the host is sent in
/// its warm-up and after it.
#[expect(
    clippy::too_many_lines,
    reason = "one trial: its setup, its load and its checks"
)]
fn check_warm_up(node_offset: i64, host_offset: i64) {
    let (service, checker, injector) = (
        Discovery::start(),
        InvariantChecker::default(),
        SyscallInjector::default(),
    );
    let hosts = Hosts::start(3, &checker);
    let warm: Value = (0..2).map(|host| hosts.member(host, "active")).collect();
    injector.step_clock(node_offset);
    let node = Node::start_injected(&node_config(&service, warm), &injector);
    service.calls(2);
    let mut long_clients = Clients::new(vec![node.address], &checker, 1);
    long_clients.load(
        400.0,
        Duration::from_millis(100),
        &[0],
        Duration::from_secs(60),
    );
    eventually("the long connections are open", || {
        hosts.open_connections().iter().sum::<u32>() as usize >= OPEN_CONNECTIONS * 9 / 10
    });
    let mut new = hosts.member(2, "active");
    new["up_since_ms"] = json!(wall_clock_ms(host_offset));
    let start = Instant::now();
    service.change(new);
    let mut clients = Clients::new(vec![node.address], &checker, 2);
    clients.load(
        RATE,
        Duration::from_secs_f64(WARM_UP_SECONDS + 2.0),
        &[0],
        Duration::from_millis(100),
    );
    let mut times: Vec<f64> = Vec::new();
    for attempt in checker.reached().iter().filter(|attempt| attempt.host == 2) {
        times.push(attempt.at.saturating_duration_since(start).as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    for (n, first) in times
        .iter()
        .enumerate()
        .filter(|(_, first)| **first < WARM_UP_SECONDS - 1.0)
    {
        let arrived = times[n..]
            .iter()
            .take_while(|at| **at < first + 1.0)
            .count() as f64;
        let share = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * (first + 1.0) / WARM_UP_SECONDS;
        // The connections at a warm host count as a quarter of what it can sustain.
        let capacity = 4.0 * (OPEN_CONNECTIONS as f64 + RATE * 0.1) / 2.0;
        let budget = 3.0 * share * capacity / WARM_UP_SECONDS;
        let tolerance = if budget < 30.0 {
            3.0 * budget.sqrt() + 3.0
        } else {
            2.0 * budget.sqrt() + 2.0
        };
        let limit = budget + tolerance;
        assert!(
            arrived <= limit,
            "{node_offset}, {host_offset}: {arrived} of {budget:.1} in a second from {first:.2} s on"
        );
    }
    let warmed = times
        .iter()
        .filter(|at| **at > WARM_UP_SECONDS + 1.0)
        .count();
    let log = node.drain_log();
    let log = &log[log.len().saturating_sub(12)..];
    let last_second = |attempt: &&simulated::ObservedAttempt| {
        attempt.at > start + Duration::from_secs_f64(WARM_UP_SECONDS + 1.0)
    };
    let anywhere = checker.reached().iter().filter(last_second).count();
    assert!(
        warmed as f64 > RATE / 6.0,
        "{node_offset}, {host_offset}: {warmed} of {anywhere} in the second after the warm-up, {:.2} s the last: {log:#?}",
        times.last().unwrap_or(&0.0)
    );
    clients.end();
    long_clients.end();
}

/// Guards against a successor that keeps a silent client for too long, or migrates an open connection, because its wall clock differs
/// from that of its predecessor.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "a sequence in which each step depends on the one before"
)]
fn a_successor_keeps_timeouts_in_real_time_although_the_wall_clock_was_stepped() {
    for offset in [-3600, 3600, -5, 5] {
        let (hosts, service) = (reedferry_testkit::Hosts::start(1), Discovery::start());
        let node_config = reedferry_testkit::node_config(&hosts, service.address);
        let (shared_listener, folder) = (listener(), folder());
        let mut predecessor = Node::start_injected_at(
            &node_config,
            &shared_listener,
            &folder,
            &SyscallInjector::default(),
        );
        predecessor.address = shared_listener.local_addr().unwrap();
        let (mut client, _, mut host) = predecessor.served(&hosts);
        // The unanswered line is handed over with the connection.
        client.send_line("first");
        host.expect_line("first");
        let mut silent = Peer::connect(predecessor.address);
        let connected_at = Instant::now();
        silent.write("OPEN half");
        let mut pinged = Peer::connect(predecessor.address);
        pinged.send_line("PING");
        pinged.expect_line("PONG");
        let injector = SyscallInjector::default();
        injector.step_clock(offset);
        let mut successor =
            Node::start_injected_at(&node_config, &shared_listener, &folder, &injector);
        successor.address = predecessor.address;
        predecessor.stop();
        assert!(predecessor.wait().success());
        silent.expect_line("ERR");
        assert!(
            connected_at.elapsed() < Duration::from_secs(3),
            "{offset}: {:?}",
            connected_at.elapsed()
        );
        assert!(
            connected_at.elapsed() > Duration::from_millis(1500),
            "{offset}: {:?}",
            connected_at.elapsed()
        );
        // The client must not be migrated before its host has been silent for the timeout, and must be migrated then.
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(150)))
            .unwrap();
        let mut read = [0; 8];
        let early = std::io::Read::read(&mut client.stream, &mut read);
        assert!(
            early.is_err(),
            "{offset}: {early:?} {read:?} after {:?}, {:?}",
            connected_at.elapsed(),
            successor.drain_log()
        );
        host.send_line("answer");
        client
            .stream
            .set_read_timeout(Some(reedferry_testkit::peers::MAX_WAIT))
            .unwrap();
        client.expect_line("answer");
        client.send_line("second");
        host.expect_line("second");
        let since = Instant::now();
        client.expect_line("MOVE");
        assert!(
            since.elapsed() < Duration::from_secs(7),
            "{offset}: {:?}",
            since.elapsed()
        );
        assert_eq!(
            successor
                .drain_log()
                .iter()
                .filter(|line| line.contains("panicked"))
                .count(),
            0
        );
        successor.stop();
        assert!(successor.wait().success());
        std::fs::remove_dir_all(&folder).unwrap();
    }
}
