//! A process that is suspended for a while, or delayed repeatedly because its machine is, must not count what it did not see
//! meanwhile against a host.

use reedferry_testkit::syscalls::{Call, Fault, Outcome, SyscallInjector};
use reedferry_testkit::*;
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: usize = 4;
/// How long a probe waits for its answer in the test configuration.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
const OPEN_CONNECTIONS: usize = 12;
/// How long the process is suspended or delayed.
const STALL: Duration = Duration::from_millis(2500);
/// How long clients arrive after the stall, one after the other.
const ARRIVALS_AFTER_STALL: Duration = Duration::from_secs(3);

/// The threads of open connections, each of which sends its next line 20 ms after the answer to the last one.
struct OpenTraffic(Vec<thread::JoinHandle<()>>);

impl OpenTraffic {
    /// Starts a thread for each of these connections, which ends after `until`.
    fn start(open: Vec<Peer>, until: Instant) -> OpenTraffic {
        let send_lines = |mut client: Peer| {
            thread::spawn(move || {
                while Instant::now() < until {
                    client.send_line("hello");
                    if client.receive_line() != "hello" {
                        return;
                    }
                    thread::sleep(Duration::from_millis(20));
                }
            })
        };
        OpenTraffic(open.into_iter().map(send_lines).collect())
    }

    /// Waits for the threads to end.
    fn join(self) {
        self.0.into_iter().for_each(|thread| thread.join().unwrap());
    }
}

/// A node whose system calls the test controls, beside hosts that serve every request.
struct Fixture {
    node: Node,
    injector: SyscallInjector,
    _discovery: Discovery,
}

impl Fixture {
    fn start() -> Fixture {
        let (checker, discovery) = (simulated::InvariantChecker::default(), Discovery::start());
        let hosts = simulated::Hosts::start(HOSTS, &checker);
        let mut node_config = program::node_config_of(hosts.members(), discovery.address);
        node_config["settings"]["offerings"][0]["name"] = serde_json::json!("free");
        let injector = SyscallInjector::default();
        let node = Node::start_injected(&node_config, &injector);
        discovery.calls(1);
        Fixture {
            node,
            injector,
            _discovery: discovery,
        }
    }

    /// Sends the request of client `number`. Returns the connection and the answer.
    fn request(&self, number: usize) -> (Peer, String) {
        let mut client = Peer::connect(self.node.address);
        client.send_line(&format!("OPEN c{number} {number:x} c=free,t=acme,d=2000"));
        let answer = client.receive_line();
        (client, answer)
    }

    /// Opens connections and sends lines on them until 1.5 s after the stall.
    fn open_traffic(&self) -> OpenTraffic {
        let open = |number| {
            let (client, answer) = self.request(number);
            assert!(answer.starts_with("UP"), "{answer}");
            client
        };
        let open = (0..OPEN_CONNECTIONS).map(open).collect();
        OpenTraffic::start(open, Instant::now() + STALL + Duration::from_millis(1500))
    }

    /// Checks that at least nine in ten of the clients that arrive from now on are served.
    fn expect_service(&self) {
        let start = Instant::now();
        let (mut served, mut answers) = (0, Vec::new());
        while start.elapsed() < ARRIVALS_AFTER_STALL {
            let (_client, answer) = self.request(1000 + answers.len());
            served += usize::from(answer.starts_with("UP"));
            answers.push(answer);
            thread::sleep(Duration::from_millis(20));
        }
        let log = self.node.drain_log();
        assert!(
            served * 10 >= answers.len() * 9,
            "{served} of {} served: {log:#?}",
            answers.len()
        );
    }
}

/// Guards against hosts that count as slow, so that every client is rejected for a long time, because answers lay unread while the
/// process was suspended.
#[test]
fn clients_are_served_right_after_the_process_was_suspended() {
    let fixture = Fixture::start();
    let open_traffic = fixture.open_traffic();
    thread::sleep(Duration::from_millis(500));
    fixture.node.suspend();
    thread::sleep(STALL);
    fixture.node.unsuspend();
    fixture.expect_service();
    open_traffic.join();
}

/// Guards against the same fault where each turn of the event loop takes long.
#[test]
fn clients_are_served_right_after_the_process_was_delayed_repeatedly() {
    let fixture = Fixture::start();
    let open_traffic = fixture.open_traffic();
    let delay = Outcome::Delayed(Duration::from_millis(140));
    fixture.injector.set(&[Fault {
        call: Call::Send,
        outcome: delay,
        every: 2,
    }]);
    let until = Instant::now() + STALL;
    let mut clients = Vec::new();
    while Instant::now() < until {
        let mut client = Peer::connect(fixture.node.address);
        client.send_line(&format!(
            "OPEN h{0} {0:x} c=free,t=acme,d=2000",
            clients.len()
        ));
        clients.push(client);
        thread::sleep(Duration::from_millis(40));
    }
    fixture.injector.clear();
    fixture.expect_service();
    open_traffic.join();
}

