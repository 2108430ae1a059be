//! Hot restart: one process replaces another, both started and spoken to over sockets, at a listener that the test holds.

use reedferry_runtime::DescriptorBudget;
use reedferry_testkit::simulated::{self, Clients, HostBehavior, InvariantChecker};
use reedferry_testkit::soak::restarts::Crowd;
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

struct Site {
    hosts: Hosts,
    _discovery: Discovery,
    node_config: Value,
    listener: TcpListener,
    folder: PathBuf,
}

impl Site {
    fn new(hosts: usize) -> Self {
        let (hosts, discovery) = (Hosts::start(hosts), Discovery::start());
        let mut node_config = node_config(&hosts, discovery.address);
        node_config["ops"] = json!("127.0.0.1:0");
        Site {
            hosts,
            _discovery: discovery,
            node_config,
            listener: listener(),
            folder: folder(),
        }
    }

    fn start(&self) -> Node {
        let mut node = Node::start_at(&self.node_config, &self.listener, &self.folder);
        node.address = self.listener.local_addr().unwrap();
        eventually("ready", || node.call("GET /status").0 == 200);
        node
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Lines pass both ways.
fn exchange_lines(client: &mut Peer, host: &mut Peer) {
    client.send_line("up 1");
    host.expect_line("up 1");
    host.send_line("down 1");
    client.expect_line("down 1");
}

fn wait_for_end(node: &mut Node) {
    assert!(node.wait().success());
}

/// Prevents that clients are migrated, or their lines lost or doubled, in a hot restart.
#[test]
fn open_connections_go_on_in_the_successor_with_what_was_in_flight() {
    let site = Site::new(3);
    let mut predecessor = site.start();
    let mut open: Vec<_> = (0..40).map(|_| predecessor.served(&site.hosts)).collect();
    for (client, _, host) in &mut open {
        client.write("ha");
        host.write("do");
    }
    eventually("half a line has come", || {
        open.iter_mut()
            .all(|(client, ..)| client.stream.peek(&mut [0; 2]).is_ok())
    });
    let mut twice = Vec::new();
    for _ in 0..2 {
        let successor = site.start();
        predecessor.stop();
        let asked = Instant::now();
        wait_for_end(&mut predecessor);
        assert!(
            asked.elapsed() < Duration::from_secs(2),
            "it leaves early: {:?}",
            asked.elapsed()
        );
        twice.push(std::mem::replace(&mut predecessor, successor));
    }
    for (client, _, host) in &mut open {
        client.write("lf\r\n");
        host.write("wn\r\n");
        host.expect_line("half");
        client.expect_line("down");
        exchange_lines(client, host);
    }
    let _one = predecessor.served(&site.hosts);
    assert_eq!(predecessor.metric("in_flight"), 41);
    assert_eq!(predecessor.metric("requests.chat.served"), 1);
    // What one side ends, the other is told of, as ever.
    let (mut client, _, host) = open.pop().unwrap();
    host.end_sending();
    client.expect_line("end");
    // And the rest is moved when nobody follows.
    predecessor.stop();
    open.iter_mut()
        .for_each(|(client, ..)| client.expect_line("MOVE"));
    wait_for_end(&mut predecessor);
}

#[test]
fn requests_that_wait_or_are_incomplete_are_served_after_a_hot_restart() {
    let site = Site::new(1);
    let mut predecessor = site.start();
    let mut waits = predecessor.open(OPEN);
    let (_, mut host) = site.hosts.accept();
    host.receive_line();
    let mut asks = Peer::connect(predecessor.address);
    asks.write("PING\r\n");
    asks.expect_line("PONG");
    asks.write("OPEN 77 7f3a c=ch");
    eventually("read", || predecessor.metric("in_flight") == 1);
    let successor = site.start();
    predecessor.stop();
    predecessor.wait_for_log("asked to stop");
    asks.write("at,t=acme,d=2000\r\n");
    let (_, mut other) = site.hosts.accept();
    assert!(other.receive_line().starts_with("OPEN 77 7f3a c=chat"));
    other.send_line("UP 2");
    asks.expect_line("UP 2");
    host.send_line("UP 1");
    waits.expect_line("UP 1");
    wait_for_end(&mut predecessor);
    exchange_lines(&mut waits, &mut host);
    exchange_lines(&mut asks, &mut other);
    assert_eq!(successor.metric("in_flight"), 2);
}

/// Prevents that clients are handed over to a process that is gone, and that a node stops serving since one was to replace it.
#[test]
fn a_successor_that_dies_leaves_the_predecessor_as_it_was() {
    let site = Site::new(2);
    let mut predecessor = site.start();
    let mut open = predecessor.served(&site.hosts);
    for _ in 0..2 {
        let mut successor = site.start();
        successor.kill();
        predecessor.wait_for_log("successor disconnected");
        exchange_lines(&mut open.0, &mut open.2);
        assert_eq!(predecessor.call("GET /status").0, 200);
        predecessor.served(&site.hosts);
    }
    predecessor.stop();
    open.0.expect_line("MOVE");
    wait_for_end(&mut predecessor);
}

#[test]
fn a_predecessor_migrates_its_clients_in_time_where_the_successor_stands_still() {
    let site = Site::new(2);
    let mut predecessor = site.start();
    let mut open: Vec<_> = (0..40).map(|_| predecessor.served(&site.hosts)).collect();
    let mut successor = site.start();
    successor.suspend();
    predecessor.stop();
    let asked = Instant::now();
    open.iter_mut()
        .for_each(|(client, ..)| client.expect_line("MOVE"));
    // The longest expiry, and what is granted beyond it.
    assert!(
        asked.elapsed() < Duration::from_millis(2700),
        "{:?}",
        asked.elapsed()
    );
    wait_for_end(&mut predecessor);
    successor.unsuspend();
    let _served = successor.served(&site.hosts);
    eventually("none of the others", || successor.metric("in_flight") == 1);
    successor.stop();
    assert!(successor.wait().success());
}

#[test]
fn a_node_starts_and_hands_over_whatever_is_in_the_folder() {
    let garbled = |at: &Path| std::fs::write(at.join("reedferry.next"), "garbled").unwrap();
    let stale = |at: &Path| {
        drop(
            DescriptorBudget::new(64)
                .listen_unix(&at.join("reedferry.next"))
                .unwrap(),
        );
    };
    let prepared: [&dyn Fn(&Path); 2] = [&garbled, &stale];
    for prepare in prepared {
        let site = Site::new(1);
        prepare(&site.folder);
        let mut predecessor = site.start();
        let mut open = predecessor.served(&site.hosts);
        let _successor = site.start();
        predecessor.stop();
        wait_for_end(&mut predecessor);
        exchange_lines(&mut open.0, &mut open.2);
    }
    // A folder that is none, or whose path is too long for a socket's: it serves, and nobody can follow.
    for folder in ["/dev/null", &format!("/tmp/{}", "long".repeat(40))] {
        let site = Site::new(1);
        let node = Node::start_at(&site.node_config, &site.listener, Path::new(folder));
        assert_eq!(node.call("GET /status").0, 200);
    }
}

/// Prevents that a node is led astray by whoever else connects where the successor would.
#[test]
fn an_invalid_peer_on_the_channel_is_dropped_and_gets_nothing() {
    let site = Site::new(1);
    let predecessor = site.start();
    let mut open = predecessor.served(&site.hosts);
    let path = site.folder.join("reedferry.next");
    let budget = DescriptorBudget::new(64);
    for said in [&b"what"[..], &[0, 99], &[0, 1], &[7; 40_000]] {
        let line = budget.connect_unix(&path).unwrap();
        _ = line.send_with_descriptors(said, &[]);
        exchange_lines(&mut open.0, &mut open.2);
    }
    let _silent = budget.connect_unix(&path).unwrap();
    let mut predecessor = predecessor;
    let _successor = site.start();
    predecessor.stop();
    wait_for_end(&mut predecessor);
    exchange_lines(&mut open.0, &mut open.2);
}

/// Prevents that a node starts beside the one that holds its listener, or without any.
#[test]
fn a_descriptor_that_is_no_listener_is_one_line_and_no_start() {
    let site = Site::new(1);
    for named in ["three", "", "-1", "999", "0", "99999999999999999999"] {
        let output = program_at(&site.node_config.to_string(), named, &site.folder)
            .output()
            .unwrap();
        let said = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            (output.status.code(), said.lines().count()),
            (Some(1), 1),
            "{named}: {said}"
        );
        assert!(said.contains("GW_ACCEPT_FD"), "{said}");
    }
}

#[test]
fn ejections_and_drains_of_a_predecessor_hold_in_its_successor() {
    let mut site = Site::new(2);
    site.node_config["settings"]["policy_limits"]["most_hand_offs"] = json!(2);
    let mut predecessor = site.start();
    // One host breaks off what it is asked: it is left alone, also by the next process.
    let mut client = predecessor.open(OPEN);
    let (bad, host) = site.hosts.accept();
    host.reset();
    let ejected_at = Instant::now();
    let (good, mut host) = site.hosts.accept();
    assert_ne!(bad, good);
    host.receive_line();
    host.send_line("UP 1");
    client.expect_line("UP 1");
    assert_eq!(predecessor.metric("hosts_excluded"), 1);
    let successor = site.start();
    predecessor.stop();
    wait_for_end(&mut predecessor);
    assert_eq!(successor.metric("hosts_excluded"), 1);
    let (_, number, _) = successor.served(&site.hosts);
    // A mask is over after 2.25 s at the soonest.
    assert!(number == good || ejected_at.elapsed() > Duration::from_secs(2));
}

/// The invariants over both processes, by what hosts and clients saw, among faulty hosts.
#[test]
fn under_load_every_client_has_one_answer_and_none_is_lost_at_the_listener() {
    let checker = InvariantChecker::default();
    let hosts = simulated::Hosts::start(5, &checker);
    hosts.set_behavior(3, HostBehavior::Fails);
    hosts.set_behavior(4, HostBehavior::Silent);
    let discovery = Discovery::start();
    let class = |name: &str, idempotency: &str, group: &str| {
        json!({"name": name, "contract_time": 200.0, "expiry": 2000.0, "effect": idempotency, "group": group,
            "payoff": 1.0, "repeat_window": 1000.0})
    };
    let mut site = Site::new(0);
    site.node_config["discovery"] = json!(discovery.address.to_string());
    site.node_config["known"]["members"] = hosts.members();
    site.node_config["settings"]["offerings"] = json!([
        class("free", "free", "all"),
        class("mark", "guarded", "cell"),
        class("once", "single_shot", "all")
    ]);
    let mut predecessor = site.start();
    let mut clients = Clients::new(vec![predecessor.address], &checker, 7);
    let ms = Duration::from_millis;
    let mut before = Vec::new();
    for _ in 0..3 {
        clients.load(150.0, ms(400), &[0, 1, 2], ms(1500));
        let successor = site.start();
        clients.load(150.0, ms(100), &[0, 1, 2], ms(1500));
        predecessor.stop();
        clients.load(150.0, ms(600), &[0, 1, 2], ms(1500));
        before.push(std::mem::replace(&mut predecessor, successor));
    }
    clients.end();
    let broken = checker.broken(ms(150));
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(
        checker.observations().len(),
        clients.started(),
        "some were lost at the listener"
    );
}

/// A class of the settings.
fn class(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "contract_time": 500.0, "expiry": 2000.0, "effect": idempotency, "group": "all", "payoff": 1.0,
        "repeat_window": 900.0})
}

