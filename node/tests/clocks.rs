//! A wall clock that is stepped, by seconds or an hour: waits, windows and the ages of hosts are spans of real time, in one
//! process and where one takes the place of another.

use reedferry_testkit::program::node_config_of;
use reedferry_testkit::simulated::{self, Clients, Hosts, InvariantChecker};
use reedferry_testkit::syscalls::SyscallInjector;
use reedferry_testkit::{eventually, folder, listener, Discovery, Node, Peer};
use serde_json::{json, Value};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const WARM_UP_SECONDS: f64 = 3.0;
const INITIAL_SHARE: f64 = 0.2;
const OPEN_CONNECTIONS: usize = 40;
const RATE: f64 = 100.0;
/// The time in milliseconds within which messages are wanted: longer than any here takes.
const LENIENT_MESSAGE_TIME: f64 = 5000.0;
/// How far the wall clock of the node and of the host's machine are off, in seconds.
const CLOCK_OFFSETS: [(i64, i64); 6] = [
    (0, 0),
    (3600, 0),
    (0, -3600),
    (-3600, 0),
    (0, 3600),
    (0, -20),
];
/// So many of these are played at once: each is hundreds of threads and a traced process.
const CONCURRENT_TRIALS: usize = 2;

fn node_config(service: &Discovery, members: Value) -> Value {
    let mut node_config = node_config_of(members, service.address);
    let settings = &mut node_config["settings"];
    settings["offerings"][0]["name"] = json!("free");
    settings["contract"]["cold"] = json!(1000.0 * WARM_UP_SECONDS);
    settings["contract"]["cold_from"] = json!(INITIAL_SHARE);
    // What a host is given is to go by its age alone here, not by how late its threads run.
    settings["extra"]["message_aim"] = json!([LENIENT_MESSAGE_TIME]);
    node_config
}

/// The wall clock of a machine that is off by so many seconds, in milliseconds.
fn wall_clock_ms(off: i64) -> i64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as i64
        + 1000 * off
}

/// Prevents that a host which has just started is taken for a warm one, and overloaded, or a warm one for one in its slow start for
/// an hour, as its machine's wall clock or the node's was stepped since the other read it.
#[test]
fn a_host_that_starts_has_its_slow_start_whatever_the_wall_clocks_say() {
    for some in CLOCK_OFFSETS.chunks(CONCURRENT_TRIALS) {
        thread::scope(|scope| {
            for (node_off, host_off) in some {
                scope.spawn(move || warms_up(*node_off, *host_off));
            }
        });
    }
}

/// One node whose clock is off by so many seconds, and a host that starts with one that is off by so many.
#[expect(
    clippy::too_many_lines,
    reason = "one trial: its start, its load and what was measured"
)]
fn warms_up(node_off: i64, host_off: i64) {
    let (service, checker, injector) = (
        Discovery::start(),
        InvariantChecker::default(),
        SyscallInjector::default(),
    );
    let hosts = Hosts::start(3, &checker);
    let warm: Value = (0..2).map(|host| hosts.member(host, "active")).collect();
    injector.step_clock(node_off);
    let node = Node::start_injected(&node_config(&service, warm), &injector);
    service.calls(2);
    let mut standing = Clients::new(vec![node.address], &checker, 1);
    standing.load(
        400.0,
        Duration::from_millis(100),
        &[0],
        Duration::from_secs(60),
    );
    eventually("they do not stand", || {
        hosts.open_connections().iter().sum::<u32>() as usize >= OPEN_CONNECTIONS * 9 / 10
    });
    let mut new = hosts.member(2, "active");
    new["up_since_ms"] = json!(wall_clock_ms(host_off));
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
    for one in checker.reached().iter().filter(|one| one.host == 2) {
        times.push(one.at.saturating_duration_since(start).as_secs_f64());
    }
    times.sort_by(f64::total_cmp);
    for (n, first) in times
        .iter()
        .enumerate()
        .filter(|(_, first)| **first < WARM_UP_SECONDS - 1.0)
    {
        let came = times[n..]
            .iter()
            .take_while(|at| **at < first + 1.0)
            .count() as f64;
        let warmth = INITIAL_SHARE + (1.0 - INITIAL_SHARE) * (first + 1.0) / WARM_UP_SECONDS;
        // What stands at warm hosts is taken for a quarter of what one bears.
        let bears = 4.0 * (OPEN_CONNECTIONS as f64 + RATE * 0.1) / 2.0;
        let budget = 3.0 * warmth * bears / WARM_UP_SECONDS;
        let chance = if budget < 30.0 {
            3.0 * budget.sqrt() + 3.0
        } else {
            2.0 * budget.sqrt() + 2.0
        };
        let most = budget + chance;
        assert!(
            came <= most,
            "{node_off}, {host_off}: {came} of {budget:.1} in a second from {first:.2} s on"
        );
    }
    let warmed = times
        .iter()
        .filter(|at| **at > WARM_UP_SECONDS + 1.0)
        .count();
    let log = node.drain_log();
    let log = &log[log.len().saturating_sub(12)..];
    let last_second = |one: &&simulated::ObservedAttempt| {
        one.at > start + Duration::from_secs_f64(WARM_UP_SECONDS + 1.0)
    };
    let anywhere = checker.reached().iter().filter(last_second).count();
    assert!(
        warmed as f64 > RATE / 6.0,
        "{node_off}, {host_off}: {warmed} of {anywhere} in the second after the warm-up, {:.2} s the last: {log:#?}",
        times.last().unwrap_or(&0.0)
    );
    clients.end();
    standing.end();
}

/// Prevents that a silent client is kept, or an open connection migrated, by a process that counts what passed before it by another
/// wall clock.
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one story, of which each step needs the one before"
)]
fn a_successor_goes_on_with_real_spans_of_time_though_the_wall_clock_was_stepped() {
    for off in [-3600, 3600, -5, 5] {
        let (hosts, service) = (reedferry_testkit::Hosts::start(1), Discovery::start());
        let node_config = reedferry_testkit::node_config(&hosts, service.address);
        let (held, folder) = (listener(), folder());
        let mut predecessor =
            Node::start_injected_at(&node_config, &held, &folder, &SyscallInjector::default());
        predecessor.address = held.local_addr().unwrap();
        let (mut client, _, mut host) = predecessor.served(&hosts);
        // A line without an answer goes over with the connection.
        client.send_line("first");
        host.expect_line("first");
        let mut silent = Peer::connect(predecessor.address);
        let came = Instant::now();
        silent.write("OPEN half");
        let mut pinged = Peer::connect(predecessor.address);
        pinged.send_line("PING");
        pinged.expect_line("PONG");
        let injector = SyscallInjector::default();
        injector.step_clock(off);
        let mut successor = Node::start_injected_at(&node_config, &held, &folder, &injector);
        successor.address = predecessor.address;
        predecessor.stop();
        assert!(predecessor.wait().success());
        silent.expect_line("ERR");
        assert!(
            came.elapsed() < Duration::from_secs(3),
            "{off}: {:?}",
            came.elapsed()
        );
        assert!(
            came.elapsed() > Duration::from_millis(1500),
            "{off}: {:?}",
            came.elapsed()
        );
        // It stands as long as a host may be silent, and is sent away then.
        client
            .stream
            .set_read_timeout(Some(Duration::from_millis(150)))
            .unwrap();
        let mut read = [0; 8];
        let early = std::io::Read::read(&mut client.stream, &mut read);
        assert!(
            early.is_err(),
            "{off}: {early:?} {read:?} after {:?}, {:?}",
            came.elapsed(),
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
            "{off}: {:?}",
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
