//! Tests of hot restart on sockets: one process replaces another at a listener that the test holds open for both.

use reedferry_runtime::DescriptorBudget;
use reedferry_testkit::simulated::{self, Clients, HostBehavior, InvariantChecker};
use reedferry_testkit::soak::restarts::Crowd;
use reedferry_testkit::*;
use serde_json::{json, Value};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Hosts, a discovery service, and the listener and folder that predecessor and successor share.
struct Fixture {
    hosts: Hosts,
    discovery: Discovery,
    node_config: Value,
    listener: TcpListener,
    folder: PathBuf,
}

impl Fixture {
    fn new(hosts: usize) -> Self {
        let (hosts, discovery) = (Hosts::start(hosts), Discovery::start());
        let mut node_config = node_config(&hosts, discovery.address);
        node_config["ops"] = json!("127.0.0.1:0");
        Fixture {
            hosts,
            discovery,
            node_config,
            listener: listener(),
            folder: folder(),
        }
    }

    /// Starts a process at the shared listener and waits until it is ready.
    fn start(&self) -> Node {
        let mut node = Node::start_at(&self.node_config, &self.listener, &self.folder);
        node.address = self.listener.local_addr().unwrap();
        eventually("the node is ready", || node.call("GET /status").0 == 200);
        node
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Checks that a line passes in each direction.
fn exchange_lines(client: &mut Peer, host: &mut Peer) {
    client.send_line("up 1");
    host.expect_line("up 1");
    host.send_line("down 1");
    client.expect_line("down 1");
}

/// Waits until the process has exited and checks that it succeeded.
fn expect_clean_exit(node: &mut Node) {
    assert!(node.wait().success());
}

/// Guards against a hot restart that migrates clients, or loses or duplicates partial lines. Two hot restarts follow each other.
#[test]
fn open_connections_and_partial_lines_are_handed_over_to_the_successor() {
    let fixture = Fixture::new(3);
    let mut predecessor = fixture.start();
    let mut open: Vec<_> = (0..40)
        .map(|_| predecessor.served(&fixture.hosts))
        .collect();
    for (client, _, host) in &mut open {
        client.write("ha");
        host.write("do");
    }
    eventually("every client has received half a line", || {
        open.iter_mut()
            .all(|(client, ..)| client.stream.peek(&mut [0; 2]).is_ok())
    });
    let mut predecessors = Vec::new();
    for _ in 0..2 {
        let successor = fixture.start();
        predecessor.stop();
        let stop_requested_at = Instant::now();
        expect_clean_exit(&mut predecessor);
        assert!(
            stop_requested_at.elapsed() < Duration::from_secs(2),
            "the predecessor took {:?} to exit",
            stop_requested_at.elapsed()
        );
        predecessors.push(std::mem::replace(&mut predecessor, successor));
    }
    for (client, _, host) in &mut open {
        client.write("lf\r\n");
        host.write("wn\r\n");
        host.expect_line("half");
        client.expect_line("down");
        exchange_lines(client, host);
    }
    let _client = predecessor.served(&fixture.hosts);
    assert_eq!(predecessor.metric("in_flight"), 41);
    assert_eq!(predecessor.metric("requests.chat.served"), 1);
    // The end of one side is still passed on to the other.
    let (mut client, _, host) = open.pop().unwrap();
    host.end_sending();
    client.expect_line("end");
    // A shutdown without a successor migrates the other clients.
    predecessor.stop();
    open.iter_mut()
        .for_each(|(client, ..)| client.expect_line("MOVE"));
    expect_clean_exit(&mut predecessor);
}

#[test]
fn pending_and_incomplete_requests_are_served_after_a_hot_restart() {
    let fixture = Fixture::new(1);
    let mut predecessor = fixture.start();
    let mut waiting = predecessor.open(OPEN);
    let (_, mut host) = fixture.hosts.accept();
    host.receive_line();
    let mut incomplete = Peer::connect(predecessor.address);
    incomplete.write("PING\r\n");
    incomplete.expect_line("PONG");
    incomplete.write("OPEN 77 7f3a c=ch");
    eventually("read", || predecessor.metric("in_flight") == 1);
    let successor = fixture.start();
    predecessor.stop();
    predecessor.wait_for_log("asked to stop");
    incomplete.write("at,t=acme,d=2000\r\n");
    let (_, mut other) = fixture.hosts.accept();
    assert!(other.receive_line().starts_with("OPEN 77 7f3a c=chat"));
    other.send_line("UP 2");
    incomplete.expect_line("UP 2");
    host.send_line("UP 1");
    waiting.expect_line("UP 1");
    expect_clean_exit(&mut predecessor);
    exchange_lines(&mut waiting, &mut host);
    exchange_lines(&mut incomplete, &mut other);
    assert_eq!(successor.metric("in_flight"), 2);
}

/// Guards against clients that are handed over to a process that no longer runs, and against a node that stops serving because its
/// successor has died.
#[test]
fn a_predecessor_keeps_serving_when_its_successor_dies() {
    let fixture = Fixture::new(2);
    let mut predecessor = fixture.start();
    let mut open = predecessor.served(&fixture.hosts);
    for _ in 0..2 {
        let mut successor = fixture.start();
        successor.kill();
        predecessor.wait_for_log("successor disconnected");
        exchange_lines(&mut open.0, &mut open.2);
        assert_eq!(predecessor.call("GET /status").0, 200);
        predecessor.served(&fixture.hosts);
    }
    predecessor.stop();
    open.0.expect_line("MOVE");
    expect_clean_exit(&mut predecessor);
}

#[test]
fn a_predecessor_migrates_its_clients_in_time_if_its_successor_is_suspended() {
    let fixture = Fixture::new(2);
    let mut predecessor = fixture.start();
    let mut open: Vec<_> = (0..40)
        .map(|_| predecessor.served(&fixture.hosts))
        .collect();
    let mut successor = fixture.start();
    successor.suspend();
    predecessor.stop();
    let stop_requested_at = Instant::now();
    open.iter_mut()
        .for_each(|(client, ..)| client.expect_line("MOVE"));
    // The longest expiry of 2000 ms, and the 700 ms that a process has beyond it.
    assert!(
        stop_requested_at.elapsed() < Duration::from_millis(2700),
        "{:?}",
        stop_requested_at.elapsed()
    );
    expect_clean_exit(&mut predecessor);
    successor.unsuspend();
    let _served = successor.served(&fixture.hosts);
    eventually("the successor holds only its own client", || {
        successor.metric("in_flight") == 1
    });
    successor.stop();
    assert!(successor.wait().success());
}

#[test]
fn a_stale_socket_does_not_prevent_a_hot_restart_nor_a_bad_folder_a_start() {
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
        let fixture = Fixture::new(1);
        prepare(&fixture.folder);
        let mut predecessor = fixture.start();
        let mut open = predecessor.served(&fixture.hosts);
        let _successor = fixture.start();
        predecessor.stop();
        expect_clean_exit(&mut predecessor);
        exchange_lines(&mut open.0, &mut open.2);
    }
    // In a path that is no folder, or that is too long for a socket's path, the node serves but cannot have a successor.
    for folder in ["/dev/null", &format!("/tmp/{}", "long".repeat(40))] {
        let fixture = Fixture::new(1);
        let node = Node::start_at(&fixture.node_config, &fixture.listener, Path::new(folder));
        assert_eq!(node.call("GET /status").0, 200);
    }
}

/// Guards against a process that connects to the channel without being a successor: it must not receive connections or block a hot
/// restart.
#[test]
fn an_invalid_peer_on_the_hot_restart_channel_receives_no_connections() {
    let fixture = Fixture::new(1);
    let predecessor = fixture.start();
    let mut open = predecessor.served(&fixture.hosts);
    let path = fixture.folder.join("reedferry.next");
    let budget = DescriptorBudget::new(64);
    for bytes in [&b"what"[..], &[0, 99], &[0, 1], &[7; 40_000]] {
        let channel = budget.connect_unix(&path).unwrap();
        _ = channel.send_with_descriptors(bytes, &[]);
        exchange_lines(&mut open.0, &mut open.2);
    }
    let _silent = budget.connect_unix(&path).unwrap();
    let mut predecessor = predecessor;
    let _successor = fixture.start();
    predecessor.stop();
    expect_clean_exit(&mut predecessor);
    exchange_lines(&mut open.0, &mut open.2);
}

/// Guards against a node that starts without a listener, or at another one than the platform holds for it.
#[test]
fn a_descriptor_that_is_no_listener_fails_the_start_with_one_error_line() {
    let fixture = Fixture::new(1);
    for descriptor in ["three", "", "-1", "999", "0", "99999999999999999999"] {
        let output = program_at(
            &fixture.node_config.to_string(),
            descriptor,
            &fixture.folder,
        )
        .output()
        .unwrap();
        let errors = String::from_utf8(output.stderr).unwrap();
        assert_eq!(
            (output.status.code(), errors.lines().count()),
            (Some(1), 1),
            "{descriptor}: {errors}"
        );
        assert!(errors.contains("GW_ACCEPT_FD"), "{errors}");
    }
}

#[test]
fn ejections_of_the_predecessor_hold_in_the_successor() {
    let mut fixture = Fixture::new(2);
    fixture.node_config["settings"]["policy_limits"]["most_hand_offs"] = json!(2);
    let mut predecessor = fixture.start();
    // A host that resets the connection of an attempt is ejected, and stays ejected in the successor.
    let mut client = predecessor.open(OPEN);
    let (bad, host) = fixture.hosts.accept();
    host.reset();
    let ejected_at = Instant::now();
    let (good, mut host) = fixture.hosts.accept();
    assert_ne!(bad, good);
    host.receive_line();
    host.send_line("UP 1");
    client.expect_line("UP 1");
    assert_eq!(predecessor.metric("hosts_excluded"), 1);
    let successor = fixture.start();
    predecessor.stop();
    expect_clean_exit(&mut predecessor);
    assert_eq!(successor.metric("hosts_excluded"), 1);
    let (_, number, _) = successor.served(&fixture.hosts);
    // An ejection lasts at least 2.25 s.
    assert!(number == good || ejected_at.elapsed() > Duration::from_secs(2));
}

/// Checks the invariants over three hot restarts under load, with one failing and one silent host, by what hosts and clients observed.
/// Also guards against clients that are lost at the shared listener.
#[test]
fn every_client_gets_one_answer_during_hot_restarts_under_load() {
    let checker = InvariantChecker::default();
    let hosts = simulated::Hosts::start(5, &checker);
    hosts.set_behavior(3, HostBehavior::Fails);
    hosts.set_behavior(4, HostBehavior::Silent);
    let discovery = Discovery::start();
    let class = |name: &str, idempotency: &str, group: &str| {
        json!({"name": name, "contract_time": 200.0, "expiry": 2000.0, "effect": idempotency, "group": group,
            "payoff": 1.0, "repeat_window": 1000.0})
    };
    let mut fixture = Fixture::new(0);
    fixture.node_config["discovery"] = json!(discovery.address.to_string());
    fixture.node_config["known"]["members"] = hosts.members();
    fixture.node_config["settings"]["offerings"] = json!([
        class("free", "free", "all"),
        class("mark", "guarded", "cell"),
        class("once", "single_shot", "all")
    ]);
    let mut predecessor = fixture.start();
    let mut clients = Clients::new(vec![predecessor.address], &checker, 7);
    let ms = Duration::from_millis;
    let mut predecessors = Vec::new();
    for _ in 0..3 {
        clients.load(150.0, ms(400), &[0, 1, 2], ms(1500));
        let successor = fixture.start();
        clients.load(150.0, ms(100), &[0, 1, 2], ms(1500));
        predecessor.stop();
        clients.load(150.0, ms(600), &[0, 1, 2], ms(1500));
        predecessors.push(std::mem::replace(&mut predecessor, successor));
    }
    clients.end();
    let broken = checker.broken(ms(150));
    assert!(broken.is_empty(), "{broken:#?}");
    assert_eq!(
        checker.observations().len(),
        clients.started(),
        "clients were lost at the listener"
    );
}

/// Returns a request class of the settings.
fn class(name: &str, idempotency: &str) -> Value {
    json!({"name": name, "contract_time": 500.0, "expiry": 2000.0, "effect": idempotency, "group": "all", "payoff": 1.0,
        "repeat_window": 900.0})
}

/// Guards against connections that are cut, or that get the class of another request, in a hot restart where the successor's settings
/// list the classes in another order: one is removed, one has another effect and one is new.
#[test]
fn connections_keep_their_class_in_a_successor_with_other_settings() {
    let mut fixture = Fixture::new(2);
    std::env::set_var("REEDFERRY_TRACE", "1");
    fixture.node_config["settings"]["offerings"] = json!([
        class("chat", "free"),
        class("till", "single_shot"),
        class("seat", "guarded")
    ]);
    fixture.node_config["settings"]["tenants"] = json!([{"name": "acme"}, {"name": "zeta"}]);
    let mut predecessor = fixture.start();
    let mut open = Vec::new();
    for (name, tenant) in [
        ("chat", "acme"),
        ("till", "zeta"),
        ("seat", "acme"),
        ("seat", "zeta"),
    ] {
        let mut client =
            predecessor.open(&OPEN.replace("c=chat,t=acme", &format!("c={name},t={tenant}")));
        let (_, mut host) = fixture.hosts.accept();
        host.receive_line();
        host.send_line("UP 77aa");
        client.expect_line("UP 77aa");
        open.push((client, host));
    }
    // `chat` is removed, `seat` has another effect, and `late` is new and comes first.
    fixture.node_config["settings"]["offerings"] = json!([
        class("late", "single_shot"),
        class("seat", "free"),
        class("till", "single_shot")
    ]);
    let mut successor = fixture.start();
    predecessor.stop();
    expect_clean_exit(&mut predecessor);
    let mut indices = Vec::new();
    for _ in 0..open.len() {
        let line = successor.wait_for_log("event ConnectionHandedOver");
        let index = line
            .split(" class: ")
            .nth(1)
            .and_then(|rest| rest.split(',').next()?.parse::<usize>().ok());
        indices.push(index.unwrap());
    }
    indices.sort_unstable();
    // `till` has its index in the new settings. Each class that is no longer offered in the same form has an index of its own.
    assert!(indices[0] == 2 && indices[1] > 2, "{indices:?}");
    indices.dedup();
    assert_eq!(indices.len(), 3, "{indices:?}");
    for (client, host) in &mut open {
        exchange_lines(client, host);
    }
    // New requests of the removed class fail, and those of the new class are served.
    assert_eq!(successor.open(OPEN).receive_line(), "ERR");
    let mut client = successor.open(&OPEN.replace("c=chat", "c=late"));
    let (_, mut host) = fixture.hosts.accept();
    host.receive_line();
    host.send_line("UP 1");
    client.expect_line("UP 1");
    successor.stop();
    for (client, _) in &mut open {
        client.expect_line("MOVE");
    }
    expect_clean_exit(&mut successor);
}

/// A successor that the test plays itself: it speaks the protocol of a hot restart.
struct TestSuccessor {
    budget: DescriptorBudget,
    channel: reedferry_runtime::Socket,
}

impl TestSuccessor {
    /// Connects to the predecessor at `path` and receives its state.
    fn connect(path: &Path) -> Self {
        let budget = DescriptorBudget::new(64);
        let channel = budget.connect_unix(path).unwrap();
        // The greeting: variant 0, protocol version 3.
        channel.send_with_descriptors(&[0, 3], &[]).unwrap();
        let successor = TestSuccessor { budget, channel };
        // The chunks of the predecessor's state: 1 at the end marks the last one.
        while successor.receive_message().last() != Some(&1) {}
        successor
    }