/// Prevents that one customer's connection goes by another's terms, or is cut, in a hot restart where the successor's settings name
/// the classes in another order, without one of them, with one that means something else and with a new one.
#[test]
fn connections_keep_their_class_in_a_successor_with_other_settings() {
    let mut site = Site::new(2);
    std::env::set_var("REEDFERRY_TRACE", "1");
    site.node_config["settings"]["offerings"] = json!([
        class("chat", "free"),
        class("till", "single_shot"),
        class("seat", "guarded")
    ]);
    site.node_config["settings"]["tenants"] = json!([{"name": "acme"}, {"name": "zeta"}]);
    let mut predecessor = site.start();
    let mut open = Vec::new();
    for (name, tenant) in [
        ("chat", "acme"),
        ("till", "zeta"),
        ("seat", "acme"),
        ("seat", "zeta"),
    ] {
        let mut client =
            predecessor.open(&OPEN.replace("c=chat,t=acme", &format!("c={name},t={tenant}")));
        let (_, mut host) = site.hosts.accept();
        host.receive_line();
        host.send_line("UP 77aa");
        client.expect_line("UP 77aa");
        open.push((client, host));
    }
    // `chat` is gone, `seat` means something else, `late` is new and stands first.
    site.node_config["settings"]["offerings"] = json!([
        class("late", "single_shot"),
        class("seat", "free"),
        class("till", "single_shot")
    ]);
    let mut successor = site.start();
    predecessor.stop();
    wait_for_end(&mut predecessor);
    let mut places = Vec::new();
    for _ in 0..open.len() {
        let line = successor.wait_for_log("event ConnectionHandedOver");
        let place = line
            .split(" class: ")
            .nth(1)
            .and_then(|rest| rest.split(',').next()?.parse::<usize>().ok());
        places.push(place.unwrap());
    }
    places.sort_unstable();
    // `till` as it stands there; of what is not offered so any more, each its own place.
    assert!(places[0] == 2 && places[1] > 2, "{places:?}");
    places.dedup();
    assert_eq!(places.len(), 3, "{places:?}");
    for (client, host) in &mut open {
        exchange_lines(client, host);
    }
    // No more comes of what is gone, and what is new is served.
    assert_eq!(successor.open(OPEN).receive_line(), "ERR");
    let mut client = successor.open(&OPEN.replace("c=chat", "c=late"));
    let (_, mut host) = site.hosts.accept();
    host.receive_line();
    host.send_line("UP 1");
    client.expect_line("UP 1");
    successor.stop();
    for (client, _) in &mut open {
        client.expect_line("MOVE");
    }
    wait_for_end(&mut successor);
}