/// Guards against an answer that is due but late because a turn of the event loop first serves many other connections, each of
/// which may delay it.
#[test]
fn due_requests_are_answered_in_time_while_each_turn_serves_many_connections() {
    const BUSY_CONNECTIONS: usize = 60;
    let (hosts, discovery, injector) = (
        Hosts::start(1),
        Discovery::start(),
        SyscallInjector::default(),
    );
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["settings"]["offerings"][0]["contract_time"] = serde_json::json!(2000.0);
    let node = Node::start_injected(&node_config, &injector);
    let mut open: Vec<_> = (0..BUSY_CONNECTIONS).map(|_| node.served(&hosts)).collect();
    // Its host sends no answer.
    let mut waiting = node.open(&OPEN.replace("d=2000", "d=1000"));
    let requested_at = Instant::now();
    let (_, mut silent) = hosts.accept();
    assert!(silent.receive_line().starts_with("OPEN"));
    let delay = Outcome::Delayed(Duration::from_millis(100));
    injector.set(&[Fault {
        call: Call::Send,
        outcome: delay,
        every: 2,
    }]);
    // The lines of all connections are ready at the moment at which the answer is due.
    while requested_at.elapsed() < Duration::from_millis(900) {
        thread::sleep(Duration::from_millis(10));
    }
    open.iter_mut()
        .for_each(|(client, ..)| client.send_line("hello"));
    let answer = waiting.receive_line();
    let took = requested_at.elapsed();
    assert!(answer == "ERR" || answer.starts_with("BUSY"), "{answer}");
    // The deadline of 1000 ms, another turn, the sending of the answer, and what the first turn had begun.
    assert!(
        took < Duration::from_millis(1450),
        "{answer} after {took:?}"
    );
    injector.clear();
    for (_, _, host) in &mut open {
        host.expect_line("hello");
    }
}

/// Has each wait of the event loop fail with `EINTR`.
fn interrupt_waits(injector: &SyscallInjector) {
    let outcome = Outcome::Fails(rustix::io::Errno::INTR);
    injector.set(&[Fault {
        call: Call::EpollWait,
        outcome,
        every: 1,
    }]);
}

/// Continues the process. Its waits are interrupted at first, so that it handles due timers before it sees ready sockets.
fn resume_with_timers_first(node: &Node, injector: &SyscallInjector) {
    interrupt_waits(injector);
    node.unsuspend();
    thread::sleep(Duration::from_millis(300));
    injector.clear();
}

/// Guards against a host that counts as unreachable because the connection to it was established while the process was suspended.
#[test]
fn a_connection_established_while_the_process_was_suspended_is_used() {
    let (listener, first) = full_listener();
    let discovery = Discovery::start();
    let late = member(5, &listener.local_addr().unwrap().to_string(), "active");
    let mut node_config = program::node_config_of(serde_json::json!([late]), discovery.address);
    // The kernel repeats the SYN after a second.
    node_config["settings"]["policy_limits"]["connect_timeout"] = serde_json::json!(1500.0);
    node_config["settings"]["offerings"][0]["expiry"] = serde_json::json!(6000.0);
    node_config["settings"]["offerings"][0]["contract_time"] = serde_json::json!(6000.0);
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config, &injector);
    discovery.calls(1);
    let mut client = node.open(&OPEN.replace("d=2000", "d=6000"));
    let mut other = Peer::connect(node.address);
    for _ in 0..2 {
        other.send_line("PING");
        other.expect_line("PONG");
    }
    node.suspend();
    drop(first);
    drop(listener.accept().unwrap());
    let (stream, _) = listener.accept().unwrap();
    thread::sleep(Duration::from_millis(1000));
    resume_with_timers_first(&node, &injector);
    let mut host = Peer::new(stream);
    let line = host.receive_line();
    assert!(line.starts_with("OPEN"), "{line}");
    host.send_line("UP 1");
    client.expect_line("UP 1");
}

/// Guards against a host that counts as silent and full because its answer to a probe lies unread in a process that was suspended.
#[test]
fn a_probe_answered_while_the_process_was_suspended_counts_as_answered() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let mut node_config = node_config(&hosts, discovery.address);
    node_config["settings"]["reporting"] =
        serde_json::json!({"fields": ["util", "x0"], "via": "pull"});
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config, &injector);
    let (_, mut probe) = hosts.accept();
    probe.expect_line("STATS");
    interrupt_waits(&injector);
    node.suspend();
    probe.send_line("PONG util=0.2,x0=0.2");
    thread::sleep(2 * PROBE_TIMEOUT);
    resume_with_timers_first(&node, &injector);
    let mut client = node.open(OPEN);
    let mut requested = false;
    while let Some((_, mut host)) = hosts.accept_soon().filter(|_| !requested) {
        requested = host.receive_line().starts_with("OPEN");
        if requested {
            host.send_line("UP 1");
            client.expect_line("UP 1");
        }
    }
    assert!(requested, "{}", client.receive_line());
}

/// Guards against a line that is lost because it lay unread in a suspended process when its client was migrated.
#[test]
fn a_line_sent_before_its_client_was_migrated_reaches_the_host() {
    let (hosts, discovery) = (Hosts::start(1), Discovery::start());
    let injector = SyscallInjector::default();
    let node = Node::start_injected(&node_config(&hosts, discovery.address), &injector);
    let (mut client, _, mut host) = node.served(&hosts);
    node.stop();
    node.wait_for_log("asked to stop");
    interrupt_waits(&injector);
    node.suspend();
    client.send_line("hello");
    // After this time all clients are due to be migrated.
    thread::sleep(Duration::from_millis(2450));
    resume_with_timers_first(&node, &injector);
    host.expect_line("hello");
    client.expect_line("MOVE");
}