    /// Returns the next message, or an empty one once the channel is closed.
    fn receive_message(&self) -> Vec<u8> {
        let (mut buffer, deadline) = (vec![0; 48 << 10], Instant::now() + Duration::from_secs(20));
        loop {
            match self
                .budget
                .receive_with_descriptors(&self.channel, &mut buffer)
            {
                Ok((length, _descriptors)) => return buffer[..length].to_vec(),
                Err(e) if e.raw_os_error() == 11 => {
                    assert!(Instant::now() < deadline, "no message arrived in time");
                }
                Err(_) => return Vec::new(),
            }
            std::thread::yield_now();
        }
    }

    /// Receives a connection and rejects it.
    fn reject(&self) {
        assert!(!self.receive_message().is_empty(), "no connection arrived");
        self.channel.send_with_descriptors(&[1, 0], &[]).unwrap();
    }
}

/// Guards against a connection that the successor rejects and that is then handed over again and again, or held until the process is
/// killed because it is neither handed over nor migrated.
#[test]
fn a_connection_that_the_successor_rejects_is_migrated_by_the_predecessor() {
    let fixture = Fixture::new(1);
    let mut predecessor = fixture.start();
    let mut open: Vec<_> = (0..5).map(|_| predecessor.served(&fixture.hosts)).collect();
    let mut idle = Peer::connect(predecessor.address);
    idle.send_line("PING");
    idle.expect_line("PONG");
    let successor = TestSuccessor::connect(&fixture.folder.join("reedferry.next"));
    predecessor.stop();
    let stop_requested_at = Instant::now();
    // The five open connections and the idle one.
    (0..6).for_each(|_| successor.reject());
    for (client, _, host) in &mut open {
        client.expect_line("MOVE");
        client.expect_line("end");
        host.expect_line("end");
    }
    idle.expect_line("BUSY");
    assert!(
        stop_requested_at.elapsed() < Duration::from_millis(2700),
        "{:?}",
        stop_requested_at.elapsed()
    );
    assert!(
        successor.receive_message().is_empty(),
        "a rejected connection was handed over again"
    );
    expect_clean_exit(&mut predecessor);
}

/// Guards against a successor whose descriptors are all held by idle clients, so that it cannot call the discovery service and
/// learns of no drain.
#[test]
fn a_successor_crowded_by_idle_clients_gets_its_list_within_a_poll_interval() {
    const SOCKETS: u64 = 192;
    const SUCCESSOR: u64 = 2;
    let mut fixture = Fixture::new(3);
    fixture.node_config["limits"]["sockets"] = json!(SOCKETS);
    let predecessor = fixture.start();
    let _open: Vec<_> = (0..50)
        .map(|_| predecessor.served(&fixture.hosts))
        .collect();
    let crowd = Crowd::start(predecessor.address, SOCKETS as usize + 32);
    // The crowd has filled the predecessor, so the successor is crowded from its start on.
    predecessor.wait_for_log("made_room");
    let service = fixture.discovery.listen_for(SUCCESSOR);
    fixture.node_config["discovery"] = json!(service.to_string());
    let started = Instant::now();
    let successor = fixture.start();
    predecessor.stop();
    let max_poll_interval = Duration::from_secs(1);
    while started.elapsed() < 2 * max_poll_interval {
        std::thread::yield_now();
    }
    let calls = fixture.discovery.history().calls;
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

/// The request of a client that comes again.
const REPEATED: &str = "OPEN 5a5a 7f3a c=chat,t=acme,d=2000,g=5c0f";

/// Sends the repeated request at the shared listener while only `node` runs.
fn send_repeated(node: &Node, other: &Node) -> Peer {
    other.suspend();
    let mut client = Peer::connect(node.address);
    client.send_line(REPEATED);
    client
}

/// Guards against a request that runs a second time as its id comes again at the other process of an upgrade, after its
/// client has left; in both directions, while its attempt is in flight and after it has ended.
#[test]
fn a_request_whose_id_comes_again_at_the_other_process_is_not_sent_again() {
    for (first_at_successor, in_flight) in
        [(false, true), (false, false), (true, true), (true, false)]
    {
        let mut fixture = Fixture::new(1);
        fixture.node_config["settings"]["offerings"][0]["effect"] = json!("single_shot");
        let (predecessor, successor) = (fixture.start(), fixture.start());
        let (first, second) = if first_at_successor {
            (&successor, &predecessor)
        } else {
            (&predecessor, &successor)
        };
        let mut client = send_repeated(first, second);
        let (_, mut host) = fixture.hosts.accept();
        host.receive_line();
        if in_flight {
            drop(client);
        } else {
            host.send_line("ERR");
            client.expect_line("ERR");
        }
        first.suspend();
        second.unsuspend();
        let situation = format!("first at successor {first_at_successor}, in flight {in_flight}");
        for _ in 0..3 {
            let answer = send_repeated(second, first).receive_line();
            assert_eq!(answer, "ERR", "{situation}");
        }
        assert!(fixture.hosts.accept_soon().is_none(), "{situation}");
        first.unsuspend();
    }
}

/// Guards against a successor that does not know the ids of requests from before its start.
#[test]
fn a_request_whose_id_comes_again_after_the_predecessor_has_stopped_is_not_sent_again() {
    let mut fixture = Fixture::new(1);
    fixture.node_config["settings"]["offerings"][0]["effect"] = json!("single_shot");
    let mut predecessor = fixture.start();
    for answer in ["ERR", "UP 1"] {
        let mut client = Peer::connect(predecessor.address);
        client.send_line(&REPEATED.replace("5a5a", &answer[..2]));
        let (_, mut host) = fixture.hosts.accept();
        host.receive_line();
        host.send_line(answer);
        client.expect_line(answer);
    }
    let successor = fixture.start();
    predecessor.stop();
    expect_clean_exit(&mut predecessor);
    for answer in ["ERR", "UP 1"] {
        let mut client = Peer::connect(successor.address);
        client.send_line(&REPEATED.replace("5a5a", &answer[..2]));
        client.expect_line("ERR");
    }
    assert!(fixture.hosts.accept_soon().is_none());
}

/// Guards against an id that stays taken at the other process though no attempt of its request can have run.
#[test]
fn an_id_whose_request_has_not_run_may_come_again_at_the_other_process() {
    let mut fixture = Fixture::new(1);
    fixture.node_config["settings"]["offerings"][0]["effect"] = json!("single_shot");
    let (predecessor, successor) = (fixture.start(), fixture.start());
    let mut client = send_repeated(&predecessor, &successor);
    let (_, mut host) = fixture.hosts.accept();
    host.receive_line();
    host.send_line("BUSY");
    drop(host);
    assert!(client.receive_line().starts_with("BUSY"));
    predecessor.suspend();
    successor.unsuspend();
    eventually("the request is not sent again", || {
        let mut client = send_repeated(&successor, &predecessor);
        let Some((_, mut host)) = fixture.hosts.accept_soon() else {
            return false;
        };
        host.receive_line();
        host.send_line("UP 1");
        client.expect_line("UP 1");
        true
    });
    predecessor.unsuspend();
}