/// A test's own successor, which speaks the protocol of a hot restart.
struct TestSuccessor {
    budget: DescriptorBudget,
    line: reedferry_runtime::Socket,
}

impl TestSuccessor {
    fn connect(path: &Path) -> Self {
        let budget = DescriptorBudget::new(64);
        let line = budget.connect_unix(path).unwrap();
        // It says hello in this version.
        line.send_with_descriptors(&[0, 3], &[]).unwrap();
        let one = TestSuccessor { budget, line };
        // The chunks of the predecessor's state, to the last.
        while one.receive_line().last() != Some(&1) {}
        one
    }

    /// The next message, or nothing at the end.
    fn receive_line(&self) -> Vec<u8> {
        let (mut space, until) = (vec![0; 48 << 10], Instant::now() + Duration::from_secs(20));
        loop {
            match self.budget.receive_with_descriptors(&self.line, &mut space) {
                Ok((length, _given)) => return space[..length].to_vec(),
                Err(e) if e.raw_os_error() == 11 => {
                    assert!(Instant::now() < until, "nothing comes");
                }
                Err(_) => return Vec::new(),
            }
            std::thread::yield_now();
        }
    }

    /// Receives a connection, and rejects it.
    fn reject(&self) {
        assert!(!self.receive_line().is_empty(), "none is given");
        self.line.send_with_descriptors(&[1, 0], &[]).unwrap();
    }
}

/// Prevents that a connection which the successor rejects is handed over again and again, or held until the process is killed, as it
/// is neither handed over nor migrated.
#[test]
fn a_connection_that_the_successor_rejects_is_migrated_by_the_predecessor() {
    let site = Site::new(1);
    let mut predecessor = site.start();
    let mut open: Vec<_> = (0..5).map(|_| predecessor.served(&site.hosts)).collect();
    let mut rests = Peer::connect(predecessor.address);
    rests.send_line("PING");
    rests.expect_line("PONG");
    let stranger = TestSuccessor::connect(&site.folder.join("reedferry.next"));
    predecessor.stop();
    let asked = Instant::now();
    // The one that has not asked too.
    (0..6).for_each(|_| stranger.reject());
    for (client, _, host) in &mut open {
        client.expect_line("MOVE");
        client.expect_line("end");
        host.expect_line("end");
    }
    rests.expect_line("BUSY");
    assert!(
        asked.elapsed() < Duration::from_millis(2700),
        "{:?}",
        asked.elapsed()
    );
    assert!(stranger.receive_line().is_empty(), "given again");
    wait_for_end(&mut predecessor);
}

/// Guards against a process that takes over in a crowd of idle clients, and hears of no drain as they hold all descriptors.
#[test]
fn a_process_that_takes_over_in_a_crowd_has_its_list_within_the_polling_time() {
    const SOCKETS: u64 = 192;
    const SUCCESSOR: u64 = 2;
    let mut site = Site::new(3);
    site.node_config["limits"]["sockets"] = json!(SOCKETS);
    let predecessor = site.start();
    let _open: Vec<_> = (0..50).map(|_| predecessor.served(&site.hosts)).collect();
    let crowd = Crowd::start(predecessor.address, SOCKETS as usize + 32);
    // The successor is crowded from its first moment on.
    predecessor.wait_for_log("made_room");
    let service = site._discovery.listen_for(SUCCESSOR);
    site.node_config["discovery"] = json!(service.to_string());
    let started = Instant::now();
    let successor = site.start();
    predecessor.stop();
    let max_poll_interval = Duration::from_secs(1);
    while started.elapsed() < 2 * max_poll_interval {
        std::thread::yield_now();
    }
    let calls = site._discovery.history().calls;
    let answered = calls
        .iter()
        .filter(|call| call.caller == SUCCESSOR)
        .find_map(|call| call.answered_at);
    let log = successor.drain_log();
    let failed = log
        .iter()
        .filter(|line| line.contains("discovery call failed"));
    let failed: Vec<_> = failed.collect();
    assert!(
        answered.is_some_and(|at| at < started + max_poll_interval) && failed.is_empty(),
        "answered {:?} after the start; {failed:#?}",
        answered.map(|at| at - started)
    );
    drop(crowd);
}
